//! How much of a backend server's time each key takes.

use sequoiayoke_catalog::slice;
use serde::{Deserialize, Serialize};

/// Keys of a service.
const KEYS: usize = slice::Key::MAX as usize + 1;

/// A run of keys that takes about the same time as each other run.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// The keys.
    pub range: slice::Range,
    /// Time that they take, in seconds of one slot per second.
    pub load: f64,
}

/// Time taken by each key, with older observations counting less.
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
    now: Vec<f32>,
    rate: Vec<f32>,
}

impl Default for Usage {
    fn default() -> Self {
        Self::new()
    }
}

impl Usage {
    /// Makes an empty record.
    pub fn new() -> Self {
        Self {
            now: vec![0.0; KEYS],
            rate: vec![0.0; KEYS],
        }
    }

    /// Records that a request of `key` took `seconds` of a slot.
    pub fn add(&mut self, key: slice::Key, seconds: f64) {
        self.now[usize::from(key)] += seconds as f32;
    }

    /// Turns what was recorded in the last `seconds` into rates.
    pub fn update_rates(&mut self, seconds: f64) {
        let scale = 1.0 / seconds.max(0.001) as f32;
        for (now, rate) in self.now.iter_mut().zip(&mut self.rate) {
            let fresh = *now * scale;
            *rate = *rate * 0.5 + fresh * 0.5;
            *now = 0.0;
        }
    }

    /// Divides the keys into at most `count` runs of about equal load; keys
    /// without load belong to no run.
    pub fn parts(&self, count: usize) -> Vec<Part> {
        let total: f64 = self.rate.iter().map(|rate| f64::from(*rate)).sum();
        if total <= 0.0 {
            return Vec::new();
        }
        let target = total / count as f64;
        let mut parts: Vec<Part> = Vec::new();
        let mut open: Option<Part> = None;
        for (key, rate) in self.rate.iter().enumerate() {
            if *rate <= 1e-6 {
                continue;
            }
            let (key, rate) = (key as slice::Key, f64::from(*rate));
            let part = open.get_or_insert(Part {
                range: slice::Range::new(key, key),
                load: 0.0,
            });
            // A busy key stands alone, so that it can move without its neighbours.
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
                open = None;
            }
        }
        parts.extend(open);
        parts
    }
}
