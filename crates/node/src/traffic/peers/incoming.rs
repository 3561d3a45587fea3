//! Bodies that are received over a framed connection.
//!
//! The sender may have [`stream::CREDIT`] bytes in flight; each chunk that is
//! consumed grants its size again. This bounds the queue in bytes.

use std::io;
use std::sync;
use std::sync::atomic;
use std::task;

use bytes::Bytes;
use futures_util::Stream;
use sequoiayoke_model::outcome;
use sequoiayoke_wire::stream;
use tokio::sync::mpsc;
use tokio_util::sync::PollSender;

/// Part of a body, or its end.
#[derive(Debug)]
enum Part {
    Data(Bytes),
    End,
    Truncated(outcome::Reason),
}

/// Receiving end of a body.
#[derive(Debug)]
pub struct Incoming {
    number: u64,
    parts: mpsc::UnboundedReceiver<Part>,
    queued: sync::Arc<atomic::AtomicU32>,
    frames: PollSender<stream::Frame>,
    // Consumed bytes whose credit has not been granted again yet.
    ungranted: u32,
    ended: bool,
}

/// Sending end of a body, held by the reader of the connection.
#[derive(Debug)]
pub struct Feed {
    parts: mpsc::UnboundedSender<Part>,
    queued: sync::Arc<atomic::AtomicU32>,
    ended: atomic::AtomicBool,
}

/// The peer exceeded its credit, or sent more after the end of the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overrun;

/// Creates both ends of the body of stream `number`; credit is granted through `frames`.
pub fn channel(number: u64, frames: mpsc::Sender<stream::Frame>) -> (Feed, Incoming) {
    // The number of parts is unbounded, but `Feed::data` bounds the bytes by the credit.
    let (sender, parts) = mpsc::unbounded_channel();
    let queued = sync::Arc::new(atomic::AtomicU32::new(0));
    let feed = Feed {
        parts: sender,
        queued: sync::Arc::clone(&queued),
        ended: atomic::AtomicBool::new(false),
    };
    let incoming = Incoming {
        number,
        parts,
        queued,
        frames: PollSender::new(frames),
        ungranted: 0,
        ended: false,
    };
    (feed, incoming)
}

impl Feed {
    /// Adds a chunk.
    ///
    /// # Errors
    ///
    /// Fails if the peer exceeds its credit or has ended the body.
    pub fn data(&self, chunk: Bytes) -> Result<(), Overrun> {
        if self.ended.load(atomic::Ordering::Acquire) {
            return Err(Overrun);
        }
        // An empty chunk uses no credit, so queueing it would leave the queue unbounded.
        if chunk.is_empty() {
            return Ok(());
        }
        let size = u32::try_from(chunk.len()).map_err(|_| Overrun)?;
        let before = self.queued.fetch_add(size, atomic::Ordering::AcqRel);
        if before.saturating_add(size) > stream::CREDIT {
            return Err(Overrun);
        }
        // Fails only if the receiver was dropped, which needs no more data.
        let _ = self.parts.send(Part::Data(chunk));
        Ok(())
    }

    /// Ends the body.
    ///
    /// An end uses no credit, so queueing repeated ends would leave the queue unbounded.
    ///
    /// # Errors
    ///
    /// Fails if the peer has already ended the body.
    pub fn end(&self) -> Result<(), Overrun> {
        if self.ended.swap(true, atomic::Ordering::AcqRel) {
            return Err(Overrun);
        }
        let _ = self.parts.send(Part::End);
        Ok(())
    }

    /// Truncates the body, which then ends with an error.
    pub fn truncate(&self, reason: outcome::Reason) {
        let _ = self.parts.send(Part::Truncated(reason));
    }
}

impl Incoming {
    /// Polls for the next chunk; returns `None` only after a complete body.
    pub fn poll(
        &mut self,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<io::Result<Bytes>>> {
        if self.ended {
            return task::Poll::Ready(None);
        }
        self.grant(context);
        let truncated = |reason: outcome::Reason| {
            let text = format!("the body was truncated: {reason}");
            Some(Err(io::Error::new(io::ErrorKind::UnexpectedEof, text)))
        };
        match task::ready!(self.parts.poll_recv(context)) {
            Some(Part::Data(chunk)) => {
                self.consume(chunk.len() as u32);
                task::Poll::Ready(Some(Ok(chunk)))
            }
            Some(Part::End) => {
                self.ended = true;
                task::Poll::Ready(None)
            }
            Some(Part::Truncated(reason)) => {
                self.ended = true;
                task::Poll::Ready(truncated(reason))
            }
            None => {
                self.ended = true;
                task::Poll::Ready(truncated(outcome::Reason::ConnectionLost))
            }
        }
    }

    fn consume(&mut self, size: u32) {
        self.queued.fetch_sub(size, atomic::Ordering::AcqRel);
        self.ungranted += size;
    }

    /// Grants credit for consumed bytes; if the write queue is full, the task is woken later.
    fn grant(&mut self, context: &mut task::Context<'_>) {
        // Few large grants have less overhead than one for each chunk.
        if self.ungranted < stream::CREDIT / 4 {
            return;
        }
        if let task::Poll::Ready(Ok(())) = self.frames.poll_reserve(context) {
            let frame = stream::Frame::new(self.number, stream::Body::Credit(self.ungranted));
            // Fails only if the connection has ended, which needs no credit.
            let _ = self.frames.send_item(frame);
            self.ungranted = 0;
        }
    }
}

impl Stream for Incoming {
    type Item = io::Result<Bytes>;

    fn poll_next(
        self: std::pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Self::Item>> {
        self.get_mut().poll(context)
    }
}
