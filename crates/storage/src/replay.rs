//! Reads the log when a data directory is opened.

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use prost::Message;
use sequoiayoke_consensus::entry;
use sequoiayoke_consensus::position;
use sequoiayoke_consensus::stored;
use sequoiayoke_model::id;

use crate::fault;
use crate::frame;
use crate::medium;
use crate::record;
use crate::segment;

/// Content of the log, read from its segments.
#[derive(Debug, Default)]
pub(crate) struct Replay {
    /// Latest term and vote.
    pub(crate) hard: stored::Hard,
    /// Position of the last entry before `entries`.
    pub(crate) base: position::Position,
    /// Entries with consecutive indexes.
    pub(crate) entries: Vec<entry::Entry<Bytes>>,
    /// Segments that were read, oldest first.
    pub(crate) segments: Vec<Segment>,
    /// Whether any record contains a change.
    pub(crate) is_used: bool,
}

/// A segment that was read.
#[derive(Debug)]
pub(crate) struct Segment {
    /// Sequence number of the segment.
    pub(crate) sequence: u64,
    /// Largest index of an entry in this segment or before it.
    pub(crate) last: position::Index,
    /// Length in bytes up to the end of the last valid record.
    pub(crate) length: u64,
    /// Whether an incomplete record follows the last valid one, or the segment is empty.
    pub(crate) is_torn: bool,
}

impl Replay {
    /// Reads all segments.
    ///
    /// An invalid record in the last segment is ignored, with all that follows it, if no sync
    /// marker does. A power failure keeps or loses each write since the last sync on its own, so
    /// that a sync marker may be missing before a record that is there; such a record was not
    /// acknowledged.
    ///
    /// # Errors
    ///
    /// Returns a fault if a segment is missing, unreadable or otherwise damaged.
    pub(crate) fn read<M>(
        medium: &M,
        replica: Option<id::Replica>,
        sequences: &[u64],
    ) -> Result<Self, Report<fault::Fault>>
    where
        M: medium::Medium,
    {
        let mut replay = Self::default();
        for (number, sequence) in sequences.iter().enumerate() {
            let name = segment::name(*sequence);
            if number > 0 && *sequence != sequences[number - 1] + 1 {
                let reason = "the segment before it is missing";
                return Err(Report::new(damaged(&name, 0, reason)));
            }
            let content = medium
                .read(&name)
                .change_context_lazy(|| fault::Fault::Io {
                    operation: "read",
                    file: name.clone(),
                })?;
            let is_last = number + 1 == sequences.len();
            replay.read_segment(replica, *sequence, Bytes::from(content), is_last)?;
        }
        Ok(replay)
    }

    fn read_segment(
        &mut self,
        replica: Option<id::Replica>,
        sequence: u64,
        content: Bytes,
        is_last: bool,
    ) -> Result<(), Report<fault::Fault>> {
        let name = segment::name(sequence);
        let mut segment = Segment {
            sequence,
            last: self.last().index,
            length: 0,
            is_torn: false,
        };
        let mut offset = 0;
        while offset < content.len() {
            let body = match frame::decode(&content, sequence, offset) {
                Ok(body) => body,
                Err(_) if is_last && !has_sync_marker_after(&content, sequence, offset) => {
                    tracing::warn!(
                        file = name,
                        offset,
                        bytes = content.len() - offset,
                        "cutting off an incomplete record at the end of the log"
                    );
                    segment.is_torn = true;
                    break;
                }
                Err(reason) => return Err(Report::new(damaged(&name, offset, reason))),
            };
            let end = body.end;
            let record = record::Record::decode(content.slice(body))
                .change_context_lazy(|| damaged(&name, offset, "the record cannot be decoded"))?;
            self.apply(replica, offset, record)
                .map_err(|reason| damaged(&name, offset, reason))?;
            segment.last = segment.last.max(self.last().index);
            offset = end;
        }
        segment.length = offset as u64;
        if offset == 0 && !segment.is_torn {
            // A crash during its creation can leave a new segment empty.
            if !is_last {
                return Err(Report::new(damaged(&name, 0, "the segment is empty")));
            }
            segment.is_torn = true;
        }
        self.segments.push(segment);
        Ok(())
    }

    fn apply(
        &mut self,
        replica: Option<id::Replica>,
        offset: usize,
        record: record::Record,
    ) -> Result<(), &'static str> {
        match record.head {
            Some(head) if offset == 0 => self.apply_head(replica, &head)?,
            None if offset > 0 => {}
            _ => return Err("the header of a segment must be in its first record and in no other"),
        }
        for change in record.changes {
            self.is_used = true;
            if let Some(hard) = change.hard {
                self.hard = hard.into();
            }
            if let Some(entries) = change.entries {
                self.apply_entries(entries)?;
            }
        }
        Ok(())
    }

    fn apply_head(
        &mut self,
        replica: Option<id::Replica>,
        head: &record::Head,
    ) -> Result<(), &'static str> {
        if replica.is_some_and(|replica| replica.0 != head.replica) {
            return Err("it belongs to another replica");
        }
        let last = head.last.unwrap_or_default().into();
        if head.reset || self.segments.is_empty() {
            self.base = last;
            self.entries.clear();
        } else if self.last() != last {
            return Err("it does not continue the segment before it");
        }
        self.hard = head.hard.unwrap_or_default().into();
        Ok(())
    }

    fn apply_entries(&mut self, entries: record::Entries) -> Result<(), &'static str> {
        let after = entries.after;
        match after.checked_sub(self.base.index.0) {
            Some(keep) if keep <= self.entries.len() as u64 => {
                self.entries.truncate(keep as usize);
            }
            Some(_) => return Err("the entries before it are missing"),
            None => {
                // The earlier entries were in a segment that was removed after a snapshot,
                // so their terms are not needed.
                self.entries.clear();
                self.base = position::Position::new(0, after);
            }
        }
        for entry in entries.entries {
            let entry = entry::Entry::from(entry);
            if entry.position.index != self.last().index.next() {
                return Err("its entries are not consecutive");
            }
            self.entries.push(entry);
        }
        Ok(())
    }

    /// Returns the position of the last entry.
    pub(crate) fn last(&self) -> position::Position {
        self.entries
            .last()
            .map_or(self.base, |entry| entry.position)
    }
}

/// Returns whether a sync marker follows an invalid record at `offset`, which was durable then.
fn has_sync_marker_after(content: &Bytes, sequence: u64, offset: usize) -> bool {
    frame::valid_records_after(content, sequence, offset)
        .filter_map(|body| record::Record::decode(content.slice(body)).ok())
        .any(|record| record.synced)
}

fn damaged(file: &str, offset: usize, reason: &'static str) -> fault::Fault {
    fault::Fault::Damaged {
        file: file.to_owned(),
        offset: offset as u64,
        reason,
    }
}
