//! Durable state from which a replica starts.

use sequoiayoke_model::id;

use crate::effect;
use crate::entry;
use crate::position;
use crate::snapshot;

/// Hard state: term and vote, which must survive a restart so that no replica
/// votes twice in a term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Hard {
    /// Latest term that the replica has seen.
    pub term: position::Term,
    /// Candidate that the replica voted for in that term.
    pub vote: Option<id::Replica>,
}

/// Durable state of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored<P> {
    /// Term and vote.
    pub hard: Hard,
    /// Latest snapshot, or the empty snapshot at position zero if there is none.
    pub snapshot: snapshot::Snapshot,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<entry::Entry<P>>,
}

impl<P> Default for Stored<P> {
    fn default() -> Self {
        Self {
            hard: Hard::default(),
            snapshot: snapshot::Snapshot::default(),
            entries: Vec::new(),
        }
    }
}

impl<P> Stored<P>
where
    P: Clone,
{
    /// Applies a write to this state. A write must change the state on disk in the same way.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_consensus::{effect, position, stored};
    ///
    /// let mut stored = stored::Stored::<String>::default();
    /// let hard = stored::Hard { term: position::Term(3), vote: None };
    /// stored.apply(&effect::Persist::Hard(hard));
    /// assert_eq!(stored.hard, hard);
    /// ```
    pub fn apply(&mut self, write: &effect::Persist<P>) {
        match write {
            effect::Persist::Hard(hard) => self.hard = *hard,
            effect::Persist::Entries { after, entries } => {
                self.entries.retain(|entry| entry.position.index <= *after);
                self.entries.extend_from_slice(entries);
            }
            effect::Persist::Snapshot(snapshot) => {
                let position = snapshot.position;
                let has_entry = self.entries.iter().any(|entry| entry.position == position);
                self.entries
                    .retain(|entry| has_entry && entry.position.index > position.index);
                self.snapshot = snapshot.clone();
            }
        }
    }

    /// Returns the position of the last entry, or of the snapshot if there are no entries.
    pub fn last(&self) -> position::Position {
        self.entries
            .last()
            .map_or(self.snapshot.position, |entry| entry.position)
    }
}
