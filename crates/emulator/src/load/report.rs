//! Report of a run, as text and as JSON.

use std::collections;
use std::fmt;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::load::audit;
use crate::load::outage;
use crate::load::plan;
use crate::load::process;

/// 99th percentile of the lag from which the tool itself counts as saturated.
const SATURATED_LAG_US: u64 = 5_000;

/// Percentiles of a duration, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Latency {
    /// Number of values.
    pub count: u64,
    /// Mean.
    pub mean_us: f64,
    /// 50th percentile.
    pub p50_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// 99.9th percentile.
    pub p999_us: u64,
    /// Largest value.
    pub max_us: u64,
}

impl Latency {
    /// Computes the percentiles of a histogram of microseconds.
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

/// Parameters of a run, and figures that do not come from its tally.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Frame {
    /// Where requests went.
    pub mode: plan::Mode,
    /// Seed of the schedule.
    pub seed: u64,
    /// Number of targets.
    pub targets: usize,
    /// Time from the start until the last request finished, in seconds.
    pub seconds: f64,
    /// Requests that were due.
    pub offered: u64,
    /// Requests that the tool did not send because too many were in flight.
    pub dropped: u64,
    /// Processor time of the measured processes.
    pub processes: Vec<process::Cost>,
    /// Comparison with the executions that stand-ins counted.
    pub audit: Option<audit::Result>,
}

/// Report of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Parameters of the run, and figures that do not come from the tally.
    #[serde(flatten)]
    pub frame: Frame,
    /// Requests that finished.
    pub finished: u64,
    /// Finished requests per second.
    pub throughput: f64,
    /// Successful requests per second.
    pub goodput: f64,
    /// Latencies of successful requests, by kind and by hot or other keys.
    pub latencies: collections::BTreeMap<String, Latency>,
    /// Time that it took to fetch request ids.
    pub request_ids: Latency,
    /// Outcomes after all attempts, by kind.
    pub outcomes: collections::BTreeMap<String, collections::BTreeMap<String, u64>>,
    /// Outcomes of the first attempts.
    pub first_attempts: collections::BTreeMap<String, u64>,
    /// Times at which the first and the last unsuccessful request were due.
    pub failures_ms: Option<(u64, u64)>,
    /// Outages of keys, in which no owner answered their requests.
    pub outages: outage::Summary,
    /// Retries, which are all attempts after the first.
    pub resends: u64,
    /// Requests that got the stored response of an earlier execution.
    pub replayed: u64,
    /// Requests whose last attempt got no complete response.
    pub lost: u64,
    /// Responses that did not belong to their request or violated the protocol.
    pub wrong: u64,
    /// The first wrong responses.
    pub wrong_examples: Vec<String>,
    /// Time from when requests were due until the tool began to send them.
    pub lag: Latency,
}

impl Report {
    /// Returns whether no response was wrong or lost, and the audit found no fault.
    pub fn is_clean(&self) -> bool {
        let audit = self.frame.audit.as_ref();
        self.wrong == 0 && self.lost == 0 && audit.is_none_or(audit::Result::is_clean)
    }

    /// Returns whether the tool itself limited the load, which makes the figures invalid.
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
        self.write_latencies(f)?;
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
    fn write_latencies(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let titles = ["count", "mean", "p50", "p99", "p99.9", "max"];
        let [count, mean, p50, p99, p999, max] = titles;
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
            writeln!(
                f,
                "THE TOOL WAS SATURATED: the latencies include delays of the tool itself"
            )?;
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
