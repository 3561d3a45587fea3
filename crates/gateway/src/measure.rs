//! Metrics of a node.

use std::cell;
use std::collections;
use std::time::Duration;

use error_stack::Report;
use sequoiayoke_dispatch::{admission, transfer};
use sequoiayoke_telemetry::{label, metrics};

/// Instruments of the traffic thread.
#[derive(Debug)]
pub(crate) struct Measure {
    metrics: metrics::Metrics,
    requests: metrics::Counter,
    latency: metrics::Histogram,
    not_run: metrics::Counter,
    retries: metrics::Counter,
    running: metrics::Gauge,
    waiting: metrics::Gauge,
    slots: metrics::Gauge,
    service_time: metrics::Gauge,
    held: metrics::Gauge,
    earned_retries: metrics::Gauge,
    bodies_wait: metrics::Gauge,
    skipped_lines: metrics::Counter,
    cancelled: metrics::Counter,
    in_progress: metrics::Gauge,
    partly_read: metrics::Gauge,
    held_by_callers: metrics::Gauge,
    closed_callers: metrics::Counter,
    held_by_nodes: metrics::Gauge,
    closed_nodes: metrics::Counter,
    sent_bytes: metrics::Gauge,
    response_peak: metrics::Gauge,
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
            not_run: metrics.counter(
                "turns_not_run",
                "Sendings that did not lead to a run, by service and reason.",
            ),
            retries: metrics.counter(
                "second_sendings",
                "Decisions on second sendings, by service and whether the budget allowed them.",
            ),
            running: metrics.gauge("backend_running", "Requests that the backend server runs."),
            waiting: metrics.gauge(
                "backend_waiting",
                "Requests that wait for the backend server.",
            ),
            slots: metrics.gauge("backend_slots", "Requests that may run at the same time."),
            service_time: metrics
                .gauge("backend_service_seconds", "Mean time that a request runs."),
            held: metrics.gauge(
                "held_seconds",
                "Time for which all keys of the backend server are still held.",
            ),
            earned_retries: metrics.gauge(
                "second_sendings_earned",
                "Second sendings that requests have earned, by service.",
            ),
            bodies_wait: metrics.gauge(
                "bodies_wait_seconds",
                "Time until the bodies on their way to the backend server are there.",
            ),
            skipped_lines: metrics.counter(
                "log_lines_skipped",
                "Lines about requests beyond the bound on them.",
            ),
            cancelled: metrics.counter(
                "cancelled",
                "Requests that were cancelled at the node of the backend server, by stage.",
            ),
            in_progress: metrics.gauge(
                "requests_in_progress",
                "Requests of callers that were read and whose answers are not written, by stage.",
            ),
            partly_read: metrics.gauge(
                "connections_partly_read",
                "Connections of callers on which a part of a request was read.",
            ),
            held_by_callers: metrics.gauge(
                "callers_held_bytes",
                "Bytes of requests that are being read or run and of answers that are not read.",
            ),
            closed_callers: metrics.counter(
                "callers_closed",
                "Connections of callers that were closed for lack of room, by reason.",
            ),
            held_by_nodes: metrics.gauge(
                "nodes_held_bytes",
                "Bytes of requests of other nodes and of replies that they have not read.",
            ),
            closed_nodes: metrics.counter(
                "nodes_closed",
                "Connections of other nodes that were closed for lack of room.",
            ),
            sent_bytes: metrics.gauge(
                "node_sent_bytes",
                "Bytes of messages to other nodes since the start, by kind and failure domain.",
            ),
            response_peak: metrics.gauge(
                "response_bytes_peak",
                "Largest size of all responses that were read and requests that were answered early at the same time.",
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

    fn with_labels<Record>(&self, service: &str, kind: &'static str, record: Record)
    where
        Record: Fn(&label::Set),
    {
        let mut labels = self.labels.borrow_mut();
        let set = labels.entry((service.to_owned(), kind)).or_insert_with(|| {
            label::Set::new([label::Label::Service(service), label::Label::Kind(kind)])
        });
        record(set);
    }

    pub(crate) fn record_request(&self, service: &str, kind: &'static str, took: Duration) {
        self.with_labels(service, kind, |labels| {
            self.requests.add(1, labels);
            self.latency.record(took.as_secs_f64(), labels);
        });
    }

    pub(crate) fn record_not_run(&self, service: &str, reason: &'static str) {
        self.with_labels(service, reason, |labels| self.not_run.add(1, labels));
    }

    pub(crate) fn record_retry_decision(&self, service: &str, is_allowed: bool) {
        let kind = if is_allowed { "allowed" } else { "denied" };
        self.with_labels(service, kind, |labels| self.retries.add(1, labels));
    }

    pub(crate) fn record_skipped_lines(&self, lines: u64) {
        self.skipped_lines.add(lines, &label::Set::empty());
    }

    pub(crate) fn record_cancelled(&self, stage: &'static str) {
        let labels = label::Set::new([label::Label::Kind(stage)]);
        self.cancelled.add(1, &labels);
    }

    pub(crate) fn set_in_progress(&self, stage: &'static str, count: usize) {
        let labels = label::Set::new([label::Label::Kind(stage)]);
        self.in_progress.set(count as f64, &labels);
    }

    pub(crate) fn set_partly_read(&self, connections: usize) {
        let labels = label::Set::empty();
        self.partly_read.set(connections as f64, &labels);
    }

    pub(crate) fn set_held_by_callers(&self, bytes: usize) {
        self.held_by_callers.set(bytes as f64, &label::Set::empty());
    }

    pub(crate) fn record_closed_caller(&self, reason: &'static str) {
        let labels = label::Set::new([label::Label::Kind(reason)]);
        self.closed_callers.add(1, &labels);
    }

    pub(crate) fn set_held_by_nodes(&self, bytes: usize) {
        self.held_by_nodes.set(bytes as f64, &label::Set::empty());
    }

    pub(crate) fn set_sent_bytes(&self, kind: &'static str, scope: &'static str, bytes: u64) {
        let labels = label::Set::new([label::Label::Kind(kind), label::Label::Scope(scope)]);
        self.sent_bytes.set(bytes as f64, &labels);
    }

    pub(crate) fn record_closed_node(&self) {
        self.closed_nodes.add(1, &label::Set::empty());
    }

    pub(crate) fn set_response_peak(&self, bytes: usize) {
        self.response_peak.set(bytes as f64, &label::Set::empty());
    }

    pub(crate) fn set_earned_retries(&self, service: &str, earned: f64) {
        let labels = label::Set::new([label::Label::Service(service)]);
        self.earned_retries.set(earned, &labels);
    }

    /// Returns the metrics as text, with the current load and view.
    pub(crate) fn render(
        &self,
        load: admission::Load,
        link: transfer::Load,
        held: Duration,
        index: u64,
        version: u64,
    ) -> Result<String, Report<metrics::Error>> {
        let no_labels = label::Set::empty();
        self.running.set(f64::from(load.running), &no_labels);
        self.waiting.set(f64::from(load.waiting), &no_labels);
        self.slots.set(f64::from(load.slots), &no_labels);
        self.service_time.set(load.service_s, &no_labels);
        self.held.set(held.as_secs_f64(), &no_labels);
        self.bodies_wait.set(link.wait.as_secs_f64(), &no_labels);
        self.index.set(index as f64, &no_labels);
        self.version.set(version as f64, &no_labels);
        self.metrics.render()
    }
}
