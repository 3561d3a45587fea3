//! Services, with the properties that the planner uses.

/// Relative weights of the three measures for a service, from its ticket.
///
/// Only their ratios matter. The planner moves a slice for balance if the
/// weighted reduction of the imbalance exceeds the weighted churn and
/// unavailable time of the move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Weights {
    /// Uneven load between backend servers.
    pub imbalance: u32,
    /// Keys that change owner.
    pub churn: u32,
    /// Time for which a key has no reachable owner.
    pub unavailable: u32,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            imbalance: 1,
            churn: 1,
            unavailable: 1,
        }
    }
}
