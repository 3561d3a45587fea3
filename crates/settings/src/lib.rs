//! Typed settings of every process.
//!
//! A settings file is JSON with `//` and `/* */` comments. [`load()`] reads it,
//! rejects unknown fields, and then checks all values. It reports every problem
//! at once, so that one edit can fix the file. Each setting has a unit, a default
//! and a bound, which `docs/settings.md` lists.

pub mod check;
pub mod common;
pub mod control;
pub mod director;
pub mod document;
pub mod field;
pub mod gateway;
pub mod load;
pub mod node;
pub mod span;
pub mod standin;

mod error;

pub use error::Error;

use std::fs;
use std::io::Read as _;
use std::path;

use error_stack::ResultExt as _;

/// Maximum size of a settings file, in bytes.
pub const MAX_FILE_BYTES: u64 = 1024 * 1024;

/// Reads and checks the settings file at `path`.
///
/// # Errors
///
/// Returns an error if the file cannot be read, if it is malformed (with the
/// line, column and field), or if values are out of bounds or contradict each
/// other (with every such field).
///
/// # Examples
///
/// ```
/// use sequoiayoke_settings::{self as settings, control};
///
/// let loaded = settings::load::<control::Control, _>("/does/not/exist.jsonc");
/// assert!(loaded.is_err());
/// ```
pub fn load<T, P>(path: P) -> Result<T, error_stack::Report<Error>>
where
    T: serde::de::DeserializeOwned + check::Check,
    P: AsRef<path::Path>,
{
    let path = path.as_ref();
    let unreadable = || Error::Unreadable {
        path: path.to_owned(),
    };
    let file = fs::File::open(path).change_context_lazy(unreadable)?;
    let mut text = Vec::new();
    file.take(MAX_FILE_BYTES + 1)
        .read_to_end(&mut text)
        .change_context_lazy(unreadable)?;
    if text.len() as u64 > MAX_FILE_BYTES {
        return Err(error_stack::Report::new(Error::TooLarge {
            path: path.to_owned(),
        }));
    }
    parse(path, &text)
}

/// Parses and checks settings that were read from `path`.
///
/// # Errors
///
/// Returns the same errors as [`load()`], except those of reading the file.
///
/// # Examples
///
/// ```
/// use std::path::Path;
///
/// use sequoiayoke_settings::{self as settings, load};
///
/// let report = settings::parse::<load::Load>(Path::new("load.jsonc"), b"{ \"rate\": }")
///     .expect_err("the value is missing");
/// assert!(report.to_string().starts_with("load.jsonc:1:"));
/// ```
pub fn parse<T>(path: &path::Path, text: &[u8]) -> Result<T, error_stack::Report<Error>>
where
    T: serde::de::DeserializeOwned + check::Check,
{
    let settings: T = document::parse(text).map_err(|error| {
        error_stack::Report::new(Error::Malformed {
            path: path.to_owned(),
            error,
        })
    })?;
    let mut problems = check::Problems::new();
    settings.check(&mut problems);
    if problems.is_empty() {
        return Ok(settings);
    }
    Err(error_stack::Report::new(Error::Invalid {
        path: path.to_owned(),
        problems: problems.into_vec(),
    }))
}
