//! Backend servers, as they announce themselves.

use std::net;

use sequoiayoke_model::id;

use crate::ticket;

/// What a node says about itself and its backend server when it joins.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Announcement {
    /// Name of the backend server.
    pub name: String,
    /// Random number of this run of the node, so that a repeated `Join` is recognised.
    pub nonce: u64,
    /// Names of the services that it serves.
    pub services: Vec<String>,
    /// Its failure domain.
    pub failure_domain: String,
    /// Where its node takes frames from other nodes.
    pub peer_address: net::SocketAddr,
    /// Where its node takes callers' HTTP.
    pub caller_address: net::SocketAddr,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it checks the epochs of requests.
    pub checks_fencing: bool,
    /// Whether it checks who sends it commands.
    pub checks_sender: bool,
}

/// One run of a node.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Run {
    /// Number of the run.
    pub incarnation: id::Incarnation,
    /// What it announced.
    pub announcement: Announcement,
}

/// A backend server that has been seen or named by a ticket.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Server {
    /// Its name.
    pub name: String,
    /// What operators want of it.
    pub intent: ticket::Intent,
    /// The present run of its node, if any.
    pub run: Option<Run>,
    /// Earlier runs whose lease has not yet been recorded as ended.
    pub stale_runs: Vec<id::Incarnation>,
}
