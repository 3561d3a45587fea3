//! How long keys had no owner that could be reached.
//!
//! An outage of a key begins when its first unsuccessful request was due, and ends
//! when a request that was due later has been answered. With few requests for a key
//! this overstates the time, so the figure counts for keys that are used often.

use std::collections;
use std::time::Duration;

use serde::Serialize;

use sequoiayoke_model::key;

/// Keys whose open outages are remembered; outages beyond are counted as missed.
const MAX_OPEN: usize = 1 << 16;

/// Outages of all keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Summary {
    /// Outages that have ended.
    pub ended: u64,
    /// Longest of them, in milliseconds.
    pub longest_ms: u64,
    /// Outages that had not ended with the run.
    pub open: u64,
    /// Longest of them up to the last request for the key, in milliseconds.
    pub longest_open_ms: u64,
    /// Outages that were not followed because too many were open.
    pub missed: u64,
}

#[derive(Clone, Copy, Debug)]
struct Open {
    from: Duration,
    last: Duration,
}

/// Follows the outages of keys.
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
/// outages.add(key::Hash(1), ms(100), ms(5), false);
/// outages.add(key::Hash(1), ms(400), ms(20), true);
/// assert_eq!(outages.summary().longest_ms, 320);
/// ```
#[derive(Debug, Default)]
pub struct Outages {
    open: collections::HashMap<key::Hash, Open>,
    summary: Summary,
}

impl Outages {
    /// Adds a request that was due at `at` and ended `latency` later.
    pub fn add(&mut self, place: key::Hash, at: Duration, latency: Duration, good: bool) {
        let full = self.open.len() >= MAX_OPEN;
        match self.open.get_mut(&place) {
            // Answers arrive out of order; an earlier request tells nothing about the end.
            Some(open) if good && at > open.from => {
                let length = (at + latency).saturating_sub(open.from);
                self.summary.ended += 1;
                self.summary.longest_ms = self.summary.longest_ms.max(millis(length));
                self.open.remove(&place);
            }
            Some(open) if !good => {
                open.from = open.from.min(at);
                open.last = open.last.max(at + latency);
            }
            None if !good && full => self.summary.missed += 1,
            None if !good => {
                let last = at + latency;
                self.open.insert(place, Open { from: at, last });
            }
            _ => {}
        }
    }

    /// Returns the outages so far.
    pub fn summary(&self) -> Summary {
        let lengths = self.open.values().map(|open| open.last - open.from);
        Summary {
            open: self.open.len() as u64,
            longest_open_ms: lengths.max().map_or(0, millis),
            ..self.summary
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
