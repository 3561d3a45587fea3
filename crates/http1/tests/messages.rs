//! Messages that arrive in parts, broken, or with bytes that belong to no request.

use bytes::BytesMut;
use sequoiayoke_http1::{Error, request, response};

const REQUEST: request::Limits = request::Limits {
    head: 1_024,
    body: 1_024,
};
const RESPONSE: response::Limits = response::Limits {
    head: 1_024,
    body: 1_024,
};

fn decode(text: &str) -> Result<request::Event, Error> {
    request::Decoder::new().decode(&mut BytesMut::from(text), REQUEST)
}

/// Guards against a request hidden in the body of another one.
#[test]
fn ambiguous_lengths_are_refused() {
    for fields in [
        "content-length: 3\r\ntransfer-encoding: chunked\r\n",
        "content-length: 3\r\ncontent-length: 4\r\n",
        "content-length: +3\r\n",
        "transfer-encoding: gzip, chunked\r\n",
    ] {
        let text = format!("POST / HTTP/1.1\r\n{fields}\r\nabc");
        let error = decode(&text).expect_err(fields);
        assert_eq!(error, Error::Framing, "{fields}");
    }
}

/// Guards against heads and bodies beyond the configured limits.
#[test]
fn limits_hold() {
    let long = format!("GET /{} HTTP/1.1\r\n\r\n", "a".repeat(2_000));
    assert_eq!(decode(&long).expect_err("too long"), Error::HeadTooLong);
    let large = "POST / HTTP/1.1\r\ncontent-length: 4096\r\n\r\n";
    assert_eq!(decode(large).expect_err("too large"), Error::BodyTooLong);
}

/// Guards against a dependence on how the bytes are cut.
#[test]
fn a_chunked_body_may_arrive_byte_by_byte() {
    let text =
        "POST /a HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    let mut decoder = request::Decoder::new();
    let mut input = BytesMut::new();
    let mut found = None;
    for byte in text.bytes() {
        input.extend_from_slice(&[byte]);
        if let Ok(request::Event::Request(request)) = decoder.decode(&mut input, REQUEST) {
            found = Some(request.body);
        }
    }
    assert_eq!(found.as_deref(), Some(&b"abcde"[..]));
}

/// Guards against a response that broke off and looks whole.
#[test]
fn a_response_that_breaks_off_is_incomplete() {
    for text in [
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
        "HTTP/1.1 200 OK\r\ncontent-le",
    ] {
        let mut decoder = response::Decoder::new();
        let mut input = BytesMut::from(text);
        let ended = decoder.decode(&mut input, RESPONSE, true);
        assert_eq!(ended.expect_err(text), Error::Incomplete, "{text}");
    }
}

/// Guards against a kept connection after a response that ends with it.
#[test]
fn a_response_without_length_ends_with_its_connection() {
    let mut decoder = response::Decoder::new();
    let mut input = BytesMut::from("HTTP/1.1 200 OK\r\n\r\nabc");
    let open = decoder.decode(&mut input, RESPONSE, false);
    assert!(open.expect("it is well formed").is_none());
    let whole = decoder.decode(&mut input, RESPONSE, true);
    let whole = whole.expect("it is well formed").expect("it is whole");
    assert_eq!(&whole.body[..], b"abc");
    assert!(!whole.keeps_alive);
}

/// Guards against bytes after a response that are taken for a part of it.
#[test]
fn bytes_after_a_response_stay_in_the_input() {
    let mut decoder = response::Decoder::new();
    let mut input = BytesMut::from("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200");
    let whole = decoder.decode(&mut input, RESPONSE, false);
    assert!(whole.expect("it is well formed").is_some());
    assert_eq!(&input[..], b"HTTP/1.1 200");
}
