//! Settings of a node in a deployment that bootstraps and reconfigures itself.

use std::net;
use std::time::Duration;

use crate::{check, common, field, span};

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
    /// Bandwidth of the link of this VM, in Mbit/s.
    #[serde(default = "default_link_mbps")]
    pub link_mbps: f64,
    /// Bounds on retries.
    pub retries: Retries,
    /// Time for which a backend server may get requests after it announced that it leaves.
    pub drain: span::Span,
    /// Time between SIGTERM and the end of the process.
    pub grace: span::Span,
    /// Time from the start of an evacuation until the backend servers of the failure domain get no
    /// requests.
    #[serde(default)]
    pub evacuate: Option<span::Span>,
    /// Backend servers that are cold.
    #[serde(default)]
    pub cold_start: ColdStart,
    /// Limits of the process.
    #[serde(default = "common::Limits::of_node")]
    pub limits: common::Limits,
    /// Log output.
    #[serde(default)]
    pub log: common::Log,
}

fn default_link_mbps() -> f64 {
    1_000.0
}

/// Pace of backend servers that are cold, in services whose configuration states what they bear.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct ColdStart {
    /// Requests in a second, in multiples of the rate that the configuration states.
    #[serde(default)]
    pub factor: Option<f64>,
}

impl ColdStart {
    /// Returns the factor, or its default.
    pub fn factor(&self) -> f64 {
        self.factor.unwrap_or(1.0)
    }
}

/// Addresses on which a node listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers (HTTP).
    pub callers: net::SocketAddr,
    /// For readiness probes (HTTP).
    pub ready: net::SocketAddr,
    /// For announcements of the backend server (HTTP).
    pub announcements: net::SocketAddr,
    /// For other nodes.
    pub peers: net::SocketAddr,
    /// For the metrics collector (HTTP), if any.
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
    /// Longest grant that a backend server accepts.
    pub max_hold: span::Span,
}

/// Bounds on retries, which all nodes share.
#[derive(Clone, Copy, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Retries {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries in a window beyond the ratio.
    pub allowance: f64,
    /// Window of `allowance`.
    pub window: span::Span,
}

impl Gateway {
    /// Returns the time in which an evacuation takes effect, or its default.
    pub fn evacuate(&self) -> Duration {
        self.evacuate.map_or(Duration::from_secs(5), |span| span.0)
    }

    /// Descriptions of all settings, by section.
    pub const SECTIONS: &[(&'static str, &'static [field::Field])] = &[
        (
            "",
            &[
                field::Field::new(
                    "failure_domain",
                    "name",
                    "required",
                    "text",
                    "Failure domain of this VM.",
                ),
                field::Field::new(
                    "service",
                    "name",
                    "required",
                    "text",
                    "Service of the backend server on this VM.",
                ),
                field::Field::new(
                    "backend",
                    "address",
                    "required",
                    "IP:port",
                    "Address of the backend server.",
                ),
                field::Field::new(
                    "listen.callers",
                    "address",
                    "required",
                    "IP:port",
                    "For callers (HTTP).",
                ),
                field::Field::new(
                    "listen.ready",
                    "address",
                    "required",
                    "IP:port",
                    "For readiness probes (HTTP).",
                ),
                field::Field::new(
                    "listen.announcements",
                    "address",
                    "required",
                    "IP:port",
                    "For announcements of the backend server (HTTP).",
                ),
                field::Field::new(
                    "listen.peers",
                    "address",
                    "required",
                    "IP:port",
                    "For other nodes.",
                ),
                field::Field::new(
                    "listen.metrics",
                    "address",
                    "none",
                    "IP:port",
                    "For the collector of metrics (HTTP).",
                ),
                field::Field::new(
                    "control.replicas",
                    "list of addresses",
                    "required",
                    "at least 1",
                    "Addresses for operators of control replicas that may be running. Takes effect while running.",
                ),
                field::Field::new(
                    "control.session_port",
                    "port",
                    "required",
                    "0 to 65535",
                    "Port of control replicas for nodes, the same on all VMs.",
                ),
                field::Field::new(
                    "lease.length",
                    "time",
                    "required",
                    "at least 1s",
                    "Length of the lease of a backend server.",
                ),
                field::Field::new(
                    "lease.max_hold",
                    "time",
                    "required",
                    "time",
                    "Longest grant that a backend server accepts.",
                ),
                field::Field::new(
                    "link_mbps",
                    "Mbit/s",
                    "1000",
                    "above 0",
                    "Bandwidth of the link of this VM, assumed until the first bodies have arrived.",
                ),
                field::Field::new(
                    "retries.ratio",
                    "part",
                    "required",
                    "0 to 1",
                    "Retries for each request, of all nodes together. Takes effect while running.",
                ),
                field::Field::new(
                    "retries.allowance",
                    "sendings",
                    "required",
                    "at least 0",
                    "Retries in a window beyond the ratio. Takes effect while running.",
                ),
                field::Field::new(
                    "retries.window",
                    "time",
                    "required",
                    "above 0",
                    "Window of `allowance`. Takes effect while running.",
                ),
                field::Field::new(
                    "drain",
                    "time",
                    "required",
                    "time",
                    "Time for which a backend server may get requests after it announced that it leaves.",
                ),
                field::Field::new(
                    "grace",
                    "time",
                    "required",
                    "time",
                    "Time between SIGTERM and the end of the process.",
                ),
                field::Field::new(
                    "evacuate",
                    "time",
                    "5s",
                    "above 0",
                    "Time from the start of an evacuation until the backend servers of the failure domain get no requests.",
                ),
                field::Field::new(
                    "cold_start.factor",
                    "number",
                    "1",
                    "above 0",
                    "Requests that a cold backend server is sent in a second, in multiples of the rate that the configuration states.",
                ),
                field::Field::new(
                    "limits.memory_mib",
                    "MiB",
                    "160",
                    "at least 32",
                    "Memory of the process. Callers may hold 30 % of it, with bodies that are being read and answers that they have not read; the connections of other nodes 20 %; responses that are being read may take 25 %.",
                ),
                field::Field::new(
                    "limits.descriptors",
                    "number",
                    "4096",
                    "at least 256",
                    "Descriptors of the process. Callers may have 70 % of them as connections, other nodes 15 %.",
                ),
            ],
        ),
        ("log", common::Log::FIELDS),
    ];
}

impl check::Check for Gateway {
    fn check(&self, problems: &mut check::Problems) {
        problems.require(
            !self.control.replicas.is_empty(),
            "control.replicas",
            "must list at least one control replica",
        );
        problems.require(
            self.lease.length.0 >= Duration::from_secs(1),
            "lease.length",
            "must be at least 1s, the time between two renewals",
        );
        problems.require(
            self.link_mbps > 0.0 && self.link_mbps.is_finite(),
            "link_mbps",
            "must be positive",
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
        problems.require(!self.evacuate().is_zero(), "evacuate", "must be positive");
        problems.require(
            self.cold_start.factor() > 0.0 && self.cold_start.factor().is_finite(),
            "cold_start.factor",
            "must be positive",
        );
        problems.within("limits", |nested| self.limits.check(nested));
        problems.within("log", |nested| self.log.check(nested));
    }
}
