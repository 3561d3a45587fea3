//! Requests in flight, so that a shutdown can name those that it could not wait for.

use std::sync;

use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_model::request as model_request;

use super::request;

slotmap::new_key_type! {
    /// Key of a request in flight.
    struct Key;
}

/// What is known of a request in flight.
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
pub struct Flights {
    // Bounded by the connections of callers and the streams of other nodes. Locked
    // to add, remove or copy records, never across an `await`.
    records: sync::Mutex<slotmap::SlotMap<Key, Record>>,
}

/// A request in flight; it ends when this is dropped.
#[derive(Debug)]
pub struct Flight {
    flights: sync::Arc<Flights>,
    key: Key,
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.flights.lock().remove(self.key);
    }
}

impl Flights {
    /// Notes the arrival of a request.
    pub fn enter(self: &sync::Arc<Self>, view: &request::View<'_>) -> Flight {
        let key = self.lock().insert(Record {
            id: view.id,
            service: view.service,
            hash: view.hash,
            forwarded: view.forwarded.is_some(),
        });
        let flights = sync::Arc::clone(self);
        Flight { flights, key }
    }

    /// Lists the requests in flight.
    pub fn list(&self) -> Vec<Record> {
        self.lock().values().copied().collect()
    }

    fn lock(&self) -> sync::MutexGuard<'_, slotmap::SlotMap<Key, Record>> {
        self.records
            .lock()
            .expect("no code panics while it holds the lock of the requests in flight")
    }
}
