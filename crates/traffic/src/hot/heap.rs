//! Space-saving counters in a min-heap.

use std::collections;
use std::hash;

use sequoiayoke_model::{id, key};

pub(super) type Name = (id::Service, key::Hash);

/// Count of one key.
#[derive(Clone, Copy, Debug)]
pub(super) struct Counter {
    pub(super) name: Name,
    pub(super) count: f64,
    // What the counter held of other keys when this key took it over.
    pub(super) excess: f64,
}

/// At most `capacity` counters, the smallest count on top.
#[derive(Clone, Debug)]
pub(super) struct Heap {
    capacity: usize,
    counters: Vec<Counter>,
    places: collections::HashMap<Name, usize, Spread>,
}

impl Heap {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            counters: Vec::with_capacity(capacity),
            places: collections::HashMap::with_capacity_and_hasher(capacity, Spread),
        }
    }

    pub(super) fn add(&mut self, name: Name, weight: f64) {
        if let Some(place) = self.places.get(&name).copied() {
            self.counters[place].count += weight;
            self.sink(place);
        } else if self.counters.len() < self.capacity {
            let place = self.counters.len();
            self.counters.push(Counter {
                name,
                count: weight,
                excess: 0.0,
            });
            self.places.insert(name, place);
            self.rise(place);
        } else {
            let least = self.counters[0];
            self.places.remove(&least.name);
            self.counters[0] = Counter {
                name,
                count: least.count + weight,
                excess: least.count,
            };
            self.places.insert(name, 0);
            self.sink(0);
        }
    }

    /// Multiplies all counts, which keeps their order.
    pub(super) fn scale(&mut self, factor: f64) {
        for counter in &mut self.counters {
            counter.count *= factor;
            counter.excess *= factor;
        }
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Counter> {
        self.counters.iter()
    }

    fn sink(&mut self, mut place: usize) {
        loop {
            let left = 2 * place + 1;
            let right = left + 1;
            let Some(first) = self.counters.get(left) else {
                return;
            };
            let second = self.counters.get(right);
            let child = match second.is_some_and(|second| second.count < first.count) {
                true => right,
                false => left,
            };
            if self.counters[place].count <= self.counters[child].count {
                return;
            }
            self.swap(place, child);
            place = child;
        }
    }

    fn rise(&mut self, mut place: usize) {
        while place > 0 {
            let parent = (place - 1) / 2;
            if self.counters[parent].count <= self.counters[place].count {
                return;
            }
            self.swap(place, parent);
            place = parent;
        }
    }

    fn swap(&mut self, a: usize, b: usize) {
        self.counters.swap(a, b);
        self.places.insert(self.counters[a].name, a);
        self.places.insert(self.counters[b].name, b);
    }
}

/// Hashes names whose position is a hash already.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Spread;

impl hash::BuildHasher for Spread {
    type Hasher = Mix;

    fn build_hasher(&self) -> Mix {
        Mix(0)
    }
}

/// Mixes whole numbers by multiplication.
pub(super) struct Mix(u64);

impl hash::Hasher for Mix {
    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.write_u64(u64::from(*byte));
        }
    }

    fn write_u32(&mut self, value: u32) {
        self.write_u64(u64::from(value));
    }

    fn write_u64(&mut self, value: u64) {
        // Odd constant near 2^64 divided by the golden ratio. Starts of slices
        // differ only in their high bits, so these are folded into the low ones.
        let mixed = (self.0 ^ value).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        self.0 = mixed ^ (mixed >> 32);
    }

    fn finish(&self) -> u64 {
        self.0
    }
}
