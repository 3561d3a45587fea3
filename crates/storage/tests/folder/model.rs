//! Expected content of a data directory after a list of writes.

use bytes::Bytes;
use sequoiayoke_consensus::{effect, entry, members, position, snapshot, stored};
use sequoiayoke_model::id;
use sequoiayoke_storage::{folder, identity, medium};

pub(crate) type Write = effect::Persist<Bytes>;
pub(crate) type Stored = stored::Stored<Bytes>;

pub(crate) fn owner() -> identity::Owner {
    identity::Owner::new("control-1", "north")
}

pub(crate) fn hard(term: u64, vote: Option<u64>) -> Write {
    effect::Persist::Hard(stored::Hard {
        term: position::Term(term),
        vote: vote.map(id::Replica),
    })
}

/// Returns entries of `term` at the given indexes, with different contents.
pub(crate) fn entries(term: u64, indexes: std::ops::Range<u64>) -> Write {
    let after = position::Index(indexes.start - 1);
    let entries = indexes.map(|index| entry::Entry {
        position: position::Position::new(term, index),
        content: match index % 5 {
            1 => entry::Content::Empty,
            2 => entry::Content::Members(members()),
            _ => entry::Content::Payload(Bytes::from(format!("payload {index} of {term}"))),
        },
    });
    let entries = entries.collect();
    effect::Persist::Entries { after, entries }
}

fn members() -> members::Members {
    members::Members::new([id::Replica(1), id::Replica(2)], [id::Replica(u64::MAX)])
}

pub(crate) fn snapshot(term: u64, index: u64) -> Write {
    effect::Persist::Snapshot(snapshot::Snapshot {
        position: position::Position::new(term, index),
        members: members(),
        data: Bytes::from(format!("state at {index}")),
    })
}

/// Makes the writes durable, and applies them to the expected state `stored`.
pub(crate) fn persist<M>(folder: &mut folder::Folder<M>, stored: &mut Stored, writes: &[Write])
where
    M: medium::Medium,
{
    folder.persist(writes).expect("the medium works");
    for write in writes {
        stored.apply(write);
    }
}

/// Returns the writes of each call of `persist` in a test: votes, entries, a
/// conflict, compactions, and a snapshot from a leader that replaces the log.
pub(crate) fn workload() -> Vec<Vec<Write>> {
    vec![
        vec![snapshot(0, 0), hard(1, Some(7))],
        vec![entries(1, 1..2)],
        vec![hard(2, None), entries(2, 2..6), entries(2, 6..9)],
        vec![hard(3, Some(8)), entries(3, 5..8)],
        vec![snapshot(3, 6)],
        vec![
            entries(3, 8..12),
            snapshot(3, 8),
            hard(4, None),
            entries(4, 12..14),
        ],
        vec![entries(4, 14..15)],
        vec![snapshot(5, 40), hard(5, Some(9))],
        vec![entries(5, 41..43)],
        vec![entries(6, 42..44)],
        vec![snapshot(6, 43)],
        vec![hard(7, None)],
        vec![entries(7, 44..46)],
    ]
}
