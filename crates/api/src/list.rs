//! Accepted tickets.

use sequoiayoke_model::id;

use crate::{accepted, ticket};

/// Accepted tickets, the oldest first.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct List {
    /// Number that the next ticket needs.
    pub next: id::Ticket,
    /// The tickets that the control plane keeps.
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
    /// How far it is in force.
    pub in_force: accepted::Rollout,
}
