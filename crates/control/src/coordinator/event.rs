//! Events that reach the coordinator.

use bytes::Bytes;
use sequoiayoke_api::{accepted, check, error, explanation, list, status, ticket};
use sequoiayoke_model::id;
use sequoiayoke_wire::replica;
use sequoiayoke_wire::session;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::measure;

slotmap::new_key_type! {
    /// A session with a node.
    pub struct Session;
}

/// An event for the coordinator.
#[derive(Debug)]
pub enum Event {
    /// A replica said who it is.
    ReplicaHello(replica::Hello),
    /// A message of the replicated log.
    ReplicaLog(id::Replica, replica::Log),
    /// A node has connected; encoded frames for it go to the queue.
    NodeUp(mpsc::Sender<Bytes>, oneshot::Sender<Session>),
    /// A frame from a node.
    NodeFrame(Session, session::FromNode),
    /// The session of a node has ended.
    NodeDown(Session),
    /// An operator asks.
    Operator(Request),
    /// The metrics are to be rendered.
    Figures(oneshot::Sender<measure::Figures>),
}

/// Where the answer to an operator goes.
pub type Reply<T> = oneshot::Sender<Result<T, error::Error>>;

/// What operators ask.
#[derive(Debug)]
pub enum Request {
    /// Accept a ticket.
    Submit(ticket::Ticket, Reply<accepted::Accepted>),
    /// Tell what a ticket would change.
    Check(ticket::Ticket, Reply<check::Check>),
    /// List the accepted tickets.
    List(Reply<list::List>),
    /// Show one accepted ticket.
    Show(id::Ticket, Reply<list::Entry>),
    /// Show the state of the region.
    Status(Reply<status::Status>),
    /// Tell why a key is where it is.
    Explain {
        /// Name of the service.
        service: String,
        /// Scope of the key.
        scope: String,
        /// The key.
        key: String,
        /// Where the answer goes.
        reply: Reply<explanation::Explanation>,
    },
}
