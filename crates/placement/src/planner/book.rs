//! The slices of one service with their load.

use std::collections;

use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_model::range;
use sequoiayoke_model::table;

use crate::load;
use crate::service;

/// Shares of the hash space are counted in units of 2^24 positions, so that
/// the whole space is 2^40 and products with rates fit into 128 bits easily.
const SHARE_SHIFT: u32 = 24;
const FULL_SHARE: u32 = 64 - SHARE_SHIFT;

/// A thousandth of a request per second is 2^12 units of load: an idle slice
/// among 358,400 still has a load above zero and is spread, and the sum over as
/// many slices at the highest rate fits into 64 bits twice.
const LOAD_SHIFT: u32 = 12;

/// Converts a rate to units of load.
pub(super) const fn to_load(rate: u64) -> u64 {
    rate << LOAD_SHIFT
}

/// Rate and share of a slice or of a sum of slices.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Part {
    pub(super) rate: u64,
    pub(super) share: u64,
}

impl Part {
    /// Returns the load in units of load, where all keys that cause no load
    /// weigh `base` together.
    pub(super) const fn load(&self, base: u64) -> u64 {
        let idle = (self.share as u128 * base as u128) >> (FULL_SHARE - LOAD_SHIFT);
        to_load(self.rate) + idle as u64
    }

    pub(super) const fn add(&mut self, other: Self) {
        self.rate += other.rate;
        self.share += other.share;
    }

    pub(super) const fn subtract(&mut self, other: Self) {
        self.rate -= other.rate;
        self.share -= other.share;
    }
}

/// One slice.
#[derive(Clone, Debug)]
pub(super) struct Slice {
    pub(super) holder: Option<table::Holder>,
    /// Server whose load includes this slice: its holder, or the target of
    /// the action in progress.
    pub(super) counted: Option<id::Server>,
    pub(super) part: Part,
    /// When it last changed hands.
    pub(super) changed: clock::Instant,
    /// Hottest keys, the hottest first; `None` if none was reported.
    pub(super) keys: Option<Box<[load::Key]>>,
}

impl Slice {
    pub(super) fn holds(&self, other: &Self) -> bool {
        match (self.holder, other.holder) {
            (Some(a), Some(b)) => a.server == b.server && a.incarnation == b.incarnation,
            _ => false,
        }
    }

    pub(super) fn hottest(&self) -> Option<load::Key> {
        self.keys.as_ref()?.first().copied()
    }

    pub(super) fn set_keys(&mut self, mut keys: Vec<load::Key>) {
        keys.sort_by(|a, b| b.rate.cmp(&a.rate).then(a.hash.cmp(&b.hash)));
        keys.truncate(load::MAX_KEYS);
        self.keys = (!keys.is_empty()).then(|| keys.into_boxed_slice());
    }
}

fn share_of(range: range::Range) -> u64 {
    if range == range::Range::FULL {
        return 1 << FULL_SHARE;
    }
    (range.last.0 - range.first.0 + 1) >> SHARE_SHIFT
}

/// All slices of a service.
#[derive(Debug)]
pub(super) struct Book {
    pub(super) weights: service::Weights,
    // Invariant: never empty, the first starts at zero.
    slices: collections::BTreeMap<key::Hash, Slice>,
    /// Sum of the rates of all slices.
    pub(super) rate: u64,
    /// Slices that have a holder.
    pub(super) held: usize,
    /// Where the sweep for cold slices continues.
    pub(super) cursor: key::Hash,
}

impl Book {
    pub(super) fn new(weights: service::Weights) -> Self {
        let slice = Slice {
            holder: None,
            counted: None,
            part: Part {
                rate: 0,
                share: share_of(range::Range::FULL),
            },
            changed: clock::Instant::default(),
            keys: None,
        };
        Self {
            weights,
            slices: collections::BTreeMap::from([(key::Hash::MIN, slice)]),
            rate: 0,
            held: 0,
            cursor: key::Hash::MIN,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.slices.len()
    }

    pub(super) fn get(&self, start: key::Hash) -> Option<&Slice> {
        self.slices.get(&start)
    }

    pub(super) fn get_mut(&mut self, start: key::Hash) -> Option<&mut Slice> {
        self.slices.get_mut(&start)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (key::Hash, &Slice)> {
        self.slices.iter().map(|(start, slice)| (*start, slice))
    }

    pub(super) fn iter_from(&self, start: key::Hash) -> impl Iterator<Item = (key::Hash, &Slice)> {
        self.slices
            .range(start..)
            .map(|(start, slice)| (*start, slice))
    }

    /// Returns the start of the slice that contains `hash`.
    pub(super) fn find(&self, hash: key::Hash) -> key::Hash {
        let found = self.slices.range(..=hash).next_back();
        found.map_or(key::Hash::MIN, |(start, _)| *start)
    }

    pub(super) fn before(&self, start: key::Hash) -> Option<key::Hash> {
        let found = self.slices.range(..start).next_back();
        found.map(|(start, _)| *start)
    }

    pub(super) fn range(&self, start: key::Hash) -> range::Range {
        let after = start.0.checked_add(1).map(key::Hash);
        let next = after.and_then(|after| self.slices.range(after..).next());
        let last = next.map_or(key::Hash::MAX, |(next, _)| key::Hash(next.0 - 1));
        range::Range { first: start, last }
    }

    /// Splits at `at`; hot keys go to their side, the rest of the rate is
    /// divided by the shares until the next report.
    ///
    /// Neither half may be counted on a server.
    pub(super) fn cut(&mut self, at: key::Hash) {
        let start = self.find(at);
        if start == at {
            return;
        }
        let last = self.range(start).last;
        let right_range = range::Range { first: at, last };
        let Some(left) = self.slices.get_mut(&start) else {
            return;
        };
        let keys = left.keys.take().unwrap_or_default().into_vec();
        let (right_keys, left_keys): (Vec<_>, Vec<_>) =
            keys.into_iter().partition(|key| key.hash >= at);
        let mut right = left.clone();
        let share = share_of(right_range).min(left.part.share);
        let sum = |keys: &[load::Key]| keys.iter().map(|key| key.rate).sum::<u64>();
        let known = sum(&right_keys);
        let rest = left.part.rate.saturating_sub(known + sum(&left_keys));
        let rest = u128::from(rest) * u128::from(share) / u128::from(left.part.share.max(1));
        let rate = (known + rest as u64).min(left.part.rate);
        right.part = Part { rate, share };
        left.part.subtract(right.part);
        left.set_keys(left_keys);
        right.set_keys(right_keys);
        self.held += usize::from(right.holder.is_some());
        self.slices.insert(at, right);
    }

    /// Merges the slice at `start` into the one before it.
    ///
    /// Neither of them may be counted on a server.
    pub(super) fn join(&mut self, start: key::Hash) {
        let Some(before) = self.before(start) else {
            return;
        };
        let Some(right) = self.slices.remove(&start) else {
            return;
        };
        self.held -= usize::from(right.holder.is_some());
        if let Some(left) = self.slices.get_mut(&before) {
            left.part.add(right.part);
            // As in `table::Table::merge`: a move expects the larger epoch.
            if let (Some(holder), Some(gone)) = (left.holder.as_mut(), right.holder) {
                holder.epoch = holder.epoch.max(gone.epoch);
            }
            let mut keys = left.keys.take().unwrap_or_default().into_vec();
            keys.extend(right.keys.unwrap_or_default());
            left.set_keys(keys);
        }
    }

    /// Returns the load that all keys without a request weigh together: an
    /// eighth of the rate of the service, so that they are spread as well.
    pub(super) fn base(&self) -> u64 {
        (self.rate / 8).max(1_000)
    }
}
