//! Writing of log segments.

use error_stack::{Report, ResultExt};
use prost::Message;

use crate::fault;
use crate::frame;
use crate::medium;
use crate::record;

/// Start of the name of a segment.
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

/// The segment that takes new records.
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
    /// Continues a segment whose valid records end at `length`; the rest, if
    /// any, is cut off.
    pub(crate) fn resume<M>(
        medium: &M,
        sequence: u64,
        length: u64,
        torn: bool,
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
        if torn {
            file.truncate(length)
                .change_context_lazy(|| io("truncate"))?;
        }
        // A killed process can leave records that it had not synced yet.
        file.sync().change_context_lazy(|| io("sync"))?;
        let mut writer = Self {
            file,
            sequence,
            length,
        };
        writer.mark()?;
        Ok(writer)
    }

    /// Creates a segment that starts with `head`.
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
        writer.write(&record::Record {
            head: Some(head),
            ..record::Record::default()
        })?;
        medium
            .sync()
            .change_context_lazy(|| io("sync the directory of"))?;
        writer.mark()?;
        Ok(writer)
    }

    pub(crate) fn sequence(&self) -> u64 {
        self.sequence
    }

    pub(crate) fn length(&self) -> u64 {
        self.length
    }

    /// Adds a record and syncs it.
    pub(crate) fn append(&mut self, record: &record::Record) -> Result<(), Report<fault::Fault>> {
        self.write(record)?;
        self.mark()
    }

    /// Syncs the last mark, so that a segment that another one follows is whole.
    pub(crate) fn close(&mut self) -> Result<(), Report<fault::Fault>> {
        self.sync()
    }

    fn write(&mut self, record: &record::Record) -> Result<(), Report<fault::Fault>> {
        self.add(record)?;
        self.sync()
    }

    fn sync(&mut self) -> Result<(), Report<fault::Fault>> {
        self.file.sync().change_context_lazy(|| fault::Fault::Io {
            operation: "sync",
            file: name(self.sequence),
        })
    }

    /// Notes that all before it is synced; the note itself needs no sync.
    fn mark(&mut self) -> Result<(), Report<fault::Fault>> {
        self.add(&record::Record {
            synced: true,
            ..record::Record::default()
        })
    }

    fn add(&mut self, record: &record::Record) -> Result<(), Report<fault::Fault>> {
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
