//! Events that a driver passes to a replica.

use bytes::Bytes;
use sequoiayoke_model::id;

use crate::members;
use crate::message;
use crate::position;

/// An event for [`crate::replica::Replica::step`].
#[derive(Clone, Debug)]
pub enum Event<P> {
    /// A deadline may have passed.
    Tick,
    /// A message was received from an authenticated replica.
    Received {
        /// Sender.
        from: id::Replica,
        /// The message.
        message: message::Message<P>,
    },
    /// Proposes an entry with this payload.
    Propose(P),
    /// Changes a single member of the group.
    ChangeMember(members::Change),
    /// Transfers leadership to another voter before a graceful stop.
    Transfer,
    /// Replaces the log up to `index` with a snapshot of the state after that entry.
    Compact {
        /// Index of the last entry that the snapshot includes, which must be committed.
        index: position::Index,
        /// State as encoded by the driver.
        snapshot: Bytes,
    },
}
