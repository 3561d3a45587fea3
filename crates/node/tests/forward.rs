//! Order of the stream numbers on a connection to another node.

#![allow(clippy::unwrap_used)]

use std::net;
use std::sync;
use std::sync::atomic;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use sequoiayoke_node::traffic::peers::dial;
use sequoiayoke_supervise::Stop;
use sequoiayoke_wire::{auth, frame, stream};
use tokio::net::TcpListener;
use tokio_util::codec;

const SECRET: &[u8] = b"forward-shared-secret-0001";
const TASKS: usize = 8;
const REQUESTS: usize = 500;

type Codec = frame::Codec<stream::Frame, stream::Frame>;

/// Answers every stream of one connection, and counts the stream numbers that do not ascend.
async fn serve_owner(listener: TcpListener, out_of_order: sync::Arc<atomic::AtomicUsize>) {
    let (io, _) = listener.accept().await.unwrap();
    let io = auth::accept(io, auth::Kind::Stream, SECRET).await.unwrap();
    let mut frames = codec::Framed::new(io, Codec::new());
    let mut last = 0;
    while let Some(Ok(frame)) = frames.next().await {
        if !matches!(frame.body, Some(stream::Body::Open(_))) {
            continue;
        }
        let violations = usize::from(frame.stream <= last);
        out_of_order.fetch_add(violations, atomic::Ordering::Relaxed);
        last = last.max(frame.stream);
        let bodies = [
            stream::Body::Head(stream::Head::default()),
            stream::Body::End(stream::End {}),
        ];
        for body in bodies {
            let answer = stream::Frame::new(frame.stream, body);
            frames.send(&answer).await.unwrap();
        }
    }
}

async fn forward(pool: &dial::Pool, address: net::SocketAddr) {
    let body = futures_util::stream::empty::<std::io::Result<Bytes>>();
    let open = stream::Open::default();
    let reply = pool
        .forward(address, open, body, &Stop::new())
        .await
        .unwrap();
    let parts: Vec<_> = reply.body.collect().await;
    assert!(parts.iter().all(Result::is_ok), "{parts:?}");
}

/// Guards against streams that reach the owner out of order, which concurrent requests can
/// cause: the owner closes the connection, and every request on it has an unknown outcome.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn concurrent_streams_open_in_ascending_order() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let out_of_order = sync::Arc::new(atomic::AtomicUsize::new(0));
    let owner = tokio::spawn(serve_owner(listener, sync::Arc::clone(&out_of_order)));
    let pool = sync::Arc::new(dial::Pool::new(dial::Config {
        secret: SECRET.into(),
        connect: Duration::from_secs(5),
        streams: TASKS,
    }));
    // The first request opens the connection; the others share it.
    forward(&pool, address).await;
    let mut tasks = tokio::task::JoinSet::new();
    for _ in 0..TASKS {
        let pool = sync::Arc::clone(&pool);
        tasks.spawn(async move {
            for _ in 0..REQUESTS {
                forward(&pool, address).await;
            }
        });
    }
    tasks.join_all().await;
    assert!(!owner.is_finished(), "the connection ended early");
    assert_eq!(out_of_order.load(atomic::Ordering::Relaxed), 0);
}
