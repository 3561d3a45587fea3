//! HTTP/1.1 messages as values, decoded step by step from a buffer.
//!
//! `httparse` reads the heads. The decoders here know no socket: they take what
//! has arrived and return a whole message once there is one. The router needs
//! this control: it runs pipelined requests at the same time, tells a whole
//! response from one that broke off, and discards bytes that belong to no
//! request.

pub mod body;
pub mod head;
pub mod request;
pub mod response;
pub mod serve;

/// Reason why bytes are not a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The head cannot be read.
    #[error("the message head is malformed")]
    Head,
    /// The head is longer than allowed.
    #[error("the message head is too long")]
    HeadTooLong,
    /// The length of the body is unclear.
    #[error("the length of the body is ambiguous")]
    Framing,
    /// The body is longer than allowed.
    #[error("the body is too long")]
    BodyTooLong,
    /// A chunk cannot be read.
    #[error("a chunk of the body is malformed")]
    Chunk,
    /// The connection ended within the message.
    #[error("the message is incomplete")]
    Incomplete,
}
