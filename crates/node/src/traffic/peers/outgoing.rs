//! A body that is sent over a framed connection.

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

/// Bytes that the peer is ready to take.
#[derive(Clone, Debug)]
pub struct Credit(sync::Arc<Semaphore>);

impl Default for Credit {
    fn default() -> Self {
        Self::new()
    }
}

impl Credit {
    /// Starts with the initial credit of a stream.
    pub fn new() -> Self {
        Self(sync::Arc::new(Semaphore::new(stream::CREDIT as usize)))
    }

    /// Adds what the peer has granted; never more than the initial credit in all.
    pub fn grant(&self, size: u32) {
        let room = (stream::CREDIT as usize).saturating_sub(self.0.available_permits());
        self.0.add_permits(room.min(size as usize));
    }

    /// Ends every wait for credit.
    pub fn close(&self) {
        self.0.close();
    }
}

/// How a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It was sent whole.
    Whole,
    /// Its source broke off.
    Cut,
    /// The stream or the connection is gone.
    Gone,
}

/// Sends a whole body; the peer learns of a cut by a reset.
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
        let Ok(mut rest) = part else {
            let reason = convert::reason(outcome::Reason::Cancelled);
            let reset = stream::Body::Reset(stream::Reset { reason });
            let _ = frames.send(stream::Frame::new(number, reset)).await;
            return End::Cut;
        };
        while !rest.is_empty() {
            let chunk = rest.split_to(rest.len().min(stream::MAX_CHUNK));
            let Ok(permit) = credit.0.acquire_many(chunk.len() as u32).await else {
                return End::Gone;
            };
            permit.forget();
            let frame = stream::Frame::new(number, stream::Body::Data(chunk));
            if frames.send(frame).await.is_err() {
                return End::Gone;
            }
        }
    }
    let end = stream::Frame::new(number, stream::Body::End(stream::End {}));
    match frames.send(end).await {
        Ok(()) => End::Whole,
        Err(_) => End::Gone,
    }
}
