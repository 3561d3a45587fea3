//! The state machine itself.
//!
//! Safety of ownership rests on two rules that are checked here, whatever the
//! leader proposes: a slice is assigned only if it is vacant or if the proposal
//! names the epoch of its present holder, and only to a present run of a node.

mod apply;
mod index;

use std::collections;

use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_model::view;

use crate::history;
use crate::member;
use crate::ticket;

/// Accepted tickets that are kept whole; of older ones only the number is known.
pub const MAX_TICKETS: usize = 20_000;

/// Earlier runs of one node that may wait for the record of their end.
///
/// A node that restarts faster than leases end must not make the state grow without bound.
pub const MAX_STALE_RUNS: usize = 16;

/// A key that is pinned to a server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub struct Pinned {
    /// Service of the key.
    pub service: id::Service,
    /// Hash of scope and key.
    pub hash: key::Hash,
}

/// Why a command did not take effect.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Refusal {
    /// The ticket is malformed; one line for each problem.
    #[error("the ticket is malformed: {}", .0.join("; "))]
    Malformed(Vec<String>),
    /// The number is not the next one.
    #[error("the next ticket number is {next}")]
    OutOfOrder {
        /// The next number.
        next: id::Ticket,
    },
    /// Another ticket holds the number.
    #[error("the number is taken by another ticket")]
    NumberTaken {
        /// That ticket, unless it is too old to be kept.
        holder: Option<Box<ticket::Accepted>>,
    },
    /// A newer run of the node has joined, or this one has left.
    #[error("the run of the node is not the present one")]
    NotPresent,
    /// Too many earlier runs of the node may still hold a lease.
    #[error("{MAX_STALE_RUNS} earlier runs of the node have not ended yet")]
    Crowded,
    /// No such service, server or slice, or it changed meanwhile.
    #[error("the object is not there or has changed")]
    Conflict,
}

/// What a command did.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Applied {
    /// Changes of the view.
    pub changes: Vec<view::Change>,
    /// Set by `Ticket` and by its repetition.
    pub accepted: Option<id::Version>,
    /// Whether the command repeated one that took effect before.
    pub repeated: bool,
    /// Set by `Join`.
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
/// let again = machine.apply(6, &command).expect("a resend gets the same answer");
/// assert_eq!((again.accepted, again.repeated), (Some(id::Version(5)), true));
/// ```
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Machine {
    view: view::View,
    rest: Rest,
    // Derived from the other two, so it is no part of a snapshot.
    index: index::Index,
}

/// Everything but the view.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
struct Rest {
    last_ticket: id::Ticket,
    tickets: collections::VecDeque<ticket::Accepted>,
    services: collections::BTreeMap<id::Service, ticket::Service>,
    servers: collections::BTreeMap<id::Server, member::Server>,
    callers: collections::BTreeMap<id::Caller, ticket::Caller>,
    pins: collections::BTreeMap<Pinned, String>,
    history: history::History,
}

/// A whole machine as plain data, to be stored or sent.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Snapshot {
    version: id::Version,
    changes: Vec<view::Change>,
    rest: Rest,
}

impl Machine {
    /// Makes an empty machine.
    pub fn new() -> Self {
        Self::default()
    }

    /// Rebuilds a machine from a snapshot.
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

    /// Copies the machine into a snapshot.
    pub fn to_snapshot(&self) -> Snapshot {
        Snapshot {
            version: self.view.version(),
            changes: self.view.to_changes(),
            rest: self.rest.clone(),
        }
    }

    /// Returns the view that nodes get.
    pub const fn view(&self) -> &view::View {
        &self.view
    }

    /// Returns the number that the next ticket must have.
    pub const fn next_ticket(&self) -> id::Ticket {
        id::Ticket(self.rest.last_ticket.0 + 1)
    }

    /// Iterates over the accepted tickets that are kept, oldest first.
    pub fn tickets(&self) -> impl Iterator<Item = &ticket::Accepted> {
        self.rest.tickets.iter()
    }

    /// Returns an accepted ticket, unless it is too old to be kept.
    pub fn ticket(&self, number: id::Ticket) -> Option<&ticket::Accepted> {
        let oldest = self.rest.tickets.front()?.ticket.number;
        let index = number.0.checked_sub(oldest.0)?;
        self.rest.tickets.get(usize::try_from(index).ok()?)
    }

    /// Iterates over all backend servers.
    pub fn servers(&self) -> impl Iterator<Item = (id::Server, &member::Server)> {
        self.rest.servers.iter().map(|(id, server)| (*id, server))
    }

    /// Returns a backend server.
    pub fn server(&self, id: id::Server) -> Option<&member::Server> {
        self.rest.servers.get(&id)
    }

    /// Finds a backend server by its name.
    pub fn server_named(&self, name: &str) -> Option<(id::Server, &member::Server)> {
        let id = self.index.server_named(name)?;
        Some((id, self.rest.servers.get(&id)?))
    }

    /// Iterates over the services.
    pub fn services(&self) -> impl Iterator<Item = (id::Service, &ticket::Service)> {
        self.rest.services.iter().map(|(id, one)| (*id, one))
    }

    /// Returns a service.
    pub fn service(&self, id: id::Service) -> Option<&ticket::Service> {
        self.rest.services.get(&id)
    }

    /// Iterates over the callers.
    pub fn callers(&self) -> impl Iterator<Item = &ticket::Caller> {
        self.rest.callers.values()
    }

    /// Iterates over the pinned keys and the names of their servers.
    pub fn pins(&self) -> impl Iterator<Item = (&Pinned, &str)> {
        self.rest
            .pins
            .iter()
            .map(|(pin, name)| (pin, name.as_str()))
    }

    /// Returns the record of why slices changed hands.
    pub const fn history(&self) -> &history::History {
        &self.rest.history
    }
}
