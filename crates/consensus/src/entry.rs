//! Entries of the log.

use crate::members;
use crate::payload;
use crate::position;

/// Size in bytes that each entry counts in addition to its content.
const ENTRY_OVERHEAD_BYTES: usize = 64;

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry<P> {
    /// Term and index of the entry.
    pub position: position::Position,
    /// Content of the entry.
    pub content: Content<P>,
}

/// Content of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Content<P> {
    /// No-op entry at the start of a term, which commits the entries before it.
    Empty,
    /// A payload that the driver proposed.
    Payload(P),
    /// The complete membership from this entry on.
    Members(members::Members),
}

impl<P> Entry<P>
where
    P: payload::Payload,
{
    /// Returns the size in bytes that counts towards the limit of a message.
    pub fn size(&self) -> usize {
        let content = match &self.content {
            Content::Empty => 0,
            Content::Payload(payload) => payload.size(),
            Content::Members(members) => 16 * members.len(),
        };
        ENTRY_OVERHEAD_BYTES + content
    }
}
