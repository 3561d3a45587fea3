//! Metrics of a node.

use std::cell;
use std::collections;
use std::time::Duration;

use error_stack::Report;
use sequoiayoke_dispatch::{admission, transfer};
use sequoiayoke_telemetry::{label, metrics};

/// Instruments; they belong to the traffic thread.
#[derive(Debug)]
pub(crate) struct Measure {
    metrics: metrics::Metrics,
    requests: metrics::Counter,
    latency: metrics::Histogram,
    turns: metrics::Counter,
    second: metrics::Counter,
    running: metrics::Gauge,
    waiting: metrics::Gauge,
    slots: metrics::Gauge,
    service: metrics::Gauge,
    lease: metrics::Gauge,
    earned: metrics::Gauge,
    bodies: metrics::Gauge,
    skipped: metrics::Counter,
    index: metrics::Gauge,
    version: metrics::Gauge,
    labels: cell::RefCell<collections::HashMap<(String, &'static str), label::Set>>,
}

impl Measure {
    pub(crate) fn new() -> Result<Self, Report<metrics::Error>> {
        let metrics = metrics::Metrics::new()?;
        Ok(Self {
            requests: metrics.counter("requests", "Requests of callers by service and outcome."),
            latency: metrics.histogram(
                "request_seconds",
                "Time from a caller's request to its answer, by service and outcome.",
                "s",
                metrics::LATENCY_S,
            ),
            turns: metrics.counter(
                "turns_not_run",
                "Sendings that did not lead to a run, by service and reason.",
            ),
            second: metrics.counter(
                "second_sendings",
                "Decisions on second sendings, by service and whether the budget allowed them.",
            ),
            running: metrics.gauge("backend_running", "Requests that the backend server runs."),
            waiting: metrics.gauge(
                "backend_waiting",
                "Requests that wait for the backend server.",
            ),
            slots: metrics.gauge("backend_slots", "Requests that may run at the same time."),
            service: metrics.gauge("backend_service_seconds", "Mean time that a request runs."),
            lease: metrics.gauge(
                "held_seconds",
                "Time for which all keys of the backend server are still held.",
            ),
            earned: metrics.gauge(
                "second_sendings_earned",
                "Second sendings that requests have earned, by service.",
            ),
            bodies: metrics.gauge(
                "bodies_wait_seconds",
                "Time until the bodies on their way to the backend server are there.",
            ),
            skipped: metrics.counter(
                "log_lines_skipped",
                "Lines about requests beyond the bound on them.",
            ),
            index: metrics.gauge(
                "view_index",
                "Log index of the view that requests are routed by.",
            ),
            version: metrics.gauge("config_version", "Version of the configuration in force."),
            labels: cell::RefCell::default(),
            metrics,
        })
    }

    fn with_labels<F>(&self, service: &str, kind: &'static str, measure: F)
    where
        F: Fn(&label::Set),
    {
        let mut labels = self.labels.borrow_mut();
        let set = labels.entry((service.to_owned(), kind)).or_insert_with(|| {
            label::Set::new([label::Label::Service(service), label::Label::Kind(kind)])
        });
        measure(set);
    }

    pub(crate) fn ended(&self, service: &str, kind: &'static str, took: Duration) {
        self.with_labels(service, kind, |labels| {
            self.requests.add(1, labels);
            self.latency.record(took.as_secs_f64(), labels);
        });
    }

    pub(crate) fn not_run(&self, service: &str, reason: &'static str) {
        self.with_labels(service, reason, |labels| self.turns.add(1, labels));
    }

    pub(crate) fn second_sending(&self, service: &str, is_allowed: bool) {
        let kind = if is_allowed { "allowed" } else { "denied" };
        self.with_labels(service, kind, |labels| self.second.add(1, labels));
    }

    pub(crate) fn skipped(&self, lines: u64) {
        self.skipped.add(lines, &label::Set::empty());
    }

    pub(crate) fn earned(&self, service: &str, earned: f64) {
        let labels = label::Set::new([label::Label::Service(service)]);
        self.earned.set(earned, &labels);
    }

    /// Returns the metrics as text, with the present load and view.
    pub(crate) fn render(
        &self,
        load: admission::Load,
        link: transfer::Load,
        held: Duration,
        index: u64,
        version: u64,
    ) -> Result<String, Report<metrics::Error>> {
        let none = label::Set::empty();
        self.running.set(f64::from(load.running), &none);
        self.waiting.set(f64::from(load.waiting), &none);
        self.slots.set(f64::from(load.slots), &none);
        self.service.set(load.service_s, &none);
        self.lease.set(held.as_secs_f64(), &none);
        self.bodies.set(link.wait.as_secs_f64(), &none);
        self.index.set(index as f64, &none);
        self.version.set(version as f64, &none);
        self.metrics.render()
    }
}
