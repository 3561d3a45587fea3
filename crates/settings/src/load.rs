//! Settings of the load tool.

use std::net;
use std::path;

use crate::{check, common, field};

/// Settings of the load tool.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Addresses for callers of the nodes.
    pub nodes: Vec<net::SocketAddr>,
    /// Trace of requests, one JSON object a line.
    pub trace: path::PathBuf,
    /// Token of the caller that sends them.
    #[serde(default)]
    pub token: Option<common::Secret>,
    /// Rate, connections and times.
    #[serde(default)]
    pub shape: Shape,
    /// Log output.
    #[serde(default)]
    pub log: common::Log,
}

field::section! {
    /// Rate, connections and times of a run.
    pub struct Shape {
        /// Requests started each second; the rate does not fall when responses are late.
        rate: u64 = 100, "requests/s", 1..=1000000;
        /// Connections open at the same time.
        connections: usize = 64, "connections", 1..=65536;
        /// Requests in flight at the same time; more are counted as not sent.
        in_flight: usize = 1024, "requests", 1..=65536;
        /// Length of the run.
        duration_ms: u64 = 10000, "ms", 1..=86400000;
        /// Deadline of each request.
        deadline_ms: u64 = 10000, "ms", 1..=60000;
        /// Seed of all random choices.
        seed: u64 = 1, "number", 0..=9007199254740991;
    }
}

impl Load {
    /// Descriptions of all settings, by section.
    pub const SECTIONS: &[(&str, &[field::Field])] = &[
        ("", Self::FIELDS),
        ("shape", Shape::FIELDS),
        ("log", common::Log::FIELDS),
    ];

    /// Descriptions of the settings outside the section of numbers.
    pub const FIELDS: &[field::Field] = &[
        field::Field::new(
            "nodes",
            "list of addresses",
            "required",
            "1 to 8192, distinct",
            "Addresses for callers of the nodes.",
        ),
        field::Field::new(
            "trace",
            "path",
            "required",
            "not empty",
            "Trace of requests, one JSON object a line.",
        ),
        field::Field::new(
            "token",
            "text",
            "none",
            "16 to 256 characters",
            "Token of the caller that sends the requests.",
        ),
    ];
}

impl check::Check for Load {
    fn check(&self, problems: &mut check::Problems) {
        problems.require(
            (1..=8192).contains(&self.nodes.len()),
            "nodes",
            format!(
                "{} addresses listed; 1 to 8192 are needed",
                self.nodes.len()
            ),
        );
        problems.distinct("nodes", &self.nodes);
        problems.require(
            !self.trace.as_os_str().is_empty(),
            "trace",
            "must name a file",
        );
        if let Some(token) = &self.token {
            token.check("token", problems);
        }
        problems.within("shape", |part| self.shape.check(part));
        problems.within("log", |part| self.log.check(part));
    }
}

impl check::Check for Shape {
    fn check(&self, problems: &mut check::Problems) {
        self.bounds(problems);
    }
}
