//! Messages between a node and the control leader.

use prost::{Message, Oneof};

/// From a node to control.
#[derive(Clone, PartialEq, Message)]
pub struct FromNode {
    /// The message; absent only from a peer that breaks the protocol.
    #[prost(oneof = "NodeBody", tags = "1, 2, 3, 4")]
    pub body: Option<NodeBody>,
}

/// Bodies of [`FromNode`].
#[derive(Clone, PartialEq, Oneof)]
pub enum NodeBody {
    /// First message of a session.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// Renewal of the lease.
    #[prost(message, tag = "2")]
    Renew(Renew),
    /// A slice was released.
    #[prost(message, tag = "3")]
    Released(Released),
    /// The node shuts down and holds nothing any more.
    #[prost(message, tag = "4")]
    Leaving(Leaving),
}

/// First message of a session.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// Region of the node; control of another region refuses it.
    #[prost(string, tag = "1")]
    pub region: String,
    /// What the node announces.
    #[prost(message, optional, tag = "2")]
    pub announcement: Option<Announcement>,
    /// Incarnation that the node has, or 0.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Version of the view that the node has, or 0.
    #[prost(uint64, tag = "4")]
    pub version: u64,
}

/// A node and its backend server.
#[derive(Clone, PartialEq, Message)]
pub struct Announcement {
    /// Name of the backend server.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Random number of this run of the node.
    #[prost(fixed64, tag = "2")]
    pub nonce: u64,
    /// Services that the backend server serves.
    #[prost(string, repeated, tag = "3")]
    pub services: Vec<String>,
    /// Failure domain of the VM.
    #[prost(string, tag = "4")]
    pub failure_domain: String,
    /// Address for frames from other nodes.
    #[prost(string, tag = "5")]
    pub peer_address: String,
    /// Address for callers' HTTP.
    #[prost(string, tag = "6")]
    pub caller_address: String,
    /// Requests that the server runs at the same time.
    #[prost(uint32, tag = "7")]
    pub slots: u32,
    /// Whether the server checks the epochs of requests.
    #[prost(bool, tag = "8")]
    pub checks_fencing: bool,
    /// Whether the server checks who sends it commands.
    #[prost(bool, tag = "9")]
    pub checks_sender: bool,
}

/// Renewal of the lease.
#[derive(Clone, PartialEq, Message)]
pub struct Renew {
    /// Number of the renewal in this session.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Version that the node has applied.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Load of slices that changed since the last report; may be empty.
    #[prost(message, repeated, tag = "3")]
    pub load: Vec<Load>,
    /// Health of the backend server; only if it was judged since the last renewal.
    #[prost(message, optional, tag = "4")]
    pub health: Option<Health>,
}

/// Health of a backend server as its node judges it.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Health {
    /// What the health endpoint said last.
    #[prost(bool, tag = "1")]
    pub reported: bool,
    /// 0 healthy, 1 suspect, 2 failing.
    #[prost(uint32, tag = "2")]
    pub state: u32,
    /// Mean latency of recent answers, in microseconds; 0 without any.
    #[prost(uint32, tag = "3")]
    pub latency_us: u32,
}

/// Load of one slice.
#[derive(Clone, PartialEq, Message)]
pub struct Load {
    /// Service of the slice.
    #[prost(uint32, tag = "1")]
    pub service: u32,
    /// Start of the slice.
    #[prost(fixed64, tag = "2")]
    pub start: u64,
    /// Requests a second.
    #[prost(float, tag = "3")]
    pub rate: f32,
    /// Hottest key of the slice, and its requests a second; rate 0 if none stands out.
    #[prost(fixed64, tag = "4")]
    pub hot: u64,
    /// Requests a second of the hottest key.
    #[prost(float, tag = "5")]
    pub hot_rate: f32,
}

/// A slice was released: no request of it is in flight and none will start.
#[derive(Clone, PartialEq, Message)]
pub struct Released {
    /// Service of the slice.
    #[prost(uint32, tag = "1")]
    pub service: u32,
    /// Start of the slice.
    #[prost(fixed64, tag = "2")]
    pub start: u64,
    /// Epoch under which it was held.
    #[prost(uint64, tag = "3")]
    pub epoch: u64,
    /// Record of request ids, for the next owner.
    #[prost(message, optional, tag = "4")]
    pub window: Option<Window>,
}

/// The node shuts down and holds nothing any more.
#[derive(Clone, PartialEq, Message)]
pub struct Leaving {}

/// Record of request ids of a slice.
#[derive(Clone, PartialEq, Message)]
pub struct Window {
    /// Epoch from which the record is complete.
    #[prost(uint64, tag = "1")]
    pub since: u64,
    /// Largest time of issue that was ever evicted.
    #[prost(uint64, tag = "2")]
    pub floor: u64,
    /// The ids.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<Entry>,
}

/// One request id and what became of the request.
#[derive(Clone, PartialEq, Message)]
pub struct Entry {
    /// Epoch of the id.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Time of issue, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub issued_ms: u64,
    /// Random part.
    #[prost(fixed64, tag = "3")]
    pub random: u64,
    /// Hash of the key.
    #[prost(fixed64, tag = "4")]
    pub hash: u64,
    /// HTTP status of the answer; 0 if the outcome is unknown.
    #[prost(uint32, tag = "5")]
    pub status: u32,
    /// The answer, if it was kept.
    #[prost(bytes = "bytes", optional, tag = "6")]
    pub answer: Option<bytes::Bytes>,
}

/// From control to a node.
#[derive(Clone, PartialEq, Message)]
pub struct FromControl {
    /// The message; absent only from a peer that breaks the protocol.
    #[prost(oneof = "ControlBody", tags = "1, 2, 3, 4, 5, 6, 7")]
    pub body: Option<ControlBody>,
}

/// Bodies of [`FromControl`].
#[derive(Clone, PartialEq, Oneof)]
pub enum ControlBody {
    /// The node has joined.
    #[prost(message, tag = "1")]
    Welcome(Welcome),
    /// This replica is not the leader.
    #[prost(message, tag = "2")]
    Redirect(Redirect),
    /// The lease was renewed.
    #[prost(message, tag = "3")]
    Renewed(Renewed),
    /// Changes of the view.
    #[prost(message, tag = "4")]
    Delta(Delta),
    /// A slice will be granted soon.
    #[prost(message, tag = "5")]
    Prepare(Prepare),
    /// A slice is to be released.
    #[prost(message, tag = "6")]
    Release(Release),
    /// The node may not join, or its run has ended.
    #[prost(message, tag = "7")]
    Refused(Refused),
}

/// The node has joined.
#[derive(Clone, PartialEq, Message)]
pub struct Welcome {
    /// Id of the backend server.
    #[prost(uint32, tag = "1")]
    pub server: u32,
    /// Incarnation of this run.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

/// This replica is not the leader.
#[derive(Clone, PartialEq, Message)]
pub struct Redirect {
    /// Node listener of the leader; empty if none is known.
    #[prost(string, tag = "1")]
    pub leader: String,
}

/// The lease was renewed.
#[derive(Clone, PartialEq, Message)]
pub struct Renewed {
    /// Number of the renewal.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Version of the leader's view.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

/// Changes of the view; a long list comes in several parts.
#[derive(Clone, PartialEq, Message)]
pub struct Delta {
    /// Version that the changes start from; 0 for a snapshot, which replaces the view.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// Version that they lead to.
    #[prost(uint64, tag = "2")]
    pub to: u64,
    /// The changes.
    #[prost(message, repeated, tag = "3")]
    pub changes: Vec<Change>,
    /// Whether further parts follow.
    #[prost(bool, tag = "4")]
    pub more: bool,
}

/// One change of the view.
#[derive(Clone, PartialEq, Message)]
pub struct Change {
    /// The change; absent only from a peer that breaks the protocol.
    #[prost(oneof = "ChangeBody", tags = "1, 2, 3, 4, 5, 6")]
    pub body: Option<ChangeBody>,
}

/// Bodies of [`Change`].
#[derive(Clone, PartialEq, Oneof)]
pub enum ChangeBody {
    /// A service.
    #[prost(message, tag = "1")]
    Service(Service),
    /// A backend server.
    #[prost(message, tag = "2")]
    Server(Server),
    /// The backend server with this id is gone.
    #[prost(uint32, tag = "3")]
    ServerGone(u32),
    /// A caller.
    #[prost(message, tag = "4")]
    Caller(Caller),
    /// A slice.
    #[prost(message, tag = "5")]
    Slice(Slice),
    /// A slice that was merged into the one before it; holder fields are 0.
    #[prost(message, tag = "6")]
    SliceMerged(Slice),
}

/// A service.
#[derive(Clone, PartialEq, Message)]
pub struct Service {
    /// Its id.
    #[prost(uint32, tag = "1")]
    pub id: u32,
    /// Its name.
    #[prost(string, tag = "2")]
    pub name: String,
    /// HTTP methods that may be sent again without harm.
    #[prost(string, repeated, tag = "3")]
    pub idempotent: Vec<String>,
    /// Whether each caller sees only its own scope.
    #[prost(bool, tag = "4")]
    pub scoped: bool,
}

/// A backend server whose node is alive.
#[derive(Clone, PartialEq, Message)]
pub struct Server {
    /// Its id.
    #[prost(uint32, tag = "1")]
    pub id: u32,
    /// Its name.
    #[prost(string, tag = "2")]
    pub name: String,
    /// Run of its node.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Address for frames from other nodes.
    #[prost(string, tag = "4")]
    pub peer_address: String,
    /// Address for callers' HTTP.
    #[prost(string, tag = "5")]
    pub caller_address: String,
    /// Whether it is leaving.
    #[prost(bool, tag = "6")]
    pub draining: bool,
}

/// A caller.
#[derive(Clone, PartialEq, Message)]
pub struct Caller {
    /// Its id.
    #[prost(uint32, tag = "1")]
    pub id: u32,
    /// Its name.
    #[prost(string, tag = "2")]
    pub name: String,
    /// SHA-256 of its token.
    #[prost(bytes = "vec", tag = "3")]
    pub token_digest: Vec<u8>,
    /// Scope of its keys.
    #[prost(string, tag = "4")]
    pub scope: String,
}

/// A slice; incarnation 0 means that it is vacant.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Slice {
    /// Its service.
    #[prost(uint32, tag = "1")]
    pub service: u32,
    /// Its first position.
    #[prost(fixed64, tag = "2")]
    pub start: u64,
    /// Its holder.
    #[prost(uint32, tag = "3")]
    pub server: u32,
    /// Run of the holder's node.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Epoch of the grant.
    #[prost(uint64, tag = "5")]
    pub epoch: u64,
}

/// A slice will be granted soon.
#[derive(Clone, PartialEq, Message)]
pub struct Prepare {
    /// Service of the slice.
    #[prost(uint32, tag = "1")]
    pub service: u32,
    /// Start of the slice.
    #[prost(fixed64, tag = "2")]
    pub start: u64,
    /// Record of request ids, once the earlier owner has released the slice.
    #[prost(message, optional, tag = "3")]
    pub window: Option<Window>,
    /// Epoch under which the earlier owner held the slice.
    #[prost(uint64, tag = "4")]
    pub epoch: u64,
}

/// A slice is to be released.
#[derive(Clone, PartialEq, Message)]
pub struct Release {
    /// Service of the slice.
    #[prost(uint32, tag = "1")]
    pub service: u32,
    /// Start of the slice.
    #[prost(fixed64, tag = "2")]
    pub start: u64,
    /// Epoch under which it is held.
    #[prost(uint64, tag = "3")]
    pub epoch: u64,
}

/// The node may not join, or its run has ended.
#[derive(Clone, PartialEq, Message)]
pub struct Refused {
    /// Why.
    #[prost(string, tag = "1")]
    pub reason: String,
    /// Whether the node may try again as a new run.
    #[prost(bool, tag = "2")]
    pub rejoin: bool,
}

macro_rules! wrap {
    ($outer:ident, $body:ident: $($one:ident),*) => {
        $(
            impl From<$one> for $outer {
                fn from(one: $one) -> Self {
                    Self { body: Some($body::$one(one)) }
                }
            }
        )*
    };
}

wrap!(FromNode, NodeBody: Hello, Renew, Released, Leaving);
wrap!(FromControl, ControlBody: Welcome, Redirect, Renewed, Delta, Prepare, Release, Refused);
