//! Invariants that every step of every run must preserve.

use std::collections::BTreeMap;

use sequoiayoke_consensus::{effect, entry, message, position, replica, snapshot, stored};
use sequoiayoke_model::id;

use super::Group;

type Message = message::Message<String>;
type Stored = stored::Stored<String>;

/// History of a run against which each step is checked.
#[derive(Default)]
pub(crate) struct Invariants {
    leaders: BTreeMap<position::Term, u64>,
    /// Candidate to which each replica granted its vote in each term.
    votes: BTreeMap<(u64, position::Term), u64>,
    /// Content of each entry that was ever written, with the term of the entry before it.
    written: BTreeMap<position::Position, (entry::Content<String>, position::Term)>,
    pub(crate) committed: Vec<entry::Entry<String>>,
    /// Term in which each of `committed` was committed.
    committed_in: Vec<position::Term>,
}

impl Invariants {
    /// Checks that at most one replica is authoritative at any time, and that it
    /// has applied every committed entry.
    pub(crate) fn check_authority(&self, group: &Group) {
        let ids = group.nodes.keys().copied();
        let leaders: Vec<_> = ids.filter(|id| group.is_authoritative(*id)).collect();
        let now = group.now;
        assert!(
            leaders.len() <= 1,
            "two authoritative leaders at {now} us: {leaders:?}"
        );
        for id in leaders {
            let applied = group.nodes[&id].applied_to;
            let committed = self.committed.len() as u64;
            assert_eq!(
                applied, committed,
                "authoritative leader {id} is behind at {now} us"
            );
        }
    }

    /// Checks that each term has at most one leader, and that it has all entries
    /// committed in earlier terms.
    ///
    /// A replica that was paused while its votes arrived can become leader of an
    /// outdated term. It lacks the entries that later terms committed, and cannot
    /// commit any entry itself.
    pub(crate) fn check_leader(
        &mut self,
        id: u64,
        term: position::Term,
        replica: &replica::Replica<String>,
    ) {
        let leader = *self.leaders.entry(term).or_insert(id);
        assert_eq!(leader, id, "two leaders in {term}");
        for (entry, committed_in) in self.committed.iter().zip(&self.committed_in) {
            let is_compacted = entry.position.index <= replica.snapshot_position().index;
            if *committed_in < term && !is_compacted {
                assert_eq!(
                    replica.position_at(entry.position.index),
                    Some(entry.position),
                    "leader {id} of {term} lacks a committed entry"
                );
            }
        }
    }

    /// Checks that a replica has on disk what it acknowledges, and that it grants
    /// its vote to at most one candidate per term, across restarts.
    pub(crate) fn check_send(&mut self, id: u64, to: u64, message: &Message, stored: &Stored) {
        let term = message.term;
        match &message.body {
            message::Body::Voted { granted: true } => {
                let vote = Some(id::Replica(to));
                let on_disk = stored.hard == stored::Hard { term, vote };
                assert!(
                    on_disk,
                    "{id} granted a vote in {term} that is not on its disk"
                );
                let recorded = *self.votes.entry((id, term)).or_insert(to);
                assert_eq!(recorded, to, "{id} voted twice in {term}");
            }
            message::Body::Appended {
                outcome: message::Outcome::Matched(index),
                ..
            } => {
                let last = stored.entries.last().map(|entry| entry.position);
                let last = last.unwrap_or(stored.snapshot.position).index;
                assert!(
                    last >= *index,
                    "{id} acknowledged {index}, has {last} on disk"
                );
            }
            _ => {}
        }
    }

    /// Checks that the term of a replica never decreases, and that entries with
    /// equal positions are equal and follow entries with equal positions.
    pub(crate) fn check_persist(
        &mut self,
        id: u64,
        stored: &Stored,
        persist: &effect::Persist<String>,
    ) {
        match persist {
            effect::Persist::Hard(hard) => {
                assert!(
                    hard.term >= stored.hard.term,
                    "{id} returned to the earlier term {}",
                    hard.term
                );
            }
            effect::Persist::Entries { after, entries } => {
                let stored_positions = stored.entries.iter().map(|entry| entry.position);
                let mut before = stored_positions
                    .chain([stored.snapshot.position])
                    .find(|position| position.index == *after)
                    .unwrap_or_else(|| panic!("{id} wrote entries after a gap at {after}"));
                for entry in entries {
                    let content_and_previous_term = (entry.content.clone(), before.term);
                    let recorded = self
                        .written
                        .entry(entry.position)
                        .or_insert(content_and_previous_term.clone());
                    assert_eq!(
                        *recorded, content_and_previous_term,
                        "logs differ at {} on {id}",
                        entry.position
                    );
                    before = entry.position;
                }
            }
            effect::Persist::Snapshot(snapshot) => self.check_install(id, snapshot),
        }
    }

    /// Checks that committed entries never change and are emitted without gaps.
    pub(crate) fn check_commit(
        &mut self,
        id: u64,
        term: position::Term,
        applied: u64,
        entry: &entry::Entry<String>,
    ) {
        let index = entry.position.index.0;
        assert_eq!(index, applied + 1, "{id} committed out of order");
        match self.committed.get(applied as usize) {
            Some(recorded) => assert_eq!(recorded, entry, "committed entry changed on {id}"),
            None => {
                self.committed.push(entry.clone());
                self.committed_in.push(term);
            }
        }
    }

    /// Checks that a snapshot is the state after exactly the committed entries up to its position.
    pub(crate) fn check_install(&self, id: u64, snapshot: &snapshot::Snapshot) {
        let index = snapshot.position.index.0 as usize;
        let included = self.committed.get(..index);
        let included = included.expect("a snapshot holds committed entries only");
        let last = included.last().map(|entry| entry.position);
        assert_eq!(last, Some(snapshot.position), "snapshot position on {id}");
        let mut state = String::new();
        for entry in included {
            if let entry::Content::Payload(payload) = &entry.content {
                state.push_str(payload);
                state.push('\n');
            }
        }
        assert_eq!(
            state.as_bytes(),
            &snapshot.data[..],
            "snapshot of {id} differs"
        );
    }
}
