//! Bodies that arrive over a framed connection.

#![allow(clippy::unwrap_used)]

use bytes::Bytes;
use futures_util::StreamExt;
use sequoiayoke_node::traffic::peers::incoming;
use sequoiayoke_wire::stream;
use tokio::sync::mpsc;

/// Guards against a peer that fills the memory with ends, which cost no credit.
#[tokio::test]
async fn a_body_ends_once() {
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

/// Guards against a queue that grows past the credit in small chunks.
#[tokio::test]
async fn chunks_together_stay_within_the_credit() {
    let (frames, _queue) = mpsc::channel(1);
    let (feed, _body) = incoming::channel(1, frames);
    let chunk = Bytes::from(vec![0; stream::MAX_CHUNK]);
    let allowed = stream::CREDIT as usize / stream::MAX_CHUNK;
    for _ in 0..allowed {
        feed.data(chunk.clone()).unwrap();
    }
    let more = feed.data(Bytes::from_static(b"x"));
    assert_eq!(more, Err(incoming::Overrun));
}
