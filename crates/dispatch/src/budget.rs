//! Budget for sending a request a second time.
//!
//! All nodes share one budget per service, but a request cannot wait until they
//! agree. Each node therefore spends only what its own requests have earned
//! and its part of the fixed allowance.

use std::time::Duration;

use sequoiayoke_model::clock;

/// Part of the shared ratio that a node uses; the rest covers requests that
/// are counted in another window than the one they were sent in.
const RATIO_USED: f64 = 0.5;
/// Tokens that a node keeps at most, so that a long calm does not pay for a storm.
const MAX_EARNED: f64 = 20.0;
/// Part of the fixed allowance that all nodes together use.
const ALLOWANCE_USED: f64 = 0.5;

/// Bounds on second sendings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Second sendings for each first one.
    pub ratio: f64,
    /// Second sendings in a window beyond the ratio, of all nodes together.
    pub allowance: f64,
    /// The window.
    pub window: Duration,
}

/// Tokens of one node for one service.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use sequoiayoke_dispatch::budget;
/// use sequoiayoke_model::clock;
///
/// let config = budget::Config { ratio: 0.2, allowance: 40.0, window: Duration::from_secs(10) };
/// let mut budget = budget::Budget::new(config);
/// let now = clock::Instant::from_micros(0);
/// assert!(budget.spend(now, 10));
/// ```
#[derive(Clone, Debug)]
pub struct Budget {
    config: Config,
    earned: f64,
    allowance: f64,
    updated: Option<clock::Instant>,
}

impl Budget {
    /// Makes a budget with its whole allowance.
    pub const fn new(config: Config) -> Self {
        Self {
            config,
            earned: 0.0,
            allowance: 1.0,
            updated: None,
        }
    }

    /// Returns the second sendings that requests have earned and that are not spent.
    pub const fn earned(&self) -> f64 {
        self.earned
    }

    /// Changes the bounds; what was earned or spent so far still counts.
    pub const fn set_config(&mut self, config: Config) {
        self.config = config;
    }

    /// Records the first sending of a request.
    pub fn earn(&mut self) {
        self.earned = (self.earned + self.config.ratio * RATIO_USED).min(MAX_EARNED);
    }

    /// Takes one token, where `nodes` share the allowance; returns whether there was one.
    pub fn spend(&mut self, now: clock::Instant, nodes: usize) -> bool {
        let part = self.config.allowance * ALLOWANCE_USED / nodes.max(1) as f64;
        let elapsed = self
            .updated
            .map_or(Duration::ZERO, |updated| now.saturating_since(updated));
        self.updated = Some(now);
        // The allowance is a fraction that refills within one window.
        let refill = elapsed.as_secs_f64() / self.config.window.as_secs_f64();
        self.allowance = (self.allowance + refill).min(1.0);
        if self.earned >= 1.0 {
            self.earned -= 1.0;
            return true;
        }
        let cost = if part > 0.0 { 1.0 / part } else { 2.0 };
        if self.allowance >= cost {
            self.allowance -= cost;
            return true;
        }
        false
    }
}
