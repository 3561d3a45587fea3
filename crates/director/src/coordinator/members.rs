//! Membership of the replicated group.
//!
//! Replicas join and leave without an order from an operator. One change is made at a time: a new
//! identity is added as a learner, then promoted to voter, and only then is the identity that it
//! replaces removed, so that the group is never short of a voter.

use std::collections;
use std::net;
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
            evacuated: self.driver.machine().evacuated().len(),
        });
        if self.leader.is_none() {
            return Ok(());
        }
        let view = View {
            own: replica.id(),
            members: replica.members(),
            addresses: self.directory.addresses(),
            current: self.directory.current(),
            last_heard: &self.last_heard,
            leads_since: self.leads_since,
        };
        let Some(change) = view.next_change(now) else {
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
}

/// What a leader knows about the members of the group and other replicas.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// Identity of the leader.
    pub own: id::Replica,
    /// Members of the group.
    pub members: &'a members::Members,
    /// Address of each replica that was ever discovered.
    pub addresses: &'a collections::BTreeMap<id::Replica, net::SocketAddr>,
    /// Latest identity at each address.
    pub current: &'a collections::BTreeMap<net::SocketAddr, id::Replica>,
    /// When each replica last sent a message to this one.
    pub last_heard: &'a collections::BTreeMap<id::Replica, clock::Instant>,
    /// Since when this replica has led.
    pub leads_since: clock::Instant,
}

impl View<'_> {
    /// Returns the next change of the group's members, if one is due.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::collections;
    /// use sequoiayoke_consensus::members::{Change, Members};
    /// use sequoiayoke_director::coordinator::members;
    /// use sequoiayoke_model::{clock, id};
    ///
    /// let (own, other) = (id::Replica(1), id::Replica(2));
    /// let address = "10.0.0.2:80".parse().expect("an address");
    /// let now = clock::Instant::now();
    /// let view = members::View {
    ///     own,
    ///     members: &Members::new([own], []),
    ///     addresses: &collections::BTreeMap::from([(other, address)]),
    ///     current: &collections::BTreeMap::from([(address, other)]),
    ///     last_heard: &collections::BTreeMap::from([(other, now)]),
    ///     leads_since: now,
    /// };
    /// assert_eq!(view.next_change(now), Some(Change::AddLearner(other)));
    /// ```
    pub fn next_change(&self, now: clock::Instant) -> Option<members::Change> {
        let (own, group) = (self.own, self.members);
        let is_live = |id: &id::Replica| {
            let last_heard = self.last_heard.get(id);
            last_heard.is_some_and(|heard| now.saturating_since(*heard) < REPLACED_AFTER)
        };
        let current = self.current;
        for id in current.values().filter(|id| **id != own && is_live(id)) {
            if !group.contains(*id) {
                return Some(members::Change::AddLearner(*id));
            }
            if !group.is_voter(*id) {
                return Some(members::Change::Promote(*id));
            }
        }
        let replaced = group.all().find(|id| {
            let address = self.addresses.get(id);
            let successor = address.and_then(|address| current.get(address));
            *id != own
                && successor.is_some_and(|successor| successor != id && group.is_voter(*successor))
        });
        if let Some(id) = replaced {
            return Some(members::Change::Remove(id));
        }
        let voters = group.voters().count();
        let is_even = voters.is_multiple_of(2);
        let lost = group.all().find(|id| {
            let silence = now.saturating_since(self.silent_since(*id));
            *id != own && (silence >= LOST_AFTER || (silence >= REPLACED_AFTER && is_even))
        });
        match lost {
            Some(id) if !group.is_voter(id) || voters > MIN_VOTERS => {
                Some(members::Change::Remove(id))
            }
            _ => None,
        }
    }

    /// Returns since when a member has been silent.
    ///
    /// Members send nothing to each other, only to the leader, so the time before this replica led
    /// does not count.
    fn silent_since(&self, member: id::Replica) -> clock::Instant {
        let last_heard = self.last_heard.get(&member).copied();
        last_heard.map_or(self.leads_since, |heard| heard.max(self.leads_since))
    }
}
