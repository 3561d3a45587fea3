//! Bodies of requests: buffered for several attempts, or streamed for a single one.

use std::io;
use std::pin::Pin;
use std::task;

use bytes::Bytes;
use futures_util::{Stream, StreamExt};

use crate::traffic::request;

/// Size in bytes up to which a body is buffered, so that its request can be retried.
const MAX_BUFFERED_BODY: u64 = 64 * 1024;

/// Body of a request: buffered for several attempts, or streamed for a single one.
pub(super) enum Source<B> {
    Buffered(Bytes),
    Streamed(Option<B>),
}

/// Body of one attempt.
pub(super) enum Attempt<B> {
    Buffered(Option<Bytes>),
    Streamed(B),
}

impl<B> Stream for Attempt<B>
where
    B: Stream<Item = io::Result<Bytes>> + Unpin,
{
    type Item = io::Result<Bytes>;

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Self::Item>> {
        match &mut *self {
            Self::Buffered(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                task::Poll::Ready(bytes.map(Ok))
            }
            Self::Streamed(body) => body.poll_next_unpin(context),
        }
    }
}

impl<B> Source<B> {
    /// Returns the body of the next attempt, unless it was streamed before.
    pub(super) fn next_attempt(&mut self) -> Option<Attempt<B>> {
        match self {
            Self::Buffered(bytes) => Some(Attempt::Buffered(Some(bytes.clone()))),
            Self::Streamed(body) => body.take().map(Attempt::Streamed),
        }
    }

    /// Returns whether a further attempt is possible.
    pub(super) const fn can_attempt(&self) -> bool {
        matches!(self, Self::Buffered(_) | Self::Streamed(Some(_)))
    }
}

/// Buffers a short body, so that its request can be retried.
pub(super) async fn buffer<B>(view: &request::View<'_>, mut body: B) -> io::Result<Source<B>>
where
    B: Stream<Item = io::Result<Bytes>> + Unpin,
{
    match view.body_bytes() {
        None if !view.is_chunked() => Ok(Source::Buffered(Bytes::new())),
        Some(size) if size <= MAX_BUFFERED_BODY => {
            let mut buffer = bytes::BytesMut::with_capacity(size as usize);
            while let Some(part) = body.next().await {
                buffer.extend_from_slice(&part?);
            }
            Ok(Source::Buffered(buffer.freeze()))
        }
        _ => Ok(Source::Streamed(Some(body))),
    }
}
