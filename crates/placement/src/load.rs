//! Load of a slice, as reported by the nodes of the owners.

use sequoiayoke_model::key;

/// A key among the hottest of its slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Key {
    /// Position of the key.
    pub hash: key::Hash,
    /// Decayed rate, in thousandths of a request per second.
    pub rate: u64,
}

/// Load of one slice.
///
/// If requests of one service cost more than those of another service on the
/// same servers, the reported rates are scaled by the ratio of the costs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load<'a> {
    /// Decayed rate of all keys, in thousandths of a request per second; the
    /// planner limits it to [`MAX_RATE`].
    pub rate: u64,
    /// Hottest keys, in descending order of rate.
    ///
    /// The planner keeps the first [`MAX_KEYS`] of them.
    pub keys: &'a [Key],
}

/// Maximum number of hot keys that the planner keeps for one slice.
///
/// Each split moves one of them out of the slice, so the next report can contain
/// further ones.
pub const MAX_KEYS: usize = 4;

/// Limit for the rate of a slice, in thousandths of a request per second, so
/// that a wrong report cannot make sums overflow.
pub const MAX_RATE: u64 = 1_000_000_000;
