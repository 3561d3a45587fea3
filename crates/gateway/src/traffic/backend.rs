//! The backend server beside the node: admission, connections and exchanges.
//!
//! All requests for the backend server pass through this module, whichever node they came from. The
//! checks here keep new work from a draining backend server and requests for a key from its former
//! owner, even if the sending node has an outdated view.

mod bodies;
mod check;
mod cold;
mod connections;
mod exchange;
mod slots;

use std::cell;
use std::collections;
use std::io;
use std::net;
use std::time::Duration;

use bytes::BytesMut;
use sequoiayoke_dispatch::{admission, outcomes, refusals, transfer, usage};
use sequoiayoke_http1::response;
use sequoiayoke_link::peer;
use sequoiayoke_model::clock;
use tokio::net::TcpStream;

use super::{Context, peers, serving};
use crate::coordinator;
use crate::frontend;
use crate::root;

/// Longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Longest idle time of a kept connection, unless the backend server names a shorter one.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Longest idle time of a connection that may carry a non-idempotent request: the backend server
/// may have dropped the connection.
const NON_IDEMPOTENT_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest wait for the answer that identifies a backend server.
const IDENTIFY_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of times that a backend server without an answer is asked: a full one rejects the question.
const IDENTIFY_ATTEMPTS: u32 = 3;
/// Pause between two of them.
const IDENTIFY_PAUSE: Duration = Duration::from_millis(100);
/// Largest number of idle connections that are kept.
const MAX_IDLE_CONNECTIONS: usize = 32;
/// Time beyond the deadline in which the backend server's own final response may arrive.
const RESPONSE_MARGIN: Duration = Duration::from_millis(40);
/// Largest number of key ranges in a report of load.
const MAX_USAGE_PARTS: usize = 24;

/// The backend server.
pub(super) struct Backend {
    address: net::SocketAddr,
    gate: cell::RefCell<admission::Gate>,
    waiting: cell::RefCell<collections::HashMap<admission::Ticket, slots::Waiter>>,
    idle: cell::RefCell<Vec<Connection>>,
    usage: cell::RefCell<usage::Usage>,
    transfers: bodies::Transfers,
    outcomes: cell::RefCell<outcomes::Outcomes>,
    memory: exchange::Memory,
    cold: cold::Cold,
}

#[derive(Debug)]
struct Connection {
    io: TcpStream,
    input: BytesMut,
    used: clock::Instant,
    idle: Duration,
    refusals: refusals::Refusals,
    /// What the requests of the node itself on this connection were about, if there were any.
    subject: Option<connections::Subject>,
}

/// Progress of a request at the node of the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The request was not admitted yet.
    Checking,
    /// The body is being fetched from the node that the caller uses.
    FetchingBody,
    /// The request waits for a slot.
    WaitingForSlot,
    /// The request has a slot and waits for a connection.
    Connecting,
    /// The request was written, or a part of it, so that it may have run.
    Running,
}

impl Stage {
    /// Returns the value of the log field and of the metrics label.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::Checking => "checking",
            Self::FetchingBody => "fetching-body",
            Self::WaitingForSlot => "waiting-for-slot",
            Self::Connecting => "connecting",
            Self::Running => "running",
        }
    }
}

/// Reason why an exchange with the backend server failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum Error {
    /// No process listens at the address.
    #[error("no process listens at the address")]
    Refused,
    /// No connection could be opened.
    #[error("no connection could be opened: {0}")]
    Connect(io::Error),
    /// The connection broke.
    #[error("the connection broke off: {0}")]
    Broken(io::Error),
    /// The response is malformed.
    #[error("the response is malformed: {0}")]
    Malformed(#[from] sequoiayoke_http1::Error),
    /// The response answers another request.
    #[error("received only responses to other requests")]
    Stray,
    /// The responses that are being read fill the memory for them.
    #[error("the responses that are being read fill the memory for them")]
    Memory,
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
    /// Creates the backend server beside a node with these settings.
    pub(super) fn new(settings: &root::Settings) -> Self {
        Self {
            address: settings.backend,
            gate: cell::RefCell::new(admission::Gate::new(1)),
            waiting: cell::RefCell::default(),
            idle: cell::RefCell::default(),
            usage: cell::RefCell::default(),
            transfers: bodies::Transfers::new(settings.bandwidth),
            outcomes: cell::RefCell::default(),
            memory: exchange::Memory::new(settings.limits.memory),
            cold: cold::Cold::default(),
        }
    }

    pub(super) fn set_slots(&self, slots: u32) {
        self.gate.borrow_mut().set_slots(slots);
        let releases = self.gate.borrow_mut().release(clock::Instant::now());
        self.apply_releases(releases);
    }

    /// Returns the number of requests that the backend server runs concurrently.
    pub(super) fn slots(&self) -> u32 {
        self.gate.borrow().slots()
    }

    /// Returns the load that bodies cause on the link.
    pub(super) fn link_load(&self) -> transfer::Load {
        self.transfers.load()
    }

    /// Records the transfer time of one part of a body; returns the delay before the next part.
    pub(super) fn record_body_part(&self, took: Duration) -> Duration {
        self.transfers.record_part(took)
    }

    /// Returns the load that is reported to other nodes.
    pub(super) fn load_report(&self) -> peer::Load {
        peer::Load::new(self.load(), self.link_load())
    }

    /// Returns the load by key range of the last `interval_s` seconds, and the mean run time of a
    /// request.
    pub(super) fn take_usage(&self, interval_s: f64) -> (Vec<usage::Part>, f64) {
        let mut usage = self.usage.borrow_mut();
        usage.update_rates(interval_s);
        (usage.parts(MAX_USAGE_PARTS), self.load().service_s)
    }

    /// Returns the fraction of requests that fail.
    pub(super) fn take_failure_rate(&self) -> f64 {
        self.outcomes.borrow_mut().report()
    }

    /// Runs a request at the backend server if it may run, and keeps `stage` up to date.
    pub(super) async fn run<Frontend>(
        &self,
        context: &Context<Frontend>,
        open: &peer::Open,
        pull: Option<&serving::Pull>,
        stage: &cell::Cell<Stage>,
    ) -> peer::Outcome
    where
        Frontend: frontend::Frontend,
    {
        let arrived = clock::Instant::now();
        let now = arrived;
        let deadline = now + Duration::from_millis(u64::from(open.left_ms));
        if let Err(reason) = check::check(context, open, now) {
            return not_run(reason, Duration::ZERO, false);
        }
        let mut offer = admission::Offer {
            rank: open.rank,
            class: open.class,
            useful_until: now + Duration::from_millis(u64::from(open.useful_ms)),
            deadline,
            max_wait: Duration::from_millis(u64::from(open.patience_ms)),
        };
        stage.set(Stage::FetchingBody);
        let body = match self.body(open, pull, &offer).await {
            Ok(body) => body,
            Err(bodies::Refusal::Full(retry_after)) => {
                return self.refuse_busy(context, open, retry_after);
            }
            Err(bodies::Refusal::LinkFull(retry_after)) => {
                if context.may_log() {
                    tracing::info!(
                        id = open.id,
                        body = ?open.body,
                        left_ms = open.left_ms,
                        useful_ms = open.useful_ms,
                        retry_after_ms = retry_after.as_millis() as u64,
                        "bodies fill the link to the node"
                    );
                }
                return not_run(peer::Reason::Busy, retry_after, false);
            }
            Err(bodies::Refusal::Missing) => {
                tracing::info!(id = open.id, "the body of a request has not arrived");
                return not_run(peer::Reason::Deadline, Duration::ZERO, false);
            }
        };
        if matches!(open.body, peer::Body::Later(_)) {
            // A request whose body was fetched is not sent to another server for a shorter wait.
            offer.max_wait = Duration::MAX;
        }
        stage.set(Stage::WaitingForSlot);
        let now = clock::Instant::now();
        self.doubt_if_silent(now);
        let mut slot = match self.acquire_slot(now, offer, open.key).await {
            Ok(slot) => slot,
            Err(retry_after) => return self.refuse_busy(context, open, retry_after),
        };
        // The view may have changed while the request waited.
        let now = clock::Instant::now();
        if let Err(reason) = check::check(context, open, now) {
            return not_run(reason, Duration::ZERO, false);
        }
        let max_idle = match open.is_idempotent {
            true => IDLE_TIMEOUT,
            false => NON_IDEMPOTENT_IDLE_TIMEOUT,
        };
        stage.set(Stage::Connecting);
        let connection = match self.checkout(&open.id, max_idle).await {
            Ok(connection) => connection,
            Err(error) => {
                tracing::info!(id = open.id, %error, "cannot connect to the backend server");
                self.doubt_after(&error);
                if matches!(error, Error::Refused) {
                    context.send_event(coordinator::Event::Ended(open.instance.clone()));
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
        stage.set(Stage::Running);
        slot.start(now);
        let exchange = self.exchange(context, connection, request, Some(&open.id));
        let timeout = left + RESPONSE_MARGIN;
        let result = tokio::time::timeout(timeout, exchange).await;
        match result.unwrap_or(Err(Error::Timeout)) {
            Ok(response) => {
                self.log_slow(context, open, arrived, now);
                let failed = response.status >= 500;
                self.outcomes.borrow_mut().add(failed);
                self.classify_response(context, open, &response, &mut slot)
            }
            Err(error) => {
                self.outcomes.borrow_mut().add(true);
                self.doubt_after(&error);
                tracing::info!(id = open.id, %error, "no usable answer of the backend server");
                peer::Outcome::Unknown(match error {
                    Error::Timeout => peer::Reason::Deadline,
                    Error::Malformed(sequoiayoke_http1::Error::Incomplete) => peer::Reason::Broken,
                    Error::Malformed(_) | Error::Stray => peer::Reason::Malformed,
                    _ => peer::Reason::Broken,
                })
            }
        }
    }

    /// Refuses a request for lack of capacity and logs the reason.
    fn refuse_busy<Frontend>(
        &self,
        context: &Context<Frontend>,
        open: &peer::Open,
        retry_after: Duration,
    ) -> peer::Outcome {
        self.record_refused_usage(open);
        if context.may_log() {
            let load = self.load();
            tracing::info!(
                id = open.id,
                key = open.key,
                rank = open.rank,
                running = load.running,
                waiting = load.waiting,
                slots = load.slots,
                is_cold = self.is_paced(clock::Instant::now()),
                service_ms = (load.service_s * 1_000.0) as u64,
                left_ms = open.left_ms,
                useful_ms = open.useful_ms,
                patience_ms = open.patience_ms,
                retry_after_ms = retry_after.as_millis() as u64,
                "the backend server is full"
            );
        }
        not_run(peer::Reason::Busy, retry_after, false)
    }

    /// Adds the expected run time of a refused request to the usage, so that an overloaded backend
    /// server shows more load than its slots allow and its keys are moved.
    fn record_refused_usage(&self, open: &peer::Open) {
        if let Some(key) = open.key {
            let now = clock::Instant::now();
            let service = self.gate.borrow().service_time(now, open.class);
            let mut usage = self.usage.borrow_mut();
            usage.add(key, service.as_secs_f64());
        }
    }

    /// Logs a request that was answered late, with the times it spent waiting and running.
    fn log_slow<Frontend>(
        &self,
        context: &Context<Frontend>,
        open: &peer::Open,
        arrived: clock::Instant,
        started: clock::Instant,
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
            waited_ms = started.saturating_since(arrived).as_millis() as u64,
            ran_ms = now.saturating_since(started).as_millis() as u64,
            running = load.running,
            waiting = load.waiting,
            slots = load.slots,
            "the backend server answered late"
        );
    }

    fn classify_response<Frontend>(
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
        self.record_answer(clock::Instant::now(), &metadata);
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
                "a successful response lacks the server's stamp"
            );
            return peer::Outcome::Unknown(peer::Reason::Malformed);
        }
        // Callers ask for bodies without an encoding.
        if (200..300).contains(&response.status)
            && response.fields.get("content-encoding").is_some()
        {
            tracing::warn!(
                id = open.id,
                status = response.status,
                "a successful response has an encoding that was not asked for"
            );
            return peer::Outcome::Unknown(peer::Reason::Malformed);
        }
        slot.is_observed = true;
        // The length that an answer to HEAD states is that of a body which does not follow.
        let is_head = open.head.starts_with(b"HEAD ");
        let mut fields = Vec::new();
        for (name, value) in response.fields.iter() {
            let is_length = name.eq_ignore_ascii_case("content-length");
            if response.fields.is_end_to_end(name) && (is_head || !is_length) {
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

async fn connect(address: net::SocketAddr) -> Result<Connection, Error> {
    let result = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let io = match result {
        Ok(Ok(io)) => io,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            return Err(Error::Refused);
        }
        Ok(Err(error)) => return Err(Error::Connect(error)),
        Err(elapsed) => return Err(Error::Connect(elapsed.into())),
    };
    peers::set_socket_options(&io).map_err(Error::Connect)?;
    Ok(Connection {
        io,
        input: BytesMut::new(),
        used: clock::Instant::now(),
        idle: IDLE_TIMEOUT,
        refusals: refusals::Refusals::new(),
        subject: None,
    })
}
