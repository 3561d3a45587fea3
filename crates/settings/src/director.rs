//! Settings of a control replica whose group bootstraps and reconfigures itself.

use std::collections;
use std::net;
use std::path;
use std::time::Duration;

use crate::{check, common, field, span};

/// Settings of a control replica.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Director {
    /// Name of the VM.
    pub name: String,
    /// Region of the VM.
    pub region: String,
    /// Failure domains of the deployment, which operators can evacuate, with their regions.
    #[serde(default)]
    pub failure_domains: Option<collections::BTreeMap<String, String>>,
    /// Directory of the replica's state.
    pub data: path::PathBuf,
    /// Addresses to listen on.
    pub listen: Listen,
    /// Addresses for operators of replicas that may be running.
    pub replicas: Vec<net::SocketAddr>,
    /// Whether the whole deployment starts for the first time, with empty disks.
    pub first_start: bool,
    /// Whether the volume of `data` assigns new inode numbers to its files at each start.
    #[serde(default)]
    pub inodes_change: bool,
    /// Length of a lease.
    pub lease: span::Span,
    /// Losses that the deployment has to bear at the same time.
    #[serde(default)]
    pub tolerated_losses: Losses,
    /// Limits of the process.
    #[serde(default = "common::Limits::of_control_replica")]
    pub limits: common::Limits,
    /// Log output.
    #[serde(default)]
    pub log: common::Log,
}

/// Addresses on which a control replica listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For operators (HTTP); it also identifies the replica to the others.
    pub operators: net::SocketAddr,
    /// For the metrics collector (HTTP), if any.
    #[serde(default)]
    pub metrics: Option<net::SocketAddr>,
    /// Port for other replicas, the same on all VMs.
    pub replica_port: u16,
    /// Port for nodes, the same on all VMs.
    pub session_port: u16,
}

/// Losses that a deployment has to bear at the same time: as many VMs with a control replica, or failure
/// domains, or regions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Losses {
    /// Number of VMs.
    pub vms: usize,
    /// Number of failure domains.
    pub failure_domains: usize,
    /// Number of regions.
    pub regions: usize,
}

impl Default for Losses {
    fn default() -> Self {
        Self {
            vms: 2,
            failure_domains: 0,
            regions: 0,
        }
    }
}

impl Director {
    /// Descriptions of all settings, by section.
    pub const SECTIONS: &[(&'static str, &'static [field::Field])] = &[
        (
            "",
            &[
                field::Field::new(
                    "name",
                    "name",
                    "required",
                    "1 to 64 characters",
                    "Name of the VM.",
                ),
                field::Field::new(
                    "region",
                    "name",
                    "required",
                    "1 to 64 characters",
                    "Region of the VM.",
                ),
                field::Field::new(
                    "failure_domains",
                    "object",
                    "none",
                    "region by name",
                    "Failure domains of the deployment, which operators can evacuate; those of the backend servers are known without it.",
                ),
                field::Field::new(
                    "data",
                    "path",
                    "required",
                    "path",
                    "Directory of the replica's state.",
                ),
                field::Field::new(
                    "listen.operators",
                    "address",
                    "required",
                    "IP:port",
                    "For operators (HTTP); it also identifies the replica to the others.",
                ),
                field::Field::new(
                    "listen.metrics",
                    "address",
                    "none",
                    "IP:port",
                    "For the collector of metrics (HTTP).",
                ),
                field::Field::new(
                    "listen.replica_port",
                    "port",
                    "required",
                    "0 to 65535",
                    "Port for other replicas, the same on all VMs.",
                ),
                field::Field::new(
                    "listen.session_port",
                    "port",
                    "required",
                    "not `listen.replica_port`",
                    "Port for nodes, the same on all VMs.",
                ),
                field::Field::new(
                    "replicas",
                    "list of addresses",
                    "required",
                    "IP:port",
                    "Addresses for operators of replicas that may be running. Takes effect while running.",
                ),
                field::Field::new(
                    "first_start",
                    "true or false",
                    "required",
                    "true or false",
                    "Whether the whole deployment starts for the first time, with empty disks.",
                ),
                field::Field::new(
                    "inodes_change",
                    "true or false",
                    "false",
                    "true or false",
                    "Whether the volume of `data` assigns new inode numbers to its files at each start.",
                ),
                field::Field::new(
                    "lease",
                    "time",
                    "required",
                    "at least 1s",
                    "Length of the lease of a backend server.",
                ),
                field::Field::new(
                    "tolerated_losses.vms",
                    "number",
                    "2",
                    "number",
                    "VMs with a control replica that the deployment has to lose at the same time, with their disks or not. A silent control replica stays in the group while those that are heard could not lose as many more. Run at least twice as many control replicas and one; three times as many if another VM can be replaced for good meanwhile.",
                ),
                field::Field::new(
                    "tolerated_losses.failure_domains",
                    "number",
                    "0",
                    "at most those of `failure_domains`",
                    "Failure domains that the deployment has to lose at the same time; control replicas are taken to be spread evenly over them.",
                ),
                field::Field::new(
                    "tolerated_losses.regions",
                    "number",
                    "0",
                    "at most those of `failure_domains`",
                    "Regions that the deployment has to lose at the same time.",
                ),
                field::Field::new(
                    "limits.memory_mib",
                    "MiB",
                    "256",
                    "at least 32",
                    "Memory of the process. The connections of nodes may hold 20 % of it, with messages that are being read, and those of other replicas 20 %.",
                ),
                field::Field::new(
                    "limits.descriptors",
                    "number",
                    "4096",
                    "at least 256",
                    "Descriptors of the process. Nodes may have 60 % of them as connections, other replicas 15 %.",
                ),
            ],
        ),
        ("log", common::Log::FIELDS),
    ];

    /// Returns the number of failure domains and of their regions.
    pub fn count_domains(&self) -> (usize, usize) {
        let domains = self.failure_domains.iter().flatten();
        let regions: collections::BTreeSet<_> = domains.map(|(_, region)| region).collect();
        (self.failure_domains.iter().flatten().count(), regions.len())
    }
}

impl check::Check for Director {
    fn check(&self, problems: &mut check::Problems) {
        problems.require_name("name", &self.name);
        problems.require_name("region", &self.region);
        problems.require(
            self.listen.replica_port != self.listen.session_port,
            "listen.session_port",
            "must differ from `listen.replica_port`",
        );
        problems.require(
            self.lease.0 >= Duration::from_secs(1),
            "lease",
            "must be at least 1s, the time between two renewals",
        );
        let (domains, regions) = self.count_domains();
        problems.require(
            self.tolerated_losses.failure_domains <= domains,
            "tolerated_losses.failure_domains",
            "must not exceed the number of `failure_domains`",
        );
        problems.require(
            self.tolerated_losses.regions <= regions,
            "tolerated_losses.regions",
            "must not exceed the number of regions in `failure_domains`",
        );
        problems.within("limits", |nested| self.limits.check(nested));
        problems.within("log", |nested| self.log.check(nested));
    }
}
