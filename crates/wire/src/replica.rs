//! Messages between control replicas.

use bytes::Bytes;
use prost::{Message, Oneof};
use sequoiayoke_consensus::entry;
use sequoiayoke_consensus::members;
use sequoiayoke_consensus::message;
use sequoiayoke_consensus::position;
use sequoiayoke_model::clock;
use sequoiayoke_model::id;

use crate::convert::Malformed;

/// Frame between replicas.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// Body of the message; absent only if the peer violates the protocol.
    #[prost(oneof = "Body", tags = "1, 2")]
    pub body: Option<Body>,
}

/// Bodies of [`Frame`].
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// Identifies the sender.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// A message of the replicated log.
    #[prost(message, tag = "2")]
    Log(Log),
}

/// Identity of the sender, and the members of the group that it knows.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Hello {
    /// Region of the group.
    #[prost(string, tag = "1")]
    pub region: String,
    /// Name of the replica.
    #[prost(string, tag = "2")]
    pub name: String,
    /// Id of the replica.
    #[prost(fixed64, tag = "3")]
    pub id: u64,
    /// Members with which the group was bootstrapped; empty if the sender is in no group.
    #[prost(message, repeated, tag = "4")]
    pub members: Vec<Member>,
    /// Whether the sender is about to end.
    #[prost(bool, tag = "5")]
    pub is_stopping: bool,
}

/// Name and id of a replica.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Member {
    /// Name of the replica.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Id of the replica.
    #[prost(fixed64, tag = "2")]
    pub id: u64,
}

/// A message of the replicated log.
#[derive(Clone, PartialEq, Message)]
pub struct Log {
    /// Term of the sender; in a pre-vote and its grant, the term that the candidate would start.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Body of the message; absent only if the peer violates the protocol.
    #[prost(oneof = "Kind", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub kind: Option<Kind>,
}

/// Kinds of [`Log`].
#[derive(Clone, PartialEq, Oneof)]
pub enum Kind {
    /// Asks whether the receiver would grant a vote; has the last entry of the candidate.
    #[prost(message, tag = "2")]
    PreVote(Position),
    /// Answers a pre-vote: whether a vote would be granted.
    #[prost(bool, tag = "3")]
    PreVoted(bool),
    /// Requests a vote.
    #[prost(message, tag = "4")]
    Vote(Vote),
    /// Answers a request for a vote: whether it is granted.
    #[prost(bool, tag = "5")]
    Voted(bool),
    /// Sends entries.
    #[prost(message, tag = "6")]
    Append(Append),
    /// Answers [`Append`], and the last [`Chunk`] of a snapshot.
    #[prost(message, tag = "7")]
    Appended(Appended),
    /// Sends a part of a snapshot.
    #[prost(message, tag = "8")]
    Chunk(Chunk),
    /// Answers a [`Chunk`] that is not the last one.
    #[prost(message, tag = "9")]
    Received(Received),
    /// Asks the receiver to start an election at once.
    #[prost(message, tag = "10")]
    TimeoutNow(TimeoutNow),
}

/// Position in the log.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Position {
    /// Term of the entry.
    #[prost(uint64, tag = "1")]
    pub term: u64,
    /// Index of the entry.
    #[prost(uint64, tag = "2")]
    pub index: u64,
}

/// Request for a vote.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Vote {
    /// Last entry of the candidate.
    #[prost(message, required, tag = "1")]
    pub last: Position,
    /// Whether the leader is transferring its leadership to the candidate.
    #[prost(bool, tag = "2")]
    pub transfer: bool,
}

/// Entries for a follower's log; without any, a heartbeat.
#[derive(Clone, PartialEq, Message)]
pub struct Append {
    /// Position of the entry that precedes `entries`.
    #[prost(message, required, tag = "1")]
    pub previous: Position,
    /// The entries.
    #[prost(message, repeated, tag = "2")]
    pub entries: Vec<Entry>,
    /// Index of the last committed entry.
    #[prost(uint64, tag = "3")]
    pub commit: u64,
    /// Time of sending by the leader's clock, in microseconds.
    #[prost(uint64, tag = "4")]
    pub sent: u64,
}

/// Entry of the log.
#[derive(Clone, PartialEq, Message)]
pub struct Entry {
    /// Position of the entry.
    #[prost(message, required, tag = "1")]
    pub position: Position,
    /// Content of the entry; absent for the first entry of a term.
    #[prost(oneof = "Content", tags = "2, 3")]
    pub content: Option<Content>,
}

/// Content of an entry.
#[derive(Clone, PartialEq, Oneof)]
pub enum Content {
    /// Encoded command.
    #[prost(bytes = "bytes", tag = "2")]
    Payload(Bytes),
    /// Membership from this entry on.
    #[prost(message, tag = "3")]
    Members(Members),
}

/// Membership of the group.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Members {
    /// Ids of the voters.
    #[prost(fixed64, repeated, tag = "1")]
    pub voters: Vec<u64>,
    /// Ids of the learners.
    #[prost(fixed64, repeated, tag = "2")]
    pub learners: Vec<u64>,
}

/// Answer to [`Append`], and to the last [`Chunk`] of a snapshot.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Appended {
    /// Whether the log of the follower now matches the leader's.
    #[prost(bool, tag = "1")]
    pub matched: bool,
    /// Index of the last matching entry, or of the rejected position.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// Position of the last entry that may match.
    #[prost(message, required, tag = "3")]
    pub hint: Position,
    /// Time of sending of the message that is answered, in microseconds of the leader's clock.
    #[prost(uint64, tag = "4")]
    pub sent: u64,
}

/// Part of a snapshot.
#[derive(Clone, PartialEq, Message)]
pub struct Chunk {
    /// Position of the last entry that the snapshot includes.
    #[prost(message, required, tag = "1")]
    pub position: Position,
    /// Membership after that entry.
    #[prost(message, required, tag = "2")]
    pub members: Members,
    /// Size of the snapshot in bytes.
    #[prost(uint64, tag = "3")]
    pub total: u64,
    /// Offset of this part in the snapshot, in bytes.
    #[prost(uint64, tag = "4")]
    pub offset: u64,
    /// Bytes of this part.
    #[prost(bytes = "bytes", tag = "5")]
    pub data: Bytes,
    /// Time of sending by the leader's clock, in microseconds.
    #[prost(uint64, tag = "6")]
    pub sent: u64,
}

/// Answer to a [`Chunk`] that is not the last one.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Received {
    /// Position of the last entry that the snapshot includes.
    #[prost(message, required, tag = "1")]
    pub position: Position,
    /// Number of bytes received without a gap.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// Time of sending of the message that is answered, in microseconds of the leader's clock.
    #[prost(uint64, tag = "3")]
    pub sent: u64,
}

/// Request to start an election at once.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct TimeoutNow {}

/// Encodes a message of the replicated log.
pub fn encode(message: message::Message<Bytes>) -> Frame {
    let kind = match message.body {
        message::Body::PreVote { last } => Kind::PreVote(from_position(last)),
        message::Body::PreVoted { granted } => Kind::PreVoted(granted),
        message::Body::Vote { last, transfer } => Kind::Vote(Vote {
            last: from_position(last),
            transfer,
        }),
        message::Body::Voted { granted } => Kind::Voted(granted),
        message::Body::Append(append) => Kind::Append(Append {
            previous: from_position(append.previous),
            entries: append.entries.into_iter().map(from_entry).collect(),
            commit: append.commit.0,
            sent: append.sent.as_micros(),
        }),
        message::Body::Appended { outcome, sent } => Kind::Appended(from_outcome(outcome, sent)),
        message::Body::Chunk(chunk) => Kind::Chunk(Chunk {
            position: from_position(chunk.position),
            members: from_members(&chunk.members),
            total: chunk.total,
            offset: chunk.offset,
            data: chunk.data,
            sent: chunk.sent.as_micros(),
        }),
        message::Body::Received {
            position,
            offset,
            sent,
        } => Kind::Received(Received {
            position: from_position(position),
            offset,
            sent: sent.as_micros(),
        }),
        message::Body::TimeoutNow => Kind::TimeoutNow(TimeoutNow {}),
    };
    let log = Log {
        term: message.term.0,
        kind: Some(kind),
    };
    Frame {
        body: Some(Body::Log(log)),
    }
}

/// Decodes a message of the replicated log.
///
/// # Errors
///
/// Fails if the message has no kind.
pub fn decode(log: Log) -> Result<message::Message<Bytes>, Malformed> {
    let body = match log.kind.ok_or(Malformed("log message has no kind"))? {
        Kind::PreVote(last) => message::Body::PreVote {
            last: to_position(last),
        },
        Kind::PreVoted(granted) => message::Body::PreVoted { granted },
        Kind::Vote(vote) => message::Body::Vote {
            last: to_position(vote.last),
            transfer: vote.transfer,
        },
        Kind::Voted(granted) => message::Body::Voted { granted },
        Kind::Append(append) => message::Body::Append(message::Append {
            previous: to_position(append.previous),
            entries: append.entries.into_iter().map(to_entry).collect(),
            commit: position::Index(append.commit),
            sent: clock::Instant::from_micros(append.sent),
        }),
        Kind::Appended(appended) => message::Body::Appended {
            outcome: to_outcome(&appended),
            sent: clock::Instant::from_micros(appended.sent),
        },
        Kind::Chunk(chunk) => message::Body::Chunk(message::Chunk {
            position: to_position(chunk.position),
            members: to_members(&chunk.members),
            total: chunk.total,
            offset: chunk.offset,
            data: chunk.data,
            sent: clock::Instant::from_micros(chunk.sent),
        }),
        Kind::Received(received) => message::Body::Received {
            position: to_position(received.position),
            offset: received.offset,
            sent: clock::Instant::from_micros(received.sent),
        },
        Kind::TimeoutNow(_) => message::Body::TimeoutNow,
    };
    Ok(message::Message {
        term: position::Term(log.term),
        body,
    })
}

const fn from_position(position: position::Position) -> Position {
    Position {
        term: position.term.0,
        index: position.index.0,
    }
}

const fn to_position(position: Position) -> position::Position {
    position::Position {
        term: position::Term(position.term),
        index: position::Index(position.index),
    }
}

fn from_entry(entry: entry::Entry<Bytes>) -> Entry {
    let content = match entry.content {
        entry::Content::Empty => None,
        entry::Content::Payload(payload) => Some(Content::Payload(payload)),
        entry::Content::Members(members) => Some(Content::Members(from_members(&members))),
    };
    Entry {
        position: from_position(entry.position),
        content,
    }
}

fn to_entry(entry: Entry) -> entry::Entry<Bytes> {
    let content = match entry.content {
        None => entry::Content::Empty,
        Some(Content::Payload(payload)) => entry::Content::Payload(payload),
        Some(Content::Members(members)) => entry::Content::Members(to_members(&members)),
    };
    entry::Entry {
        position: to_position(entry.position),
        content,
    }
}

fn from_members(members: &members::Members) -> Members {
    Members {
        voters: members.voters().map(|id| id.0).collect(),
        learners: members.learners().map(|id| id.0).collect(),
    }
}

fn to_members(members: &Members) -> members::Members {
    let voters = members.voters.iter().map(|id| id::Replica(*id));
    let learners = members.learners.iter().map(|id| id::Replica(*id));
    members::Members::new(voters, learners)
}

const fn from_outcome(outcome: message::Outcome, sent: clock::Instant) -> Appended {
    let sent = sent.as_micros();
    match outcome {
        message::Outcome::Matched(index) => Appended {
            matched: true,
            index: index.0,
            hint: Position { term: 0, index: 0 },
            sent,
        },
        message::Outcome::Conflict { rejected, hint } => Appended {
            matched: false,
            index: rejected.0,
            hint: from_position(hint),
            sent,
        },
    }
}

const fn to_outcome(appended: &Appended) -> message::Outcome {
    let index = position::Index(appended.index);
    match appended.matched {
        true => message::Outcome::Matched(index),
        false => message::Outcome::Conflict {
            rejected: index,
            hint: to_position(appended.hint),
        },
    }
}
