//! Responses whose connection is closed at every position, for each framing.

use bytes::BytesMut;
use sequoiayoke_http1::{Error, response};

const LIMITS: response::Limits = response::Limits {
    head: 1_024,
    body: 1_024,
};

/// Largest size of one read, in bytes. Reads of one byte show a decoder that depends on how the
/// input is split.
const READ_SIZES: [usize; 4] = [1, 3, 7, usize::MAX];

/// Heads and bodies of complete responses with the body that each has.
fn complete_responses() -> Vec<(String, &'static [u8])> {
    let bodies = [
        ("content-length: 11\r\n", "hello world", &b"hello world"[..]),
        ("content-length: 0\r\n", "", b""),
        (
            "transfer-encoding: chunked\r\n",
            "5\r\nhello\r\n6;name=value\r\n world\r\n0\r\ntrailer: 1\r\n\r\n",
            b"hello world",
        ),
        ("transfer-encoding: chunked\r\n", "0\r\n\r\n", b""),
    ];
    let mut responses = Vec::new();
    for (framing, body, content) in bodies {
        for interim in [
            "",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\na: b\r\n\r\n",
        ] {
            let head = format!("{interim}HTTP/1.1 200 OK\r\nname: value\r\n{framing}\r\n");
            responses.push((head.replace("\r\n", "\n") + body, content));
            responses.push((head + body, content));
        }
    }
    for status in ["204 No Content", "304 Not Modified"] {
        let head = format!("HTTP/1.1 {status}\r\ncontent-length: 5\r\n\r\n");
        responses.push((head.replace("\r\n", "\n"), b""));
        responses.push((head, b""));
    }
    responses
}

/// Decodes a connection that is closed after `text`, which arrives in reads of `size` bytes.
fn decode(text: &[u8], size: usize) -> Result<response::Response, Error> {
    let mut decoder = response::Decoder::new();
    let mut input = BytesMut::new();
    for part in text.chunks(size.min(text.len().max(1))) {
        input.extend_from_slice(part);
        if let Some(response) = decoder.decode(&mut input, LIMITS, false)? {
            return Ok(response);
        }
    }
    let response = decoder.decode(&mut input, LIMITS, true)?;
    Ok(response.expect("a closed connection yields a response or an error"))
}

/// Guards against a truncated response that is delivered as a whole one.
#[test]
fn a_response_that_is_cut_at_any_byte_is_incomplete() {
    for (text, content) in complete_responses() {
        for size in READ_SIZES {
            for end in 0..text.len() {
                let result = decode(&text.as_bytes()[..end], size);
                let error = result.expect_err("the response is cut");
                assert_eq!(error, Error::Incomplete, "{:?}", &text[..end]);
            }
            let response = decode(text.as_bytes(), size).expect("the response is whole");
            assert_eq!(&response.body[..], content, "{text:?}");
        }
    }
}

/// Guards against a head that is cut and then taken for one without a length, whose body ends with
/// the connection. After the whole head, the end of the connection is the end of the body.
#[test]
fn a_response_without_length_is_incomplete_until_its_head_is_whole() {
    for line_end in ["\r\n", "\n"] {
        for interim in ["", "HTTP/1.1 100 Continue\r\n\r\n"] {
            let head = format!("{interim}HTTP/1.1 200 OK\r\nname: value\r\n\r\n");
            let head = head.replace("\r\n", line_end);
            let text = format!("{head}hello");
            for size in READ_SIZES {
                for end in 0..text.len() {
                    let result = decode(&text.as_bytes()[..end], size);
                    match end.checked_sub(head.len()) {
                        None => {
                            let error = result.expect_err("the head is cut");
                            assert_eq!(error, Error::Incomplete, "{:?}", &text[..end]);
                        }
                        Some(length) => {
                            let response = result.expect("the head is whole");
                            assert_eq!(response.body.len(), length);
                            assert!(!response.keeps_alive);
                        }
                    }
                }
            }
        }
    }
}

/// Guards against a response whose head begins with a part of another one: bytes after an earlier
/// response may end anywhere in a head, and the awaited response follows them.
#[test]
fn a_response_after_a_part_of_a_head_is_not_mixed_with_it() {
    let other = "HTTP/1.1 503 Busy\r\nid: other\r\nrefusal: 1\r\ncontent-length: 0\r\n\r\n";
    let awaited = "HTTP/1.1 200 OK\r\nid: awaited\r\ncontent-length: 5\r\n\r\nhello";
    for end in 1..other.len() {
        for size in READ_SIZES {
            let text = format!("{}{awaited}", &other[..end]);
            let result = decode(text.as_bytes(), size);
            assert_eq!(result.err(), Some(Error::Head), "{text:?}");
        }
    }
}
