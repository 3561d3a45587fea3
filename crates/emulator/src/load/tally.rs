//! Adds up what became of the requests of a run.

use std::collections;
use std::time::Duration;

use hdrhistogram::Histogram;

use sequoiayoke_model::key;

use crate::load::arrival;
use crate::load::judge;
use crate::load::outage;
use crate::load::report;

/// Longest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Examples of wrong answers that are reported.
const MAX_EXAMPLES: usize = 20;

/// What became of a request after all its attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fate {
    /// Nothing was sent yet.
    #[default]
    Unsent,
    /// The backend server answered.
    Answered,
    /// Every attempt was said not to have run.
    NotRun,
    /// It may have run.
    Open,
}

/// A finished request.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Time at which it was due.
    pub at: Duration,
    /// Hash of its service and key.
    pub place: key::Hash,
    /// Kind under which it is reported.
    pub kind: arrival::Kind,
    /// Whether its key is one of the hottest.
    pub hot: bool,
    /// Time from when it was due until the tool began to send it.
    pub lag: Duration,
    /// Time from when it was due until its end, resends included.
    pub latency: Duration,
    /// Time that it took to get the request id.
    pub id_fetch: Option<Duration>,
    /// Request id.
    pub id: Option<String>,
    /// Verdicts of all attempts, in order.
    pub verdicts: Vec<judge::Verdict>,
    /// Whether an answer was the one of an earlier run.
    pub replayed: bool,
    /// Why answers were wrong.
    pub wrong: Vec<String>,
}

impl Sample {
    /// Starts the record of a request.
    pub fn new(arrival: &arrival::Arrival, lag: Duration) -> Self {
        Self {
            at: arrival.at,
            place: key::Hash::new(&arrival.service, &arrival.key),
            kind: arrival.kind,
            hot: arrival.hot,
            lag,
            latency: Duration::ZERO,
            id_fetch: None,
            id: None,
            verdicts: Vec::new(),
            replayed: false,
            wrong: Vec::new(),
        }
    }

    /// Adds the verdict of an attempt.
    pub fn record(&mut self, verdict: judge::Verdict) {
        self.verdicts.push(verdict);
    }

    /// Returns what became of the request after all attempts.
    pub fn fate(&self) -> Fate {
        let not_run = |verdict: &judge::Verdict| matches!(verdict, judge::Verdict::NotRun(_));
        match self.verdicts.last() {
            None => Fate::Unsent,
            Some(last) if last.is_good() => Fate::Answered,
            Some(_) if self.verdicts.iter().all(not_run) => Fate::NotRun,
            Some(_) => Fate::Open,
        }
    }
}

/// Sums over the finished requests.
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
    good: u64,
    lost: u64,
    resends: u64,
    replayed: u64,
    wrong: u64,
    examples: Vec<String>,
    fates: collections::HashMap<String, Fate>,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the bounds are valid")
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

impl Tally {
    /// Makes a tally that leaves latencies of requests due within `warmup` out.
    pub fn new(warmup: Duration) -> Self {
        Self {
            warmup,
            latencies: collections::BTreeMap::new(),
            lag: histogram(),
            id_fetch: histogram(),
            outcomes: collections::BTreeMap::new(),
            first: collections::BTreeMap::new(),
            failures: None,
            outages: outage::Outages::default(),
            finished: 0,
            good: 0,
            lost: 0,
            resends: 0,
            replayed: 0,
            wrong: 0,
            examples: Vec::new(),
            fates: collections::HashMap::new(),
        }
    }

    /// Adds a finished request.
    pub fn add(&mut self, sample: Sample) {
        let (Some(first), Some(last)) = (sample.verdicts.first(), sample.verdicts.last()) else {
            return;
        };
        self.finished += 1;
        *self.first.entry(first.to_string()).or_default() += 1;
        let outcomes = self.outcomes.entry(sample.kind).or_default();
        *outcomes.entry(last.to_string()).or_default() += 1;
        self.resends += sample.verdicts.len() as u64 - 1;
        self.replayed += u64::from(sample.replayed);
        self.lost += u64::from(matches!(last, judge::Verdict::Lost(_)));
        if last.is_good() {
            self.good += 1;
        } else {
            let (from, to) = self.failures.unwrap_or((sample.at, sample.at));
            self.failures = Some((from.min(sample.at), to.max(sample.at)));
        }
        let reached = matches!(last, judge::Verdict::Answered(_));
        self.outages
            .add(sample.place, sample.at, sample.latency, reached);
        self.add_times(&sample);
        self.add_wrong(&sample);
        let fate = sample.fate();
        if let Some(id) = sample.id {
            self.fates.insert(id, fate);
        }
    }

    fn add_times(&mut self, sample: &Sample) {
        if sample.at < self.warmup {
            return;
        }
        self.lag.saturating_record(micros(sample.lag));
        if let Some(time) = sample.id_fetch {
            self.id_fetch.saturating_record(micros(time));
        }
        if sample.fate() == Fate::Answered {
            self.latencies
                .entry((sample.kind, sample.hot))
                .or_insert_with(histogram)
                .saturating_record(micros(sample.latency));
        }
    }

    fn add_wrong(&mut self, sample: &Sample) {
        self.wrong += sample.wrong.len() as u64;
        for wrong in &sample.wrong {
            if self.examples.len() < MAX_EXAMPLES {
                let at = sample.at.as_millis();
                self.examples
                    .push(format!("{} at {at} ms: {wrong}", sample.kind));
            }
        }
    }

    /// Returns the number of finished requests.
    pub const fn finished(&self) -> u64 {
        self.finished
    }

    /// Returns what became of the requests with ids.
    pub const fn fates(&self) -> &collections::HashMap<String, Fate> {
        &self.fates
    }

    /// Makes the report of the run.
    pub fn into_report(self, frame: report::Frame) -> report::Report {
        let mut latencies = collections::BTreeMap::new();
        for ((kind, hot), histogram) in &self.latencies {
            let keys = if *hot { "hot" } else { "other" };
            let latency = report::Latency::new(histogram);
            latencies.insert(format!("{kind}/{keys}"), latency);
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
            goodput: self.good as f64 / frame.seconds,
            lost: self.lost,
            resends: self.resends,
            replayed: self.replayed,
            wrong: self.wrong,
            wrong_examples: self.examples,
            frame,
        }
    }
}
