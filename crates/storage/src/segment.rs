//! Writes log segments.

use error_stack::{Report, ResultExt};
use prost::Message;

use crate::fault;
use crate::frame;
use crate::medium;
use crate::record;

/// Prefix of the name of a segment.
const PREFIX: &str = "log-";

/// Returns the name of segment `sequence`.
pub(crate) fn name(sequence: u64) -> String {
    format!("{PREFIX}{sequence:016x}")
}

/// Returns the sequence numbers of the segments among `names`, oldest first.
pub(crate) fn sequences(names: &[String]) -> Vec<u64> {
    names
        .iter()
        .filter_map(|name| name.strip_prefix(PREFIX))
        .filter_map(|number| u64::from_str_radix(number, 16).ok())
        .collect()
}

/// Appends records to the open segment.
#[derive(Debug)]
pub(crate) struct Writer<F> {
    file: F,
    sequence: u64,
    length: u64,
}

impl<F> Writer<F>
where
    F: medium::File,
{
    /// Opens a segment for appending after its valid records, which end at `length`.
    /// If `is_torn`, truncates the rest.
    pub(crate) fn resume<M>(
        medium: &M,
        sequence: u64,
        length: u64,
        is_torn: bool,
    ) -> Result<Self, Report<fault::Fault>>
    where
        M: medium::Medium<File = F>,
    {
        let io = |operation| fault::Fault::Io {
            operation,
            file: name(sequence),
        };
        let mut file = medium
            .open(&name(sequence))
            .change_context_lazy(|| io("open"))?;
        if is_torn {
            file.truncate(length)
                .change_context_lazy(|| io("truncate"))?;
        }
        // A killed process can leave records that are not synced yet.
        file.sync().change_context_lazy(|| io("sync"))?;
        let mut writer = Self {
            file,
            sequence,
            length,
        };
        writer.write_sync_marker()?;
        Ok(writer)
    }

    /// Creates a segment with the header `head`.
    pub(crate) fn create<M>(
        medium: &M,
        sequence: u64,
        head: record::Head,
    ) -> Result<Self, Report<fault::Fault>>
    where
        M: medium::Medium<File = F>,
    {
        let io = |operation| fault::Fault::Io {
            operation,
            file: name(sequence),
        };
        let file = medium
            .create(&name(sequence))
            .change_context_lazy(|| io("create"))?;
        let mut writer = Self {
            file,
            sequence,
            length: 0,
        };
        writer.write_and_sync(&record::Record {
            head: Some(head),
            ..record::Record::default()
        })?;
        medium
            .sync()
            .change_context_lazy(|| io("sync the directory of"))?;
        writer.write_sync_marker()?;
        Ok(writer)
    }

    pub(crate) fn sequence(&self) -> u64 {
        self.sequence
    }

    pub(crate) fn length(&self) -> u64 {
        self.length
    }

    /// Appends a record, syncs it and appends a sync marker.
    pub(crate) fn append(&mut self, record: &record::Record) -> Result<(), Report<fault::Fault>> {
        self.write_and_sync(record)?;
        self.write_sync_marker()
    }

    /// Syncs the last sync marker, so that a segment before another one is complete.
    pub(crate) fn close(&mut self) -> Result<(), Report<fault::Fault>> {
        self.sync()
    }

    fn write_and_sync(&mut self, record: &record::Record) -> Result<(), Report<fault::Fault>> {
        self.write(record)?;
        self.sync()
    }

    fn sync(&mut self) -> Result<(), Report<fault::Fault>> {
        self.file.sync().change_context_lazy(|| fault::Fault::Io {
            operation: "sync",
            file: name(self.sequence),
        })
    }

    /// Appends a marker that all records before it are synced. The marker itself need not be
    /// synced.
    fn write_sync_marker(&mut self) -> Result<(), Report<fault::Fault>> {
        self.write(&record::Record {
            synced: true,
            ..record::Record::default()
        })
    }

    fn write(&mut self, record: &record::Record) -> Result<(), Report<fault::Fault>> {
        let body = record.encode_to_vec();
        if body.len() > frame::MAX_BODY_BYTES {
            return Err(Report::new(fault::Fault::TooLarge { bytes: body.len() }));
        }
        let mut content = Vec::with_capacity(frame::HEADER_BYTES + body.len());
        frame::encode(&mut content, self.sequence, self.length, &body);
        self.file
            .append(&content)
            .change_context_lazy(|| fault::Fault::Io {
                operation: "write",
                file: name(self.sequence),
            })?;
        self.length += content.len() as u64;
        Ok(())
    }
}
