//! Settings of a node.

use std::net;

use crate::{check, common, field};

/// Maximum number of control replicas that a node may list.
pub const MAX_CONTROL: usize = 16;

/// Settings of a node.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Node {
    /// Region of this node.
    pub region: String,
    /// Failure domain of this VM.
    pub failure_domain: String,
    /// Secret that the region's processes share.
    pub secret: common::Secret,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Addresses of the control replicas for nodes.
    pub control: Vec<net::SocketAddr>,
    /// Backend server of this node.
    pub backend: Backend,
    /// Lease and waiting times.
    #[serde(default)]
    pub timing: Timing,
    /// Bounds of queues and tables.
    #[serde(default)]
    pub limits: Limits,
    /// Traffic threads.
    #[serde(default = "default_traffic_threads")]
    pub traffic_threads: usize,
    /// Log output.
    #[serde(default)]
    pub log: common::Log,
}

/// Addresses on which a node listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers (HTTP).
    pub caller: net::SocketAddr,
    /// For other nodes.
    pub peer: net::SocketAddr,
    /// For the backend server of this VM (HTTP).
    pub backend: net::SocketAddr,
    /// For the metrics collector (HTTP), if any.
    #[serde(default)]
    pub metrics: Option<net::SocketAddr>,
}

/// The backend server of a node.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// Token that authenticates the commands of this node to the backend server.
    pub token: common::Secret,
    /// Concurrent requests, if fewer than the server announces.
    #[serde(default)]
    pub slots: Option<u32>,
    /// Connections to the server, if fewer than it announces.
    #[serde(default)]
    pub connections: Option<u32>,
}

field::section! {
    /// Lease and waiting times.
    pub struct Timing {
        /// Time for which a renewed lease is valid; as on the control replicas.
        lease_ms: u64 = 700, "ms", 100..=1500;
        /// Time between two renewals of the lease.
        renew_ms: u64 = 150, "ms", 10..=500;
        /// Time without confirmation after which the view is stale.
        view_bound_ms: u64 = 2000, "ms", 200..=5000;
        /// Time for requests in flight to complete at a shutdown.
        drain_ms: u64 = 30000, "ms", 0..=600000;
        /// Time to open a connection.
        connect_ms: u64 = 200, "ms", 10..=5000;
    }
}

field::section! {
    /// Bounds of queues and tables.
    pub struct Limits {
        /// Requests that wait for the backend server.
        queue: usize = 256, "requests", 1..=65536;
        /// Largest size of the head of a request.
        max_header_bytes: usize = 16384, "bytes", 1024..=262144;
        /// Deadline of a request that specifies none.
        default_deadline_ms: u64 = 10000, "ms", 1..=600000;
        /// Longest deadline of a request.
        max_deadline_ms: u64 = 60000, "ms", 1..=600000;
        /// Connections of callers.
        callers: usize = 4096, "connections", 1..=65536;
        /// Streams to and from other nodes.
        streams: usize = 4096, "streams", 1..=65536;
        /// Request ids remembered for each slice.
        window_entries: usize = 1024, "ids", 16..=65536;
        /// Largest response that is kept for replay.
        answer_bytes: usize = 4096, "bytes", 0..=65536;
    }
}

const fn default_traffic_threads() -> usize {
    2
}

impl Node {
    /// Descriptions of all settings, by section.
    pub const SECTIONS: &[(&str, &[field::Field])] = &[
        ("", Self::FIELDS),
        ("timing", Timing::FIELDS),
        ("limits", Limits::FIELDS),
        ("log", common::Log::FIELDS),
    ];

    /// Descriptions of the settings that `section!` does not declare.
    pub const FIELDS: &[field::Field] = &[
        field::Field::new(
            "region",
            "name",
            "required",
            "1 to 64 characters",
            "Region of this node.",
        ),
        field::Field::new(
            "failure_domain",
            "name",
            "required",
            "1 to 64 characters",
            "Failure domain of this VM.",
        ),
        field::Field::new(
            "secret",
            "text",
            "required",
            "16 to 256 characters",
            "Secret that the region's processes share.",
        ),
        field::Field::new(
            "listen.caller",
            "address",
            "required",
            "IP:port, distinct",
            "Address for callers (HTTP).",
        ),
        field::Field::new(
            "listen.peer",
            "address",
            "required",
            "IP:port, distinct",
            "Address for other nodes.",
        ),
        field::Field::new(
            "listen.backend",
            "address",
            "required",
            "IP:port, distinct",
            "Address for the backend server of this VM (HTTP).",
        ),
        field::Field::new(
            "listen.metrics",
            "address",
            "none",
            "IP:port, distinct",
            "Address for the collector of metrics (HTTP).",
        ),
        field::Field::new(
            "control",
            "list of addresses",
            "required",
            "1 to 16, distinct",
            "Addresses of the control replicas for nodes.",
        ),
        field::Field::new(
            "backend.token",
            "text",
            "required",
            "16 to 256 characters",
            "Token that authenticates the commands of this node to the backend server.",
        ),
        field::Field::new(
            "backend.slots",
            "requests",
            "as announced",
            "1 to 65536",
            "Concurrent requests, if fewer than the server announces.",
        ),
        field::Field::new(
            "backend.connections",
            "connections",
            "as announced",
            "1 to 65536",
            "Connections to the server, if fewer than it announces.",
        ),
        field::Field::new(
            "traffic_threads",
            "threads",
            "2",
            "1 to 64",
            "Threads for sockets and requests.",
        ),
    ];
}

impl check::Check for Node {
    fn check(&self, problems: &mut check::Problems) {
        problems.require_name("region", &self.region);
        problems.require_name("failure_domain", &self.failure_domain);
        self.secret.check("secret", problems);
        let listen = [self.listen.caller, self.listen.peer, self.listen.backend];
        // With port 0 the system picks a free port, so port 0 may occur more than once.
        let fixed_ports = listen
            .into_iter()
            .chain(self.listen.metrics)
            .filter(|address| address.port() != 0);
        problems.require_distinct("listen", fixed_ports);
        problems.require(
            (1..=MAX_CONTROL).contains(&self.control.len()),
            "control",
            format!(
                "{} addresses listed; 1 to {MAX_CONTROL} are needed",
                self.control.len()
            ),
        );
        problems.require_distinct("control", &self.control);
        problems.within("backend", |nested| self.backend.check(nested));
        problems.within("timing", |nested| self.timing.check(nested));
        problems.within("limits", |nested| self.limits.check(nested));
        problems.require(
            (1..=64).contains(&self.traffic_threads),
            "traffic_threads",
            format!("{} is not within 1 to 64 threads", self.traffic_threads),
        );
        problems.within("log", |nested| self.log.check(nested));
    }
}

impl check::Check for Backend {
    fn check(&self, problems: &mut check::Problems) {
        self.token.check("token", problems);
        for (field, value) in [("slots", self.slots), ("connections", self.connections)] {
            problems.require(
                value.is_none_or(|count| (1..=65536).contains(&count)),
                field,
                "must be within 1 to 65536",
            );
        }
    }
}

impl check::Check for Timing {
    fn check(&self, problems: &mut check::Problems) {
        self.check_bounds(problems);
        problems.require(
            self.renew_ms.saturating_mul(3) < self.lease_ms,
            "renew_ms",
            "must be less than a third of `lease_ms`, so that two lost renewals do not end the lease",
        );
        problems.require(
            self.view_bound_ms > self.lease_ms,
            "view_bound_ms",
            "must be more than `lease_ms`",
        );
        problems.require(
            self.connect_ms < self.lease_ms,
            "connect_ms",
            "must be less than `lease_ms`, so that the next control replica is tried within the lease",
        );
    }
}

impl check::Check for Limits {
    fn check(&self, problems: &mut check::Problems) {
        self.check_bounds(problems);
        problems.require(
            self.default_deadline_ms <= self.max_deadline_ms,
            "default_deadline_ms",
            "must be at most `max_deadline_ms`",
        );
    }
}
