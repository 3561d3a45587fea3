//! What a driver tells a replica.

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
    /// A message arrived from an authenticated replica.
    Received {
        /// Sender.
        from: id::Replica,
        /// The message.
        message: message::Message<P>,
    },
    /// Adds an entry to the log.
    Propose(P),
    /// Changes the membership by one replica.
    ChangeMember(members::Change),
    /// Hands leadership to another voter, before a graceful stop.
    Transfer,
    /// Replaces the log up to `index` by a snapshot of the state after it.
    Compact {
        /// Last committed entry that the snapshot includes.
        index: position::Index,
        /// The state as encoded by the driver.
        snapshot: Bytes,
    },
}
