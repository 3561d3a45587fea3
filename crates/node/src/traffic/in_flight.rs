//! Registry of requests in flight, from which a shutdown logs those that it interrupts.

use std::sync;

use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_model::request as model_request;

use super::request;

slotmap::new_key_type! {
    /// Key of a request in flight.
    struct Key;
}

/// Description of a request in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its id, if it has one.
    pub id: Option<model_request::Id>,
    /// Its service.
    pub service: id::Service,
    /// Hash of its key.
    pub hash: key::Hash,
    /// Whether another node has forwarded it.
    pub forwarded: bool,
}

/// All requests in flight, from their arrival to the end of their answer.
#[derive(Debug, Default)]
pub struct Registry {
    // Bounded by the limits on connections of callers and streams of other nodes. Locked
    // to add, remove or copy records, never across an `await`.
    records: sync::Mutex<slotmap::SlotMap<Key, Record>>,
}

/// A registered request; it is removed from the registry when this is dropped.
#[derive(Debug)]
pub struct Guard {
    registry: sync::Arc<Registry>,
    key: Key,
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.registry.lock().remove(self.key);
    }
}

impl Registry {
    /// Registers a request that has arrived.
    pub fn register(self: &sync::Arc<Self>, view: &request::View<'_>) -> Guard {
        let key = self.lock().insert(Record {
            id: view.id,
            service: view.service,
            hash: view.hash,
            forwarded: view.forwarded.is_some(),
        });
        let registry = sync::Arc::clone(self);
        Guard { registry, key }
    }

    /// Returns the requests in flight.
    pub fn list(&self) -> Vec<Record> {
        self.lock().values().copied().collect()
    }

    fn lock(&self) -> sync::MutexGuard<'_, slotmap::SlotMap<Key, Record>> {
        self.records
            .lock()
            .expect("no code panics while it holds the lock of the requests in flight")
    }
}
