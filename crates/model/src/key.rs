//! Hashes of keys.

use std::fmt;

use xxhash_rust::xxh3;

/// Position of a key in the hash space of its service.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct Hash(pub u64);

impl Hash {
    /// First position of the hash space.
    pub const MIN: Self = Self(0);
    /// Last position of the hash space.
    pub const MAX: Self = Self(u64::MAX);

    /// Hashes `key` within `scope`, so that equal keys of two scopes have different hashes.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_model::key;
    ///
    /// assert_ne!(key::Hash::new("mill-a", "lot-1"), key::Hash::new("mill-b", "lot-1"));
    /// ```
    pub fn new(scope: &str, key: &str) -> Self {
        let mut state = xxh3::Xxh3Default::new();
        state.update(scope.as_bytes());
        // A scope contains no zero byte, so `("a", "bc")` and `("ab", "c")` hash differently.
        state.update(&[0]);
        state.update(key.as_bytes());
        Self(state.digest())
    }
}

impl fmt::Display for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
