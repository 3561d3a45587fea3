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
    /// The backend server sent an announcement.
    Announced(server::Backend),
    /// A session with the control leader was established; frames to send go to this queue.
    SessionUp(mpsc::Sender<session::FromNode>),
    /// The session has ended.
    SessionDown,
    /// The control leader sent a frame.
    Frame(session::FromControl),
    /// The backend server acknowledged a grant, or the command failed.
    Granted(Grant, Result<(), server::command::Error>),
    /// A closed slice has no requests in flight; its record of ids goes to the next owner.
    Idle(Grant, Option<window::Export>),
}
