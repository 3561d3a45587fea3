//! What requests tell about keys and about the backend server.
//!
//! Traffic threads record; the coordinator reads a report every second or so and
//! sends what has changed to control.

use std::sync;

use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_traffic::health;
use sequoiayoke_traffic::hot;

/// Keys whose load is tracked. A key with more than 1 in 256 of the load is among them.
const KEYS: usize = 256;

/// Evidence about the backend server of this VM and its keys.
#[derive(Debug)]
pub struct Evidence {
    // Each is locked for one record or report, never across an `await`.
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
    /// Starts without evidence.
    pub fn new(now: clock::Instant) -> Self {
        Self {
            load: sync::Mutex::new(hot::Tracker::new(now, KEYS)),
            health: sync::Mutex::new(health::Monitor::new(now)),
        }
    }

    /// Counts a request that is dispatched.
    pub fn dispatched(
        &self,
        now: clock::Instant,
        service: id::Service,
        start: key::Hash,
        hash: key::Hash,
    ) {
        lock(&self.load).record(now, service, start, hash);
    }

    /// Records that the process runs, which tells a suspension from a silent server.
    pub fn alive(&self, now: clock::Instant) {
        lock(&self.health).record_alive(now);
    }

    /// Takes what happened to a request at the backend server, and when it was sent;
    /// returns whether it says anything about the server.
    pub fn observed(
        &self,
        now: clock::Instant,
        sent: clock::Instant,
        sample: health::Sample,
    ) -> bool {
        lock(&self.health).observe(now, sent, sample)
    }

    /// Takes what the health endpoint said.
    pub fn probed(&self, now: clock::Instant, probe: health::Probe) {
        lock(&self.health).record_probe(now, probe);
    }

    /// Returns the load now, with at most `keys` keys.
    pub fn load(&self, now: clock::Instant, keys: usize) -> Load {
        let tracker = lock(&self.load);
        Load {
            slices: tracker.slices(now),
            keys: tracker.top(now, keys),
        }
    }

    /// Judges the backend server.
    pub fn health(&self, now: clock::Instant) -> health::Report {
        lock(&self.health).report(now)
    }
}

fn lock<T>(value: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    value
        .lock()
        .expect("no code panics while it holds a lock of the evidence")
}
