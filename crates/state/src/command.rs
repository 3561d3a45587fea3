//! Commands of the replicated log.

use sequoiayoke_model::id;
use sequoiayoke_model::key;

use crate::member;
use crate::ticket;

/// Maximum number of moves in one `Assign`.
pub const MAX_MOVES: usize = 4_096;

/// A change of the holder of one slice.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Move {
    /// Service of the slice.
    pub service: id::Service,
    /// Start of the slice.
    pub start: key::Hash,
    /// New holder.
    pub server: id::Server,
    /// Incarnation of the new holder's node.
    pub incarnation: id::Incarnation,
    /// Epoch of the current holder, which has released the slice; `None` if vacant.
    pub expected: Option<id::Epoch>,
    /// Reason for the move, for logs and explanations.
    pub cause: String,
}

/// A command of the replicated log.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Command {
    /// An operator's change ticket.
    Ticket(ticket::Ticket),
    /// A node joins and announces its backend server.
    Join(member::Announcement),
    /// The lease of this incarnation has ended, or the node has left.
    Leave {
        /// Backend server of the node.
        server: id::Server,
        /// The incarnation that ended.
        incarnation: id::Incarnation,
    },
    /// Assigns slices to new holders.
    Assign(Vec<Move>),
    /// Splits a slice in two.
    Split {
        /// Service of the slice.
        service: id::Service,
        /// First position of the new slice.
        at: key::Hash,
    },
    /// Merges a slice into the one before it.
    Merge {
        /// Service of the slice.
        service: id::Service,
        /// Start of the slice that is merged into the preceding one.
        at: key::Hash,
    },
}
