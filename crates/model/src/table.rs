//! Slice table: which backend server holds which slice of a service's hash space.

use crate::id;
use crate::key;
use crate::range;

/// Current holder of a slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Holder {
    /// Backend server that owns the keys of the slice.
    pub server: id::Server,
    /// Incarnation of the node that received the grant.
    pub incarnation: id::Incarnation,
    /// Fencing token of the grant.
    pub epoch: id::Epoch,
}

/// Slice of the hash space, from `start` up to but not including the start of the next slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
pub struct Slice {
    /// First position.
    pub start: key::Hash,
    /// `None` while the slice is vacant.
    pub holder: Option<Holder>,
}

/// Reason why a split or a merge is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No slice starts at the position, or the slice is the first one.
    NoSlice,
    /// A slice already starts at the position.
    Exists,
    /// The two slices have different holders.
    HoldersDiffer,
}

/// Slices of one service, sorted by start; the first one starts at zero.
///
/// # Examples
///
/// ```
/// use sequoiayoke_model::{key, table};
///
/// let mut table = table::Table::new();
/// table.split(key::Hash(100)).expect("the position is free");
/// assert_eq!(table.find(key::Hash(99)).1.first, key::Hash::MIN);
/// assert_eq!(table.find(key::Hash(100)).1.first, key::Hash(100));
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Table {
    // Invariant: not empty, starts increase strictly, the first start is zero.
    slices: Vec<Slice>,
}

impl Default for Table {
    fn default() -> Self {
        Self::new()
    }
}

impl Table {
    /// Creates a table with one vacant slice that covers the whole hash space.
    pub fn new() -> Self {
        Self {
            slices: vec![Slice {
                start: key::Hash::MIN,
                holder: None,
            }],
        }
    }

    /// Creates a table of `count` vacant slices of equal size; at least one slice is created.
    pub fn with_slices(count: u32) -> Self {
        let count = count.max(1);
        let width = u64::MAX / u64::from(count);
        let slices = (0..count)
            .map(|index| Slice {
                start: key::Hash(u64::from(index) * width),
                holder: None,
            })
            .collect();
        Self { slices }
    }

    /// Creates a table from `slices`; `None` if they are empty, unsorted or do not start at zero.
    pub fn from_slices(slices: Vec<Slice>) -> Option<Self> {
        let first = slices.first()?;
        let is_sorted = slices.windows(2).all(|pair| pair[0].start < pair[1].start);
        (first.start == key::Hash::MIN && is_sorted).then_some(Self { slices })
    }

    /// Returns the slices in order of their starts.
    pub fn slices(&self) -> &[Slice] {
        &self.slices
    }

    /// Returns the slice that contains `hash`, and its range.
    pub fn find(&self, hash: key::Hash) -> (&Slice, range::Range) {
        let index = self.slices.partition_point(|slice| slice.start <= hash) - 1;
        (&self.slices[index], self.range_at(index))
    }

    /// Returns the slice that starts at exactly `start`.
    pub fn get(&self, start: key::Hash) -> Option<&Slice> {
        let index = self.index_of(start)?;
        Some(&self.slices[index])
    }

    /// Iterates over the slices and their ranges.
    pub fn iter(&self) -> impl Iterator<Item = (&Slice, range::Range)> {
        self.slices
            .iter()
            .enumerate()
            .map(|(index, slice)| (slice, self.range_at(index)))
    }

    /// Sets the holder of the slice that starts at `start`; returns `false` if there is none.
    pub fn set_holder(&mut self, start: key::Hash, holder: Option<Holder>) -> bool {
        match self.index_of(start) {
            Some(index) => {
                self.slices[index].holder = holder;
                true
            }
            None => false,
        }
    }

    /// Inserts a slice, or replaces the slice with the same start.
    pub fn put(&mut self, slice: Slice) {
        match self
            .slices
            .binary_search_by_key(&slice.start, |existing| existing.start)
        {
            Ok(index) => self.slices[index] = slice,
            Err(index) => self.slices.insert(index, slice),
        }
    }

    /// Removes the slice that starts at `start`; the preceding slice then covers its positions.
    ///
    /// Returns whether a slice was removed. The first slice cannot be removed.
    pub fn remove(&mut self, start: key::Hash) -> bool {
        match self.index_of(start) {
            Some(index) if index > 0 => {
                self.slices.remove(index);
                true
            }
            _ => false,
        }
    }

    /// Splits the slice that contains `at`, so that a slice starts there.
    ///
    /// Both slices keep the holder and its epoch.
    ///
    /// # Errors
    ///
    /// Fails if a slice already starts at `at`.
    pub fn split(&mut self, at: key::Hash) -> Result<(), Refusal> {
        match self.slices.binary_search_by_key(&at, |slice| slice.start) {
            Ok(_) => Err(Refusal::Exists),
            Err(index) => {
                let holder = self.slices[index - 1].holder;
                self.slices.insert(index, Slice { start: at, holder });
                Ok(())
            }
        }
    }

    /// Merges the slice that starts at `start` into the preceding one.
    ///
    /// The merged slice has the larger epoch of both.
    ///
    /// # Errors
    ///
    /// Fails if no slice starts at `start`, if it is the first slice, or if the holders differ.
    pub fn merge(&mut self, start: key::Hash) -> Result<(), Refusal> {
        let index = match self.index_of(start) {
            Some(index) if index > 0 => index,
            _ => return Err(Refusal::NoSlice),
        };
        let merged = match (self.slices[index - 1].holder, self.slices[index].holder) {
            (None, None) => None,
            (Some(left), Some(right))
                if left.server == right.server && left.incarnation == right.incarnation =>
            {
                Some(Holder {
                    epoch: left.epoch.max(right.epoch),
                    ..left
                })
            }
            _ => return Err(Refusal::HoldersDiffer),
        };
        self.slices[index - 1].holder = merged;
        self.slices.remove(index);
        Ok(())
    }

    fn index_of(&self, start: key::Hash) -> Option<usize> {
        self.slices
            .binary_search_by_key(&start, |slice| slice.start)
            .ok()
    }

    fn range_at(&self, index: usize) -> range::Range {
        let last = match self.slices.get(index + 1) {
            Some(next) => key::Hash(next.start.0 - 1),
            None => key::Hash::MAX,
        };
        range::Range {
            first: self.slices[index].start,
            last,
        }
    }
}
