//! What must hold at every step of every run.

use std::collections::BTreeMap;

use sequoiayoke_consensus::{effect, entry, message, position, replica, snapshot, stored};
use sequoiayoke_model::id;

use super::Group;

type Message = message::Message<String>;
type Stored = stored::Stored<String>;

/// What has been seen so far.
#[derive(Default)]
pub(crate) struct Laws {
    leaders: BTreeMap<position::Term, u64>,
    /// Candidate that each replica granted its vote, by term.
    votes: BTreeMap<(u64, position::Term), u64>,
    /// Content of each entry ever written and term of the entry before it.
    written: BTreeMap<position::Position, (entry::Content<String>, position::Term)>,
    pub(crate) committed: Vec<entry::Entry<String>>,
    /// Term in which each of `committed` was committed.
    committed_in: Vec<position::Term>,
}

impl Laws {
    /// At most one replica may act as leader at any time, and it knows every
    /// committed entry.
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

    /// At most one leader per term, and it holds all entries committed in
    /// earlier terms. A replica that was paused while its votes arrived can
    /// come to lead a term that is long over; it lacks what later terms
    /// committed, and can commit nothing itself.
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
                    "committed entry vanished: leader {id} of {term} lacks it"
                );
            }
        }
    }

    /// What a replica acknowledges is on its disk, and it grants its vote to one
    /// candidate per term, across restarts.
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
                let first = *self.votes.entry((id, term)).or_insert(to);
                assert_eq!(first, to, "{id} voted twice in {term}");
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

    /// A replica never goes back to an earlier term, and equal positions mean
    /// equal entries after equal ones.
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
                    "{id} went back to {}",
                    hard.term
                );
            }
            effect::Persist::Entries { after, entries } => {
                let known = stored.entries.iter().map(|entry| entry.position);
                let mut before = known
                    .chain([stored.snapshot.position])
                    .find(|position| position.index == *after)
                    .unwrap_or_else(|| panic!("{id} wrote entries after a gap at {after}"));
                for entry in entries {
                    let seen = (entry.content.clone(), before.term);
                    let first = self.written.entry(entry.position).or_insert(seen.clone());
                    assert_eq!(*first, seen, "logs differ at {} on {id}", entry.position);
                    before = entry.position;
                }
            }
            effect::Persist::Snapshot(snapshot) => self.check_install(id, snapshot),
        }
    }

    /// Committed entries never change and are given out without gaps.
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
            Some(first) => assert_eq!(first, entry, "committed entry changed on {id}"),
            None => {
                self.committed.push(entry.clone());
                self.committed_in.push(term);
            }
        }
    }

    /// A snapshot is the state after exactly the committed entries up to it.
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
