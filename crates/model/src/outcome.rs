//! What became of a request.
//!
//! The three outcomes are the product's promise to its callers. `NotRun` is
//! said only if the request was never handed to the backend server, or if the
//! server's own protocol says that it refused the request unrun.

use std::fmt;

/// What became of a request.
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
        /// Why a request did not run, or why its fate is unknown.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Reason {
            $($(#[$doc])* $name,)*
        }

        impl Reason {
            /// Every reason, in the order of their numbers on the wire.
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
    /// No service of that name exists.
    UnknownService = "unknown-service",
    /// The caller is not known, or may not use this service.
    Unauthorized = "unauthorized",
    /// No backend server holds the key at present.
    Vacant = "vacant",
    /// The node that was asked does not own the key.
    NotOwner = "not-owner",
    /// The owner's lease had run out.
    LeaseExpired = "lease-expired",
    /// The node could not confirm that its view is current.
    StaleView = "stale-view",
    /// A queue or a limit was full.
    Overload = "overload",
    /// The deadline passed.
    Deadline = "deadline",
    /// The node or its backend server is draining.
    Draining = "draining",
    /// The owner's node or its backend server could not be reached.
    Unreachable = "unreachable",
    /// The connection ended before the answer.
    ConnectionLost = "connection-lost",
    /// The backend server refused the request unrun.
    RefusedByServer = "refused-by-server",
    /// A request with this id is running now.
    DuplicateRunning = "duplicate-running",
    /// The request id is older than the owner's record.
    IdTooOld = "id-too-old",
    /// The request with this id ran, but its answer was not kept.
    AnswerNotKept = "answer-not-kept",
    /// The caller cancelled the request.
    Cancelled = "cancelled",
    /// A peer broke the protocol.
    Protocol = "protocol",
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
