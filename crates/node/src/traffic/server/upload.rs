//! Body of a request while it is written to the backend server.

use std::io;
use std::pin::Pin;
use std::sync;
use std::sync::atomic;
use std::task;

use bytes::Bytes;
use futures_util::Stream;

/// How far an upload is.
#[derive(Clone, Debug, Default)]
pub(super) struct Progress(sync::Arc<State>);

#[derive(Debug, Default)]
struct State {
    has_failed: atomic::AtomicBool,
    is_written: atomic::AtomicBool,
}

impl Progress {
    /// Returns whether the body failed, so that the server cannot have received all of it.
    pub(super) fn has_failed(&self) -> bool {
        self.0.has_failed.load(atomic::Ordering::Acquire)
    }

    /// Returns whether the whole body was taken to be written.
    pub(super) fn is_written(&self) -> bool {
        self.0.is_written.load(atomic::Ordering::Acquire)
    }

    fn record_written(&self) {
        self.0.is_written.store(true, atomic::Ordering::Release);
    }
}

/// A body that records its progress.
pub(super) struct Upload<Body> {
    body: Body,
    /// Bytes that are left, if the length is known; the end of such a body is not read.
    left: Option<u64>,
    progress: Progress,
}

impl<Body> Upload<Body> {
    /// Creates the upload of a body of `length` bytes, if the length is known.
    pub(super) fn new(body: Body, length: Option<u64>) -> Self {
        let progress = Progress::default();
        if length == Some(0) {
            progress.record_written();
        }
        Self {
            body,
            left: length,
            progress,
        }
    }

    pub(super) fn progress(&self) -> Progress {
        self.progress.clone()
    }
}

impl<Body> Stream for Upload<Body>
where
    Body: Stream<Item = io::Result<Bytes>> + Unpin,
{
    type Item = io::Result<Bytes>;

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Self::Item>> {
        let part = task::ready!(Pin::new(&mut self.body).poll_next(context));
        match &part {
            Some(Ok(bytes)) => {
                self.left = self
                    .left
                    .map(|left| left.saturating_sub(bytes.len() as u64));
                if self.left == Some(0) {
                    self.progress.record_written();
                }
            }
            Some(Err(_)) => {
                let has_failed = &self.progress.0.has_failed;
                has_failed.store(true, atomic::Ordering::Release);
            }
            None => self.progress.record_written(),
        }
        task::Poll::Ready(part)
    }
}
