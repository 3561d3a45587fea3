//! Connections to other replicas.

#![allow(clippy::unwrap_used, missing_docs)]

use std::net;
use std::sync;
use std::time::Duration;

use futures_util::StreamExt;
use sequoiayoke_control::{measure, traffic};
use sequoiayoke_supervise::Stop;
use sequoiayoke_wire::{auth, frame, replica};
use tokio::sync::{mpsc, watch};
use tokio::time;
use tokio_util::codec;

const SECRET: &[u8] = b"links-shared-secret-0001";
const REGION: &str = "anatolia";
/// Number of frames that are queued when the replica stops.
const FRAMES: usize = 64;
/// Time after which an expected event counts as missing.
const MAX_WAIT: Duration = Duration::from_secs(10);

type Framed = codec::Framed<tokio::net::TcpStream, frame::Codec<replica::Frame, replica::Frame>>;

fn bind() -> net::TcpListener {
    net::TcpListener::bind("127.0.0.1:0").unwrap()
}

fn takeover() -> replica::Frame {
    let kind = Some(replica::Kind::TimeoutNow(replica::TimeoutNow {}));
    let log = replica::Log { term: 1, kind };
    replica::Frame {
        body: Some(replica::Body::Log(log)),
    }
}

/// Guards against a connection that is closed while frames wait in its queue, above all the request
/// to take over the leadership.
#[tokio::test(flavor = "multi_thread")]
async fn queued_frames_are_sent_before_a_replica_ends() {
    let peer = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let (sender, queue) = mpsc::channel(2 * FRAMES);
    let link = traffic::Link {
        address: peer.local_addr().unwrap(),
        queue,
    };
    let listeners = traffic::Listeners {
        replica: bind(),
        node: bind(),
        operator: bind(),
    };
    let (events, _inbox) = mpsc::channel(1);
    let hello = replica::Hello {
        region: REGION.to_owned(),
        name: "a".to_owned(),
        id: 1,
        is_stopping: false,
        members: Vec::new(),
    };
    let (_announcement, hello) = watch::channel(hello);
    let stop = Stop::new();
    let config = traffic::Config {
        secret: sync::Arc::from(SECRET),
        region: REGION.to_owned(),
        replicas: vec!["a".to_owned(), "b".to_owned()],
        connect: MAX_WAIT,
        events,
        hello,
        measure: sync::Arc::new(measure::Measure::new().unwrap()),
        stop: stop.clone(),
    };
    let running = tokio::spawn(traffic::run(listeners, vec![link], config));
    let (io, _) = peer.accept().await.unwrap();
    let io = auth::accept(io, auth::Kind::Replica, SECRET).await.unwrap();
    let mut frames = Framed::new(io, frame::Codec::new());
    let first = frames.next().await.unwrap().unwrap();
    assert!(matches!(first.body, Some(replica::Body::Hello(_))));
    for _ in 0..FRAMES {
        sender.try_send(takeover()).unwrap();
    }
    stop.cancel();
    time::timeout(MAX_WAIT, running)
        .await
        .unwrap()
        .unwrap()
        .unwrap();
    // What was sent is in the socket by now.
    let mut received = 0;
    while let Some(Ok(frame)) = time::timeout(MAX_WAIT, frames.next()).await.unwrap() {
        received += usize::from(frame == takeover());
    }
    assert_eq!(received, FRAMES);
}
