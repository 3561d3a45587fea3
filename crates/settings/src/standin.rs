//! Settings of a backend server emulator.

use std::net;

use crate::{check, common, field};

/// Settings of a backend server emulator.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Standin {
    /// Name of the backend server.
    pub name: String,
    /// Services that it serves.
    pub services: Vec<String>,
    /// Address to listen on (HTTP).
    pub listen: net::SocketAddr,
    /// Address for backend servers of its node.
    pub node: net::SocketAddr,
    /// Requests that it runs concurrently.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Connections that it accepts.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// Requests that may wait for a slot; more are refused.
    #[serde(default = "default_queue")]
    pub queue: u32,
    /// Time that a request takes, in milliseconds.
    #[serde(default = "default_delay_ms")]
    pub delay_ms: u64,
    /// Additional time that the first request of a key takes, in milliseconds.
    #[serde(default)]
    pub cold_ms: u64,
    /// Whether it refuses requests and commands with an outdated fencing token.
    #[serde(default = "default_true")]
    pub checks_fencing: bool,
    /// Whether it refuses commands that do not carry its token.
    #[serde(default = "default_true")]
    pub checks_sender: bool,
    /// Token that the commands of its node carry.
    pub token: common::Secret,
    /// Log output.
    #[serde(default)]
    pub log: common::Log,
}

const fn default_slots() -> u32 {
    12
}

const fn default_connections() -> u32 {
    130
}

const fn default_queue() -> u32 {
    64
}

const fn default_delay_ms() -> u64 {
    2
}

const fn default_true() -> bool {
    true
}

impl Standin {
    /// Descriptions of all settings, by section.
    pub const SECTIONS: &[(&str, &[field::Field])] =
        &[("", Self::FIELDS), ("log", common::Log::FIELDS)];

    /// Descriptions of the settings.
    pub const FIELDS: &[field::Field] = &[
        field::Field::new(
            "name",
            "name",
            "required",
            "1 to 64 characters",
            "Name of the backend server.",
        ),
        field::Field::new(
            "services",
            "list of names",
            "required",
            "1 to 64, distinct",
            "Services that it serves.",
        ),
        field::Field::new(
            "listen",
            "address",
            "required",
            "IP:port",
            "Address to listen on (HTTP).",
        ),
        field::Field::new(
            "node",
            "address",
            "required",
            "IP:port",
            "Address for backend servers of its node.",
        ),
        field::Field::new(
            "slots",
            "requests",
            "12",
            "1 to 65536",
            "Requests that it runs concurrently.",
        ),
        field::Field::new(
            "connections",
            "connections",
            "130",
            "1 to 65536",
            "Connections that it accepts.",
        ),
        field::Field::new(
            "queue",
            "requests",
            "64",
            "1 to 65536",
            "Requests that may wait for a slot; more are refused.",
        ),
        field::Field::new(
            "delay_ms",
            "ms",
            "2",
            "0 to 60000",
            "Time that a request takes.",
        ),
        field::Field::new(
            "cold_ms",
            "ms",
            "0",
            "0 to 60000",
            "Additional time that the first request of a key takes.",
        ),
        field::Field::new(
            "checks_fencing",
            "boolean",
            "true",
            "`true` or `false`",
            "Whether it refuses requests and commands with an outdated fencing token.",
        ),
        field::Field::new(
            "checks_sender",
            "boolean",
            "true",
            "`true` or `false`",
            "Whether it refuses commands that do not carry its token.",
        ),
        field::Field::new(
            "token",
            "text",
            "required",
            "16 to 256 characters",
            "Token that the commands of its node carry.",
        ),
    ];
}

impl check::Check for Standin {
    fn check(&self, problems: &mut check::Problems) {
        problems.require_name("name", &self.name);
        problems.require(
            (1..=64).contains(&self.services.len()),
            "services",
            format!(
                "{} services listed; 1 to 64 are needed",
                self.services.len()
            ),
        );
        for (index, service) in self.services.iter().enumerate() {
            problems.require_name(&format!("services[{index}]"), service);
        }
        problems.require_distinct("services", &self.services);
        let counts = [
            ("slots", self.slots),
            ("connections", self.connections),
            ("queue", self.queue),
        ];
        for (field, count) in counts {
            problems.require(
                (1..=65536).contains(&count),
                field,
                format!("{count} is not within 1 to 65536"),
            );
        }
        for (field, time_ms) in [("delay_ms", self.delay_ms), ("cold_ms", self.cold_ms)] {
            problems.require(
                time_ms <= 60_000,
                field,
                format!("{time_ms} is not within 0 to 60000 ms"),
            );
        }
        self.token.check("token", problems);
        problems.within("log", |nested| self.log.check(nested));
    }
}
