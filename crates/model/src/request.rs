//! Request ids.
//!
//! A node hands out an id together with the epoch of the slice and its own
//! time. The owner can then tell an id that cannot have run before its grant
//! from one that may have, without comparing two clocks.

use std::fmt;
use std::str;

use crate::id;

/// Id of a request, handed out by a node and repeated by the caller on a resend.
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
    // The time of issue comes first, so that ids sort by it.
    issued_ms: u64,
    random: u64,
    epoch: id::Epoch,
}

/// The text is not a request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

impl Id {
    /// Makes an id; `issued_ms` is the issuing node's wall clock in milliseconds.
    pub const fn new(epoch: id::Epoch, issued_ms: u64, random: u64) -> Self {
        Self {
            issued_ms,
            random,
            epoch,
        }
    }

    /// Returns the epoch of the slice when the id was handed out.
    pub const fn epoch(&self) -> id::Epoch {
        self.epoch
    }

    /// Returns the issuing node's wall clock in milliseconds.
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
        let mut next = || {
            let part = parts.next().ok_or(Malformed)?;
            let plain = !part.is_empty() && part.bytes().all(|byte| byte.is_ascii_hexdigit());
            if !plain {
                return Err(Malformed);
            }
            u64::from_str_radix(part, 16).map_err(|_| Malformed)
        };
        let (epoch, issued_ms, random) = (next()?, next()?, next()?);
        if parts.next().is_some() {
            return Err(Malformed);
        }
        Ok(Self::new(id::Epoch(epoch), issued_ms, random))
    }
}
