//! Elections: pre-vote, vote, and takeover in a leadership transfer.

use std::collections::BTreeSet;

use sequoiayoke_model::clock;
use sequoiayoke_model::id;

use super::{Replica, Role};
use crate::message;
use crate::payload;
use crate::position;

impl<P> Replica<P>
where
    P: payload::Payload,
{
    /// Starts a pre-vote, which asks whether an election could be won. The term
    /// does not change, so that a replica that was partitioned does not depose the
    /// leader when it reconnects.
    pub(super) fn start_pre_vote(&mut self, now: clock::Instant) {
        self.reset_election_deadline(now);
        self.leader = None;
        if !self.is_voter() {
            self.report_role();
            return;
        }
        self.role = Role::PreCandidate(BTreeSet::from([self.config.id]));
        self.report_role();
        let last = self.log.last();
        let term = self.hard.term.next();
        for voter in self.other_voters() {
            self.send_in(voter, term, message::Body::PreVote { last });
        }
        self.count_pre_votes(now);
    }

    /// Starts an election in a new term and requests votes.
    fn start_vote(&mut self, now: clock::Instant, transfer: bool) {
        self.reset_election_deadline(now);
        self.leader = None;
        self.hard.term = self.hard.term.next();
        self.hard.vote = Some(self.config.id);
        self.role = Role::Candidate(BTreeSet::from([self.config.id]));
        self.report_role();
        let last = self.log.last();
        for voter in self.other_voters() {
            self.send(voter, message::Body::Vote { last, transfer });
        }
        self.count_votes(now);
    }

    fn other_voters(&self) -> Vec<id::Replica> {
        let own_id = self.config.id;
        let voters = self.log.members().voters();
        voters.filter(|voter| *voter != own_id).collect()
    }

    /// Becomes a follower of `leader`, if known, in `term`.
    pub(super) fn become_follower(
        &mut self,
        now: clock::Instant,
        term: position::Term,
        leader: Option<id::Replica>,
    ) {
        if term > self.hard.term {
            self.hard.term = term;
            self.hard.vote = None;
        }
        if matches!(self.role, Role::Leader(_)) {
            self.reset_election_deadline(now);
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.report_role();
    }

    /// Returns whether this replica must refuse votes, because it leads or
    /// because the authority of a leader may still depend on its acknowledgement.
    fn has_recent_leader(&self, now: clock::Instant) -> bool {
        now < self.refuse_votes_until || matches!(self.role, Role::Leader(_))
    }

    pub(super) fn on_pre_vote(
        &mut self,
        now: clock::Instant,
        from: id::Replica,
        term: position::Term,
        last: position::Position,
    ) {
        let granted =
            term > self.hard.term && last >= self.log.last() && !self.has_recent_leader(now);
        let term = if granted { term } else { self.hard.term };
        self.send_in(from, term, message::Body::PreVoted { granted });
    }

    pub(super) fn on_pre_voted(
        &mut self,
        now: clock::Instant,
        from: id::Replica,
        term: position::Term,
        granted: bool,
    ) {
        if !granted {
            if term > self.hard.term {
                self.become_follower(now, term, None);
            }
            return;
        }
        let expected = self.hard.term.next();
        if let Role::PreCandidate(grants) = &mut self.role
            && term == expected
        {
            grants.insert(from);
            self.count_pre_votes(now);
        }
    }

    fn count_pre_votes(&mut self, now: clock::Instant) {
        if let Role::PreCandidate(grants) = &self.role
            && self.is_majority(grants)
        {
            self.start_vote(now, false);
        }
    }

    pub(super) fn on_vote(
        &mut self,
        now: clock::Instant,
        from: id::Replica,
        term: position::Term,
        last: position::Position,
        transfer: bool,
    ) {
        // In a leadership transfer the old leader ends its authority before it asks
        // the candidate to take over, so its last heartbeat is no reason to refuse.
        if !transfer && self.has_recent_leader(now) {
            self.send(from, message::Body::Voted { granted: false });
            return;
        }
        if term > self.hard.term {
            self.become_follower(now, term, None);
        }
        let is_vote_available = self.hard.vote.is_none_or(|vote| vote == from);
        let granted = term == self.hard.term && is_vote_available && last >= self.log.last();
        if granted {
            self.hard.vote = Some(from);
            self.reset_election_deadline(now);
        }
        self.send(from, message::Body::Voted { granted });
    }

    pub(super) fn on_voted(
        &mut self,
        now: clock::Instant,
        from: id::Replica,
        term: position::Term,
        granted: bool,
    ) {
        if term > self.hard.term {
            self.become_follower(now, term, None);
            return;
        }
        if let Role::Candidate(grants) = &mut self.role
            && term == self.hard.term
            && granted
        {
            grants.insert(from);
            self.count_votes(now);
        }
    }

    fn count_votes(&mut self, now: clock::Instant) {
        if let Role::Candidate(grants) = &self.role
            && self.is_majority(grants)
        {
            self.become_leader(now);
        }
    }

    fn is_majority(&self, replicas: &BTreeSet<id::Replica>) -> bool {
        let members = self.log.members();
        let count = members.voters().filter(|v| replicas.contains(v)).count();
        count >= members.majority()
    }

    /// Starts an election at once at the request of the leader.
    pub(super) fn on_timeout_now(
        &mut self,
        now: clock::Instant,
        from: id::Replica,
        term: position::Term,
    ) {
        if term > self.hard.term {
            self.become_follower(now, term, None);
        }
        let is_follower_of_sender =
            matches!(self.role, Role::Follower) && self.leader.is_none_or(|l| l == from);
        if term == self.hard.term && is_follower_of_sender && self.is_voter() {
            self.start_vote(now, true);
        }
    }
}
