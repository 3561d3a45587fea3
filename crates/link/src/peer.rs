//! Messages between the node of a caller and the node of a backend server.

use std::time::Duration;

use bytes::Bytes;
use sequoiayoke_catalog::{server, slice};
use sequoiayoke_dispatch::{admission, transfer};
use serde::{Deserialize, Serialize};

/// Request for the backend server beside the receiving node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Open {
    /// Number of the request on this connection; not reused.
    pub stream: u64,
    /// Instance of the backend server for which the request is intended.
    pub instance: server::Instance,
    /// Service for which the request is intended.
    pub service: String,
    /// Id of the request.
    pub id: String,
    /// Key, for keyed services.
    pub key: Option<slice::Key>,
    /// Time left until the deadline, in milliseconds.
    pub left_ms: u32,
    /// Time left in which an answer is still useful to the caller, in milliseconds.
    pub useful_ms: u32,
    /// Priority rank; requests with a lower rank run first.
    pub rank: u32,
    /// Class of requests with a similar service time.
    pub class: u64,
    /// Whether the request is idempotent.
    pub is_idempotent: bool,
    /// Longest expected wait for a slot with which the request is accepted, in milliseconds. A
    /// longer one is refused, as another backend server may have a free slot.
    pub patience_ms: u32,
    /// Request line and end-to-end header fields, each terminated by CRLF.
    pub head: Bytes,
    /// Body of the request.
    pub body: Body,
}

/// Body of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// No body.
    None,
    /// The whole body.
    Whole(Bytes),
    /// A body of this length in bytes, each part of which is sent when it is requested with
    /// [`ToEntry::Pull`]. The body of a refused request is then not transferred.
    Later(u32),
}

impl Body {
    /// Returns the length of the body in bytes, whether it was transferred or not.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_link::peer;
    ///
    /// assert_eq!(peer::Body::Later(40_000).len(), 40_000);
    /// assert!(peer::Body::None.is_empty());
    /// ```
    pub const fn len(&self) -> usize {
        match self {
            Self::None => 0,
            Self::Whole(bytes) => bytes.len(),
            Self::Later(length) => *length as usize,
        }
    }

    /// Returns whether there is no body, or one without bytes.
    pub const fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Reason why a request did not run, or why it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Reason {
    /// The backend server has no capacity for the request.
    Busy,
    /// The node has another instance of a backend server, or none.
    OtherInstance,
    /// The backend server is draining.
    Draining,
    /// The failure domain of the backend server is evacuated.
    Evacuated,
    /// The backend server does not currently own the key.
    NotOwner,
    /// The backend server cannot be reached.
    Unreachable,
    /// The backend server refused the request.
    RefusedByServer,
    /// The deadline has passed.
    Deadline,
    /// The connection to the backend server closed within the exchange.
    Broken,
    /// The answer of the backend server was malformed.
    Malformed,
    /// The connection between the nodes was lost.
    LinkLost,
    /// The node is stopping.
    Stopping,
    /// The node that the caller uses has withdrawn the request.
    Withdrawn,
}

/// Outcome of a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Outcome {
    /// Complete answer of the backend server.
    Answered {
        /// Status code.
        status: u16,
        /// End-to-end header fields, each terminated by CRLF.
        fields: Bytes,
        /// Body.
        body: Bytes,
    },
    /// The request did not run and will not run.
    NotRun {
        /// Reason why it did not run.
        reason: Reason,
        /// Time after which a retry may succeed, in milliseconds.
        retry_after_ms: u32,
        /// Whether the request was sent to the backend server.
        was_sent: bool,
    },
    /// The request may have run.
    Unknown(Reason),
}

/// Load of a backend server, as measured by its node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of requests that may run at the same time.
    pub slots: u32,
    /// Mean service time of a request at the present speed, in microseconds.
    pub service_us: u32,
    /// Mean service time of a request at the usual speed, in microseconds.
    pub usual_us: u32,
    /// Time until the bodies in transit to the node have arrived, in microseconds.
    pub link_wait_us: u32,
    /// Transfer time of one kibibyte on the link to the node, in microseconds.
    pub link_kib_us: u32,
}

impl Load {
    /// Creates a load report.
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
        let micros = |duration: Duration| u32::try_from(duration.as_micros()).unwrap_or(u32::MAX);
        Self {
            running: load.running,
            waiting: load.waiting,
            slots: load.slots,
            service_us: (load.service_s * 1e6) as u32,
            usual_us: (load.usual_s * 1e6) as u32,
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
            usual_s: f64::from(load.usual_us) / 1e6,
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

/// Message to the node of a backend server.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ToServer {
    /// Sends a request.
    Open(Open),
    /// Sends the next part of a body.
    Part {
        /// Number of the request.
        stream: u64,
        /// Bytes of the part.
        bytes: Bytes,
    },
    /// Cancels a request whose caller no longer waits for it.
    Cancel(u64),
    /// Requests a [`ToEntry::Pong`] with the same number, to check that the node is responsive.
    Ping(u64),
    /// Asks that a request does not begin to run any more. The [`ToEntry::Reply`] tells at once
    /// that it did not run, or its outcome once it has ended.
    Withdraw(u64),
}

/// Message to the node that a caller uses.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ToEntry {
    /// Reports the outcome of a request.
    Reply {
        /// Number of the request.
        stream: u64,
        /// Outcome of the request.
        outcome: Outcome,
        /// Load of the backend server.
        load: Load,
    },
    /// Requests the next part of the body of a request.
    Pull(u64),
    /// Answers a [`ToServer::Ping`] with the same number.
    Pong(u64),
    /// The node ends. It has read no request after this one, if any, and reads no more; replies
    /// to all others precede this message.
    Close(Option<u64>),
}
