//! Services as the planner sees them.

/// How much each measure counts for a service; from its ticket.
///
/// Only their proportions matter. The planner moves a slice if the gain in
/// imbalance times its weight exceeds the churn and the unavailable time of
/// the move times theirs.
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
