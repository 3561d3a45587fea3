//! Space-saving counters in a min-heap.

use std::collections;
use std::hash;

use sequoiayoke_model::{id, key};

pub(super) type Key = (id::Service, key::Hash);

/// Counter of one key.
#[derive(Clone, Copy, Debug)]
pub(super) struct Counter {
    pub(super) key: Key,
    pub(super) count: f64,
    // Count of other keys that the counter held when it was reassigned to this key.
    pub(super) excess: f64,
}

/// Min-heap of at most `capacity` counters, with the smallest count at the root.
#[derive(Clone, Debug)]
pub(super) struct Heap {
    capacity: usize,
    counters: Vec<Counter>,
    indices: collections::HashMap<Key, usize, MixBuilder>,
}

impl Heap {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            counters: Vec::with_capacity(capacity),
            indices: collections::HashMap::with_capacity_and_hasher(capacity, MixBuilder),
        }
    }

    pub(super) fn add(&mut self, key: Key, weight: f64) {
        if let Some(index) = self.indices.get(&key).copied() {
            self.counters[index].count += weight;
            self.sift_down(index);
        } else if self.counters.len() < self.capacity {
            let index = self.counters.len();
            self.counters.push(Counter {
                key,
                count: weight,
                excess: 0.0,
            });
            self.indices.insert(key, index);
            self.sift_up(index);
        } else {
            let smallest = self.counters[0];
            self.indices.remove(&smallest.key);
            self.counters[0] = Counter {
                key,
                count: smallest.count + weight,
                excess: smallest.count,
            };
            self.indices.insert(key, 0);
            self.sift_down(0);
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

    fn sift_down(&mut self, mut index: usize) {
        loop {
            let left = 2 * index + 1;
            let right = left + 1;
            let Some(first) = self.counters.get(left) else {
                return;
            };
            let second = self.counters.get(right);
            let child = match second.is_some_and(|second| second.count < first.count) {
                true => right,
                false => left,
            };
            if self.counters[index].count <= self.counters[child].count {
                return;
            }
            self.swap(index, child);
            index = child;
        }
    }

    fn sift_up(&mut self, mut index: usize) {
        while index > 0 {
            let parent = (index - 1) / 2;
            if self.counters[parent].count <= self.counters[index].count {
                return;
            }
            self.swap(index, parent);
            index = parent;
        }
    }

    fn swap(&mut self, a: usize, b: usize) {
        self.counters.swap(a, b);
        self.indices.insert(self.counters[a].key, a);
        self.indices.insert(self.counters[b].key, b);
    }
}

/// Builds hashers for keys whose position is already a hash.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MixBuilder;

impl hash::BuildHasher for MixBuilder {
    type Hasher = MixHasher;

    fn build_hasher(&self) -> MixHasher {
        MixHasher(0)
    }
}

/// Hashes integers by multiplication.
pub(super) struct MixHasher(u64);

impl hash::Hasher for MixHasher {
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
        // differ only in their high bits, so the shift mixes these into the low bits.
        let mixed = (self.0 ^ value).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        self.0 = mixed ^ (mixed >> 32);
    }

    fn finish(&self) -> u64 {
        self.0
    }
}
