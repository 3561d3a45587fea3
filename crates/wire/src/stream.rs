//! Messages between two nodes: many requests over one connection.
//!
//! The connecting node numbers its streams and uses no number twice on a
//! connection, so a late frame can never reach another request. Each direction
//! of a stream may have at most [`CREDIT`] bytes under way that the receiver
//! has not consumed.

use prost::{Message, Oneof};

/// Bytes that a sender may send before the receiver grants more.
pub const CREDIT: u32 = 256 * 1024;
/// Largest chunk of a body in one frame, in bytes.
pub const MAX_CHUNK: usize = 32 * 1024;

/// A frame of either direction.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// Number of the stream.
    #[prost(uint64, tag = "1")]
    pub stream: u64,
    /// The message; absent only from a peer that breaks the protocol.
    #[prost(oneof = "Body", tags = "2, 3, 4, 5, 6, 7")]
    pub body: Option<Body>,
}

/// Bodies of [`Frame`].
#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    /// Head of a request; opens the stream.
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
    /// The sender gives the stream up; its body is not complete.
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
    /// HTTP headers that are passed on.
    #[prost(message, repeated, tag = "5")]
    pub headers: Vec<Header>,
    /// Time left until the deadline, in milliseconds.
    #[prost(uint32, tag = "6")]
    pub deadline_ms: u32,
    /// Request id in its text form; empty if there is none.
    #[prost(string, tag = "7")]
    pub request_id: String,
    /// Name of the caller; empty if it has none.
    #[prost(string, tag = "8")]
    pub caller: String,
    /// Scope of the caller's keys.
    #[prost(string, tag = "9")]
    pub scope: String,
    /// Whether the request may be sent again without harm.
    #[prost(bool, tag = "10")]
    pub idempotent: bool,
    /// Epoch under which the sender believes the receiver to hold the key.
    #[prost(uint64, tag = "11")]
    pub epoch: u64,
}

/// An HTTP header.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Header {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its value.
    #[prost(bytes = "bytes", tag = "2")]
    pub value: bytes::Bytes,
}

/// Head of an answer.
#[derive(Clone, PartialEq, Message)]
pub struct Head {
    /// 0 answered, 1 not run, 2 unknown.
    #[prost(uint32, tag = "1")]
    pub outcome: u32,
    /// HTTP status if answered, else the number of the reason.
    #[prost(uint32, tag = "2")]
    pub detail: u32,
    /// HTTP headers.
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<Header>,
    /// Epoch under which it ran.
    #[prost(uint64, tag = "4")]
    pub epoch: u64,
    /// Name of the backend server.
    #[prost(string, tag = "5")]
    pub server: String,
    /// Whether this is the kept answer of an earlier run of the id.
    #[prost(bool, tag = "6")]
    pub replayed: bool,
}

/// The body is complete.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct End {}

/// The sender gives the stream up.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Reset {
    /// Number of the reason.
    #[prost(uint32, tag = "1")]
    pub reason: u32,
}

impl Frame {
    /// Makes a frame.
    pub const fn new(stream: u64, body: Body) -> Self {
        Self {
            stream,
            body: Some(body),
        }
    }
}
