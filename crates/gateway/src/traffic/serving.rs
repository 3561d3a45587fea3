//! Requests that other nodes send to the backend server of this node.

mod bodies;

use std::cell;
use std::collections;
use std::io;
use std::net;
use std::rc;
use std::time::Duration;

use sequoiayoke_dispatch::{ledger, shutdown};
use sequoiayoke_link::{account, codec, peer, receive};
use sequoiayoke_model::clock;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream, tcp};
use tokio::sync::{Notify, watch};
use tokio::task;

use super::path::attempt;
use super::{Context, backend, peers, sent};
use crate::{frontend, root};

pub(super) use bodies::Pull;

/// Delay after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Longest time for which the end of the process waits until other nodes close their connections:
/// closing one with unread input resets it, which can destroy replies that are on their way.
pub(super) const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
/// Bytes of input that are discarded at once while a connection closes.
const DISCARD_BYTES: usize = 4 * 1024;
/// Percentage of the memory of the process that the connections of other nodes may hold.
const MEMORY_PERCENT: usize = 20;
/// Percentage of the descriptors of the process that they may take.
const DESCRIPTORS_PERCENT: usize = 15;

/// Returns what the connections of other nodes together may hold.
pub(super) const fn limits(process: &root::Limits) -> ledger::Limits {
    ledger::Limits {
        bytes: process.memory / 100 * MEMORY_PERCENT,
        connections: process.descriptors * DESCRIPTORS_PERCENT / 100,
    }
}

/// Whether the node that sent a request still wants it to run. Dropping the sender cancels the
/// request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Interest {
    Wanted,
    Withdrawn,
}

/// Requests of one connection that have no outcome yet.
type Interests = rc::Rc<cell::RefCell<collections::HashMap<u64, watch::Sender<Interest>>>>;

/// Accepts connections of other nodes.
pub(super) async fn accept<Frontend>(listener: TcpListener, context: rc::Rc<Context<Frontend>>)
where
    Frontend: frontend::Frontend,
{
    loop {
        context.node_account.wait_for_connection().await;
        match listener.accept().await {
            Ok((io, address)) => {
                let context = rc::Rc::clone(&context);
                let holding = rc::Rc::new(account::Holding::new(&context.node_account));
                task::spawn_local(async move {
                    if let Err(error) = serve(io, holding, &context).await {
                        tracing::debug!(%address, %error, "the connection from a node ended");
                    }
                });
            }
            Err(error) => {
                tracing::warn!(%error, "no connection could be accepted");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve<Frontend>(
    io: TcpStream,
    holding: rc::Rc<account::Holding>,
    context: &rc::Rc<Context<Frontend>>,
) -> io::Result<()>
where
    Frontend: frontend::Frontend,
{
    let _open = context.node_connections.enter();
    peers::set_socket_options(&io)?;
    let sent = sent_to(io.peer_addr()?.ip(), context);
    let (reader, writer) = io.into_split();
    let mut messages = Messages::new(reader, codec::Codec::new(), rc::Rc::clone(&holding));
    let connection = rc::Rc::new(Connection::new(
        holding,
        sent,
        rc::Rc::clone(&context.unwritten),
    ));
    let mut writing = std::pin::pin!(connection.outbox.write(writer));
    let ended = tokio::select! {
        ended = &mut writing => ended,
        ended = read(&mut messages, &connection, context) => ended,
        () = connection.holding.must_close() => {
            context.measure.record_closed_node();
            Err(receive::no_room())
        }
        () = context.drained.cancelled() => {
            connection.settled().await;
            let last_read = connection.last_read.get();
            connection.outbox.push(&peer::ToEntry::Close(last_read));
            connection.outbox.close();
            writing.await?;
            discard_input(messages.get_mut()).await
        }
    };
    connection.outbox.close();
    connection.bodies.clear();
    // Dropping the senders cancels the requests that may be cancelled.
    connection.interests.borrow_mut().clear();
    ended
}

/// Returns the recorder of bytes that are sent to the node at this address.
fn sent_to<Frontend>(ip: net::IpAddr, context: &Context<Frontend>) -> sent::Recorder {
    let view = context.shared.view.load();
    let mut announcements = view.servers.values().map(|server| &server.announcement);
    let node = announcements.find(|announced| announced.node.ip() == ip);
    context.sent_to(node.map(|node| node.domain.as_str()))
}

/// Reads until the other node has closed the connection.
async fn discard_input(reader: &mut tcp::OwnedReadHalf) -> io::Result<()> {
    let mut buffer = [0; DISCARD_BYTES];
    while reader.read(&mut buffer).await? > 0 {}
    Ok(())
}

type Messages = receive::Messages<tcp::OwnedReadHalf, codec::Codec<peer::ToEntry, peer::ToServer>>;

/// State of a connection from another node.
#[derive(Debug)]
struct Connection {
    holding: rc::Rc<account::Holding>,
    outbox: rc::Rc<peers::Outbox>,
    bodies: rc::Rc<bodies::Bodies>,
    interests: Interests,
    /// Number of the last request that was read.
    last_read: cell::Cell<Option<u64>>,
    /// Notified when the outcome of a request has been queued.
    progress: Notify,
}

impl Connection {
    fn new(
        holding: rc::Rc<account::Holding>,
        sent: sent::Recorder,
        total_unwritten: rc::Rc<cell::Cell<usize>>,
    ) -> Self {
        let outbox = peers::Outbox::with_account(sent, total_unwritten, &holding);
        Self {
            outbox: rc::Rc::new(outbox),
            holding,
            bodies: rc::Rc::default(),
            interests: rc::Rc::default(),
            last_read: cell::Cell::default(),
            progress: Notify::new(),
        }
    }

    /// Adds a request that has no outcome yet. The connection does not give way until it has one.
    fn open(&self, stream: u64) -> watch::Receiver<Interest> {
        self.last_read.set(Some(stream));
        let (sender, interest) = watch::channel(Interest::Wanted);
        self.interests.borrow_mut().insert(stream, sender);
        self.holding.set_awaits_caller(false);
        interest
    }

    /// Removes a request whose outcome has been queued.
    fn settle(&self, stream: u64) {
        let mut interests = self.interests.borrow_mut();
        interests.remove(&stream);
        self.holding.set_awaits_caller(interests.is_empty());
        self.progress.notify_one();
    }

    /// Waits until the outcomes of all requests that were read have been queued.
    async fn settled(&self) {
        while !self.interests.borrow().is_empty() {
            self.progress.notified().await;
        }
    }
}

async fn read<Frontend>(
    messages: &mut Messages,
    connection: &rc::Rc<Connection>,
    context: &rc::Rc<Context<Frontend>>,
) -> io::Result<()>
where
    Frontend: frontend::Frontend,
{
    loop {
        connection.outbox.has_room().await;
        let Some(message) = messages.next().await? else {
            return Ok(());
        };
        match message {
            peer::ToServer::Open(open) => {
                let interest = connection.open(open.stream);
                let (connection, context) = (rc::Rc::clone(connection), rc::Rc::clone(context));
                task::spawn_local(async move {
                    serve_request(open, interest, &connection, &context).await;
                });
            }
            peer::ToServer::Part { stream, bytes } => {
                let Connection { bodies, outbox, .. } = &**connection;
                if let Some(took) = bodies.receive_part(stream, &bytes)? {
                    let delay = context.backend.record_body_part(took);
                    if delay.is_zero() {
                        bodies.request_part(stream, outbox);
                    } else {
                        let (outbox, bodies) = (rc::Rc::clone(outbox), rc::Rc::clone(bodies));
                        task::spawn_local(async move {
                            tokio::time::sleep(delay).await;
                            bodies.request_part(stream, &outbox);
                        });
                    }
                }
            }
            peer::ToServer::Cancel(stream) => {
                // Dropping the sender cancels the request.
                connection.interests.borrow_mut().remove(&stream);
            }
            peer::ToServer::Ping(number) => {
                connection.outbox.push(&peer::ToEntry::Pong(number));
            }
            peer::ToServer::Withdraw(stream) => {
                if let Some(interest) = connection.interests.borrow().get(&stream) {
                    interest.send_replace(Interest::Withdrawn);
                }
            }
        }
    }
}

/// Runs a request and queues its outcome, unless it was cancelled.
async fn serve_request<Frontend>(
    open: peer::Open,
    interest: watch::Receiver<Interest>,
    connection: &Connection,
    context: &Context<Frontend>,
) where
    Frontend: frontend::Frontend,
{
    let stream = open.stream;
    let (outbox, bodies) = (&connection.outbox, &connection.bodies);
    let pull = Pull::new(stream, rc::Rc::clone(outbox), rc::Rc::clone(bodies));
    // A body that is sent later is requested in parts, by requests that have a slot.
    let held = match &open.body {
        peer::Body::Whole(body) => body.len(),
        peer::Body::None | peer::Body::Later(_) => 0,
    };
    let _share = account::Share::new(&connection.holding, held);
    let outcome = run_request(&open, Some(&pull), interest, context).await;
    if let Some(outcome) = outcome {
        let reply = peer::ToEntry::Reply {
            stream,
            outcome,
            load: context.backend.load_report(),
        };
        if !outbox.push(&reply) {
            tracing::info!(id = open.id, "the requesting node has disconnected");
        }
    }
    connection.settle(stream);
}

/// A request of this node for its own backend server.
///
/// It runs in a separate task, since a non-idempotent request continues when its caller has
/// disconnected.
pub(super) struct Local<'a, Frontend> {
    context: &'a Context<Frontend>,
    interest: watch::Sender<Interest>,
    task: task::JoinHandle<Option<peer::Outcome>>,
}

impl<'a, Frontend> Local<'a, Frontend>
where
    Frontend: frontend::Frontend,
{
    pub(super) fn new(context: &'a rc::Rc<Context<Frontend>>, open: peer::Open) -> Self {
        let (sender, interest) = watch::channel(Interest::Wanted);
        let task_context = rc::Rc::clone(context);
        let task =
            task::spawn_local(
                async move { run_request(&open, None, interest, &task_context).await },
            );
        Self {
            context,
            interest: sender,
            task,
        }
    }
}

impl<Frontend> attempt::Attempt for Local<'_, Frontend> {
    async fn reply(&mut self) -> peers::Reply {
        let outcome = match (&mut self.task).await {
            Ok(Some(outcome)) => outcome,
            Ok(None) | Err(_) => peer::Outcome::Unknown(peer::Reason::Broken),
        };
        (outcome, self.context.backend.load_report())
    }

    fn withdraw(&mut self) {
        self.interest.send_replace(Interest::Withdrawn);
    }
}

/// Runs a request; returns `None` if it was cancelled.
///
/// A request that has not begun to run ends with that outcome when it is withdrawn, or when this
/// node must not begin requests any more. A non-idempotent request that is running is not
/// cancelled: its work is done anyway, and cancelling would only hide the outcome.
async fn run_request<Frontend>(
    open: &peer::Open,
    pull: Option<&Pull>,
    mut interest: watch::Receiver<Interest>,
    context: &Context<Frontend>,
) -> Option<peer::Outcome>
where
    Frontend: frontend::Frontend,
{
    let _serving = context.serving.enter();
    if context.phase() >= shutdown::Phase::Closed {
        return Some(not_run(peer::Reason::Stopping));
    }
    let arrived = clock::Instant::now();
    let stage = cell::Cell::new(backend::Stage::Checking);
    let request = context.backend.run(context, open, pull, &stage);
    tokio::pin!(request);
    let reason = tokio::select! {
        outcome = &mut request => return Some(outcome),
        withdrawn = interest.wait_for(|interest| *interest == Interest::Withdrawn) => {
            // An error means that the sender was dropped.
            withdrawn.is_ok().then_some(peer::Reason::Withdrawn)
        }
        () = context.reached(shutdown::Phase::Withdrawing) => Some(peer::Reason::Stopping),
    };
    let has_begun = stage.get() == backend::Stage::Running;
    if let Some(reason) = reason {
        if !has_begun {
            return Some(not_run(reason));
        }
        tokio::select! {
            outcome = &mut request => return Some(outcome),
            () = cancelled(&mut interest) => {}
        }
    }
    if has_begun && !open.is_idempotent {
        return Some(request.await);
    }
    context.measure.record_cancelled(stage.get().as_str());
    if context.may_log() {
        let waited = clock::Instant::now().saturating_since(arrived);
        tracing::info!(
            id = open.id,
            stage = stage.get().as_str(),
            waited_ms = waited.as_millis() as u64,
            body_bytes = open.body.len(),
            received_bytes = pull.map_or(0, Pull::received),
            "cancelled a request"
        );
    }
    None
}

/// Waits until the sender of a request's interest is dropped, which cancels the request.
async fn cancelled(interest: &mut watch::Receiver<Interest>) {
    while interest.changed().await.is_ok() {}
}

const fn not_run(reason: peer::Reason) -> peer::Outcome {
    peer::Outcome::NotRun {
        reason,
        retry_after_ms: 0,
        was_sent: false,
    }
}
