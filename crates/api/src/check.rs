//! Check of a ticket against the configuration in force.

use sequoiayoke_model::id;

use crate::ticket;

/// Response to the check of a ticket.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Check {
    /// Number that the next ticket must have.
    pub next: id::Ticket,
    /// Reasons for which the ticket would be rejected; empty if it would be accepted.
    pub problems: Vec<String>,
    /// Objects that the ticket would change.
    pub changes: Vec<Change>,
}

/// An object before and after a ticket.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Change {
    /// Kind and name of the object, see [`ticket::Object::identity`].
    pub object: String,
    /// State in force, if the object exists.
    pub before: Option<ticket::Object>,
    /// State after the ticket, if the object exists then.
    pub after: Option<ticket::Object>,
}
