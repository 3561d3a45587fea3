//! Payloads that a driver proposes.

use bytes::Bytes;

/// Payload of a log entry.
pub trait Payload: Clone {
    /// Returns the size in bytes that counts towards the limit of a message.
    fn size(&self) -> usize;
}

impl Payload for Bytes {
    fn size(&self) -> usize {
        self.len()
    }
}

impl Payload for Vec<u8> {
    fn size(&self) -> usize {
        self.len()
    }
}

impl Payload for String {
    fn size(&self) -> usize {
        self.len()
    }
}
