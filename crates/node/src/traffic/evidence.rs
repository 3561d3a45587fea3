//! Measurements of the load of keys and the health of the backend server.
//!
//! Traffic threads record samples; the coordinator reads a report periodically and
//! sends changes to control.

use std::sync;

use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_traffic::health;
use sequoiayoke_traffic::hot;

/// Number of keys whose load is tracked, which include every key with more than 1/256 of the load.
const TRACKED_KEYS: usize = 256;

/// Load of the keys and health of the backend server of this VM.
#[derive(Debug)]
pub struct Evidence {
    // Each lock is held for one sample or report, never across an `await`.
    load: sync::Mutex<hot::Tracker>,
    health: sync::Mutex<health::Monitor>,
}

/// Load of the owned slices.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// Requests per second of each slice.
    pub slices: Vec<hot::Slice>,
    /// The hottest keys, hottest first.
    pub keys: Vec<hot::Key>,
}

impl Evidence {
    /// Creates an instance without samples.
    pub fn new(now: clock::Instant) -> Self {
        Self {
            load: sync::Mutex::new(hot::Tracker::new(now, TRACKED_KEYS)),
            health: sync::Mutex::new(health::Monitor::new(now)),
        }
    }

    /// Counts a request that is dispatched.
    pub fn record_dispatch(
        &self,
        now: clock::Instant,
        service: id::Service,
        start: key::Hash,
        hash: key::Hash,
    ) {
        lock(&self.load).record(now, service, start, hash);
    }

    /// Records that this process runs, which distinguishes its suspension from an unresponsive
    /// server.
    pub fn record_alive(&self, now: clock::Instant) {
        lock(&self.health).record_alive(now);
    }

    /// Records the result of a request to the backend server that was sent at `sent`.
    ///
    /// Returns whether the sample was used: it is not if this process was suspended meanwhile.
    pub fn record_sample(
        &self,
        now: clock::Instant,
        sent: clock::Instant,
        sample: health::Sample,
    ) -> bool {
        lock(&self.health).observe(now, sent, sample)
    }

    /// Records the result of a probe of the health endpoint.
    pub fn record_probe(&self, now: clock::Instant, probe: health::Probe) {
        lock(&self.health).record_probe(now, probe);
    }

    /// Returns the current load, with at most `keys` keys.
    pub fn load(&self, now: clock::Instant, keys: usize) -> Load {
        let tracker = lock(&self.load);
        Load {
            slices: tracker.slices(now),
            keys: tracker.top(now, keys),
        }
    }

    /// Returns the health of the backend server.
    pub fn health(&self, now: clock::Instant) -> health::Report {
        lock(&self.health).report(now)
    }
}

fn lock<T>(value: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    value
        .lock()
        .expect("no code panics while it holds a lock of the evidence")
}
