//! Settings of the planner.

use std::time::Duration;

/// Settings of [`crate::planner::Planner`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Slices per server of a service that the planner splits up to, so that
    /// load can be spread in parts small against the load of a server.
    pub min_slices_per_server: usize,
    /// Slices per server of a service, on average, that are never exceeded.
    pub max_slices_per_server: usize,
    /// Vacant slices that one round assigns, so that the control thread is not
    /// held up for as long as an election takes.
    pub max_assignments: usize,
    /// Moves that may be in progress at the same time.
    pub max_moves: usize,
    /// Moves that may leave one server at the same time.
    pub max_moves_per_server: usize,
    /// Moves for the sake of balance that may start within `budget_window`.
    pub budget: usize,
    /// Window of `budget`.
    pub budget_window: Duration,
    /// Time after which an action without an outcome is given up.
    pub action_timeout: Duration,
    /// Time for which a slice stays after it changed hands, unless its holder
    /// must lose it.
    pub cooldown: Duration,
    /// Time from the start of a server until it takes its full share.
    pub ramp: Duration,
    /// Excess over the mean load, in thousandths, below which balance is
    /// not improved further.
    pub tolerance: u64,
    /// Share of the mean load of a server, in thousandths, from which a key
    /// gets a slice of its own.
    pub hot_key: u64,
    /// Time over which a gain in imbalance is counted against the time for
    /// which the move makes keys unavailable.
    pub horizon: Duration,
    /// Time for which a planned move makes a key unavailable.
    pub move_time: Duration,
    /// Time until a server has the warm state of the keys that it received.
    pub warm_up: Duration,
    /// Time for which a server must report ill health until its slices are
    /// moved away; it gets no new ones from the first report.
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
