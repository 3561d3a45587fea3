//! Views that nodes may still serve on.
//!
//! A node takes requests from callers until `view_bound` after it sent the last
//! renewal that was acknowledged, which is longer than its lease. So a ticket is
//! not in force yet when the lease of a node that lacks it has just ended.

use std::collections;
use std::time::Duration;

use sequoiayoke_lease::registry;
use sequoiayoke_model::clock;
use sequoiayoke_model::id;

/// Last renewal of one run of a node.
#[derive(Clone, Copy, Debug)]
struct Seen {
    at: clock::Instant,
    applied: id::Version,
}

/// The last renewals of all runs that may still serve, gone ones included.
#[derive(Debug)]
pub(super) struct Renewals {
    bound: Duration,
    // Runs that an earlier leader removed are unknown, and may serve until then.
    unknown_until: Option<clock::Instant>,
    seen: collections::BTreeMap<registry::Member, Seen>,
}

impl Renewals {
    /// Starts at the election of a leader; `bound` includes the drift of clocks.
    pub(super) fn new(bound: Duration, now: clock::Instant, had_nodes: bool) -> Self {
        Self {
            bound,
            unknown_until: had_nodes.then(|| now + bound),
            seen: collections::BTreeMap::new(),
        }
    }

    /// Notes a renewal that is going to be acknowledged.
    pub(super) fn renewed(
        &mut self,
        now: clock::Instant,
        member: registry::Member,
        applied: id::Version,
    ) {
        self.seen.insert(member, Seen { at: now, applied });
    }

    /// Forgets a run that said that it takes no more requests.
    pub(super) fn left(&mut self, member: registry::Member) {
        self.seen.remove(&member);
    }

    /// Forgets the runs whose time is over, which bounds the table.
    pub(super) fn prune(&mut self, now: clock::Instant) {
        let bound = self.bound;
        self.seen.retain(|_, seen| now < seen.at + bound);
    }

    /// Returns the version that no node serves below any more.
    pub(super) fn floor(&self, now: clock::Instant) -> id::Version {
        if self.unknown_until.is_some_and(|until| now < until) {
            return id::Version(0);
        }
        let serving = self.seen.values().filter(|seen| now < seen.at + self.bound);
        let lowest = serving.map(|seen| seen.applied).min();
        lowest.unwrap_or(id::Version(u64::MAX))
    }
}
