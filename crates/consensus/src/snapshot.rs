//! Snapshots of the state machine.

use bytes::Bytes;

use crate::members;
use crate::position;

/// State of the driver's state machine after the entry at `position`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Last entry that the snapshot includes; zero for the empty snapshot.
    pub position: position::Position,
    /// Membership after that entry.
    pub members: members::Members,
    /// The state as encoded by the driver.
    pub data: Bytes,
}
