//! Contiguous ranges of a service's hash space.

use std::fmt;

use crate::key;

/// Contiguous range of the hash space, with both bounds included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Range {
    /// First position.
    pub first: key::Hash,
    /// Last position; not less than `first`.
    pub last: key::Hash,
}

impl Range {
    /// The whole hash space.
    pub const FULL: Self = Self {
        first: key::Hash::MIN,
        last: key::Hash::MAX,
    };

    /// Returns whether this range contains `hash`.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_model::{key, range};
    ///
    /// assert!(range::Range::FULL.contains(key::Hash(7)));
    /// ```
    pub const fn contains(&self, hash: key::Hash) -> bool {
        self.first.0 <= hash.0 && hash.0 <= self.last.0
    }

    /// Returns the fraction of the hash space that this range covers, from 0 to 1.
    pub fn share(&self) -> f64 {
        ((self.last.0 - self.first.0) as f64 + 1.0) / 2f64.powi(64)
    }
}

impl fmt::Display for Range {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}..={}", self.first, self.last)
    }
}
