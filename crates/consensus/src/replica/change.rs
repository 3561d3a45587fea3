//! Membership changes, leadership transfer and compaction.

use bytes::Bytes;
use sequoiayoke_model::clock;
use sequoiayoke_model::id;

use super::{Leadership, Replica, Role};
use crate::effect;
use crate::entry;
use crate::members;
use crate::message;
use crate::payload;
use crate::position;

/// A leadership transfer that waits for the successor to catch up.
#[derive(Debug)]
pub(super) struct Transfer {
    to: id::Replica,
    /// Time at which the transfer is abandoned.
    pub(super) deadline: clock::Instant,
}

impl<P> Replica<P>
where
    P: payload::Payload,
{
    pub(super) fn change_member(&mut self, now: clock::Instant, change: members::Change) {
        match self.check_change(now, change) {
            Ok(members) => self.apply_change(now, members),
            Err(refusal) => self.emit(effect::Effect::Refused(refusal)),
        }
    }

    /// Returns the membership after `change`, or the reason why it is refused now.
    fn check_change(
        &self,
        now: clock::Instant,
        change: members::Change,
    ) -> Result<members::Members, effect::Refusal> {
        self.check_proposal(now, &entry::Content::Empty)?;
        // With two concurrent changes there could be two majorities that share no
        // replica.
        if self.has_pending_change() {
            return Err(effect::Refusal::ChangePending);
        }
        let members = self.log.members().with_change(change);
        let members = members.map_err(effect::Refusal::Members)?;
        if let Role::Leader(leadership) = &self.role {
            if let members::Change::Promote(learner) = change {
                self.check_caught_up(leadership, learner)?;
            }
            let live = members
                .voters()
                .filter(|voter| self.is_live(leadership, *voter, now))
                .count();
            if live < members.majority() {
                return Err(effect::Refusal::QuorumAtRisk);
            }
        }
        Ok(members)
    }

    fn check_caught_up(
        &self,
        leadership: &Leadership,
        learner: id::Replica,
    ) -> Result<(), effect::Refusal> {
        let progress = leadership.progress.get(&learner);
        if progress.is_some_and(|progress| progress.matched >= self.log.commit()) {
            Ok(())
        } else {
            Err(effect::Refusal::NotCaughtUp)
        }
    }

    /// Returns whether `voter` acknowledged a recent heartbeat.
    fn is_live(&self, leadership: &Leadership, voter: id::Replica, now: clock::Instant) -> bool {
        self.last_acknowledged(leadership, voter, now)
            .is_some_and(|sent| now.saturating_since(sent) < self.config.election_min)
    }

    fn apply_change(&mut self, now: clock::Instant, members: members::Members) {
        let own_id = self.config.id;
        for member in members.all().filter(|member| *member != own_id) {
            self.add_peer(member);
        }
        // A removed member receives the entry too, so that it starts no more
        // elections. After that the leader sends it nothing.
        self.append_and_replicate(now, entry::Content::Members(members.clone()));
        if let Role::Leader(leadership) = &mut self.role {
            leadership
                .progress
                .retain(|member, _| members.contains(*member));
        }
        self.commit_majority(now);
    }

    /// Steps down once the entry that removed this leader is committed.
    pub(super) fn step_down_if_removed(&mut self, now: clock::Instant) {
        let committed = self.log.members_index() <= self.log.commit();
        if committed && !self.is_voter() {
            self.become_follower(now, self.hard.term, None);
        }
    }

    pub(super) fn transfer(&mut self, now: clock::Instant) {
        if let Err(refusal) = self.check_proposal(now, &entry::Content::Empty) {
            self.emit(effect::Effect::Refused(refusal));
            return;
        }
        let deadline = now + self.config.election_max;
        let Some(to) = self.successor(now) else {
            let refusal = effect::Refusal::NoSuccessor;
            self.emit(effect::Effect::Refused(refusal));
            return;
        };
        if let Role::Leader(leadership) = &mut self.role {
            leadership.transfer = Some(Transfer { to, deadline });
        }
        self.continue_transfer(now);
    }

    /// Returns the live voter whose log matches furthest.
    fn successor(&self, now: clock::Instant) -> Option<id::Replica> {
        let Role::Leader(leadership) = &self.role else {
            return None;
        };
        leadership
            .progress
            .iter()
            .filter(|(id, _)| self.log.members().is_voter(**id))
            .filter(|(id, _)| self.is_live(leadership, **id, now))
            .max_by_key(|(_, progress)| progress.matched)
            .map(|(id, _)| *id)
    }

    /// Transfers leadership once the successor has the whole log and all of it is committed.
    pub(super) fn continue_transfer(&mut self, now: clock::Instant) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let Some(transfer) = &leadership.transfer else {
            return;
        };
        let to = transfer.to;
        let last = self.log.last().index;
        let matched = leadership.progress.get(&to).map(|p| p.matched);
        if matched != Some(last) || self.log.commit() != last {
            return;
        }
        // Voters grant the successor a vote although they heard this leader, so
        // this leader must step down before the message is sent.
        self.become_follower(now, self.hard.term, None);
        self.send(to, message::Body::TimeoutNow);
    }

    pub(super) fn expire_transfer(&mut self, now: clock::Instant) {
        if let Role::Leader(leadership) = &mut self.role
            && leadership
                .transfer
                .as_ref()
                .is_some_and(|t| now >= t.deadline)
        {
            tracing::warn!(
                "abandoning the leadership transfer: the successor did not catch up in time"
            );
            leadership.transfer = None;
        }
    }

    pub(super) fn compact(&mut self, index: position::Index, data: Bytes) {
        let keep = self.config.keep_entries;
        let effect = match self.log.compact(index, data, keep) {
            Some(snapshot) => effect::Effect::Persist(effect::Persist::Snapshot(snapshot.clone())),
            None => effect::Effect::Refused(effect::Refusal::NotCommitted),
        };
        self.emit(effect);
    }
}
