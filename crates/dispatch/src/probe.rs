//! Whether it is worth asking around for a free slot.
//!
//! In a service that is full, a request that asks several backend servers for a free slot
//! finds none. Its messages then only add to the work of nodes that have a small part of a
//! core, and make every other message late.

/// Weight of a new outcome in the share of probes that found a slot.
const SMOOTHING: f64 = 0.1;
/// Share of probes that find a slot below which most requests do without them.
const WORTH_IT: f64 = 0.3;
/// Requests without probes for each one that probes, to notice that slots are free again.
const TRIAL_EVERY: u32 = 8;

/// Probes of one service, as a node has seen them end.
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
    found: f64,
    skipped: u32,
}

impl Default for Probes {
    fn default() -> Self {
        Self::new()
    }
}

impl Probes {
    /// Makes a record in which probes find slots.
    pub const fn new() -> Self {
        Self {
            found: 1.0,
            skipped: 0,
        }
    }

    /// Decides for one request whether it probes.
    pub const fn allow_probe(&mut self) -> bool {
        if self.found >= WORTH_IT {
            return true;
        }
        self.skipped = (self.skipped + 1) % TRIAL_EVERY;
        self.skipped == 0
    }

    /// Records whether a probe found a slot.
    pub fn record(&mut self, found: bool) {
        let found = f64::from(u8::from(found));
        self.found += SMOOTHING * (found - self.found);
    }
}
