//! Leading: heartbeats, replication, commitment, authority.

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
        let own = self.config.id;
        let progress: BTreeMap<_, _> = self
            .log
            .members()
            .all()
            .filter(|member| *member != own)
            .map(|member| (member, progress::Progress::new(last)))
            .collect();
        self.role = Role::Leader(Leadership {
            progress,
            since: now,
            heartbeat_deadline: now + self.config.heartbeat,
            transfer: None,
        });
        self.leader = Some(own);
        self.incoming = None;
        self.report_role();
        // Entries of earlier terms count as committed only once an entry of
        // this term is, since another leader could still replace them.
        self.append(entry::Content::Empty);
        self.send_heartbeats(now);
        self.commit_majority(now);
    }

    /// Adds an entry to the leader's own log.
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
        self.lead(now, content);
    }

    /// Adds an entry and sends it to the other members.
    pub(super) fn lead(&mut self, now: clock::Instant, content: entry::Content<P>) {
        let position = position::Position {
            term: self.hard.term,
            index: self.log.last().index.next(),
        };
        self.emit(effect::Effect::Accepted(position));
        self.append(content);
        self.commit_majority(now);
        self.replicate_all(now);
    }

    /// Returns why a proposal cannot be accepted now, if so.
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

    /// Returns whether this replica may act as leader at `now`: a majority has
    /// acknowledged heartbeats that it sent within the authority span, so none
    /// of them has voted for another yet, and an entry of its term is committed.
    pub fn is_authoritative(&self, now: clock::Instant) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return false;
        };
        let committed = self.log.term_at(self.log.commit());
        committed == Some(self.hard.term)
            && self
                .quorum_sent(leadership, now)
                .is_some_and(|sent| now.saturating_since(sent) < self.config.authority_span())
    }

    /// Returns the latest time such that a majority of voters acknowledged a
    /// heartbeat sent then or later; this replica itself counts as of `now`.
    fn quorum_sent(&self, leadership: &Leadership, now: clock::Instant) -> Option<clock::Instant> {
        let members = self.log.members();
        let mut times: Vec<_> = members
            .voters()
            .map(|voter| self.acknowledged(leadership, voter, now))
            .collect();
        times.sort_unstable_by(|a, b| b.cmp(a));
        times.get(members.majority() - 1).copied().flatten()
    }

    pub(super) fn acknowledged(
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
            .and_then(|progress| progress.acknowledged)
    }

    /// Returns when this leader steps down unless more heartbeats are
    /// acknowledged; none if it needs nobody's acknowledgement.
    pub(super) fn quorum_deadline(&self, leadership: &Leadership) -> Option<clock::Instant> {
        let forever = clock::Instant::from_micros(u64::MAX);
        let sent = self
            .quorum_sent(leadership, forever)
            .unwrap_or(leadership.since)
            .max(leadership.since);
        (sent != forever).then(|| sent + self.config.election_min)
    }

    /// Steps down if no majority has acknowledged heartbeats for too long.
    pub(super) fn check_quorum(&mut self, now: clock::Instant) {
        if let Role::Leader(leadership) = &self.role
            && let Some(deadline) = self.quorum_deadline(leadership)
            && now >= deadline
        {
            tracing::warn!(term = %self.hard.term, "stepping down without a quorum");
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

    /// Returns whether the entry that a probe needs was compacted, so that no
    /// response to it can tell where the logs are equal.
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
        // Without the entry before the next one the peer needs a snapshot, and
        // any position will do for the heartbeat.
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

    /// Sends as many entries as the peer's window permits.
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

    /// Starts to send the latest snapshot to a peer whose next entry is gone.
    fn start_snapshot(&mut self, now: clock::Instant, peer: id::Replica) {
        let snapshot = self.log.snapshot().clone();
        tracing::info!(%peer, position = %snapshot.position, "sending a snapshot");
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

    /// Sends a chunk again whose response is overdue.
    fn resend_chunk(&mut self, now: clock::Instant, peer: id::Replica) {
        let patience = self.config.election_min;
        let overdue = match self.progress(peer).map(|progress| &progress.mode) {
            Some(progress::Mode::Snapshot(transfer)) => {
                now.saturating_since(transfer.sent) >= patience
            }
            _ => false,
        };
        if overdue {
            self.send_chunk(now, peer);
        }
    }

    /// Returns whether a response of `term` is for this leadership.
    fn is_response_current(&mut self, now: clock::Instant, term: position::Term) -> bool {
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
        if !self.is_response_current(now, term) {
            return;
        }
        let last = self.log.last().index;
        let Some(progress) = self.progress(from) else {
            return;
        };
        progress.acknowledge(sent);
        match outcome {
            message::Outcome::Matched(index) => {
                progress.matches(index.min(last));
                self.commit_majority(now);
            }
            message::Outcome::Conflict { rejected, hint } => {
                if !progress.is_rejection_current(rejected, hint.index) {
                    return;
                }
                self.repair(now, from, hint);
            }
        }
        self.replicate(now, from);
        self.continue_transfer(now);
    }

    /// Moves the peer's next entry back to where the logs may be equal.
    fn repair(&mut self, now: clock::Instant, peer: id::Replica, hint: position::Position) {
        let common = self.log.common(hint);
        let Some(progress) = self.progress(peer) else {
            return;
        };
        progress.mode = progress::Mode::Probe;
        match common {
            Some(common) => {
                // Lower is always safe: what is committed stays committed.
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
        if !self.is_response_current(now, term) {
            return;
        }
        let Some(progress) = self.progress(from) else {
            return;
        };
        progress.acknowledge(sent);
        let progress::Mode::Snapshot(transfer) = &mut progress.mode else {
            return;
        };
        // A response with the known offset is a duplicate or reports a lost
        // chunk, which is sent again when overdue.
        if transfer.snapshot.position == position && transfer.offset != offset {
            transfer.offset = offset;
            self.send_chunk(now, from);
        }
    }

    /// Commits the entries of this term that a majority of voters has synced.
    /// This replica's own are durable before the driver carries out the effect.
    pub(super) fn commit_majority(&mut self, now: clock::Instant) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let members = self.log.members();
        let own = self.config.id;
        let mut matched: Vec<_> = members
            .voters()
            .map(|voter| match leadership.progress.get(&voter) {
                Some(progress) => progress.matched,
                None if voter == own => self.log.last().index,
                None => position::Index(0),
            })
            .collect();
        matched.sort_unstable_by(|a, b| b.cmp(a));
        let index = matched[members.majority() - 1];
        if index > self.log.commit() && self.log.term_at(index) == Some(self.hard.term) {
            self.advance_commit(index);
            self.leave_if_removed(now);
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
