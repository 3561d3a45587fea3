//! Follower role: receives entries and snapshots from the leader.

use bytes::Bytes;
use sequoiayoke_model::clock;
use sequoiayoke_model::id;

use super::{Replica, Role};
use crate::effect;
use crate::entry;
use crate::message;
use crate::payload;
use crate::position;
use crate::snapshot;

/// A snapshot of which only some chunks have been received.
#[derive(Debug)]
pub(super) struct Incoming {
    term: position::Term,
    position: position::Position,
    data: Vec<u8>,
}

impl<P> Replica<P>
where
    P: payload::Payload,
{
    /// Becomes a follower of the leader that sent a message of `term`. Returns
    /// false if the message must be ignored.
    fn follow_leader(
        &mut self,
        now: clock::Instant,
        from: id::Replica,
        term: position::Term,
    ) -> bool {
        if term == self.hard.term {
            let has_other_leader = self.leader.is_some_and(|leader| leader != from);
            if has_other_leader || matches!(self.role, Role::Leader(_)) {
                tracing::error!(%term, %from, "ignoring a second leader in the same term");
                return false;
            }
        }
        self.become_follower(now, term, Some(from));
        self.refuse_votes_until = self.refuse_votes_until.max(now + self.config.election_min);
        self.reset_election_deadline(now);
        true
    }

    pub(super) fn on_append(
        &mut self,
        now: clock::Instant,
        from: id::Replica,
        term: position::Term,
        append: message::Append<P>,
    ) {
        let sent = append.sent;
        if term < self.hard.term {
            // The term of the response makes an outdated leader step down.
            let outcome = message::Outcome::Conflict {
                rejected: append.previous.index,
                hint: position::Position::default(),
            };
            self.send(from, message::Body::Appended { outcome, sent });
            return;
        }
        if !is_well_formed(term, &append) {
            tracing::error!(%from, "ignoring an append message with inconsistent positions");
            return;
        }
        if !self.follow_leader(now, from, term) {
            return;
        }
        let commit = append.commit;
        let outcome = self.append_entries(append);
        self.send(from, message::Body::Appended { outcome, sent });
        if let message::Outcome::Matched(matched) = outcome {
            self.advance_commit(commit.min(matched));
        }
    }

    /// Appends the leader's entries if the log contains the entry before them.
    fn append_entries(&mut self, append: message::Append<P>) -> message::Outcome {
        let mut matched = position::Index(append.previous.index.0 + append.entries.len() as u64);
        let commit = self.log.commit();
        // The leader has every committed entry, so those need no comparison.
        if append.previous.index > commit && !self.log.contains(append.previous) {
            return message::Outcome::Conflict {
                rejected: append.previous.index,
                hint: self.log.hint(append.previous),
            };
        }
        matched = matched.max(commit);
        let mut entries = append.entries;
        let known_count = entries
            .iter()
            .take_while(|e| e.position.index <= commit || self.log.contains(e.position))
            .count();
        entries.drain(..known_count);
        let Some(first) = entries.first() else {
            return message::Outcome::Matched(matched);
        };
        let after = first.position.index.previous();
        self.log.truncate(after);
        for entry in &entries {
            self.log.push(entry.clone());
        }
        let persist = effect::Persist::Entries { after, entries };
        self.emit(effect::Effect::Persist(persist));
        message::Outcome::Matched(matched)
    }

    /// Advances the commit index to `index` and emits the newly committed entries.
    pub(super) fn advance_commit(&mut self, index: position::Index) {
        let entries = self.log.commit_to(index);
        if !entries.is_empty() {
            self.emit(effect::Effect::Commit(entries));
        }
    }

    pub(super) fn on_chunk(
        &mut self,
        now: clock::Instant,
        from: id::Replica,
        term: position::Term,
        chunk: message::Chunk,
    ) {
        let sent = chunk.sent;
        if term < self.hard.term {
            let outcome = message::Outcome::Conflict {
                rejected: chunk.position.index,
                hint: position::Position::default(),
            };
            self.send(from, message::Body::Appended { outcome, sent });
            return;
        }
        if !self.follow_leader(now, from, term) {
            return;
        }
        if self.log.contains(chunk.position) {
            self.advance_commit(chunk.position.index);
        }
        if chunk.position.index <= self.log.commit() {
            self.incoming = None;
            let outcome = message::Outcome::Matched(self.log.commit());
            self.send(from, message::Body::Appended { outcome, sent });
            return;
        }
        if chunk.total > self.config.max_snapshot_bytes {
            tracing::error!(%from, bytes = chunk.total, "rejecting a snapshot that is too large");
            return;
        }
        self.add_chunk(from, &chunk);
    }

    /// Appends a chunk to the incoming snapshot, and installs the snapshot once it
    /// is complete.
    fn add_chunk(&mut self, from: id::Replica, chunk: &message::Chunk) {
        let term = self.hard.term;
        let mut incoming = self
            .incoming
            .take()
            .filter(|i| i.term == term && i.position == chunk.position)
            .unwrap_or_else(|| Incoming {
                term,
                position: chunk.position,
                data: Vec::new(),
            });
        let end = chunk.offset + chunk.data.len() as u64;
        if incoming.data.len() as u64 == chunk.offset && end <= chunk.total {
            incoming.data.extend_from_slice(&chunk.data);
        }
        let (position, sent) = (chunk.position, chunk.sent);
        let offset = incoming.data.len() as u64;
        if offset < chunk.total {
            self.incoming = Some(incoming);
            let body = message::Body::Received {
                position,
                offset,
                sent,
            };
            self.send(from, body);
            return;
        }
        self.install_snapshot(snapshot::Snapshot {
            position,
            members: chunk.members.clone(),
            data: Bytes::from(incoming.data),
        });
        let outcome = message::Outcome::Matched(position.index);
        self.send(from, message::Body::Appended { outcome, sent });
    }

    fn install_snapshot(&mut self, snapshot: snapshot::Snapshot) {
        tracing::info!(position = %snapshot.position, "installing a snapshot from the leader");
        self.log.install_snapshot(snapshot.clone());
        let persist = effect::Persist::Snapshot(snapshot.clone());
        self.emit(effect::Effect::Persist(persist));
        self.emit(effect::Effect::Install(snapshot));
    }
}

/// Returns whether the entries have consecutive indexes after `previous` and
/// terms that neither decrease nor exceed the leader's.
fn is_well_formed<P>(term: position::Term, append: &message::Append<P>) -> bool {
    let mut preceding = append.previous;
    append.entries.iter().all(|entry: &entry::Entry<P>| {
        let position = entry.position;
        let is_consecutive =
            position.index == preceding.index.next() && position.term >= preceding.term;
        preceding = position;
        is_consecutive
    }) && preceding.term <= term
}
