//! Membership of the replicated group.
//!
//! Replicas join and leave without an order from an operator. One change is made at a time: a new
//! identity is added as a learner, then promoted to voter, and only then is the identity that it
//! replaces removed, so that the group is never short of a voter.

use std::time::Duration;

use sequoiayoke_consensus::{event as log, members};
use sequoiayoke_link::session;
use sequoiayoke_model::{clock, id};
use sequoiayoke_supervise::supervisor;

use super::{Coordinator, send};
use crate::measure;

/// Interval between checks for replicas to add or remove.
const MEMBERS_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a message after which a replica is no longer added or promoted, and is removed if
/// the number of voters is even, as it is once another replica has replaced it.
const REPLACED_AFTER: Duration = Duration::from_secs(4);
/// Time without a message after which a replica is removed whether the number of voters is even or
/// odd.
const LOST_AFTER: Duration = Duration::from_secs(20);
/// Minimum number of voters that remain when lost voters are removed.
const MIN_VOTERS: usize = 3;

impl Coordinator {
    /// Adds replicas that were discovered and removes those that were replaced or lost, one change
    /// at a time.
    pub(super) fn check_members(&mut self, now: clock::Instant) -> supervisor::Outcome {
        if now.saturating_since(self.members_checked_at) < MEMBERS_CHECK_INTERVAL {
            return Ok(());
        }
        self.members_checked_at = now;
        let replica = self.driver.replica();
        self.outputs.measure.set_status(measure::Status {
            is_leader: self.leader.is_some(),
            term: replica.role().term.0,
            commit: replica.commit().0,
            nodes: self.node_queues.len(),
            voters: replica.members().voters().count(),
        });
        if self.leader.is_none() {
            return Ok(());
        }
        let Some(change) = self.next_member_change(now) else {
            return Ok(());
        };
        tracing::info!(?change, "changing the members of the group");
        self.driver.step(now, log::Event::ChangeMember(change));
        self.flush(now)?;
        self.announce();
        let replicas = session::FromControl::Replicas(self.session_addresses());
        for queue in self.node_queues.values() {
            send(queue, &replicas);
        }
        Ok(())
    }

    /// Returns the next change of the group's members, if one is due.
    pub(super) fn next_member_change(&self, now: clock::Instant) -> Option<members::Change> {
        let group = self.driver.replica().members();
        let own = self.driver.replica().id();
        let time_since_heard = |id: &id::Replica| {
            let last_heard = self.last_heard.get(id).copied();
            // A replica that has sent nothing to this process counts as silent since boot.
            let last_heard = last_heard.unwrap_or(clock::Instant::from_micros(0));
            now.saturating_since(last_heard)
        };
        let current = self.directory.current();
        let is_live = |id: &id::Replica| time_since_heard(id) < REPLACED_AFTER;
        for id in current.values().filter(|id| **id != own && is_live(id)) {
            if !group.contains(*id) {
                return Some(members::Change::AddLearner(*id));
            }
            if !group.is_voter(*id) {
                return Some(members::Change::Promote(*id));
            }
        }
        let replaced = group.all().find(|id| {
            let address = self.directory.address(*id);
            let successor = address.and_then(|address| current.get(&address));
            *id != own
                && successor.is_some_and(|successor| successor != id && group.is_voter(*successor))
        });
        if let Some(id) = replaced {
            return Some(members::Change::Remove(id));
        }
        let voters = group.voters().count();
        let is_even = voters.is_multiple_of(2);
        let lost = group.all().find(|id| {
            let silence = time_since_heard(id);
            *id != own && (silence >= LOST_AFTER || (silence >= REPLACED_AFTER && is_even))
        });
        match lost {
            Some(id) if !group.is_voter(id) || voters > MIN_VOTERS => {
                Some(members::Change::Remove(id))
            }
            _ => None,
        }
    }
}
