//! Speed of a backend server, as it states it with its responses.
//!
//! Backend servers share their machines with others, so that the same work may take three times as
//! long for some hundred milliseconds. The statement is recent while requests are answered; between
//! answers it loses weight, since the speed changes several times in a second.

use std::time::Duration;

use sequoiayoke_model::clock;

/// Time constant with which a statement loses its weight.
const DECAY_TIME: Duration = Duration::from_millis(400);
/// Smallest and largest plausible slowness.
const PLAUSIBLE: std::ops::RangeInclusive<f64> = 0.1..=100.0;
/// Weight of a new statement in the usual slowness.
const SMOOTHING_FACTOR: f64 = 0.02;

/// Slowness of a backend server: the time that work takes, relative to its usual time.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use sequoiayoke_dispatch::speed;
/// use sequoiayoke_model::clock;
///
/// let now = clock::Instant::from_micros(0);
/// let mut speed = speed::Speed::new();
/// assert_eq!(speed.slowness(now), 1.0);
/// speed.record(now, 3.0);
/// assert!(speed.slowness(now) > 2.9);
/// assert!(speed.slowness(now + Duration::from_secs(4)) < 1.1);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    latest: Option<(f64, clock::Instant)>,
    usual: f64,
}

impl Default for Speed {
    fn default() -> Self {
        Self::new()
    }
}

impl Speed {
    /// Creates the speed of a backend server that has stated nothing.
    pub const fn new() -> Self {
        Self {
            latest: None,
            usual: 1.0,
        }
    }

    /// Records a statement; implausible ones are ignored.
    pub fn record(&mut self, now: clock::Instant, slowness: f64) {
        if PLAUSIBLE.contains(&slowness) {
            self.latest = Some((slowness, now));
            self.usual += SMOOTHING_FACTOR * (slowness - self.usual);
        }
    }

    /// Returns the slowness that work which starts at `now` is expected to have.
    pub fn slowness(&self, now: clock::Instant) -> f64 {
        let Some((latest, at)) = self.latest else {
            return self.usual;
        };
        let weight = (-now.saturating_since(at).div_duration_f64(DECAY_TIME)).exp();
        self.usual + weight * (latest - self.usual)
    }

    /// Returns the mean slowness.
    pub const fn usual(&self) -> f64 {
        self.usual
    }
}
