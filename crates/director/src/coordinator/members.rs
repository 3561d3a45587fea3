//! Who belongs to the group.
//!
//! Replicas appear and disappear without an order. One change is made at a time:
//! a new identity learns, is promoted, and only then is an old one removed, so
//! that no voter is missing in between.

use std::time::Duration;

use sequoiayoke_consensus::{event as log, members};
use sequoiayoke_link::session;
use sequoiayoke_model::{clock, id};
use sequoiayoke_supervise::supervisor;

use super::{Coordinator, send};
use crate::measure;

/// Pause between two looks at replicas that have to be added or removed.
const MEMBERS_PAUSE: Duration = Duration::from_millis(500);
/// Time without a message after which a replica counts as lost, once another
/// one has taken its place.
const REPLACED_AFTER: Duration = Duration::from_secs(4);
/// Time without a message after which a replica is removed in any case.
const LOST_AFTER: Duration = Duration::from_secs(20);
/// Fewest voters that are left by removals of lost replicas.
const MIN_VOTERS: usize = 3;

impl Coordinator {
    /// Adds replicas that have appeared and removes those that were replaced.
    ///
    /// One change at a time: a new identity learns, is promoted, and only then
    /// is an old one removed, so that no voter is missing in between.
    pub(super) fn check_members(&mut self, now: clock::Instant) -> supervisor::Outcome {
        if now.saturating_since(self.members_checked) < MEMBERS_PAUSE {
            return Ok(());
        }
        self.members_checked = now;
        let replica = self.driver.replica();
        self.outputs.measure.set(measure::Figures {
            leads: self.leader.is_some(),
            term: replica.role().term.0,
            commit: replica.commit().0,
            nodes: self.queues.len(),
            voters: replica.members().voters().count(),
        });
        if self.leader.is_none() {
            return Ok(());
        }
        let Some(change) = self.member_change(now) else {
            return Ok(());
        };
        tracing::info!(?change, "changing the members of the group");
        self.driver.step(now, log::Event::ChangeMember(change));
        self.flush(now)?;
        self.announce();
        let replicas = session::FromControl::Replicas(self.session_addresses());
        for queue in self.queues.values() {
            send(queue, &replicas);
        }
        Ok(())
    }

    pub(super) fn member_change(&self, now: clock::Instant) -> Option<members::Change> {
        let present = self.driver.replica().members();
        let own = self.driver.replica().id();
        let silent = |id: &id::Replica| {
            let heard = self.heard.get(id).copied();
            // A replica that was never heard counts from when this one began to lead.
            let heard = heard.unwrap_or(clock::Instant::from_micros(0));
            now.saturating_since(heard)
        };
        let current = self.directory.current();
        let live = |id: &id::Replica| silent(id) < REPLACED_AFTER;
        for id in current.values().filter(|id| **id != own && live(id)) {
            if !present.contains(*id) {
                return Some(members::Change::AddLearner(*id));
            }
            if !present.is_voter(*id) {
                return Some(members::Change::Promote(*id));
            }
        }
        let replaced = present.all().find(|id| {
            let address = self.directory.address(*id);
            let successor = address.and_then(|one| current.get(&one));
            *id != own && successor.is_some_and(|one| one != id && present.is_voter(*one))
        });
        if let Some(id) = replaced {
            return Some(members::Change::Remove(id));
        }
        let voters = present.voters().count();
        let is_even = voters.is_multiple_of(2);
        let lost = present.all().find(|id| {
            let span = silent(id);
            *id != own && (span >= LOST_AFTER || (span >= REPLACED_AFTER && is_even))
        });
        match lost {
            Some(id) if !present.is_voter(id) || voters > MIN_VOTERS => {
                Some(members::Change::Remove(id))
            }
            _ => None,
        }
    }
}
