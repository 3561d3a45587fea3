//! Retry budget.
//!
//! All nodes share one budget per service, but a request cannot wait for them to coordinate.
//! Each node therefore spends only the tokens that its own requests have earned and its share of
//! the fixed allowance.

use std::time::Duration;

use sequoiayoke_model::clock;

/// Fraction of the configured ratio that a node uses; the rest covers requests that are counted
/// in a different window than the one they were sent in.
const RATIO_FRACTION: f64 = 0.5;
/// Maximum number of earned tokens that a node keeps, so that a long time without failures does
/// not allow a retry storm.
const MAX_EARNED_TOKENS: f64 = 20.0;
/// Fraction of the fixed allowance that all nodes together use.
const ALLOWANCE_FRACTION: f64 = 0.5;

/// Limits on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Config {
    /// Number of retries for each first attempt.
    pub ratio: f64,
    /// Number of retries in a window above the ratio, over all nodes.
    pub allowance: f64,
    /// Length of the window.
    pub window: Duration,
}

/// Retry tokens of one node for one service.
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
    /// Creates a budget with its full allowance.
    pub const fn new(config: Config) -> Self {
        Self {
            config,
            earned: 0.0,
            allowance: 1.0,
            updated: None,
        }
    }

    /// Returns the number of tokens that were earned and not spent.
    pub const fn earned(&self) -> f64 {
        self.earned
    }

    /// Sets the limits; tokens earned or spent before remain counted.
    pub const fn set_config(&mut self, config: Config) {
        self.config = config;
    }

    /// Earns tokens for the first attempt of a request.
    pub fn earn(&mut self) {
        self.earned = (self.earned + self.config.ratio * RATIO_FRACTION).min(MAX_EARNED_TOKENS);
    }

    /// Spends one token for a retry and returns whether there was one.
    ///
    /// The fixed allowance is divided between `nodes`.
    pub fn spend(&mut self, now: clock::Instant, nodes: usize) -> bool {
        let node_allowance = self.config.allowance * ALLOWANCE_FRACTION / nodes.max(1) as f64;
        let elapsed = self
            .updated
            .map_or(Duration::ZERO, |updated| now.saturating_since(updated));
        self.updated = Some(now);
        // `allowance` is the unspent fraction of this node's allowance, refilled within one window.
        let refill = elapsed.as_secs_f64() / self.config.window.as_secs_f64();
        self.allowance = (self.allowance + refill).min(1.0);
        if self.earned >= 1.0 {
            self.earned -= 1.0;
            return true;
        }
        let cost = if node_allowance > 0.0 {
            1.0 / node_allowance
        } else {
            2.0
        };
        if self.allowance >= cost {
            self.allowance -= cost;
            return true;
        }
        false
    }
}
