//! Responses of a faulty backend server: repeated, cut off, or without end.

#![allow(clippy::unwrap_used, missing_docs)]

use std::net;
use std::time::Duration;

use futures_util::StreamExt;
use http_body::Body as _;
use sequoiayoke_model::clock;
use sequoiayoke_node::traffic::server::{Failure, connection};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time;

/// Time after which an expected event counts as missing.
const LIMIT: Duration = Duration::from_secs(20);
/// Deadline of a request that gets no complete response.
const SHORT: Duration = Duration::from_millis(500);
/// A lease that does not expire.
const FOREVER: clock::Instant = clock::Instant::from_micros(u64::MAX);
/// Bytes that the sockets and the node may take of a response without end.
const MAX_TAKEN: usize = 32 << 20;
const REFUSAL: &str =
    "HTTP/1.1 409 Conflict\r\nsequoiayoke-refused: overload\r\ncontent-length: 0\r\n\r\n";

type Pool = connection::Pool<clock::Boot>;

fn request(number: usize) -> hyper::Request<reqwest::Body> {
    let builder = hyper::Request::builder().uri(format!("/s/refunds/{number}"));
    builder
        .header("host", "refunds")
        .body(reqwest::Body::default())
        .unwrap()
}

async fn bind() -> (TcpListener, Pool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address: net::SocketAddr = listener.local_addr().unwrap();
    let pool = connection::Pool::new(clock::Boot, address, LIMIT, 4);
    (listener, pool)
}

/// Reads the head of a request; returns `None` at the end of the connection.
async fn read_request(io: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        if io.read(&mut byte).await.ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    String::from_utf8(head).ok()
}

/// Returns the value of a header of a request.
fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines();
    lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
}

fn answer(body: &str, exchange: Option<&str>) -> String {
    let exchange = exchange.map(|value| format!("sequoiayoke-exchange: {value}\r\n"));
    let exchange = exchange.unwrap_or_default();
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\n{exchange}content-length: {length}\r\n\r\n{body}")
}

async fn read_body(response: hyper::Response<reqwest::Body>) -> String {
    let mut body = data_of(response.into_body());
    let mut bytes = Vec::new();
    while let Some(part) = body.next().await {
        bytes.extend_from_slice(&part.unwrap());
    }
    String::from_utf8(bytes).unwrap()
}

/// Returns the data of a body as a stream.
fn data_of(
    body: reqwest::Body,
) -> impl futures_util::Stream<Item = Result<bytes::Bytes, reqwest::Error>> + Unpin {
    let mut body = Box::pin(body);
    futures_util::stream::poll_fn(move |context| {
        let frame = std::task::ready!(body.as_mut().poll_frame(context));
        let data = frame.map(|frame| frame.map(|frame| frame.into_data().unwrap_or_default()));
        std::task::Poll::Ready(data)
    })
}

/// Lets the tasks of the pool return the connection, so that the next request could use it.
async fn settle() {
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }
}

/// Guards against a refusal that is repeated on its connection and taken for the response to the
/// next request, also if that repeats the request that was refused: it has run.
#[tokio::test]
async fn a_repeated_refusal_reaches_no_other_request() {
    let (listener, pool) = bind().await;
    let (started, mut requests) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        let mut is_first = true;
        while let Ok((mut io, _)) = listener.accept().await {
            let (started, refuses) = (started.clone(), is_first);
            is_first = false;
            tokio::spawn(async move {
                while let Some(head) = read_request(&mut io).await {
                    started
                        .send(head.lines().next().unwrap().to_owned())
                        .unwrap();
                    // The first connection gets the same refusal for each request, although only
                    // the first request is refused.
                    let bytes = match refuses {
                        true => REFUSAL.to_owned(),
                        false => answer("run", None),
                    };
                    if io.write_all(bytes.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    let response = pool.send(request(17), FOREVER, LIMIT).await.unwrap();
    assert_eq!(response.status().as_u16(), 409);
    assert_eq!(read_body(response).await, "");
    settle().await;
    let response = pool.send(request(17), FOREVER, LIMIT).await.unwrap();
    assert_eq!(requests.recv().await.unwrap(), "GET /s/refunds/17 HTTP/1.1");
    assert_eq!(requests.recv().await.unwrap(), "GET /s/refunds/17 HTTP/1.1");
    assert_eq!(
        response.status().as_u16(),
        200,
        "the second request has run"
    );
    assert_eq!(read_body(response).await, "run");
}

/// Guards against an earlier answer that is repeated on its connection after the next request was
/// sent, and taken for the answer to that.
#[tokio::test]
async fn a_repeated_answer_reaches_no_other_request() {
    let (listener, pool) = bind().await;
    tokio::spawn(async move {
        while let Ok((mut io, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut earlier = String::new();
                while let Some(head) = read_request(&mut io).await {
                    let path = head.split(' ').nth(1).unwrap();
                    let own = answer(path, header(&head, "sequoiayoke-exchange"));
                    let bytes = [earlier.as_str(), own.as_str()].concat();
                    earlier = own;
                    if io.write_all(bytes.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    let response = pool.send(request(1), FOREVER, LIMIT).await.unwrap();
    assert_eq!(read_body(response).await, "/s/refunds/1");
    settle().await;
    let failure = match pool.send(request(2), FOREVER, LIMIT).await {
        Ok(response) => panic!("got the answer {}", read_body(response).await),
        Err(failure) => failure,
    };
    assert_eq!(failure.outcome().as_str(), "unknown");
    // The connection is not used again.
    settle().await;
    let response = pool.send(request(3), FOREVER, LIMIT).await.unwrap();
    assert_eq!(read_body(response).await, "/s/refunds/3");
}

/// Guards against a response whose head is cut off, and that is taken for an answer without a body
/// or for a refusal.
#[tokio::test]
async fn a_response_that_ends_in_its_head_is_lost() {
    for text in [REFUSAL.to_owned(), answer("", None)] {
        for length in 0..text.len() {
            let (listener, pool) = bind().await;
            let part = text[..length].to_owned();
            let server = tokio::spawn(async move {
                let (mut io, _) = listener.accept().await.unwrap();
                read_request(&mut io).await.unwrap();
                io.write_all(part.as_bytes()).await.unwrap();
            });
            let response = pool.send(request(1), FOREVER, LIMIT).await;
            let failure = response.map(|response| response.status()).unwrap_err();
            assert_eq!(failure, Failure::Lost, "after {length} bytes of {text:?}");
            server.await.unwrap();
        }
    }
}

/// Serves endless repetitions of `part` after `start` on the first connection, and answers on the
/// others.
///
/// Returns 0 once it has read a request on the first connection, then the number of bytes that were
/// written until the node closed that.
fn serve_endless(
    listener: TcpListener,
    start: &'static str,
    part: &'static str,
) -> mpsc::UnboundedReceiver<usize> {
    let (written, total) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        let (mut io, _) = listener.accept().await.unwrap();
        tokio::spawn(async move {
            read_request(&mut io).await.unwrap();
            written.send(0).unwrap();
            io.write_all(start.as_bytes()).await.unwrap();
            let block = part.repeat(64 * 1024 / part.len());
            let mut count = 0;
            while let Ok(size) = io.write(block.as_bytes()).await {
                count += size;
            }
            written.send(count).unwrap();
        });
        while let Ok((mut io, _)) = listener.accept().await {
            tokio::spawn(async move {
                while let Some(head) = read_request(&mut io).await {
                    let bytes = answer("run", header(&head, "sequoiayoke-exchange"));
                    io.write_all(bytes.as_bytes()).await.unwrap();
                }
            });
        }
    });
    total
}

/// Guards against a head without end that takes memory or starves other requests until the
/// deadline of its request, and against an outcome other than "unknown".
#[tokio::test]
async fn a_head_without_end_is_lost() {
    let head = "HTTP/1.1 200 OK\r\n";
    let cases = [
        ("a line", "HTTP/1.1 200 OK\r\nname: ", "x"),
        ("lines", head, "name: value\r\n"),
        ("interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"),
        ("no response", "", "no response"),
    ];
    for (name, start, part) in cases {
        let (listener, pool) = bind().await;
        let mut written = serve_endless(listener, start, part);
        let slow = pool.clone();
        let slow = tokio::spawn(async move { slow.send(request(1), FOREVER, SHORT).await });
        assert_eq!(written.recv().await, Some(0));
        loop {
            let other = time::timeout(LIMIT, pool.send(request(2), FOREVER, LIMIT)).await;
            let other = other.unwrap_or_else(|_| panic!("{name}: other requests are starved"));
            assert_eq!(read_body(other.unwrap()).await, "run");
            if slow.is_finished() {
                break;
            }
        }
        let result = slow.await.unwrap().map(|response| response.status());
        let failure = result.unwrap_err();
        assert_eq!(failure.outcome().as_str(), "unknown", "{name}: {failure:?}");
        let written = time::timeout(LIMIT, written.recv()).await;
        let written = written.unwrap_or_else(|_| panic!("{name}: the connection stays open"));
        println!("{name}: {failure:?} after {written:?} bytes");
    }
}

/// Guards against a body without end that takes memory while its caller does not read, or that
/// lasts longer than the deadline of its request.
#[tokio::test]
async fn a_body_without_end_is_bounded() {
    let (listener, pool) = bind().await;
    let start = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let mut written = serve_endless(listener, start, "4\r\nbody\r\n");
    let response = pool.send(request(1), FOREVER, SHORT).await.unwrap();
    assert_eq!(response.status().as_u16(), 200);
    let other = time::timeout(LIMIT, pool.send(request(2), FOREVER, LIMIT)).await;
    assert_eq!(read_body(other.unwrap().unwrap()).await, "run");
    // Nothing reads the body until its deadline has passed.
    time::sleep(SHORT).await;
    let mut body = data_of(response.into_body());
    let read = async { while let Some(Ok(_)) = body.next().await {} };
    let read = time::timeout(LIMIT, read).await;
    assert!(read.is_ok(), "the body lasts longer than its deadline");
    drop(body);
    assert_eq!(written.recv().await, Some(0));
    let written = time::timeout(LIMIT, written.recv()).await;
    let written = written.expect("the connection stays open").unwrap();
    assert!(written < MAX_TAKEN, "{written} bytes");
}
