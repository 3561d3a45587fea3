//! What has changed in the state since the nodes were last told.
//!
//! The state of a service with many moves is large, and every node needs every change of it. Nodes on
//! slow links are sent the changes only, in the values that the state has when they are sent.

use std::collections;

use sequoiayoke_catalog::{config, machine, slice};
use sequoiayoke_link::session;
use sequoiayoke_model::id;

/// Changes that the nodes have not been told.
#[derive(Debug)]
pub(super) struct Changes {
    /// Log index of the state that the nodes were last told.
    since: u64,
    version: config::Version,
    /// Backend servers that the nodes know.
    known: collections::BTreeSet<id::Server>,
    joined: collections::BTreeSet<id::Server>,
    /// Whether a backend server may have been removed.
    has_removals: bool,
    /// Ranges with changed keys, by service.
    ranges: collections::BTreeMap<String, Vec<slice::Range>>,
    /// Keyed services that the nodes know.
    services: collections::BTreeSet<String>,
    /// Evacuated failure domains that the nodes know.
    evacuated: collections::BTreeSet<String>,
}

impl Changes {
    /// Creates the changes since the state of `machine`: none.
    pub(super) fn new(machine: &machine::Machine) -> Self {
        Self {
            since: machine.index(),
            version: machine.version(),
            known: machine.servers().keys().copied().collect(),
            joined: collections::BTreeSet::new(),
            has_removals: false,
            ranges: collections::BTreeMap::new(),
            services: machine.tables().keys().cloned().collect(),
            evacuated: machine.evacuated().clone(),
        }
    }

    /// Records a command that was applied.
    pub(super) fn record(&mut self, command: &machine::Command, output: &machine::Output) {
        match (command, output) {
            (machine::Command::Join(_), machine::Output::Joined(id)) => {
                self.joined.insert(*id);
                // A new instance replaces the former one at its address.
                self.has_removals = true;
            }
            (machine::Command::Leave { .. }, _) => self.has_removals = true,
            (machine::Command::Assign(moves), machine::Output::Assigned(1..)) => {
                for assigned in moves {
                    let ranges = self.ranges.entry(assigned.service.clone()).or_default();
                    ranges.push(assigned.range);
                }
            }
            // A changed configuration is found by its version, changed evacuations by comparison.
            _ => {}
        }
    }

    /// Returns the changes up to the state of `machine`, if there are any.
    pub(super) fn take(&mut self, machine: &machine::Machine) -> Option<session::Changes> {
        if machine.index() == self.since {
            return None;
        }
        let servers = machine.servers();
        let joined = std::mem::take(&mut self.joined);
        // A backend server that replaces an earlier instance begins with the keys of that one.
        let new = |owner: &id::Server| joined.contains(owner) && !self.known.contains(owner);
        for (service, table) in machine.tables() {
            let slices = table.slices().iter();
            let inherited = slices.filter(|slice| slice.owner.as_ref().is_some_and(new));
            let mut inherited = inherited.map(|slice| slice.range).peekable();
            if inherited.peek().is_some() {
                let ranges = self.ranges.entry(service.clone()).or_default();
                ranges.extend(inherited);
            }
        }
        let mut left = Vec::new();
        if std::mem::take(&mut self.has_removals) {
            let known = self.known.iter().copied();
            left.extend(known.filter(|id| !servers.contains_key(id)));
            self.known = servers.keys().copied().collect();
        }
        let joined = joined.iter().filter_map(|id| servers.get(id)).cloned();
        let version = machine.version();
        let config = machine.order().filter(|_| version != self.version);
        self.version = version;
        for service in machine.tables().keys() {
            if self.services.insert(service.clone()) {
                self.ranges.insert(service.clone(), vec![slice::Range::ALL]);
            }
        }
        let has_evacuated = *machine.evacuated() != self.evacuated;
        if has_evacuated {
            self.evacuated.clone_from(machine.evacuated());
        }
        let ranges = std::mem::take(&mut self.ranges);
        let slices = ranges.into_iter().filter_map(|(service, ranges)| {
            let slices = slices_of(machine.tables().get(&service)?, &ranges);
            Some((service, slices))
        });
        let changes = session::Changes {
            since: self.since,
            index: machine.index(),
            config: config.map(|order| order.config.clone()),
            joined: joined.collect(),
            left,
            slices: slices.collect(),
            evacuated: has_evacuated.then(|| machine.evacuated().clone()),
        };
        let is_empty = changes.config.is_none()
            && changes.joined.is_empty()
            && changes.left.is_empty()
            && changes.slices.is_empty()
            && changes.evacuated.is_none();
        if is_empty {
            // The nodes are not told the new index either.
            return None;
        }
        self.since = machine.index();
        Some(changes)
    }
}

/// Returns the slices with keys in any of `ranges`, each once.
fn slices_of(table: &slice::Table, ranges: &[slice::Range]) -> Vec<slice::Slice> {
    let overlapping = ranges.iter().flat_map(|range| table.overlapping(*range));
    let by_first: collections::BTreeMap<_, _> = overlapping
        .map(|slice| (slice.range.first, slice))
        .collect();
    by_first.into_values().cloned().collect()
}
