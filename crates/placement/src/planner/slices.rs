//! The slices of one service, with their load.

use std::collections;

use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_model::range;
use sequoiayoke_model::table;

use crate::load;
use crate::service;

/// Shares of the hash space are measured in units of 2^24 positions. The whole
/// space is then 2^40 units, and products with rates fit into 128 bits.
const SHARE_SHIFT: u32 = 24;
const FULL_SHARE_BITS: u32 = 64 - SHARE_SHIFT;

/// A thousandth of a request per second is 2^12 units of load. An idle slice
/// among 358,400 then still has a load above zero, so that idle slices are
/// spread too, and twice the sum over as many slices at the highest rate fits
/// into 64 bits.
const LOAD_SHIFT: u32 = 12;

/// Converts a rate to units of load.
pub(super) const fn to_load(rate: u64) -> u64 {
    rate << LOAD_SHIFT
}

/// Request rate and share of the hash space of a slice or of several slices.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Demand {
    pub(super) rate: u64,
    pub(super) share: u64,
}

impl Demand {
    /// Returns the load in units of load, with `idle_rate` attributed to all
    /// keys without requests together.
    pub(super) const fn load(&self, idle_rate: u64) -> u64 {
        let idle = (self.share as u128 * idle_rate as u128) >> (FULL_SHARE_BITS - LOAD_SHIFT);
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
    /// Server to which the slice's load is attributed: its holder, or the
    /// target of the action in progress.
    pub(super) attributed_to: Option<id::Server>,
    pub(super) demand: Demand,
    /// When the holder last changed.
    pub(super) holder_changed_at: clock::Instant,
    /// Hottest keys in descending order of rate; `None` if none was reported.
    pub(super) keys: Option<Box<[load::Key]>>,
}

impl Slice {
    pub(super) fn has_same_holder(&self, other: &Self) -> bool {
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
        return 1 << FULL_SHARE_BITS;
    }
    (range.last.0 - range.first.0 + 1) >> SHARE_SHIFT
}

/// All slices of a service.
#[derive(Debug)]
pub(super) struct Map {
    pub(super) weights: service::Weights,
    // Invariant: never empty, and the first slice starts at zero.
    slices: collections::BTreeMap<key::Hash, Slice>,
    /// Sum of the rates of all slices.
    pub(super) rate: u64,
    /// Number of slices that have a holder.
    pub(super) held: usize,
    /// Where the sweep for cold slices continues.
    pub(super) sweep_cursor: key::Hash,
}

impl Map {
    pub(super) fn new(weights: service::Weights) -> Self {
        let slice = Slice {
            holder: None,
            attributed_to: None,
            demand: Demand {
                rate: 0,
                share: share_of(range::Range::FULL),
            },
            holder_changed_at: clock::Instant::default(),
            keys: None,
        };
        Self {
            weights,
            slices: collections::BTreeMap::from([(key::Hash::MIN, slice)]),
            rate: 0,
            held: 0,
            sweep_cursor: key::Hash::MIN,
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
        let entry = self.slices.range(..=hash).next_back();
        entry.map_or(key::Hash::MIN, |(start, _)| *start)
    }

    pub(super) fn before(&self, start: key::Hash) -> Option<key::Hash> {
        let entry = self.slices.range(..start).next_back();
        entry.map(|(start, _)| *start)
    }

    pub(super) fn range(&self, start: key::Hash) -> range::Range {
        let after = start.0.checked_add(1).map(key::Hash);
        let next = after.and_then(|after| self.slices.range(after..).next());
        let last = next.map_or(key::Hash::MAX, |(next, _)| key::Hash(next.0 - 1));
        range::Range { first: start, last }
    }

    /// Splits the slice around `at`.
    ///
    /// Hot keys stay with the slice that contains them; the remaining rate is
    /// divided in proportion to the shares until the next report. The slice must
    /// not be attributed to a server.
    pub(super) fn split(&mut self, at: key::Hash) {
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
        let share = share_of(right_range).min(left.demand.share);
        let sum = |keys: &[load::Key]| keys.iter().map(|key| key.rate).sum::<u64>();
        let hot_rate = sum(&right_keys);
        let other_rate = left.demand.rate.saturating_sub(hot_rate + sum(&left_keys));
        let other_rate =
            u128::from(other_rate) * u128::from(share) / u128::from(left.demand.share.max(1));
        let rate = (hot_rate + other_rate as u64).min(left.demand.rate);
        right.demand = Demand { rate, share };
        left.demand.subtract(right.demand);
        left.set_keys(left_keys);
        right.set_keys(right_keys);
        self.held += usize::from(right.holder.is_some());
        self.slices.insert(at, right);
    }

    /// Merges the slice at `start` into the one before it.
    ///
    /// Neither slice may be attributed to a server.
    pub(super) fn merge(&mut self, start: key::Hash) {
        let Some(before) = self.before(start) else {
            return;
        };
        let Some(right) = self.slices.remove(&start) else {
            return;
        };
        self.held -= usize::from(right.holder.is_some());
        if let Some(left) = self.slices.get_mut(&before) {
            left.demand.add(right.demand);
            // As in `table::Table::merge`: a move expects the higher epoch.
            if let (Some(holder), Some(removed)) = (left.holder.as_mut(), right.holder) {
                holder.epoch = holder.epoch.max(removed.epoch);
            }
            let mut keys = left.keys.take().unwrap_or_default().into_vec();
            keys.extend(right.keys.unwrap_or_default());
            left.set_keys(keys);
        }
    }

    /// Returns the rate attributed to all idle keys together: an eighth of the
    /// rate of the service, so that idle slices are spread over the servers too.
    pub(super) fn idle_rate(&self) -> u64 {
        (self.rate / 8).max(1_000)
    }
}
