//! Backend servers as the control plane knows them.

use std::net;

use sequoiayoke_lease::registry;
use sequoiayoke_model::id;
use serde::{Deserialize, Serialize};

/// One run of a backend server.
///
/// A backend server may start again under the name that it had, with nothing
/// of what it held before; the time of its start tells the runs apart.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Instance {
    /// Name that the backend server gives itself.
    pub name: String,
    /// Time of its start, in milliseconds since the Unix epoch on its own clock.
    pub born_ms: u64,
}

/// What a node announces about the backend server beside it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Announcement {
    /// The run.
    pub instance: Instance,
    /// Service that it serves.
    pub service: String,
    /// Address on which it takes requests from its own VM.
    pub address: net::SocketAddr,
    /// Address of the node beside it, for other nodes.
    pub node: net::SocketAddr,
    /// Failure domain.
    pub domain: String,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it is about to leave and must get no new work.
    pub is_draining: bool,
}

/// A backend server that has joined.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Number that the log gave it; never reused.
    pub id: id::Server,
    /// Log index at which it joined; the lease is bound to it.
    pub incarnation: id::Incarnation,
    /// What its node announced last.
    pub announcement: Announcement,
}

impl Server {
    /// Returns the holder of the lease.
    pub const fn member(&self) -> registry::Member {
        registry::Member::new(self.id, self.incarnation)
    }
}
