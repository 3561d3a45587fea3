//! The data directory.

use std::io;
use std::mem;
use std::path::Path;

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use sequoiayoke_consensus::effect;
use sequoiayoke_consensus::snapshot;
use sequoiayoke_consensus::stored;
use sequoiayoke_model::id;

use crate::fault;
use crate::files;
use crate::identity;
use crate::journal;
use crate::medium;
use crate::record;
use crate::replay;
use crate::segment;
use crate::snapshot as snapshot_file;

/// Bytes of entries after which a record is written and synced, and a new one started.
const RECORD_BYTES: usize = 4 * 1024 * 1024;

/// Directory that some file systems create in an empty volume.
const LOST_AND_FOUND: &str = "lost+found";

/// The data directory of one replica, open for writing.
///
/// # Examples
///
/// ```
/// use sequoiayoke_consensus::{effect, position, stored};
/// use sequoiayoke_storage::{folder, identity};
///
/// let parent = tempfile::tempdir().expect("a temporary directory");
/// let path = parent.path().join("data");
/// let owner = identity::Owner::new("control-1", "north");
/// let (mut folder, stored) = folder::Folder::open_path(&path, &owner)?;
/// assert_eq!(stored, stored::Stored::default());
///
/// let hard = stored::Hard { term: position::Term(1), vote: Some(folder.id()) };
/// folder.persist(&[effect::Persist::Hard(hard)])?;
/// drop(folder);
///
/// let (_, stored) = folder::Folder::open_path(&path, &owner)?;
/// assert_eq!(stored.hard, hard);
/// # Ok::<(), error_stack::Report<sequoiayoke_storage::fault::Fault>>(())
/// ```
#[derive(Debug)]
pub struct Folder<M>
where
    M: medium::Medium,
{
    medium: M,
    id: id::Replica,
    is_new: bool,
    journal: journal::Journal<M::File>,
    failed: bool,
}

impl Folder<medium::Disk> {
    /// Opens the data directory at `path`, creating it if it is missing, and
    /// returns its content.
    ///
    /// # Errors
    ///
    /// Returns a fault if another process uses the directory, if it belongs to
    /// another replica or is a copy, or if a file is damaged or unreadable.
    pub fn open_path(
        path: &Path,
        owner: &identity::Owner,
    ) -> Result<(Self, stored::Stored<Bytes>), Report<fault::Fault>> {
        let describe_path = || format!("data directory {}", path.display());
        let disk = medium::Disk::open(path).map_err(|error| {
            let fault = match error.kind() {
                io::ErrorKind::WouldBlock => fault::Fault::Locked,
                _ => fault::Fault::Io {
                    operation: "open",
                    file: "the data directory".to_owned(),
                },
            };
            Report::new(error)
                .change_context(fault)
                .attach(describe_path())
        })?;
        Self::open(disk, owner).attach_with(describe_path)
    }
}

impl<M> Folder<M>
where
    M: medium::Medium,
{
    /// Opens the data directory on `medium` and returns its content.
    ///
    /// # Errors
    ///
    /// Returns a fault if the directory belongs to another replica or is a
    /// copy, or if a file is damaged or unreadable.
    pub fn open(
        medium: M,
        owner: &identity::Owner,
    ) -> Result<(Self, stored::Stored<Bytes>), Report<fault::Fault>> {
        let names = files::clean(&medium)?;
        // A killed process can leave a directory entry that is not synced yet. Content that
        // was read must survive a later power failure, so sync before reading.
        files::sync(&medium)?;
        if names.iter().any(|name| name == identity::FILE) {
            let id = identity::load(&medium, owner)?;
            Self::load(medium, id, &names)
        } else {
            let folder = Self::create(medium, owner, &names)?;
            Ok((folder, stored::Stored::default()))
        }
    }

    /// Creates the log and the identity in an empty directory. The identity file
    /// is written last, so that a directory with an identity always has a log.
    fn create(
        medium: M,
        owner: &identity::Owner,
        names: &[String],
    ) -> Result<Self, Report<fault::Fault>> {
        remove_unfinished(&medium, names)?;
        let id = owner.new_id();
        let journal = journal::Journal::create(&medium, id)?;
        identity::create(&medium, owner, id)?;
        tracing::info!(replica = %id, "created a data directory with a new identity");
        Ok(Self {
            medium,
            id,
            is_new: true,
            journal,
            failed: false,
        })
    }

    fn load(
        medium: M,
        id: id::Replica,
        names: &[String],
    ) -> Result<(Self, stored::Stored<Bytes>), Report<fault::Fault>> {
        let snapshot = match snapshot_file::files(names).last() {
            Some(name) => snapshot_file::load(&medium, id, name)?,
            None => snapshot::Snapshot::default(),
        };
        let mut replay = replay::Replay::read(&medium, Some(id), &segment::sequences(names))?;
        if replay.base.index > snapshot.position.index {
            return Err(Report::new(fault::Fault::Damaged {
                file: "the log".to_owned(),
                offset: 0,
                reason: "the snapshot before its first entry is missing",
            }));
        }
        let journal = journal::Journal::resume(&medium, id, &mut replay)?;
        let is_log_kept = journal.contains(snapshot.position);
        let mut folder = Self {
            medium,
            id,
            is_new: false,
            journal,
            failed: false,
        };
        // A crash can occur after the rename of a snapshot and before the compaction.
        folder.compact(&snapshot)?;
        let mut entries = replay.entries;
        entries.retain(|entry| is_log_kept && entry.position.index > snapshot.position.index);
        let stored = stored::Stored {
            hard: replay.hard,
            snapshot,
            entries,
        };
        Ok((folder, stored))
    }

    /// Returns the identity of the replica.
    pub fn id(&self) -> id::Replica {
        self.id
    }

    /// Returns whether this call of `open` created the identity. Such a replica has never
    /// voted and must join as a learner, unless the whole group is new.
    pub fn is_new(&self) -> bool {
        self.is_new
    }

    /// Makes the writes durable, in order. All of them are durable when this returns
    /// without an error.
    ///
    /// # Errors
    ///
    /// Returns a fault if a write or sync failed. Any part of the writes may
    /// then be durable, and every later call fails until the directory is
    /// reopened.
    pub fn persist<'a, I>(&mut self, writes: I) -> Result<(), Report<fault::Fault>>
    where
        I: IntoIterator<Item = &'a effect::Persist<Bytes>>,
    {
        if self.failed {
            return Err(Report::new(fault::Fault::Stopped));
        }
        let result = self.write_all(writes);
        self.failed = result.is_err();
        result
    }

    fn write_all<'a, I>(&mut self, writes: I) -> Result<(), Report<fault::Fault>>
    where
        I: IntoIterator<Item = &'a effect::Persist<Bytes>>,
    {
        let mut changes = Vec::new();
        let mut bytes = 0;
        for write in writes {
            match write {
                effect::Persist::Hard(hard) => self.journal.set_hard(*hard),
                effect::Persist::Entries { after, entries } => {
                    self.journal.set_entries(*after, entries);
                    bytes += entries.iter().map(|entry| entry.size()).sum::<usize>();
                }
                effect::Persist::Snapshot(snapshot) => {
                    self.journal.write(&self.medium, mem::take(&mut changes))?;
                    bytes = 0;
                    snapshot_file::write(&self.medium, self.id, snapshot)?;
                    if self.journal.contains(snapshot.position) {
                        // Only closed segments are removed, so this one can be removed with the next
                        // snapshot.
                        self.journal.rotate(&self.medium, false)?;
                    }
                    self.compact(snapshot)?;
                }
            }
            changes.extend(record::Change::new(write));
            if bytes >= RECORD_BYTES {
                self.journal.write(&self.medium, mem::take(&mut changes))?;
                bytes = 0;
            }
        }
        self.journal.write(&self.medium, changes)
    }

    /// Removes the entries and files that a durable snapshot replaces.
    fn compact(&mut self, snapshot: &snapshot::Snapshot) -> Result<(), Report<fault::Fault>> {
        self.journal.compact(&self.medium, snapshot.position)?;
        let names = files::list(&self.medium)?;
        if let Some((_, older)) = snapshot_file::files(&names).split_last() {
            for name in older {
                files::remove(&self.medium, name)?;
            }
        }
        Ok(())
    }
}

/// Removes the files of an interrupted creation, and fails if there are any others.
fn remove_unfinished<M>(medium: &M, names: &[String]) -> Result<(), Report<fault::Fault>>
where
    M: medium::Medium,
{
    let first = segment::name(1);
    for name in names.iter().filter(|name| *name != LOST_AND_FOUND) {
        let is_unfinished = *name == first && {
            let replay = replay::Replay::read(medium, None, &[1])?;
            !replay.is_used
        };
        if !is_unfinished {
            let file = name.clone();
            return Err(Report::new(fault::Fault::NotEmpty { file }));
        }
        files::remove(medium, name)?;
    }
    Ok(())
}
