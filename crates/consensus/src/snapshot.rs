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

impl Snapshot {
    /// Makes the snapshot before the first entry.
    ///
    /// A driver that founds a group persists it on each of the first voters, so
    /// that a restart does not depend on the settings to name the same ones.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_consensus::{members, position, snapshot};
    /// use sequoiayoke_model::id;
    ///
    /// let members = members::Members::new([id::Replica(4), id::Replica(9)], []);
    /// let snapshot = snapshot::Snapshot::new(members);
    /// assert_eq!(snapshot.position, position::Position::default());
    /// ```
    pub fn new(members: members::Members) -> Self {
        Self {
            members,
            ..Self::default()
        }
    }
}
