//! Messages between a node and the control replicas.
//!
//! Each renewal contains everything that the node holds and has released, so that a new leader
//! needs no state that only the former leader had.

use std::collections;
use std::net;

use sequoiayoke_catalog::{config, server, slice};
use sequoiayoke_dispatch::usage;
use sequoiayoke_model::id;
use serde::{Deserialize, Serialize};

/// Range of keys that the backend server has released.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Released {
    /// Service of the keys.
    pub service: String,
    /// Range of the keys.
    pub range: slice::Range,
    /// Fencing token of the grant under which they were held.
    pub fence: slice::Fence,
    /// Handover data that the backend server returned with the release, if any.
    pub handover: Option<String>,
}

/// Keys whose owner needs a new fencing token, so that its backend server rejects earlier grants
/// that may still arrive late.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refence {
    /// Service of the keys.
    pub service: String,
    /// Range of the keys.
    pub range: slice::Range,
    /// Fencing token of the current grant.
    pub fence: slice::Fence,
}

/// State of a node, with which it renews its lease.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Renewal {
    /// Sequence number of the renewal; increases on each node.
    pub sequence: u64,
    /// Log index of the state that the node has applied.
    pub applied: u64,
    /// The backend server beside the node, if there is one.
    pub server: Option<server::Announcement>,
    /// Instance of the backend server that is known to have ended.
    pub ended: Option<server::Instance>,
    /// Ranges that were released and are not yet granted to another owner.
    pub released: Vec<Released>,
    /// Keys that need a new fencing token.
    pub refences: Vec<Refence>,
    /// Load, by parts of the key space.
    pub parts: Vec<usage::Part>,
    /// Mean service time of a request at the backend server, in seconds.
    pub service_s: f64,
    /// Fraction of requests that fail at the backend server, from 0 to 1.
    pub failing: f64,
    /// Whether the node is stopping.
    pub is_leaving: bool,
}

/// The whole state, with which a session begins.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Log index up to which the state is complete.
    pub index: u64,
    /// Configuration, if there is one.
    pub config: Option<config::Config>,
    /// All backend servers.
    pub servers: Vec<server::Server>,
    /// The slices of all keyed services.
    pub tables: collections::BTreeMap<String, slice::Table>,
    /// Failure domains whose backend servers get no requests.
    pub evacuated: collections::BTreeSet<String>,
}

/// Changes of the state between two log indexes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Changes {
    /// Log index of the state that they apply to, or to any later one.
    pub since: u64,
    /// Log index up to which the state is complete afterwards.
    pub index: u64,
    /// Configuration, if it has changed.
    pub config: Option<config::Config>,
    /// Backend servers that were added or changed.
    pub joined: Vec<server::Server>,
    /// Backend servers that were removed; their keys are vacant.
    pub left: Vec<id::Server>,
    /// Slices with keys whose owner or grant has changed since the removals, by service.
    pub slices: Vec<(String, Vec<slice::Slice>)>,
    /// All evacuated failure domains, if they have changed.
    pub evacuated: Option<collections::BTreeSet<String>>,
}

/// Message from a node to a control replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromNode {
    /// Reports the state of the node, and renews its lease.
    Renew(Renewal),
}

/// Message from a control replica to a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromControl {
    /// This replica is not the leader; has the address of the leader, if known.
    Redirect(Option<net::SocketAddr>),
    /// Addresses at which the control replicas accept nodes.
    Replicas(Vec<net::SocketAddr>),
    /// The whole state.
    State(State),
    /// The lease is renewed, counted from the time at which the node sent the renewal.
    Renewed {
        /// Sequence number of the renewal.
        sequence: u64,
        /// Backend server to which the lease belongs.
        server: id::Server,
    },
    /// The backend server must release these keys.
    Release {
        /// Service of the keys.
        service: String,
        /// Range of the keys.
        range: slice::Range,
        /// Fencing token of the grant under which they are held.
        fence: slice::Fence,
    },
    /// The state has changed.
    Changes(Changes),
}
