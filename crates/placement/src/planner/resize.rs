//! Splits and merges: keeps slices small enough to balance and few enough to track.

use std::time::Duration;

use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_model::key;

use crate::action;
use crate::cause;
use crate::load;
use crate::planner;
use crate::planner::pending;
use crate::planner::pool;
use crate::planner::slices;

/// Splits of one service that a round may start at most, so that a new service
/// on many servers does not produce a very large log entry.
const MAX_SPLITS: usize = 1_024;

/// Slices of each service that a round examines for merging in addition to
/// those whose load was reported.
const SWEEP_SLICES: usize = 16;

/// Reported slices that one round examines at most; the next round continues.
const MAX_EXAMINED: usize = 4_096;

/// Interval at which the sweep continues without any report.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

impl planner::Planner {
    /// Splits slices evenly while a service has too few for its servers.
    pub(super) fn split_coarse(&mut self, now: clock::Instant, actions: &mut Vec<action::Action>) {
        let services: Vec<_> = self.slice_maps.keys().copied().collect();
        for service in services {
            self.split_coarse_service(now, service, actions);
        }
    }

    fn split_coarse_service(
        &mut self,
        now: clock::Instant,
        service: id::Service,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(slice_map) = self.slice_maps.get(&service) else {
            return;
        };
        let servers = self.fleet.pool(service).map_or(0, pool::Pool::ready);
        let wanted = servers * self.config.min_slices_per_server;
        let (slices, held) = (slice_map.len(), slice_map.held);
        if slices >= wanted || servers < 2 {
            return;
        }
        // Vacant slices are split only while the service has no holder at all;
        // otherwise their assignment would wait for the split.
        let idle = slice_map.iter().filter(|(start, slice)| {
            (held == 0 || slice.holder.is_some()) && !self.pending.is_busy((service, *start))
        });
        let mut widest: Vec<_> = idle
            .map(|(start, slice)| (slice.demand.share, start))
            .collect();
        widest.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(&b.1)));
        let splits = (wanted - slices).min(MAX_SPLITS);
        let splits_per_slice = splits.div_ceil(widest.len().max(1));
        let mut remaining = splits;
        for (_, start) in widest {
            let pieces = splits_per_slice.min(remaining) + 1;
            remaining -= pieces - 1;
            if pieces > 1 {
                let cause = cause::Cause::Coarse { slices, servers };
                self.split_into(now, (service, start), pieces, cause, actions);
            }
        }
    }

    pub(super) fn split_in_half(
        &mut self,
        now: clock::Instant,
        place: pending::Place,
        cause: cause::Cause,
        actions: &mut Vec<action::Action>,
    ) {
        if self.has_slice_headroom(place.0) {
            self.split_into(now, place, 2, cause, actions);
        }
    }

    /// Splits a slice into pieces of equal width, from the last position to the
    /// first, so that each split applies to the slice with the original start.
    fn split_into(
        &mut self,
        now: clock::Instant,
        place: pending::Place,
        pieces: usize,
        cause: cause::Cause,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(slice_map) = self.slice_maps.get(&place.0) else {
            return;
        };
        let range = slice_map.range(place.1);
        let width = (range.last.0 - range.first.0) / pieces as u64;
        if width == 0 {
            return;
        }
        let first = key::Hash(range.first.0 + width);
        self.start_action(now, place, pending::Kind::Split { last: first });
        for piece in (1..pieces as u64).rev() {
            actions.push(action::Action::Split {
                service: place.0,
                at: key::Hash(range.first.0 + width * piece),
                cause,
            });
        }
    }

    /// Removes and returns the slices with a new load that this round examines.
    pub(super) fn take_reported(&mut self, now: clock::Instant) -> Vec<pending::Place> {
        let places = self.load_reported.iter().take(MAX_EXAMINED);
        let places: Vec<_> = places.copied().collect();
        for place in &places {
            self.load_reported.remove(place);
        }
        if !self.load_reported.is_empty() {
            self.schedule_recheck(now);
        }
        places
    }

    /// Splits slices so that each hot key gets a slice of its own.
    pub(super) fn isolate_hot_keys(
        &mut self,
        now: clock::Instant,
        places: &[pending::Place],
        actions: &mut Vec<action::Action>,
    ) {
        for place in places {
            let hottest = self.slice(*place).and_then(slices::Slice::hottest);
            if let Some(hottest) = hottest {
                self.isolate_hot_key(now, *place, hottest, actions);
            }
        }
    }

    fn isolate_hot_key(
        &mut self,
        now: clock::Instant,
        place: pending::Place,
        hottest: load::Key,
        actions: &mut Vec<action::Action>,
    ) {
        let (Some(slice_map), Some(pool)) =
            (self.slice_maps.get(&place.0), self.fleet.pool(place.0))
        else {
            return;
        };
        let mean = u128::from(pool.mean().max(1));
        let share = u128::from(slices::to_load(hottest.rate)) * 1_000 / mean;
        let share = u64::try_from(share).unwrap_or(u64::MAX);
        let range = slice_map.range(place.1);
        let is_alone = range.first == range.last;
        let is_allowed = range.contains(hottest.hash) && self.has_slice_headroom(place.0);
        if share < self.config.hot_key || is_alone || !is_allowed || self.pending.is_busy(place) {
            return;
        }
        let after = key::Hash(hottest.hash.0.saturating_add(1));
        let at = if hottest.hash == range.first {
            after
        } else {
            hottest.hash
        };
        self.start_action(now, place, pending::Kind::Split { last: at });
        actions.push(action::Action::Split {
            service: place.0,
            at,
            cause: cause::Cause::HotKey {
                key: hottest.hash,
                share,
            },
        });
    }

    /// Returns whether the service may have another slice.
    fn has_slice_headroom(&self, service: id::Service) -> bool {
        let servers = self.fleet.pool(service).map_or(0, pool::Pool::ready);
        let max_slices = servers * self.config.max_slices_per_server;
        self.slice_maps
            .get(&service)
            .is_some_and(|slice_map| slice_map.len() < max_slices)
    }

    /// Merges cold slices with the slice before them. A slice that was split
    /// off for a hot key is first moved to the holder of the slice before it.
    pub(super) fn merge_cold(
        &mut self,
        now: clock::Instant,
        places: &[pending::Place],
        actions: &mut Vec<action::Action>,
    ) {
        let services: Vec<_> = self.slice_maps.keys().copied().collect();
        let swept = services.into_iter();
        let swept: Vec<_> = swept.flat_map(|service| self.sweep(now, service)).collect();
        for place in places.iter().chain(&swept) {
            self.merge_cold_slice(now, *place, actions);
        }
    }

    fn sweep(&mut self, now: clock::Instant, service: id::Service) -> Vec<pending::Place> {
        let excess = self.excess_slices(service);
        let Some(slice_map) = self.slice_maps.get_mut(&service) else {
            return Vec::new();
        };
        if excess == 0 {
            return Vec::new();
        }
        let starts = slice_map
            .iter_from(slice_map.sweep_cursor)
            .map(|(start, _)| start);
        let swept: Vec<_> = starts.take(SWEEP_SLICES).collect();
        let next = swept.last().filter(|_| swept.len() == SWEEP_SLICES);
        slice_map.sweep_cursor = next.copied().unwrap_or(key::Hash::MIN);
        self.schedule_recheck(now + SWEEP_INTERVAL);
        swept.into_iter().map(|start| (service, start)).collect()
    }

    /// Returns how many slices a service has above the wanted minimum.
    fn excess_slices(&self, service: id::Service) -> usize {
        let servers = self.fleet.pool(service).map_or(0, pool::Pool::ready);
        let wanted = servers * self.config.min_slices_per_server;
        let slices = self.slice_maps.get(&service).map_or(0, slices::Map::len);
        if servers == 0 {
            return 0;
        }
        slices.saturating_sub(wanted)
    }

    fn merge_cold_slice(
        &mut self,
        now: clock::Instant,
        place: pending::Place,
        actions: &mut Vec<action::Action>,
    ) {
        let service = place.0;
        let Some(slice_map) = self.slice_maps.get(&service) else {
            return;
        };
        let Some(before) = slice_map.before(place.1).map(|start| (service, start)) else {
            return;
        };
        let (Some(left), Some(right)) = (self.slice(before), self.slice(place)) else {
            return;
        };
        let (Some(holder), true) = (left.holder, right.holder.is_some()) else {
            return;
        };
        let is_busy = self.pending.is_busy(before) || self.pending.is_busy(place);
        let has_cooled_down =
            right.holder_changed_at.max(left.holder_changed_at) + self.config.cooldown <= now;
        let same_pin = self.find_pin(before) == self.find_pin(place);
        if is_busy || !has_cooled_down || !same_pin || !self.is_cold(before, place) {
            return;
        }
        let cause = cause::Cause::Cold {
            server: holder.server,
        };
        if left.has_same_holder(right) {
            self.start_action(now, before, pending::Kind::Merge { with: place.1 });
            self.start_action(now, place, pending::Kind::Merge { with: before.1 });
            actions.push(action::Action::Merge {
                service,
                at: place.1,
                cause,
            });
        } else if right.demand.share == 0 && self.pending.has_balance_budget(now, &self.config) {
            // The slice of a former hot key is so narrow that its placement does
            // not affect balance.
            let choice = self.fleet.choice_of(holder.server, service);
            let moved =
                choice.is_some_and(|choice| self.relocate(now, place, choice, cause, actions));
            if moved {
                self.pending.record_balance_move(now);
            }
        }
    }

    /// Returns whether two slices together have so little load that the merged
    /// slice is not split again soon: at most half of the average load of a
    /// slice when the service has the minimum number of slices.
    fn is_cold(&self, left: pending::Place, right: pending::Place) -> bool {
        let service = left.0;
        let Some(pool) = self.fleet.pool(service) else {
            return false;
        };
        let max_load = pool.mean() / (2 * self.config.min_slices_per_server.max(1) as u64);
        let is_narrow = self
            .slice(right)
            .is_some_and(|slice| slice.demand.share == 0);
        let combined_load = self.slice_load(left) + self.slice_load(right);
        let right_load = self.slice_load(right);
        let is_cold = combined_load <= max_load || (is_narrow && right_load * 8 <= max_load);
        self.excess_slices(service) > 0 && is_cold
    }
}
