//! Scheduled requests.

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
    /// Returns the name that is used in reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Write => "write",
            Self::Upload => "upload",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A scheduled request.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Time since the start of the run at which it is due; its latency counts from then.
    pub due: Duration,
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
    /// Number that determines the body, the caller, the target and the retry delay.
    pub salt: u64,
}

/// A source of arrivals in the order in which they are due.
pub trait Source {
    /// Returns the next arrival, or `None` at the end.
    ///
    /// # Errors
    ///
    /// Fails if the source is invalid; there are no further arrivals then.
    fn next(&mut self) -> Result<Option<Arrival>, super::Error>;
}
