//! Framed connections between nodes: requests forwarded to and from owners.

pub mod dial;
pub mod incoming;
pub mod outgoing;
pub mod serve;

/// Frames that may wait for the socket of one connection.
pub(crate) const WRITE_QUEUE: usize = 256;
