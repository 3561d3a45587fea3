//! Positions in the log.

use std::fmt;

/// Number of an election term. At most one replica leads in each term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Term(pub u64);

/// Index of a log entry. The first entry has index 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Index(pub u64);

impl Term {
    /// Returns the term after this one.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Index {
    /// Returns the index after this one.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }

    /// Returns the index before this one, or zero.
    pub const fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "t{}", self.0)
    }
}

impl fmt::Display for Index {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Term and index of an entry, which together identify its content and all
/// entries before it.
///
/// # Examples
///
/// Positions are ordered by term first, as votes compare the last entries of logs.
///
/// ```
/// use sequoiayoke_consensus::position;
///
/// let short = position::Position::new(2, 7);
/// let long = position::Position::new(1, 9);
/// assert!(short > long);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// Term in which a leader created the entry.
    pub term: Term,
    /// Index of the entry.
    pub index: Index,
}

impl Position {
    /// Creates a position from the numbers of its term and index.
    pub const fn new(term: u64, index: u64) -> Self {
        Self {
            term: Term(term),
            index: Index(index),
        }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.term, self.index)
    }
}
