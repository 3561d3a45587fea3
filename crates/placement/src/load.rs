//! Load of a slice, as the owners' nodes report it.

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
/// If a request of one service costs more than one of another service on the
/// same servers, its rates are reported multiplied by that proportion.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load<'a> {
    /// Decayed rate of all keys, in thousandths of a request per second; the
    /// planner counts at most [`MAX_RATE`].
    pub rate: u64,
    /// Hottest keys, the hottest first.
    ///
    /// The planner keeps the first [`MAX_KEYS`] of them.
    pub keys: &'a [Key],
}

/// Most hot keys that the planner remembers for one slice.
///
/// Each split takes one of them out of the slice, so further ones come up in
/// the next report.
pub const MAX_KEYS: usize = 4;

/// Highest rate of a slice that is told apart, in thousandths of a request per
/// second. A wrong report cannot make sums overflow.
pub const MAX_RATE: u64 = 1_000_000_000;
