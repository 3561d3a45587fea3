//! Estimates of the service times of one backend server.

use std::collections;
use std::time::Duration;

use sequoiayoke_model::clock;

use crate::speed;

/// Weight of a new observation in the exponential moving averages.
const SMOOTHING_FACTOR: f64 = 0.1;
/// Number of first observations that are averaged with equal weight, so that a node that has
/// just started learns the service time of a cold backend server quickly.
const WARM_UP_OBSERVATIONS: u32 = 10;
/// Service time assumed before the first observation, in seconds.
const INITIAL_SERVICE_TIME_S: f64 = 0.1;
/// Largest service time that is assumed before the first observation of a class, as a fraction of its
/// target: a target leaves room for some wait.
const TARGET_FRACTION: f64 = 0.5;

/// Exponential moving average in seconds, with the mean absolute deviation from it.
#[derive(Clone, Copy, Debug, Default)]
struct MovingAverage {
    value_s: f64,
    deviation_s: f64,
    count: u32,
}

impl MovingAverage {
    fn add(&mut self, seconds: f64) {
        self.count = (self.count + 1).min(WARM_UP_OBSERVATIONS);
        let weight = SMOOTHING_FACTOR.max(1.0 / f64::from(self.count));
        let distance = (seconds - self.value_s).abs();
        self.value_s += weight * (seconds - self.value_s);
        // The first observation becomes the mean, so it has no deviation.
        if self.count > 1 {
            self.deviation_s += weight * (distance - self.deviation_s);
        }
    }
}

/// Service times by class, and of all classes, at the usual speed, and the present speed.
#[derive(Debug)]
pub(super) struct ServiceTimes {
    overall: MovingAverage,
    classes: collections::HashMap<u64, MovingAverage>,
    speed: speed::Speed,
}

impl ServiceTimes {
    pub(super) fn new() -> Self {
        Self {
            overall: MovingAverage {
                value_s: INITIAL_SERVICE_TIME_S,
                deviation_s: 0.0,
                count: 0,
            },
            classes: collections::HashMap::new(),
            speed: speed::Speed::new(),
        }
    }

    pub(super) const fn speed(&self) -> &speed::Speed {
        &self.speed
    }

    pub(super) const fn speed_mut(&mut self) -> &mut speed::Speed {
        &mut self.speed
    }

    /// Estimates the service time of a class without an observation: the overall mean, or less if the
    /// target of the request is short.
    ///
    /// A backend server that is full of long requests would refuse all short ones otherwise, and never
    /// observe how long they run.
    pub(super) fn assume(&mut self, class: u64, target: Duration) {
        let estimate_s = self.overall.value_s;
        let estimate_s = estimate_s.min(target.as_secs_f64() * TARGET_FRACTION);
        self.classes.entry(class).or_insert(MovingAverage {
            value_s: estimate_s,
            ..MovingAverage::default()
        });
    }

    /// Records a service time under this slowness.
    pub(super) fn observe(&mut self, class: u64, run_time: Duration, slowness: f64) {
        let usual_s = run_time.as_secs_f64() / slowness.max(f64::EPSILON);
        self.overall.add(usual_s);
        self.classes.entry(class).or_default().add(usual_s);
    }

    /// Returns the mean of all requests that start at `now`, in seconds.
    pub(super) fn mean_s(&self, now: clock::Instant) -> f64 {
        self.overall.value_s * self.speed.slowness(now)
    }

    /// Returns the mean of all requests at the mean speed, in seconds.
    pub(super) fn usual_s(&self) -> f64 {
        self.overall.value_s * self.speed.usual()
    }

    /// Returns the expected service time of a request of `class` that starts at `now`.
    pub(super) fn expected(&self, now: clock::Instant, class: u64) -> Duration {
        let seconds = self.class(class).value_s * self.speed.slowness(now);
        Duration::from_secs_f64(seconds)
    }

    /// Returns the mean absolute deviation of the service time of `class`.
    pub(super) fn deviation(&self, now: clock::Instant, class: u64) -> Duration {
        let seconds = self.class(class).deviation_s * self.speed.slowness(now);
        Duration::from_secs_f64(seconds)
    }

    fn class(&self, class: u64) -> MovingAverage {
        let average = self.classes.get(&class).copied();
        average.unwrap_or(self.overall)
    }
}
