//! Messages between a node and the control replicas.
//!
//! Each renewal states all that the node holds and has released, so a new
//! leader needs nothing that only the former leader knew.

use std::collections;
use std::net;

use sequoiayoke_catalog::{config, server, slice};
use sequoiayoke_dispatch::usage;
use sequoiayoke_model::id;
use serde::{Deserialize, Serialize};

/// A range that the backend server has released.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Released {
    /// Service of the keys.
    pub service: String,
    /// The keys.
    pub range: slice::Range,
    /// Grant under which they were held.
    pub fence: slice::Fence,
    /// What the backend server handed over, if anything.
    pub handover: Option<String>,
}

/// Keys whose owner needs a new fence, so that its backend server refuses grants
/// that it may still take late.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refence {
    /// Service of the keys.
    pub service: String,
    /// The keys.
    pub range: slice::Range,
    /// Present grant.
    pub fence: slice::Fence,
}

/// What a node states about itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Renewal {
    /// Number of the renewal; grows on one node.
    pub sequence: u64,
    /// Log index of the state that the node uses.
    pub applied: u64,
    /// The backend server beside the node, if there is one.
    pub server: Option<server::Announcement>,
    /// Run of the backend server that is known to have ended.
    pub ended: Option<server::Instance>,
    /// Ranges that were released and not yet given to another owner.
    pub released: Vec<Released>,
    /// Keys that need a new fence.
    pub refences: Vec<Refence>,
    /// Load by keys.
    pub parts: Vec<usage::Part>,
    /// Mean time that a request runs here, in seconds.
    pub service_s: f64,
    /// Share of requests that fail at the backend server, from 0 to 1.
    pub failing: f64,
    /// Whether the node is about to stop.
    pub is_leaving: bool,
}

/// Sections of the state; those that are missing have not changed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Log index up to which the state is known.
    pub index: u64,
    /// The configuration.
    pub config: Option<config::Config>,
    /// All backend servers.
    pub servers: Option<Vec<server::Server>>,
    /// The slices of all keyed services.
    pub tables: Option<collections::BTreeMap<String, slice::Table>>,
}

/// A message from a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromNode {
    /// States what the node holds, and renews its lease.
    Renew(Renewal),
}

/// A message from a control replica.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum FromControl {
    /// Another replica leads, or none is known to.
    Redirect(Option<net::SocketAddr>),
    /// Addresses for nodes of all control replicas.
    Replicas(Vec<net::SocketAddr>),
    /// The state has changed.
    State(State),
    /// The lease is renewed from the time at which this renewal was sent.
    Renewed {
        /// Number of the renewal.
        sequence: u64,
        /// The backend server whose lease it is.
        server: id::Server,
    },
    /// The backend server must release these keys.
    Release {
        /// Service of the keys.
        service: String,
        /// The keys.
        range: slice::Range,
        /// Grant under which they are held.
        fence: slice::Fence,
    },
}
