//! A small value per key, and which keys are warm.
//!
//! Each write appends a version, so that a read or a write that reached a
//! server other than the owner shows up as a wrong version.

use std::collections;
use std::sync;

use serde::Serialize;

use sequoiayoke_model::id;

/// Value of a key: its latest version.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Value {
    /// Writes so far.
    pub version: u64,
    /// Request id of the latest write.
    pub request_id: Option<String>,
    /// Digest of the body of the latest write.
    pub digest: Option<String>,
}

/// Name of a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Name {
    /// Service.
    pub service: String,
    /// Scope; empty for the common scope.
    pub scope: String,
    /// Key.
    pub key: String,
}

#[derive(Debug, Default)]
struct Entry {
    value: Value,
    // Epoch under which the key was last used.
    used: Option<id::Epoch>,
}

#[derive(Debug, Default)]
struct Tables {
    entries: collections::HashMap<Name, Entry>,
    order: collections::VecDeque<Name>,
}

/// Bounded table of values; a key that is dropped from it turns cold.
#[derive(Debug)]
pub struct Store {
    limit: usize,
    tables: sync::Mutex<Tables>,
}

impl Store {
    /// Makes a store of at most `limit` keys.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            tables: sync::Mutex::default(),
        }
    }

    /// Tells whether the key was used since the revocation of its range, if there was one.
    pub fn is_warm(&self, name: &Name, revoked: Option<id::Epoch>) -> bool {
        let tables = self.lock();
        let entry = tables.entries.get(name);
        entry.is_some_and(|entry| revoked.is_none() || entry.used > revoked)
    }

    /// Returns the value and leaves the key warm.
    pub fn read(&self, name: &Name, epoch: Option<id::Epoch>) -> Value {
        self.using(name, epoch, |value| value.clone())
    }

    /// Appends a version and returns it.
    pub fn write(
        &self,
        name: &Name,
        epoch: Option<id::Epoch>,
        request_id: Option<&str>,
        digest: &str,
    ) -> Value {
        self.using(name, epoch, |value| {
            value.version += 1;
            value.request_id = request_id.map(str::to_owned);
            value.digest = Some(digest.to_owned());
            value.clone()
        })
    }

    fn using<U>(&self, name: &Name, epoch: Option<id::Epoch>, usage: U) -> Value
    where
        U: FnOnce(&mut Value) -> Value,
    {
        let mut tables = self.lock();
        if !tables.entries.contains_key(name) {
            if tables.entries.len() >= self.limit
                && let Some(oldest) = tables.order.pop_front()
            {
                tables.entries.remove(&oldest);
            }
            tables.order.push_back(name.clone());
            tables.entries.insert(name.clone(), Entry::default());
        }
        let entry = tables.entries.get_mut(name);
        let entry = entry.expect("the entry was inserted above");
        entry.used = entry.used.max(epoch);
        usage(&mut entry.value)
    }

    fn lock(&self) -> sync::MutexGuard<'_, Tables> {
        self.tables
            .lock()
            .expect("no thread panics while it holds the store")
    }
}
