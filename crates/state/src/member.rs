//! Backend servers and the announcements of their nodes.

use std::net;

use sequoiayoke_model::id;

use crate::ticket;

/// A node's description of itself and its backend server when it joins.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Announcement {
    /// Name of the backend server.
    pub name: String,
    /// Random number of this incarnation of the node, which identifies a retried `Join`.
    pub nonce: u64,
    /// Names of the services that the backend server serves.
    pub services: Vec<String>,
    /// Failure domain of the backend server.
    pub failure_domain: String,
    /// Address on which the node accepts frames from other nodes.
    pub peer_address: net::SocketAddr,
    /// Address on which the node accepts HTTP requests from callers.
    pub caller_address: net::SocketAddr,
    /// Number of requests that the backend server runs concurrently.
    pub slots: u32,
    /// Whether the backend server checks the epochs of requests.
    pub checks_fencing: bool,
    /// Whether the backend server verifies the sender of commands.
    pub checks_sender: bool,
}

/// One incarnation of a node.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Run {
    /// Number of the incarnation.
    pub incarnation: id::Incarnation,
    /// Announcement with which it joined.
    pub announcement: Announcement,
}

/// A backend server that has joined or that a ticket names.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Server {
    /// Name of the backend server.
    pub name: String,
    /// State that operators want the backend server to be in.
    pub intent: ticket::Intent,
    /// Current incarnation of its node, if any.
    pub run: Option<Run>,
    /// Earlier incarnations whose lease is not yet recorded as ended.
    pub stale_runs: Vec<id::Incarnation>,
}
