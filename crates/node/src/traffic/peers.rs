//! Framed connections between nodes, over which requests are forwarded.

pub mod dial;
pub mod incoming;
pub mod outgoing;
pub mod serve;

/// Capacity of the queue of frames to send on one connection.
pub(crate) const WRITE_QUEUE_CAPACITY: usize = 256;
