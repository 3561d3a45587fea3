//! Store of a small value per key, which also tracks the keys that are warm.
//!
//! Each write increments the version, so a read or a write that reached a server other
//! than the owner is visible as an unexpected version.

use std::collections;
use std::sync;

use serde::Serialize;

use sequoiayoke_model::id;

/// Value of a key: its latest version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Value {
    /// Number of writes so far.
    pub version: u64,
    /// Request id of the latest write.
    pub request_id: Option<String>,
    /// Digest of the body of the latest write.
    pub digest: Option<String>,
}

/// Full name of a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Name {
    /// Service.
    pub service: String,
    /// Scope; empty for the shared scope.
    pub scope: String,
    /// Key.
    pub key: String,
}

#[derive(Debug, Default)]
struct Entry {
    value: Value,
    // Largest epoch under which the key was used.
    last_used: Option<id::Epoch>,
}

#[derive(Debug, Default)]
struct Tables {
    entries: collections::HashMap<Name, Entry>,
    insertion_order: collections::VecDeque<Name>,
}

/// Table of values with a limited size; a key that is evicted becomes cold.
#[derive(Debug)]
pub struct Store {
    limit: usize,
    tables: sync::Mutex<Tables>,
}

impl Store {
    /// Creates a store of at most `limit` keys.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            tables: sync::Mutex::default(),
        }
    }

    /// Returns whether the key was used, and after the revocation of its range if there was one.
    pub fn is_warm(&self, name: &Name, revocation_epoch: Option<id::Epoch>) -> bool {
        let tables = self.lock();
        let entry = tables.entries.get(name);
        entry.is_some_and(|entry| revocation_epoch.is_none() || entry.last_used > revocation_epoch)
    }

    /// Returns the value and marks the key as warm.
    pub fn read(&self, name: &Name, epoch: Option<id::Epoch>) -> Value {
        self.update(name, epoch, |value| value.clone())
    }

    /// Writes a new version of the value and returns it.
    pub fn write(
        &self,
        name: &Name,
        epoch: Option<id::Epoch>,
        request_id: Option<&str>,
        digest: &str,
    ) -> Value {
        self.update(name, epoch, |value| {
            value.version += 1;
            value.request_id = request_id.map(str::to_owned);
            value.digest = Some(digest.to_owned());
            value.clone()
        })
    }

    fn update<U>(&self, name: &Name, epoch: Option<id::Epoch>, operation: U) -> Value
    where
        U: FnOnce(&mut Value) -> Value,
    {
        let mut tables = self.lock();
        if !tables.entries.contains_key(name) {
            if tables.entries.len() >= self.limit
                && let Some(oldest) = tables.insertion_order.pop_front()
            {
                tables.entries.remove(&oldest);
            }
            tables.insertion_order.push_back(name.clone());
            tables.entries.insert(name.clone(), Entry::default());
        }
        let entry = tables.entries.get_mut(name);
        let entry = entry.expect("the entry was inserted above");
        entry.last_used = entry.last_used.max(epoch);
        operation(&mut entry.value)
    }

    fn lock(&self) -> sync::MutexGuard<'_, Tables> {
        self.tables
            .lock()
            .expect("no thread panics while it holds the store")
    }
}
