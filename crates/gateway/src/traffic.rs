//! The traffic thread: requests, the backend server, other nodes and the leader.
//!
//! Each listener is a task that ends only with the process. The tasks share one `Context` on one
//! thread, so nothing here takes a lock.

mod announcements;
mod backend;
mod callers;
mod count;
mod path;
mod peers;
mod requests;
mod sent;
mod serving;
mod session;

use std::cell;
use std::collections;
use std::future;
use std::net;
use std::rc;
use std::sync;
use std::time::Duration;

use error_stack::ResultExt;
use sequoiayoke_dispatch::{budget, probe, quota, route, shutdown, warmth};
use sequoiayoke_http1::serve;
use sequoiayoke_link::account;
use sequoiayoke_model::{clock, id};
use sequoiayoke_supervise::{Stop, supervisor};
use sequoiayoke_telemetry::metrics;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task;

use crate::coordinator;
use crate::frontend;
use crate::measure;
use crate::root;
use crate::view;

/// Time between two reports of load to the control thread.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Largest number of log lines about single requests (refusals, failures, late answers and retries)
/// in each interval. At 300 bytes a line this is 30 KB/s.
const MAX_LOG_LINES: u32 = 100;
/// Interval of the bound on log lines.
const LOG_LINES_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two checks for unfinished requests while the node stops.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Largest number of log lines about requests that the end of the process drops.
const MAX_DROPPED_LINES: usize = 50;
/// Weight of a new response in the mean size of those of its class.
const RESPONSE_SIZE_WEIGHT: f64 = 0.05;
/// Largest number of classes whose sizes are kept; those of former configurations are dropped beyond it.
const MAX_CLASSES: usize = 4_096;

/// Listeners that were opened at the start.
#[derive(Debug)]
pub struct Listeners {
    /// For callers.
    pub callers: net::TcpListener,
    /// For readiness checks.
    pub ready: net::TcpListener,
    /// For announcements of the backend server.
    pub announcements: net::TcpListener,
    /// For other nodes.
    pub peers: net::TcpListener,
    /// For the metrics collector, if any.
    pub metrics: Option<net::TcpListener>,
}

/// Inputs from outside that reach a running node.
#[derive(Debug)]
pub struct Signals {
    /// Token that stops the node.
    pub stop: Stop,
    /// Settings that may change.
    pub reloads: watch::Receiver<root::Reload>,
}

/// State that all tasks of the traffic thread share.
pub(crate) struct Context<Frontend> {
    settings: root::Settings,
    frontend: Frontend,
    shared: coordinator::Shared,
    events: mpsc::Sender<coordinator::Event>,
    routes: cell::RefCell<Routes>,
    backend: backend::Backend,
    peers: peers::Peers,
    /// What callers hold.
    account: rc::Rc<account::Account>,
    /// What the connections of other nodes hold.
    node_account: rc::Rc<account::Account>,
    /// What was sent to other nodes.
    sent: rc::Rc<sent::Account>,
    observations: cell::RefCell<collections::HashMap<id::Server, path::Observation>>,
    budgets: cell::RefCell<collections::HashMap<String, budget::Budget>>,
    probes: cell::RefCell<collections::HashMap<String, probe::Probes>>,
    /// Mean size of the bodies of responses, in bytes, by class.
    response_sizes: cell::RefCell<collections::HashMap<u64, f64>>,
    requests: rc::Rc<requests::Requests>,
    /// Number of callers' connections on which a part of a request was read.
    partly_read: count::Count,
    log_quota: cell::RefCell<quota::Quota>,
    measure: measure::Measure,
    /// Settings that may change while the node runs.
    reloads: watch::Receiver<root::Reload>,
    /// Phase of a graceful stop, and its times once it has begun.
    stop: watch::Receiver<Stopping>,
    /// Number of requests of other nodes, and of this one for its own backend server, whose
    /// outcome is not known.
    serving: count::Count,
    /// Bytes of replies to other nodes that are not written.
    unwritten: rc::Rc<cell::Cell<usize>>,
    /// Number of callers' connections.
    caller_connections: count::Count,
    /// Number of connections from other nodes.
    node_connections: count::Count,
    /// Set when nothing is left to do for other nodes, whose connections are then closed.
    drained: Stop,
}

/// Progress of a graceful stop.
#[derive(Clone, Copy, Debug, Default)]
struct Stopping {
    phase: shutdown::Phase,
    schedule: Option<shutdown::Schedule>,
}

#[derive(Default)]
struct Routes {
    version: Option<sequoiayoke_catalog::config::Version>,
    table: route::Table,
}

impl<Frontend> Context<Frontend> {
    /// Returns the expected size of the body of a response to a request of `class`, in bytes.
    fn response_size(&self, class: u64) -> usize {
        let sizes = self.response_sizes.borrow();
        sizes.get(&class).map_or(0, |mean| *mean as usize)
    }

    /// Records the size of the body of a response to a request of `class`.
    fn record_response_size(&self, class: u64, bytes: usize) {
        let mut sizes = self.response_sizes.borrow_mut();
        if sizes.len() > MAX_CLASSES {
            sizes.clear();
        }
        let mean = sizes.entry(class).or_insert(bytes as f64);
        *mean += RESPONSE_SIZE_WEIGHT * (bytes as f64 - *mean);
    }

    /// Returns the recorder of bytes that are sent to a node in `domain`, if that is known.
    fn sent_to(&self, domain: Option<&str>) -> sent::Recorder {
        let scope = match domain == Some(self.settings.domain.as_str()) {
            true => sent::Scope::SameDomain,
            false => sent::Scope::OtherDomain,
        };
        sent::Recorder::new(&self.sent, scope)
    }

    fn view(&self) -> sync::Arc<view::View> {
        self.shared.view.load_full()
    }

    /// Returns whether the bound on log lines allows another line about a request.
    fn may_log(&self) -> bool {
        self.log_quota.borrow_mut().take(clock::Instant::now())
    }

    /// Returns the phase of a graceful stop.
    fn phase(&self) -> shutdown::Phase {
        self.stop.borrow().phase
    }

    /// Waits until a graceful stop has reached `phase`.
    async fn reached(&self, phase: shutdown::Phase) {
        let mut stop = self.stop.clone();
        if stop.wait_for(|stop| stop.phase >= phase).await.is_err() {
            // The task that changes the phase ends only with the process.
            future::pending().await
        }
    }

    /// Returns the time by which a request must have its outcome, if the node is stopping.
    fn latest_outcome(&self) -> Option<clock::Instant> {
        let schedule = self.stop.borrow().schedule;
        schedule.map(|schedule| schedule.latest_outcome())
    }

    /// Sends an event to the control thread that is not repeated, waiting for room in its queue.
    async fn deliver_event(&self, event: coordinator::Event) {
        if self.events.send(event).await.is_err() {
            tracing::debug!("the control thread has ended");
        }
    }

    /// Sends an event to the control thread; it is dropped if the queue is full.
    fn send_event(&self, event: coordinator::Event) {
        if self.events.try_send(event).is_err() {
            tracing::warn!("an event for the control thread was dropped");
        }
    }
}

/// Serves all connections until the node is stopped and its requests have ended.
///
/// # Errors
///
/// Fails if a listener cannot be used.
pub async fn run<Frontend>(
    settings: root::Settings,
    listeners: Listeners,
    shared: coordinator::Shared,
    (events, commands): (
        mpsc::Sender<coordinator::Event>,
        mpsc::Receiver<coordinator::Command>,
    ),
    frontend: Frontend,
    signals: Signals,
) -> supervisor::Outcome
where
    Frontend: frontend::Frontend,
{
    let error = || supervisor::Error::Child("listener");
    let Signals { stop, reloads } = signals;
    let (stopping, stop_changes) = watch::channel(Stopping::default());
    let callers = TcpListener::from_std(listeners.callers).change_context_lazy(error)?;
    let ready = TcpListener::from_std(listeners.ready).change_context_lazy(error)?;
    let announcements =
        TcpListener::from_std(listeners.announcements).change_context_lazy(error)?;
    let peers = TcpListener::from_std(listeners.peers).change_context_lazy(error)?;
    let context = rc::Rc::new(Context {
        backend: backend::Backend::new(&settings),
        account: rc::Rc::new(account::Account::new(callers::limits(&settings.limits))),
        node_account: rc::Rc::new(account::Account::new(serving::limits(&settings.limits))),
        sent: rc::Rc::default(),
        settings,
        frontend,
        shared,
        events,
        routes: cell::RefCell::default(),
        peers: peers::Peers::default(),
        observations: cell::RefCell::default(),
        budgets: cell::RefCell::default(),
        probes: cell::RefCell::default(),
        response_sizes: cell::RefCell::default(),
        requests: rc::Rc::default(),
        partly_read: count::Count::default(),
        log_quota: cell::RefCell::new(quota::Quota::new(MAX_LOG_LINES, LOG_LINES_INTERVAL)),
        measure: measure::Measure::new().change_context_lazy(error)?,
        reloads,
        stop: stop_changes,
        serving: count::Count::default(),
        unwritten: rc::Rc::default(),
        caller_connections: count::Count::default(),
        node_connections: count::Count::default(),
        drained: Stop::new(),
    });
    task::spawn_local(serving::accept(peers, rc::Rc::clone(&context)));
    let announcements = announcements::run(announcements, rc::Rc::clone(&context));
    let announcements = task::spawn_local(announcements);
    task::spawn_local(session::run(commands, rc::Rc::clone(&context)));
    task::spawn_local(report_load(rc::Rc::clone(&context)));
    task::spawn_local(apply_reloads(rc::Rc::clone(&context)));
    task::spawn_local(follow_backend(rc::Rc::clone(&context)));
    task::spawn_local(backend::Backend::keep_pace(rc::Rc::clone(&context)));
    task::spawn_local(callers::accept(callers, rc::Rc::clone(&context)));
    let ready_context = rc::Rc::clone(&context);
    task::spawn_local(serve::serve(ready, move |_| {
        let reply = readiness(&ready_context.view());
        async move { reply }
    }));
    if let Some(metrics) = listeners.metrics {
        let metrics = TcpListener::from_std(metrics).change_context_lazy(error)?;
        let metrics_context = rc::Rc::clone(&context);
        task::spawn_local(serve::serve(metrics, move |_| {
            let reply = scrape(&metrics_context);
            async move { reply }
        }));
    }
    stop.cancelled().await;
    let start = clock::Instant::now();
    let schedule = shutdown::Schedule::new(start, context.settings.grace);
    task::spawn_local(advance_phase(stopping, schedule));
    context.reached(shutdown::Phase::Closed).await;
    drain_requests(&context, start).await;
    close_connections(&context, announcements).await;
    Ok(())
}

/// Closes the connections from other nodes and from the backend server, and waits until they have
/// been closed at both ends.
async fn close_connections<Frontend>(
    context: &Context<Frontend>,
    announcements: task::JoinHandle<()>,
) {
    context.drained.cancel();
    let closed = async {
        if let Err(error) = announcements.await {
            tracing::error!(%error, "the listener for announcements has failed");
        }
        while context.node_connections.get() > 0 {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    };
    if tokio::time::timeout(serving::CLOSE_TIMEOUT, closed)
        .await
        .is_err()
    {
        let connections = context.node_connections.get();
        tracing::info!(
            connections,
            "nodes have not closed their connections in time"
        );
    }
}

/// Publishes the phases of a graceful stop.
async fn advance_phase(stopping: watch::Sender<Stopping>, schedule: shutdown::Schedule) {
    loop {
        let now = clock::Instant::now();
        stopping.send_replace(Stopping {
            phase: schedule.phase(now),
            schedule: Some(schedule),
        });
        match schedule.next_change(now) {
            Some(next) => tokio::time::sleep(now.saturating_until(next)).await,
            // The process ends in this phase; the receivers must not see a closed channel.
            None => future::pending().await,
        }
    }
}

/// Returns the readiness: a node is ready once it can route, and stays so while the control
/// replicas are unreachable.
fn readiness(view: &view::View) -> serve::Reply {
    match view.config.is_some() && !view.servers.is_empty() && !view.is_stopping {
        true => serve::Reply::new(200, "text/plain", "ready"),
        false => serve::Reply::new(503, "text/plain", "not ready"),
    }
}

fn scrape<Frontend>(context: &Context<Frontend>) -> serve::Reply {
    let view = context.view();
    let now = clock::Instant::now();
    let held = view.backend.as_ref().map(|backend| backend.held.iter());
    let shortest = held.and_then(|held| held.map(|held| held.until).min());
    let held = shortest.map_or(Duration::ZERO, |until| now.saturating_until(until));
    let version = view.config.as_ref().map_or(0, |config| config.version.0);
    for (service, budget) in context.budgets.borrow().iter() {
        context.measure.set_earned_retries(service, budget.earned());
    }
    for (stage, count) in context.requests.count().by_stage() {
        context.measure.set_in_progress(stage, count);
    }
    context.measure.set_partly_read(context.partly_read.get());
    context.measure.set_held_by_callers(context.account.used());
    context
        .measure
        .set_held_by_nodes(context.node_account.used());
    for (kind, scope, bytes) in context.sent.totals() {
        context.measure.set_sent_bytes(kind, scope, bytes);
    }
    let (load, link) = (context.backend.load(), context.backend.link_load());
    match context
        .measure
        .render(load, link, held, view.index, version)
    {
        Ok(text) => serve::Reply::new(200, metrics::Metrics::CONTENT_TYPE, text),
        Err(report) => {
            tracing::error!(?report, "the metrics could not be rendered");
            serve::Reply::new(500, "text/plain", "no metrics")
        }
    }
}

/// Waits until every request has its outcome and every answer is delivered, within the grace
/// period.
async fn drain_requests<Frontend>(context: &Context<Frontend>, start: clock::Instant) {
    loop {
        let count = context.requests.count();
        let running = context.backend.load().running;
        let (serving, unwritten) = (context.serving.get(), context.unwritten.get());
        let is_drained = count == requests::Count::default()
            && running == 0
            && serving == 0
            && unwritten == 0
            && context.caller_connections.get() == 0;
        if is_drained || context.phase() == shutdown::Phase::Exit {
            let now = clock::Instant::now();
            context.requests.log_dropped(now, MAX_DROPPED_LINES);
            tracing::info!(
                in_flight = count.routing + count.sent,
                answered = count.answered,
                partly_read = context.partly_read.get(),
                running,
                serving,
                unwritten_bytes = unwritten,
                elapsed_ms = now.saturating_since(start).as_millis() as u64,
                "stopped"
            );
            return;
        }
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}

/// Applies changed settings.
async fn apply_reloads<Frontend>(context: rc::Rc<Context<Frontend>>) {
    let mut reloads = context.reloads.clone();
    while reloads.changed().await.is_ok() {
        let (replicas, budget) = {
            let current = reloads.borrow_and_update();
            (current.replicas.clone(), current.budget)
        };
        tracing::info!(?replicas, ?budget, "changed settings are in force");
        let mut budgets = context.budgets.borrow_mut();
        budgets
            .values_mut()
            .for_each(|service_budget| service_budget.set_config(budget));
    }
}

/// Applies to the backend server what its announcement, the configuration and evacuations state.
/// The view shows only announcements that were accepted.
async fn follow_backend<Frontend>(context: rc::Rc<Context<Frontend>>) {
    let mut changes = context.shared.changes.clone();
    let mut known_cold_start = None;
    let mut instance = None;
    let mut is_evacuated = false;
    while changes.changed().await.is_ok() {
        let view = context.view();
        let announced = view.backend.as_ref().map(|backend| &backend.announcement);
        let slots = announced.map(|announced| announced.slots);
        if let Some(slots) = slots.filter(|slots| *slots != context.backend.slots()) {
            context.backend.set_slots(slots);
        }
        let service = view.service(&context.settings.service);
        let cold_start = service.and_then(|service| service.cold_start);
        if cold_start != known_cold_start {
            known_cold_start = cold_start;
            let factor = context.settings.cold_start.factor;
            context.backend.set_cold_start(cold_start, factor);
        }
        let next = announced.map(|announced| &announced.instance);
        if next.is_some() && next != instance.as_ref() {
            instance = next.cloned();
            context.backend.doubt(warmth::Doubt::Started);
        }
        let next = view.is_evacuated(&context.settings.domain);
        if std::mem::replace(&mut is_evacuated, next) && !next {
            context.backend.doubt(warmth::Doubt::Returned);
        }
    }
}

/// Reports load to the control thread.
async fn report_load<Frontend>(context: rc::Rc<Context<Frontend>>)
where
    Frontend: frontend::Frontend,
{
    let mut last_report = clock::Instant::now();
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        let now = clock::Instant::now();
        let interval_s = now.saturating_since(last_report).as_secs_f64();
        last_report = now;
        let skipped = context.log_quota.borrow_mut().take_skipped();
        if skipped > 0 {
            context.measure.record_skipped_lines(skipped);
            tracing::warn!(skipped, "log lines about requests were skipped");
        }
        let is_keyed = context
            .view()
            .service(&context.settings.service)
            .is_some_and(|service| service.is_keyed);
        if is_keyed {
            let (parts, service_s) = context.backend.take_usage(interval_s);
            let failure_rate = context.backend.take_failure_rate();
            context.send_event(coordinator::Event::UsageReported {
                parts,
                service_s,
                failure_rate,
            });
        }
    }
}
