//! The traffic thread: requests, the backend server, other nodes and the leader.
//!
//! Each listener is a task that ends only with the process. The tasks share one
//! `Context` on one thread, so nothing here takes a lock.

mod announcements;
mod backend;
mod callers;
mod path;
mod peers;
mod serving;
mod session;

use std::cell;
use std::collections;
use std::net;
use std::rc;
use std::sync;
use std::time::Duration;

use error_stack::ResultExt;
use sequoiayoke_dispatch::{budget, probe, quota, route};
use sequoiayoke_http1::serve;
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
const REPORT_PAUSE: Duration = Duration::from_millis(500);
/// Log lines about single requests in each span: refusals, failures, late answers
/// and second sendings. At 300 bytes a line it bounds them to 30 KB/s.
const MAX_LINES: u32 = 100;
/// Span of the bound on log lines.
const LINES_SPAN: Duration = Duration::from_secs(1);
/// Pause between two looks at the requests that have to end.
const END_PAUSE: Duration = Duration::from_millis(20);
/// Time that is kept of the grace period for the process to end.
const GRACE_MARGIN: Duration = Duration::from_millis(700);
/// Time for which callers still connect after a node has said that it is not ready.
const LINGER: Duration = Duration::from_millis(2_300);

/// Listeners that were opened at the start.
#[derive(Debug)]
pub struct Listeners {
    /// For callers.
    pub callers: net::TcpListener,
    /// For questions about readiness.
    pub ready: net::TcpListener,
    /// For announcements of the backend server.
    pub announcements: net::TcpListener,
    /// For other nodes.
    pub peers: net::TcpListener,
    /// For the collector of metrics, if any.
    pub metrics: Option<net::TcpListener>,
}

/// What reaches the node from outside while it runs.
#[derive(Debug)]
pub struct Signals {
    /// Asks it to end.
    pub stop: Stop,
    /// Settings that may change.
    pub reloads: watch::Receiver<root::Reload>,
}

/// What all tasks of the traffic thread share.
pub(crate) struct Context<Frontend> {
    settings: root::Settings,
    frontend: Frontend,
    shared: coordinator::Shared,
    events: mpsc::Sender<coordinator::Event>,
    routes: cell::RefCell<Routes>,
    backend: backend::Backend,
    peers: peers::Peers,
    seen: cell::RefCell<collections::HashMap<id::Server, path::Seen>>,
    budgets: cell::RefCell<collections::HashMap<String, budget::Budget>>,
    probes: cell::RefCell<collections::HashMap<String, probe::Probes>>,
    in_flight: cell::Cell<usize>,
    lines: cell::RefCell<quota::Quota>,
    measure: measure::Measure,
    /// Settings that may change while the node runs.
    reloads: watch::Receiver<root::Reload>,
    /// Asked to stop: callers are told to leave.
    stop: Stop,
    /// Takes no new requests, neither of callers nor of other nodes.
    is_closed: cell::Cell<bool>,
}

#[derive(Default)]
struct Routes {
    version: Option<sequoiayoke_catalog::config::Version>,
    table: route::Table,
}

impl<Frontend> Context<Frontend> {
    fn view(&self) -> sync::Arc<view::View> {
        self.shared.view.load_full()
    }

    /// Returns whether there is room for a log line about a request.
    fn may_log(&self) -> bool {
        self.lines.borrow_mut().take(clock::Instant::now())
    }

    /// Hands an event to the control thread.
    fn tell(&self, event: coordinator::Event) {
        if self.events.try_send(event).is_err() {
            tracing::warn!("the control thread takes no event");
        }
    }
}

/// Serves all connections until the stop and what follows it.
///
/// # Errors
///
/// Fails if a listener cannot be used.
pub async fn run<Frontend>(
    settings: root::Settings,
    listeners: Listeners,
    shared: coordinator::Shared,
    (events, orders): (
        mpsc::Sender<coordinator::Event>,
        mpsc::Receiver<coordinator::Command>,
    ),
    frontend: Frontend,
    signals: Signals,
) -> supervisor::Outcome
where
    Frontend: frontend::Frontend,
{
    let failed = || supervisor::Error::Child("listener");
    let Signals { stop, reloads } = signals;
    let callers = TcpListener::from_std(listeners.callers).change_context_lazy(failed)?;
    let ready = TcpListener::from_std(listeners.ready).change_context_lazy(failed)?;
    let announced = TcpListener::from_std(listeners.announcements).change_context_lazy(failed)?;
    let incoming = TcpListener::from_std(listeners.peers).change_context_lazy(failed)?;
    let context = rc::Rc::new(Context {
        backend: backend::Backend::new(settings.backend),
        settings,
        frontend,
        shared,
        events,
        routes: cell::RefCell::default(),
        peers: peers::Peers::default(),
        seen: cell::RefCell::default(),
        budgets: cell::RefCell::default(),
        probes: cell::RefCell::default(),
        in_flight: cell::Cell::new(0),
        lines: cell::RefCell::new(quota::Quota::new(MAX_LINES, LINES_SPAN)),
        measure: measure::Measure::new().change_context_lazy(failed)?,
        reloads,
        stop: stop.clone(),
        is_closed: cell::Cell::new(false),
    });
    task::spawn_local(serving::accept(incoming, rc::Rc::clone(&context)));
    task::spawn_local(announcements::run(announced, rc::Rc::clone(&context)));
    task::spawn_local(session::run(orders, rc::Rc::clone(&context)));
    task::spawn_local(report(rc::Rc::clone(&context)));
    task::spawn_local(reload(rc::Rc::clone(&context)));
    let accepting = task::spawn_local(callers::accept(callers, rc::Rc::clone(&context)));
    let answer = rc::Rc::clone(&context);
    task::spawn_local(serve::serve(ready, move |_| {
        let reply = readiness(&answer.view());
        async move { reply }
    }));
    if let Some(metrics) = listeners.metrics {
        let metrics = TcpListener::from_std(metrics).change_context_lazy(failed)?;
        let scraped = rc::Rc::clone(&context);
        task::spawn_local(serve::serve(metrics, move |_| {
            let reply = scrape(&scraped);
            async move { reply }
        }));
    }
    stop.cancelled().await;
    let start = clock::Instant::now();
    tokio::time::sleep(LINGER).await;
    // Without a listener, a caller's connection is refused and it goes elsewhere.
    accepting.abort();
    context.is_closed.set(true);
    end(&context, start).await;
    Ok(())
}

/// A node is ready once it can route; it stays so while control is away.
fn readiness(view: &view::View) -> serve::Reply {
    match view.config.is_some() && !view.servers.is_empty() && !view.is_stopping {
        true => serve::Reply::new(200, "text/plain", "ready"),
        false => serve::Reply::new(503, "text/plain", "not ready"),
    }
}

fn scrape<Frontend>(context: &Context<Frontend>) -> serve::Reply {
    let view = context.view();
    let now = clock::Instant::now();
    let held = view.own.as_ref().map(|own| own.held.iter());
    let shortest = held.and_then(|held| held.map(|one| one.until).min());
    let held = shortest.map_or(Duration::ZERO, |until| now.saturating_until(until));
    let version = view.config.as_ref().map_or(0, |config| config.version.0);
    for (service, budget) in context.budgets.borrow().iter() {
        context.measure.earned(service, budget.earned());
    }
    let (load, link) = (context.backend.load(), context.backend.link());
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

/// Lets the requests that have begun end before the process does.
async fn end<Frontend>(context: &Context<Frontend>, start: clock::Instant) {
    let limit = context.settings.grace.saturating_sub(GRACE_MARGIN);
    loop {
        let elapsed = clock::Instant::now().saturating_since(start);
        let in_flight = context.in_flight.get();
        let running = context.backend.load().running;
        if elapsed >= limit || (in_flight == 0 && running == 0) {
            let elapsed_ms = elapsed.as_millis() as u64;
            tracing::info!(in_flight, running, elapsed_ms, "stopped");
            return;
        }
        tokio::time::sleep(END_PAUSE).await;
    }
}

/// Puts changed settings into force.
async fn reload<Frontend>(context: rc::Rc<Context<Frontend>>) {
    let mut reloads = context.reloads.clone();
    while reloads.changed().await.is_ok() {
        let (replicas, budget) = {
            let present = reloads.borrow_and_update();
            (present.replicas.clone(), present.budget)
        };
        tracing::info!(?replicas, ?budget, "changed settings are in force");
        let mut budgets = context.budgets.borrow_mut();
        budgets.values_mut().for_each(|one| one.set_config(budget));
    }
}

/// Reports load to the control thread.
async fn report<Frontend>(context: rc::Rc<Context<Frontend>>)
where
    Frontend: frontend::Frontend,
{
    let mut reported = clock::Instant::now();
    loop {
        tokio::time::sleep(REPORT_PAUSE).await;
        let now = clock::Instant::now();
        let span = now.saturating_since(reported).as_secs_f64();
        reported = now;
        let skipped = context.lines.borrow_mut().take_skipped();
        if skipped > 0 {
            context.measure.skipped(skipped);
            tracing::warn!(skipped, "log lines about requests were skipped");
        }
        let is_keyed = context
            .view()
            .service(&context.settings.service)
            .is_some_and(|service| service.is_keyed);
        if is_keyed {
            let (parts, service_s) = context.backend.take_usage(span);
            let failing = context.backend.take_failing();
            context.tell(coordinator::Event::Used {
                parts,
                service_s,
                failing,
            });
        }
    }
}
