//! Settings of a control replica.

use std::collections::BTreeMap;
use std::net;
use std::path;

use crate::{check, common, field};

/// Time that a node needs to find a new leader, in milliseconds.
///
/// No setting determines this share of the recovery time.
pub const RECONNECT_MS: u64 = 300;

/// Upper bound of the time from the loss of a server until its keys are served again, in
/// milliseconds.
pub const MAX_RECOVERY_MS: u64 = 2_000;

/// Maximum number of voting replicas of a control group.
pub const MAX_REPLICAS: usize = 7;

/// Settings of a control replica.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Region of this control group.
    pub region: String,
    /// Name of this replica; one of `replicas`.
    pub replica: String,
    /// Failure domain of this VM.
    pub failure_domain: String,
    /// Directory of log, snapshots and identity.
    pub data: path::PathBuf,
    /// Secret that the region's processes share.
    pub secret: common::Secret,
    /// Addresses to listen on.
    pub listen: Listen,
    /// All voting replicas at the first start, this one included.
    pub replicas: Vec<Replica>,
    /// Lease and election times.
    #[serde(default)]
    pub timing: Timing,
    /// Splits, assignments and moves of slices.
    #[serde(default)]
    pub placement: Placement,
    /// Traffic threads.
    #[serde(default = "default_traffic_threads")]
    pub traffic_threads: usize,
    /// Log output.
    #[serde(default)]
    pub log: common::Log,
}

/// Addresses on which a control replica listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For other replicas.
    pub replica: net::SocketAddr,
    /// For nodes.
    pub node: net::SocketAddr,
    /// For operators (HTTP).
    pub operator: net::SocketAddr,
}

/// A voting replica at the first start, with the addresses at which others reach it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(deny_unknown_fields)]
pub struct Replica {
    /// Name, unique in the group.
    pub name: String,
    /// Failure domain of its VM.
    pub failure_domain: String,
    /// Address for other replicas.
    pub replica: net::SocketAddr,
    /// Address for nodes.
    pub node: net::SocketAddr,
    /// Address for operators (HTTP).
    pub operator: net::SocketAddr,
}

field::section! {
    /// Lease and election times.
    pub struct Timing {
        /// Time for which a renewed lease is valid.
        lease_ms: u64 = 700, "ms", 100..=1500;
        /// Largest difference between the rates of two clocks that leases allow for.
        drift_percent: u64 = 5, "%", 1..=20;
        /// Time after the end of a lease for which a new leader waits for nodes to find it.
        takeover_ms: u64 = 400, "ms", 0..=1000;
        /// Shortest time without a leader before a replica starts an election.
        election_min_ms: u64 = 250, "ms", 50..=1000;
        /// Longest time without a leader before a replica starts an election.
        election_max_ms: u64 = 400, "ms", 60..=1200;
        /// Time between two heartbeats of the leader.
        heartbeat_ms: u64 = 60, "ms", 5..=400;
        /// Time without confirmation after which a node's view is stale.
        view_bound_ms: u64 = 2000, "ms", 200..=5000;
    }
}

field::section! {
    /// Splits, assignments and moves of slices.
    pub struct Placement {
        /// Time between two plans.
        interval_ms: u64 = 1000, "ms", 50..=60000;
        /// Slices per server of a service up to which slices are split, so that load can be balanced.
        min_slices_per_server: usize = 8, "slices", 1..=64;
        /// Largest number of slices per server of a service, on average.
        max_slices_per_server: usize = 64, "slices", 1..=64;
        /// Vacant slices that one plan assigns.
        max_assignments: usize = 4096, "slices", 1..=65536;
        /// Planned moves in progress at the same time.
        max_moves: usize = 16, "moves", 1..=1024;
        /// Planned moves in progress from one server at the same time.
        max_moves_per_server: usize = 4, "moves", 1..=1024;
        /// Moves for load balance that may start within `move_window_ms`; moves after drains and losses are not counted.
        move_budget: usize = 16, "moves", 1..=65536;
        /// Length of the window of `move_budget`.
        move_window_ms: u64 = 10000, "ms", 1000..=3600000;
        /// Time that a holder may take to release a slice.
        release_ms: u64 = 5000, "ms", 100..=60000;
        /// Time after which a move without an outcome is abandoned.
        move_timeout_ms: u64 = 10000, "ms", 200..=120000;
        /// Cooldown after a move, within which a slice moves again only if its holder must lose it.
        rest_ms: u64 = 10000, "ms", 0..=3600000;
        /// Time from the start of a server until it is assigned its full share of the load.
        ramp_ms: u64 = 30000, "ms", 0..=3600000;
        /// Excess over the mean load at or below which no slice is moved for load balance.
        tolerance_permille: u64 = 100, "1/1000", 1..=10000;
        /// Share of the mean load of a server at or above which a key gets a slice of its own.
        hot_key_permille: u64 = 100, "1/1000", 1..=1000;
        /// Time over which a gain in load balance is weighed against the cost of a move.
        horizon_ms: u64 = 60000, "ms", 1000..=3600000;
        /// Estimated time for which a planned move makes a key unavailable; used for planning.
        move_time_ms: u64 = 20, "ms", 1..=10000;
        /// Estimated time until a server has warmed up keys that it received; used for planning.
        warm_up_ms: u64 = 5000, "ms", 0..=600000;
        /// Time for which a server must report that it is unhealthy before its slices move away.
        ill_ms: u64 = 3000, "ms", 500..=600000;
    }
}

const fn default_traffic_threads() -> usize {
    2
}

impl Control {
    /// Descriptions of all settings, by section.
    pub const SECTIONS: &[(&str, &[field::Field])] = &[
        ("", Self::FIELDS),
        ("timing", Timing::FIELDS),
        ("placement", Placement::FIELDS),
        ("log", common::Log::FIELDS),
    ];

    /// Descriptions of the settings that `section!` does not declare.
    pub const FIELDS: &[field::Field] = &[
        field::Field::new(
            "region",
            "name",
            "required",
            "1 to 64 characters",
            "Region of this control group.",
        ),
        field::Field::new(
            "replica",
            "name",
            "required",
            "one of `replicas`",
            "Name of this replica.",
        ),
        field::Field::new(
            "failure_domain",
            "name",
            "required",
            "1 to 64 characters",
            "Failure domain of this VM.",
        ),
        field::Field::new(
            "data",
            "path",
            "required",
            "not empty",
            "Directory of log, snapshots and identity.",
        ),
        field::Field::new(
            "secret",
            "text",
            "required",
            "16 to 256 characters",
            "Secret that the region's processes share.",
        ),
        field::Field::new(
            "listen.replica",
            "address",
            "required",
            "IP:port, distinct",
            "Address for other replicas.",
        ),
        field::Field::new(
            "listen.node",
            "address",
            "required",
            "IP:port, distinct",
            "Address for nodes.",
        ),
        field::Field::new(
            "listen.operator",
            "address",
            "required",
            "IP:port, distinct",
            "Address for operators (HTTP).",
        ),
        field::Field::new(
            "replicas",
            "list",
            "required",
            "1, 3, 5 or 7",
            "All voting replicas at the first start, this one included.",
        ),
        field::Field::new(
            "replicas[].name",
            "name",
            "required",
            "distinct",
            "Name of the replica.",
        ),
        field::Field::new(
            "replicas[].failure_domain",
            "name",
            "required",
            "no majority in one",
            "Failure domain of its VM.",
        ),
        field::Field::new(
            "replicas[].replica",
            "address",
            "required",
            "IP:port, distinct",
            "Address for other replicas.",
        ),
        field::Field::new(
            "replicas[].node",
            "address",
            "required",
            "IP:port, distinct",
            "Address for nodes.",
        ),
        field::Field::new(
            "replicas[].operator",
            "address",
            "required",
            "IP:port, distinct",
            "Address for operators (HTTP).",
        ),
        field::Field::new(
            "traffic_threads",
            "threads",
            "2",
            "1 to 64",
            "Threads for sockets and requests.",
        ),
    ];

    fn check_replicas(&self, problems: &mut check::Problems) {
        let count = self.replicas.len();
        problems.require(
            count % 2 == 1 && count <= MAX_REPLICAS,
            "replicas",
            format!("{count} replicas listed; an odd number up to {MAX_REPLICAS} is needed"),
        );
        for (index, replica) in self.replicas.iter().enumerate() {
            problems.within(&format!("replicas[{index}]"), |nested| {
                nested.require_name("name", &replica.name);
                nested.require_name("failure_domain", &replica.failure_domain);
            });
        }
        problems.require_distinct(
            "replicas",
            self.replicas.iter().map(|replica| &replica.name),
        );
        problems.require_distinct(
            "replicas",
            self.replicas
                .iter()
                .flat_map(|replica| [replica.replica, replica.node, replica.operator]),
        );
        let mut domains = BTreeMap::<&str, usize>::new();
        for replica in &self.replicas {
            *domains.entry(&replica.failure_domain).or_default() += 1;
        }
        for (domain, domain_replicas) in domains {
            problems.require(
                count == 1 || domain_replicas * 2 < count,
                "replicas",
                format!("failure domain {domain} holds {domain_replicas} of {count} replicas, so its loss would stop the control plane"),
            );
        }
    }

    fn check_own_entry(&self, problems: &mut check::Problems) {
        let Some(own) = self
            .replicas
            .iter()
            .find(|replica| replica.name == self.replica)
        else {
            problems.add(
                "replica",
                format!("{:?} is not one of `replicas`", self.replica),
            );
            return;
        };
        problems.require(
            own.failure_domain == self.failure_domain,
            "failure_domain",
            format!("differs from {:?} in `replicas`", own.failure_domain),
        );
        let pairs = [
            ("listen.replica", self.listen.replica, own.replica),
            ("listen.node", self.listen.node, own.node),
            ("listen.operator", self.listen.operator, own.operator),
        ];
        for (field, listen, advertised) in pairs {
            // A replica may listen on every address of its VM.
            let is_reachable = listen.port() == advertised.port()
                && (listen.ip().is_unspecified() || listen.ip() == advertised.ip());
            problems.require(
                is_reachable,
                field,
                format!("{listen} cannot be reached at {advertised}, the address in `replicas`"),
            );
        }
    }
}

impl check::Check for Control {
    fn check(&self, problems: &mut check::Problems) {
        problems.require_name("region", &self.region);
        problems.require_name("replica", &self.replica);
        problems.require_name("failure_domain", &self.failure_domain);
        problems.require(
            !self.data.as_os_str().is_empty(),
            "data",
            "must name a directory",
        );
        self.secret.check("secret", problems);
        problems.require_distinct(
            "listen",
            [self.listen.replica, self.listen.node, self.listen.operator],
        );
        self.check_replicas(problems);
        self.check_own_entry(problems);
        problems.within("timing", |nested| self.timing.check(nested));
        problems.within("placement", |nested| self.placement.check(nested));
        problems.require(
            (1..=64).contains(&self.traffic_threads),
            "traffic_threads",
            format!("{} is not within 1 to 64 threads", self.traffic_threads),
        );
        problems.within("log", |nested| self.log.check(nested));
    }
}

impl Timing {
    /// Returns the time in milliseconds for which the control replicas keep a lease,
    /// clock drift included.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_settings::control;
    ///
    /// assert_eq!(control::Timing::default().lease_with_drift_ms(), 735);
    /// ```
    pub const fn lease_with_drift_ms(&self) -> u64 {
        self.lease_ms.saturating_add(
            self.lease_ms
                .saturating_mul(self.drift_percent)
                .div_ceil(100),
        )
    }
}

impl check::Check for Timing {
    fn check(&self, problems: &mut check::Problems) {
        self.check_bounds(problems);
        problems.require(
            self.heartbeat_ms.saturating_mul(2) < self.election_min_ms,
            "heartbeat_ms",
            "must be less than half of `election_min_ms`, so that one lost heartbeat starts no election",
        );
        problems.require(
            self.election_min_ms < self.election_max_ms,
            "election_max_ms",
            "must be more than `election_min_ms`, so that replicas do not all start an election at once",
        );
        let recovery_ms = self
            .lease_with_drift_ms()
            .saturating_add(self.takeover_ms)
            .saturating_add(self.election_max_ms)
            .saturating_add(RECONNECT_MS);
        problems.require(
            recovery_ms < MAX_RECOVERY_MS,
            "lease_ms",
            format!("lease with drift, `takeover_ms`, `election_max_ms` and {RECONNECT_MS} ms to reconnect add up to {recovery_ms} ms, which must be less than {MAX_RECOVERY_MS} ms"),
        );
        problems.require(
            self.view_bound_ms > self.lease_with_drift_ms(),
            "view_bound_ms",
            "must be more than the lease with drift",
        );
    }
}

impl check::Check for Placement {
    fn check(&self, problems: &mut check::Problems) {
        self.check_bounds(problems);
        problems.require(
            self.min_slices_per_server <= self.max_slices_per_server,
            "min_slices_per_server",
            "must be at most `max_slices_per_server`",
        );
        problems.require(
            self.max_moves_per_server <= self.max_moves,
            "max_moves_per_server",
            "must be at most `max_moves`",
        );
        problems.require(
            self.release_ms < self.move_timeout_ms,
            "release_ms",
            "must be less than `move_timeout_ms`, since a move also prepares and commits",
        );
    }
}
