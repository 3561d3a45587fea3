//! Messages between two nodes, with many requests multiplexed over one connection.
//!
//! The connecting node numbers its streams and reuses no number on a connection, so that a late
//! frame cannot reach another request. Flow control allows each direction of a stream at most
//! [`CREDIT`] bytes that the receiver has not consumed.

use prost::{Message, Oneof};

/// Initial credit of each direction of a stream: bytes that the sender may send before the
/// receiver grants more.
pub const CREDIT: u32 = 256 * 1024;
/// Largest part of a body in one frame, in bytes.
pub const MAX_CHUNK: usize = 32 * 1024;

/// Frame of either direction.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// Number of the stream on this connection.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// Body of the message; absent only if the peer violates the protocol.
    #[prost(oneof = "Body", tags = "2, 3, 4, 5, 6, 7")]
    pub body: Option<Body>,
}

/// Bodies of [`Frame`].
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// Opens the stream with the head of a request.
    #[prost(message, tag = "2")]
    Open(Open),
    /// Head of the answer.
    #[prost(message, tag = "3")]
    Head(Head),
    /// Part of a body.
    #[prost(bytes = "bytes", tag = "4")]
    Data(bytes::Bytes),
    /// The body is complete.
    #[prost(message, tag = "5")]
    End(End),
    /// The receiver has consumed this many bytes.
    #[prost(uint32, tag = "6")]
    Credit(u32),
    /// The sender abandons the stream; its body is incomplete.
    #[prost(message, tag = "7")]
    Reset(Reset),
}

/// Head of a request.
#[derive(Clone, PartialEq, Message)]
pub struct Open {
    /// Service of the key.
    #[prost(uint32, tag = "1")]
    pub service: u32,
    /// Hash of scope and key.
    #[prost(fixed64, tag = "2")]
    pub hash: u64,
    /// HTTP method.
    #[prost(string, tag = "3")]
    pub method: String,
    /// Path and query.
    #[prost(string, tag = "4")]
    pub path: String,
    /// HTTP headers that are forwarded.
    #[prost(message, repeated, tag = "5")]
    pub headers: Vec<Header>,
    /// Time left until the deadline, in milliseconds.
    #[prost(uint32, tag = "6")]
    pub deadline_ms: u32,
    /// Request id as text; empty if there is none.
    #[prost(string, tag = "7")]
    pub request_id: String,
    /// Name of the caller; empty if the caller has no name.
    #[prost(string, tag = "8")]
    pub caller: String,
    /// Scope of the caller's keys.
    #[prost(string, tag = "9")]
    pub scope: String,
    /// Whether the request is idempotent.
    #[prost(bool, tag = "10")]
    pub idempotent: bool,
    /// Epoch of the receiver's grant for the key, in the view of the sender.
    #[prost(uint64, tag = "11")]
    pub epoch: u64,
}

/// HTTP header.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Header {
    /// Name of the header.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Value of the header.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: bytes::Bytes,
}

/// Head of an answer.
#[derive(Clone, PartialEq, Message)]
pub struct Head {
    /// Outcome: 0 is answered, 1 is not run, 2 is unknown.
    #[prost(uint32, tag = "1")]
    pub outcome: u32,
    /// HTTP status if answered, otherwise the number of the reason.
    #[prost(uint32, tag = "2")]
    pub detail: u32,
    /// HTTP headers.
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<Header>,
    /// Epoch of the grant under which the request ran.
    #[prost(uint64, tag = "4")]
    pub epoch: u64,
    /// Name of the backend server.
    #[prost(string, tag = "5")]
    pub server: String,
    /// Whether this is the stored answer of an earlier request with the same id.
    #[prost(bool, tag = "6")]
    pub replayed: bool,
}

/// The body is complete.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct End {}

/// The sender abandons the stream.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Reset {
    /// Number of the reason.
    #[prost(uint32, tag = "1")]
    pub reason: u32,
}

impl Frame {
    /// Creates a frame.
    pub const fn new(stream: u64, body: Body) -> Self {
        Self {
            stream,
            body: Some(body),
        }
    }
}
