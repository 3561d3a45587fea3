//! Bodies that are received over a framed connection.

#![allow(clippy::unwrap_used)]

use bytes::Bytes;
use futures_util::StreamExt;
use sequoiayoke_node::traffic::peers::incoming;
use sequoiayoke_wire::stream;
use tokio::sync::mpsc;

/// Guards against a peer that exhausts memory by repeated ends of a body, which use no credit.
#[tokio::test]
async fn body_accepts_one_end_and_nothing_after_it() {
    let (frames, _queue) = mpsc::channel(1);
    let (feed, mut body) = incoming::channel(1, frames);
    feed.data(Bytes::from_static(b"whole")).unwrap();
    feed.end().unwrap();
    for _ in 0..100 {
        assert_eq!(feed.end(), Err(incoming::Overrun));
        let late = feed.data(Bytes::from_static(b"late"));
        assert_eq!(late, Err(incoming::Overrun));
    }
    let first = body.next().await.unwrap().unwrap();
    assert_eq!(first, Bytes::from_static(b"whole"));
    assert!(body.next().await.is_none());
}

/// Guards against a queue that exceeds the credit by many chunks, each of which is within it.
#[tokio::test]
async fn total_size_of_queued_chunks_is_bounded_by_the_credit() {
    let (frames, _queue) = mpsc::channel(1);
    let (feed, _body) = incoming::channel(1, frames);
    let chunk = Bytes::from(vec![0; stream::MAX_CHUNK]);
    let allowed = stream::CREDIT as usize / stream::MAX_CHUNK;
    for _ in 0..allowed {
        feed.data(chunk.clone()).unwrap();
    }
    let excess = feed.data(Bytes::from_static(b"x"));
    assert_eq!(excess, Err(incoming::Overrun));
}
