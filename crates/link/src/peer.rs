//! Messages between the node of a caller and the node of a backend server.

use std::time::Duration;

use bytes::Bytes;
use sequoiayoke_catalog::{server, slice};
use sequoiayoke_dispatch::{admission, transfer};
use serde::{Deserialize, Serialize};

/// A request for the backend server beside the receiving node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Open {
    /// Number of the request on this connection; never used again.
    pub stream: u64,
    /// Run of the backend server that is meant.
    pub instance: server::Instance,
    /// Service that is meant.
    pub service: String,
    /// Id of the request.
    pub id: String,
    /// Key, for keyed services.
    pub key: Option<slice::Key>,
    /// Time left until the deadline, in milliseconds.
    pub left_ms: u32,
    /// Time left until an answer is late, in milliseconds.
    pub useful_ms: u32,
    /// Rank; lower ranks go first.
    pub rank: u32,
    /// Group of requests that take a similar time.
    pub class: u64,
    /// Whether the request may run again.
    pub is_idempotent: bool,
    /// Longest expected wait for a slot with which the request is taken, in
    /// milliseconds; another backend server may have a free one.
    pub patience_ms: u32,
    /// Request line and end-to-end fields, each with its line end.
    pub head: Bytes,
    /// Body.
    pub body: Body,
}

/// Body of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// There is none.
    None,
    /// The whole body.
    Whole(Bytes),
    /// A body of this length in bytes, of which each part is sent once it is asked for
    /// with [`ToEntry::Pull`]. A request that is refused then costs no transfer.
    Later(u32),
}

/// Reason why a request did not run, or may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reason {
    /// The backend server is full.
    Busy,
    /// Another run of a backend server is there, or none.
    OtherInstance,
    /// The backend server is leaving.
    Draining,
    /// The backend server does not own the key now.
    NotOwner,
    /// The backend server cannot be reached.
    Unreachable,
    /// The backend server refused the request.
    RefusedByServer,
    /// The deadline has passed.
    Deadline,
    /// The connection to the backend server broke off.
    Broken,
    /// The answer of the backend server was malformed.
    Malformed,
    /// The connection between the nodes was lost.
    LinkLost,
    /// The node is stopping.
    Stopping,
}

/// What became of a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Outcome {
    /// The backend server's whole answer.
    Answered {
        /// Status code.
        status: u16,
        /// End-to-end fields, each with its line end.
        fields: Bytes,
        /// Body.
        body: Bytes,
    },
    /// The request did not run and will not.
    NotRun {
        /// Why.
        reason: Reason,
        /// Time after which it may succeed, in milliseconds.
        retry_after_ms: u32,
        /// Whether the backend server itself was given the request.
        was_sent: bool,
    },
    /// The request may have run.
    Unknown(Reason),
}

/// How busy the backend server is, as its node sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that may run at the same time.
    pub slots: u32,
    /// Mean time that a request runs, in microseconds.
    pub service_us: u32,
    /// Time until the bodies on their way to it are there, in microseconds.
    pub link_wait_us: u32,
    /// Time for a kibibyte on its link, in microseconds.
    pub link_kib_us: u32,
}

impl Load {
    /// Makes a report.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_dispatch::{admission, transfer};
    /// use sequoiayoke_link::peer;
    ///
    /// let link = transfer::Link::new().load();
    /// let load = peer::Load::new(admission::Load::default(), link);
    /// assert_eq!(load.link_wait_us, 0);
    /// ```
    pub fn new(load: admission::Load, link: transfer::Load) -> Self {
        let micros = |span: Duration| u32::try_from(span.as_micros()).unwrap_or(u32::MAX);
        Self {
            running: load.running,
            waiting: load.waiting,
            slots: load.slots,
            service_us: (load.service_s * 1e6) as u32,
            link_wait_us: micros(link.wait),
            link_kib_us: micros(link.time_per_kib),
        }
    }
}

impl From<Load> for admission::Load {
    fn from(load: Load) -> Self {
        Self {
            running: load.running,
            waiting: load.waiting,
            slots: load.slots,
            service_s: f64::from(load.service_us) / 1e6,
        }
    }
}

impl From<Load> for transfer::Load {
    fn from(load: Load) -> Self {
        Self {
            wait: Duration::from_micros(u64::from(load.link_wait_us)),
            time_per_kib: Duration::from_micros(u64::from(load.link_kib_us)),
        }
    }
}

/// A message to the node of a backend server.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ToServer {
    /// A request.
    Open(Open),
    /// The next part of a body.
    Part {
        /// Number of the request.
        stream: u64,
        /// The bytes.
        bytes: Bytes,
    },
    /// The caller of a request has gone.
    Cancel(u64),
    /// Asks for a sign of life.
    Ping(u64),
}

/// A message to the node of a caller.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ToEntry {
    /// What became of a request.
    Reply {
        /// Number of the request.
        stream: u64,
        /// What became of it.
        outcome: Outcome,
        /// Load of the backend server.
        load: Load,
    },
    /// Asks for the next part of the body of a request.
    Pull(u64),
    /// The sign of life.
    Pong(u64),
}
