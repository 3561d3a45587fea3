//! The path of one request through a node.
//!
//! An entry node decides, waits while the key has no owner, and forwards at
//! most one hop. The owner admits the request, asks its record of ids, checks
//! its lease, and dispatches. Whatever is reported as not run was never
//! dispatched, or was refused by the backend server under its protocol.

mod issue;
mod local;
mod record;

use std::io;
use std::sync;
use std::sync::atomic;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_model::outcome;
use sequoiayoke_traffic::health;
use sequoiayoke_traffic::retry;
use sequoiayoke_traffic::route;
use sequoiayoke_wire::convert;
use sequoiayoke_wire::stream;
use tokio::sync::watch;

use super::answer;
use super::evidence;
use super::flights;
use super::peers::dial;
use super::request;
use super::server;
use super::server::permit;
use crate::measure;
use crate::published;

/// Largest body that is held whole, so that it can be sent again, in bytes.
const HELD_BODY: u64 = 64 * 1024;
/// Time for which a forwarded request waits for the view that its entry node had,
/// well above the few milliseconds by which views arrive apart.
const BEHIND_WAIT: Duration = Duration::from_millis(500);
/// Most sendings of one request that reach a backend server.
const MAX_ATTEMPTS: u32 = 4;

/// The backend server that requests are dispatched to.
#[derive(Debug)]
pub struct Target<S> {
    /// Its name.
    pub name: String,
    /// How requests get there.
    pub server: S,
    /// Its slots and queue.
    pub admission: sync::Arc<permit::Admission>,
}

/// Bounds of the path.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Requests that may wait while their key has no owner.
    pub waiting: usize,
    /// Largest answer that is kept to be replayed, in bytes.
    pub answer_bytes: usize,
}

/// The path of requests through this node.
#[derive(Debug)]
pub struct Path<C, S> {
    clock: C,
    published: sync::Arc<published::Published>,
    target: ArcSwapOption<Target<S>>,
    peers: dial::Pool,
    limits: Limits,
    waiting: atomic::AtomicUsize,
    flights: sync::Arc<flights::Flights>,
    // Locked for one decision, never across an `await`.
    budget: sync::Mutex<retry::Budget>,
    evidence: sync::Arc<evidence::Evidence>,
    measure: Option<sync::Arc<measure::Measure>>,
}

/// A body that can be sent more than once, or only once.
enum Source<B> {
    Held(Bytes),
    Once(Option<B>),
}

/// Body of one sending.
enum Sending<B> {
    Held(Option<Bytes>),
    Once(B),
}

impl<B> Stream for Sending<B>
where
    B: Stream<Item = io::Result<Bytes>> + Unpin,
{
    type Item = io::Result<Bytes>;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        match &mut *self {
            Self::Held(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                std::task::Poll::Ready(bytes.map(Ok))
            }
            Self::Once(body) => body.poll_next_unpin(context),
        }
    }
}

impl<B> Source<B> {
    fn sending(&mut self) -> Option<Sending<B>> {
        match self {
            Self::Held(bytes) => Some(Sending::Held(Some(bytes.clone()))),
            Self::Once(body) => body.take().map(Sending::Once),
        }
    }

    const fn is_left(&self) -> bool {
        matches!(self, Self::Held(_) | Self::Once(Some(_)))
    }
}

impl<C, S> Path<C, S>
where
    C: clock::Clock + Send + Sync + 'static,
    S: server::Dispatch,
{
    /// Makes a path without a backend server.
    pub fn new(
        clock: C,
        published: sync::Arc<published::Published>,
        peers: dial::Pool,
        limits: Limits,
    ) -> Self {
        let budget = sync::Mutex::new(retry::Budget::new(clock.now()));
        let evidence = sync::Arc::new(evidence::Evidence::new(clock.now()));
        Self {
            clock,
            published,
            target: ArcSwapOption::empty(),
            peers,
            limits,
            waiting: atomic::AtomicUsize::new(0),
            flights: sync::Arc::default(),
            budget,
            evidence,
            measure: None,
        }
    }

    /// Returns the clock.
    pub const fn clock(&self) -> &C {
        &self.clock
    }

    /// Returns what the coordinator has published.
    pub const fn published(&self) -> &sync::Arc<published::Published> {
        &self.published
    }

    /// Returns what requests tell about keys and about the backend server.
    pub const fn evidence(&self) -> &sync::Arc<evidence::Evidence> {
        &self.evidence
    }

    /// Adds to the evidence that the backend server answers nothing, if so.
    ///
    /// Requests that wait for a frozen server are evidence only at their
    /// deadlines, which may be far away.
    pub fn observe_silence(&self) {
        let target = self.target.load();
        if target.as_ref().is_some_and(|one| one.admission.is_silent()) {
            let now = self.clock.now();
            if !self
                .evidence
                .observed(now, now, health::Sample::Unresponsive)
            {
                tracing::debug!("a silent backend server is not judged just after a suspension");
            }
        }
    }

    /// Returns the requests in flight.
    pub fn flights(&self) -> &flights::Flights {
        &self.flights
    }

    /// Sets the backend server.
    pub fn set_target(&self, target: Option<sync::Arc<Target<S>>>) {
        self.target.store(target);
    }

    /// Returns the id of the caller with this name, or 0.
    pub fn caller_named(&self, name: &str) -> id::Caller {
        if name.is_empty() {
            return id::Caller(0);
        }
        let snapshot = self.published.load();
        let mut callers = snapshot.view.callers();
        let found = callers.find(|(_, caller)| caller.name == name);
        found.map_or(id::Caller(0), |(id, _)| id)
    }

    /// Carries a request to its end, and logs the decision.
    pub async fn serve<B>(&self, view: &mut request::View<'_>, body: B) -> answer::Answer
    where
        B: Stream<Item = io::Result<Bytes>> + Send + Unpin + 'static,
    {
        let start = self.clock.now();
        let flight = self.flights.enter(view);
        let mut answer = self.attempt_all(view, body).await;
        answer.flight = Some(flight);
        let elapsed = self.clock.now().saturating_since(start);
        self.ended(view, &answer, elapsed);
        answer
    }

    async fn attempt_all<B>(&self, view: &mut request::View<'_>, body: B) -> answer::Answer
    where
        B: Stream<Item = io::Result<Bytes>> + Send + Unpin + 'static,
    {
        let left = view.left(self.clock.now());
        let mut source = match tokio::time::timeout(left, hold(view, body)).await {
            Ok(Ok(source)) => source,
            Ok(Err(_)) => return answer::Answer::not_run(outcome::Reason::Cancelled),
            Err(_) => return answer::Answer::not_run(outcome::Reason::Deadline),
        };
        self.lock_budget()
            .deposit(self.clock.now(), view.caller, view.service);
        let mut number = 0;
        // Why it is not known whether an earlier sending ran.
        let mut uncertain = None;
        loop {
            let mut changed = self.published.subscribe();
            let answer = match self.decide(view).await {
                Ok(decision) => match source.sending() {
                    Some(sending) => {
                        self.reissue(view);
                        self.carry_out(view, decision, sending).await
                    }
                    None => answer::Answer::not_run(outcome::Reason::Unreachable),
                },
                Err(reason) => return after(uncertain, answer::Answer::not_run(reason)),
            };
            let now = self.clock.now();
            if view.forwarded.is_some() || !self.may_retry(view, &answer, &source, number, now) {
                return after(uncertain, answer);
            }
            if let outcome::Outcome::Unknown(reason) = answer.outcome {
                uncertain = Some(reason);
            }
            self.pause(view, number, &mut changed).await;
            number += 1;
            self.note_retry(view);
        }
    }

    /// Waits before the next sending; another owner of the key ends the wait early.
    async fn pause(
        &self,
        view: &request::View<'_>,
        number: u32,
        changed: &mut watch::Receiver<u64>,
    ) {
        let pause = retry::backoff(number, &mut rand::rng());
        let pause = pause.min(view.left(self.clock.now()));
        let tried = self.epoch_of(view);
        let other_owner = async {
            while self.epoch_of(view) == tried {
                if changed.changed().await.is_err() {
                    return;
                }
            }
        };
        let _ = tokio::time::timeout(pause, other_owner).await;
    }

    fn may_retry<B>(
        &self,
        view: &request::View<'_>,
        answer: &answer::Answer,
        source: &Source<B>,
        number: u32,
        now: clock::Instant,
    ) -> bool {
        let left = view.left(now);
        let allowed = retry::may_retry(answer.outcome, view.idempotent, left);
        if allowed != retry::Decision::Retry || !source.is_left() {
            return false;
        }
        // What never reached a backend server costs it nothing, so only the deadline
        // bounds these retries: the key may just be changing hands.
        let refused = outcome::Outcome::NotRun(outcome::Reason::RefusedByServer);
        let reached = match answer.outcome {
            outcome::Outcome::NotRun(_) => answer.outcome == refused,
            outcome::Outcome::Answered(_) | outcome::Outcome::Unknown(_) => true,
        };
        if !reached {
            return true;
        }
        let mut budget = self.lock_budget();
        number + 1 < MAX_ATTEMPTS && budget.withdraw(now, view.caller, view.service)
    }

    fn lock_budget(&self) -> sync::MutexGuard<'_, retry::Budget> {
        self.budget
            .lock()
            .expect("no code panics while it holds the lock of the retry budget")
    }

    /// Decides where the request goes; waits while its key has no owner.
    async fn decide(&self, view: &request::View<'_>) -> Result<route::Decision, outcome::Reason> {
        let mut changed = self.published.subscribe();
        let mut place = None;
        loop {
            let decision = self.decide_now(view)?;
            if decision != route::Decision::Wait {
                return Ok(decision);
            }
            if place.is_none() {
                place = Some(self.wait_place()?);
            }
            let left = view.left(self.clock.now());
            let (limit, reason) = match view.forwarded {
                Some(_) => (left.min(BEHIND_WAIT), outcome::Reason::NotOwner),
                None => (left, outcome::Reason::Vacant),
            };
            let woken = tokio::time::timeout(limit, changed.changed()).await;
            if !matches!(woken, Ok(Ok(()))) {
                return Err(reason);
            }
        }
    }

    /// Waits until the key has an owner.
    ///
    /// # Errors
    ///
    /// Returns the reason why a request for the key would not run.
    pub async fn wait_for_owner(&self, view: &request::View<'_>) -> Result<(), outcome::Reason> {
        self.decide(view).await.map(|_| ())
    }

    fn decide_now(&self, view: &request::View<'_>) -> Result<route::Decision, outcome::Reason> {
        let snapshot = self.published.load();
        if let Some(reason) = snapshot.refusal(self.clock.now()) {
            return Err(reason);
        }
        let query = route::Query {
            service: view.service,
            hash: view.hash,
            forwarded: view.forwarded,
        };
        match route::decide(&snapshot.view, snapshot.me, &query) {
            route::Decision::Refuse(reason) => Err(reason),
            // Granted, but the backend server has not taken the grant yet; or on its way to
            // the next owner, for which a body that is sent only once must be kept.
            route::Decision::Local { epoch, .. }
                if snapshot
                    .owned_slice(view.service, view.hash)
                    .is_none_or(|slice| {
                        let moves = view.forwarded.is_none() && slice.is_closed();
                        slice.epoch() != epoch || moves
                    }) =>
            {
                Ok(route::Decision::Wait)
            }
            decision => Ok(decision),
        }
    }

    fn wait_place(&self) -> Result<Place<'_>, outcome::Reason> {
        let place = Place(&self.waiting);
        let before = self.waiting.fetch_add(1, atomic::Ordering::Relaxed);
        if before >= self.limits.waiting {
            return Err(outcome::Reason::Overload);
        }
        Ok(place)
    }

    async fn carry_out<B>(
        &self,
        view: &request::View<'_>,
        decision: route::Decision,
        body: Sending<B>,
    ) -> answer::Answer
    where
        B: Stream<Item = io::Result<Bytes>> + Send + Unpin + 'static,
    {
        match decision {
            route::Decision::Local { .. } => self.dispatch(view, body).await,
            route::Decision::Forward {
                peer_address,
                epoch,
                ..
            } => self.forward(view, peer_address, epoch, body).await,
            route::Decision::Wait => answer::Answer::not_run(outcome::Reason::Vacant),
            route::Decision::Refuse(reason) => answer::Answer::not_run(reason),
        }
    }

    async fn forward<B>(
        &self,
        view: &request::View<'_>,
        address: std::net::SocketAddr,
        epoch: id::Epoch,
        body: Sending<B>,
    ) -> answer::Answer
    where
        B: Stream<Item = io::Result<Bytes>> + Send + Unpin + 'static,
    {
        let left = view.left(self.clock.now());
        let Some(hop) = retry::hop_timeout(left) else {
            return answer::Answer::not_run(outcome::Reason::Deadline);
        };
        let open = self.open(view, hop, epoch);
        self.note_forward(view);
        let reply = tokio::time::timeout(left, self.peers.forward(address, open, body)).await;
        match reply {
            Ok(Ok(reply)) => from_reply(reply),
            Ok(Err(outcome)) => answer::Answer::new(outcome),
            Err(_) => answer::Answer::unknown(outcome::Reason::Deadline),
        }
    }

    fn open(&self, view: &request::View<'_>, hop: Duration, epoch: id::Epoch) -> stream::Open {
        let snapshot = self.published.load();
        let mut callers = snapshot.view.callers();
        let caller = callers.find(|(id, _)| *id == view.caller);
        let headers = view.headers.iter();
        stream::Open {
            service: view.service.0,
            hash: view.hash.0,
            method: view.method.to_owned(),
            path: view.path.to_owned(),
            headers: headers
                .map(|(name, value)| stream::Header {
                    name: name.clone(),
                    value: value.clone(),
                })
                .collect(),
            deadline_ms: u32::try_from(hop.as_millis()).unwrap_or(u32::MAX),
            request_id: view.id.map(|id| id.to_string()).unwrap_or_default(),
            caller: caller.map(|(_, one)| one.name.clone()).unwrap_or_default(),
            scope: view.scope.to_owned(),
            idempotent: view.idempotent,
            epoch: epoch.0,
        }
    }
}

/// A place among the requests that wait for an owner.
struct Place<'a>(&'a atomic::AtomicUsize);

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

/// Returns the answer to the last sending, as it holds for all of them.
fn after(uncertain: Option<outcome::Reason>, answer: answer::Answer) -> answer::Answer {
    match (uncertain, answer.outcome) {
        // Only this sending did not run; an earlier one may have.
        (Some(reason), outcome::Outcome::NotRun(_)) => answer::Answer::unknown(reason),
        _ => answer,
    }
}

/// Holds a short body whole, so that it can be sent again.
async fn hold<B>(view: &request::View<'_>, mut body: B) -> io::Result<Source<B>>
where
    B: Stream<Item = io::Result<Bytes>> + Unpin,
{
    match view.body_bytes() {
        None if !view.is_chunked() => Ok(Source::Held(Bytes::new())),
        Some(size) if size <= HELD_BODY => {
            let mut held = bytes::BytesMut::with_capacity(size as usize);
            while let Some(part) = body.next().await {
                held.extend_from_slice(&part?);
            }
            Ok(Source::Held(held.freeze()))
        }
        _ => Ok(Source::Once(Some(body))),
    }
}

fn from_reply(reply: dial::Reply) -> answer::Answer {
    let outcome = convert::to_outcome(&reply.head);
    let headers = reply.head.headers.into_iter();
    answer::Answer {
        outcome,
        headers: headers.map(|one| (one.name, one.value)).collect(),
        epoch: (reply.head.epoch != 0).then_some(id::Epoch(reply.head.epoch)),
        server: reply.head.server,
        replayed: reply.head.replayed,
        body: answer::Body::Peer(reply.body),
        flight: None,
    }
}
