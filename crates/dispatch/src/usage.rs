//! Slot time that the requests of each key use at a backend server.

use sequoiayoke_catalog::slice;
use serde::{Deserialize, Serialize};

/// Number of keys of a service.
const KEY_COUNT: usize = slice::Key::MAX as usize + 1;

/// A contiguous range of keys with a similar load to the other parts of one report.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// Range of keys.
    pub range: slice::Range,
    /// Load of the range, in slot seconds per second.
    pub load: f64,
}

/// Decaying rate of slot time used by each key.
///
/// # Examples
///
/// ```
/// use sequoiayoke_dispatch::usage;
///
/// let mut usage = usage::Usage::new();
/// usage.add(7, 0.2);
/// usage.update_rates(1.0);
/// assert_eq!(usage.parts(4).len(), 1);
/// ```
#[derive(Debug)]
pub struct Usage {
    recorded: Vec<f32>,
    rate: Vec<f32>,
}

impl Default for Usage {
    fn default() -> Self {
        Self::new()
    }
}

impl Usage {
    /// Creates an empty record.
    pub fn new() -> Self {
        Self {
            recorded: vec![0.0; KEY_COUNT],
            rate: vec![0.0; KEY_COUNT],
        }
    }

    /// Records that a request of `key` occupied a slot for `seconds`.
    pub fn add(&mut self, key: slice::Key, seconds: f64) {
        self.recorded[usize::from(key)] += seconds as f32;
    }

    /// Updates the rates from the time recorded in the last `seconds`, and resets that record.
    pub fn update_rates(&mut self, seconds: f64) {
        let scale = 1.0 / seconds.max(0.001) as f32;
        for (recorded, rate) in self.recorded.iter_mut().zip(&mut self.rate) {
            let new_rate = *recorded * scale;
            *rate = *rate * 0.5 + new_rate * 0.5;
            *recorded = 0.0;
        }
    }

    /// Divides the keys into about `count` ranges of similar load.
    ///
    /// Keys without load at either end of a part are left out. A key with the load of a whole
    /// part ends the part before it, so there may be more than `count` parts.
    pub fn parts(&self, count: usize) -> Vec<Part> {
        let total: f64 = self.rate.iter().map(|rate| f64::from(*rate)).sum();
        if total <= 0.0 {
            return Vec::new();
        }
        let target = total / count as f64;
        let mut parts: Vec<Part> = Vec::new();
        let mut current: Option<Part> = None;
        for (key, rate) in self.rate.iter().enumerate() {
            if *rate <= 1e-6 {
                continue;
            }
            let (key, rate) = (key as slice::Key, f64::from(*rate));
            let part = current.get_or_insert(Part {
                range: slice::Range::new(key, key),
                load: 0.0,
            });
            // A hot key becomes a part of its own, so that it can move without its neighbours.
            if rate >= target && part.load > 0.0 {
                parts.push(*part);
                *part = Part {
                    range: slice::Range::new(key, key),
                    load: 0.0,
                };
            }
            part.range.last = key;
            part.load += rate;
            if part.load >= target {
                parts.push(*part);
                current = None;
            }
        }
        parts.extend(current);
        parts
    }
}
