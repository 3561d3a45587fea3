//! Entries of the log.

use crate::members;
use crate::payload;
use crate::position;

/// Bytes that each entry counts for besides its payload.
const OVERHEAD: usize = 64;

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry<P> {
    /// Term and index.
    pub position: position::Position,
    /// What the entry holds.
    pub content: Content<P>,
}

/// Content of an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Content<P> {
    /// First entry of a leader's term, which commits the entries before it.
    Empty,
    /// A proposal of the driver.
    Payload(P),
    /// The complete membership from this entry on.
    Members(members::Members),
}

impl<P> Entry<P>
where
    P: payload::Payload,
{
    /// Returns the size in bytes that counts against the bound of a message.
    pub fn size(&self) -> usize {
        let content = match &self.content {
            Content::Empty => 0,
            Content::Payload(payload) => payload.size(),
            Content::Members(members) => 16 * members.len(),
        };
        OVERHEAD + content
    }
}
