//! Aggregates the results of the requests of a run.

use std::collections;
use std::time::Duration;

use hdrhistogram::Histogram;

use sequoiayoke_model::key;

use crate::load::arrival;
use crate::load::outage;
use crate::load::report;
use crate::load::response;

/// Largest latency that the histograms record, in microseconds; longer ones count as this.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Number of wrong responses that are reported as examples.
const MAX_VIOLATION_EXAMPLES: usize = 20;

/// Status of a request after all its attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Status {
    /// No attempt has finished.
    #[default]
    Unsent,
    /// The backend server answered with success.
    Answered,
    /// Every attempt was reported as not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// A finished request.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Time at which it was due.
    pub due: Duration,
    /// Hash of its service and key.
    pub key_hash: key::Hash,
    /// Kind under which it is reported.
    pub kind: arrival::Kind,
    /// Whether its key is one of the hottest.
    pub hot: bool,
    /// Time from when it was due until the tool began to send it.
    pub lag: Duration,
    /// Time from when it was due until its end, retries included.
    pub latency: Duration,
    /// Time that it took to fetch the request id.
    pub id_fetch: Option<Duration>,
    /// Request id.
    pub id: Option<String>,
    /// Outcomes of all attempts, in order.
    pub outcomes: Vec<response::Outcome>,
    /// Whether a response was the stored one of an earlier execution.
    pub replayed: bool,
    /// Why responses were wrong.
    pub violations: Vec<String>,
}

impl Sample {
    /// Creates the sample of a request without any attempts.
    pub fn new(arrival: &arrival::Arrival, lag: Duration) -> Self {
        Self {
            due: arrival.due,
            key_hash: key::Hash::new(&arrival.service, &arrival.key),
            kind: arrival.kind,
            hot: arrival.hot,
            lag,
            latency: Duration::ZERO,
            id_fetch: None,
            id: None,
            outcomes: Vec::new(),
            replayed: false,
            violations: Vec::new(),
        }
    }

    /// Adds the outcome of an attempt.
    pub fn record(&mut self, outcome: response::Outcome) {
        self.outcomes.push(outcome);
    }

    /// Returns the status of the request after all attempts.
    pub fn status(&self) -> Status {
        let not_run = |outcome: &response::Outcome| matches!(outcome, response::Outcome::NotRun(_));
        match self.outcomes.last() {
            None => Status::Unsent,
            Some(last) if last.is_success() => Status::Answered,
            Some(_) if self.outcomes.iter().all(not_run) => Status::NotRun,
            Some(_) => Status::Unknown,
        }
    }
}

/// Sums and histograms over the finished requests.
#[derive(Debug)]
pub struct Tally {
    warmup: Duration,
    latencies: collections::BTreeMap<(arrival::Kind, bool), Histogram<u64>>,
    lag: Histogram<u64>,
    id_fetch: Histogram<u64>,
    outcomes: collections::BTreeMap<arrival::Kind, collections::BTreeMap<String, u64>>,
    first: collections::BTreeMap<String, u64>,
    failures: Option<(Duration, Duration)>,
    outages: outage::Outages,
    finished: u64,
    succeeded: u64,
    lost: u64,
    retries: u64,
    replayed: u64,
    violations: u64,
    violation_examples: Vec<String>,
    statuses: collections::HashMap<String, Status>,
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the bounds are valid")
}

fn saturating_micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

impl Tally {
    /// Creates a tally that excludes the latencies of requests due within `warmup`.
    pub fn new(warmup: Duration) -> Self {
        Self {
            warmup,
            latencies: collections::BTreeMap::new(),
            lag: new_histogram(),
            id_fetch: new_histogram(),
            outcomes: collections::BTreeMap::new(),
            first: collections::BTreeMap::new(),
            failures: None,
            outages: outage::Outages::default(),
            finished: 0,
            succeeded: 0,
            lost: 0,
            retries: 0,
            replayed: 0,
            violations: 0,
            violation_examples: Vec::new(),
            statuses: collections::HashMap::new(),
        }
    }

    /// Adds a finished request.
    pub fn add(&mut self, sample: Sample) {
        let (Some(first), Some(last)) = (sample.outcomes.first(), sample.outcomes.last()) else {
            return;
        };
        self.finished += 1;
        *self.first.entry(first.to_string()).or_default() += 1;
        let outcomes = self.outcomes.entry(sample.kind).or_default();
        *outcomes.entry(last.to_string()).or_default() += 1;
        self.retries += sample.outcomes.len() as u64 - 1;
        self.replayed += u64::from(sample.replayed);
        self.lost += u64::from(matches!(last, response::Outcome::Lost(_)));
        if last.is_success() {
            self.succeeded += 1;
        } else {
            let (from, to) = self.failures.unwrap_or((sample.due, sample.due));
            self.failures = Some((from.min(sample.due), to.max(sample.due)));
        }
        let is_answered = matches!(last, response::Outcome::Answered(_));
        self.outages
            .record(sample.key_hash, sample.due, sample.latency, is_answered);
        self.record_latencies(&sample);
        self.record_violations(&sample);
        let status = sample.status();
        if let Some(id) = sample.id {
            self.statuses.insert(id, status);
        }
    }

    fn record_latencies(&mut self, sample: &Sample) {
        if sample.due < self.warmup {
            return;
        }
        self.lag.saturating_record(saturating_micros(sample.lag));
        if let Some(time) = sample.id_fetch {
            self.id_fetch.saturating_record(saturating_micros(time));
        }
        if sample.status() == Status::Answered {
            self.latencies
                .entry((sample.kind, sample.hot))
                .or_insert_with(new_histogram)
                .saturating_record(saturating_micros(sample.latency));
        }
    }

    fn record_violations(&mut self, sample: &Sample) {
        self.violations += sample.violations.len() as u64;
        for violation in &sample.violations {
            if self.violation_examples.len() < MAX_VIOLATION_EXAMPLES {
                let due_ms = sample.due.as_millis();
                self.violation_examples
                    .push(format!("{} at {due_ms} ms: {violation}", sample.kind));
            }
        }
    }

    /// Returns the number of finished requests.
    pub const fn finished(&self) -> u64 {
        self.finished
    }

    /// Returns the final status of each request with an id.
    pub const fn statuses(&self) -> &collections::HashMap<String, Status> {
        &self.statuses
    }

    /// Converts the tally to the report of the run.
    pub fn into_report(self, frame: report::Frame) -> report::Report {
        let mut latencies = collections::BTreeMap::new();
        for ((kind, hot), histogram) in &self.latencies {
            let key_class = if *hot { "hot" } else { "other" };
            let latency = report::Latency::new(histogram);
            latencies.insert(format!("{kind}/{key_class}"), latency);
        }
        let outcomes = self.outcomes.into_iter();
        report::Report {
            latencies,
            lag: report::Latency::new(&self.lag),
            request_ids: report::Latency::new(&self.id_fetch),
            outcomes: outcomes
                .map(|(kind, counts)| (kind.to_string(), counts))
                .collect(),
            first_attempts: self.first,
            failures_ms: self
                .failures
                .map(|(from, to)| (from.as_millis() as u64, to.as_millis() as u64)),
            outages: self.outages.summary(),
            finished: self.finished,
            throughput: self.finished as f64 / frame.seconds,
            goodput: self.succeeded as f64 / frame.seconds,
            lost: self.lost,
            resends: self.retries,
            replayed: self.replayed,
            wrong: self.violations,
            wrong_examples: self.violation_examples,
            frame,
        }
    }
}
