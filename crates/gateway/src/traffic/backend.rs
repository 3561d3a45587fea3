//! The backend server beside the node: admission, connections and exchanges.
//!
//! All requests for the backend server pass here, whichever node they came
//! from. That makes this the place that keeps a leaving backend server free of
//! new work and a key with a former owner free of requests, whatever view the
//! sending node has.

mod bodies;
mod connections;
mod slots;

use std::cell;
use std::collections;
use std::io;
use std::net;
use std::time::Duration;

use bytes::BytesMut;
use sequoiayoke_dispatch::{admission, outcomes, transfer, usage};
use sequoiayoke_http1::response;
use sequoiayoke_link::peer;
use sequoiayoke_model::clock;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::{Context, peers, serving};
use crate::coordinator;
use crate::frontend;
use crate::view;

/// Bounds on a response.
const LIMITS: response::Limits = response::Limits {
    head: 64 * 1024,
    body: 16 * 1024 * 1024,
};
/// Time to open a connection.
const CONNECT: Duration = Duration::from_millis(600);
/// Longest time for which a connection is kept without use, unless the backend
/// server names a shorter one.
const IDLE: Duration = Duration::from_secs(8);
/// Part of the backend server's own idle timeout that is used.
const IDLE_PERCENT: u32 = 80;
/// Longest time without use after which a connection still carries a request
/// that must not run twice: the backend server may have forgotten it.
const IDLE_UNSAFE: Duration = Duration::from_secs(3);
/// Time in which a backend server says who it is; later its announcement has come.
const IDENTIFY: Duration = Duration::from_millis(500);
/// Connections that are kept without use.
const MAX_IDLE: usize = 32;
/// Time beyond the deadline in which the backend server's own last word may arrive.
const LAST_WORD: Duration = Duration::from_millis(40);
/// Time in which the rest of a body is written after an early answer.
const REST: Duration = Duration::from_secs(1);
/// Answers to other requests that are discarded before one of this request.
const MAX_STRAY: usize = 4;
/// Runs of keys in a report of load.
const PARTS: usize = 24;
/// Time for which a leaving backend server still takes requests for its keys,
/// as a part of the time that it grants.
const DRAIN_PERCENT: u32 = 60;

/// The backend server.
pub(super) struct Backend {
    address: net::SocketAddr,
    gate: cell::RefCell<admission::Gate>,
    waiting: cell::RefCell<collections::HashMap<admission::Ticket, slots::Waiter>>,
    idle: cell::RefCell<Vec<Connection>>,
    usage: cell::RefCell<usage::Usage>,
    transfers: bodies::Transfers,
    outcomes: cell::RefCell<outcomes::Outcomes>,
}

#[derive(Debug)]
struct Connection {
    io: TcpStream,
    input: BytesMut,
    used: clock::Instant,
    idle: Duration,
}

/// A request that could not be exchanged.
#[derive(Debug, thiserror::Error)]
pub(super) enum Error {
    /// No process listens at the address.
    #[error("no process listens at the address")]
    Refused,
    /// No connection could be opened.
    #[error("no connection could be opened: {0}")]
    Connect(io::Error),
    /// The connection broke off.
    #[error("the connection broke off: {0}")]
    Broken(io::Error),
    /// The response is malformed.
    #[error("the response is malformed: {0}")]
    Malformed(#[from] sequoiayoke_http1::Fault),
    /// The response answers another request.
    #[error("the responses answer other requests")]
    Stray,
    /// There was no response in time.
    #[error("there was no response in time")]
    Timeout,
}

fn not_run(reason: peer::Reason, retry_after: Duration, was_sent: bool) -> peer::Outcome {
    peer::Outcome::NotRun {
        reason,
        retry_after_ms: retry_after.as_millis() as u32,
        was_sent,
    }
}

impl Backend {
    pub(super) fn new(address: net::SocketAddr) -> Self {
        Self {
            address,
            gate: cell::RefCell::new(admission::Gate::new(1)),
            waiting: cell::RefCell::default(),
            idle: cell::RefCell::default(),
            usage: cell::RefCell::default(),
            transfers: bodies::Transfers::default(),
            outcomes: cell::RefCell::default(),
        }
    }

    pub(super) fn set_slots(&self, slots: u32) {
        self.gate.borrow_mut().set_slots(slots);
        let releases = self.gate.borrow_mut().release(clock::Instant::now());
        self.carry_out(releases);
    }

    pub(super) fn load(&self) -> admission::Load {
        self.gate.borrow().load()
    }

    /// Returns the load of the link by bodies.
    pub(super) fn link(&self) -> transfer::Load {
        self.transfers.load()
    }

    /// Takes the time for a part of a body; returns the pause before the next one.
    pub(super) fn part_came(&self, took: Duration) -> Duration {
        self.transfers.part(took)
    }

    /// Returns what other nodes are told about the load.
    pub(super) fn report(&self) -> peer::Load {
        peer::Load::new(self.load(), self.link())
    }

    /// Returns the load of the last `span` seconds by keys, and the mean time of a request.
    pub(super) fn take_usage(&self, span: f64) -> (Vec<usage::Part>, f64) {
        let mut usage = self.usage.borrow_mut();
        usage.update_rates(span);
        (usage.parts(PARTS), self.load().service_s)
    }

    /// Returns the share of requests that fail.
    pub(super) fn take_failing(&self) -> f64 {
        self.outcomes.borrow_mut().report()
    }

    /// Runs a request here, if it may run; `is_running` tells when it may have begun.
    pub(super) async fn run<Frontend>(
        &self,
        context: &Context<Frontend>,
        open: &peer::Open,
        pull: Option<&serving::Pull>,
        is_running: &cell::Cell<bool>,
    ) -> peer::Outcome
    where
        Frontend: frontend::Frontend,
    {
        let arrived = clock::Instant::now();
        let now = arrived;
        let deadline = now + Duration::from_millis(u64::from(open.left_ms));
        if let Err(reason) = check(&context.view(), open, now, context.settings.drain) {
            return not_run(reason, Duration::ZERO, false);
        }
        let mut offer = admission::Offer {
            rank: open.rank,
            class: open.class,
            useful_until: now + Duration::from_millis(u64::from(open.useful_ms)),
            deadline,
            max_wait: Duration::from_millis(u64::from(open.patience_ms)),
        };
        let body = match self.body(open, pull, &offer).await {
            Ok(body) => body,
            Err(bodies::Refusal::Full(after)) => return self.refuse(context, open, after),
            Err(bodies::Refusal::LinkFull(after)) => {
                if context.may_log() {
                    tracing::info!(
                        id = open.id,
                        body = ?open.body,
                        left_ms = open.left_ms,
                        useful_ms = open.useful_ms,
                        retry_after_ms = after.as_millis() as u64,
                        "bodies fill the link to the node"
                    );
                }
                return not_run(peer::Reason::Busy, after, false);
            }
            Err(bodies::Refusal::Missing) => {
                tracing::info!(id = open.id, "the body of a request has not arrived");
                return not_run(peer::Reason::Deadline, Duration::ZERO, false);
            }
        };
        if matches!(open.body, peer::Body::Later(_)) {
            // What was fetched is not sent elsewhere for a shorter wait.
            offer.max_wait = Duration::MAX;
        }
        let now = clock::Instant::now();
        let mut slot = match self.enter(now, offer, open.key).await {
            Ok(slot) => slot,
            Err(after) => return self.refuse(context, open, after),
        };
        // The view may have changed while the request waited.
        let now = clock::Instant::now();
        if let Err(reason) = check(&context.view(), open, now, context.settings.drain) {
            return not_run(reason, Duration::ZERO, false);
        }
        let max_idle = match open.is_idempotent {
            true => IDLE,
            false => IDLE_UNSAFE,
        };
        let connection = match self.checkout(max_idle).await {
            Ok(connection) => connection,
            Err(error) => {
                tracing::info!(id = open.id, %error, "the backend server is not reached");
                if matches!(error, Error::Refused) {
                    context.tell(coordinator::Event::Ended(open.instance.clone()));
                }
                return not_run(peer::Reason::Unreachable, Duration::ZERO, false);
            }
        };
        let now = clock::Instant::now();
        if now >= deadline {
            self.check_in(connection);
            return not_run(peer::Reason::Deadline, Duration::ZERO, false);
        }
        let left = now.saturating_until(deadline);
        let request = self.encode(&context.frontend, open, body.as_deref(), left);
        is_running.set(true);
        slot.start = now;
        let exchange = self.exchange(&context.frontend, connection, request, &open.id);
        let limit = left + LAST_WORD;
        let ended = tokio::time::timeout(limit, exchange).await;
        match ended.unwrap_or(Err(Error::Timeout)) {
            Ok(response) => {
                self.log_slow(context, open, arrived, now);
                let failed = response.status >= 500;
                self.outcomes.borrow_mut().add(failed);
                self.judge(context, open, &response, &mut slot)
            }
            Err(error) => {
                self.outcomes.borrow_mut().add(true);
                tracing::info!(id = open.id, %error, "no usable answer of the backend server");
                peer::Outcome::Unknown(match error {
                    Error::Timeout => peer::Reason::Deadline,
                    Error::Malformed(sequoiayoke_http1::Fault::Incomplete) => peer::Reason::Broken,
                    Error::Malformed(_) | Error::Stray => peer::Reason::Malformed,
                    _ => peer::Reason::Broken,
                })
            }
        }
    }

    /// Refuses a request for which there is no room, and says why in a line.
    fn refuse<Frontend>(
        &self,
        context: &Context<Frontend>,
        open: &peer::Open,
        after: Duration,
    ) -> peer::Outcome {
        self.count_refused(open);
        if context.may_log() {
            let load = self.load();
            tracing::info!(
                id = open.id,
                key = open.key,
                rank = open.rank,
                running = load.running,
                waiting = load.waiting,
                slots = load.slots,
                service_ms = (load.service_s * 1_000.0) as u64,
                left_ms = open.left_ms,
                useful_ms = open.useful_ms,
                patience_ms = open.patience_ms,
                retry_after_ms = after.as_millis() as u64,
                "the backend server is full"
            );
        }
        not_run(peer::Reason::Busy, after, false)
    }

    /// Counts what a refused request would have taken: a full backend server
    /// shows as busier than its slots, and its keys move.
    fn count_refused(&self, open: &peer::Open) {
        if let Some(key) = open.key {
            let service = self.gate.borrow().service_time(open.class);
            let mut usage = self.usage.borrow_mut();
            usage.add(key, service.as_secs_f64());
        }
    }

    /// Writes a line about a request whose answer is late, with what took its time.
    fn log_slow<Frontend>(
        &self,
        context: &Context<Frontend>,
        open: &peer::Open,
        arrived: clock::Instant,
        began: clock::Instant,
    ) {
        let now = clock::Instant::now();
        let useful = Duration::from_millis(u64::from(open.useful_ms));
        if now <= arrived + useful || !context.may_log() {
            return;
        }
        let load = self.load();
        tracing::info!(
            id = open.id,
            key = open.key,
            waited_ms = began.saturating_since(arrived).as_millis() as u64,
            ran_ms = now.saturating_since(began).as_millis() as u64,
            running = load.running,
            waiting = load.waiting,
            slots = load.slots,
            "the backend server answered late"
        );
    }

    fn judge<Frontend>(
        &self,
        context: &Context<Frontend>,
        open: &peer::Open,
        response: &response::Response,
        slot: &mut slots::Slot<'_>,
    ) -> peer::Outcome
    where
        Frontend: frontend::Frontend,
    {
        let metadata = context.frontend.response_metadata(response);
        if metadata.is_refusal || metadata.is_misdirected {
            let reason = match (metadata.is_misdirected, open.key) {
                (true, Some(_)) => peer::Reason::NotOwner,
                (true, None) => peer::Reason::OtherInstance,
                (false, _) => peer::Reason::RefusedByServer,
            };
            let status = response.status;
            tracing::info!(
                id = open.id,
                status,
                ?reason,
                "the backend server refused a request"
            );
            return not_run(reason, Duration::ZERO, true);
        }
        if (200..300).contains(&response.status) && !metadata.has_stamp {
            tracing::warn!(
                id = open.id,
                status = response.status,
                "an answer lacks the server's mark"
            );
            return peer::Outcome::Unknown(peer::Reason::Malformed);
        }
        slot.is_observed = true;
        let mut fields = Vec::new();
        for (name, value) in response.fields.iter() {
            if response.fields.is_end_to_end(name) && !name.eq_ignore_ascii_case("content-length") {
                fields.extend_from_slice(name.as_bytes());
                fields.extend_from_slice(b": ");
                fields.extend_from_slice(value);
                fields.extend_from_slice(b"\r\n");
            }
        }
        peer::Outcome::Answered {
            status: response.status,
            fields: fields.into(),
            body: response.body.clone(),
        }
    }

    fn encode<Frontend>(
        &self,
        frontend: &Frontend,
        open: &peer::Open,
        body: Option<&[u8]>,
        left: Duration,
    ) -> Vec<u8>
    where
        Frontend: frontend::Frontend,
    {
        let length = body.map_or(0, <[u8]>::len);
        let mut request = Vec::with_capacity(open.head.len() + length + 160);
        request.extend_from_slice(&open.head);
        let instance = &open.instance.name;
        frontend.write_hop(&frontend::Hop { left, instance }, &mut request);
        if let Some(body) = body {
            request.extend_from_slice(format!("content-length: {length}\r\n\r\n").as_bytes());
            request.extend_from_slice(body);
        } else {
            request.extend_from_slice(b"\r\n");
        }
        request
    }
}

/// Checks whether a request may be given to the backend server now.
fn check(
    view: &view::View,
    open: &peer::Open,
    now: clock::Instant,
    drain: Duration,
) -> Result<(), peer::Reason> {
    let own = view.own.as_ref().ok_or(peer::Reason::OtherInstance)?;
    let known = &own.announcement;
    if known.instance != open.instance || known.service != open.service {
        return Err(peer::Reason::OtherInstance);
    }
    if let Some(since) = own.draining_since {
        let limit = drain * DRAIN_PERCENT / 100;
        if open.key.is_none() || now.saturating_since(since) >= limit {
            return Err(peer::Reason::Draining);
        }
    }
    match open.key {
        Some(key) if !own.holds(key, now) => Err(peer::Reason::NotOwner),
        _ => Ok(()),
    }
}

async fn connect(address: net::SocketAddr) -> Result<Connection, Error> {
    let opened = tokio::time::timeout(CONNECT, TcpStream::connect(address)).await;
    let io = match opened {
        Ok(Ok(io)) => io,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            return Err(Error::Refused);
        }
        Ok(Err(error)) => return Err(Error::Connect(error)),
        Err(elapsed) => return Err(Error::Connect(elapsed.into())),
    };
    peers::prepare(&io).map_err(Error::Connect)?;
    Ok(Connection {
        io,
        input: BytesMut::new(),
        used: clock::Instant::now(),
        idle: IDLE,
    })
}

/// Writes the rest of a body that was answered early: the backend server reads it
/// before the next request on the connection.
fn finish(mut connection: Connection, request: Vec<u8>, written: usize) {
    tokio::task::spawn_local(async move {
        let rest = connection.io.write_all(&request[written..]);
        match tokio::time::timeout(REST, rest).await {
            Ok(Ok(())) => tracing::debug!("wrote the rest of a body that was answered early"),
            Ok(Err(error)) => tracing::debug!(%error, "the rest of a body could not be written"),
            Err(_) => tracing::debug!("the rest of a body was not taken in time"),
        }
    });
}

/// Reads the time out of a `Keep-Alive` field.
fn timeout(field: &str) -> Option<Duration> {
    let parts = field.split(',').map(str::trim);
    let seconds = parts
        .filter_map(|part| part.strip_prefix("timeout="))
        .find_map(|seconds| seconds.parse().ok());
    seconds.map(Duration::from_secs)
}
