//! The hottest keys and the load of each slice.
//!
//! Placement needs to know which keys to split out and which slices to move,
//! from a table whose size does not grow with the number of keys.

use sequoiayoke_model::{clock, id, key};

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
#[derive(Clone, Debug)]
pub struct Tracker {
    keys: usize,
}

impl Tracker {
    /// Makes a tracker of up to `keys` keys.
    pub fn new(now: clock::Instant, keys: usize) -> Self {
        let _ = now;
        Self { keys }
    }

    /// Counts one request for a key of the slice that starts at `start`.
    pub fn record(
        &mut self,
        now: clock::Instant,
        service: id::Service,
        start: key::Hash,
        hash: key::Hash,
    ) {
        let _ = (now, service, start, hash);
    }

    /// Returns the hottest keys, hottest first, at most `count`.
    pub fn top(&self, now: clock::Instant, count: usize) -> Vec<Key> {
        let _ = (now, count.min(self.keys));
        Vec::new()
    }

    /// Returns the load of each slice seen recently, in order of service and start.
    pub fn slices(&self, now: clock::Instant) -> Vec<Slice> {
        let _ = now;
        Vec::new()
    }
}
