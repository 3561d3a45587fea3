//! Bodies that other nodes send in parts, each at this node's request.

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

/// Bodies of one connection that are being received.
#[derive(Debug, Default)]
pub(in crate::traffic) struct Bodies {
    incoming: cell::RefCell<collections::HashMap<u64, IncomingBody>>,
}

#[derive(Debug)]
struct IncomingBody {
    bytes: BytesMut,
    length: usize,
    /// When the next part was requested.
    requested_at: clock::Instant,
    done: oneshot::Sender<Bytes>,
}

impl Bodies {
    /// Receives a part of a body; returns the time since it was requested, if more parts follow.
    ///
    /// # Errors
    ///
    /// Fails if the body exceeds its declared length.
    pub(super) fn receive_part(&self, stream: u64, part: &[u8]) -> io::Result<Option<Duration>> {
        let mut incoming = self.incoming.borrow_mut();
        // The request may have been dropped since it requested its body.
        let Some(body) = incoming.get_mut(&stream) else {
            return Ok(None);
        };
        body.bytes.extend_from_slice(part);
        if body.bytes.len() > body.length {
            let text = "a body exceeds its declared length";
            return Err(io::Error::new(io::ErrorKind::InvalidData, text));
        }
        if body.bytes.len() < body.length {
            let took = clock::Instant::now().saturating_since(body.requested_at);
            return Ok(Some(took));
        }
        if let Some(body) = incoming.remove(&stream)
            && body.done.send(body.bytes.freeze()).is_err()
        {
            tracing::trace!(stream, "received a body for a dropped request");
        }
        Ok(None)
    }

    /// Requests the next part, unless the body was dropped meanwhile.
    pub(super) fn request_part(&self, stream: u64, outbox: &peers::Outbox) {
        if let Some(body) = self.incoming.borrow_mut().get_mut(&stream) {
            body.requested_at = clock::Instant::now();
            outbox.push(&peer::ToEntry::Pull(stream));
        }
    }

    /// Drops all bodies when the connection has ended.
    pub(super) fn clear(&self) {
        self.incoming.borrow_mut().clear();
    }
}

/// Requests the body of one request; dropping it drops the body.
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
        let (done, received) = oneshot::channel();
        let body = IncomingBody {
            bytes: BytesMut::new(),
            length: length as usize,
            requested_at: clock::Instant::now(),
            done,
        };
        self.bodies.incoming.borrow_mut().insert(self.stream, body);
        if !self.outbox.push(&peer::ToEntry::Pull(self.stream)) {
            return None;
        }
        received.await.ok()
    }

    /// Returns the number of bytes received so far.
    pub(super) fn received(&self) -> usize {
        let incoming = self.bodies.incoming.borrow();
        incoming
            .get(&self.stream)
            .map_or(0, |body| body.bytes.len())
    }
}

impl Drop for Pull {
    fn drop(&mut self) {
        self.bodies.incoming.borrow_mut().remove(&self.stream);
    }
}
