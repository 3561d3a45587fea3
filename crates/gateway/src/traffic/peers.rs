//! Connections to other nodes, and requests over them.
//!
//! One connection to each node carries all requests at the same time. A connection
//! can fall silent without a reset, so a node that owes answers is asked for a
//! sign of life.

use std::cell;
use std::collections;
use std::io;
use std::net;
use std::rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use sequoiayoke_link::{codec, peer};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpStream, tcp};
use tokio::sync::{Notify, oneshot};
use tokio::task;
use tokio_util::codec::FramedRead;

/// Time to open a connection.
const CONNECT: Duration = Duration::from_millis(400);
/// Time after which bytes without an acknowledgement end a connection.
const SILENCE: Duration = Duration::from_millis(800);
/// Time without a message after which a node that owes answers is asked for a sign of life.
const PING_AFTER: Duration = Duration::from_millis(400);
/// Time without a message after which the connection to such a node is given up.
const DEAD_AFTER: Duration = Duration::from_millis(1_300);
/// Most bytes that wait for one node; more means that it does not read.
const MAX_QUEUED: usize = 32 * 1024 * 1024;

/// Bytes of a body that are on their way at a time; on a link of 6 Mbit/s they hold
/// others up for 22 ms. A whole body would hold calls with a few bytes up for longer
/// than they have.
const PART: usize = 16 * 1024;
/// Longest body that goes along with its request, in bytes: asking for it would take
/// about as long as sending it.
const MAX_WHOLE: usize = 4 * 1024;

/// Sets the options of a connection.
pub(super) fn prepare(io: &TcpStream) -> io::Result<()> {
    io.set_nodelay(true)?;
    let silence = u32::try_from(SILENCE.as_millis()).unwrap_or(u32::MAX);
    rustix::net::sockopt::set_tcp_user_timeout(io, silence)?;
    Ok(())
}

/// Frames that wait to be written, all of them with one write.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    bytes: cell::RefCell<BytesMut>,
    wake: Notify,
    is_closed: cell::Cell<bool>,
}

impl Outbox {
    /// Adds a message; returns whether there was room.
    pub(super) fn push<T>(&self, message: &T) -> bool
    where
        T: serde::Serialize,
    {
        let mut bytes = self.bytes.borrow_mut();
        if self.is_closed.get() || bytes.len() > MAX_QUEUED {
            return false;
        }
        if let Err(error) = codec::append(message, &mut bytes) {
            tracing::error!(%error, "a message to a node cannot be encoded");
            return false;
        }
        self.wake.notify_one();
        true
    }

    /// Writes what waits until the connection breaks.
    pub(super) async fn write(&self, mut writer: tcp::OwnedWriteHalf) -> io::Result<()> {
        loop {
            let mut batch = std::mem::take(&mut *self.bytes.borrow_mut());
            if batch.is_empty() {
                self.wake.notified().await;
                continue;
            }
            writer.write_all_buf(&mut batch).await?;
        }
    }

    pub(super) fn close(&self) {
        self.is_closed.set(true);
    }
}

type Answer = (peer::Outcome, peer::Load);

/// A request that the other node has not answered.
#[derive(Debug)]
struct Pending {
    answer: oneshot::Sender<Answer>,
    /// What has not been asked for of the body.
    body: Bytes,
}

/// A connection to one node.
#[derive(Debug, Default)]
struct Link {
    outbox: Outbox,
    pending: cell::RefCell<collections::HashMap<u64, Pending>>,
    next: cell::Cell<u64>,
    is_up: cell::Cell<bool>,
}

/// Connections to other nodes.
#[derive(Debug, Default)]
pub(super) struct Peers {
    links: rc::Rc<cell::RefCell<collections::HashMap<net::SocketAddr, rc::Rc<Link>>>>,
}

/// A request that waits for its answer; dropping it tells the other node.
struct Call {
    link: rc::Rc<Link>,
    stream: u64,
}

impl Drop for Call {
    fn drop(&mut self) {
        let waits = self
            .link
            .pending
            .borrow_mut()
            .remove(&self.stream)
            .is_some();
        if waits && !self.link.outbox.push(&peer::ToServer::Cancel(self.stream)) {
            tracing::debug!("a cancellation could not be sent");
        }
    }
}

impl Peers {
    /// Sends a request to a node and waits for what became of it.
    pub(super) async fn call(&self, address: net::SocketAddr, mut open: peer::Open) -> Answer {
        let link = self.link(address);
        let stream = link.next.get();
        link.next.set(stream + 1);
        open.stream = stream;
        let body = later(&mut open);
        let (sender, answer) = oneshot::channel();
        let pending = Pending {
            answer: sender,
            body,
        };
        link.pending.borrow_mut().insert(stream, pending);
        let call = Call {
            link: rc::Rc::clone(&link),
            stream,
        };
        if !link.outbox.push(&peer::ToServer::Open(open)) {
            link.pending.borrow_mut().remove(&stream);
            return (unreachable(), peer::Load::default());
        }
        let answer = answer.await;
        drop(call);
        answer.unwrap_or_else(|_| (lost(), peer::Load::default()))
    }

    fn link(&self, address: net::SocketAddr) -> rc::Rc<Link> {
        let mut links = self.links.borrow_mut();
        let link = links.entry(address).or_insert_with(|| {
            let link = rc::Rc::new(Link::default());
            let (own, all) = (rc::Rc::clone(&link), rc::Rc::clone(&self.links));
            task::spawn_local(async move {
                let ended = keep(address, &own).await;
                let is_up = own.is_up.get();
                own.outbox.close();
                all.borrow_mut().remove(&address);
                let waiting: Vec<_> = own.pending.borrow_mut().drain().collect();
                let requests = waiting.len();
                tracing::info!(%address, ?ended, is_up, requests, "the connection to a node ended");
                for (_, pending) in waiting {
                    // A request that was never written cannot have run.
                    let outcome = if is_up { lost() } else { unreachable() };
                    if pending
                        .answer
                        .send((outcome, peer::Load::default()))
                        .is_err()
                    {
                        tracing::trace!("a caller has gone");
                    }
                }
            });
            link
        });
        rc::Rc::clone(link)
    }
}

/// Takes a long body out of a request, to be sent when the other node asks for it.
fn later(open: &mut peer::Open) -> Bytes {
    match &open.body {
        peer::Body::Whole(body) if body.len() > MAX_WHOLE => {
            let body = body.clone();
            let length = u32::try_from(body.len()).expect("a body is shorter than a frame");
            open.body = peer::Body::Later(length);
            body
        }
        _ => Bytes::new(),
    }
}

fn unreachable() -> peer::Outcome {
    peer::Outcome::NotRun {
        reason: peer::Reason::Unreachable,
        retry_after_ms: 0,
        was_sent: false,
    }
}

fn lost() -> peer::Outcome {
    peer::Outcome::Unknown(peer::Reason::LinkLost)
}

async fn keep(address: net::SocketAddr, link: &Link) -> io::Result<()> {
    let io = tokio::time::timeout(CONNECT, TcpStream::connect(address)).await??;
    prepare(&io)?;
    link.is_up.set(true);
    let (reader, writer) = io.into_split();
    tokio::select! {
        ended = link.outbox.write(writer) => ended,
        ended = read(reader, link) => ended,
    }
}

async fn read(reader: tcp::OwnedReadHalf, link: &Link) -> io::Result<()> {
    let mut frames = FramedRead::new(reader, codec::Codec::<peer::ToServer, peer::ToEntry>::new());
    let mut heard = tokio::time::Instant::now();
    let mut pings = 0;
    loop {
        let owes = !link.pending.borrow().is_empty();
        let frame = match tokio::time::timeout(PING_AFTER, frames.next()).await {
            Ok(Some(frame)) => frame?,
            Ok(None) => return Ok(()),
            Err(_) if !owes => {
                heard = tokio::time::Instant::now();
                continue;
            }
            Err(elapsed) => {
                if heard.elapsed() >= DEAD_AFTER {
                    return Err(elapsed.into());
                }
                pings += 1;
                link.outbox.push(&peer::ToServer::Ping(pings));
                continue;
            }
        };
        heard = tokio::time::Instant::now();
        match frame {
            peer::ToEntry::Reply {
                stream,
                outcome,
                load,
            } => {
                let pending = link.pending.borrow_mut().remove(&stream);
                // The caller of a request may have gone.
                if let Some(pending) = pending
                    && pending.answer.send((outcome, load)).is_err()
                {
                    tracing::trace!(stream, "an answer without a caller");
                }
            }
            peer::ToEntry::Pull(stream) => {
                let mut pending = link.pending.borrow_mut();
                let body = pending.get_mut(&stream).map(|one| &mut one.body);
                // The request may have been given up meanwhile.
                if let Some(body) = body.filter(|body| !body.is_empty()) {
                    let bytes = body.split_to(body.len().min(PART));
                    link.outbox.push(&peer::ToServer::Part { stream, bytes });
                }
            }
            peer::ToEntry::Pong(_) => {}
        }
    }
}
