//! Snapshots of the state machine.

use bytes::Bytes;

use crate::members;
use crate::position;

/// State of the driver's state machine after the entry at `position`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Position of the last entry that the snapshot includes; zero for the initial snapshot.
    pub position: position::Position,
    /// Membership after that entry.
    pub members: members::Members,
    /// State as encoded by the driver.
    pub data: Bytes,
}

impl Snapshot {
    /// Creates the initial snapshot, which precedes the first entry.
    ///
    /// A driver that bootstraps a group persists it on each initial voter, so that
    /// a restart does not depend on the settings still naming the same voters.
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
