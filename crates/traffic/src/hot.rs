//! The hottest keys and the load of each slice.
//!
//! Placement needs to know which keys to split out and which slices to move,
//! from a table whose size does not grow with the number of keys. Keys are
//! counted by the space-saving algorithm with exponential decay: instead of
//! shrinking all counts, each request weighs more than the ones before it.

mod heap;

use std::collections;
use std::time::Duration;

use sequoiayoke_model::{clock, id, key};

/// Time after which a request counts half.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Weights are brought back to 1 after this many half-lives, long before a
/// double loses precision.
const REBASE: f64 = 20.0;
/// The weight is computed at most once per this time, since it costs more than the
/// rest of a record; it changes by 0.02 % meanwhile.
const WEIGHT_STEP: Duration = Duration::from_millis(3);
/// Slices counted; the rest are not. Sixteen services with the 64 slices that a
/// server holds on average.
const SLICES_MAX: usize = 1024;
/// Rate in requests per second below which a slice is dropped from the counts.
const RATE_MIN: f64 = 0.001;

/// Load of one key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Key {
    /// Its service.
    pub service: id::Service,
    /// Its position.
    pub hash: key::Hash,
    /// Estimated requests per second, never too low while the key is tracked.
    pub rate: f64,
    /// Largest amount by which `rate` may be too high.
    pub excess: f64,
}

/// Load of one slice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slice {
    /// Its service.
    pub service: id::Service,
    /// Its first position.
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
    base: clock::Instant,
    weight: f64,
    weighed: clock::Instant,
    keys: heap::Heap,
    slices: collections::HashMap<heap::Name, f64, heap::Spread>,
}

impl Tracker {
    /// Makes a tracker of up to `keys` keys, at least one.
    ///
    /// Every key with more than one in `keys` of the load is tracked.
    pub fn new(now: clock::Instant, keys: usize) -> Self {
        Self {
            base: now,
            weight: 1.0,
            weighed: now,
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
        if now.saturating_since(self.weighed) >= WEIGHT_STEP {
            self.weigh(now);
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
                service: counter.name.0,
                hash: counter.name.1,
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
            .map(|(name, count)| Slice {
                service: name.0,
                start: name.1,
                rate: count * scale,
            })
            .collect();
        slices.sort_by_key(|slice| (slice.service, slice.start));
        slices
    }

    /// Forgets a slice that was given away or merged.
    pub fn forget(&mut self, service: id::Service, start: key::Hash) {
        self.slices.remove(&(service, start));
    }

    fn weigh(&mut self, now: clock::Instant) {
        let age = self.age(now);
        if age >= REBASE {
            let factor = (-age).exp2();
            self.keys.scale(factor);
            let kept = RATE_MIN / per_second();
            self.slices.retain(|_, count| {
                *count *= factor;
                *count >= kept
            });
            self.base = now;
        }
        self.weight = self.age(now).exp2();
        self.weighed = now;
    }

    /// Half-lives since the weight was 1.
    fn age(&self, now: clock::Instant) -> f64 {
        now.saturating_since(self.base).as_secs_f64() / HALF_LIFE.as_secs_f64()
    }

    /// Factor from a count to requests per second at `now`.
    fn scale(&self, now: clock::Instant) -> f64 {
        (-self.age(now)).exp2() * per_second()
    }
}

/// A steady rate of one per second leads to a count of the inverse of this.
fn per_second() -> f64 {
    std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64()
}
