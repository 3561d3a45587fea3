//! Owner of a key, and the assignments that led to it.

use sequoiayoke_model::id;

/// Owner of a key, with the latest assignments of its slice.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
pub struct Explanation {
    /// Service of the key.
    pub service: String,
    /// The key.
    pub key: String,
    /// Hash of scope and key, 16 hexadecimal digits.
    pub hash: String,
    /// First hash of its slice, 16 hexadecimal digits.
    pub first: String,
    /// Last hash of its slice, 16 hexadecimal digits.
    pub last: String,
    /// Owner; none if the slice is vacant.
    pub holder: Option<Holder>,
    /// Latest assignments of the slice, oldest first.
    pub history: Vec<Event>,
}

/// Owner of a slice.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
pub struct Holder {
    /// Name of the backend server.
    pub server: String,
    /// Incarnation of its node.
    pub incarnation: id::Incarnation,
    /// Epoch of the grant.
    pub epoch: id::Epoch,
}

/// A change of a slice.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
pub struct Event {
    /// Log index of the change.
    pub version: id::Version,
    /// What changed, and why.
    pub cause: String,
}
