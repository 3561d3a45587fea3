use std::path;

use crate::{check, document};

/// Settings could not be loaded.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The file could not be read; the cause is attached to the report.
    #[error("{}: cannot read the settings file", path.display())]
    Unreadable {
        /// The settings file.
        path: path::PathBuf,
    },
    /// The file is larger than any settings file.
    #[error("{}: more than the {} bytes of a settings file", path.display(), crate::MAX_FILE_BYTES)]
    TooLarge {
        /// The settings file.
        path: path::PathBuf,
    },
    /// The file is not JSON with comments, or does not have the fields of the settings.
    #[error("{}:{fault}", path.display())]
    Malformed {
        /// The settings file.
        path: path::PathBuf,
        /// Place and kind of the fault.
        fault: document::Error,
    },
    /// Values are out of bounds or contradict each other.
    #[error("{}: {} to correct:{}", path.display(), count(problems), lines(problems))]
    Invalid {
        /// The settings file.
        path: path::PathBuf,
        /// Every problem found, in the order of the fields.
        problems: Vec<check::Problem>,
    },
}

fn count(problems: &[check::Problem]) -> String {
    match problems.len() {
        1 => "1 setting".to_owned(),
        many => format!("{many} settings"),
    }
}

fn lines(problems: &[check::Problem]) -> String {
    problems
        .iter()
        .map(|problem| format!("\n  {problem}"))
        .collect()
}
