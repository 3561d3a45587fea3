//! Parameters of a run of the load tool.

use std::net;
use std::path;
use std::time::Duration;

use crate::load::mix;

/// Largest number of requests of a run, which limits the memory of the audit.
pub const MAX_REQUESTS: u64 = 20_000_000;

/// Where requests go.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// Through nodes, whose responses state the outcome.
    Nodes,
    /// Directly to stand-ins, as the baseline of a comparison.
    Straight,
}

/// Additional hot keys from some time of the run on.
#[derive(Clone, Debug, PartialEq)]
pub struct Storm {
    /// Time since the start of the run from which requests for these keys arrive.
    pub start: Duration,
    /// Share of all requests from then on that go to these keys.
    pub share: f64,
    /// Number of keys.
    pub keys: u64,
}

/// A registered caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    /// Bearer token.
    pub token: String,
    /// Scope that responses are checked for, if any.
    pub scope: Option<String>,
}

/// Parameters of a run, with limits of its rate, duration and requests in flight.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use sequoiayoke_emulator::load::plan;
///
/// let target = ([127, 0, 0, 1], 9000).into();
/// let plan = plan::Plan::new(plan::Mode::Nodes, vec![target])
///     .with_load(100.0, Duration::from_secs(5))
///     .with_seed(7);
/// assert_eq!(plan.seed, 7);
/// ```
#[derive(Clone, Debug)]
pub struct Plan {
    /// Where requests go.
    pub mode: Mode,
    /// Addresses of nodes or stand-ins.
    pub targets: Vec<net::SocketAddr>,
    /// Stand-ins whose executions are compared with the responses.
    pub standins: Vec<net::SocketAddr>,
    /// Seed of the schedule.
    pub seed: u64,
    /// Arrivals per second.
    pub rate: f64,
    /// Time over which requests arrive.
    pub duration: Duration,
    /// Time at the start whose latencies are excluded from the report.
    pub warmup: Duration,
    /// Services and kinds of requests.
    pub mix: mix::Mix,
    /// Number of keys of each service.
    pub keys: u64,
    /// Exponent of the Zipf distribution; 0 is uniform.
    pub zipf: f64,
    /// Number of the highest ranks that count as hot.
    pub hot_ranks: u64,
    /// Time after which the hottest keys change, if they do.
    pub shift_interval: Option<Duration>,
    /// Additional hot keys from some time of the run on, if any.
    pub storm: Option<Storm>,
    /// Body size of a write, in bytes.
    pub write_bytes: u64,
    /// Body size of an upload, in bytes.
    pub upload_bytes: u64,
    /// Pause between the chunks of an upload.
    pub upload_pause: Duration,
    /// Deadline of each attempt.
    pub deadline: Duration,
    /// Largest number of retries of a request whose outcome is unknown or whose response was lost.
    pub max_retries: u32,
    /// Whether requests go to the owner named by the last response for their key.
    pub follow_owner: bool,
    /// Largest number of requests in flight; further arrivals are dropped and reported.
    pub max_in_flight: usize,
    /// Largest number of requests in flight to each target; further ones wait. `None` is no limit.
    pub connections: Option<usize>,
    /// Traffic threads of the tool.
    pub threads: usize,
    /// Callers among which requests are distributed.
    pub callers: Vec<Caller>,
    /// Processes whose processor time is measured.
    pub pids: Vec<u32>,
    /// Trace to replay instead of the generated schedule.
    pub trace: Option<path::PathBuf>,
}

impl Plan {
    /// Creates a plan with default parameters.
    pub fn new(mode: Mode, targets: Vec<net::SocketAddr>) -> Self {
        Self {
            mode,
            targets,
            standins: Vec::new(),
            seed: 0,
            rate: 100.0,
            duration: Duration::from_secs(10),
            warmup: Duration::ZERO,
            mix: mix::Mix::ankesor(),
            keys: 100_000,
            zipf: 0.99,
            hot_ranks: 62,
            shift_interval: None,
            storm: None,
            write_bytes: 128,
            upload_bytes: 256 * 1024,
            upload_pause: Duration::ZERO,
            deadline: Duration::from_secs(2),
            max_retries: 3,
            follow_owner: false,
            max_in_flight: 10_000,
            connections: None,
            threads: 2,
            callers: Vec::new(),
            pids: Vec::new(),
            trace: None,
        }
    }

    /// Sets the seed of the schedule.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the arrivals per second and the time over which requests arrive.
    #[must_use]
    pub fn with_load(mut self, rate: f64, duration: Duration) -> Self {
        self.rate = rate;
        self.duration = duration;
        self
    }

    /// Sets the services and the kinds of requests.
    #[must_use]
    pub fn with_mix(mut self, mix: mix::Mix) -> Self {
        self.mix = mix;
        self
    }

    /// Sets the stand-ins whose executions are compared with the responses.
    #[must_use]
    pub fn with_standins(mut self, standins: Vec<net::SocketAddr>) -> Self {
        self.standins = standins;
        self
    }

    /// Checks that the plan is within its limits.
    ///
    /// # Errors
    ///
    /// Fails with the first limit that is exceeded.
    pub fn validate(&self) -> Result<(), super::Error> {
        let problem = if self.targets.is_empty() {
            "no target is given"
        } else if self.mix.shares.is_empty() && self.trace.is_none() {
            "no service is given"
        } else if !(self.rate > 0.0 && self.rate.is_finite()) {
            "the rate is not a positive number"
        } else if self.rate * self.duration.as_secs_f64() > MAX_REQUESTS as f64 {
            "the run has more requests than the tool can audit"
        } else if self.max_in_flight == 0 || self.threads == 0 || self.connections == Some(0) {
            "the limit of threads, connections or requests in flight is 0"
        } else {
            return Ok(());
        };
        Err(super::Error::Plan(problem))
    }
}
