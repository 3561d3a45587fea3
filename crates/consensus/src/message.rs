//! Messages between replicas. Their encoding is defined in another crate.

use bytes::Bytes;
use sequoiayoke_model::clock;

use crate::entry;
use crate::members;
use crate::position;

/// A message from one replica to another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message<P> {
    /// Term of the sender. In a pre-vote and its grant, the term that the
    /// candidate would start.
    pub term: position::Term,
    /// Body of the message.
    pub body: Body<P>,
}

/// Body of a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body<P> {
    /// Asks whether a vote would be granted, without a new term.
    PreVote {
        /// Position of the last entry of the candidate.
        last: position::Position,
    },
    /// Responds to `PreVote`.
    PreVoted {
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Requests a vote.
    Vote {
        /// Position of the last entry of the candidate.
        last: position::Position,
        /// Whether the leader itself asked the candidate to take over, so that a
        /// voter does not refuse because it heard the leader recently.
        transfer: bool,
    },
    /// Responds to `Vote`.
    Voted {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Entries from the leader; a heartbeat has none.
    Append(Append<P>),
    /// Responds to `Append`, and to the last `Chunk` of a snapshot.
    Appended {
        /// Whether the log now matches the leader's.
        outcome: Outcome,
        /// Send time, copied from the request.
        sent: clock::Instant,
    },
    /// Part of a snapshot from the leader.
    Chunk(Chunk),
    /// Responds to a `Chunk` that is not the last.
    Received {
        /// Position of the snapshot that the chunk belongs to.
        position: position::Position,
        /// Number of contiguous bytes received so far.
        offset: u64,
        /// Send time, copied from the request.
        sent: clock::Instant,
    },
    /// Asks the receiver to start an election at once.
    TimeoutNow,
}

/// Entries from the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Append<P> {
    /// Position of the entry before the first of `entries`.
    pub previous: position::Position,
    /// Consecutive entries after `previous`.
    pub entries: Vec<entry::Entry<P>>,
    /// Index of the last entry that the leader knows to be committed.
    pub commit: position::Index,
    /// Send time on the leader's clock, which only the leader interprets.
    pub sent: clock::Instant,
}

/// Result of an `Append`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The log matches the leader's up to this index and is synced.
    Matched(position::Index),
    /// The entry at `previous` differs or is missing.
    Conflict {
        /// Index of `previous` in the request.
        rejected: position::Index,
        /// Latest position at which the log may match the leader's.
        hint: position::Position,
    },
}

/// Part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunk {
    /// Position of the last entry that the snapshot includes.
    pub position: position::Position,
    /// Membership after that entry.
    pub members: members::Members,
    /// Size of the whole snapshot in bytes.
    pub total: u64,
    /// Offset of this part in bytes.
    pub offset: u64,
    /// Data of this part.
    pub data: Bytes,
    /// Send time on the leader's clock, which only the leader interprets.
    pub sent: clock::Instant,
}
