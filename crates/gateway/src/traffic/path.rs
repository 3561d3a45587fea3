//! The path of one request: routing, choice of a backend server, attempts and answer.
//!
//! A request is sent again only if it did not run, or if it is idempotent and the retry budget
//! allows it. The answer "not run" is given only if no attempt may have run.

mod answer;
pub(super) mod attempt;
mod retry;
mod target;

use std::rc;
use std::time::Duration;

use bytes::Bytes;
use sequoiayoke_catalog::{config, server, slice};
use sequoiayoke_dispatch::{admission, route, shutdown};
use sequoiayoke_http1::request;
use sequoiayoke_link::peer;
use sequoiayoke_model::{clock, id};

use super::{Context, requests, serving};
use crate::frontend;
use crate::view;

pub(super) use answer::{Answer, Unread, malformed, unread};
pub(super) use target::Observation;

use answer::{Failure, build_answer, build_refusal};
use retry::{decide_retry, earn_retry, is_full, is_probe_allowed, prepare_retry, reason_str};
use target::{Outstanding, choose, record_outcome};

/// Longest wait of a caller that does not state one.
const DEFAULT_MAX_WAIT: Duration = Duration::from_secs(10);
/// Retry delay for callers before the first configuration has arrived.
const STARTUP_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Shortest retry delay for a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(60);
/// Time for which a backend server is not chosen after its node could not be reached.
const DOWN_DURATION: Duration = Duration::from_millis(700);
/// Longest wait for a new owner of a key, as a percentage of the time from arrival to deadline.
const OWNER_WAIT_PERCENT: u32 = 60;
/// Routes with a target below this carry calls between services.
const MAX_CALL_TARGET: Duration = Duration::from_millis(300);
/// Largest priority that the rank distinguishes.
const MAX_PRIORITY: u32 = (1 << 14) - 1;
/// Time beyond the deadline in which the other node's final reply may arrive.
const REPLY_MARGIN: Duration = Duration::from_millis(80);
/// Largest number of full backend servers that a request without a key probes before it waits at
/// one.
const MAX_PROBES: u32 = 2;
/// Percentage of the time left to its target for which such a request waits at a server it probes.
const PROBE_WAIT_PERCENT: u32 = 10;
/// The same percentage for a call, whose short target leaves no time for several probes.
const CALL_PROBE_WAIT_PERCENT: u32 = 25;
/// Largest number of rounds for a request; each is an attempt or a wait.
const MAX_ROUNDS: u32 = 24;

/// State of one request while it is being delivered.
struct Delivery<'a> {
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
    /// Number of attempts that reached a backend server.
    sent: u32,
    /// Whether an attempt may have run.
    may_have_run: bool,
    tried: Vec<id::Server>,
    /// Number of backend servers that it may probe for a free slot before it waits at one.
    probes: u32,
    /// Backend servers that had no free slot, in the order of the probes.
    full: Vec<id::Server>,
    retry_after: Duration,
    /// Why the last attempt failed, and at which backend server.
    last_failure: Option<(peer::Reason, id::Server)>,
}

/// Serves a request; every outcome, including a failure, is an answer.
pub(super) async fn serve<Frontend>(
    context: rc::Rc<Context<Frontend>>,
    request: request::Request,
    arrived: clock::Instant,
) -> Answer
where
    Frontend: frontend::Frontend,
{
    let caller = context.frontend.caller(&request.head);
    let id = caller.id.unwrap_or_default();
    let registration = requests::Registration::new(&context.requests, id, arrived);
    let (service, result) = match prepare(&context, &request, &caller, arrived) {
        Ok(delivery) => {
            let service = delivery.service.clone();
            registration.set_route(&service, delivery.deadline);
            (service, deliver(&context, delivery, &registration).await)
        }
        Err(failure) => (String::new(), Err(failure)),
    };
    let took = clock::Instant::now().saturating_since(arrived);
    let kind = result.as_ref().map_or_else(Failure::as_str, |_| "answered");
    context.measure.record_request(&service, kind, took);
    let answer = result.unwrap_or_else(|failure| {
        let is_logged = context.may_log();
        build_refusal(id, &service, &request.head, failure, took, is_logged)
    });
    registration.set_stage(requests::Stage::Answered);
    answer.with_registration(registration)
}

fn prepare<'a, Frontend>(
    context: &Context<Frontend>,
    request: &'a request::Request,
    caller: &frontend::Caller<'a>,
    arrived: clock::Instant,
) -> Result<Delivery<'a>, Failure>
where
    Frontend: frontend::Frontend,
{
    let id = caller.id.ok_or(Failure::NoId)?;
    let view = context.view();
    let config = view
        .config
        .as_ref()
        .ok_or(Failure::NotRun(STARTUP_RETRY_AFTER))?;
    let mut routes = context.routes.borrow_mut();
    if routes.version != Some(config.version) {
        routes.version = Some(config.version);
        routes.table = route::Table::new(config);
    }
    let host = request.head.fields.get("host").unwrap_or_default();
    let matched = routes.table.find(host, request.head.path());
    let entry = matched.ok_or(Failure::NoRoute)?;
    let service = entry.next_service().to_owned();
    let max_wait = caller.max_wait.unwrap_or(DEFAULT_MAX_WAIT);
    let waited = entry.estimate_waited(max_wait);
    let route = &entry.route;
    let timeout = Duration::from_millis(route.timeout_ms);
    let target = Duration::from_millis(route.target_ms);
    // The wait of a call is bounded by the deadline of the request that needs it; a short wait does
    // not mean that the call is a retry.
    let is_call = target < MAX_CALL_TARGET;
    let waited = if is_call { Duration::ZERO } else { waited };
    let target = target.saturating_sub(waited);
    let is_keyed = view
        .service(&service)
        .is_some_and(|service| service.is_keyed);
    let key = caller.key.filter(|_| is_keyed);
    let deadline = arrived + timeout.min(max_wait);
    Ok(Delivery {
        id,
        kind: route.kind,
        key,
        rank: rank(route, is_call),
        class: entry.class,
        max_attempts: route.max_attempts.max(1),
        is_call,
        start: arrived,
        // The end of the process is a deadline too.
        deadline: context
            .latest_outcome()
            .map_or(deadline, |latest| deadline.min(latest)),
        useful_until: arrived + target,
        method: &request.head.method,
        head: forwarded_head(context, request),
        body: request.head.has_body.then(|| request.body.clone()),
        sent: 0,
        may_have_run: false,
        tried: Vec::new(),
        probes: match key.is_none() && is_probe_allowed(context, &service) {
            true => MAX_PROBES,
            false => 0,
        },
        full: Vec::new(),
        service,
        retry_after: MIN_RETRY_AFTER,
        last_failure: None,
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

/// Returns the request line and the fields that are forwarded to the backend server.
fn forwarded_head<Frontend>(context: &Context<Frontend>, request: &request::Request) -> Bytes
where
    Frontend: frontend::Frontend,
{
    let head = &request.head;
    let mut head_bytes = Vec::with_capacity(512);
    head_bytes
        .extend_from_slice(format!("{} {} HTTP/1.1\r\n", head.method, head.target).as_bytes());
    for (name, value) in head.fields.iter() {
        let is_replaced = name.eq_ignore_ascii_case("content-length")
            || name.eq_ignore_ascii_case("expect")
            || !context.frontend.is_forwarded(name);
        if !is_replaced && head.fields.is_end_to_end(name) {
            head_bytes.extend_from_slice(name.as_bytes());
            head_bytes.extend_from_slice(b": ");
            head_bytes.extend_from_slice(value);
            head_bytes.extend_from_slice(b"\r\n");
        }
    }
    let service = &context.settings.service;
    context.frontend.write_origin(service, &mut head_bytes);
    head_bytes.into()
}

async fn deliver<Frontend>(
    context: &rc::Rc<Context<Frontend>>,
    mut delivery: Delivery<'_>,
    registration: &requests::Registration,
) -> Result<Answer, Failure>
where
    Frontend: frontend::Frontend,
{
    earn_retry(context, &delivery.service);
    for _ in 0..MAX_ROUNDS {
        let now = clock::Instant::now();
        if now >= delivery.deadline || context.phase() >= shutdown::Phase::Withdrawing {
            break;
        }
        let view = context.view();
        let choice = choose(context, &view, &delivery, now);
        let Some(target::Choice {
            server: target,
            is_last,
        }) = choice
        else {
            if !wait_for_owner(context, &view, &delivery, now).await {
                break;
            }
            continue;
        };
        let wait_until = match is_last {
            true => delivery.deadline,
            false => {
                let left = now.saturating_until(delivery.useful_until);
                let percent = match delivery.is_call {
                    true => CALL_PROBE_WAIT_PERCENT,
                    false => PROBE_WAIT_PERCENT,
                };
                now + left * percent / 100
            }
        };
        registration.set_stage(requests::Stage::Sent(target.id));
        let (outcome, load) = send(context, &delivery, &target, now, wait_until).await;
        registration.set_stage(requests::Stage::Routing);
        record_outcome(context, &target, &outcome, load);
        if !is_last {
            let mut probes = context.probes.borrow_mut();
            let service_probes = probes.entry(delivery.service.clone()).or_default();
            service_probes.record(!is_full(&outcome));
        }
        match outcome {
            peer::Outcome::Answered {
                status,
                fields,
                body,
            } => {
                log_late(context, &delivery, target.id);
                context.record_response_size(delivery.class, body.len());
                return Ok(build_answer(&delivery, status, &fields, body));
            }
            peer::Outcome::NotRun {
                reason,
                retry_after_ms,
                was_sent,
            } => {
                let retry_after = Duration::from_millis(u64::from(retry_after_ms));
                delivery.retry_after = retry_after.max(MIN_RETRY_AFTER);
                delivery.last_failure = Some((reason, target.id));
                if reason == peer::Reason::Busy && !is_last {
                    context
                        .measure
                        .record_not_run(&delivery.service, reason_str(reason));
                    delivery.full.push(target.id);
                    continue;
                }
                delivery.tried.push(target.id);
                if was_sent {
                    delivery.sent += 1;
                }
                if !prepare_retry(context, &mut delivery, reason, was_sent).await {
                    break;
                }
            }
            peer::Outcome::Unknown(reason) => {
                delivery.sent += 1;
                delivery.may_have_run = true;
                delivery.last_failure = Some((reason, target.id));
                delivery.tried.push(target.id);
                if !delivery.kind.is_idempotent() || !decide_retry(context, &delivery, reason) {
                    break;
                }
            }
        }
    }
    let now = clock::Instant::now();
    if context.may_log() {
        let (reason, server) = delivery.last_failure.unzip();
        tracing::info!(
            id = delivery.id,
            service = delivery.service,
            key = delivery.key,
            reason = reason.map(reason_str),
            server = server.map(|server| server.0),
            sent = delivery.sent,
            tried = delivery.tried.len(),
            full = delivery.full.len(),
            may_have_run = delivery.may_have_run,
            view = context.shared.view.load().index,
            "gave up on a request"
        );
    }
    Err(match (delivery.may_have_run, now >= delivery.deadline) {
        (true, true) => Failure::Late,
        (true, false) => Failure::Unknown,
        (false, _) => Failure::NotRun(delivery.retry_after),
    })
}

/// Logs an answer that comes after its target.
fn log_late<Frontend>(context: &Context<Frontend>, delivery: &Delivery<'_>, server: id::Server) {
    let now = clock::Instant::now();
    if now <= delivery.useful_until || !context.may_log() {
        return;
    }
    tracing::info!(
        id = delivery.id,
        service = delivery.service,
        key = delivery.key,
        server = server.0,
        sent = delivery.sent + 1,
        took_ms = now.saturating_since(delivery.start).as_millis() as u64,
        late_ms = now.saturating_since(delivery.useful_until).as_millis() as u64,
        "answered late"
    );
}

/// Waits for a view in which the key has a reachable owner; returns whether to choose a server
/// again.
async fn wait_for_owner<Frontend>(
    context: &Context<Frontend>,
    view: &view::View,
    delivery: &Delivery<'_>,
    now: clock::Instant,
) -> bool {
    let left = now.saturating_until(delivery.deadline);
    let waited = now.saturating_since(delivery.start);
    let max_wait = (left + waited) * OWNER_WAIT_PERCENT / 100;
    if delivery.key.is_none() || waited >= max_wait || view.config.is_none() {
        return false;
    }
    // Without a backend server that could become the owner, a wait would not help.
    let mut servers = view.servers_of(&delivery.service);
    if !servers.any(|server| !server.announcement.is_draining) {
        return false;
    }
    let mut changes = context.shared.changes.clone();
    changes.mark_unchanged();
    let timeout = (max_wait - waited).min(DOWN_DURATION / 4);
    match tokio::time::timeout(timeout, changes.changed()).await {
        Ok(Ok(())) | Err(_) => true,
        Ok(Err(_)) => false,
    }
}

async fn send<Frontend>(
    context: &rc::Rc<Context<Frontend>>,
    delivery: &Delivery<'_>,
    target: &server::Server,
    now: clock::Instant,
    wait_until: clock::Instant,
) -> (peer::Outcome, peer::Load)
where
    Frontend: frontend::Frontend,
{
    let millis = |until| now.saturating_until(until).as_millis() as u32;
    let open = peer::Open {
        stream: 0,
        instance: target.announcement.instance.clone(),
        service: delivery.service.clone(),
        id: delivery.id.to_owned(),
        key: delivery.key,
        left_ms: millis(delivery.deadline),
        useful_ms: millis(delivery.useful_until),
        rank: delivery.rank,
        class: delivery.class,
        is_idempotent: delivery.kind.is_idempotent(),
        patience_ms: millis(wait_until),
        head: delivery.head.clone(),
        body: match &delivery.body {
            Some(body) => peer::Body::Whole(body.clone()),
            None => peer::Body::None,
        },
    };
    let _outstanding = Outstanding::new(context, target.id);
    let timeout = now.saturating_until(delivery.deadline) + REPLY_MARGIN;
    if target.announcement.node == context.settings.peers {
        let local = serving::Local::new(context, open);
        return attempt::wait_for_reply(context, local, timeout).await;
    }
    let sent = context.sent_to(Some(&target.announcement.domain));
    let call = context.peers.call(target.announcement.node, sent, open);
    attempt::wait_for_reply(context, call, timeout).await
}
