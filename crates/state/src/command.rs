//! Commands of the replicated log.

use sequoiayoke_model::id;
use sequoiayoke_model::key;

use crate::member;
use crate::ticket;

/// Largest number of moves in one `Assign`.
pub const MAX_MOVES: usize = 4_096;

/// One slice that is to change hands.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Move {
    /// Service of the slice.
    pub service: id::Service,
    /// Start of the slice.
    pub start: key::Hash,
    /// New holder.
    pub server: id::Server,
    /// Run of the new holder's node.
    pub incarnation: id::Incarnation,
    /// Epoch of the present holder, which has released the slice; `None` if vacant.
    pub expected: Option<id::Epoch>,
    /// Why, for logs and explanations.
    pub cause: String,
}

/// A command of the replicated log.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum Command {
    /// Operators' change.
    Ticket(ticket::Ticket),
    /// A node has announced its backend server.
    Join(member::Announcement),
    /// The lease of this run has ended, or the node has left.
    Leave {
        /// The server.
        server: id::Server,
        /// The run that ended.
        incarnation: id::Incarnation,
    },
    /// Slices change hands.
    Assign(Vec<Move>),
    /// A slice is cut in two.
    Split {
        /// Service of the slice.
        service: id::Service,
        /// First position of the new slice.
        at: key::Hash,
    },
    /// A slice is joined to the one before it.
    Merge {
        /// Service of the slice.
        service: id::Service,
        /// Start of the slice that disappears.
        at: key::Hash,
    },
}
