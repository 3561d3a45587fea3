use std::path;

use crate::{check, document};

/// Error returned when settings cannot be loaded.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The file could not be read; the cause is attached to the report.
    #[error("{}: cannot read the settings file", path.display())]
    Unreadable {
        /// The settings file.
        path: path::PathBuf,
    },
    /// The file is larger than [`crate::MAX_FILE_BYTES`].
    #[error("{}: more than {} bytes, the maximum size of a settings file", path.display(), crate::MAX_FILE_BYTES)]
    TooLarge {
        /// The settings file.
        path: path::PathBuf,
    },
    /// The file is not JSON with comments, or does not have the fields of the settings.
    #[error("{}:{error}", path.display())]
    Malformed {
        /// The settings file.
        path: path::PathBuf,
        /// Position and kind of the error.
        error: document::Error,
    },
    /// Values are out of bounds or contradict each other.
    #[error("{}: {} to correct:{}", path.display(), format_count(problems), format_lines(problems))]
    Invalid {
        /// The settings file.
        path: path::PathBuf,
        /// Every problem, in the order of the fields.
        problems: Vec<check::Problem>,
    },
}

fn format_count(problems: &[check::Problem]) -> String {
    match problems.len() {
        1 => "1 setting".to_owned(),
        count => format!("{count} settings"),
    }
}

fn format_lines(problems: &[check::Problem]) -> String {
    problems
        .iter()
        .map(|problem| format!("\n  {problem}"))
        .collect()
}
