//! Key ranges and their owners.
//!
//! Keys are numbers from 0 to 65,535. The slices of a service are disjoint,
//! ordered and cover all keys.

use std::ops;

use sequoiayoke_model::id;
use serde::{Deserialize, Serialize};

/// A key of a keyed service.
pub type Key = u16;

/// An inclusive range of keys.
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

    /// Creates the range from `first` to `last`.
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

    /// Returns whether the range contains no key.
    pub const fn is_empty(self) -> bool {
        self.last < self.first
    }

    /// Returns whether the range contains `key`.
    pub const fn contains(self, key: Key) -> bool {
        self.first <= key && key <= self.last
    }

    /// Returns whether this range contains all keys of `other`.
    pub const fn covers(self, other: Self) -> bool {
        self.first <= other.first && other.last <= self.last
    }

    /// Returns whether the two ranges have a key in common.
    pub const fn overlaps(self, other: Self) -> bool {
        self.first <= other.last && other.first <= self.last
    }
}

/// Fencing token of a grant; each later grant of a key has a larger one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fence(pub u64);

/// A range of keys with the same owner and grant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slice {
    /// The keys.
    pub range: Range,
    /// Fencing token of the owner's grant; zero before the first grant.
    pub fence: Fence,
    /// Owner of the keys, or `None` if the slice is vacant.
    pub owner: Option<id::Server>,
    /// Handover value that the previous owner left for the current one, if any.
    pub handover: Option<String>,
}

/// A change of the owner of a key range.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Move {
    /// Service of the keys.
    pub service: String,
    /// The keys, which must all lie in one slice.
    pub range: Range,
    /// Fencing token that the slice must have for the move to take effect.
    pub expected: Fence,
    /// Owner that the slice must have for the move to take effect.
    pub from: Option<id::Server>,
    /// New owner.
    pub to: id::Server,
    /// Handover value of the previous owner, if any.
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
    /// Creates a table with one vacant slice that covers all keys.
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

    /// Returns the slices in key order.
    pub fn slices(&self) -> &[Slice] {
        &self.slices
    }

    /// Returns the slice that contains `key`.
    pub fn find(&self, key: Key) -> &Slice {
        let index = self.slices.partition_point(|slice| slice.range.last < key);
        &self.slices[index.min(self.slices.len() - 1)]
    }

    /// Assigns a range to a new owner under `fence` and returns whether the move took effect.
    pub fn assign(&mut self, change: &Move, fence: Fence) -> bool {
        let Some(index) = self
            .slices
            .iter()
            .position(|slice| slice.range.covers(change.range))
        else {
            return false;
        };
        let slice = &self.slices[index];
        if slice.fence != change.expected || slice.owner != change.from || fence <= slice.fence {
            return false;
        }
        let old = self.slices.remove(index);
        let mut replacements = Vec::with_capacity(3);
        if old.range.first < change.range.first {
            let range = Range::new(old.range.first, change.range.first - 1);
            replacements.push(Slice {
                range,
                ..old.clone()
            });
        }
        replacements.push(Slice {
            range: change.range,
            fence,
            owner: Some(change.to),
            handover: change.handover.clone(),
        });
        if change.range.last < old.range.last {
            let range = Range::new(change.range.last + 1, old.range.last);
            replacements.push(Slice { range, ..old });
        }
        self.slices.splice(index..index, replacements);
        self.merge();
        true
    }

    /// Vacates all slices of `owner` and returns whether there were any.
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

    /// Gives all slices of `owner` to `heir` under `fence`, without their handover values; returns
    /// whether there were any.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_catalog::slice;
    /// use sequoiayoke_model::id;
    ///
    /// let (owner, heir) = (id::Server(1), id::Server(2));
    /// let mut table = slice::Table::new();
    /// table.replace(slice::Slice {
    ///     range: slice::Range::new(8, 11),
    ///     fence: slice::Fence(3),
    ///     owner: Some(owner),
    ///     handover: None,
    /// });
    /// assert!(table.transfer(owner, heir, slice::Fence(5)));
    /// assert_eq!(table.find(9).owner, Some(heir));
    /// assert_eq!(table.find(9).fence, slice::Fence(5));
    /// ```
    pub fn transfer(&mut self, owner: id::Server, heir: id::Server, fence: Fence) -> bool {
        let mut changed = false;
        for slice in &mut self.slices {
            if slice.owner == Some(owner) {
                slice.owner = Some(heir);
                slice.fence = fence;
                slice.handover = None;
                changed = true;
            }
        }
        self.merge();
        changed
    }

    /// Returns the slices that have a key in `range`, in key order.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_catalog::slice;
    ///
    /// let table = slice::Table::new();
    /// assert_eq!(table.overlapping(slice::Range::new(8, 11)), table.slices());
    /// ```
    pub fn overlapping(&self, range: Range) -> &[Slice] {
        &self.slices[self.positions(range)]
    }

    /// Replaces the owners and grants of the keys of `slice`, as another copy of the table has them.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_catalog::slice;
    /// use sequoiayoke_model::id;
    ///
    /// let mut table = slice::Table::new();
    /// table.replace(slice::Slice {
    ///     range: slice::Range::new(8, 11),
    ///     fence: slice::Fence(3),
    ///     owner: Some(id::Server(1)),
    ///     handover: None,
    /// });
    /// assert_eq!(table.find(9).owner, Some(id::Server(1)));
    /// assert_eq!(table.find(12).owner, None);
    /// ```
    pub fn replace(&mut self, slice: Slice) {
        let range = slice.range;
        let positions = self.positions(range);
        let overlapping = &self.slices[positions.clone()];
        let before = overlapping
            .first()
            .filter(|first| first.range.first < range.first);
        let before = before.map(|first| Slice {
            range: Range::new(first.range.first, range.first - 1),
            ..first.clone()
        });
        let after = overlapping
            .last()
            .filter(|last| last.range.last > range.last);
        let after = after.map(|last| Slice {
            range: Range::new(range.last + 1, last.range.last),
            ..last.clone()
        });
        let replacements = before.into_iter().chain([slice]).chain(after);
        self.slices.splice(positions, replacements);
        self.merge();
    }

    /// Returns the positions of the slices that have a key in `range`.
    fn positions(&self, range: Range) -> ops::Range<usize> {
        let slices = &self.slices;
        let start = slices.partition_point(|slice| slice.range.last < range.first);
        let end = slices.partition_point(|slice| slice.range.first <= range.last);
        start..end
    }

    /// Merges adjacent slices of the same grant. Slices with a handover value are not
    /// merged, because each value applies only to the range that was released with it.
    fn merge(&mut self) {
        self.slices.dedup_by(|next, previous| {
            let is_mergeable = next.owner == previous.owner
                && next.fence == previous.fence
                && next.handover.is_none()
                && previous.handover.is_none();
            if is_mergeable {
                previous.range.last = next.range.last;
            }
            is_mergeable
        });
    }
}
