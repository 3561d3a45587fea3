//! The hottest keys and the load of each slice.
//!
//! Placement uses these loads to choose the keys to split out and the slices to move.
//! The size of the table does not grow with the number of keys: keys are counted by
//! the space-saving algorithm with exponential decay. Instead of reducing all counts
//! over time, the tracker gives each request a greater weight than earlier ones.

mod heap;

use std::collections;
use std::time::Duration;

use sequoiayoke_model::{clock, id, key};

/// Time after which a request counts half as much.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Half-lives after which the weight is reset to 1 and all counts are scaled, long before
/// a double loses precision.
const REBASE_HALF_LIVES: f64 = 20.0;
/// Shortest time between two updates of the weight, since an update costs more than
/// the rest of a record; the weight changes by 0.02 % in this time.
const WEIGHT_STEP: Duration = Duration::from_millis(3);
/// Largest number of slices whose load is counted; others are ignored. It covers sixteen
/// services with the 64 slices that a server holds on average.
const SLICES_MAX: usize = 1024;
/// Rate in requests per second below which a slice is dropped from the counts.
const RATE_MIN: f64 = 0.001;

/// Load of one key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Key {
    /// Service of the key.
    pub service: id::Service,
    /// Hash of the key, which is its position.
    pub hash: key::Hash,
    /// Estimated requests per second, never too low while the key is tracked.
    pub rate: f64,
    /// Largest amount by which `rate` may be too high.
    pub excess: f64,
}

/// Load of one slice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slice {
    /// Service of the slice.
    pub service: id::Service,
    /// First position of the slice.
    pub start: key::Hash,
    /// Requests per second.
    pub rate: f64,
}

/// Tracker of the load on one backend server.
///
/// # Examples
///
/// ```
/// use sequoiayoke_model::{clock, id, key};
/// use sequoiayoke_traffic::hot;
///
/// let now = clock::Instant::from_micros(0);
/// let mut tracker = hot::Tracker::new(now, 8);
/// tracker.record(now, id::Service(1), key::Hash::MIN, key::Hash(7));
/// assert_eq!(tracker.top(now, 1)[0].hash, key::Hash(7));
/// ```
#[derive(Clone, Debug)]
pub struct Tracker {
    base_time: clock::Instant,
    weight: f64,
    weight_updated: clock::Instant,
    keys: heap::Heap,
    slices: collections::HashMap<heap::Key, f64, heap::MixBuilder>,
}

impl Tracker {
    /// Creates a tracker of up to `keys` keys, at least one.
    ///
    /// Every key with more than one in `keys` of the load is tracked.
    pub fn new(now: clock::Instant, keys: usize) -> Self {
        Self {
            base_time: now,
            weight: 1.0,
            weight_updated: now,
            keys: heap::Heap::new(keys.max(1)),
            slices: collections::HashMap::default(),
        }
    }

    /// Counts one request for a key of the slice that starts at `start`.
    pub fn record(
        &mut self,
        now: clock::Instant,
        service: id::Service,
        start: key::Hash,
        hash: key::Hash,
    ) {
        if now.saturating_since(self.weight_updated) >= WEIGHT_STEP {
            self.update_weight(now);
        }
        self.keys.add((service, hash), self.weight);
        let slice = (service, start);
        if let Some(count) = self.slices.get_mut(&slice) {
            *count += self.weight;
        } else if self.slices.len() < SLICES_MAX {
            self.slices.insert(slice, self.weight);
        }
    }

    /// Returns the hottest keys, hottest first, at most `count`.
    pub fn top(&self, now: clock::Instant, count: usize) -> Vec<Key> {
        let scale = self.scale(now);
        let mut keys: Vec<Key> = self
            .keys
            .iter()
            .map(|counter| Key {
                service: counter.key.0,
                hash: counter.key.1,
                rate: counter.count * scale,
                excess: counter.excess * scale,
            })
            .collect();
        keys.sort_by(|a, b| {
            let names = (a.service, a.hash).cmp(&(b.service, b.hash));
            b.rate.total_cmp(&a.rate).then(names)
        });
        keys.truncate(count);
        keys
    }

    /// Returns the load of each slice seen recently, in order of service and start.
    pub fn slices(&self, now: clock::Instant) -> Vec<Slice> {
        let scale = self.scale(now);
        let mut slices: Vec<Slice> = self
            .slices
            .iter()
            .map(|(key, count)| Slice {
                service: key.0,
                start: key.1,
                rate: count * scale,
            })
            .collect();
        slices.sort_by_key(|slice| (slice.service, slice.start));
        slices
    }

    /// Removes the count of a slice that was released or merged.
    pub fn remove_slice(&mut self, service: id::Service, start: key::Hash) {
        self.slices.remove(&(service, start));
    }

    fn update_weight(&mut self, now: clock::Instant) {
        let age = self.age(now);
        if age >= REBASE_HALF_LIVES {
            let factor = (-age).exp2();
            self.keys.scale(factor);
            let count_min = RATE_MIN / per_second();
            self.slices.retain(|_, count| {
                *count *= factor;
                *count >= count_min
            });
            self.base_time = now;
        }
        self.weight = self.age(now).exp2();
        self.weight_updated = now;
    }

    /// Returns the number of half-lives since the weight was 1.
    fn age(&self, now: clock::Instant) -> f64 {
        now.saturating_since(self.base_time).as_secs_f64() / HALF_LIFE.as_secs_f64()
    }

    /// Returns the factor from a count to requests per second at `now`.
    fn scale(&self, now: clock::Instant) -> f64 {
        (-self.age(now)).exp2() * per_second()
    }
}

/// Returns the rate that corresponds to a steady count of 1, in requests per second.
fn per_second() -> f64 {
    std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64()
}
