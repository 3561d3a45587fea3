//! Health of the backend server as its own node sees it.
//!
//! The health endpoint lags and is sometimes wrong, so the outcomes of real requests
//! have more weight than its responses.

use std::time::Duration;

use sequoiayoke_model::clock;

/// Time constant of the decay of the weight of older requests.
const DECAY_TIME: Duration = Duration::from_secs(2);
/// Total weight below which requests do not decay, so that the few requests that a
/// nearly idle or shedding node sends still count.
const DECAY_FLOOR: f64 = 4.0;
/// Smallest divisor of the failure share, so that a few requests do not decide it.
const SAMPLES_MIN: f64 = 3.0;
/// Age from which the last request is ignored.
const SAMPLE_AGE_MAX: Duration = Duration::from_secs(15);
/// Age from which the last probe is ignored.
const PROBE_AGE_MAX: Duration = Duration::from_secs(10);
/// Weight of the endpoint when there are recent requests. It is below `SUSPECT_ENTER`,
/// so the endpoint cannot outweigh requests that succeed.
const PROBE_WEIGHT: f64 = 0.2;
/// Weight of the endpoint without recent requests. It is below `FAILING_ENTER`, so the
/// endpoint alone never causes slices to move.
const PROBE_ONLY_WEIGHT: f64 = 0.5;
/// Score from which a server becomes suspect, and below which it recovers from that.
const SUSPECT_ENTER: f64 = 0.25;
const SUSPECT_EXIT: f64 = 0.15;
/// Score from which a server becomes failing, and below which it recovers from that.
const FAILING_ENTER: f64 = 0.6;
const FAILING_EXIT: f64 = 0.3;
/// Time for which the score has to stay low before the state improves.
const HOLD: Duration = Duration::from_secs(3);
/// The same without recent requests. Once the slices of a failing server have moved away,
/// only the endpoint reports on it, and it may have reported the server as healthy while
/// requests failed.
const HOLD_PROBE_ONLY: Duration = Duration::from_secs(30);
/// A response is slow above this multiple of the mean latency plus `SLOW_SLACK`.
const SLOW_FACTOR: f64 = 10.0;
const SLOW_SLACK: Duration = Duration::from_millis(100);
/// Share of a failure that a slow response counts as. Slow responses alone, even with
/// an unhealthy endpoint, keep the score below `FAILING_ENTER`.
const SLOW_FAILURE: f64 = 0.4;
/// Gap between two calls of [`Monitor::record_alive`] after which the monitor's own process
/// counts as suspended; several times the pause between two calls.
const SUSPENSION_GAP: Duration = Duration::from_millis(600);
/// Time after a suspension in which overdue requests are ignored, since their responses
/// may have arrived without the suspended process reading them.
const RESUME_GRACE: Duration = Duration::from_secs(1);
/// Time constant of the mean latency. It is long, so that a server that becomes slow
/// is compared with its earlier latency.
const LATENCY_DECAY_TIME: Duration = Duration::from_secs(30);
/// Largest weight of a response in the mean latency.
const LATENCY_WEIGHT: f64 = 1.0 / 64.0;
/// Multiple of the mean latency to which a response is clipped before it is averaged.
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
    /// No request is answered at all, as reported by [`Gate::is_unresponsive`]. It is
    /// repeated with each report while that lasts.
    ///
    /// [`Gate::is_unresponsive`]: crate::admission::gate::Gate::is_unresponsive
    Unresponsive,
}

/// Result of a request to the health endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Probe {
    /// It reported the server as healthy.
    Healthy,
    /// It reported the server as unhealthy.
    Unhealthy,
    /// It did not respond.
    Unresponsive,
}

/// Health state of the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum State {
    /// It serves requests normally.
    Healthy,
    /// It should get no additional slices.
    Suspect,
    /// Its slices should move away.
    Failing,
}

/// Health of the backend server, as reported to control.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// The health state.
    pub state: State,
    /// Weighted share of failures, from 0 to 1.
    pub score: f64,
    /// Share of failures among recent requests, or `None` without recent ones.
    pub failure_share: Option<f64>,
    /// Last result of the health endpoint, if it is recent.
    pub probe: Option<Probe>,
    /// Mean latency of recent responses.
    pub latency: Duration,
}

/// Tracks the health of one backend server.
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
    last_sample: Option<clock::Instant>,
    // Mean latency in seconds, or `None` before the first response.
    latency: Option<f64>,
    probe: Option<(clock::Instant, Probe)>,
    state: State,
    // Time since which the score has allowed a better state.
    improving_since: Option<clock::Instant>,
    started: clock::Instant,
    last_alive: clock::Instant,
    resumed: Option<clock::Instant>,
}

impl Monitor {
    /// Creates a monitor of a server that is assumed to be healthy.
    pub const fn new(now: clock::Instant) -> Self {
        Self {
            total: 0.0,
            failures: 0.0,
            last_sample: None,
            latency: None,
            probe: None,
            state: State::Healthy,
            improving_since: None,
            started: now,
            last_alive: now,
            resumed: None,
        }
    }

    /// Records that the process runs; call it several times per second.
    ///
    /// After a suspension of the process, earlier samples and the timeouts of requests that
    /// were in flight are ignored, since they do not depend on the backend server alone.
    pub fn record_alive(&mut self, now: clock::Instant) {
        if now.saturating_since(self.last_alive) >= SUSPENSION_GAP {
            *self = Self {
                resumed: Some(now),
                ..Self::new(now)
            };
        }
        self.last_alive = now;
    }

    /// Records what happened to a request that was sent at `sent`.
    ///
    /// Returns `false` if the sample was ignored because the process was suspended.
    pub fn observe(&mut self, now: clock::Instant, sent: clock::Instant, sample: Sample) -> bool {
        self.record_alive(now);
        let may_be_stale = |resumed: clock::Instant| match sample {
            Sample::Answered(_) => false,
            Sample::TimedOut | Sample::Failed => sent <= resumed,
            Sample::Unresponsive => now.saturating_since(resumed) < RESUME_GRACE,
        };
        if self.resumed.is_some_and(may_be_stale) {
            return false;
        }
        let elapsed = now.saturating_since(self.last_sample.unwrap_or(self.started));
        self.decay(elapsed);
        self.total += 1.0;
        self.failures += match sample {
            Sample::Answered(latency) => self.record_latency(elapsed, latency),
            Sample::TimedOut | Sample::Failed => 1.0,
            Sample::Unresponsive => {
                // Responses from before the server stopped no longer count.
                self.total = DECAY_FLOOR;
                DECAY_FLOOR - self.failures
            }
        };
        self.last_sample = Some(now);
        true
    }

    /// Records a result of the health endpoint.
    pub const fn record_probe(&mut self, now: clock::Instant, probe: Probe) {
        self.probe = Some((now, probe));
    }

    /// Updates the state and returns the report at `now`.
    ///
    /// Call it at least once per second, since the state improves only after the score
    /// was low in the calls of several seconds.
    pub fn report(&mut self, now: clock::Instant) -> Report {
        let failure_share = self.failure_share(now);
        let probe = self.fresh_probe(now);
        let unhealthy = f64::from(u8::from(probe.is_some_and(|probe| probe != Probe::Healthy)));
        let score = match failure_share {
            Some(failure_share) => (1.0 - PROBE_WEIGHT) * failure_share + PROBE_WEIGHT * unhealthy,
            None => PROBE_ONLY_WEIGHT * unhealthy,
        };
        self.update_state(now, score, failure_share.is_some());
        Report {
            state: self.state,
            score,
            failure_share,
            probe,
            latency: Duration::from_secs_f64(self.latency.unwrap_or(0.0)),
        }
    }

    fn update_state(&mut self, now: clock::Instant, score: f64, has_samples: bool) {
        let entry_state = match score {
            _ if score >= FAILING_ENTER => State::Failing,
            _ if score >= SUSPECT_ENTER => State::Suspect,
            _ => State::Healthy,
        };
        let exit_state = match self.state {
            State::Failing if score < FAILING_EXIT => State::Suspect,
            State::Suspect if score < SUSPECT_EXIT => State::Healthy,
            state => state,
        };
        if entry_state > self.state {
            self.state = entry_state;
            self.improving_since = None;
        } else if exit_state < self.state {
            let since = *self.improving_since.get_or_insert(now);
            let hold = if has_samples { HOLD } else { HOLD_PROBE_ONLY };
            if now.saturating_since(since) >= hold {
                self.state = exit_state;
                self.improving_since = None;
            }
        } else {
            self.improving_since = None;
        }
    }

    /// Reduces the weight of older requests; their share of failures stays the same.
    fn decay(&mut self, elapsed: Duration) {
        let decayed = self.total * (-elapsed.div_duration_f64(DECAY_TIME)).exp();
        let floored = decayed.max(self.total.min(DECAY_FLOOR));
        if self.total > 0.0 {
            self.failures *= floored / self.total;
            self.total = floored;
        }
    }

    /// Records the latency of a response and returns the share of a failure that it counts as.
    fn record_latency(&mut self, elapsed: Duration, latency: Duration) -> f64 {
        let sample = latency.as_secs_f64();
        let mean = self.latency.unwrap_or(sample);
        let weight = elapsed
            .div_duration_f64(LATENCY_DECAY_TIME)
            .min(LATENCY_WEIGHT);
        let clipped = sample.min(mean * LATENCY_CLIP);
        self.latency = Some(mean + (clipped - mean) * weight);
        let slow = sample > mean * SLOW_FACTOR + SLOW_SLACK.as_secs_f64();
        if slow { SLOW_FAILURE } else { 0.0 }
    }

    fn failure_share(&self, now: clock::Instant) -> Option<f64> {
        let age = now.saturating_since(self.last_sample?);
        (age < SAMPLE_AGE_MAX).then(|| self.failures / self.total.max(SAMPLES_MIN))
    }

    fn fresh_probe(&self, now: clock::Instant) -> Option<Probe> {
        let (probed_at, probe) = self.probe?;
        (now.saturating_since(probed_at) < PROBE_AGE_MAX).then_some(probe)
    }
}
