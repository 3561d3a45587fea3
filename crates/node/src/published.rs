//! State that the coordinator publishes to the traffic threads.

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

/// A consistent snapshot of the node's state.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The view; shared with the coordinator.
    pub view: sync::Arc<view::View>,
    /// Identity of this run of the node, once it has joined.
    pub identity: Option<route::Identity>,
    /// End of the lease.
    pub lease_until: clock::Instant,
    /// Time until which the view is considered current.
    pub view_until: clock::Instant,
    /// Slices whose grant the backend server has acknowledged.
    pub owned: sync::Arc<Owned>,
    /// Whether the node is shutting down.
    pub stopping: bool,
}

impl Snapshot {
    /// Returns the owned slice that contains `hash`.
    pub fn owned_slice(
        &self,
        service: id::Service,
        hash: key::Hash,
    ) -> Option<&sync::Arc<owned::Slice>> {
        let up_to = (service, key::Hash::MIN)..=(service, hash);
        let (_, slice) = self.owned.range(up_to).next_back()?;
        slice.range().contains(hash).then_some(slice)
    }

    /// Returns the reason why the node must refuse new requests at `now`, if any.
    ///
    /// A node that shuts down still forwards to other owners, since it serves
    /// connected callers until its listener closes.
    pub fn refusal(&self, now: clock::Instant) -> Option<outcome::Reason> {
        (now >= self.view_until).then_some(outcome::Reason::StaleView)
    }

    /// Returns the reason why callers should use another node at `now`, if any.
    pub fn unready_reason(&self, now: clock::Instant) -> Option<outcome::Reason> {
        let draining = self.stopping.then_some(outcome::Reason::Draining);
        draining.or_else(|| self.refusal(now))
    }
}

/// The current snapshot and a notification for each new one.
#[derive(Debug)]
pub struct Published {
    current: ArcSwap<Snapshot>,
    changed: watch::Sender<u64>,
}

impl Default for Published {
    fn default() -> Self {
        Self::new()
    }
}

impl Published {
    /// Creates an empty snapshot, for which every request is refused.
    pub fn new() -> Self {
        Self {
            current: ArcSwap::default(),
            changed: watch::Sender::new(0),
        }
    }

    /// Returns the current snapshot.
    pub fn load(&self) -> arc_swap::Guard<sync::Arc<Snapshot>> {
        self.current.load()
    }

    /// Returns a receiver that is notified of every snapshot stored after this call.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Replaces the snapshot; called only by the coordinator.
    pub(crate) fn store(&self, snapshot: Snapshot) {
        self.current.store(sync::Arc::new(snapshot));
        self.changed.send_modify(|count| *count += 1);
    }
}
