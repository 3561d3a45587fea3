//! Requests that start only while the lease is valid.

#![allow(clippy::unwrap_used)]

use std::sync;
use std::sync::atomic;
use std::time::Duration;

use sequoiayoke_model::clock;
use sequoiayoke_node::traffic::server::{Failure, connection};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const LIMIT: Duration = Duration::from_secs(10);
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// A clock that a test sets.
#[derive(Clone, Debug, Default)]
struct Fake(sync::Arc<atomic::AtomicU64>);

impl clock::Clock for Fake {
    fn now(&self) -> clock::Instant {
        clock::Instant::from_micros(self.0.load(atomic::Ordering::SeqCst))
    }
}

fn request() -> hyper::Request<reqwest::Body> {
    let builder = hyper::Request::builder().uri("/s/refunds/kiosk-17");
    builder
        .header("host", "refunds")
        .body(reqwest::Body::default())
        .unwrap()
}

/// Guards against a node that is suspended after the check of its lease and writes the
/// request when it resumes, to a backend server that does not check fencing.
#[tokio::test]
async fn request_is_not_written_after_the_lease_has_expired() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        let (mut io, _) = listener.accept().await.unwrap();
        let mut seen = Vec::new();
        let mut buffer = [0; 1024];
        loop {
            let count = io.read(&mut buffer).await.unwrap_or(0);
            if count == 0 {
                return seen;
            }
            seen.extend_from_slice(&buffer[..count]);
            io.write_all(ANSWER).await.unwrap();
        }
    });
    let clock = Fake::default();
    let pool = connection::Pool::new(clock.clone(), address, LIMIT, 4);
    let until = clock::Instant::from_micros(1_000);
    let response = pool.send(request(), until, LIMIT).await.unwrap();
    assert_eq!(response.status().as_u16(), 200);
    drop(response);
    // Stands for a suspension after the check of the lease that lasts until it has expired.
    clock.0.store(1_000, atomic::Ordering::SeqCst);
    let refused = pool.send(request(), until, LIMIT).await.unwrap_err();
    assert_eq!(refused, Failure::LeaseExpired);
    // A later lease would allow requests again. Dropping the pool closes its connections,
    // which ends the server task.
    drop(pool);
    let seen = String::from_utf8(server.await.unwrap()).unwrap();
    assert_eq!(seen.matches("GET ").count(), 1, "{seen}");
}

/// Guards against "not run" for an upload that the backend server has started, if the server sends
/// a byte before the end of the upload and the lease of its start ends meanwhile.
#[tokio::test]
async fn a_request_that_has_started_is_not_cut_when_the_lease_expires() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, body) = tokio::sync::mpsc::channel(1);
    let clock = Fake::default();
    let server_clock = clock.clone();
    let server = tokio::spawn(async move {
        let (mut io, _) = listener.accept().await.unwrap();
        let mut seen = Vec::new();
        let mut has_hinted = false;
        while !seen.ends_with(b"0\r\n\r\n") {
            assert_ne!(io.read_buf(&mut seen).await.unwrap(), 0, "cut");
            if !has_hinted && seen.windows(5).any(|part| part == b"first") {
                let hint = b"HTTP/1.1 103 Early Hints\r\n\r\n";
                io.write_all(hint).await.unwrap();
                has_hinted = true;
                // The node reads the hint before the lease ends and the rest is sent.
                for _ in 0..100 {
                    tokio::task::yield_now().await;
                }
                server_clock.0.store(1_000, atomic::Ordering::SeqCst);
                let rest = bytes::Bytes::from_static(b"second");
                sender.send(Ok::<_, std::io::Error>(rest)).await.unwrap();
                sender.closed().await;
            }
        }
        io.write_all(ANSWER).await.unwrap();
    });
    let mut body = body;
    let mut first = Some(Ok(bytes::Bytes::from_static(b"first")));
    let mut has_second = false;
    let body = futures_util::stream::poll_fn(move |context| {
        if let Some(first) = first.take() {
            return std::task::Poll::Ready(Some(first));
        }
        if has_second {
            body.close();
            return std::task::Poll::Ready(None);
        }
        let rest = body.poll_recv(context);
        has_second = rest.is_ready();
        rest
    });
    let builder = hyper::Request::builder().method("POST").uri("/s/refunds/1");
    let request = builder.header("host", "refunds");
    let request = request.body(reqwest::Body::wrap_stream(body)).unwrap();
    let pool = connection::Pool::new(clock, address, LIMIT, 4);
    let until = clock::Instant::from_micros(1_000);
    let response = pool.send(request, until, LIMIT).await.unwrap();
    assert_eq!(response.status().as_u16(), 200);
    server.await.unwrap();
}
