//! Errors of the data directory.

/// Reason why a data directory cannot be opened or written.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// The file system returned an error. After it the directory takes no
    /// more writes, since what a failed sync left on disk is unknown.
    #[error("cannot {operation} {file}")]
    Io {
        /// What was attempted.
        operation: &'static str,
        /// File below the data directory.
        file: String,
    },
    /// Another process uses the directory.
    #[error("another process uses the data directory")]
    Locked,
    /// The directory holds files but no identity.
    #[error("the data directory has no identity file but is not empty: it holds {file}")]
    NotEmpty {
        /// One of the files.
        file: String,
    },
    /// The directory belongs to another replica.
    #[error("the data directory belongs to replica {found}, not to {expected}")]
    Foreign {
        /// Name and region of this replica.
        expected: String,
        /// Name and region that the directory holds.
        found: String,
    },
    /// The directory is a copy. The original may have voted or acknowledged
    /// entries since, so the copy must not act under the same identity.
    #[error(
        "the data directory is a copy of another one of replica {name}; start with an empty one"
    )]
    Copied {
        /// Name and region that the directory holds.
        name: String,
    },
    /// A file holds something other than what was written.
    #[error("{file} is damaged at offset {offset}: {reason}")]
    Damaged {
        /// File below the data directory.
        file: String,
        /// Offset in bytes of the first bad record.
        offset: u64,
        /// What is wrong with it.
        reason: &'static str,
    },
    /// One write is larger than a record may be.
    #[error("a write of {bytes} bytes is larger than a record may be")]
    TooLarge {
        /// Size of the write in bytes.
        bytes: usize,
    },
    /// An earlier write failed.
    #[error("an earlier write failed; the data directory must be opened again")]
    Stopped,
}
