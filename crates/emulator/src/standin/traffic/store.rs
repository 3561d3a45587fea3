//! A small value per key, and which keys are warm.
//!
//! Each write appends a version, so that a read or a write that reached a
//! server other than the owner shows up as a wrong version.

use std::collections;
use std::sync;

use serde::Serialize;

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
struct Tables {
    values: collections::HashMap<Name, Value>,
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

    /// Tells whether the key was used before.
    pub fn is_warm(&self, name: &Name) -> bool {
        self.lock().values.contains_key(name)
    }

    /// Returns the value and leaves the key warm.
    pub fn read(&self, name: &Name) -> Value {
        self.entry(name, |value| value.clone())
    }

    /// Appends a version and returns it.
    pub fn write(&self, name: &Name, request_id: Option<&str>, digest: &str) -> Value {
        self.entry(name, |value| {
            value.version += 1;
            value.request_id = request_id.map(str::to_owned);
            value.digest = Some(digest.to_owned());
            value.clone()
        })
    }

    fn entry<U>(&self, name: &Name, usage: U) -> Value
    where
        U: FnOnce(&mut Value) -> Value,
    {
        let mut tables = self.lock();
        if !tables.values.contains_key(name) {
            if tables.values.len() >= self.limit
                && let Some(oldest) = tables.order.pop_front()
            {
                tables.values.remove(&oldest);
            }
            tables.order.push_back(name.clone());
            tables.values.insert(name.clone(), Value::default());
        }
        let value = tables.values.get_mut(name);
        usage(value.expect("the value was inserted above"))
    }

    fn lock(&self) -> sync::MutexGuard<'_, Tables> {
        self.tables
            .lock()
            .expect("no thread panics while it holds the store")
    }
}
