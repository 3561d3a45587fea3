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
