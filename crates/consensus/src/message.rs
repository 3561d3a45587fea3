//! Messages between replicas, as plain types that another crate encodes.

use bytes::Bytes;
use sequoiayoke_model::clock;

use crate::entry;
use crate::members;
use crate::position;

/// A message from one replica to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message<P> {
    /// Term of the sender; of a pre-vote and its grant, the term that the
    /// candidate would start.
    pub term: position::Term,
    /// What the message says.
    pub body: Body<P>,
}

/// Body of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body<P> {
    /// Asks whether a vote would be granted, without starting a term.
    PreVote {
        /// Last entry of the candidate.
        last: position::Position,
    },
    /// Responds to `PreVote`.
    PreVoted {
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// Last entry of the candidate.
        last: position::Position,
        /// Whether the leader itself asked the candidate to take over, so that
        /// a voter grants although it heard the leader.
        transfer: bool,
    },
    /// Responds to `Vote`.
    Voted {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Entries from the leader, none for a heartbeat.
    Append(Append<P>),
    /// Responds to `Append`, and to the last `Chunk` of a snapshot.
    Appended {
        /// Whether the entries now match the leader's.
        outcome: Outcome,
        /// Time of sending, copied from the request.
        sent: clock::Instant,
    },
    /// Part of a snapshot from the leader.
    Chunk(Chunk),
    /// Responds to a `Chunk` that is not the last.
    Received {
        /// Snapshot that the chunk belongs to.
        position: position::Position,
        /// Bytes received so far without a gap.
        offset: u64,
        /// Time of sending, copied from the request.
        sent: clock::Instant,
    },
    /// Asks the receiver to stand for election at once.
    TimeoutNow,
}

/// Entries from the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Append<P> {
    /// Entry before the first of `entries`.
    pub previous: position::Position,
    /// Consecutive entries after `previous`.
    pub entries: Vec<entry::Entry<P>>,
    /// Last entry that the leader knows as committed.
    pub commit: position::Index,
    /// Time of sending on the leader's clock; only the leader reads it.
    pub sent: clock::Instant,
}

/// Result of an `Append`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The log equals the leader's up to this index, and is synced.
    Matched(position::Index),
    /// The entry before the first one differs or is missing.
    Conflict {
        /// Index of `previous` in the request.
        rejected: position::Index,
        /// Latest entry that may equal the leader's.
        hint: position::Position,
    },
}

/// Part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Last entry that the snapshot includes.
    pub position: position::Position,
    /// Membership after that entry.
    pub members: members::Members,
    /// Size of the whole snapshot in bytes.
    pub total: u64,
    /// Bytes before this part.
    pub offset: u64,
    /// The bytes of this part.
    pub data: Bytes,
    /// Time of sending on the leader's clock; only the leader reads it.
    pub sent: clock::Instant,
}
