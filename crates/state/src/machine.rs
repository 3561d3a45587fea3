//! The state machine.
//!
//! Exclusive ownership of slices rests on two rules that are checked here, whatever
//! the leader proposes: a slice is assigned only if it is vacant or the proposal
//! contains the epoch of its current holder, and only to the current incarnation of
//! a node.

mod apply;
mod index;

use std::collections;

use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_model::view;

use crate::history;
use crate::member;
use crate::ticket;

/// Maximum number of accepted tickets that are kept in full.
///
/// Of older tickets, only the number is known.
pub const MAX_TICKETS: usize = 20_000;

/// Maximum number of earlier incarnations of one node whose end is not yet recorded.
///
/// It bounds the state when a node restarts faster than its leases end.
pub const MAX_STALE_RUNS: usize = 16;

/// A key that is pinned to a server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub struct Pinned {
    /// Service of the key.
    pub service: id::Service,
    /// Hash of the scope and the key.
    pub hash: key::Hash,
}

/// Reason why a command was refused.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Refusal {
    /// The ticket is malformed; holds one line for each problem.
    #[error("the ticket is malformed: {}", .0.join("; "))]
    Malformed(Vec<String>),
    /// The ticket number is not the next one.
    #[error("the next ticket number is {next}")]
    OutOfOrder {
        /// The next ticket number.
        next: id::Ticket,
    },
    /// Another ticket was accepted under the number.
    #[error("the number is taken by another ticket")]
    NumberTaken {
        /// The accepted ticket, or `None` if it is no longer kept.
        holder: Option<Box<ticket::Accepted>>,
    },
    /// The incarnation is neither the current one nor awaiting its end.
    #[error("the run of the node is not the present one")]
    NotPresent,
    /// Too many earlier incarnations of the node may still hold a lease.
    #[error("{MAX_STALE_RUNS} earlier runs of the node have not ended yet")]
    Crowded,
    /// The service, server or slice does not exist or has changed in the meantime.
    #[error("the object is not there or has changed")]
    Conflict,
}

/// Result of a command.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Applied {
    /// Changes to the view.
    pub changes: Vec<view::Change>,
    /// Version at which the ticket was accepted; set by `Ticket`, also for a retry.
    pub accepted: Option<id::Version>,
    /// Whether the command is a retry of one that was already applied.
    pub repeated: bool,
    /// Identity of the node; set by `Join`, also for a retry.
    pub joined: Option<(id::Server, id::Incarnation)>,
    /// Number of moves of an `Assign` that took effect.
    pub moved: usize,
}

/// The replicated state.
///
/// # Examples
///
/// ```
/// use sequoiayoke_model::id;
/// use sequoiayoke_state::{command, machine, ticket};
///
/// let service = ticket::Service {
///     name: "refunds".into(),
///     idempotent: vec!["GET".into()],
///     scoped: false,
///     slices: 4,
///     weights: ticket::Weights::default(),
/// };
/// let ticket = ticket::Ticket {
///     number: id::Ticket(1),
///     objects: vec![ticket::Object::Service(service)],
/// };
/// let mut machine = machine::Machine::new();
/// let command = command::Command::Ticket(ticket);
/// let applied = machine.apply(5, &command).expect("the ticket is well formed");
/// assert_eq!(applied.accepted, Some(id::Version(5)));
/// let again = machine.apply(6, &command).expect("a retry gets the same answer");
/// assert_eq!((again.accepted, again.repeated), (Some(id::Version(5)), true));
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Machine {
    view: view::View,
    rest: Records,
    // Derived from the other fields, so it is not part of a snapshot.
    index: index::Index,
}

/// Replicated state that is not part of the view.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
struct Records {
    last_ticket: id::Ticket,
    tickets: collections::VecDeque<ticket::Accepted>,
    services: collections::BTreeMap<id::Service, ticket::Service>,
    servers: collections::BTreeMap<id::Server, member::Server>,
    callers: collections::BTreeMap<id::Caller, ticket::Caller>,
    pins: collections::BTreeMap<Pinned, String>,
    history: history::History,
}

/// The complete state as plain data, to be stored or sent.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Snapshot {
    version: id::Version,
    changes: Vec<view::Change>,
    rest: Records,
}

impl Machine {
    /// Creates an empty machine.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a machine from a snapshot.
    pub fn with_snapshot(snapshot: Snapshot) -> Self {
        let mut view = view::View::new();
        view.apply(snapshot.version, snapshot.changes);
        let index = index::Index::new(&view, &snapshot.rest.servers);
        Self {
            view,
            rest: snapshot.rest,
            index,
        }
    }

    /// Returns a snapshot of the machine.
    pub fn to_snapshot(&self) -> Snapshot {
        Snapshot {
            version: self.view.version(),
            changes: self.view.to_changes(),
            rest: self.rest.clone(),
        }
    }

    /// Returns the view that is published to nodes.
    pub const fn view(&self) -> &view::View {
        &self.view
    }

    /// Returns the number that the next ticket must have.
    pub const fn next_ticket(&self) -> id::Ticket {
        id::Ticket(self.rest.last_ticket.0 + 1)
    }

    /// Returns the accepted tickets that are kept, oldest first.
    pub fn tickets(&self) -> impl Iterator<Item = &ticket::Accepted> {
        self.rest.tickets.iter()
    }

    /// Returns an accepted ticket if it is still kept.
    pub fn ticket(&self, number: id::Ticket) -> Option<&ticket::Accepted> {
        let oldest = self.rest.tickets.front()?.ticket.number;
        let index = number.0.checked_sub(oldest.0)?;
        self.rest.tickets.get(usize::try_from(index).ok()?)
    }

    /// Returns all backend servers.
    pub fn servers(&self) -> impl Iterator<Item = (id::Server, &member::Server)> {
        self.rest.servers.iter().map(|(id, server)| (*id, server))
    }

    /// Returns the backend server with this identifier.
    pub fn server(&self, id: id::Server) -> Option<&member::Server> {
        self.rest.servers.get(&id)
    }

    /// Returns the backend server with this name.
    pub fn server_named(&self, name: &str) -> Option<(id::Server, &member::Server)> {
        let id = self.index.server_named(name)?;
        Some((id, self.rest.servers.get(&id)?))
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = (id::Service, &ticket::Service)> {
        self.rest
            .services
            .iter()
            .map(|(id, service)| (*id, service))
    }

    /// Returns the service with this identifier.
    pub fn service(&self, id: id::Service) -> Option<&ticket::Service> {
        self.rest.services.get(&id)
    }

    /// Returns all callers.
    pub fn callers(&self) -> impl Iterator<Item = &ticket::Caller> {
        self.rest.callers.values()
    }

    /// Returns the pinned keys and the names of their servers.
    pub fn pins(&self) -> impl Iterator<Item = (&Pinned, &str)> {
        self.rest
            .pins
            .iter()
            .map(|(pin, name)| (pin, name.as_str()))
    }

    /// Returns the history of the changes of slices.
    pub const fn history(&self) -> &history::History {
        &self.rest.history
    }
}
