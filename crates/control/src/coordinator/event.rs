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
    /// A replica has announced itself.
    ReplicaHello(replica::Hello),
    /// A message of the replicated log.
    ReplicaLog(id::Replica, replica::Log),
    /// A node has connected; the queue takes encoded frames for it.
    NodeUp(mpsc::Sender<Bytes>, oneshot::Sender<Session>),
    /// A frame from a node.
    NodeFrame(Session, session::FromNode),
    /// The session of a node has ended.
    NodeDown(Session),
    /// A request of an operator.
    Operator(Request),
    /// A request for the values of the metrics.
    Figures(oneshot::Sender<measure::Figures>),
}

/// Channel for the answer to an operator.
pub type Reply<T> = oneshot::Sender<Result<T, error::Error>>;

/// A request of an operator.
#[derive(Debug)]
pub enum Request {
    /// Accept a ticket.
    Submit(ticket::Ticket, Reply<accepted::Accepted>),
    /// Return what a ticket would change.
    Check(ticket::Ticket, Reply<check::Check>),
    /// List the accepted tickets.
    List(Reply<list::List>),
    /// Show one accepted ticket.
    Show(id::Ticket, Reply<list::Entry>),
    /// Show the state of the region.
    Status(Reply<status::Status>),
    /// Explain why a key has its current holder.
    Explain {
        /// Name of the service.
        service: String,
        /// Scope of the key.
        scope: String,
        /// The key.
        key: String,
        /// Channel for the answer.
        reply: Reply<explanation::Explanation>,
    },
}
