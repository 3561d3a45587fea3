//! Settings of the planner.

use std::time::Duration;

/// Settings of [`crate::planner::Planner`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Slices per server of a service up to which the planner splits slices, so
    /// that load can be spread in units that are small relative to a server's load.
    pub min_slices_per_server: usize,
    /// Maximum number of slices per server of a service, on average.
    pub max_slices_per_server: usize,
    /// Maximum number of vacant slices that one round assigns, so that a round
    /// does not block the control thread for as long as an election timeout.
    pub max_assignments: usize,
    /// Maximum number of concurrent moves.
    pub max_moves: usize,
    /// Maximum number of concurrent moves from one server.
    pub max_moves_per_server: usize,
    /// Maximum number of balancing moves that start within `budget_window`.
    pub budget: usize,
    /// Time window to which `budget` applies.
    pub budget_window: Duration,
    /// Time after which an action without an outcome is abandoned.
    pub action_timeout: Duration,
    /// Time after a change of holder during which a slice is neither moved for
    /// balance nor merged. Assignments, pins and evacuations do not wait for it.
    pub cooldown: Duration,
    /// Time from the start of a server until it has its full capacity.
    pub ramp: Duration,
    /// Excess over the mean load, in thousandths, up to which balance is not
    /// improved further.
    pub tolerance: u64,
    /// Share of the mean load of a server, in thousandths, at or above which a
    /// key gets a slice of its own.
    pub hot_key: u64,
    /// Time over which a reduced imbalance counts as gain, compared with the
    /// churn and the unavailable time that the move costs.
    pub horizon: Duration,
    /// Time for which a planned move makes a key unavailable.
    pub move_time: Duration,
    /// Time until a server has warmed up for the keys that it received.
    pub warm_up: Duration,
    /// Time for which a server must report itself as unhealthy before its slices
    /// are moved away; it gets no new ones from the first report on.
    pub unhealthy_time: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            min_slices_per_server: 8,
            max_slices_per_server: 64,
            max_assignments: 4_096,
            max_moves: 16,
            max_moves_per_server: 4,
            budget: 16,
            budget_window: Duration::from_secs(10),
            action_timeout: Duration::from_secs(10),
            cooldown: Duration::from_secs(10),
            ramp: Duration::from_secs(30),
            tolerance: 100,
            hot_key: 100,
            horizon: Duration::from_secs(60),
            move_time: Duration::from_millis(20),
            warm_up: Duration::from_secs(5),
            unhealthy_time: Duration::from_secs(3),
        }
    }
}
