//! File operations that a data directory needs, and their implementation on disk.

use std::fs;
use std::io;
use std::io::Write;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

use rustix::fs::FlockOperation;

/// Name of the lock file.
const LOCK: &str = "lock";

/// A directory of files, addressed by name.
pub trait Medium {
    /// A file open for appending.
    type File: File;

    /// Returns the sorted names of the files, without the lock file.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Returns the content of a file.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates an empty file, which must not exist yet.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// Opens a file for appending.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system.
    fn open(&self, name: &str) -> io::Result<Self::File>;

    /// Renames a file, replacing any file that has the new name.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Makes creations, renames and removals durable.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system.
    fn sync(&self) -> io::Result<()>;

    /// Returns the inode numbers of the directory and of a file, which differ in a copy of
    /// the directory.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system.
    fn inodes(&self, name: &str) -> io::Result<(u64, u64)>;
}

/// A file open for appending.
pub trait File {
    /// Appends bytes to the file.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system; any part may have been written.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Makes the content durable.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system; any part may be durable.
    fn sync(&mut self) -> io::Result<()>;

    /// Truncates the file to `length` bytes.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system.
    fn truncate(&mut self, length: u64) -> io::Result<()>;
}

/// A directory on disk, locked for this process.
#[derive(Debug)]
pub struct Disk {
    path: PathBuf,
    directory: fs::File,
    /// Holds the lock until it is closed, which also happens when the process is killed.
    _lock: fs::File,
}

impl Disk {
    /// Opens and locks the directory, creating it if it is missing.
    ///
    /// # Errors
    ///
    /// Returns `WouldBlock` if another process holds the lock, or the error of
    /// the file system.
    pub fn open(path: &Path) -> io::Result<Self> {
        match fs::create_dir(path) {
            Ok(()) => {
                let parent = path
                    .parent()
                    .filter(|parent| !parent.as_os_str().is_empty());
                fs::File::open(parent.unwrap_or(Path::new(".")))?.sync_all()?;
            }
            Err(error) if error.kind() == io::ErrorKind::AlreadyExists => {}
            Err(error) => return Err(error),
        }
        let lock = fs::OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join(LOCK))?;
        rustix::fs::flock(&lock, FlockOperation::NonBlockingLockExclusive)?;
        Ok(Self {
            path: path.to_owned(),
            directory: fs::File::open(path)?,
            _lock: lock,
        })
    }
}

impl Medium for Disk {
    type File = fs::File;

    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            names.push(entry?.file_name().to_string_lossy().into_owned());
        }
        names.retain(|name| name != LOCK);
        names.sort_unstable();
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn create(&self, name: &str) -> io::Result<fs::File> {
        fs::OpenOptions::new()
            .append(true)
            .create_new(true)
            .open(self.path.join(name))
    }

    fn open(&self, name: &str) -> io::Result<fs::File> {
        fs::OpenOptions::new()
            .append(true)
            .open(self.path.join(name))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }

    fn sync(&self) -> io::Result<()> {
        Ok(rustix::fs::fsync(&self.directory)?)
    }

    fn inodes(&self, name: &str) -> io::Result<(u64, u64)> {
        let file = fs::metadata(self.path.join(name))?.ino();
        Ok((self.directory.metadata()?.ino(), file))
    }
}

impl File for fs::File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        Ok(rustix::fs::fdatasync(&*self)?)
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.set_len(length)
    }
}
