//! What the coordinator publishes and traffic threads read.

use std::collections;
use std::sync;

use arc_swap::ArcSwap;
use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_model::outcome;
use sequoiayoke_model::view;
use sequoiayoke_traffic::route;
use tokio::sync::watch;

use crate::traffic::owned;

/// Slices that this node owns, by service and start.
pub type Owned = collections::BTreeMap<(id::Service, key::Hash), sync::Arc<owned::Slice>>;

/// One coherent state of the node.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The view; shared with the coordinator.
    pub view: sync::Arc<view::View>,
    /// This run of the node, once it has joined.
    pub me: Option<route::Identity>,
    /// End of the lease.
    pub lease_until: clock::Instant,
    /// Until when the view counts as current.
    pub view_until: clock::Instant,
    /// Slices whose grant the backend server has taken.
    pub owned: sync::Arc<Owned>,
    /// Whether the node is shutting down.
    pub stopping: bool,
}

impl Snapshot {
    /// Finds the owned slice around `hash`.
    pub fn owned_slice(
        &self,
        service: id::Service,
        hash: key::Hash,
    ) -> Option<&sync::Arc<owned::Slice>> {
        let up_to = (service, key::Hash::MIN)..=(service, hash);
        let (_, slice) = self.owned.range(up_to).next_back()?;
        slice.range().contains(hash).then_some(slice)
    }

    /// Tells why the node may take no new work at `now`, if so.
    ///
    /// A node that shuts down still forwards to other owners, since callers that
    /// are connected to it have a right to an answer until its listener closes.
    pub fn refusal(&self, now: clock::Instant) -> Option<outcome::Reason> {
        (now >= self.view_until).then_some(outcome::Reason::StaleView)
    }

    /// Tells why callers had better go to another node at `now`, if so.
    pub fn unready(&self, now: clock::Instant) -> Option<outcome::Reason> {
        let draining = self.stopping.then_some(outcome::Reason::Draining);
        draining.or_else(|| self.refusal(now))
    }
}

/// The present snapshot and a signal for each new one.
#[derive(Debug)]
pub struct Published {
    present: ArcSwap<Snapshot>,
    changed: watch::Sender<u64>,
}

impl Default for Published {
    fn default() -> Self {
        Self::new()
    }
}

impl Published {
    /// Starts with an empty snapshot, which takes no work.
    pub fn new() -> Self {
        Self {
            present: ArcSwap::default(),
            changed: watch::Sender::new(0),
        }
    }

    /// Returns the present snapshot.
    pub fn load(&self) -> arc_swap::Guard<sync::Arc<Snapshot>> {
        self.present.load()
    }

    /// Returns a receiver that sees every publication after this call.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Replaces the snapshot; only the coordinator calls this.
    pub(crate) fn store(&self, snapshot: Snapshot) {
        self.present.store(sync::Arc::new(snapshot));
        self.changed.send_modify(|count| *count += 1);
    }
}
