//! Bodies that are sent over a framed connection.

use std::io;
use std::pin::pin;
use std::sync;

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use sequoiayoke_model::outcome;
use sequoiayoke_wire::convert;
use sequoiayoke_wire::stream;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;

/// Number of bytes that the peer is ready to receive.
#[derive(Clone, Debug)]
pub struct Credit(sync::Arc<Semaphore>);

impl Default for Credit {
    fn default() -> Self {
        Self::new()
    }
}

impl Credit {
    /// Creates the initial credit of a stream.
    pub fn new() -> Self {
        Self(sync::Arc::new(Semaphore::new(stream::CREDIT as usize)))
    }

    /// Adds credit that the peer has granted, up to the initial credit in total.
    pub fn grant(&self, size: u32) {
        let missing = (stream::CREDIT as usize).saturating_sub(self.0.available_permits());
        self.0.add_permits(missing.min(size as usize));
    }

    /// Ends every wait for credit.
    pub fn close(&self) {
        self.0.close();
    }
}

/// How the sending of a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The body was sent completely.
    Whole,
    /// The source of the body failed.
    Truncated,
    /// The stream or the connection has ended.
    Closed,
}

/// Sends a body; if its source fails, the stream is reset.
pub async fn send<B>(
    number: u64,
    body: B,
    credit: &Credit,
    frames: &mpsc::Sender<stream::Frame>,
) -> End
where
    B: Stream<Item = io::Result<Bytes>>,
{
    let mut body = pin!(body);
    while let Some(part) = body.next().await {
        let Ok(mut unsent) = part else {
            let reason = convert::encode_reason(outcome::Reason::Cancelled);
            let reset = stream::Body::Reset(stream::Reset { reason });
            let _ = frames.send(stream::Frame::new(number, reset)).await;
            return End::Truncated;
        };
        while !unsent.is_empty() {
            let chunk = unsent.split_to(unsent.len().min(stream::MAX_CHUNK));
            let Ok(permit) = credit.0.acquire_many(chunk.len() as u32).await else {
                return End::Closed;
            };
            permit.forget();
            let frame = stream::Frame::new(number, stream::Body::Data(chunk));
            if frames.send(frame).await.is_err() {
                return End::Closed;
            }
        }
    }
    let end = stream::Frame::new(number, stream::Body::End(stream::End {}));
    match frames.send(end).await {
        Ok(()) => End::Whole,
        Err(_) => End::Closed,
    }
}
