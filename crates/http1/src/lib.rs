//! Incremental decoding of HTTP/1.1 messages from a buffer.
//!
//! `httparse` parses the heads. The decoders use no sockets: they consume the bytes that have been
//! received and return a message once it is complete. The router needs this control: it runs
//! pipelined requests concurrently, distinguishes a complete response from a truncated one, and
//! discards bytes that belong to no request.

pub mod body;
pub mod head;
pub mod request;
pub mod response;
pub mod serve;

/// Error of decoding a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The head is malformed.
    #[error("the message head is malformed")]
    Head,
    /// The head exceeds its size limit, or has too many fields.
    #[error("the message head is too long")]
    HeadTooLong,
    /// The length of the body is ambiguous.
    #[error("the length of the body is ambiguous")]
    Framing,
    /// The body exceeds its size limit.
    #[error("the body is too long")]
    BodyTooLong,
    /// A chunk or a trailer is malformed or too long.
    #[error("a chunk of the body is malformed")]
    Chunk,
    /// The connection closed within the message.
    #[error("the message is incomplete")]
    Incomplete,
}
