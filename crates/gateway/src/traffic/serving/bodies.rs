//! Bodies that other nodes send in parts, each once it is asked for.

use std::cell;
use std::collections;
use std::io;
use std::rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use sequoiayoke_link::peer;
use sequoiayoke_model::clock;
use tokio::sync::oneshot;

use crate::traffic::peers;

/// Bodies of one connection that are on their way.
#[derive(Debug, Default)]
pub(in crate::traffic) struct Bodies {
    arriving: cell::RefCell<collections::HashMap<u64, Arriving>>,
}

#[derive(Debug)]
struct Arriving {
    bytes: BytesMut,
    length: usize,
    /// When the next part was asked for.
    asked: clock::Instant,
    done: oneshot::Sender<Bytes>,
}

impl Bodies {
    /// Takes a part of a body; returns the time that it took, if there is a next one.
    ///
    /// # Errors
    ///
    /// Fails if the body becomes longer than it was said to be.
    pub(super) fn take(&self, stream: u64, part: &[u8]) -> io::Result<Option<Duration>> {
        let mut all = self.arriving.borrow_mut();
        // The request may have been given up since it asked for its body.
        let Some(arriving) = all.get_mut(&stream) else {
            return Ok(None);
        };
        arriving.bytes.extend_from_slice(part);
        if arriving.bytes.len() > arriving.length {
            let text = "a body is longer than it was said to be";
            return Err(io::Error::new(io::ErrorKind::InvalidData, text));
        }
        if arriving.bytes.len() < arriving.length {
            let took = clock::Instant::now().saturating_since(arriving.asked);
            return Ok(Some(took));
        }
        if let Some(whole) = all.remove(&stream)
            && whole.done.send(whole.bytes.freeze()).is_err()
        {
            tracing::trace!(stream, "a body for a request that has gone");
        }
        Ok(None)
    }

    /// Asks for the next part, unless the body was given up meanwhile.
    pub(super) fn ask(&self, stream: u64, outbox: &peers::Outbox) {
        if let Some(arriving) = self.arriving.borrow_mut().get_mut(&stream) {
            arriving.asked = clock::Instant::now();
            outbox.push(&peer::ToEntry::Pull(stream));
        }
    }

    /// Gives up all bodies, since the connection has ended.
    pub(super) fn clear(&self) {
        self.arriving.borrow_mut().clear();
    }
}

/// Asks for the body of one request; dropping it gives the body up.
#[derive(Debug)]
pub(in crate::traffic) struct Pull {
    stream: u64,
    outbox: rc::Rc<peers::Outbox>,
    bodies: rc::Rc<Bodies>,
}

impl Pull {
    pub(super) const fn new(
        stream: u64,
        outbox: rc::Rc<peers::Outbox>,
        bodies: rc::Rc<Bodies>,
    ) -> Self {
        Self {
            stream,
            outbox,
            bodies,
        }
    }

    /// Returns the body of `length` bytes, or `None` if the connection has ended.
    pub(in crate::traffic) async fn fetch(&self, length: u32) -> Option<Bytes> {
        let (done, body) = oneshot::channel();
        let arriving = Arriving {
            bytes: BytesMut::new(),
            length: length as usize,
            asked: clock::Instant::now(),
            done,
        };
        self.bodies
            .arriving
            .borrow_mut()
            .insert(self.stream, arriving);
        if !self.outbox.push(&peer::ToEntry::Pull(self.stream)) {
            return None;
        }
        body.await.ok()
    }
}

impl Drop for Pull {
    fn drop(&mut self) {
        self.bodies.arriving.borrow_mut().remove(&self.stream);
    }
}
