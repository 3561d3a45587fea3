//! What a replica tells its driver.

use sequoiayoke_model::id;

use crate::entry;
use crate::members;
use crate::message;
use crate::position;
use crate::snapshot;
use crate::stored;

/// One thing for the driver to do.
///
/// The driver carries out effects in the order given. It may gather the effects
/// of several steps and write their `Persist`s first, in order and with one
/// sync, since delaying the others is always safe. If a write fails, it must
/// carry out none of the effects after it and drop the replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect<P> {
    /// The proposal or membership change was added to the log here. It took
    /// effect once an entry at this position is committed, and is lost if
    /// another entry is committed at its index.
    Accepted(position::Position),
    /// The proposal, change, transfer or compaction was not carried out.
    Refused(Refusal),
    /// Must be durable before any later effect is carried out.
    Persist(Persist<P>),
    /// Sends a message; it may be lost, delayed, duplicated or reordered.
    Send {
        /// Receiver.
        to: id::Replica,
        /// The message.
        message: message::Message<P>,
    },
    /// These entries are committed; apply them in order.
    Commit(Vec<entry::Entry<P>>),
    /// Replaces the state machine by this snapshot.
    Install(snapshot::Snapshot),
    /// Role, term or known leader changed.
    Role(Role),
}

/// A change of the durable state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Persist<P> {
    /// Term and vote.
    Hard(stored::Hard),
    /// Removes all entries after `after`, then adds `entries`.
    Entries {
        /// Last entry to keep.
        after: position::Index,
        /// Consecutive entries that follow it.
        entries: Vec<entry::Entry<P>>,
    },
    /// Replaces the entries up to the snapshot's position. Entries after it
    /// stay if the log holds an entry at exactly that position; otherwise the
    /// whole log is replaced.
    Snapshot(snapshot::Snapshot),
}

/// Role of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Role {
    /// What the replica does.
    pub kind: Kind,
    /// Its term.
    pub term: position::Term,
    /// Leader of the term, if known.
    pub leader: Option<id::Replica>,
}

/// What a replica does in its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Proposes entries.
    Leader,
    /// Follows, stands for election or learns.
    Follower,
}

/// Reason why an event was refused; it had no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// This replica is not leader, or not confirmed as leader by a majority.
    #[error("this replica is not the leader")]
    NotAuthoritative {
        /// Leader to ask instead, if known.
        leader: Option<id::Replica>,
    },
    /// Too many entries await commitment.
    #[error("too many entries await commitment")]
    Overloaded,
    /// The payload is larger than a message may be.
    #[error("the payload is larger than a message may be")]
    TooLarge,
    /// Leadership is being handed over.
    #[error("leadership is being handed over")]
    Transferring,
    /// An earlier membership change is not committed yet.
    #[error("an earlier membership change is not committed yet")]
    ChangePending,
    /// The learner to promote lacks committed entries.
    #[error("the learner has not caught up yet")]
    NotCaughtUp,
    /// The change does not fit the present membership.
    #[error("the change does not fit the membership: {0}")]
    Members(members::Fault),
    /// Too few voters of the new membership were heard recently; the change
    /// could leave the group without a majority.
    #[error("too few of the voters after the change were heard recently")]
    QuorumAtRisk,
    /// No other voter could take over.
    #[error("no other voter could take over")]
    NoSuccessor,
    /// The index to compact is not committed or already compacted.
    #[error("the index is not committed or already compacted")]
    NotCommitted,
}
