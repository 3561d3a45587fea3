//! Rate limit for log lines about single requests.

use std::time::Duration;

use sequoiayoke_model::clock;

/// Limit on the log lines in each interval; lines above it are skipped and counted.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use sequoiayoke_dispatch::quota;
/// use sequoiayoke_model::clock;
///
/// let mut quota = quota::Quota::new(1, Duration::from_secs(1));
/// let now = clock::Instant::from_micros(0);
/// assert!(quota.take(now));
/// assert!(!quota.take(now));
/// assert_eq!(quota.take_skipped(), 1);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Quota {
    limit: u32,
    interval: Duration,
    start: Option<clock::Instant>,
    used: u32,
    skipped: u64,
}

impl Quota {
    /// Creates a quota of `limit` lines in each `interval`.
    pub const fn new(limit: u32, interval: Duration) -> Self {
        Self {
            limit,
            interval,
            start: None,
            used: 0,
            skipped: 0,
        }
    }

    /// Takes one line from the quota and returns whether there was one left.
    pub fn take(&mut self, now: clock::Instant) -> bool {
        let is_over = |start| now.saturating_since(start) >= self.interval;
        if self.start.is_none_or(is_over) {
            (self.start, self.used) = (Some(now), 0);
        }
        if self.used >= self.limit {
            self.skipped += 1;
            return false;
        }
        self.used += 1;
        true
    }

    /// Returns the number of lines skipped since the last call, and resets it.
    pub fn take_skipped(&mut self) -> u64 {
        std::mem::take(&mut self.skipped)
    }
}
