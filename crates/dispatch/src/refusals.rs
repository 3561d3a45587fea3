//! Requests that a backend server has refused on a connection.

use std::hash::{self, Hash, Hasher};

/// Largest number of refused requests that are remembered for one connection, at 8 bytes each.
const MAX_REFUSALS: usize = 64;

/// Ids of the requests that were refused on one connection.
///
/// A request that was refused may be sent again to the same backend server. It must use another
/// connection then: a repeated refusal on this one would carry its id.
///
/// # Examples
///
/// ```
/// use sequoiayoke_dispatch::refusals;
///
/// let mut refusals = refusals::Refusals::new();
/// refusals.add("a");
/// assert!(refusals.contains("a") && !refusals.contains("b"));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Refusals {
    /// Hashes of the ids. Two ids with one hash only lead to the use of another connection.
    hashes: Vec<u64>,
}

impl Refusals {
    /// Creates an empty set.
    pub const fn new() -> Self {
        Self { hashes: Vec::new() }
    }

    /// Adds the id of a refused request.
    pub fn add(&mut self, id: &str) {
        if !self.is_full() {
            self.hashes.push(hash(id));
        }
    }

    /// Returns whether the request with this id may have been refused on the connection.
    pub fn contains(&self, id: &str) -> bool {
        self.hashes.contains(&hash(id))
    }

    /// Returns whether no further id can be remembered, so that the connection must be closed.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_dispatch::refusals;
    ///
    /// let mut refusals = refusals::Refusals::new();
    /// (0..64).for_each(|number| refusals.add(&number.to_string()));
    /// assert!(refusals.is_full());
    /// ```
    pub const fn is_full(&self) -> bool {
        self.hashes.len() >= MAX_REFUSALS
    }
}

fn hash(id: &str) -> u64 {
    let mut hasher = hash::DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}
