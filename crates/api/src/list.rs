//! Accepted tickets.

use sequoiayoke_model::id;

use crate::{accepted, ticket};

/// Accepted tickets, oldest first.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct List {
    /// Number that the next ticket must have.
    pub next: id::Ticket,
    /// Tickets that the control plane retains.
    pub tickets: Vec<Entry>,
}

/// An accepted ticket.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Entry {
    /// Number of the ticket.
    pub number: id::Ticket,
    /// Log index at which a majority committed it.
    pub version: id::Version,
    /// Objects that it changed.
    pub objects: Vec<ticket::Object>,
    /// Progress of the ticket on the nodes.
    pub in_force: accepted::Rollout,
}
