//! Failure rate of the requests at one backend server.

/// Weight of a new outcome in the exponential moving average.
const SMOOTHING_FACTOR: f64 = 0.05;
/// Factor applied to the failure rate at a report without new outcomes. A backend server whose
/// keys were moved away gets some back within about 8 s, which shows whether it still fails.
const IDLE_DECAY: f64 = 0.92;

/// Exponential moving average of failed requests.
///
/// # Examples
///
/// ```
/// use sequoiayoke_dispatch::outcomes;
///
/// let mut outcomes = outcomes::Outcomes::new();
/// for _ in 0..100 {
///     outcomes.add(true);
/// }
/// assert!(outcomes.report() > 0.9);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Outcomes {
    failure_rate: f64,
    has_new_outcomes: bool,
}

impl Outcomes {
    /// Creates a record without failures.
    pub const fn new() -> Self {
        Self {
            failure_rate: 0.0,
            has_new_outcomes: false,
        }
    }

    /// Records whether a request failed.
    pub fn add(&mut self, failed: bool) {
        let failed = f64::from(u8::from(failed));
        self.failure_rate += SMOOTHING_FACTOR * (failed - self.failure_rate);
        self.has_new_outcomes = true;
    }

    /// Returns the failure rate, from 0 to 1.
    ///
    /// Must be called at regular intervals, because the rate decays with each call that follows
    /// no new outcome.
    pub const fn report(&mut self) -> f64 {
        if !self.has_new_outcomes {
            self.failure_rate *= IDLE_DECAY;
        }
        self.has_new_outcomes = false;
        self.failure_rate
    }
}
