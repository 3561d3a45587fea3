//! What a replica finds on its disk when it starts.

use sequoiayoke_model::id;

use crate::entry;
use crate::position;
use crate::snapshot;

/// Term and vote, which must survive a restart so that no replica votes twice
/// in one term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Hard {
    /// Latest term that the replica has seen.
    pub term: position::Term,
    /// Candidate that got its vote in that term.
    pub vote: Option<id::Replica>,
}

/// Durable state of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored<P> {
    /// Term and vote.
    pub hard: Hard,
    /// Latest snapshot; empty at position zero if there is none.
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
