//! Limit on the restarts of a supervisor's children.

use std::collections;
use std::time;

/// Budget of at most `restarts` restarts within any `window`.
#[derive(Clone, Debug)]
pub struct Budget {
    restarts: usize,
    window: time::Duration,
    recent: collections::VecDeque<time::Duration>,
}

impl Budget {
    /// Creates an unused budget.
    pub fn new(restarts: usize, window: time::Duration) -> Self {
        Self {
            restarts,
            window,
            recent: collections::VecDeque::with_capacity(restarts),
        }
    }

    /// Consumes one restart at `now` if one is left, and returns whether it did. `now` is the
    /// time since any fixed origin.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use sequoiayoke_supervise::budget;
    ///
    /// let mut budget = budget::Budget::new(1, Duration::from_secs(10));
    /// assert!(budget.take(Duration::from_secs(0)));
    /// assert!(!budget.take(Duration::from_secs(5)));
    /// assert!(budget.take(Duration::from_secs(11)));
    /// ```
    pub fn take(&mut self, now: time::Duration) -> bool {
        while let Some(first) = self.recent.front() {
            if now.saturating_sub(*first) < self.window {
                break;
            }
            self.recent.pop_front();
        }
        if self.recent.len() >= self.restarts {
            return false;
        }
        self.recent.push_back(now);
        true
    }
}
