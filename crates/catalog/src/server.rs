//! Backend servers as recorded by the control plane.

use std::net;

use sequoiayoke_lease::registry;
use sequoiayoke_model::id;
use serde::{Deserialize, Serialize};

/// One process lifetime of a backend server.
///
/// A backend server may restart under the same name after losing all its state, so
/// the start time distinguishes its instances.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Instance {
    /// Name that the backend server reports.
    pub name: String,
    /// Start time, in milliseconds since the Unix epoch on its own clock.
    pub born_ms: u64,
}

/// A node's description of the backend server on its VM.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Announcement {
    /// Instance of the backend server.
    pub instance: Instance,
    /// Service that the backend server belongs to.
    pub service: String,
    /// Address on which the backend server accepts requests from its own VM.
    pub address: net::SocketAddr,
    /// Address on which its node accepts connections from other nodes.
    pub node: net::SocketAddr,
    /// Failure domain of the backend server.
    pub domain: String,
    /// Number of requests that the backend server runs concurrently.
    pub slots: u32,
    /// Whether the backend server is about to leave and must receive no new requests.
    pub is_draining: bool,
}

/// A backend server that has joined.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Identifier assigned when the `Join` is applied; never reused.
    pub id: id::Server,
    /// Log index of the `Join`, which identifies the holder of the lease.
    pub incarnation: id::Incarnation,
    /// Latest announcement by its node.
    pub announcement: Announcement,
}

impl Server {
    /// Returns the identity under which the lease is held.
    pub const fn member(&self) -> registry::Member {
        registry::Member::new(self.id, self.incarnation)
    }
}
