//! How many of the requests at one backend server fail.

/// Weight of a new outcome.
const SMOOTHING: f64 = 0.05;
/// What is left of the share after a report without outcomes; without its keys a backend
/// server gets some back within about 8 s and shows whether it still fails.
const FADE: f64 = 0.92;

/// Share of failed requests, with older ones counting less.
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
    failing: f64,
    fresh: bool,
}

impl Outcomes {
    /// Makes a record without failures.
    pub const fn new() -> Self {
        Self {
            failing: 0.0,
            fresh: false,
        }
    }

    /// Records whether a request failed.
    pub fn add(&mut self, failed: bool) {
        let failed = f64::from(u8::from(failed));
        self.failing += SMOOTHING * (failed - self.failing);
        self.fresh = true;
    }

    /// Returns the share of failures, from 0 to 1; call it at regular times.
    pub const fn report(&mut self) -> f64 {
        if !self.fresh {
            self.failing *= FADE;
        }
        self.fresh = false;
        self.failing
    }
}
