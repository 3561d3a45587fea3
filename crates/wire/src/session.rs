//! Messages between a node and the leader of the control replicas.

use prost::{Message, Oneof};

/// Message from a node to a control replica.
#[derive(Clone, PartialEq, Message)]
pub struct FromNode {
    /// Body of the message; absent only if the peer violates the protocol.
    #[prost(oneof = "NodeBody", tags = "1, 2, 3, 4")]
    pub body: Option<NodeBody>,
}

/// Bodies of [`FromNode`].
#[derive(Clone, PartialEq, Oneof)]
pub enum NodeBody {
    /// First message of a session.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// Renews the lease.
    #[prost(message, tag = "2")]
    Renew(Renew),
    /// A slice was released.
    #[prost(message, tag = "3")]
    Released(Released),
    /// The node is stopping and holds no slices any more.
    #[prost(message, tag = "4")]
    Leaving(Leaving),
}

/// First message of a session.
#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    /// Region of the node; control replicas of another region refuse the session.
    #[prost(string, tag = "1")]
    pub region: String,
    /// Announcement of the node and its backend server.
    #[prost(message, optional, tag = "2")]
    pub announcement: Option<Announcement>,
    /// Current incarnation of the node, or 0.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Version of the node's view, or 0.
    #[prost(uint64, tag = "4")]
    pub version: u64,
}

/// Properties of a node and its backend server.
#[derive(Clone, PartialEq, Message)]
pub struct Announcement {
    /// Name of the backend server.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Random number that identifies this run of the node.
    #[prost(fixed64, tag = "2")]
    pub nonce: u64,
    /// Services that the backend server offers.
    #[prost(string, repeated, tag = "3")]
    pub services: Vec<String>,
    /// Failure domain of the VM.
    #[prost(string, tag = "4")]
    pub failure_domain: String,
    /// Address on which the node accepts frames from other nodes.
    #[prost(string, tag = "5")]
    pub peer_address: String,
    /// Address on which the node accepts HTTP requests of callers.
    #[prost(string, tag = "6")]
    pub caller_address: String,
    /// Number of requests that the backend server runs at the same time.
    #[prost(uint32, tag = "7")]
    pub slots: u32,
    /// Whether the backend server checks the epochs of requests.
    #[prost(bool, tag = "8")]
    pub checks_fencing: bool,
    /// Whether the backend server checks the sender of commands.
    #[prost(bool, tag = "9")]
    pub checks_sender: bool,
}

/// Renewal of the lease.
#[derive(Clone, PartialEq, Message)]
pub struct Renew {
    /// Sequence number of the renewal in this session.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Version of the view that the node has applied.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Load of the slices whose load changed since the last report.
    #[prost(message, repeated, tag = "3")]
    pub load: Vec<Load>,
    /// Health of the backend server; absent if it was not evaluated since the last renewal.
    #[prost(message, optional, tag = "4")]
    pub health: Option<Health>,
}

/// Health of a backend server, as evaluated by its node.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Health {
    /// Result of the last probe of the health endpoint: `false` if it was unhealthy.
    #[prost(bool, tag = "1")]
    pub reported: bool,
    /// State: 0 is healthy, 1 is suspect, 2 is failing.
    #[prost(uint32, tag = "2")]
    pub state: u32,
    /// Mean latency of recent answers, in microseconds; 0 if there are none.
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
    /// Requests per second.
    #[prost(float, tag = "3")]
    pub rate: f32,
    /// Hash of the hottest key of the slice; `hot_rate` is 0 if no key is hot.
    #[prost(fixed64, tag = "4")]
    pub hot: u64,
    /// Requests per second for the hottest key.
    #[prost(float, tag = "5")]
    pub hot_rate: f32,
}

/// Notice that a slice was released: no request for it is running, and none will start.
#[derive(Clone, PartialEq, Message)]
pub struct Released {
    /// Service of the slice.
    #[prost(uint32, tag = "1")]
    pub service: u32,
    /// Start of the slice.
    #[prost(fixed64, tag = "2")]
    pub start: u64,
    /// Epoch of the grant under which the slice was held.
    #[prost(uint64, tag = "3")]
    pub epoch: u64,
    /// Window of request ids, for the new owner.
    #[prost(message, optional, tag = "4")]
    pub window: Option<Window>,
}

/// Notice that the node is stopping and holds no slices any more.
#[derive(Clone, PartialEq, Message)]
pub struct Leaving {}

/// Window of the request ids of a slice.
#[derive(Clone, PartialEq, Message)]
pub struct Window {
    /// Epoch from which the window is complete.
    #[prost(uint64, tag = "1")]
    pub since: u64,
    /// Latest time of issue of an evicted id, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub floor: u64,
    /// Entries of the window.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<Entry>,
}

/// Request id and the outcome of its request.
#[derive(Clone, PartialEq, Message)]
pub struct Entry {
    /// Epoch of the id.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Time of issue by the wall clock of the issuing node, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub issued_ms: u64,
    /// Random part of the id.
    #[prost(fixed64, tag = "3")]
    pub random: u64,
    /// Hash of the key.
    #[prost(fixed64, tag = "4")]
    pub hash: u64,
    /// HTTP status of the answer; 0 if the outcome is unknown.
    #[prost(uint32, tag = "5")]
    pub status: u32,
    /// The answer, if it is stored.
    #[prost(bytes = "bytes", optional, tag = "6")]
    pub answer: Option<bytes::Bytes>,
}

/// Message from a control replica to a node.
#[derive(Clone, PartialEq, Message)]
pub struct FromControl {
    /// Body of the message; absent only if the peer violates the protocol.
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
    /// Announces that a slice will be granted to the node.
    #[prost(message, tag = "5")]
    Prepare(Prepare),
    /// Requests the release of a slice.
    #[prost(message, tag = "6")]
    Release(Release),
    /// The session is refused: the node may not join, or its run has ended.
    #[prost(message, tag = "7")]
    Refused(Refused),
}

/// Confirmation that the node has joined.
#[derive(Clone, PartialEq, Message)]
pub struct Welcome {
    /// Id of the backend server.
    #[prost(uint32, tag = "1")]
    pub server: u32,
    /// Incarnation of the node.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

/// Redirect to the leader, from a replica that is not the leader.
#[derive(Clone, PartialEq, Message)]
pub struct Redirect {
    /// Address on which the leader accepts nodes; empty if no leader is known.
    #[prost(string, tag = "1")]
    pub leader: String,
}

/// Confirmation that the lease was renewed.
#[derive(Clone, PartialEq, Message)]
pub struct Renewed {
    /// Sequence number of the renewal.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Version of the leader's view.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

/// Changes of the view; a long list is split into several messages.
#[derive(Clone, PartialEq, Message)]
pub struct Delta {
    /// Version to which the changes apply; 0 for a snapshot, which replaces the view.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// Version of the view after the changes.
    #[prost(uint64, tag = "2")]
    pub to: u64,
    /// Changes, in order.
    #[prost(message, repeated, tag = "3")]
    pub changes: Vec<Change>,
    /// Whether more messages with parts of this list follow.
    #[prost(bool, tag = "4")]
    pub more: bool,
}

/// Change of the view.
#[derive(Clone, PartialEq, Message)]
pub struct Change {
    /// Body of the change; absent only if the peer violates the protocol.
    #[prost(oneof = "ChangeBody", tags = "1, 2, 3, 4, 5, 6")]
    pub body: Option<ChangeBody>,
}

/// Bodies of [`Change`].
#[derive(Clone, PartialEq, Oneof)]
pub enum ChangeBody {
    /// The service was created or changed.
    #[prost(message, tag = "1")]
    Service(Service),
    /// The node of the backend server joined or changed.
    #[prost(message, tag = "2")]
    Server(Server),
    /// The run of the node of the backend server with this id has ended.
    #[prost(uint32, tag = "3")]
    ServerGone(u32),
    /// The caller was registered or changed.
    #[prost(message, tag = "4")]
    Caller(Caller),
    /// The slice was created or changed its holder.
    #[prost(message, tag = "5")]
    Slice(Slice),
    /// The slice was merged into the preceding one; its holder fields are 0.
    #[prost(message, tag = "6")]
    SliceMerged(Slice),
}

/// A service.
#[derive(Clone, PartialEq, Message)]
pub struct Service {
    /// Id of the service.
    #[prost(uint32, tag = "1")]
    pub id: u32,
    /// Name of the service.
    #[prost(string, tag = "2")]
    pub name: String,
    /// HTTP methods that are idempotent.
    #[prost(string, repeated, tag = "3")]
    pub idempotent: Vec<String>,
    /// Whether a caller can access only the keys of its own scope.
    #[prost(bool, tag = "4")]
    pub scoped: bool,
}

/// A backend server whose node is live.
#[derive(Clone, PartialEq, Message)]
pub struct Server {
    /// Id of the backend server.
    #[prost(uint32, tag = "1")]
    pub id: u32,
    /// Name of the backend server.
    #[prost(string, tag = "2")]
    pub name: String,
    /// Incarnation of its node.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Address on which the node accepts frames from other nodes.
    #[prost(string, tag = "4")]
    pub peer_address: String,
    /// Address on which the node accepts HTTP requests of callers.
    #[prost(string, tag = "5")]
    pub caller_address: String,
    /// Whether the backend server is being drained.
    #[prost(bool, tag = "6")]
    pub draining: bool,
}

/// A caller.
#[derive(Clone, PartialEq, Message)]
pub struct Caller {
    /// Id of the caller.
    #[prost(uint32, tag = "1")]
    pub id: u32,
    /// Name of the caller.
    #[prost(string, tag = "2")]
    pub name: String,
    /// SHA-256 digest of its token.
    #[prost(bytes = "vec", tag = "3")]
    pub token_digest: Vec<u8>,
    /// Scope of its keys; empty for the shared scope.
    #[prost(string, tag = "4")]
    pub scope: String,
}

/// A slice; incarnation 0 means that it is vacant.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct Slice {
    /// Service of the slice.
    #[prost(uint32, tag = "1")]
    pub service: u32,
    /// First position of the slice.
    #[prost(fixed64, tag = "2")]
    pub start: u64,
    /// Backend server that holds the slice.
    #[prost(uint32, tag = "3")]
    pub server: u32,
    /// Incarnation of the holder's node.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Epoch of the holder's grant.
    #[prost(uint64, tag = "5")]
    pub epoch: u64,
}

/// Notice that a slice will be granted to the node.
#[derive(Clone, PartialEq, Message)]
pub struct Prepare {
    /// Service of the slice.
    #[prost(uint32, tag = "1")]
    pub service: u32,
    /// Start of the slice.
    #[prost(fixed64, tag = "2")]
    pub start: u64,
    /// Window of request ids; present once the previous owner has released the slice.
    #[prost(message, optional, tag = "3")]
    pub window: Option<Window>,
    /// Epoch of the grant of the previous owner.
    #[prost(uint64, tag = "4")]
    pub epoch: u64,
}

/// Request to release a slice.
#[derive(Clone, PartialEq, Message)]
pub struct Release {
    /// Service of the slice.
    #[prost(uint32, tag = "1")]
    pub service: u32,
    /// Start of the slice.
    #[prost(fixed64, tag = "2")]
    pub start: u64,
    /// Epoch of the grant under which the slice is held.
    #[prost(uint64, tag = "3")]
    pub epoch: u64,
}

/// Refusal of a session: the node may not join, or its run has ended.
#[derive(Clone, PartialEq, Message)]
pub struct Refused {
    /// Reason of the refusal.
    #[prost(string, tag = "1")]
    pub reason: String,
    /// Whether the node may join again as a new run.
    #[prost(bool, tag = "2")]
    pub rejoin: bool,
}

macro_rules! impl_from_body {
    ($outer:ident, $body:ident: $($message:ident),*) => {
        $(
            impl From<$message> for $outer {
                fn from(message: $message) -> Self {
                    Self { body: Some($body::$message(message)) }
                }
            }
        )*
    };
}

impl_from_body!(FromNode, NodeBody: Hello, Renew, Released, Leaving);
impl_from_body!(FromControl, ControlBody: Welcome, Redirect, Renewed, Delta, Prepare, Release, Refused);
