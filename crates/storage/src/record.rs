//! Stored forms of the log, snapshots and the identity, and their conversions.

use bytes::Bytes;
use sequoiayoke_consensus::effect;
use sequoiayoke_consensus::entry;
use sequoiayoke_consensus::members;
use sequoiayoke_consensus::position;
use sequoiayoke_consensus::stored;
use sequoiayoke_model::id;

/// A record of the log.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Record {
    /// Present in the first record of a segment and in no other.
    #[prost(message, optional, tag = "1")]
    pub(crate) head: Option<Head>,
    /// Changes that become durable together.
    #[prost(message, repeated, tag = "2")]
    pub(crate) changes: Vec<Change>,
    /// Whether this record is a sync marker, written after the sync of the record before
    /// it. An invalid record with a sync marker after it was durable, so it is damaged and
    /// not torn.
    #[prost(bool, tag = "3")]
    pub(crate) synced: bool,
}

/// Header of a segment, with the state at the end of the segments before it.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Head {
    #[prost(fixed64, tag = "1")]
    pub(crate) replica: u64,
    #[prost(message, optional, tag = "2")]
    pub(crate) hard: Option<Hard>,
    /// Last entry before this segment.
    #[prost(message, optional, tag = "3")]
    pub(crate) last: Option<Position>,
    /// Whether a snapshot replaced all earlier entries.
    #[prost(bool, tag = "4")]
    pub(crate) reset: bool,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Change {
    #[prost(message, optional, tag = "1")]
    pub(crate) hard: Option<Hard>,
    #[prost(message, optional, tag = "2")]
    pub(crate) entries: Option<Entries>,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(crate) struct Hard {
    #[prost(uint64, tag = "1")]
    pub(crate) term: u64,
    #[prost(fixed64, optional, tag = "2")]
    pub(crate) vote: Option<u64>,
}

#[derive(Clone, Copy, PartialEq, prost::Message)]
pub(crate) struct Position {
    #[prost(uint64, tag = "1")]
    pub(crate) term: u64,
    #[prost(uint64, tag = "2")]
    pub(crate) index: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Entries {
    #[prost(uint64, tag = "1")]
    pub(crate) after: u64,
    #[prost(message, repeated, tag = "2")]
    pub(crate) entries: Vec<Entry>,
}

/// An entry of the log. It is an empty entry if it has neither payload nor members.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Entry {
    #[prost(message, optional, tag = "1")]
    pub(crate) position: Option<Position>,
    #[prost(bytes = "bytes", optional, tag = "2")]
    pub(crate) payload: Option<Bytes>,
    #[prost(message, optional, tag = "3")]
    pub(crate) members: Option<Members>,
}

#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Members {
    #[prost(fixed64, repeated, tag = "1")]
    pub(crate) voters: Vec<u64>,
    #[prost(fixed64, repeated, tag = "2")]
    pub(crate) learners: Vec<u64>,
}

/// Body of a snapshot file.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Snapshot {
    #[prost(fixed64, tag = "1")]
    pub(crate) replica: u64,
    #[prost(message, optional, tag = "2")]
    pub(crate) position: Option<Position>,
    #[prost(message, optional, tag = "3")]
    pub(crate) members: Option<Members>,
    #[prost(bytes = "bytes", tag = "4")]
    pub(crate) data: Bytes,
}

/// Body of the identity file.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Identity {
    #[prost(fixed64, tag = "1")]
    pub(crate) replica: u64,
    #[prost(string, tag = "2")]
    pub(crate) name: String,
    #[prost(string, tag = "3")]
    pub(crate) region: String,
    #[prost(uint64, tag = "4")]
    pub(crate) folder_inode: u64,
    #[prost(uint64, tag = "5")]
    pub(crate) file_inode: u64,
}

impl From<position::Position> for Position {
    fn from(position: position::Position) -> Self {
        Self {
            term: position.term.0,
            index: position.index.0,
        }
    }
}

impl From<Position> for position::Position {
    fn from(position: Position) -> Self {
        Self::new(position.term, position.index)
    }
}

impl From<stored::Hard> for Hard {
    fn from(hard: stored::Hard) -> Self {
        Self {
            term: hard.term.0,
            vote: hard.vote.map(|vote| vote.0),
        }
    }
}

impl From<Hard> for stored::Hard {
    fn from(hard: Hard) -> Self {
        Self {
            term: position::Term(hard.term),
            vote: hard.vote.map(id::Replica),
        }
    }
}

impl From<&members::Members> for Members {
    fn from(members: &members::Members) -> Self {
        Self {
            voters: members.voters().map(|voter| voter.0).collect(),
            learners: members.learners().map(|learner| learner.0).collect(),
        }
    }
}

impl From<Members> for members::Members {
    fn from(members: Members) -> Self {
        Self::new(
            members.voters.into_iter().map(id::Replica),
            members.learners.into_iter().map(id::Replica),
        )
    }
}

impl From<&entry::Entry<Bytes>> for Entry {
    fn from(entry: &entry::Entry<Bytes>) -> Self {
        let (payload, members) = match &entry.content {
            entry::Content::Empty => (None, None),
            entry::Content::Payload(payload) => (Some(payload.clone()), None),
            entry::Content::Members(members) => (None, Some(members.into())),
        };
        Self {
            position: Some(entry.position.into()),
            payload,
            members,
        }
    }
}

impl From<Entry> for entry::Entry<Bytes> {
    fn from(entry: Entry) -> Self {
        let content = match (entry.payload, entry.members) {
            (Some(payload), _) => entry::Content::Payload(payload),
            (None, Some(members)) => entry::Content::Members(members.into()),
            (None, None) => entry::Content::Empty,
        };
        Self {
            position: entry.position.unwrap_or_default().into(),
            content,
        }
    }
}

impl Change {
    /// Returns the change for a write, or `None` for a snapshot, which has its own
    /// file.
    pub(crate) fn new(write: &effect::Persist<Bytes>) -> Option<Self> {
        match write {
            effect::Persist::Hard(hard) => Some(Self {
                hard: Some((*hard).into()),
                entries: None,
            }),
            effect::Persist::Entries { after, entries } => Some(Self {
                hard: None,
                entries: Some(Entries {
                    after: after.0,
                    entries: entries.iter().map(Entry::from).collect(),
                }),
            }),
            effect::Persist::Snapshot(_) => None,
        }
    }
}
