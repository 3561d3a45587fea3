//! Membership of the replicated group.
//!
//! Replicas join and leave without an order from an operator. One change is made at a time: a new
//! identity is added as a learner, then promoted to voter, and only then is the identity that it
//! replaces removed, so that the group is never short of a voter.
//!
//! A voter is removed for one of two reasons:
//!
//! - Another identity has introduced itself from its address and is heard, while it is silent. Its disk
//!   is gone, so it never returns.
//! - It is silent. It may be gone for good or return with its disk, which cannot be told apart, so its
//!   removal must be safe in both cases: the voters that are heard are enough to lose as many more
//!   disks as the deployment tolerates and still be a majority ([`Tolerance`]). Otherwise it stays,
//!   since its disk may be one of those that form a majority later.

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
/// Time without a message after which a replica is silent: it is neither added nor promoted, and may
/// be removed.
const SILENT_AFTER: Duration = Duration::from_secs(2);
/// Time without a message up to which a voter counts as present when another one is removed. Voters
/// answer every heartbeat.
const PRESENT_WITHIN: Duration = Duration::from_secs(1);

/// Longest time that a replica which stops still runs.
const STOPS_WITHIN: Duration = Duration::from_secs(5);

impl Coordinator {
    /// Adds replicas that were discovered and removes those that were replaced or lost, one change
    /// at a time.
    pub(super) fn check_members(&mut self, now: clock::Instant) -> supervisor::Outcome {
        let replica = self.driver.replica();
        if now < self.members_check_at || replica.has_pending_change() {
            return Ok(());
        }
        self.members_check_at = now + MEMBERS_CHECK_INTERVAL;
        let view = View {
            own: replica.id(),
            members: replica.members(),
            addresses: self.directory.addresses(),
            current: self.directory.current(),
            contacts: &self.contacts,
            tolerance: self.tolerance,
        };
        let is_leader = self.leader.is_some();
        self.outputs.measure.set_status(measure::Status {
            is_leader,
            term: replica.role().term.0,
            commit: replica.commit().0,
            nodes: self.node_queues.len(),
            voters: replica.members().voters().count(),
            silent_voters: if is_leader {
                view.silent_voters(now).count()
            } else {
                0
            },
            evacuated: self.driver.machine().evacuated().len(),
        });
        if !is_leader {
            return Ok(());
        }
        let Some(change) = view.next_change(now) else {
            return Ok(());
        };
        tracing::info!(?change, "changing the members of the group");
        if matches!(change, members::Change::Remove(_)) {
            // Another removal may be due, and a group between the two may bear fewer losses.
            self.members_check_at = now;
        }
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

/// Losses that the deployment has to bear at the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tolerance {
    vms: usize,
    domains: Part,
    regions: Part,
}

/// Number of failure domains or regions that may be lost, of all that there are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Part {
    lost: usize,
    total: usize,
}

impl Part {
    /// Returns how many of `voters` are lost at most, if they are spread evenly.
    fn share(self, voters: usize) -> usize {
        match self.total {
            0 => 0,
            total => (voters.div_ceil(total) * self.lost).min(voters),
        }
    }
}

impl Tolerance {
    /// Creates a tolerance of the loss of any `vms` VMs.
    pub const fn new(vms: usize) -> Self {
        let none = Part { lost: 0, total: 0 };
        Self {
            vms,
            domains: none,
            regions: none,
        }
    }

    /// Adds the loss of any `lost` failure domains of `total`.
    pub const fn with_domains(mut self, lost: usize, total: usize) -> Self {
        self.domains = Part { lost, total };
        self
    }

    /// Adds the loss of any `lost` regions of `total`.
    pub const fn with_regions(mut self, lost: usize, total: usize) -> Self {
        self.regions = Part { lost, total };
        self
    }

    /// Returns how many more voters a group of `voters` must be able to lose while `present` of them
    /// are heard. It is less than half of the voters, since no group can lose more.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_director::coordinator::members;
    ///
    /// let tolerance = members::Tolerance::new(2);
    /// assert_eq!([3, 4, 6, 7].map(|voters| tolerance.losses(voters, voters)), [1, 1, 2, 2]);
    /// let tolerance = members::Tolerance::new(1).with_domains(1, 3);
    /// assert_eq!(tolerance.losses(7, 6), 2);
    /// ```
    pub fn losses(&self, voters: usize, present: usize) -> usize {
        let parts = self.domains.share(present).max(self.regions.share(present));
        self.vms.max(parts).min(voters.saturating_sub(1) / 2)
    }
}

/// When a replica has heard the others.
#[derive(Clone, Debug)]
pub struct Contacts {
    last_heard: collections::BTreeMap<id::Replica, clock::Instant>,
    /// When replicas said that they stop.
    stopping: collections::BTreeMap<id::Replica, clock::Instant>,
    leads_since: clock::Instant,
}

impl Contacts {
    /// Creates the contacts of a replica that has heard no other one.
    pub const fn new(now: clock::Instant) -> Self {
        Self {
            last_heard: collections::BTreeMap::new(),
            stopping: collections::BTreeMap::new(),
            leads_since: now,
        }
    }

    /// Records an introduction. A replica that stops counts as silent until it introduces itself
    /// again, or is heard after the time that a stop takes.
    pub fn introduce(&mut self, id: id::Replica, is_stopping: bool, now: clock::Instant) {
        self.hear(id, now);
        match is_stopping {
            true => self.stopping.insert(id, now),
            false => self.stopping.remove(&id),
        };
    }

    /// Records any other message.
    pub fn hear(&mut self, id: id::Replica, now: clock::Instant) {
        self.last_heard.insert(id, now);
    }

    /// Records that this replica has become the leader.
    pub const fn lead(&mut self, now: clock::Instant) {
        self.leads_since = now;
    }

    /// Returns whether a replica has said that it stops and was not heard after that, except while it
    /// stopped. A running one whose former process is heard late answers the next heartbeat.
    fn is_stopping(&self, id: id::Replica) -> bool {
        let last_heard = self.last_heard.get(&id);
        let since = self.stopping.get(&id);
        since.is_some_and(|since| last_heard.is_none_or(|heard| *heard < *since + STOPS_WITHIN))
    }

    /// Returns whether a replica was heard so recently that it can be added.
    fn is_live(&self, id: id::Replica, now: clock::Instant) -> bool {
        let last_heard = self.last_heard.get(&id);
        let is_recent = |heard: &clock::Instant| now.saturating_since(*heard) < SILENT_AFTER;
        last_heard.is_some_and(is_recent) && !self.is_stopping(id)
    }

    /// Returns for how long a member has been silent.
    ///
    /// Members send nothing to each other, only to the leader, so the time before this replica led
    /// does not count.
    fn silence(&self, member: id::Replica, now: clock::Instant) -> Duration {
        if self.is_stopping(member) {
            return Duration::MAX;
        }
        let last_heard = self.last_heard.get(&member).copied();
        let since = last_heard.map_or(self.leads_since, |heard| heard.max(self.leads_since));
        now.saturating_since(since)
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
    /// When the others were heard.
    pub contacts: &'a Contacts,
    /// Losses that the group has to bear.
    pub tolerance: Tolerance,
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
    /// let mut contacts = members::Contacts::new(now);
    /// contacts.introduce(other, false, now);
    /// let view = members::View {
    ///     own,
    ///     members: &Members::new([own], []),
    ///     addresses: &collections::BTreeMap::from([(other, address)]),
    ///     current: &collections::BTreeMap::from([(address, other)]),
    ///     contacts: &contacts,
    ///     tolerance: members::Tolerance::new(1),
    /// };
    /// assert_eq!(view.next_change(now), Some(Change::AddLearner(other)));
    /// ```
    pub fn next_change(&self, now: clock::Instant) -> Option<members::Change> {
        let (own, group) = (self.own, self.members);
        let is_live = |id: &id::Replica| self.contacts.is_live(*id, now);
        let current = self.current;
        for id in current.values().filter(|id| **id != own && is_live(id)) {
            if !group.contains(*id) {
                return Some(members::Change::AddLearner(*id));
            }
            if !group.is_voter(*id) {
                return Some(members::Change::Promote(*id));
            }
        }
        // A former identity may be heard late and look like the latest one at its address, so both are
        // judged by what this leader hears of them.
        let is_replaced_by = |id: id::Replica, successor: id::Replica| {
            successor != id
                && group.is_voter(successor)
                && self.silence(successor, now) < PRESENT_WITHIN
                && self.silence(id, now) >= SILENT_AFTER
        };
        let replaced = group.all().find(|id| {
            let address = self.addresses.get(id);
            let successor = address.and_then(|address| current.get(address));
            successor.is_some_and(|successor| is_replaced_by(*id, *successor))
        });
        if let Some(id) = replaced {
            return Some(members::Change::Remove(id));
        }
        self.silent_member(now).map(members::Change::Remove)
    }

    /// Returns the silent member to remove, if the group is safer without it.
    ///
    /// While the voters that are not silent could lose all that is tolerated and still be a majority,
    /// the silent ones do no harm. Otherwise the one that has been silent for the longest time leaves,
    /// provided that the voters that are present are a majority after those losses without any other.
    fn silent_member(&self, now: clock::Instant) -> Option<id::Replica> {
        let mut learners = self.members.learners();
        if let Some(learner) = learners.find(|id| self.silence(*id, now) >= SILENT_AFTER) {
            return Some(learner);
        }
        // A new leader has known the silence of all others for the same time, but one that was heard
        // earlier is more likely to be gone for good.
        let silent = self.silent_voters(now);
        let longest = silent.min_by_key(|id| self.contacts.last_heard.get(id))?;
        let voters = self.members.voters().count();
        let heard = voters - self.silent_voters(now).count();
        let present = self.members.voters();
        let present = present.filter(|id| self.silence(*id, now) < PRESENT_WITHIN);
        let present = present.count();
        let losses = self.tolerance.losses(voters, present);
        let is_exposed = heard < losses + self.members.majority();
        (is_exposed && present > 2 * losses).then_some(longest)
    }

    /// Returns the voters that have sent nothing for too long.
    pub fn silent_voters(&self, now: clock::Instant) -> impl Iterator<Item = id::Replica> + '_ {
        let voters = self.members.voters();
        voters.filter(move |id| self.silence(*id, now) >= SILENT_AFTER)
    }

    fn silence(&self, member: id::Replica, now: clock::Instant) -> Duration {
        match member == self.own {
            true => Duration::ZERO,
            false => self.contacts.silence(member, now),
        }
    }
}
