//! The log on disk: closed segments and the open one, to which records are appended.

use std::collections::VecDeque;

use error_stack::Report;
use sequoiayoke_consensus::entry;
use sequoiayoke_consensus::position;
use sequoiayoke_consensus::stored;
use sequoiayoke_model::id;

use crate::fault;
use crate::files;
use crate::medium;
use crate::positions;
use crate::record;
use crate::replay;
use crate::segment;

/// Length in bytes after which a segment is closed.
const SEGMENT_BYTES: u64 = 8 * 1024 * 1024;

/// The log on disk.
#[derive(Debug)]
pub(crate) struct Journal<F> {
    id: id::Replica,
    hard: stored::Hard,
    positions: positions::Positions,
    closed: VecDeque<Closed>,
    writer: segment::Writer<F>,
}

/// A segment to which no more records are appended.
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
            positions: positions::Positions::new(position::Position::default()),
            closed: VecDeque::new(),
            writer: segment::Writer::create(medium, 1, head(id, hard))?,
        })
    }

    /// Opens the last segment for appending.
    ///
    /// A segment without a complete header is removed: the process ended while creating
    /// it, so none of its records was acknowledged.
    ///
    /// # Errors
    ///
    /// Returns a fault if the log has no complete segment, or if a file operation fails.
    pub(crate) fn resume<M>(
        medium: &M,
        id: id::Replica,
        replay: &mut replay::Replay,
    ) -> Result<Self, Report<fault::Fault>>
    where
        M: medium::Medium<File = F>,
    {
        let mut positions = positions::Positions::new(replay.base);
        positions.extend(replay.entries.iter().map(|entry| entry.position.term));
        let segments = &mut replay.segments;
        if let Some(unfinished) = segments.pop_if(|segment| segment.length == 0) {
            if segments.is_empty() {
                return Err(Report::new(damaged_log("its first segment has no header")));
            }
            files::remove(medium, &segment::name(unfinished.sequence))?;
            files::sync(medium)?;
        }
        let Some(last) = segments.pop() else {
            return Err(Report::new(damaged_log("it has no segment")));
        };
        let closed = segments.iter().map(|segment| Closed {
            sequence: segment.sequence,
            last: segment.last,
        });
        Ok(Self {
            id,
            hard: replay.hard,
            positions,
            closed: closed.collect(),
            writer: segment::Writer::resume(medium, last.sequence, last.length, last.is_torn)?,
        })
    }

    /// Returns whether the log contains the entry at `position` or starts right after it.
    pub(crate) fn contains(&self, position: position::Position) -> bool {
        self.positions.contains(position)
    }

    /// Sets the current term and vote, which the next record contains.
    pub(crate) fn set_hard(&mut self, hard: stored::Hard) {
        self.hard = hard;
    }

    /// Replaces the entries after `after` by `entries`, which the next record contains.
    pub(crate) fn set_entries<P>(&mut self, after: position::Index, entries: &[entry::Entry<P>]) {
        self.positions.truncate(after);
        self.positions
            .extend(entries.iter().map(|entry| entry.position.term));
    }

    /// Writes the changes as one record, so that after a crash either all or none are read.
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

    /// Starts a new segment. With `reset`, the entries of all earlier segments are discarded.
    pub(crate) fn rotate<M>(&mut self, medium: &M, reset: bool) -> Result<(), Report<fault::Fault>>
    where
        M: medium::Medium<File = F>,
    {
        let sequence = self.writer.sequence();
        let head = record::Head {
            last: Some(self.positions.last().into()),
            reset,
            ..head(self.id, self.hard)
        };
        self.writer.close()?;
        self.writer = segment::Writer::create(medium, sequence + 1, head)?;
        self.closed.push_back(Closed {
            sequence,
            last: self.positions.last().index,
        });
        Ok(())
    }

    /// Discards the entries that a durable snapshot replaces, and removes the segments that
    /// contain only such entries.
    pub(crate) fn compact<M>(
        &mut self,
        medium: &M,
        snapshot: position::Position,
    ) -> Result<(), Report<fault::Fault>>
    where
        M: medium::Medium<File = F>,
    {
        if !self.positions.contains(snapshot) {
            self.positions = positions::Positions::new(snapshot);
            self.rotate(medium, true)?;
            for closed in &mut self.closed {
                closed.last = position::Index(0);
            }
        }
        self.positions.trim(snapshot.index);
        // Remove the oldest first, so that the remaining segments stay consecutive.
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

fn damaged_log(reason: &'static str) -> fault::Fault {
    fault::Fault::Damaged {
        file: "the log".to_owned(),
        offset: 0,
        reason,
    }
}
