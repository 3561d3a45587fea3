//! Acceptance of a ticket.

use sequoiayoke_model::id;

/// Response to an accepted ticket.
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
    /// Progress of the ticket on the nodes.
    pub in_force: Rollout,
}

/// Status of an accepted ticket, serialized as `accepted`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// A majority committed the ticket.
    #[default]
    Accepted,
}

/// Progress of a ticket on the nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Deserialize, serde::Serialize)]
pub struct Rollout {
    /// Nodes that hold a lease.
    pub live: u64,
    /// Live nodes that confirmed the ticket's version or a later one.
    pub confirmed: u64,
    /// Whether each node has confirmed the ticket or lost its lease.
    pub complete: bool,
}
