//! Metrics of the node.
//!
//! Traffic threads count requests as they end. Everything else is read when the
//! metrics are rendered, so it costs nothing in between. A node without an
//! address for metrics measures nothing.

use std::collections;
use std::sync;
use std::time::Duration;

use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_model::outcome;
use sequoiayoke_telemetry::{label, metrics};

use crate::published;

/// Services whose labels are kept; requests of more are counted without a label.
const MAX_SERVICES: usize = 64;

/// Labels of the series of one service, made once.
#[derive(Debug)]
struct Series {
    service: label::Set,
    answered: label::Set,
    // By the number of the reason.
    not_run: Vec<label::Set>,
    unknown: Vec<label::Set>,
}

impl Series {
    fn new(service: &str) -> Self {
        let service = label::Label::Service(service);
        let of = |outcome: outcome::Outcome| {
            let reason = outcome.reason().map(label::Label::Reason);
            label::Set::new(
                [service, label::Label::Outcome(outcome)]
                    .into_iter()
                    .chain(reason),
            )
        };
        let all = outcome::Reason::ALL.iter().copied();
        Self {
            service: label::Set::new([service]),
            answered: of(outcome::Outcome::Answered(200)),
            not_run: all
                .clone()
                .map(|one| of(outcome::Outcome::NotRun(one)))
                .collect(),
            unknown: all.map(|one| of(outcome::Outcome::Unknown(one))).collect(),
        }
    }

    fn of(&self, outcome: outcome::Outcome) -> Option<&label::Set> {
        match outcome {
            outcome::Outcome::Answered(_) => Some(&self.answered),
            outcome::Outcome::NotRun(reason) => self.not_run.get(reason as usize),
            outcome::Outcome::Unknown(reason) => self.unknown.get(reason as usize),
        }
    }
}

/// What the path of requests tells when the metrics are rendered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests that run on the backend server.
    pub running: u32,
    /// Requests that wait for the backend server.
    pub queued: u32,
    /// Requests that wait for an owner of their key.
    pub vacant: usize,
}

/// Metrics of the node.
#[derive(Debug)]
pub struct Measure {
    metrics: metrics::Metrics,
    // Locked to look a service up, never across an `await`; written once for each service.
    series: sync::RwLock<collections::HashMap<id::Service, sync::Arc<Series>>>,
    other: sync::Arc<Series>,
    requests: metrics::Counter,
    latency: metrics::Histogram,
    peer_requests: metrics::Counter,
    forwarded: metrics::Counter,
    retries: metrics::Counter,
    rejected: metrics::Counter,
    running: metrics::Gauge,
    waiting: metrics::Gauge,
    owned: metrics::Gauge,
    lease: metrics::Gauge,
    version: metrics::Gauge,
}

impl Measure {
    /// Makes the metrics of a node.
    ///
    /// # Errors
    ///
    /// Fails if the exporter cannot be set up.
    pub fn new() -> Result<Self, error_stack::Report<metrics::Error>> {
        let all = metrics::Metrics::new()?;
        Ok(Self {
            series: sync::RwLock::default(),
            other: sync::Arc::new(Series::new("other")),
            requests: all.counter(
                "requests",
                "Requests of callers that have ended, by service, outcome and reason.",
            ),
            latency: all.histogram(
                "request_latency",
                "Time from the head of a caller's request to the head of its answer.",
                "s",
                metrics::LATENCY_S,
            ),
            peer_requests: all.counter(
                "peer_requests",
                "Requests that other nodes forwarded to this one, by service, outcome and reason.",
            ),
            forwarded: all.counter(
                "forwarded_requests",
                "Sendings of requests to the owner's node, by service.",
            ),
            retries: all.counter("retries", "Sendings after the first, by service."),
            rejected: all.counter(
                "rejected_requests",
                "Requests of callers that were refused before routing, by reason.",
            ),
            running: all.gauge(
                "running_requests",
                "Requests that run on the backend server.",
            ),
            waiting: all.gauge(
                "waiting_requests",
                "Requests that wait for the backend server, or for an owner of their key.",
            ),
            owned: all.gauge("owned_slices", "Slices that this node owns, by service."),
            lease: all.gauge("lease_left_ms", "Time left of the lease, in milliseconds."),
            version: all.gauge("view_version", "Version of the node's view."),
            metrics: all,
        })
    }

    /// Counts a request that has ended.
    pub fn ended(
        &self,
        service: id::Service,
        name: &str,
        outcome: outcome::Outcome,
        elapsed: Duration,
        is_forwarded: bool,
    ) {
        let series = self.series(service, name);
        let Some(labels) = series.of(outcome) else {
            return;
        };
        if is_forwarded {
            self.peer_requests.add(1, labels);
            return;
        }
        self.requests.add(1, labels);
        self.latency.record(elapsed.as_secs_f64(), &series.service);
    }

    /// Counts a sending to the owner's node.
    pub fn forwarded(&self, service: id::Service, name: &str) {
        self.forwarded.add(1, &self.series(service, name).service);
    }

    /// Counts a sending after the first.
    pub fn retried(&self, service: id::Service, name: &str) {
        self.retries.add(1, &self.series(service, name).service);
    }

    /// Counts a request that was refused before it was routed.
    pub fn rejected(&self, reason: outcome::Reason) {
        let labels = label::Set::new([label::Label::Reason(reason)]);
        self.rejected.add(1, &labels);
    }

    /// Returns the metrics as Prometheus text.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be written as text.
    pub fn render(
        &self,
        now: clock::Instant,
        snapshot: &published::Snapshot,
        load: Load,
    ) -> Result<String, error_stack::Report<metrics::Error>> {
        let cause = |word| label::Set::new([label::Label::Cause(word)]);
        self.running
            .set(f64::from(load.running), &label::Set::empty());
        self.waiting.set(f64::from(load.queued), &cause("server"));
        self.waiting.set(load.vacant as f64, &cause("vacant"));
        for (service, _) in snapshot.view.tables() {
            let slices = snapshot.owned.keys().filter(|(of, _)| *of == service);
            let known = snapshot.view.service_by_id(service);
            let name = known.map_or("", |known| known.name.as_str());
            let series = self.series(service, name);
            self.owned.set(slices.count() as f64, &series.service);
        }
        let left = now.saturating_until(snapshot.lease_until);
        self.lease
            .set(left.as_secs_f64() * 1e3, &label::Set::empty());
        let version = snapshot.view.version().0;
        self.version.set(version as f64, &label::Set::empty());
        self.metrics.render()
    }

    fn series(&self, service: id::Service, name: &str) -> sync::Arc<Series> {
        let known = self.series.read();
        let known = known.expect("no code panics while it holds the labels");
        if let Some(series) = known.get(&service) {
            return sync::Arc::clone(series);
        }
        let is_full = known.len() >= MAX_SERVICES;
        drop(known);
        if is_full || name.is_empty() {
            return sync::Arc::clone(&self.other);
        }
        let mut all = self.series.write();
        let all = all
            .as_mut()
            .expect("no code panics while it holds the labels");
        let series = all.entry(service);
        sync::Arc::clone(series.or_insert_with(|| sync::Arc::new(Series::new(name))))
    }
}
