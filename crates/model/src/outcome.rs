//! Outcome of a request.
//!
//! Callers rely on the three outcomes. `NotRun` is reported only if the request was never sent to
//! the backend server, or if the server reported in its own protocol that it refused the request
//! without running it.

use std::fmt;

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The backend server answered with this HTTP status.
    Answered(u16),
    /// The request did not run.
    NotRun(Reason),
    /// The request may have run.
    Unknown(Reason),
}

impl Outcome {
    /// Returns the name used in headers, logs and metrics.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_model::outcome;
    ///
    /// let refused = outcome::Outcome::NotRun(outcome::Reason::Overload);
    /// assert_eq!(refused.as_str(), "not-run");
    /// ```
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::NotRun(_) => "not-run",
            Self::Unknown(_) => "unknown",
        }
    }

    /// Returns the reason, if the backend server did not answer.
    pub const fn reason(&self) -> Option<Reason> {
        match self {
            Self::Answered(_) => None,
            Self::NotRun(reason) | Self::Unknown(reason) => Some(*reason),
        }
    }
}

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident = $text:literal,)*) => {
        /// Reason why a request did not run, or why its outcome is unknown.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Reason {
            $($(#[$doc])* $name,)*
        }

        impl Reason {
            /// All reasons, in the order of their numbers on the wire.
            pub const ALL: &[Self] = &[$(Self::$name,)*];

            /// Returns the name used in headers, logs and metrics.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }
        }
    };
}

reasons! {
    /// The request is malformed.
    BadRequest = "bad-request",
    /// No service has that name.
    UnknownService = "unknown-service",
    /// The caller is unknown, or may not use this service.
    Unauthorized = "unauthorized",
    /// No backend server currently owns the key.
    Vacant = "vacant",
    /// The node that received the request does not own the key.
    NotOwner = "not-owner",
    /// The owner's lease had expired.
    LeaseExpired = "lease-expired",
    /// The node could not confirm that its view is up to date.
    StaleView = "stale-view",
    /// A queue was full or a limit was reached.
    Overload = "overload",
    /// The deadline passed.
    Deadline = "deadline",
    /// The node or its backend server is draining.
    Draining = "draining",
    /// The owner's node or its backend server could not be reached.
    Unreachable = "unreachable",
    /// The connection closed before the answer arrived.
    ConnectionLost = "connection-lost",
    /// The backend server refused the request without running it.
    RefusedByServer = "refused-by-server",
    /// Another request with this id is running.
    DuplicateRunning = "duplicate-running",
    /// The request id is older than the request ids that the owner has recorded.
    IdTooOld = "id-too-old",
    /// The request with this id ran, but its answer was not stored.
    AnswerNotKept = "answer-not-kept",
    /// The caller cancelled the request.
    Cancelled = "cancelled",
    /// A peer violated the protocol.
    Protocol = "protocol",
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
