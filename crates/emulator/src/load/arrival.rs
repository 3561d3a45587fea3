//! Requests as they are scheduled.

use std::fmt;
use std::time::Duration;

use http::Method;

/// Kind under which a request is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Idempotent.
    Read,
    /// Not idempotent, with a small body.
    Write,
    /// Not idempotent, with a streamed body.
    Upload,
}

impl Kind {
    /// Returns the word used in reports.
    pub const fn word(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Write => "write",
            Self::Upload => "upload",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.word())
    }
}

/// A request and the time at which it is due.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Time since the start of the run, from which its latency counts.
    pub at: Duration,
    /// Kind under which it is reported.
    pub kind: Kind,
    /// HTTP method.
    pub method: Method,
    /// Service.
    pub service: String,
    /// Key.
    pub key: String,
    /// Scope of the caller, if it is known.
    pub scope: Option<String>,
    /// Length of the body in bytes.
    pub body_bytes: u64,
    /// Whether the key is one of the hottest.
    pub hot: bool,
    /// Number from which the body and the choice of a node derive.
    pub salt: u64,
}

/// A source of arrivals in order of their times.
pub trait Source {
    /// Returns the next arrival, or `None` at the end.
    ///
    /// # Errors
    ///
    /// Fails if the source is damaged; it ends then.
    fn next(&mut self) -> Result<Option<Arrival>, super::Error>;
}
