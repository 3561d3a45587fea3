//! A body that arrives over a framed connection.
//!
//! The sender may have [`stream::CREDIT`] bytes under way; each chunk that is
//! taken out grants its size again. So the queue is bounded in bytes.

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
    Cut(outcome::Reason),
}

/// Receiving end of a body.
#[derive(Debug)]
pub struct Incoming {
    number: u64,
    parts: mpsc::UnboundedReceiver<Part>,
    queued: sync::Arc<atomic::AtomicU32>,
    frames: PollSender<stream::Frame>,
    // Bytes taken out whose credit was not granted again yet.
    owed: u32,
    ended: bool,
}

/// Feeding end of a body, kept by the connection's reader.
#[derive(Debug)]
pub struct Feed {
    parts: mpsc::UnboundedSender<Part>,
    queued: sync::Arc<atomic::AtomicU32>,
    ended: atomic::AtomicBool,
}

/// The peer sent more than it had credit for, or more after the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overrun;

/// Makes both ends of the body of stream `number`; credit goes to `frames`.
pub fn channel(number: u64, frames: mpsc::Sender<stream::Frame>) -> (Feed, Incoming) {
    // Unbounded in parts, but bounded in bytes by the credit that `Feed::data` checks.
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
        owed: 0,
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
        // An empty chunk costs no credit, so it must not take a place in the queue.
        if chunk.is_empty() {
            return Ok(());
        }
        let size = u32::try_from(chunk.len()).map_err(|_| Overrun)?;
        let before = self.queued.fetch_add(size, atomic::Ordering::AcqRel);
        if before.saturating_add(size) > stream::CREDIT {
            return Err(Overrun);
        }
        // A receiver that is gone needs no more data.
        let _ = self.parts.send(Part::Data(chunk));
        Ok(())
    }

    /// Ends the body.
    ///
    /// An end costs no credit, so a second one must not take a place in the queue.
    ///
    /// # Errors
    ///
    /// Fails if the peer has ended the body before.
    pub fn end(&self) -> Result<(), Overrun> {
        if self.ended.swap(true, atomic::Ordering::AcqRel) {
            return Err(Overrun);
        }
        let _ = self.parts.send(Part::End);
        Ok(())
    }

    /// Cuts the body.
    pub fn cut(&self, reason: outcome::Reason) {
        let _ = self.parts.send(Part::Cut(reason));
    }
}

impl Incoming {
    /// Polls for the next chunk; `None` only after a whole body.
    pub fn poll(
        &mut self,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<io::Result<Bytes>>> {
        if self.ended {
            return task::Poll::Ready(None);
        }
        self.grant(context);
        let cut = |reason: outcome::Reason| {
            let text = format!("the body was cut: {reason}");
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
            Some(Part::Cut(reason)) => {
                self.ended = true;
                task::Poll::Ready(cut(reason))
            }
            None => {
                self.ended = true;
                task::Poll::Ready(cut(outcome::Reason::ConnectionLost))
            }
        }
    }

    fn consume(&mut self, size: u32) {
        self.queued.fetch_sub(size, atomic::Ordering::AcqRel);
        self.owed += size;
    }

    /// Grants credit again; if the write queue is full, the task is woken later.
    fn grant(&mut self, context: &mut task::Context<'_>) {
        // Few large grants cost less than one for each chunk.
        if self.owed < stream::CREDIT / 4 {
            return;
        }
        if let task::Poll::Ready(Ok(())) = self.frames.poll_reserve(context) {
            let frame = stream::Frame::new(self.number, stream::Body::Credit(self.owed));
            // A connection that has ended needs no credit.
            let _ = self.frames.send_item(frame);
            self.owed = 0;
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
