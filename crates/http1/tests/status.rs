//! Responses whose method or status decides whether a body follows.

use bytes::BytesMut;
use sequoiayoke_http1::{Error, response};

const LIMITS: response::Limits = response::Limits {
    head: 1_024,
    body: 1_024,
};

/// Guards against a wait for a body that the response to HEAD does not have, and against a
/// connection that is reused after a server has sent one all the same.
#[test]
fn a_response_to_head_has_no_body() {
    for framing in [
        "content-length: 5\r\n",
        "transfer-encoding: chunked\r\n",
        "",
    ] {
        let text = format!("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n{framing}\r\n");
        let mut decoder = response::Decoder::new().with_method("HEAD");
        let mut input = BytesMut::from(text.as_str());
        let response = decoder.decode(&mut input, LIMITS, false);
        let response = response
            .expect("it is well formed")
            .expect("it is complete");
        assert!(
            response.body.is_empty() && response.keeps_alive,
            "{framing}"
        );
        let mut input = BytesMut::from(format!("{text}hello").as_str());
        let response = decoder.decode(&mut input, LIMITS, false);
        assert!(response.expect("it is well formed").is_some());
        assert_eq!(&input[..], b"hello");
    }
    // A declared body over the limit is not sent.
    let mut input = BytesMut::from("HTTP/1.1 200 OK\r\ncontent-length: 99999\r\n\r\n");
    let mut decoder = response::Decoder::new().with_method("HEAD");
    let response = decoder.decode(&mut input, LIMITS, true);
    assert!(response.expect("it is well formed").is_some());
}

/// Guards against a wait for the body of a response that has none by its status.
#[test]
fn a_response_without_content_has_no_body() {
    for status in ["204 No Content", "304 Not Modified"] {
        let text = format!("HTTP/1.1 {status}\r\ncontent-length: 5\r\n\r\n");
        let mut input = BytesMut::from(text.as_str());
        let response = response::Decoder::new().decode(&mut input, LIMITS, false);
        let response = response
            .expect("it is well formed")
            .expect("it is complete");
        assert!(response.body.is_empty() && response.keeps_alive, "{status}");
    }
}

/// Guards against a response that a caller cannot read as an answer: a status that the protocol does
/// not have, or a switch to another protocol that nobody asked for.
#[test]
fn a_status_that_is_no_answer_is_malformed() {
    for status in ["000", "007", "099", "101", "600", "999"] {
        let text = format!("HTTP/1.1 {status} Status\r\ncontent-length: 0\r\n\r\n");
        let mut input = BytesMut::from(text.as_str());
        let result = response::Decoder::new().decode(&mut input, LIMITS, false);
        assert_eq!(result.expect_err(status), Error::Head, "{status}");
    }
}
