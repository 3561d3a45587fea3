//! Messages that are split, malformed, truncated, or followed by bytes that belong to no request.

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

/// Guards against request smuggling: a request hidden in the body of another one.
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

/// Guards against accepting heads and bodies that exceed the size limits.
#[test]
fn heads_and_bodies_over_the_limits_are_refused() {
    let long = format!("GET /{} HTTP/1.1\r\n\r\n", "a".repeat(2_000));
    assert_eq!(decode(&long).expect_err("too long"), Error::HeadTooLong);
    let large = "POST / HTTP/1.1\r\ncontent-length: 4096\r\n\r\n";
    assert_eq!(decode(large).expect_err("too large"), Error::BodyTooLong);
}

/// Guards against a decoder that depends on how the input is split into reads.
#[test]
fn a_chunked_body_may_arrive_byte_by_byte() {
    let text =
        "POST /a HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    let mut decoder = request::Decoder::new();
    let mut input = BytesMut::new();
    let mut body = None;
    for byte in text.bytes() {
        input.extend_from_slice(&[byte]);
        if let Ok(request::Event::Request(request)) = decoder.decode(&mut input, REQUEST) {
            body = Some(request.body);
        }
    }
    assert_eq!(body.as_deref(), Some(&b"abcde"[..]));
}

/// Guards against treating a truncated response as complete.
#[test]
fn a_truncated_response_is_incomplete() {
    for text in [
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
        "HTTP/1.1 200 OK\r\ncontent-le",
    ] {
        let mut decoder = response::Decoder::new();
        let mut input = BytesMut::from(text);
        let result = decoder.decode(&mut input, RESPONSE, true);
        assert_eq!(result.expect_err(text), Error::Incomplete, "{text}");
    }
}

/// Guards against reusing a connection whose end marks the end of the response.
#[test]
fn a_response_without_length_ends_when_its_connection_is_closed() {
    let mut decoder = response::Decoder::new();
    let mut input = BytesMut::from("HTTP/1.1 200 OK\r\n\r\nabc");
    let result = decoder.decode(&mut input, RESPONSE, false);
    assert!(result.expect("it is well formed").is_none());
    let response = decoder.decode(&mut input, RESPONSE, true);
    let response = response
        .expect("it is well formed")
        .expect("it is complete");
    assert_eq!(&response.body[..], b"abc");
    assert!(!response.keeps_alive);
}

/// Guards against consuming bytes after a response as part of it.
#[test]
fn bytes_after_a_response_stay_in_the_input() {
    let mut decoder = response::Decoder::new();
    let mut input = BytesMut::from("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200");
    let response = decoder.decode(&mut input, RESPONSE, false);
    assert!(response.expect("it is well formed").is_some());
    assert_eq!(&input[..], b"HTTP/1.1 200");
}
