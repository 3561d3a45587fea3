//! The log on disk: closed segments and the one that takes new records.

use std::collections::VecDeque;

use error_stack::Report;
use sequoiayoke_consensus::entry;
use sequoiayoke_consensus::position;
use sequoiayoke_consensus::stored;
use sequoiayoke_model::id;

use crate::fault;
use crate::files;
use crate::medium;
use crate::record;
use crate::replay;
use crate::segment;
use crate::tail;

/// Length in bytes after which a segment is closed.
const SEGMENT_BYTES: u64 = 8 * 1024 * 1024;

/// The log on disk.
#[derive(Debug)]
pub(crate) struct Journal<F> {
    id: id::Replica,
    hard: stored::Hard,
    tail: tail::Tail,
    closed: VecDeque<Closed>,
    writer: segment::Writer<F>,
}

/// A segment that takes no more records.
#[derive(Debug)]
struct Closed {
    sequence: u64,
    last: position::Index,
}

impl<F> Journal<F>
where
    F: medium::File,
{
    /// Creates the first segment.
    pub(crate) fn create<M>(medium: &M, id: id::Replica) -> Result<Self, Report<fault::Fault>>
    where
        M: medium::Medium<File = F>,
    {
        let hard = stored::Hard::default();
        Ok(Self {
            id,
            hard,
            tail: tail::Tail::new(position::Position::default()),
            closed: VecDeque::new(),
            writer: segment::Writer::create(medium, 1, head(id, hard))?,
        })
    }

    /// Continues the last segment. One without a complete head was being
    /// created when the process ended; nothing was acknowledged from it.
    pub(crate) fn resume<M>(
        medium: &M,
        id: id::Replica,
        replay: &mut replay::Replay,
    ) -> Result<Self, Report<fault::Fault>>
    where
        M: medium::Medium<File = F>,
    {
        let mut tail = tail::Tail::new(replay.base);
        tail.extend(replay.entries.iter().map(|entry| entry.position.term));
        let segments = &mut replay.segments;
        if let Some(unfinished) = segments.pop_if(|segment| segment.length == 0) {
            if segments.is_empty() {
                return Err(Report::new(missing("its first segment has no head")));
            }
            files::remove(medium, &segment::name(unfinished.sequence))?;
            files::sync(medium)?;
        }
        let Some(last) = segments.pop() else {
            return Err(Report::new(missing("there is no segment")));
        };
        let closed = segments.iter().map(|segment| Closed {
            sequence: segment.sequence,
            last: segment.last,
        });
        Ok(Self {
            id,
            hard: replay.hard,
            tail,
            closed: closed.collect(),
            writer: segment::Writer::resume(medium, last.sequence, last.length, last.torn)?,
        })
    }

    /// Returns whether the log holds the entry at `position`, or starts after it.
    pub(crate) fn contains(&self, position: position::Position) -> bool {
        self.tail.contains(position)
    }

    /// Notes a term and vote that the next record holds.
    pub(crate) fn set_hard(&mut self, hard: stored::Hard) {
        self.hard = hard;
    }

    /// Notes entries that the next record holds.
    pub(crate) fn set_entries<P>(&mut self, after: position::Index, entries: &[entry::Entry<P>]) {
        self.tail.truncate(after);
        self.tail.extend(entries.iter().map(|e| e.position.term));
    }

    /// Writes the changes as one record, which is either whole or torn.
    pub(crate) fn write<M>(
        &mut self,
        medium: &M,
        changes: Vec<record::Change>,
    ) -> Result<(), Report<fault::Fault>>
    where
        M: medium::Medium<File = F>,
    {
        if changes.is_empty() {
            return Ok(());
        }
        self.writer.append(&record::Record {
            changes,
            ..record::Record::default()
        })?;
        if self.writer.length() >= SEGMENT_BYTES {
            self.rotate(medium, false)?;
        }
        Ok(())
    }

    /// Starts a new segment; with `reset`, all entries before it are void.
    pub(crate) fn rotate<M>(&mut self, medium: &M, reset: bool) -> Result<(), Report<fault::Fault>>
    where
        M: medium::Medium<File = F>,
    {
        let sequence = self.writer.sequence();
        let head = record::Head {
            last: Some(self.tail.last().into()),
            reset,
            ..head(self.id, self.hard)
        };
        self.writer.close()?;
        self.writer = segment::Writer::create(medium, sequence + 1, head)?;
        self.closed.push_back(Closed {
            sequence,
            last: self.tail.last().index,
        });
        Ok(())
    }

    /// Brings the log in line with a snapshot that is on disk, and removes the
    /// segments that it made superfluous.
    pub(crate) fn settle<M>(
        &mut self,
        medium: &M,
        snapshot: position::Position,
    ) -> Result<(), Report<fault::Fault>>
    where
        M: medium::Medium<File = F>,
    {
        if !self.tail.contains(snapshot) {
            self.tail = tail::Tail::new(snapshot);
            self.rotate(medium, true)?;
            for closed in &mut self.closed {
                closed.last = position::Index(0);
            }
        }
        self.tail.trim(snapshot.index);
        // Oldest first, so that the segments that stay are consecutive.
        while let Some(closed) = self.closed.front()
            && closed.last <= snapshot.index
        {
            files::remove(medium, &segment::name(closed.sequence))?;
            self.closed.pop_front();
        }
        Ok(())
    }
}

fn head(id: id::Replica, hard: stored::Hard) -> record::Head {
    record::Head {
        replica: id.0,
        hard: Some(hard.into()),
        last: None,
        reset: false,
    }
}

fn missing(reason: &'static str) -> fault::Fault {
    fault::Fault::Damaged {
        file: "the log".to_owned(),
        offset: 0,
        reason,
    }
}
