//! Health of the backend server as its own node sees it.
//!
//! The health endpoint lags and is sometimes wrong, so what happens to real
//! requests weighs more than what the endpoint says.

use std::time::Duration;

use sequoiayoke_model::clock;

/// Time constant by which older requests lose weight.
const FADE: Duration = Duration::from_secs(2);
/// Requests that keep their weight however old they are, so that the few
/// requests that a nearly idle or shedding node sends still count.
const KEPT: f64 = 4.0;
/// Requests below which failures are a share of this number.
const ENOUGH: f64 = 3.0;
/// Age after which the last request is no evidence any more.
const PATH_FRESH: Duration = Duration::from_secs(15);
/// Age after which the last probe is no evidence any more.
const PROBE_FRESH: Duration = Duration::from_secs(10);
/// Weight of the endpoint beside evidence from requests. It stays below
/// `SUSPECT_ENTER`, so the endpoint cannot outvote requests that succeed.
const PROBE_WEIGHT: f64 = 0.2;
/// Weight of the endpoint alone. It stays below `FAILING_ENTER`, so the endpoint
/// alone moves no slice.
const PROBE_WEIGHT_ALONE: f64 = 0.5;
/// Score from which a server is suspect, and below which it is so no more.
const SUSPECT_ENTER: f64 = 0.25;
const SUSPECT_LEAVE: f64 = 0.15;
/// Score from which a server is failing, and below which it is so no more.
const FAILING_ENTER: f64 = 0.6;
const FAILING_LEAVE: f64 = 0.3;
/// Time for which the score has to stay low before the state improves.
const HOLD: Duration = Duration::from_secs(3);
/// The same without requests: once the slices of a failing server have moved
/// away, only the endpoint speaks for it, and it spoke for it before.
const HOLD_ALONE: Duration = Duration::from_secs(30);
/// A response this many times slower than the mean, and by `SLOW_SLACK`, is slow.
const SLOW_FACTOR: f64 = 10.0;
const SLOW_SLACK: Duration = Duration::from_millis(100);
/// Share of a failure that a slow response counts as. Slow responses alone, even
/// with a bad endpoint, stay below `FAILING_ENTER`.
const SLOW_FAILURE: f64 = 0.4;
/// Gap between two calls of [`Monitor::record_alive`] after which the monitor's own process
/// counts as suspended; several times the pause between two calls.
const SUSPENDED: Duration = Duration::from_millis(600);
/// Time after a suspension in which a request that is overdue says nothing, since
/// it may have been overdue only because nobody read its answer.
const RESUMED: Duration = Duration::from_secs(1);
/// Time constant of the mean latency. It is long, so that a server that becomes slow
/// is compared with what it was before.
const LATENCY_FADE: Duration = Duration::from_secs(30);
/// Largest weight of a response in the mean latency, ...
const LATENCY_WEIGHT: f64 = 1.0 / 64.0;
/// ... and largest multiple of the mean that it counts as.
const LATENCY_CLIP: f64 = 2.0;

/// What happened to one request at the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Sample {
    /// It was answered after this time.
    Answered(Duration),
    /// It was not answered in time.
    TimedOut,
    /// The connection failed.
    Failed,
    /// No request is answered at all, as [`Gate::is_unresponsive`] tells; passed on at
    /// each report for as long as that lasts.
    ///
    /// [`Gate::is_unresponsive`]: crate::admission::gate::Gate::is_unresponsive
    Unresponsive,
}

/// What the health endpoint said.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Probe {
    /// It said that the server is healthy.
    Healthy,
    /// It said that the server is not healthy.
    Unhealthy,
    /// It did not respond.
    Unresponsive,
}

/// Judgement about the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// It serves.
    Healthy,
    /// It should get no additional slices.
    Suspect,
    /// Its slices should move away.
    Failing,
}

/// What control learns about the backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// The judgement.
    pub state: State,
    /// Weighed share of failures, from 0 to 1.
    pub score: f64,
    /// Share of failures among recent requests, or `None` without recent ones.
    pub failure_share: Option<f64>,
    /// What the health endpoint said last, if recently.
    pub probe: Option<Probe>,
    /// Mean latency of recent answers.
    pub latency: Duration,
}

/// Evidence about one backend server.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use sequoiayoke_model::clock;
/// use sequoiayoke_traffic::health;
///
/// let now = clock::Instant::from_micros(0);
/// let mut monitor = health::Monitor::new(now);
/// monitor.record_probe(now, health::Probe::Healthy);
/// for _ in 0..3 {
///     monitor.observe(now, now, health::Sample::TimedOut);
/// }
/// assert_eq!(monitor.report(now).state, health::State::Failing);
/// ```
#[derive(Clone, Debug)]
pub struct Monitor {
    total: f64,
    failures: f64,
    sampled: Option<clock::Instant>,
    // Mean latency in seconds, once there was a response.
    latency: Option<f64>,
    probe: Option<(clock::Instant, Probe)>,
    state: State,
    // Since when the score has allowed a better state.
    better_since: Option<clock::Instant>,
    started: clock::Instant,
    alive: clock::Instant,
    resumed: Option<clock::Instant>,
}

impl Monitor {
    /// Makes a monitor of a server that is taken as healthy.
    pub const fn new(now: clock::Instant) -> Self {
        Self {
            total: 0.0,
            failures: 0.0,
            sampled: None,
            latency: None,
            probe: None,
            state: State::Healthy,
            better_since: None,
            started: now,
            alive: now,
            resumed: None,
        }
    }

    /// Records that the process runs; call it several times per second.
    ///
    /// After a suspension of the process, what it saw before and the timeouts of
    /// requests that were on their way say nothing about the backend server.
    pub fn record_alive(&mut self, now: clock::Instant) {
        if now.saturating_since(self.alive) >= SUSPENDED {
            *self = Self {
                resumed: Some(now),
                ..Self::new(now)
            };
        }
        self.alive = now;
    }

    /// Takes what happened to one request that was sent at `sent`; returns whether it
    /// says anything about the backend server.
    pub fn observe(&mut self, now: clock::Instant, sent: clock::Instant, sample: Sample) -> bool {
        self.record_alive(now);
        let may_be_stale = |resumed: clock::Instant| match sample {
            Sample::Answered(_) => false,
            Sample::TimedOut | Sample::Failed => sent <= resumed,
            Sample::Unresponsive => now.saturating_since(resumed) < RESUMED,
        };
        if self.resumed.is_some_and(may_be_stale) {
            return false;
        }
        let elapsed = now.saturating_since(self.sampled.unwrap_or(self.started));
        self.fade(elapsed);
        self.total += 1.0;
        self.failures += match sample {
            Sample::Answered(latency) => self.weigh(elapsed, latency),
            Sample::TimedOut | Sample::Failed => 1.0,
            Sample::Unresponsive => {
                // Earlier answers say nothing about a server that has stopped since.
                self.total = KEPT;
                KEPT - self.failures
            }
        };
        self.sampled = Some(now);
        true
    }

    /// Takes what the health endpoint said.
    pub const fn record_probe(&mut self, now: clock::Instant, probe: Probe) {
        self.probe = Some((now, probe));
    }

    /// Judges the evidence up to `now`; call it at least once per second, since
    /// the state improves only after the score was seen low for a while.
    pub fn report(&mut self, now: clock::Instant) -> Report {
        let path = self.path(now);
        let probe = self.fresh_probe(now);
        let bad = f64::from(u8::from(probe.is_some_and(|probe| probe != Probe::Healthy)));
        let score = match path {
            Some(path) => (1.0 - PROBE_WEIGHT) * path + PROBE_WEIGHT * bad,
            None => PROBE_WEIGHT_ALONE * bad,
        };
        self.judge(now, score, path.is_some());
        Report {
            state: self.state,
            score,
            failure_share: path,
            probe,
            latency: Duration::from_secs_f64(self.latency.unwrap_or(0.0)),
        }
    }

    fn judge(&mut self, now: clock::Instant, score: f64, path: bool) {
        let entered = match score {
            _ if score >= FAILING_ENTER => State::Failing,
            _ if score >= SUSPECT_ENTER => State::Suspect,
            _ => State::Healthy,
        };
        let left = match self.state {
            State::Failing if score < FAILING_LEAVE => State::Suspect,
            State::Suspect if score < SUSPECT_LEAVE => State::Healthy,
            state => state,
        };
        if entered > self.state {
            self.state = entered;
            self.better_since = None;
        } else if left < self.state {
            let since = *self.better_since.get_or_insert(now);
            let hold = if path { HOLD } else { HOLD_ALONE };
            if now.saturating_since(since) >= hold {
                self.state = left;
                self.better_since = None;
            }
        } else {
            self.better_since = None;
        }
    }

    /// Lets older requests lose weight; their share of failures stays the same.
    fn fade(&mut self, elapsed: Duration) {
        let faded = self.total * (-elapsed.div_duration_f64(FADE)).exp();
        let kept = faded.max(self.total.min(KEPT));
        if self.total > 0.0 {
            self.failures *= kept / self.total;
            self.total = kept;
        }
    }

    /// Takes the latency of a response and returns its share of a failure.
    fn weigh(&mut self, elapsed: Duration, latency: Duration) -> f64 {
        let sample = latency.as_secs_f64();
        let mean = self.latency.unwrap_or(sample);
        let weight = elapsed.div_duration_f64(LATENCY_FADE).min(LATENCY_WEIGHT);
        let clipped = sample.min(mean * LATENCY_CLIP);
        self.latency = Some(mean + (clipped - mean) * weight);
        let slow = sample > mean * SLOW_FACTOR + SLOW_SLACK.as_secs_f64();
        if slow { SLOW_FAILURE } else { 0.0 }
    }

    fn path(&self, now: clock::Instant) -> Option<f64> {
        let age = now.saturating_since(self.sampled?);
        (age < PATH_FRESH).then(|| self.failures / self.total.max(ENOUGH))
    }

    fn fresh_probe(&self, now: clock::Instant) -> Option<Probe> {
        let (at, probe) = self.probe?;
        (now.saturating_since(at) < PROBE_FRESH).then_some(probe)
    }
}
