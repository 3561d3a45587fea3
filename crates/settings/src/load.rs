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
    /// Trace of requests, one JSON object per line.
    pub trace: path::PathBuf,
    /// Callers of the trace; requests of others carry no token.
    #[serde(default)]
    pub callers: Vec<Caller>,
    /// Rate, connections and times.
    #[serde(default)]
    pub shape: Shape,
    /// Log output.
    #[serde(default)]
    pub log: common::Log,
}

/// A caller of the trace.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Caller {
    /// Name in the trace.
    pub name: String,
    /// Token of the caller.
    pub token: common::Secret,
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

    /// Descriptions of the settings that `section!` does not declare.
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
            "Trace of requests, one JSON object per line.",
        ),
        field::Field::new(
            "callers",
            "list",
            "empty",
            "0 to 4096",
            "Callers of the trace; requests of others carry no token.",
        ),
        field::Field::new(
            "callers[].name",
            "name",
            "required",
            "distinct",
            "Name in the trace.",
        ),
        field::Field::new(
            "callers[].token",
            "text",
            "required",
            "16 to 256 characters",
            "Token of the caller.",
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
        problems.require_distinct("nodes", &self.nodes);
        problems.require(
            !self.trace.as_os_str().is_empty(),
            "trace",
            "must name a file",
        );
        problems.require(
            self.callers.len() <= 4096,
            "callers",
            format!(
                "{} callers listed; at most 4096 are allowed",
                self.callers.len()
            ),
        );
        for (index, caller) in self.callers.iter().enumerate() {
            problems.within(&format!("callers[{index}]"), |nested| {
                nested.require_name("name", &caller.name);
                caller.token.check("token", nested);
            });
        }
        problems.require_distinct("callers", self.callers.iter().map(|caller| &caller.name));
        problems.within("shape", |nested| self.shape.check(nested));
        problems.within("log", |nested| self.log.check(nested));
    }
}

impl check::Check for Shape {
    fn check(&self, problems: &mut check::Problems) {
        self.check_bounds(problems);
    }
}
