//! Error responses.

use sequoiayoke_model::id;

use crate::ticket;

/// Body of every response whose status is not 200.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize, thiserror::Error)]
#[serde(tag = "error", rename_all = "kebab-case")]
pub enum Error {
    /// The request or its ticket is malformed.
    #[error("malformed: {detail}")]
    Malformed {
        /// Position and kind of the error.
        detail: String,
    },
    /// The ticket, service or path does not exist.
    #[error("not found: {detail}")]
    NotFound {
        /// What was not found.
        detail: String,
    },
    /// Another ticket with this number was accepted.
    #[error("{number} is taken by another ticket")]
    NumberTaken {
        /// The number.
        number: id::Ticket,
        /// The accepted ticket.
        holder: ticket::Ticket,
    },
    /// The number is not the last accepted one plus one.
    #[error("the next number is {}", next.0)]
    NumberOutOfOrder {
        /// Number that the next ticket must have.
        next: id::Ticket,
    },
    /// This replica is not the leader.
    #[error("not the leader")]
    NotLeader {
        /// Address of the leader for operators, if known.
        leader: Option<String>,
    },
    /// The ticket may or may not have been accepted.
    #[error("unknown outcome: {detail}")]
    Unknown {
        /// Why it is not known.
        detail: String,
    },
}

impl Error {
    /// Returns the HTTP status of this response.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_api::error;
    ///
    /// assert_eq!(error::Error::NotLeader { leader: None }.status(), 421);
    /// ```
    pub const fn status(&self) -> u16 {
        match self {
            Self::Malformed { .. } => 400,
            Self::NotFound { .. } => 404,
            Self::NumberTaken { .. } | Self::NumberOutOfOrder { .. } => 409,
            Self::NotLeader { .. } => 421,
            Self::Unknown { .. } => 504,
        }
    }
}
