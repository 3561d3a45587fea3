//! Versions of the view from which nodes may still serve.
//!
//! A node accepts requests from callers until `view_bound` after it sent the last renewal
//! that was acknowledged, which is longer than its lease. A ticket is therefore not in force
//! yet when the lease of a node that lacks it has just ended.

use std::collections;
use std::time::Duration;

use sequoiayoke_lease::registry;
use sequoiayoke_model::clock;
use sequoiayoke_model::id;

/// Last renewal of one run of a node.
#[derive(Clone, Copy, Debug)]
struct Renewal {
    at: clock::Instant,
    applied: id::Version,
}

/// The last renewals of all runs that may still serve, including disconnected ones.
#[derive(Debug)]
pub(super) struct Renewals {
    bound: Duration,
    // Runs that an earlier leader removed are unknown and may serve until this time.
    unknown_until: Option<clock::Instant>,
    last: collections::BTreeMap<registry::Member, Renewal>,
}

impl Renewals {
    /// Creates an empty table at the election of a leader; `bound` includes the drift of clocks.
    pub(super) fn new(bound: Duration, now: clock::Instant, had_nodes: bool) -> Self {
        Self {
            bound,
            unknown_until: had_nodes.then(|| now + bound),
            last: collections::BTreeMap::new(),
        }
    }

    /// Records a renewal that is going to be acknowledged.
    pub(super) fn record(
        &mut self,
        now: clock::Instant,
        member: registry::Member,
        applied: id::Version,
    ) {
        self.last.insert(member, Renewal { at: now, applied });
    }

    /// Removes a run that announced that it accepts no more requests.
    pub(super) fn remove(&mut self, member: registry::Member) {
        self.last.remove(&member);
    }

    /// Removes the runs that may no longer serve, which bounds the size of the table.
    pub(super) fn prune(&mut self, now: clock::Instant) {
        let bound = self.bound;
        self.last.retain(|_, renewal| now < renewal.at + bound);
    }

    /// Returns a version below which no node serves any more.
    pub(super) fn floor(&self, now: clock::Instant) -> id::Version {
        if self.unknown_until.is_some_and(|until| now < until) {
            return id::Version(0);
        }
        let serving = self
            .last
            .values()
            .filter(|renewal| now < renewal.at + self.bound);
        let lowest = serving.map(|renewal| renewal.applied).min();
        lowest.unwrap_or(id::Version(u64::MAX))
    }
}
