//! Outages of keys, that is, times in which no owner answered the requests for a key.
//!
//! An outage of a key begins when its first unanswered request was due, and ends when
//! a request that was due later is answered. This overstates the outages of keys with
//! few requests, so the figure is meaningful only for frequently used keys.

use std::collections;
use std::time::Duration;

use serde::Serialize;

use sequoiayoke_model::key;

/// Largest number of open outages that are tracked; further ones are counted as missed.
const MAX_OPEN_OUTAGES: usize = 1 << 16;

/// Figures about the outages of all keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Summary {
    /// Outages that ended.
    pub ended: u64,
    /// Longest outage that ended, in milliseconds.
    pub longest_ms: u64,
    /// Outages that were still open at the end of the run.
    pub open: u64,
    /// Longest open outage, up to the end of the last request for the key, in milliseconds.
    pub longest_open_ms: u64,
    /// Unanswered requests whose outages were not tracked because too many were open.
    pub missed: u64,
}

#[derive(Clone, Copy, Debug)]
struct Outage {
    start: Duration,
    last_end: Duration,
}

/// Tracks the outages of keys.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use sequoiayoke_emulator::load::outage;
/// use sequoiayoke_model::key;
///
/// let ms = Duration::from_millis;
/// let mut outages = outage::Outages::default();
/// outages.record(key::Hash(1), ms(100), ms(5), false);
/// outages.record(key::Hash(1), ms(400), ms(20), true);
/// assert_eq!(outages.summary().longest_ms, 320);
/// ```
#[derive(Debug, Default)]
pub struct Outages {
    open: collections::HashMap<key::Hash, Outage>,
    summary: Summary,
}

impl Outages {
    /// Records a request that was due at `due` and finished `latency` later.
    pub fn record(
        &mut self,
        key_hash: key::Hash,
        due: Duration,
        latency: Duration,
        answered: bool,
    ) {
        let is_full = self.open.len() >= MAX_OPEN_OUTAGES;
        match self.open.get_mut(&key_hash) {
            // Responses arrive out of order; a request due before the outage does not end it.
            Some(outage) if answered && due > outage.start => {
                let duration = (due + latency).saturating_sub(outage.start);
                self.summary.ended += 1;
                self.summary.longest_ms = self.summary.longest_ms.max(millis(duration));
                self.open.remove(&key_hash);
            }
            Some(outage) if !answered => {
                outage.start = outage.start.min(due);
                outage.last_end = outage.last_end.max(due + latency);
            }
            None if !answered && is_full => self.summary.missed += 1,
            None if !answered => {
                let last_end = due + latency;
                self.open.insert(
                    key_hash,
                    Outage {
                        start: due,
                        last_end,
                    },
                );
            }
            _ => {}
        }
    }

    /// Returns the figures about the outages so far.
    pub fn summary(&self) -> Summary {
        let durations = self
            .open
            .values()
            .map(|outage| outage.last_end - outage.start);
        Summary {
            open: self.open.len() as u64,
            longest_open_ms: durations.max().map_or(0, millis),
            ..self.summary
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
