//! Key ranges and their owners.
//!
//! Keys are numbers from 0 to 65,535. The slices of a service are disjoint,
//! ordered and cover all keys.

use sequoiayoke_model::id;
use serde::{Deserialize, Serialize};

/// A key of a keyed service.
pub type Key = u16;

/// Consecutive keys, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Range {
    /// First key.
    pub first: Key,
    /// Last key.
    pub last: Key,
}

impl Range {
    /// All keys.
    pub const ALL: Self = Self {
        first: Key::MIN,
        last: Key::MAX,
    };

    /// Makes a range.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_catalog::slice;
    ///
    /// assert_eq!(slice::Range::new(8, 11).len(), 4);
    /// ```
    pub const fn new(first: Key, last: Key) -> Self {
        Self { first, last }
    }

    /// Returns the number of keys.
    pub const fn len(self) -> u32 {
        (self.last as u32 + 1).saturating_sub(self.first as u32)
    }

    /// Returns whether the range holds no key.
    pub const fn is_empty(self) -> bool {
        self.last < self.first
    }

    /// Returns whether the range holds `key`.
    pub const fn contains(self, key: Key) -> bool {
        self.first <= key && key <= self.last
    }

    /// Returns whether all keys of `other` are in this range.
    pub const fn covers(self, other: Self) -> bool {
        self.first <= other.first && other.last <= self.last
    }

    /// Returns whether the ranges share a key.
    pub const fn overlaps(self, other: Self) -> bool {
        self.first <= other.last && other.first <= self.last
    }
}

/// Number of a grant; a later grant of a key has a larger one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fence(pub u64);

/// Keys with the same owner and grant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slice {
    /// The keys.
    pub range: Range,
    /// Grant under which the owner holds them; zero before the first one.
    pub fence: Fence,
    /// Owner, unless the slice is vacant.
    pub owner: Option<id::Server>,
    /// What the last owner handed over for this one, if anything.
    pub handover: Option<String>,
}

/// Change of the owner of a range.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Move {
    /// Service of the keys.
    pub service: String,
    /// The keys; they must lie in one slice.
    pub range: Range,
    /// Grant that the slice must have for the move to take effect.
    pub expected: Fence,
    /// Owner that the slice must have for the move to take effect.
    pub from: Option<id::Server>,
    /// New owner.
    pub to: id::Server,
    /// What the former owner handed over.
    pub handover: Option<String>,
}

/// The slices of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    slices: Vec<Slice>,
}

impl Default for Table {
    fn default() -> Self {
        Self::new()
    }
}

impl Table {
    /// Makes a table with one vacant slice.
    pub fn new() -> Self {
        Self {
            slices: vec![Slice {
                range: Range::ALL,
                fence: Fence(0),
                owner: None,
                handover: None,
            }],
        }
    }

    /// Returns the slices in order.
    pub fn slices(&self) -> &[Slice] {
        &self.slices
    }

    /// Returns the slice that holds `key`.
    pub fn find(&self, key: Key) -> &Slice {
        let at = self.slices.partition_point(|slice| slice.range.last < key);
        &self.slices[at.min(self.slices.len() - 1)]
    }

    /// Gives a range to a new owner under `fence`; returns whether it took effect.
    pub fn assign(&mut self, change: &Move, fence: Fence) -> bool {
        let Some(at) = self
            .slices
            .iter()
            .position(|slice| slice.range.covers(change.range))
        else {
            return false;
        };
        let slice = &self.slices[at];
        if slice.fence != change.expected || slice.owner != change.from || fence <= slice.fence {
            return false;
        }
        let old = self.slices.remove(at);
        let mut parts = Vec::with_capacity(3);
        if old.range.first < change.range.first {
            let range = Range::new(old.range.first, change.range.first - 1);
            parts.push(Slice {
                range,
                ..old.clone()
            });
        }
        parts.push(Slice {
            range: change.range,
            fence,
            owner: Some(change.to),
            handover: change.handover.clone(),
        });
        if change.range.last < old.range.last {
            let range = Range::new(change.range.last + 1, old.range.last);
            parts.push(Slice { range, ..old });
        }
        self.slices.splice(at..at, parts);
        self.merge();
        true
    }

    /// Takes all slices of `owner`; returns whether there were any.
    pub fn vacate(&mut self, owner: id::Server) -> bool {
        let mut changed = false;
        for slice in &mut self.slices {
            if slice.owner == Some(owner) {
                slice.owner = None;
                slice.handover = None;
                changed = true;
            }
        }
        self.merge();
        changed
    }

    /// Joins neighbours under the same grant. A handover keeps slices apart,
    /// since each value belongs to the range that was released.
    fn merge(&mut self) {
        self.slices.dedup_by(|next, previous| {
            let same = next.owner == previous.owner
                && next.fence == previous.fence
                && next.handover.is_none()
                && previous.handover.is_none();
            if same {
                previous.range.last = next.range.last;
            }
            same
        });
    }
}
