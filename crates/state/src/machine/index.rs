//! Secondary indexes that avoid scans of the whole state.
//!
//! When thousands of nodes fail at once, the cost of each `Leave` must be
//! proportional to the number of slices that it vacates.

use std::collections;

use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_model::view;

use crate::member;

type HolderKey = (id::Server, id::Incarnation);
type SliceKey = (id::Service, key::Hash);

/// Slices by holder, and servers by name.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Index {
    // Invariant: `slices` and `holders` contain the same pairs as the tables of the view.
    slices: collections::BTreeMap<HolderKey, collections::BTreeSet<SliceKey>>,
    holders: collections::BTreeMap<SliceKey, HolderKey>,
    names: collections::HashMap<String, id::Server>,
}

impl Index {
    /// Builds the index from a complete state.
    pub(super) fn new(
        view: &view::View,
        servers: &collections::BTreeMap<id::Server, member::Server>,
    ) -> Self {
        let mut index = Self::default();
        for (id, server) in servers {
            index.add_server(&server.name, *id);
        }
        for (service, table) in view.tables() {
            for slice in table.slices() {
                index.update(&view::Change::Slice(service, *slice));
            }
        }
        index
    }

    /// Updates the index for a change to the view.
    pub(super) fn update(&mut self, change: &view::Change) {
        match change {
            view::Change::Slice(service, slice) => {
                let key = (*service, slice.start);
                self.remove(key);
                if let Some(holder) = slice.holder {
                    let holder_key = (holder.server, holder.incarnation);
                    self.slices.entry(holder_key).or_default().insert(key);
                    self.holders.insert(key, holder_key);
                }
            }
            view::Change::SliceMerged(service, start) => self.remove((*service, *start)),
            view::Change::Service(..)
            | view::Change::Server(..)
            | view::Change::ServerGone(_)
            | view::Change::Caller(..) => {}
        }
    }

    /// Records the identifier of a named server.
    pub(super) fn add_server(&mut self, name: &str, id: id::Server) {
        self.names.insert(name.to_owned(), id);
    }

    /// Returns the identifier of the server with this name.
    pub(super) fn server_named(&self, name: &str) -> Option<id::Server> {
        self.names.get(name).copied()
    }

    /// Returns the slices that an incarnation of a node holds.
    pub(super) fn slices_of(
        &self,
        server: id::Server,
        incarnation: id::Incarnation,
    ) -> Vec<SliceKey> {
        let held = self.slices.get(&(server, incarnation));
        held.into_iter().flatten().copied().collect()
    }

    fn remove(&mut self, key: SliceKey) {
        let Some(holder_key) = self.holders.remove(&key) else {
            return;
        };
        if let Some(held) = self.slices.get_mut(&holder_key) {
            held.remove(&key);
            if held.is_empty() {
                self.slices.remove(&holder_key);
            }
        }
    }
}
