//! Request ids.
//!
//! A node issues an id with the epoch of the slice and its own time. With both, the owner can
//! distinguish an id that cannot have run before its grant from one that may have, without
//! comparing the clocks of two nodes.

use std::fmt;
use std::str;

use crate::id;

/// Id of a request, issued by a node and sent again by the caller with a retry.
///
/// # Examples
///
/// ```
/// use sequoiayoke_model::{id, request};
///
/// let id = request::Id::new(id::Epoch(7), 1_000, 42);
/// assert_eq!(id.to_string().parse(), Ok(id));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id {
    // The derived order compares the fields in sequence: ids sort by their time of issue first.
    issued_ms: u64,
    random: u64,
    epoch: id::Epoch,
}

/// Error for text that is not a request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

impl Id {
    /// Creates an id; `issued_ms` is the wall-clock time of the issuing node, in milliseconds.
    pub const fn new(epoch: id::Epoch, issued_ms: u64, random: u64) -> Self {
        Self {
            issued_ms,
            random,
            epoch,
        }
    }

    /// Returns the epoch that the slice had when the id was issued.
    pub const fn epoch(&self) -> id::Epoch {
        self.epoch
    }

    /// Returns the time of issue by the wall clock of the issuing node, in milliseconds.
    pub const fn issued_ms(&self) -> u64 {
        self.issued_ms
    }

    /// Returns the random part.
    pub const fn random(&self) -> u64 {
        self.random
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:x}-{:x}-{:016x}",
            self.epoch.0, self.issued_ms, self.random
        )
    }
}

impl str::FromStr for Id {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let mut parts = text.split('-');
        let mut parse_next = || {
            let part = parts.next().ok_or(Malformed)?;
            let is_hex = !part.is_empty() && part.bytes().all(|byte| byte.is_ascii_hexdigit());
            if !is_hex {
                return Err(Malformed);
            }
            u64::from_str_radix(part, 16).map_err(|_| Malformed)
        };
        let (epoch, issued_ms, random) = (parse_next()?, parse_next()?, parse_next()?);
        if parts.next().is_some() {
            return Err(Malformed);
        }
        Ok(Self::new(id::Epoch(epoch), issued_ms, random))
    }
}
