//! Settings of a node whose deployment forms and changes by itself.

use std::net;
use std::time::Duration;

use crate::{check, common, span};

/// Settings of a node.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Gateway {
    /// Failure domain of this VM.
    pub failure_domain: String,
    /// Service of the backend server on this VM.
    pub service: String,
    /// Address of the backend server.
    pub backend: net::SocketAddr,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Control replicas that may be running.
    pub control: Control,
    /// Lease and grants.
    pub lease: Lease,
    /// Bounds on second sendings.
    pub retries: Retries,
    /// Time after the announcement of its leave for which a backend server may
    /// get requests.
    pub drain: span::Span,
    /// Time between SIGTERM and the end of the process.
    pub grace: span::Span,
    /// Log output.
    #[serde(default)]
    pub log: common::Log,
}

/// Addresses on which a node listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers (HTTP).
    pub callers: net::SocketAddr,
    /// For questions about readiness (HTTP).
    pub ready: net::SocketAddr,
    /// For announcements of the backend server (HTTP).
    pub announcements: net::SocketAddr,
    /// For other nodes.
    pub peers: net::SocketAddr,
    /// For the collector of metrics (HTTP), if any.
    #[serde(default)]
    pub metrics: Option<net::SocketAddr>,
}

/// Control replicas.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Addresses for operators of replicas that may be running.
    pub replicas: Vec<net::SocketAddr>,
    /// Port for nodes, the same on all VMs.
    pub session_port: u16,
}

/// Lease and grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Lease {
    /// Length of a lease.
    pub length: span::Span,
    /// Longest grant that a backend server takes.
    pub max_hold: span::Span,
}

/// Bounds on second sendings, which all nodes share.
#[derive(Clone, Copy, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Retries {
    /// Second sendings for each request.
    pub ratio: f64,
    /// Second sendings in a window beyond the ratio.
    pub allowance: f64,
    /// The window.
    pub window: span::Span,
}

impl check::Check for Gateway {
    fn check(&self, problems: &mut check::Problems) {
        problems.require(
            !self.control.replicas.is_empty(),
            "control.replicas",
            "must name a control replica",
        );
        problems.require(
            self.lease.length.0 >= Duration::from_secs(1),
            "lease.length",
            "must be at least 1s, the time between two renewals",
        );
        problems.require(
            (0.0..=1.0).contains(&self.retries.ratio),
            "retries.ratio",
            "must be within 0 to 1",
        );
        problems.require(
            self.retries.allowance >= 0.0,
            "retries.allowance",
            "must not be negative",
        );
        problems.require(
            !self.retries.window.0.is_zero(),
            "retries.window",
            "must be positive",
        );
        problems.within("log", |part| self.log.check(part));
    }
}
