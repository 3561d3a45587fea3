//! Limit on probes of backend servers for a free slot.
//!
//! In an overloaded service, a request that probes several backend servers finds no free slot.
//! Its messages then only add load to the nodes, which run on a small part of a core, and delay
//! all other messages.

/// Weight of a new outcome in the moving average of successful probes.
const SMOOTHING_FACTOR: f64 = 0.1;
/// Success rate below which most requests send no probes.
const MIN_SUCCESS_RATE: f64 = 0.3;
/// Number of requests of which one probes while the success rate is low, to detect free slots.
const TRIAL_INTERVAL: u32 = 8;

/// Success rate of the probes that a node sent to one service.
///
/// # Examples
///
/// ```
/// use sequoiayoke_dispatch::probe;
///
/// let mut probes = probe::Probes::new();
/// assert!(probes.allow_probe());
/// ```
#[derive(Clone, Debug)]
pub struct Probes {
    success_rate: f64,
    skipped: u32,
}

impl Default for Probes {
    fn default() -> Self {
        Self::new()
    }
}

impl Probes {
    /// Creates a record in which all probes have succeeded.
    pub const fn new() -> Self {
        Self {
            success_rate: 1.0,
            skipped: 0,
        }
    }

    /// Decides whether one request may probe, and counts the requests that may not.
    pub const fn allow_probe(&mut self) -> bool {
        if self.success_rate >= MIN_SUCCESS_RATE {
            return true;
        }
        self.skipped = (self.skipped + 1) % TRIAL_INTERVAL;
        self.skipped == 0
    }

    /// Records whether a probe found a free slot.
    pub fn record(&mut self, has_found_slot: bool) {
        let outcome = f64::from(u8::from(has_found_slot));
        self.success_rate += SMOOTHING_FACTOR * (outcome - self.success_rate);
    }
}
