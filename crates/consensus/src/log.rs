//! In-memory part of the log.

use std::collections::VecDeque;

use bytes::Bytes;

use crate::entry;
use crate::members;
use crate::payload;
use crate::position;
use crate::snapshot;
use crate::stored;

/// Entries after `base`, the latest snapshot, and the memberships since `base`.
///
/// Invariants: `base <= snapshot.position <= commit <= last` by index, entries
/// follow `base` without gaps, and `memberships` is ordered and never empty.
#[derive(Debug)]
pub(crate) struct Log<P> {
    base: position::Position,
    entries: VecDeque<entry::Entry<P>>,
    snapshot: snapshot::Snapshot,
    memberships: Vec<(position::Index, members::Members)>,
    commit: position::Index,
}

impl<P> Log<P>
where
    P: payload::Payload,
{
    /// Restores the log from durable state. `initial` is the membership if the
    /// snapshot holds none.
    pub(crate) fn new(stored: stored::Stored<P>, initial: members::Members) -> Self {
        let base = stored.snapshot.position;
        let members = if stored.snapshot.members.is_empty() {
            initial
        } else {
            stored.snapshot.members.clone()
        };
        let mut log = Self {
            base,
            entries: VecDeque::new(),
            snapshot: stored.snapshot,
            memberships: vec![(base.index, members)],
            commit: base.index,
        };
        for entry in stored.entries {
            log.push(entry);
        }
        log
    }

    pub(crate) fn last(&self) -> position::Position {
        self.entries
            .back()
            .map_or(self.base, |entry| entry.position)
    }

    pub(crate) fn commit(&self) -> position::Index {
        self.commit
    }

    pub(crate) fn snapshot(&self) -> &snapshot::Snapshot {
        &self.snapshot
    }

    /// Returns the latest membership in the log, committed or not.
    pub(crate) fn members(&self) -> &members::Members {
        let (_, members) = self
            .memberships
            .last()
            .expect("the log always contains the membership of its base");
        members
    }

    /// Returns the index from which the latest membership is in effect.
    pub(crate) fn members_index(&self) -> position::Index {
        self.memberships.last().map_or(self.base.index, |m| m.0)
    }

    /// Returns the term of the entry at `index`, unless it was compacted or does not exist.
    pub(crate) fn term_at(&self, index: position::Index) -> Option<position::Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.offset(index)
            .map(|offset| self.entries[offset].position.term)
    }

    /// Returns the position of the entry at `index`, unless it was compacted or does not exist.
    pub(crate) fn position_at(&self, index: position::Index) -> Option<position::Position> {
        self.term_at(index)
            .map(|term| position::Position { term, index })
    }

    pub(crate) fn contains(&self, position: position::Position) -> bool {
        self.term_at(position.index) == Some(position.term)
    }

    fn offset(&self, index: position::Index) -> Option<usize> {
        let first = self.base.index.next();
        let offset = index.0.checked_sub(first.0)? as usize;
        (offset < self.entries.len()).then_some(offset)
    }

    /// Returns the latest position at or before `from` whose term is not later
    /// than that of `from`: the latest that this log can share with a log that
    /// contains `from`.
    pub(crate) fn hint(&self, from: position::Position) -> position::Position {
        let last = self.last();
        let mut index = from.index.min(last.index);
        while index > self.commit {
            match self.position_at(index) {
                Some(position) if position.term <= from.term => return position,
                _ => index = index.previous(),
            }
        }
        self.position_at(self.commit).unwrap_or(self.base)
    }

    /// Returns the latest index at which this log can match the log of a peer that
    /// sent `hint`, or `None` if the entry there was compacted.
    pub(crate) fn common(&self, hint: position::Position) -> Option<position::Index> {
        let mut index = hint.index.min(self.last().index);
        while let Some(term) = self.term_at(index) {
            if term <= hint.term {
                return Some(index);
            }
            if index == self.base.index {
                break;
            }
            index = index.previous();
        }
        None
    }

    /// Returns the entries from `from` on that fit in the limits. The first entry
    /// is returned even if it exceeds them.
    pub(crate) fn batch(
        &self,
        from: position::Index,
        max_bytes: usize,
        max_entries: usize,
    ) -> Vec<entry::Entry<P>> {
        let Some(offset) = self.offset(from) else {
            return Vec::new();
        };
        let mut bytes = 0;
        self.entries
            .range(offset..)
            .take(max_entries.max(1))
            .enumerate()
            .take_while(|(number, entry)| {
                bytes += entry.size();
                *number == 0 || bytes <= max_bytes
            })
            .map(|(_, entry)| entry.clone())
            .collect()
    }

    /// Appends an entry, whose index must follow the last one.
    pub(crate) fn push(&mut self, entry: entry::Entry<P>) {
        let index = entry.position.index;
        assert_eq!(
            index,
            self.last().index.next(),
            "an appended entry must follow the last one"
        );
        if let entry::Content::Members(members) = &entry.content {
            self.memberships.push((index, members.clone()));
        }
        self.entries.push_back(entry);
    }

    /// Removes all entries after `after`.
    pub(crate) fn truncate(&mut self, after: position::Index) {
        assert!(
            after >= self.commit,
            "committed entries must not be removed"
        );
        let keep = after.0.saturating_sub(self.base.index.0) as usize;
        self.entries.truncate(keep);
        self.memberships.retain(|(index, _)| *index <= after);
    }

    /// Advances the commit index and returns the newly committed entries.
    pub(crate) fn commit_to(&mut self, index: position::Index) -> Vec<entry::Entry<P>> {
        let index = index.min(self.last().index);
        if index <= self.commit {
            return Vec::new();
        }
        let from = (self.commit.0 - self.base.index.0) as usize;
        let to = (index.0 - self.base.index.0) as usize;
        self.commit = index;
        self.entries.range(from..to).cloned().collect()
    }

    /// Replaces the log up to the committed `index` with a snapshot. The last
    /// `keep` of the replaced entries stay in memory.
    pub(crate) fn compact(
        &mut self,
        index: position::Index,
        data: Bytes,
        keep: u64,
    ) -> Option<&snapshot::Snapshot> {
        if index > self.commit || index <= self.snapshot.position.index {
            return None;
        }
        let position = self.position_at(index)?;
        let members = self
            .memberships
            .iter()
            .rev()
            .find(|(from, _)| *from <= index)
            .map(|(_, members)| members.clone())?;
        self.snapshot = snapshot::Snapshot {
            position,
            members,
            data,
        };
        self.trim(position::Index(index.0.saturating_sub(keep)));
        Some(&self.snapshot)
    }

    /// Drops the entries up to `index` from memory.
    fn trim(&mut self, index: position::Index) {
        while self.base.index < index {
            match self.entries.pop_front() {
                Some(entry) => self.base = entry.position,
                None => break,
            }
        }
        let outdated = self
            .memberships
            .iter()
            .rposition(|(from, _)| *from <= self.base.index)
            .unwrap_or(0);
        self.memberships.drain(..outdated);
    }

    /// Replaces the whole log with a snapshot.
    pub(crate) fn install_snapshot(&mut self, snapshot: snapshot::Snapshot) {
        assert!(
            snapshot.position.index > self.commit,
            "a snapshot must not replace later committed entries"
        );
        self.base = snapshot.position;
        self.entries.clear();
        self.memberships = vec![(snapshot.position.index, snapshot.members.clone())];
        self.commit = snapshot.position.index;
        self.snapshot = snapshot;
    }
}
