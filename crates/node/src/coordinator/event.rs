//! Events that reach the coordinator.

use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_traffic::window;
use sequoiayoke_wire::session;
use tokio::sync::mpsc;

use crate::traffic::server;

/// A slice under one grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Grant {
    /// Service of the slice.
    pub service: id::Service,
    /// Start of the slice.
    pub start: key::Hash,
    /// Epoch of the grant.
    pub epoch: id::Epoch,
}

/// An event for the coordinator.
#[derive(Debug)]
pub enum Event {
    /// The backend server has announced itself.
    Announced(server::Backend),
    /// A session with the control leader is up; frames for it go to this queue.
    SessionUp(mpsc::Sender<session::FromNode>),
    /// The session has ended.
    SessionDown,
    /// A frame from the control leader.
    Frame(session::FromControl),
    /// The backend server has taken, or not taken, a grant.
    Granted(Grant, Result<(), server::command::Error>),
    /// A closed slice is idle; its record of ids goes to the next owner.
    Idle(Grant, Option<window::Export>),
}
