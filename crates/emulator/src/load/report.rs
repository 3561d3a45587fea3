//! Report of a run, for people and as JSON.

use std::collections;
use std::fmt;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::load::audit;
use crate::load::outage;
use crate::load::plan;
use crate::load::process;

/// Lag at the 99th percentile from which the tool itself counts as saturated.
const SATURATED_LAG_US: u64 = 5_000;

/// Percentiles of a time, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Latency {
    /// Number of values.
    pub count: u64,
    /// Mean.
    pub mean_us: f64,
    /// Half of the values are at most this.
    pub p50_us: u64,
    /// 99 in 100 values are at most this.
    pub p99_us: u64,
    /// 999 in 1000 values are at most this.
    pub p999_us: u64,
    /// Largest value.
    pub max_us: u64,
}

impl Latency {
    /// Reads the percentiles of a histogram of microseconds.
    pub fn new(histogram: &Histogram<u64>) -> Self {
        Self {
            count: histogram.len(),
            mean_us: (histogram.mean() * 10.0).round() / 10.0,
            p50_us: histogram.value_at_quantile(0.5),
            p99_us: histogram.value_at_quantile(0.99),
            p999_us: histogram.value_at_quantile(0.999),
            max_us: histogram.max(),
        }
    }
}

/// What surrounds the tally of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Frame {
    /// Where requests went.
    pub mode: plan::Mode,
    /// Seed of the schedule.
    pub seed: u64,
    /// Number of targets.
    pub targets: usize,
    /// Time from the start to the last answer.
    pub seconds: f64,
    /// Requests that were due.
    pub offered: u64,
    /// Requests that the tool did not send because too many were in flight.
    pub dropped: u64,
    /// Processor time of the given processes.
    pub processes: Vec<process::Cost>,
    /// Comparison with the executions of stand-ins.
    pub audit: Option<audit::Result>,
}

/// Report of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// What surrounds the tally.
    #[serde(flatten)]
    pub frame: Frame,
    /// Requests that ended.
    pub finished: u64,
    /// Ended requests a second.
    pub throughput: f64,
    /// Requests a second that got what they asked for.
    pub goodput: f64,
    /// Latencies of answered requests, by kind and by hot or other keys.
    pub latencies: collections::BTreeMap<String, Latency>,
    /// Time that it took to get request ids.
    pub request_ids: Latency,
    /// Outcomes after all attempts, by kind.
    pub outcomes: collections::BTreeMap<String, collections::BTreeMap<String, u64>>,
    /// Outcomes of the first attempts.
    pub first_attempts: collections::BTreeMap<String, u64>,
    /// Times at which the first and the last unsuccessful request were due.
    pub failures_ms: Option<(u64, u64)>,
    /// How long keys had no owner that could be reached.
    pub outages: outage::Summary,
    /// Attempts after the first.
    pub resends: u64,
    /// Requests that got the answer of an earlier run.
    pub replayed: u64,
    /// Requests that got no whole answer in any attempt after the last outcome.
    pub lost: u64,
    /// Answers that did not belong to their request or broke the protocol.
    pub wrong: u64,
    /// The first of them.
    pub wrong_examples: Vec<String>,
    /// Time from when requests were due until the tool began to send them.
    pub lag: Latency,
}

impl Report {
    /// Tells whether no answer was wrong, doubled or lost.
    pub fn is_clean(&self) -> bool {
        let audit = self.frame.audit.as_ref();
        self.wrong == 0 && self.lost == 0 && audit.is_none_or(audit::Result::is_clean)
    }

    /// Tells whether the tool itself limited the load, so that the figures don't count.
    pub const fn is_saturated(&self) -> bool {
        self.frame.dropped > 0 || self.lag.p99_us >= SATURATED_LAG_US
    }

    /// Returns the report in JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).expect("the report has string keys and plain fields")
    }
}

impl fmt::Display for Latency {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:>9} {:>10.1} {:>9} {:>9} {:>9} {:>9}",
            self.count, self.mean_us, self.p50_us, self.p99_us, self.p999_us, self.max_us
        )
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let frame = &self.frame;
        let mode = match frame.mode {
            plan::Mode::Nodes => "nodes",
            plan::Mode::Straight => "straight",
        };
        writeln!(f, "seed {}, {mode}, {} targets", frame.seed, frame.targets)?;
        writeln!(
            f,
            "{:.1} s: offered {}, dropped by the tool {}, finished {} ({:.1}/s), goodput {:.1}/s",
            frame.seconds,
            frame.offered,
            frame.dropped,
            self.finished,
            self.throughput,
            self.goodput
        )?;
        self.write_times(f)?;
        self.write_outcomes(f)?;
        for cost in &frame.processes {
            let (us, cores) = (cost.us_per_request, cost.cores);
            writeln!(
                f,
                "process {}: {us:.1} us/request, {cores:.2} cores",
                cost.pid
            )?;
        }
        self.write_checks(f)
    }
}

impl Report {
    fn write_times(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let heads = ["count", "mean", "p50", "p99", "p99.9", "max"];
        let [count, mean, p50, p99, p999, max] = heads;
        writeln!(
            f,
            "{:<14} {count:>9} {mean:>10} {p50:>9} {p99:>9} {p999:>9} {max:>9}",
            "us"
        )?;
        for (name, latency) in &self.latencies {
            writeln!(f, "{name:<14} {latency}")?;
        }
        writeln!(f, "{:<14} {}", "request-ids", self.request_ids)?;
        writeln!(f, "{:<14} {}", "tool lag", self.lag)?;
        if self.is_saturated() {
            writeln!(f, "THE TOOL WAS SATURATED: the latencies include its own")?;
        }
        Ok(())
    }

    fn write_outcomes(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (kind, outcomes) in &self.outcomes {
            write!(f, "{kind}:")?;
            for (outcome, count) in outcomes {
                write!(f, " {outcome} {count}")?;
            }
            writeln!(f)?;
        }
        write!(f, "first attempts:")?;
        for (outcome, count) in &self.first_attempts {
            write!(f, " {outcome} {count}")?;
        }
        writeln!(f)?;
        if let Some((from, to)) = self.failures_ms {
            writeln!(f, "unsuccessful requests were due from {from} to {to} ms")?;
        }
        if self.failures_ms.is_some() {
            let outages = &self.outages;
            writeln!(
                f,
                "outages of keys: {} ended, longest {} ms; {} open, longest {} ms; {} missed",
                outages.ended,
                outages.longest_ms,
                outages.open,
                outages.longest_open_ms,
                outages.missed
            )?;
        }
        writeln!(f, "resends {}, replayed {}", self.resends, self.replayed)
    }

    fn write_checks(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "wrong answers {}, lost answers {}",
            self.wrong, self.lost
        )?;
        for example in &self.wrong_examples {
            writeln!(f, "  {example}")?;
        }
        if let Some(audit) = &self.frame.audit {
            writeln!(f, "executions of {} ids:", audit.ids)?;
            let findings = [
                ("doubled", &audit.doubled),
                ("ran though \"not run\"", &audit.false_not_run),
                ("answered, never run", &audit.never_run),
            ];
            for (name, finding) in findings {
                writeln!(f, "  {name} {}", finding.count)?;
                for id in &finding.examples {
                    writeln!(f, "    {id}")?;
                }
            }
            for gap in &audit.gaps {
                writeln!(f, "  incomplete: {gap}")?;
            }
        }
        writeln!(
            f,
            "{}",
            if self.is_clean() {
                "CLEAN"
            } else {
                "NOT CLEAN"
            }
        )
    }
}
