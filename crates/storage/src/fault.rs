//! Errors of the data directory.

/// Reason why a data directory cannot be opened or written.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// The file system returned an error. The directory accepts no more writes after
    /// it, since the content on disk is unknown after a failed sync.
    #[error("failed to {operation} {file}")]
    Io {
        /// Operation that failed.
        operation: &'static str,
        /// File below the data directory.
        file: String,
    },
    /// Another process uses the directory.
    #[error("another process uses the data directory")]
    Locked,
    /// The directory contains files but no identity.
    #[error("the data directory has no identity file but is not empty: it contains {file}")]
    NotEmpty {
        /// One of the files.
        file: String,
    },
    /// The directory belongs to another replica.
    #[error("the data directory belongs to replica {found}, not to {expected}")]
    Foreign {
        /// Name and region of this replica.
        expected: String,
        /// Name and region in the identity file.
        found: String,
    },
    /// The directory is a copy. The original may have voted or acknowledged
    /// entries since, so the copy must not be used under the same identity.
    #[error(
        "the data directory is a copy of another one of replica {name}; start with an empty directory"
    )]
    Copied {
        /// Name and region in the identity file.
        name: String,
    },
    /// The content of a file differs from what was written.
    #[error("{file} is damaged at offset {offset}: {reason}")]
    Damaged {
        /// File below the data directory.
        file: String,
        /// Offset in bytes of the first invalid record.
        offset: u64,
        /// Reason why the record is invalid.
        reason: &'static str,
    },
    /// A write exceeds the maximum size of a record.
    #[error("a write of {bytes} bytes exceeds the maximum size of a record")]
    TooLarge {
        /// Size of the write in bytes.
        bytes: usize,
    },
    /// An earlier write failed.
    #[error("an earlier write failed; the data directory must be reopened")]
    Stopped,
}
