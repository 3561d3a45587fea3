//! Leader role: heartbeats, replication, commitment and authority.

use std::collections::BTreeMap;

use sequoiayoke_model::clock;
use sequoiayoke_model::id;

use super::{Leadership, Replica, Role};
use crate::effect;
use crate::entry;
use crate::message;
use crate::payload;
use crate::position;
use crate::progress;

impl<P> Replica<P>
where
    P: payload::Payload,
{
    pub(super) fn become_leader(&mut self, now: clock::Instant) {
        let last = self.log.last().index;
        let own_id = self.config.id;
        let progress: BTreeMap<_, _> = self
            .log
            .members()
            .all()
            .filter(|member| *member != own_id)
            .map(|member| (member, progress::Progress::new(last)))
            .collect();
        self.role = Role::Leader(Leadership {
            progress,
            elected_at: now,
            heartbeat_deadline: now + self.config.heartbeat,
            transfer: None,
        });
        self.leader = Some(own_id);
        self.incoming = None;
        self.report_role();
        // Entries of earlier terms are committed only together with an entry of
        // this term, since another leader could still replace them before that.
        self.append(entry::Content::Empty);
        self.send_heartbeats(now);
        self.commit_majority(now);
    }

    /// Appends an entry to the log of this leader.
    pub(super) fn append(&mut self, content: entry::Content<P>) -> position::Position {
        let after = self.log.last().index;
        let position = position::Position {
            term: self.hard.term,
            index: after.next(),
        };
        let entry = entry::Entry { position, content };
        self.log.push(entry.clone());
        let persist = effect::Persist::Entries {
            after,
            entries: vec![entry],
        };
        self.emit(effect::Effect::Persist(persist));
        position
    }

    pub(super) fn propose(&mut self, now: clock::Instant, payload: P) {
        let content = entry::Content::Payload(payload);
        if let Err(refusal) = self.check_proposal(now, &content) {
            self.emit(effect::Effect::Refused(refusal));
            return;
        }
        self.append_and_replicate(now, content);
    }

    /// Appends an entry and sends it to the other members.
    pub(super) fn append_and_replicate(&mut self, now: clock::Instant, content: entry::Content<P>) {
        let position = position::Position {
            term: self.hard.term,
            index: self.log.last().index.next(),
        };
        self.emit(effect::Effect::Accepted(position));
        self.append(content);
        self.commit_majority(now);
        self.replicate_all(now);
    }

    /// Checks whether a proposal can be accepted now.
    pub(super) fn check_proposal(
        &self,
        now: clock::Instant,
        content: &entry::Content<P>,
    ) -> Result<(), effect::Refusal> {
        if !self.is_authoritative(now) {
            let leader = self.leader.filter(|leader| *leader != self.config.id);
            return Err(effect::Refusal::NotAuthoritative { leader });
        }
        if let Role::Leader(leadership) = &self.role
            && leadership.transfer.is_some()
        {
            return Err(effect::Refusal::Transferring);
        }
        if let entry::Content::Payload(payload) = content
            && payload.size() > self.config.max_batch_bytes
        {
            return Err(effect::Refusal::TooLarge);
        }
        let uncommitted = self.log.last().index.0 - self.log.commit().0;
        if uncommitted >= self.config.max_uncommitted {
            return Err(effect::Refusal::Overloaded);
        }
        Ok(())
    }

    /// Returns whether this replica may act as leader at `now`.
    ///
    /// A majority must have acknowledged heartbeats that were sent within the
    /// authority duration, so that none of these voters can have voted for
    /// another candidate yet, and an entry of the current term must be committed.
    pub fn is_authoritative(&self, now: clock::Instant) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return false;
        };
        let committed = self.log.term_at(self.log.commit());
        committed == Some(self.hard.term)
            && self
                .quorum_acknowledged(leadership, now)
                .is_some_and(|sent| now.saturating_since(sent) < self.config.authority_duration())
    }

    /// Returns the latest time for which a majority of voters acknowledged a
    /// heartbeat sent at that time or later. This replica itself counts as having
    /// acknowledged at `now`.
    fn quorum_acknowledged(
        &self,
        leadership: &Leadership,
        now: clock::Instant,
    ) -> Option<clock::Instant> {
        let members = self.log.members();
        let mut times: Vec<_> = members
            .voters()
            .map(|voter| self.last_acknowledged(leadership, voter, now))
            .collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(members.majority() - 1).copied().flatten()
    }

    pub(super) fn last_acknowledged(
        &self,
        leadership: &Leadership,
        voter: id::Replica,
        now: clock::Instant,
    ) -> Option<clock::Instant> {
        if voter == self.config.id {
            return Some(now);
        }
        leadership
            .progress
            .get(&voter)
            .and_then(|progress| progress.last_acknowledged)
    }

    /// Returns the time at which this leader steps down unless more heartbeats
    /// are acknowledged, or `None` if it is a majority by itself.
    pub(super) fn quorum_deadline(&self, leadership: &Leadership) -> Option<clock::Instant> {
        let max_instant = clock::Instant::from_micros(u64::MAX);
        let sent = self
            .quorum_acknowledged(leadership, max_instant)
            .unwrap_or(leadership.elected_at)
            .max(leadership.elected_at);
        (sent != max_instant).then(|| sent + self.config.election_min)
    }

    /// Steps down if no majority acknowledged a heartbeat sent within the last `election_min`.
    pub(super) fn check_quorum(&mut self, now: clock::Instant) {
        if let Role::Leader(leadership) = &self.role
            && let Some(deadline) = self.quorum_deadline(leadership)
            && now >= deadline
        {
            tracing::warn!(term = %self.hard.term, "stepping down: lost contact with a majority");
            self.become_follower(now, self.hard.term, None);
        }
    }

    pub(super) fn tick_leader(&mut self, now: clock::Instant) {
        self.expire_transfer(now);
        if let Role::Leader(leadership) = &mut self.role
            && now >= leadership.heartbeat_deadline
        {
            leadership.heartbeat_deadline = now + self.config.heartbeat;
            self.send_heartbeats(now);
        }
    }

    fn peers(&self) -> Vec<id::Replica> {
        match &self.role {
            Role::Leader(leadership) => leadership.progress.keys().copied().collect(),
            _ => Vec::new(),
        }
    }

    fn progress(&mut self, peer: id::Replica) -> Option<&mut progress::Progress> {
        match &mut self.role {
            Role::Leader(leadership) => leadership.progress.get_mut(&peer),
            _ => None,
        }
    }

    fn send_heartbeats(&mut self, now: clock::Instant) {
        for peer in self.peers() {
            self.send_append(now, peer, Vec::new());
            if self.is_probe_compacted(peer) {
                self.start_snapshot(now, peer);
            } else {
                self.resend_chunk(now, peer);
            }
        }
    }

    /// Returns whether the entry that a probe needs was compacted, in which case
    /// no response can show where the logs match.
    fn is_probe_compacted(&self, peer: id::Replica) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return false;
        };
        leadership.progress.get(&peer).is_some_and(|progress| {
            matches!(progress.mode, progress::Mode::Probe)
                && self.log.term_at(progress.next.previous()).is_none()
        })
    }

    /// Sends `entries`, which start at the peer's next index, or a heartbeat.
    fn send_append(
        &mut self,
        now: clock::Instant,
        peer: id::Replica,
        entries: Vec<entry::Entry<P>>,
    ) {
        let Some(progress) = self.progress(peer) else {
            return;
        };
        let next = progress.next.previous();
        // If the entry before the next one was compacted, the peer needs a
        // snapshot, and the heartbeat may carry any position.
        let previous = self
            .log
            .position_at(next)
            .unwrap_or(self.log.snapshot().position);
        let append = message::Append {
            previous,
            entries,
            commit: self.log.commit(),
            sent: now,
        };
        self.send(peer, message::Body::Append(append));
    }

    pub(super) fn replicate_all(&mut self, now: clock::Instant) {
        for peer in self.peers() {
            self.replicate(now, peer);
        }
    }

    /// Sends entries to the peer until its window of messages in flight is full.
    fn replicate(&mut self, now: clock::Instant, peer: id::Replica) {
        let last = self.log.last().index;
        loop {
            let max_in_flight = self.config.max_in_flight;
            let Some(progress) = self.progress(peer) else {
                return;
            };
            let progress::Mode::Replicate(in_flight) = &mut progress.mode else {
                return;
            };
            if progress.next > last || in_flight.len() >= max_in_flight {
                return;
            }
            let next = progress.next;
            if self.log.term_at(next.previous()).is_none() {
                self.start_snapshot(now, peer);
                return;
            }
            let (bytes, count) = (self.config.max_batch_bytes, self.config.max_batch_entries);
            let entries = self.log.batch(next, bytes, count);
            let end = position::Index(next.0 + entries.len() as u64);
            self.send_append(now, peer, entries);
            if let Some(progress) = self.progress(peer) {
                progress.next = end;
                if let progress::Mode::Replicate(in_flight) = &mut progress.mode {
                    in_flight.push_back(end.previous());
                }
            }
        }
    }

    /// Starts to send the latest snapshot to a peer whose next entry was compacted.
    fn start_snapshot(&mut self, now: clock::Instant, peer: id::Replica) {
        let snapshot = self.log.snapshot().clone();
        tracing::info!(%peer, position = %snapshot.position, "sending a snapshot to a peer");
        if let Some(progress) = self.progress(peer) {
            progress.mode = progress::Mode::Snapshot(progress::Transfer {
                snapshot,
                offset: 0,
                sent: now,
            });
        }
        self.send_chunk(now, peer);
    }

    fn send_chunk(&mut self, now: clock::Instant, peer: id::Replica) {
        let size = self.config.max_batch_bytes as u64;
        let Some(progress) = self.progress(peer) else {
            return;
        };
        let progress::Mode::Snapshot(transfer) = &mut progress.mode else {
            return;
        };
        transfer.sent = now;
        let total = transfer.snapshot.data.len() as u64;
        let offset = transfer.offset.min(total);
        let end = offset.saturating_add(size).min(total);
        let chunk = message::Chunk {
            position: transfer.snapshot.position,
            members: transfer.snapshot.members.clone(),
            total,
            offset,
            data: transfer.snapshot.data.slice(offset as usize..end as usize),
            sent: now,
        };
        self.send(peer, message::Body::Chunk(chunk));
    }

    /// Retries a chunk whose response is overdue.
    fn resend_chunk(&mut self, now: clock::Instant, peer: id::Replica) {
        let max_wait = self.config.election_min;
        let overdue = match self.progress(peer).map(|progress| &progress.mode) {
            Some(progress::Mode::Snapshot(transfer)) => {
                now.saturating_since(transfer.sent) >= max_wait
            }
            _ => false,
        };
        if overdue {
            self.send_chunk(now, peer);
        }
    }

    /// Returns whether a response of `term` belongs to the present term of this
    /// leader. Steps down if the response has a later term.
    fn check_response_term(&mut self, now: clock::Instant, term: position::Term) -> bool {
        if term > self.hard.term {
            self.become_follower(now, term, None);
        }
        term == self.hard.term && matches!(self.role, Role::Leader(_))
    }

    pub(super) fn on_appended(
        &mut self,
        now: clock::Instant,
        from: id::Replica,
        term: position::Term,
        outcome: message::Outcome,
        sent: clock::Instant,
    ) {
        if !self.check_response_term(now, term) {
            return;
        }
        let last = self.log.last().index;
        let Some(progress) = self.progress(from) else {
            return;
        };
        progress.acknowledge(sent);
        match outcome {
            message::Outcome::Matched(index) => {
                progress.advance_matched(index.min(last));
                self.commit_majority(now);
            }
            message::Outcome::Conflict { rejected, hint } => {
                if !progress.is_rejection_current(rejected, hint.index) {
                    return;
                }
                self.backtrack(now, from, hint);
            }
        }
        self.replicate(now, from);
        self.continue_transfer(now);
    }

    /// Moves the peer's next entry back to the latest position at which the logs may match.
    fn backtrack(&mut self, now: clock::Instant, peer: id::Replica, hint: position::Position) {
        let common = self.log.common(hint);
        let Some(progress) = self.progress(peer) else {
            return;
        };
        progress.mode = progress::Mode::Probe;
        match common {
            Some(common) => {
                // Lowering `matched` is safe: the commit index never decreases, so
                // committed entries stay committed.
                progress.matched = progress.matched.min(common);
                progress.next = common.next();
                self.send_append(now, peer, Vec::new());
            }
            None => self.start_snapshot(now, peer),
        }
    }

    pub(super) fn on_received(
        &mut self,
        now: clock::Instant,
        from: id::Replica,
        term: position::Term,
        position: position::Position,
        offset: u64,
        sent: clock::Instant,
    ) {
        if !self.check_response_term(now, term) {
            return;
        }
        let Some(progress) = self.progress(from) else {
            return;
        };
        progress.acknowledge(sent);
        let progress::Mode::Snapshot(transfer) = &mut progress.mode else {
            return;
        };
        // A response with an unchanged offset is a duplicate or reports a lost
        // chunk, which `resend_chunk` retries once it is overdue.
        if transfer.snapshot.position == position && transfer.offset != offset {
            transfer.offset = offset;
            self.send_chunk(now, from);
        }
    }

    /// Advances the commit index to the last entry that a majority of voters has
    /// synced, if that entry is of the current term. The entries of this replica
    /// count as synced, since the driver persists them before the `Commit` effect.
    pub(super) fn commit_majority(&mut self, now: clock::Instant) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let members = self.log.members();
        let own_id = self.config.id;
        let mut matched: Vec<_> = members
            .voters()
            .map(|voter| match leadership.progress.get(&voter) {
                Some(progress) => progress.matched,
                None if voter == own_id => self.log.last().index,
                None => position::Index(0),
            })
            .collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let index = matched[members.majority() - 1];
        if index > self.log.commit() && self.log.term_at(index) == Some(self.hard.term) {
            self.advance_commit(index);
            self.step_down_if_removed(now);
        }
    }

    pub(super) fn add_peer(&mut self, peer: id::Replica) {
        let last = self.log.last().index;
        if let Role::Leader(leadership) = &mut self.role {
            leadership
                .progress
                .entry(peer)
                .or_insert_with(|| progress::Progress::new(last));
        }
    }
}
