//! Effects that a replica returns to its driver.

use sequoiayoke_model::id;

use crate::entry;
use crate::members;
use crate::message;
use crate::position;
use crate::snapshot;
use crate::stored;

/// An action for the driver to carry out.
///
/// The driver carries out effects in the given order. It may collect the effects
/// of several steps and carry out their `Persist` effects first, in order and
/// with a single sync, since it is always safe to delay the other effects. If a
/// write fails, the driver must carry out none of the effects after it and drop
/// the replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect<P> {
    /// The proposal or membership change was appended to the log at this position.
    /// It has taken effect once the entry at this position is committed, and is
    /// lost if another entry is committed at its index.
    Accepted(position::Position),
    /// The proposal, change, transfer or compaction was not carried out.
    Refused(Refusal),
    /// Writes durable state, which must be synced before any later effect is carried out.
    Persist(Persist<P>),
    /// Sends a message, which may be lost, delayed, duplicated or reordered.
    Send {
        /// Receiver.
        to: id::Replica,
        /// The message.
        message: message::Message<P>,
    },
    /// Applies these committed entries in order.
    Commit(Vec<entry::Entry<P>>),
    /// Replaces the state of the state machine with this snapshot.
    Install(snapshot::Snapshot),
    /// Reports that the role, the term or the known leader changed.
    Role(Role),
}

/// A change of the durable state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Persist<P> {
    /// Replaces term and vote.
    Hard(stored::Hard),
    /// Removes all entries after `after`, then appends `entries`.
    Entries {
        /// Index of the last entry to keep.
        after: position::Index,
        /// Consecutive entries that follow `after`.
        entries: Vec<entry::Entry<P>>,
    },
    /// Replaces the entries up to the snapshot's position. Later entries are kept
    /// if the log contains an entry with exactly that position; otherwise the
    /// snapshot replaces the whole log.
    Snapshot(snapshot::Snapshot),
}

/// Role of a replica, with its term and leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Role {
    /// Kind of role.
    pub kind: Kind,
    /// Current term of the replica.
    pub term: position::Term,
    /// Leader of the term, if known.
    pub leader: Option<id::Replica>,
}

/// Kind of role of a replica in its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Appends entries and replicates them to the other members.
    Leader,
    /// Any other role: follower, candidate or learner.
    Follower,
}

/// Reason why an event was refused. A refused event changes nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// This replica is not the leader, or a majority has not confirmed its
    /// leadership recently, or it has not committed an entry of its term yet.
    #[error("this replica is not the leader")]
    NotAuthoritative {
        /// Leader to contact instead, if known.
        leader: Option<id::Replica>,
    },
    /// The log has too many uncommitted entries.
    #[error("the log has too many uncommitted entries")]
    Overloaded,
    /// The payload exceeds the size limit of a message.
    #[error("the payload exceeds the size limit of a message")]
    TooLarge,
    /// A leadership transfer is in progress.
    #[error("a leadership transfer is in progress")]
    Transferring,
    /// An earlier membership change is not yet committed.
    #[error("an earlier membership change is not yet committed")]
    ChangePending,
    /// The learner to promote lacks committed entries.
    #[error("the learner to promote lacks committed entries")]
    NotCaughtUp,
    /// The change does not fit the current membership.
    #[error("the change does not fit the membership: {0}")]
    Members(members::Fault),
    /// Fewer than a majority of the voters after the change acknowledged a recent
    /// heartbeat, so the change could leave the group without a quorum.
    #[error("no majority of the voters after the change acknowledged a recent heartbeat")]
    QuorumAtRisk,
    /// No other live voter can take over leadership.
    #[error("no other live voter can take over leadership")]
    NoSuccessor,
    /// The index to compact is not committed or is already compacted.
    #[error("the index to compact is not committed or is already compacted")]
    NotCommitted,
}
