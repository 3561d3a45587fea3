//! The path of one request: route, backend server, sending, answer.
//!
//! A request is sent again only if it did not run, or if it may run twice and
//! the budget allows it. The answer "not run" is given only if no sending may
//! have led to a run.

mod answer;
mod retry;
mod target;

use std::rc;
use std::time::Duration;

use bytes::Bytes;
use sequoiayoke_catalog::{config, server, slice};
use sequoiayoke_dispatch::{admission, route};
use sequoiayoke_http1::request;
use sequoiayoke_link::peer;
use sequoiayoke_model::{clock, id};

use super::Context;
use crate::frontend;
use crate::view;

pub(super) use answer::{Answer, malformed};
pub(super) use target::Seen;

use answer::{Failure, answered, refuse};
use retry::{earn, goes_on, is_full, is_probing, may_send_again, word};
use target::{Outstanding, choose, record};

/// Time for which a caller waits if it does not say.
const PATIENCE: Duration = Duration::from_secs(10);
/// Time for which a caller is asked to wait before the first configuration.
const START_RETRY: Duration = Duration::from_millis(300);
/// Shortest time for which a refused caller is asked to wait.
const MIN_RETRY: Duration = Duration::from_millis(60);
/// Time for which a backend server whose node is not reached is passed over.
const DOWN: Duration = Duration::from_millis(700);
/// Longest wait for a new owner of a key, as a part of the time left.
const OWNER_WAIT_PERCENT: u32 = 60;
/// Targets below this one are those of calls between services.
const CALL_TARGET: Duration = Duration::from_millis(300);
/// Largest priority that is told apart.
const MAX_PRIORITY: u32 = (1 << 14) - 1;
/// Time beyond the deadline in which the other node's last word may arrive.
const LAST_WORD: Duration = Duration::from_millis(80);
/// Full backend servers that a request without a key asks before it waits at one.
const MAX_PROBES: u32 = 2;
/// Part of the time left to its target for which such a request waits at the first ones.
const PROBE_PATIENCE_PERCENT: u32 = 10;
/// The same for a call, whose short target leaves no time to ask around.
const CALL_PATIENCE_PERCENT: u32 = 25;
/// Turns after which a request is given up; each is a sending or a wait.
const MAX_TURNS: u32 = 24;

/// A request on its way.
struct Journey<'a> {
    id: &'a str,
    kind: config::Kind,
    service: String,
    key: Option<slice::Key>,
    rank: u32,
    class: u64,
    max_attempts: u32,
    /// Whether another request waits for this one, as its short target shows.
    is_call: bool,
    start: clock::Instant,
    deadline: clock::Instant,
    useful_until: clock::Instant,
    method: &'a str,
    head: Bytes,
    body: Option<Bytes>,
    /// Sendings that reached a backend server.
    sent: u32,
    /// Whether a sending may have led to a run.
    may_have_run: bool,
    tried: Vec<id::Server>,
    /// Backend servers that it may ask for a free slot before it waits at one.
    probes: u32,
    /// Backend servers that had no free slot, in the order in which they were asked.
    full: Vec<id::Server>,
    retry_after: Duration,
    /// Why the last sending led to no answer, and to which backend server it went.
    last: Option<(peer::Reason, id::Server)>,
}

/// Serves a request; never fails, every outcome is an answer.
pub(super) async fn serve<Frontend>(
    context: rc::Rc<Context<Frontend>>,
    request: request::Request,
    arrived: clock::Instant,
) -> Answer
where
    Frontend: frontend::Frontend,
{
    let _in_flight = InFlight::new(&context);
    let caller = context.frontend.caller(&request.head);
    let id = caller.id.unwrap_or_default();
    let (service, ended) = match begin(&context, &request, &caller, arrived) {
        Ok(journey) => {
            let service = journey.service.clone();
            (service, travel(&context, journey).await)
        }
        Err(failure) => (String::new(), Err(failure)),
    };
    let took = clock::Instant::now().saturating_since(arrived);
    let kind = ended.as_ref().map_or_else(Failure::word, |_| "answered");
    context.measure.ended(&service, kind, took);
    ended.unwrap_or_else(|failure| {
        let logs = context.may_log();
        refuse(id, &service, &request.head, failure, took, logs)
    })
}

/// Counts a request for as long as it lives.
struct InFlight<'a, Frontend>(&'a Context<Frontend>);

impl<'a, Frontend> InFlight<'a, Frontend> {
    fn new(context: &'a Context<Frontend>) -> Self {
        context.in_flight.set(context.in_flight.get() + 1);
        Self(context)
    }
}

impl<Frontend> Drop for InFlight<'_, Frontend> {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

fn begin<'a, Frontend>(
    context: &Context<Frontend>,
    request: &'a request::Request,
    caller: &frontend::Caller<'a>,
    arrived: clock::Instant,
) -> Result<Journey<'a>, Failure>
where
    Frontend: frontend::Frontend,
{
    let id = caller.id.ok_or(Failure::NoId)?;
    let view = context.view();
    let config = view.config.as_ref().ok_or(Failure::NotRun(START_RETRY))?;
    let mut routes = context.routes.borrow_mut();
    if routes.version != Some(config.version) {
        routes.version = Some(config.version);
        routes.table = route::Table::new(config);
    }
    let host = request.head.fields.get("host").unwrap_or_default();
    let found = routes.table.find(host, request.head.path());
    let entry = found.ok_or(Failure::NoRoute)?;
    let service = entry.next_service().to_owned();
    let patience = caller.max_wait.unwrap_or(PATIENCE);
    let waited = entry.estimate_waited(patience);
    let route = &entry.route;
    let timeout = Duration::from_millis(route.timeout_ms);
    let target = Duration::from_millis(route.target_ms);
    // A call is as patient as the request that needs it; it has not come back.
    let is_call = target < CALL_TARGET;
    let waited = if is_call { Duration::ZERO } else { waited };
    let target = target.saturating_sub(waited);
    let is_keyed = view.service(&service).is_some_and(|one| one.is_keyed);
    let key = caller.key.filter(|_| is_keyed);
    Ok(Journey {
        id,
        kind: route.kind,
        key,
        rank: rank(route, is_call),
        class: entry.class,
        max_attempts: route.max_attempts.max(1),
        is_call,
        start: arrived,
        deadline: arrived + timeout.min(patience),
        useful_until: arrived + target,
        method: &request.head.method,
        head: forwarded(context, request),
        body: request.head.has_body.then(|| request.body.clone()),
        sent: 0,
        may_have_run: false,
        tried: Vec::new(),
        probes: match key.is_none() && is_probing(context, &service) {
            true => MAX_PROBES,
            false => 0,
        },
        full: Vec::new(),
        service,
        retry_after: MIN_RETRY,
        last: None,
    })
}

/// Returns the rank of a route's requests: calls first, then by priority and by target.
fn rank(route: &config::Route, is_call: bool) -> u32 {
    let kind = match is_call {
        true => 0,
        false => admission::MIN_REQUEST_RANK,
    };
    let priority = route.priority.min(MAX_PRIORITY);
    let target_ms = u16::try_from(route.target_ms).unwrap_or(u16::MAX);
    kind | (priority << 17) | (u32::from(target_ms) << 1)
}

/// Returns the request line and the fields that go to the backend server.
fn forwarded<Frontend>(context: &Context<Frontend>, request: &request::Request) -> Bytes
where
    Frontend: frontend::Frontend,
{
    let head = &request.head;
    let mut out = Vec::with_capacity(512);
    out.extend_from_slice(format!("{} {} HTTP/1.1\r\n", head.method, head.target).as_bytes());
    for (name, value) in head.fields.iter() {
        let own = name.eq_ignore_ascii_case("content-length")
            || name.eq_ignore_ascii_case("expect")
            || !context.frontend.is_forwarded(name);
        if !own && head.fields.is_end_to_end(name) {
            out.extend_from_slice(name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(value);
            out.extend_from_slice(b"\r\n");
        }
    }
    let service = &context.settings.service;
    context.frontend.write_origin(service, &mut out);
    out.into()
}

async fn travel<Frontend>(
    context: &rc::Rc<Context<Frontend>>,
    mut journey: Journey<'_>,
) -> Result<Answer, Failure>
where
    Frontend: frontend::Frontend,
{
    earn(context, &journey.service);
    for _ in 0..MAX_TURNS {
        let now = clock::Instant::now();
        if now >= journey.deadline {
            break;
        }
        let view = context.view();
        let chosen = choose(context, &view, &journey, now);
        let Some(target::Chosen {
            server: target,
            is_last,
        }) = chosen
        else {
            if !wait_for_owner(context, &view, &journey, now).await {
                break;
            }
            continue;
        };
        let patience = match is_last {
            true => journey.deadline,
            false => {
                let left = now.saturating_until(journey.useful_until);
                let percent = match journey.is_call {
                    true => CALL_PATIENCE_PERCENT,
                    false => PROBE_PATIENCE_PERCENT,
                };
                now + left * percent / 100
            }
        };
        let (outcome, load) = send(context, &journey, &target, now, patience).await;
        record(context, &target, &outcome, load);
        if !is_last {
            let mut all = context.probes.borrow_mut();
            let probes = all.entry(journey.service.clone()).or_default();
            probes.record(!is_full(&outcome));
        }
        match outcome {
            peer::Outcome::Answered {
                status,
                fields,
                body,
            } => {
                log_late(context, &journey, target.id);
                return Ok(answered(&journey, status, &fields, body));
            }
            peer::Outcome::NotRun {
                reason,
                retry_after_ms,
                was_sent,
            } => {
                let after = Duration::from_millis(u64::from(retry_after_ms));
                journey.retry_after = after.max(MIN_RETRY);
                journey.last = Some((reason, target.id));
                if reason == peer::Reason::Busy && !is_last {
                    context.measure.not_run(&journey.service, word(reason));
                    journey.full.push(target.id);
                    continue;
                }
                journey.tried.push(target.id);
                if was_sent {
                    journey.sent += 1;
                }
                if !goes_on(context, &mut journey, reason, was_sent).await {
                    break;
                }
            }
            peer::Outcome::Unknown(reason) => {
                journey.sent += 1;
                journey.may_have_run = true;
                journey.last = Some((reason, target.id));
                journey.tried.push(target.id);
                if !journey.kind.is_idempotent() || !may_send_again(context, &journey, reason) {
                    break;
                }
            }
        }
    }
    let now = clock::Instant::now();
    if context.may_log() {
        let (reason, server) = journey.last.unzip();
        tracing::info!(
            id = journey.id,
            service = journey.service,
            key = journey.key,
            reason = reason.map(word),
            server = server.map(|server| server.0),
            sent = journey.sent,
            tried = journey.tried.len(),
            full = journey.full.len(),
            may_have_run = journey.may_have_run,
            view = context.shared.view.load().index,
            "gave up on a request"
        );
    }
    Err(match (journey.may_have_run, now >= journey.deadline) {
        (true, true) => Failure::Late,
        (true, false) => Failure::Unknown,
        (false, _) => Failure::NotRun(journey.retry_after),
    })
}

/// Writes a line about an answer that comes after its target.
fn log_late<Frontend>(context: &Context<Frontend>, journey: &Journey<'_>, server: id::Server) {
    let now = clock::Instant::now();
    if now <= journey.useful_until || !context.may_log() {
        return;
    }
    tracing::info!(
        id = journey.id,
        service = journey.service,
        key = journey.key,
        server = server.0,
        sent = journey.sent + 1,
        took_ms = now.saturating_since(journey.start).as_millis() as u64,
        late_ms = now.saturating_since(journey.useful_until).as_millis() as u64,
        "answered late"
    );
}

/// Waits for a view in which the request has somewhere to go; returns whether
/// it is worth another look.
async fn wait_for_owner<Frontend>(
    context: &Context<Frontend>,
    view: &view::View,
    journey: &Journey<'_>,
    now: clock::Instant,
) -> bool {
    let left = now.saturating_until(journey.deadline);
    let waited = now.saturating_since(journey.start);
    let limit = (left + waited) * OWNER_WAIT_PERCENT / 100;
    if journey.key.is_none() || waited >= limit || view.config.is_none() {
        return false;
    }
    let mut changes = context.shared.changes.clone();
    changes.mark_unchanged();
    let pause = (limit - waited).min(DOWN / 4);
    match tokio::time::timeout(pause, changes.changed()).await {
        Ok(Ok(())) | Err(_) => true,
        Ok(Err(_)) => false,
    }
}

async fn send<Frontend>(
    context: &rc::Rc<Context<Frontend>>,
    journey: &Journey<'_>,
    target: &server::Server,
    now: clock::Instant,
    patience: clock::Instant,
) -> (peer::Outcome, peer::Load)
where
    Frontend: frontend::Frontend,
{
    let millis = |until| now.saturating_until(until).as_millis() as u32;
    let open = peer::Open {
        stream: 0,
        instance: target.announcement.instance.clone(),
        service: journey.service.clone(),
        id: journey.id.to_owned(),
        key: journey.key,
        left_ms: millis(journey.deadline),
        useful_ms: millis(journey.useful_until),
        rank: journey.rank,
        class: journey.class,
        is_idempotent: journey.kind.is_idempotent(),
        patience_ms: millis(patience),
        head: journey.head.clone(),
        body: match &journey.body {
            Some(body) => peer::Body::Whole(body.clone()),
            None => peer::Body::None,
        },
    };
    let _outstanding = Outstanding::new(context, target.id);
    let limit = now.saturating_until(journey.deadline) + LAST_WORD;
    if target.announcement.node == context.settings.peers {
        return local(context, open).await;
    }
    let call = context.peers.call(target.announcement.node, open);
    let ended = tokio::time::timeout(limit, call).await;
    ended.unwrap_or((
        peer::Outcome::Unknown(peer::Reason::Deadline),
        peer::Load::default(),
    ))
}

/// Runs a request at this node's own backend server. It is a task of its own,
/// since a request that must not run twice goes on when its caller has gone.
async fn local<Frontend>(
    context: &rc::Rc<Context<Frontend>>,
    open: peer::Open,
) -> (peer::Outcome, peer::Load)
where
    Frontend: frontend::Frontend,
{
    let (_alive, cancelled) = tokio::sync::oneshot::channel();
    let task = {
        let context = rc::Rc::clone(context);
        tokio::task::spawn_local(async move {
            super::serving::run(&open, None, cancelled, &context).await
        })
    };
    let outcome = match task.await {
        Ok(Some(outcome)) => outcome,
        Ok(None) | Err(_) => peer::Outcome::Unknown(peer::Reason::Broken),
    };
    (outcome, context.backend.report())
}
