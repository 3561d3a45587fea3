//! What a lookup would otherwise have to scan the whole state for.
//!
//! When thousands of nodes are lost at once, each of their `Leave`s must cost no
//! more than the slices that it vacates.

use std::collections;

use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_model::view;

use crate::member;

type Run = (id::Server, id::Incarnation);
type Place = (id::Service, key::Hash);

/// Slices by holder, and servers by name.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Index {
    // Invariant: `held` and `holders` hold the same pairs as the tables of the view.
    held: collections::BTreeMap<Run, collections::BTreeSet<Place>>,
    holders: collections::BTreeMap<Place, Run>,
    names: collections::HashMap<String, id::Server>,
}

impl Index {
    /// Builds the index of a whole state.
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
                index.note(&view::Change::Slice(service, *slice));
            }
        }
        index
    }

    /// Follows a change of the view.
    pub(super) fn note(&mut self, change: &view::Change) {
        match change {
            view::Change::Slice(service, slice) => {
                let place = (*service, slice.start);
                self.remove(place);
                if let Some(holder) = slice.holder {
                    let run = (holder.server, holder.incarnation);
                    self.held.entry(run).or_default().insert(place);
                    self.holders.insert(place, run);
                }
            }
            view::Change::SliceMerged(service, start) => self.remove((*service, *start)),
            view::Change::Service(..)
            | view::Change::Server(..)
            | view::Change::ServerGone(_)
            | view::Change::Caller(..) => {}
        }
    }

    /// Adds a server under its name.
    pub(super) fn add_server(&mut self, name: &str, id: id::Server) {
        self.names.insert(name.to_owned(), id);
    }

    /// Finds a server by its name.
    pub(super) fn server_named(&self, name: &str) -> Option<id::Server> {
        self.names.get(name).copied()
    }

    /// Lists the slices that a run of a node holds.
    pub(super) fn held(&self, server: id::Server, incarnation: id::Incarnation) -> Vec<Place> {
        let held = self.held.get(&(server, incarnation));
        held.into_iter().flatten().copied().collect()
    }

    fn remove(&mut self, place: Place) {
        let Some(run) = self.holders.remove(&place) else {
            return;
        };
        if let Some(held) = self.held.get_mut(&run) {
            held.remove(&place);
            if held.is_empty() {
                self.held.remove(&run);
            }
        }
    }
}
