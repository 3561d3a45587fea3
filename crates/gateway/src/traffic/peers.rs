//! Connections to other nodes, and requests over them.
//!
//! One connection to each node multiplexes all requests. A connection can become unresponsive
//! without a reset, so a node that has not answered a request is sent pings.

use std::cell;
use std::collections;
use std::io;
use std::net;
use std::rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use sequoiayoke_link::{account, codec, peer};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpStream, tcp};
use tokio::sync::{Notify, oneshot};
use tokio::task;
use tokio_util::codec::FramedRead;

use super::path::attempt;
use super::sent;

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which unacknowledged bytes end a connection.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(800);
/// Time without a message after which a node with unanswered requests is sent a ping.
const PING_INTERVAL: Duration = Duration::from_millis(400);
/// Time without a message after which the connection to such a node is closed.
const UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Largest number of bytes queued for one node; more means that it does not read.
const MAX_QUEUED_BYTES: usize = 32 * 1024 * 1024;
/// Number of bytes queued for one node with which no further request of it is read.
const MAX_UNREAD_BYTES: usize = 1024 * 1024;

/// Size of a part of a body, in bytes. On a link of 6 Mbit/s a part delays other messages by 22 ms;
/// a whole body would delay short calls past their deadlines.
const PART_BYTES: usize = 16 * 1024;
/// Longest body that is sent together with its request, in bytes: requesting it separately would
/// take about as long as sending it.
const MAX_INLINE_BODY_BYTES: usize = 4 * 1024;

/// Sets the socket options of a connection between nodes or to the backend server.
pub(super) fn set_socket_options(io: &TcpStream) -> io::Result<()> {
    io.set_nodelay(true)?;
    let timeout_ms = u32::try_from(UNACKED_TIMEOUT.as_millis()).unwrap_or(u32::MAX);
    rustix::net::sockopt::set_tcp_user_timeout(io, timeout_ms)?;
    Ok(())
}

/// Encoded frames that wait to be written together.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    bytes: cell::RefCell<BytesMut>,
    wake: Notify,
    is_closed: cell::Cell<bool>,
    /// Number of bytes that are queued or being written.
    unwritten: cell::Cell<usize>,
    /// The same number for all outboxes that share it.
    total_unwritten: rc::Rc<cell::Cell<usize>>,
    /// The same bytes in the account of the connection, if it has one.
    share: cell::RefCell<Option<account::Share>>,
    /// Notified when bytes have been written.
    written: Notify,
    sent: sent::Recorder,
}

impl Outbox {
    /// Creates an outbox that adds the bytes of its messages to `sent`.
    fn new(sent: sent::Recorder) -> Self {
        let mut outbox = Self::default();
        outbox.sent = sent;
        outbox
    }

    /// Adds the unwritten bytes to `total_unwritten` and to `holding` as well.
    pub(super) fn with_account(
        sent: sent::Recorder,
        total_unwritten: rc::Rc<cell::Cell<usize>>,
        holding: &rc::Rc<account::Holding>,
    ) -> Self {
        let mut outbox = Self::new(sent);
        outbox.total_unwritten = total_unwritten;
        outbox.share = cell::RefCell::new(Some(account::Share::new(holding, 0)));
        outbox
    }

    /// Waits until the other side has read enough that its next request may be read.
    pub(super) async fn has_room(&self) {
        while self.unwritten.get() > MAX_UNREAD_BYTES {
            self.written.notified().await;
        }
    }

    /// Appends a message; returns whether it was queued.
    pub(super) fn push<T>(&self, message: &T) -> bool
    where
        T: sent::Message,
    {
        let mut bytes = self.bytes.borrow_mut();
        if self.is_closed.get() || bytes.len() > MAX_QUEUED_BYTES {
            return false;
        }
        let length = bytes.len();
        if let Err(error) = codec::append(message, &mut bytes) {
            tracing::error!(%error, "a message to a node cannot be encoded");
            return false;
        }
        let added = bytes.len() - length;
        self.sent.record(message.kind(), added);
        let total = &self.total_unwritten;
        total.set(total.get() + added);
        self.set_unwritten(self.unwritten.get() + added);
        self.wake.notify_one();
        true
    }

    fn record_written(&self, count: usize) {
        let total = &self.total_unwritten;
        total.set(total.get() - count);
        self.set_unwritten(self.unwritten.get() - count);
        self.written.notify_one();
    }

    fn set_unwritten(&self, count: usize) {
        self.unwritten.set(count);
        if let Some(share) = &mut *self.share.borrow_mut() {
            share.resize(count);
        }
    }

    /// Writes the queued frames until the connection breaks, or until the outbox is closed and all
    /// of them are written.
    pub(super) async fn write(&self, mut writer: tcp::OwnedWriteHalf) -> io::Result<()> {
        loop {
            let mut batch = std::mem::take(&mut *self.bytes.borrow_mut());
            if batch.is_empty() {
                if self.is_closed.get() {
                    return writer.shutdown().await;
                }
                self.wake.notified().await;
                continue;
            }
            let length = batch.len();
            writer.write_all_buf(&mut batch).await?;
            self.record_written(length);
        }
    }

    /// Accepts no more messages.
    pub(super) fn close(&self) {
        self.is_closed.set(true);
        self.wake.notify_one();
    }
}

impl Drop for Outbox {
    fn drop(&mut self) {
        self.record_written(self.unwritten.get());
    }
}

/// Outcome of a request, and the load that its node reported with it.
pub(super) type Reply = (peer::Outcome, peer::Load);

/// A request that the other node has not answered.
#[derive(Debug)]
struct Pending {
    reply: oneshot::Sender<Reply>,
    /// The part of the body that the other node has not requested yet.
    body: Bytes,
}

/// A connection to one node.
#[derive(Debug, Default)]
struct Link {
    outbox: Outbox,
    pending: cell::RefCell<collections::HashMap<u64, Pending>>,
    next_stream: cell::Cell<u64>,
    is_up: cell::Cell<bool>,
}

impl Link {
    /// Ends a request with an outcome that this node determines itself.
    fn answer(&self, stream: u64, outcome: peer::Outcome) {
        self.deliver(stream, (outcome, peer::Load::default()));
    }

    /// Ends a request with its reply.
    fn deliver(&self, stream: u64, reply: Reply) {
        let pending = self.pending.borrow_mut().remove(&stream);
        // The caller of the request may have disconnected.
        if let Some(pending) = pending
            && pending.reply.send(reply).is_err()
        {
            tracing::trace!(stream, "received an answer without a caller");
        }
    }

    /// Ends the requests that a node has not read before it closed the connection.
    fn close(&self, last_read: Option<u64>) {
        let is_unread = |stream: &u64| last_read.is_none_or(|last| *stream > last);
        let unread: Vec<_> = {
            let pending = self.pending.borrow();
            pending.keys().copied().filter(is_unread).collect()
        };
        for stream in unread {
            self.answer(stream, stopping());
        }
    }
}

type Links = rc::Rc<cell::RefCell<collections::HashMap<net::SocketAddr, rc::Rc<Link>>>>;

/// Connections to other nodes.
#[derive(Debug, Default)]
pub(super) struct Peers {
    links: Links,
}

/// A request at another node; dropping it cancels the request there.
#[derive(Debug)]
pub(super) struct Call {
    link: rc::Rc<Link>,
    stream: u64,
    reply: oneshot::Receiver<Reply>,
}

impl Drop for Call {
    fn drop(&mut self) {
        let pending = self.link.pending.borrow_mut().remove(&self.stream);
        let is_pending = pending.is_some();
        if is_pending && !self.link.outbox.push(&peer::ToServer::Cancel(self.stream)) {
            tracing::debug!("a cancellation could not be sent");
        }
    }
}

impl attempt::Attempt for Call {
    async fn reply(&mut self) -> Reply {
        let reply = (&mut self.reply).await;
        reply.unwrap_or_else(|_| (link_lost(), peer::Load::default()))
    }

    fn withdraw(&mut self) {
        // If the message cannot be sent, the link has ended or is about to, which gives the
        // request an outcome too.
        if !self
            .link
            .outbox
            .push(&peer::ToServer::Withdraw(self.stream))
        {
            tracing::debug!("a withdrawal could not be sent");
        }
    }
}

impl Peers {
    /// Sends a request to a node; `sent` records the bytes if a connection is opened for it.
    pub(super) fn call(
        &self,
        address: net::SocketAddr,
        sent: sent::Recorder,
        mut open: peer::Open,
    ) -> Call {
        let link = self.link(address, sent);
        let stream = link.next_stream.get();
        link.next_stream.set(stream + 1);
        open.stream = stream;
        let body = defer_body(&mut open);
        let (sender, reply) = oneshot::channel();
        let pending = Pending {
            reply: sender,
            body,
        };
        link.pending.borrow_mut().insert(stream, pending);
        if !link.outbox.push(&peer::ToServer::Open(open)) {
            link.answer(stream, unreachable());
        }
        Call {
            link,
            stream,
            reply,
        }
    }

    fn link(&self, address: net::SocketAddr, sent: sent::Recorder) -> rc::Rc<Link> {
        let mut links = self.links.borrow_mut();
        let link = links.entry(address).or_insert_with(|| {
            let link = rc::Rc::new(Link {
                outbox: Outbox::new(sent),
                ..Link::default()
            });
            let (task_link, task_links) = (rc::Rc::clone(&link), rc::Rc::clone(&self.links));
            task::spawn_local(async move {
                let ended = run_link(address, &task_link, &task_links).await;
                let is_up = task_link.is_up.get();
                remove_link(&task_links, address, &task_link);
                let unanswered: Vec<_> = task_link.pending.borrow().keys().copied().collect();
                let requests = unanswered.len();
                tracing::info!(%address, ?ended, is_up, requests, "the connection to a node ended");
                for stream in unanswered {
                    // A request that was never written cannot have run.
                    let outcome = if is_up { link_lost() } else { unreachable() };
                    task_link.answer(stream, outcome);
                }
            });
            link
        });
        rc::Rc::clone(link)
    }
}

/// Moves a long body out of a request, to be sent when the other node requests it.
fn defer_body(open: &mut peer::Open) -> Bytes {
    match &open.body {
        peer::Body::Whole(body) if body.len() > MAX_INLINE_BODY_BYTES => {
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

fn stopping() -> peer::Outcome {
    peer::Outcome::NotRun {
        reason: peer::Reason::Stopping,
        retry_after_ms: 0,
        was_sent: false,
    }
}

fn link_lost() -> peer::Outcome {
    peer::Outcome::Unknown(peer::Reason::LinkLost)
}

/// Removes a connection, so that the next request to the node opens another one.
fn remove_link(links: &Links, address: net::SocketAddr, link: &rc::Rc<Link>) {
    link.outbox.close();
    let mut links = links.borrow_mut();
    if links
        .get(&address)
        .is_some_and(|current| rc::Rc::ptr_eq(current, link))
    {
        links.remove(&address);
    }
}

async fn run_link(address: net::SocketAddr, link: &rc::Rc<Link>, links: &Links) -> io::Result<()> {
    let io = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    set_socket_options(&io)?;
    link.is_up.set(true);
    let (reader, writer) = io.into_split();
    let mut writing = std::pin::pin!(link.outbox.write(writer));
    let mut reading = std::pin::pin!(read(reader, link, || remove_link(links, address, link)));
    let written = tokio::select! {
        written = &mut writing => written,
        ended = &mut reading => return ended,
    };
    // The outbox of a connection that the other node closes ends first; replies may follow.
    match link.outbox.is_closed.get() {
        true => reading.await,
        false => written,
    }
}

async fn read<Closing>(
    reader: tcp::OwnedReadHalf,
    link: &Link,
    on_closing: Closing,
) -> io::Result<()>
where
    Closing: Fn(),
{
    let mut frames = FramedRead::new(reader, codec::Codec::<peer::ToServer, peer::ToEntry>::new());
    let mut last_received = tokio::time::Instant::now();
    let mut pings = 0;
    loop {
        let has_pending = !link.pending.borrow().is_empty();
        let frame = match tokio::time::timeout(PING_INTERVAL, frames.next()).await {
            Ok(Some(frame)) => frame?,
            Ok(None) => return Ok(()),
            Err(_) if !has_pending => {
                last_received = tokio::time::Instant::now();
                continue;
            }
            Err(elapsed) => {
                if last_received.elapsed() >= UNRESPONSIVE_TIMEOUT {
                    return Err(elapsed.into());
                }
                pings += 1;
                link.outbox.push(&peer::ToServer::Ping(pings));
                continue;
            }
        };
        last_received = tokio::time::Instant::now();
        match frame {
            peer::ToEntry::Reply {
                stream,
                outcome,
                load,
            } => link.deliver(stream, (outcome, load)),
            peer::ToEntry::Pull(stream) => {
                let mut pending = link.pending.borrow_mut();
                let body = pending.get_mut(&stream).map(|request| &mut request.body);
                // The request may have been cancelled meanwhile.
                if let Some(body) = body.filter(|body| !body.is_empty()) {
                    let bytes = body.split_to(body.len().min(PART_BYTES));
                    link.outbox.push(&peer::ToServer::Part { stream, bytes });
                }
            }
            peer::ToEntry::Pong(_) => {}
            peer::ToEntry::Close(last_read) => {
                on_closing();
                link.close(last_read);
            }
        }
    }
}
