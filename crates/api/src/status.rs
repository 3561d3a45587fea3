//! State of the control plane.

use sequoiayoke_model::id;

use crate::ticket;

/// State of the control plane in the view of its leader.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Status {
    /// Region of the control group.
    pub region: String,
    /// Name of the leader.
    pub leader: Option<String>,
    /// Term of the leader.
    pub term: u64,
    /// Last committed log index.
    pub commit: u64,
    /// Log index up to which the state has been applied.
    pub version: id::Version,
    /// Number that the next ticket must have.
    pub next_ticket: id::Ticket,
    /// Replicas of the control group.
    pub replicas: Vec<Replica>,
    /// Backend servers.
    pub servers: Vec<Server>,
    /// Services.
    pub services: Vec<Service>,
}

/// A replica of the control group.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
pub struct Replica {
    /// Name.
    pub name: String,
    /// Address for operators, as `host:port`.
    pub address: String,
    /// Whether it is a voting replica.
    pub voting: bool,
    /// Last log index that the leader knows the replica to hold.
    pub matched: u64,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
pub struct Server {
    /// Name.
    pub name: String,
    /// Services that it serves.
    pub services: Vec<String>,
    /// Incarnation of its node.
    pub incarnation: id::Incarnation,
    /// Whether it accepts slices.
    pub state: ticket::State,
    /// Failure domain of its VM.
    pub failure_domain: String,
    /// Time until its lease expires on the control replicas.
    pub lease_left_ms: u64,
    /// Version that its node has confirmed.
    pub version: id::Version,
    /// Number of slices that it holds.
    pub slices: u64,
}

/// A service.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Service {
    /// Name.
    pub name: String,
    /// Number of its slices.
    pub slices: u64,
    /// Number of its slices without a holder.
    pub vacant: u64,
    /// Largest share of load of any server divided by the mean share; 1.0 is balanced.
    pub imbalance: f64,
}
