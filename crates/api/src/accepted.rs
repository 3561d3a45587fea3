//! Acceptance of a ticket.

use sequoiayoke_model::id;

/// Answer to an accepted ticket.
#[derive(Clone, Debug, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
pub struct Accepted {
    /// Number of the ticket.
    pub number: id::Ticket,
    /// Always `accepted`.
    pub status: Status,
    /// Log index at which a majority committed the ticket.
    pub version: id::Version,
    /// Whether the ticket had been accepted before.
    pub repeated: bool,
    /// How far it is in force.
    pub in_force: Rollout,
}

/// The word `accepted`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// A majority committed the ticket.
    #[default]
    Accepted,
}

/// How far a ticket is in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
pub struct Rollout {
    /// Nodes that hold a lease.
    pub live: u64,
    /// Those that confirmed a version at or past the ticket's.
    pub confirmed: u64,
    /// Whether each node confirmed it or has lost its lease.
    pub complete: bool,
}
