//! The path of one request through a node.
//!
//! An entry node makes the routing decision, waits while the key has no owner, and
//! forwards at most one hop. The owner admits the request, looks its id up in the
//! record of ids, checks the lease, and dispatches. A request that is reported as
//! not run was never dispatched, or was refused by the backend server as its
//! protocol defines.

mod issue;
mod local;
mod record;
mod source;

use std::io;
use std::sync;
use std::sync::atomic;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use futures_util::Stream;
use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_model::outcome;
use sequoiayoke_supervise::Stop;
use sequoiayoke_traffic::health;
use sequoiayoke_traffic::retry;
use sequoiayoke_traffic::route;
use sequoiayoke_wire::convert;
use sequoiayoke_wire::stream;
use tokio::sync::watch;

use super::answer;
use super::evidence;
use super::in_flight;
use super::peers::dial;
use super::request;
use super::server;
use super::server::permit;
use crate::measure;
use crate::published;

/// Time for which a forwarded request waits for the view that its entry node had; well
/// above the few milliseconds between the arrivals of a view at different nodes.
const MAX_VIEW_WAIT: Duration = Duration::from_millis(500);
/// Maximum number of attempts of one request that reach a backend server.
const MAX_ATTEMPTS: u32 = 4;

/// The backend server that requests are dispatched to.
#[derive(Debug)]
pub struct Target<S> {
    /// Its name.
    pub name: String,
    /// Dispatches requests to it.
    pub server: S,
    /// Admission to its slots and queue.
    pub admission: sync::Arc<permit::Admission>,
}

/// Limits of the path.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of requests that wait because their key has no owner.
    pub waiting: usize,
    /// Size in bytes up to which an answer is stored for replay.
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
    in_flight: sync::Arc<in_flight::Registry>,
    cutoff: Stop,
    // Locked for one decision, never across an `await`.
    budget: sync::Mutex<retry::Budget>,
    evidence: sync::Arc<evidence::Evidence>,
    measure: Option<sync::Arc<measure::Measure>>,
}

impl<C, S> Path<C, S>
where
    C: clock::Clock + Send + Sync + 'static,
    S: server::Dispatch,
{
    /// Creates a path without a backend server.
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
            in_flight: sync::Arc::default(),
            cutoff: Stop::new(),
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

    /// Returns the load of the keys and the health of the backend server.
    pub const fn evidence(&self) -> &sync::Arc<evidence::Evidence> {
        &self.evidence
    }

    /// Records that the backend server is unresponsive, if it answers no request at all.
    ///
    /// Requests that wait for a frozen server would be recorded only at their deadlines,
    /// which may be far in the future.
    pub fn observe_unresponsive(&self) {
        let target = self.target.load();
        if target
            .as_ref()
            .is_some_and(|target| target.admission.is_unresponsive())
        {
            let now = self.clock.now();
            if !self
                .evidence
                .record_sample(now, now, health::Sample::Unresponsive)
            {
                tracing::debug!(
                    "ignoring an unresponsive backend server shortly after a suspension"
                );
            }
        }
    }

    /// Returns the requests in flight.
    pub fn in_flight(&self) -> &in_flight::Registry {
        &self.in_flight
    }

    /// Returns the token that ends all requests without an answer, and refuses new ones.
    pub const fn cutoff(&self) -> &Stop {
        &self.cutoff
    }

    /// Returns the reason for which a request is cancelled.
    fn cancel_reason(&self) -> outcome::Reason {
        match self.cutoff.is_cancelled() {
            true => outcome::Reason::Draining,
            false => outcome::Reason::Cancelled,
        }
    }

    /// Sets the backend server. Requests that wait for a slot of the former one do not run.
    pub fn set_target(&self, target: Option<sync::Arc<Target<S>>>) {
        if let Some(former) = self.target.swap(target) {
            former.admission.close();
        }
    }

    /// Returns the id of the caller with this name, or 0.
    pub fn caller_named(&self, name: &str) -> id::Caller {
        if name.is_empty() {
            return id::Caller(0);
        }
        let snapshot = self.published.load();
        let mut callers = snapshot.view.callers();
        let caller = callers.find(|(_, caller)| caller.name == name);
        caller.map_or(id::Caller(0), |(id, _)| id)
    }

    /// Serves a request, and logs the routing decision.
    pub async fn serve<B>(&self, view: &mut request::View<'_>, body: B) -> answer::Answer
    where
        B: Stream<Item = io::Result<Bytes>> + Send + Unpin + 'static,
    {
        let start = self.clock.now();
        let guard = self.in_flight.register(view);
        let mut answer = self.serve_with_retries(view, body).await;
        answer.in_flight = Some(guard);
        let elapsed = self.clock.now().saturating_since(start);
        self.record_end(view, &answer, elapsed);
        answer
    }

    async fn serve_with_retries<B>(&self, view: &mut request::View<'_>, body: B) -> answer::Answer
    where
        B: Stream<Item = io::Result<Bytes>> + Send + Unpin + 'static,
    {
        let left = view.left(self.clock.now());
        let buffering = tokio::time::timeout(left, source::buffer(view, body));
        let mut source = match view.until_cancelled(buffering).await {
            Some(Ok(Ok(source))) => source,
            Some(Ok(Err(_))) => return answer::Answer::not_run(outcome::Reason::Cancelled),
            Some(Err(_)) => return answer::Answer::not_run(outcome::Reason::Deadline),
            None => return answer::Answer::not_run(self.cancel_reason()),
        };
        self.lock_budget()
            .deposit(self.clock.now(), view.caller, view.service);
        let mut number = 0;
        // Reason why it is unknown whether an earlier attempt ran.
        let mut uncertain = None;
        loop {
            let mut changed = self.published.subscribe();
            let decision = view.until_cancelled(self.decide(view)).await;
            let answer = match decision.unwrap_or_else(|| Err(self.cancel_reason())) {
                Ok(decision) => match source.next_attempt() {
                    Some(body) => {
                        self.reissue(view);
                        self.execute(view, decision, body).await
                    }
                    None => answer::Answer::not_run(outcome::Reason::Unreachable),
                },
                Err(reason) => return combine(uncertain, answer::Answer::not_run(reason)),
            };
            let now = self.clock.now();
            if view.forwarded.is_some() || !self.may_retry(view, &answer, &source, number, now) {
                return combine(uncertain, answer);
            }
            if let outcome::Outcome::Unknown(reason) = answer.outcome {
                uncertain = Some(reason);
            }
            self.wait_before_retry(view, number, &mut changed).await;
            number += 1;
            self.count_retry(view);
        }
    }

    /// Waits before a retry, until the backoff ends or the owner of the key changes.
    async fn wait_before_retry(
        &self,
        view: &request::View<'_>,
        number: u32,
        changed: &mut watch::Receiver<u64>,
    ) {
        let backoff = retry::backoff(number, &mut rand::rng());
        let backoff = backoff.min(view.left(self.clock.now()));
        let tried_epoch = self.epoch_of(view);
        let owner_changed = async {
            while self.epoch_of(view) == tried_epoch {
                if changed.changed().await.is_err() {
                    return;
                }
            }
        };
        let waiting = tokio::time::timeout(backoff, owner_changed);
        let _ = view.until_cancelled(waiting).await;
    }

    fn may_retry<B>(
        &self,
        view: &request::View<'_>,
        answer: &answer::Answer,
        source: &source::Source<B>,
        number: u32,
        now: clock::Instant,
    ) -> bool {
        let left = view.left(now);
        let allowed = retry::may_retry(answer.outcome, view.idempotent, left);
        if allowed != retry::Decision::Retry || !source.can_attempt() {
            return false;
        }
        // Attempts that never reached a backend server put no load on it, so only the
        // deadline limits these retries: the key may be moving to another owner.
        let refused = outcome::Outcome::NotRun(outcome::Reason::RefusedByServer);
        let reached_server = match answer.outcome {
            outcome::Outcome::NotRun(_) => answer.outcome == refused,
            outcome::Outcome::Answered(_) | outcome::Outcome::Unknown(_) => true,
        };
        if !reached_server {
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

    /// Makes the routing decision; waits while the key has no owner.
    async fn decide(&self, view: &request::View<'_>) -> Result<route::Decision, outcome::Reason> {
        let mut changed = self.published.subscribe();
        let mut waiter = None;
        loop {
            let decision = self.decide_now(view)?;
            if decision != route::Decision::Wait {
                return Ok(decision);
            }
            if waiter.is_none() {
                waiter = Some(self.register_waiter()?);
            }
            let left = view.left(self.clock.now());
            let (limit, reason) = match view.forwarded {
                Some(_) => (left.min(MAX_VIEW_WAIT), outcome::Reason::NotOwner),
                None => (left, outcome::Reason::Vacant),
            };
            let notified = tokio::time::timeout(limit, changed.changed()).await;
            if !matches!(notified, Ok(Ok(()))) {
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
        let decision = view.until_cancelled(self.decide(view)).await;
        let decision = decision.unwrap_or_else(|| Err(self.cancel_reason()));
        decision.map(|_| ())
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
        match route::decide(&snapshot.view, snapshot.identity, &query) {
            route::Decision::Refuse(reason) => Err(reason),
            // The backend server has not acknowledged the grant yet; or the slice is being
            // released, and a body that can be sent only once must be kept for the new owner.
            route::Decision::Local { epoch, .. }
                if snapshot
                    .owned_slice(view.service, view.hash)
                    .is_none_or(|slice| {
                        let is_releasing = view.forwarded.is_none() && slice.is_closed();
                        slice.epoch() != epoch || is_releasing
                    }) =>
            {
                Ok(route::Decision::Wait)
            }
            decision => Ok(decision),
        }
    }

    fn register_waiter(&self) -> Result<Waiter<'_>, outcome::Reason> {
        let waiter = Waiter(&self.waiting);
        let before = self.waiting.fetch_add(1, atomic::Ordering::Relaxed);
        if before >= self.limits.waiting {
            return Err(outcome::Reason::Overload);
        }
        Ok(waiter)
    }

    async fn execute<B>(
        &self,
        view: &request::View<'_>,
        decision: route::Decision,
        body: source::Attempt<B>,
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
        body: source::Attempt<B>,
    ) -> answer::Answer
    where
        B: Stream<Item = io::Result<Bytes>> + Send + Unpin + 'static,
    {
        let left = view.left(self.clock.now());
        let Some(hop) = retry::hop_timeout(left) else {
            return answer::Answer::not_run(outcome::Reason::Deadline);
        };
        let open = self.open_message(view, hop, epoch);
        self.count_forward(view);
        let forward = self.peers.forward(address, open, body, view.cancel);
        let reply = tokio::time::timeout(left, forward).await;
        match reply {
            Ok(Ok(reply)) => answer_from_reply(reply),
            Ok(Err(outcome::Outcome::NotRun(outcome::Reason::Cancelled))) => {
                answer::Answer::not_run(self.cancel_reason())
            }
            Ok(Err(outcome::Outcome::Unknown(outcome::Reason::Cancelled))) => {
                answer::Answer::unknown(self.cancel_reason())
            }
            Ok(Err(outcome)) => answer::Answer::new(outcome),
            Err(_) => answer::Answer::unknown(outcome::Reason::Deadline),
        }
    }

    fn open_message(
        &self,
        view: &request::View<'_>,
        hop: Duration,
        epoch: id::Epoch,
    ) -> stream::Open {
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
            caller: caller
                .map(|(_, caller)| caller.name.clone())
                .unwrap_or_default(),
            scope: view.scope.to_owned(),
            idempotent: view.idempotent,
            epoch: epoch.0,
        }
    }
}

/// Counts a request as waiting for an owner until it is dropped.
struct Waiter<'a>(&'a atomic::AtomicUsize);

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

/// Returns the answer to the last attempt, combined with the outcomes of earlier ones.
fn combine(uncertain: Option<outcome::Reason>, answer: answer::Answer) -> answer::Answer {
    match (uncertain, answer.outcome) {
        // The last attempt did not run, but an earlier one may have.
        (Some(reason), outcome::Outcome::NotRun(_)) => answer::Answer::unknown(reason),
        _ => answer,
    }
}

fn answer_from_reply(reply: dial::Reply) -> answer::Answer {
    let outcome = convert::outcome(&reply.head);
    let headers = reply.head.headers.into_iter();
    answer::Answer {
        outcome,
        headers: headers.map(|header| (header.name, header.value)).collect(),
        epoch: (reply.head.epoch != 0).then_some(id::Epoch(reply.head.epoch)),
        server: reply.head.server,
        replayed: reply.head.replayed,
        body: answer::Body::Peer(reply.body),
        in_flight: None,
    }
}
