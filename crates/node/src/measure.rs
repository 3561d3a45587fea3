//! Metrics of the node.
//!
//! Traffic threads count requests as they end. All other values are read only
//! when the metrics are rendered. A node without an address for metrics collects
//! none.

use std::collections;
use std::sync;
use std::time::Duration;

use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_model::outcome;
use sequoiayoke_telemetry::{label, metrics};

use crate::published;

/// Maximum number of services with labels of their own; the rest share the label `other`.
const MAX_SERVICES: usize = 64;

/// Cached labels of the series of one service.
#[derive(Debug)]
struct Series {
    service: label::Set,
    answered: label::Set,
    // Indexed by the discriminant of the reason.
    not_run: Vec<label::Set>,
    unknown: Vec<label::Set>,
}

impl Series {
    fn new(service: &str) -> Self {
        let service = label::Label::Service(service);
        let labels = |outcome: outcome::Outcome| {
            let reason = outcome.reason().map(label::Label::Reason);
            label::Set::new(
                [service, label::Label::Outcome(outcome)]
                    .into_iter()
                    .chain(reason),
            )
        };
        let reasons = outcome::Reason::ALL.iter().copied();
        Self {
            service: label::Set::new([service]),
            answered: labels(outcome::Outcome::Answered(200)),
            not_run: reasons
                .clone()
                .map(|reason| labels(outcome::Outcome::NotRun(reason)))
                .collect(),
            unknown: reasons
                .map(|reason| labels(outcome::Outcome::Unknown(reason)))
                .collect(),
        }
    }

    fn labels(&self, outcome: outcome::Outcome) -> Option<&label::Set> {
        match outcome {
            outcome::Outcome::Answered(_) => Some(&self.answered),
            outcome::Outcome::NotRun(reason) => self.not_run.get(reason as usize),
            outcome::Outcome::Unknown(reason) => self.unknown.get(reason as usize),
        }
    }
}

/// Load of the request path at the time when the metrics are rendered.
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
    // Locked to look up a service, never across an `await`; written once for each service.
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
    /// Creates the metrics of a node.
    ///
    /// # Errors
    ///
    /// Fails if the exporter cannot be set up.
    pub fn new() -> Result<Self, error_stack::Report<metrics::Error>> {
        let registry = metrics::Metrics::new()?;
        Ok(Self {
            series: sync::RwLock::default(),
            other: sync::Arc::new(Series::new("other")),
            requests: registry.counter(
                "requests",
                "Requests of callers that have ended, by service, outcome and reason.",
            ),
            latency: registry.histogram(
                "request_latency",
                "Time from the head of a caller's request to the head of its answer.",
                "s",
                metrics::LATENCY_S,
            ),
            peer_requests: registry.counter(
                "peer_requests",
                "Requests that other nodes forwarded to this one, by service, outcome and reason.",
            ),
            forwarded: registry.counter(
                "forwarded_requests",
                "Sendings of requests to the owner's node, by service.",
            ),
            retries: registry.counter("retries", "Sendings after the first, by service."),
            rejected: registry.counter(
                "rejected_requests",
                "Requests of callers that were refused before routing, by reason.",
            ),
            running: registry.gauge(
                "running_requests",
                "Requests that run on the backend server.",
            ),
            waiting: registry.gauge(
                "waiting_requests",
                "Requests that wait for the backend server, or for an owner of their key.",
            ),
            owned: registry.gauge("owned_slices", "Slices that this node owns, by service."),
            lease: registry.gauge("lease_left_ms", "Time left of the lease, in milliseconds."),
            version: registry.gauge("view_version", "Version of the node's view."),
            metrics: registry,
        })
    }

    /// Counts a request that has ended.
    pub fn record_request(
        &self,
        service: id::Service,
        name: &str,
        outcome: outcome::Outcome,
        elapsed: Duration,
        is_forwarded: bool,
    ) {
        let series = self.series(service, name);
        let Some(labels) = series.labels(outcome) else {
            return;
        };
        if is_forwarded {
            self.peer_requests.add(1, labels);
            return;
        }
        self.requests.add(1, labels);
        self.latency.record(elapsed.as_secs_f64(), &series.service);
    }

    /// Counts an attempt that is forwarded to the owner's node.
    pub fn record_forward(&self, service: id::Service, name: &str) {
        self.forwarded.add(1, &self.series(service, name).service);
    }

    /// Counts a retry.
    pub fn record_retry(&self, service: id::Service, name: &str) {
        self.retries.add(1, &self.series(service, name).service);
    }

    /// Counts a request that was rejected before routing.
    pub fn record_rejection(&self, reason: outcome::Reason) {
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
        let cause = |cause| label::Set::new([label::Label::Cause(cause)]);
        self.running
            .set(f64::from(load.running), &label::Set::empty());
        self.waiting.set(f64::from(load.queued), &cause("server"));
        self.waiting.set(load.vacant as f64, &cause("vacant"));
        for (service, _) in snapshot.view.tables() {
            let slices = snapshot.owned.keys().filter(|(owned, _)| *owned == service);
            let definition = snapshot.view.service_by_id(service);
            let name = definition.map_or("", |service| service.name.as_str());
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
        let services = self.series.read();
        let services = services.expect("no code panics while it holds the lock of the labels");
        if let Some(series) = services.get(&service) {
            return sync::Arc::clone(series);
        }
        let is_full = services.len() >= MAX_SERVICES;
        drop(services);
        if is_full || name.is_empty() {
            return sync::Arc::clone(&self.other);
        }
        let mut services = self.series.write();
        let services = services
            .as_mut()
            .expect("no code panics while it holds the lock of the labels");
        let series = services.entry(service);
        sync::Arc::clone(series.or_insert_with(|| sync::Arc::new(Series::new(name))))
    }
}
