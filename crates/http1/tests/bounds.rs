//! Bounds on what a peer may send that is no message, or a message without end.

use std::sync::mpsc;
use std::thread;
use std::time::Duration;

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
/// Largest number of bytes that a decoder may take from a sender without end.
const MAX_BYTES: usize = 64 * 1024;
/// Time after which a decoder is considered to take quadratic time; it needs some milliseconds.
const MAX_TIME: Duration = Duration::from_secs(60);

/// Decodes `start`, then `rest` again and again, in reads of `size` bytes; returns the error that
/// ends it and the number of bytes that were read.
fn decode_endless(start: &str, rest: &str, size: usize) -> (Error, usize) {
    let mut decoder = response::Decoder::new();
    let mut input = BytesMut::new();
    let bytes = start.bytes().chain(rest.bytes().cycle());
    let bytes: Vec<_> = bytes.take(MAX_BYTES).collect();
    for (index, part) in bytes.chunks(size).enumerate() {
        input.extend_from_slice(part);
        match decoder.decode(&mut input, RESPONSE, false) {
            Ok(None) => {}
            Ok(Some(response)) => panic!("{start:?} is no response: {response:?}"),
            Err(error) => return (error, index * size + part.len()),
        }
    }
    panic!("{start:?} and {rest:?} without end are not refused");
}

/// Guards against a sender that keeps a request waiting with bytes that never become an answer.
#[test]
fn a_response_without_end_is_refused() {
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    for (start, rest, expected) in [
        ("HTTP/1.1 200 OK\r\nname: ", "x", Error::HeadTooLong),
        ("HTTP/1.1 200 ", "x", Error::HeadTooLong),
        ("", "\r\n", Error::HeadTooLong),
        ("", "\n", Error::HeadTooLong),
        ("", "HTTP/1.1 100 Continue\r\n\r\n", Error::HeadTooLong),
        ("", "HTTP/1.1 103 Early\r\na: b\r\n\r\n", Error::HeadTooLong),
        ("HTTP/1.1 200 OK\r\n\r\n", "x", Error::BodyTooLong),
        (chunked, "5\r\nhello\r\n", Error::BodyTooLong),
        (
            chunked,
            "1;extension=0123456789012345678901234567890123456789\r\nx\r\n",
            Error::Chunk,
        ),
        (chunked, "0", Error::Chunk),
        (chunked, "x", Error::Chunk),
        (
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
            "name: value\r\n",
            Error::Chunk,
        ),
    ] {
        for size in [1, 16, 4_096] {
            let (error, _) = decode_endless(start, rest, size);
            assert_eq!(error, expected, "{start:?} {rest:?}");
        }
    }
}

/// Guards against the bytes of a body that are read although its declared length is over the limit.
#[test]
fn a_body_over_the_limit_is_refused_at_its_declared_length() {
    for text in [
        "HTTP/1.1 200 OK\r\ncontent-length: 1025\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 18446744073709551615\r\n\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n401\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nffffffffffffffff\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n400\r\n",
    ] {
        let result = response::Decoder::new().decode(&mut BytesMut::from(text), RESPONSE, false);
        assert_eq!(result.expect_err(text), Error::BodyTooLong, "{text}");
    }
}

/// Guards against a limit that holds only while a head is incomplete.
#[test]
fn a_head_that_is_complete_in_one_read_is_bounded() {
    let value = "x".repeat(2_000);
    let text = format!("HTTP/1.1 200 OK\r\nname: {value}\r\ncontent-length: 0\r\n\r\n");
    let mut input = BytesMut::from(text.as_str());
    let result = response::Decoder::new().decode(&mut input, RESPONSE, false);
    assert_eq!(result.expect_err("too long"), Error::HeadTooLong);
    let text = format!("GET / HTTP/1.1\r\nname: {value}\r\n\r\n");
    let mut input = BytesMut::from(text.as_str());
    let result = request::Decoder::new().decode(&mut input, REQUEST);
    assert_eq!(result.expect_err("too long"), Error::HeadTooLong);
}

/// Guards against interim responses that are each within the limit, but not together.
#[test]
fn interim_responses_count_towards_the_limit_of_the_head() {
    let interim = "HTTP/1.1 103 Early\r\nname: value\r\n\r\n";
    let last = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    let text = interim.repeat(8) + last;
    let result =
        response::Decoder::new().decode(&mut BytesMut::from(text.as_str()), RESPONSE, false);
    let response = result.expect("it is within the limit");
    assert_eq!(response.map(|response| response.status), Some(200));
    let text = interim.repeat(64) + last;
    let result =
        response::Decoder::new().decode(&mut BytesMut::from(text.as_str()), RESPONSE, false);
    assert_eq!(result.expect_err("too long"), Error::HeadTooLong);
}

/// Guards against the number of fields, whose ranges need more memory than their bytes.
#[test]
fn the_number_of_fields_is_bounded() {
    let fields = "a:b\r\n".repeat(65);
    let text = format!("GET / HTTP/1.1\r\n{fields}\r\n");
    let result = request::Decoder::new().decode(&mut BytesMut::from(text.as_str()), REQUEST);
    assert_eq!(result.expect_err("too many"), Error::HeadTooLong);
    let text = format!("HTTP/1.1 200 OK\r\n{fields}\r\n");
    let mut input = BytesMut::from(text.as_str());
    let result = response::Decoder::new().decode(&mut input, RESPONSE, false);
    assert_eq!(result.expect_err("too many"), Error::HeadTooLong);
}

/// Guards against an upload without end: the body of a request is refused where it passes the limit.
#[test]
fn a_body_of_a_request_is_bounded_while_it_arrives() {
    let head = "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n";
    let mut decoder = request::Decoder::new();
    let mut input = BytesMut::from(head);
    let mut count = 0;
    let error = loop {
        input.extend_from_slice(b"10\r\n0123456789abcdef\r\n");
        match decoder.decode(&mut input, REQUEST) {
            Ok(event) => assert!(matches!(event, request::Event::More)),
            Err(error) => break error,
        }
        count += 16;
    };
    assert_eq!((error, count), (Error::BodyTooLong, 1_024));
}

/// Guards against parsing a long head from its start at each read: one that arrives byte by byte
/// would take some minutes of the only traffic thread.
#[test]
fn a_long_head_in_small_reads_takes_linear_time() {
    const HEAD: usize = 1 << 19;
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        let long = "x".repeat(HEAD - 100);
        let mut decoder = response::Decoder::new();
        let mut input = BytesMut::new();
        let limits = response::Limits {
            head: HEAD,
            body: 0,
        };
        let text = format!("HTTP/1.1 200 OK\r\nname: {long}\r\ncontent-length: 0\r\n\r\n");
        let mut response = None;
        for byte in text.bytes() {
            input.extend_from_slice(&[byte]);
            response = decoder
                .decode(&mut input, limits, false)
                .expect("it is well formed");
        }
        assert!(response.is_some());
        let mut decoder = request::Decoder::new();
        let limits = request::Limits {
            head: HEAD,
            body: 0,
        };
        let text = format!("GET /{long} HTTP/1.1\r\n\r\n");
        let mut event = request::Event::More;
        for byte in text.bytes() {
            input.extend_from_slice(&[byte]);
            event = decoder
                .decode(&mut input, limits)
                .expect("it is well formed");
        }
        sender
            .send(matches!(event, request::Event::Request(_)))
            .expect("the test waits");
    });
    let result = receiver.recv_timeout(MAX_TIME);
    assert_eq!(result, Ok(true), "not decoded in time");
}
