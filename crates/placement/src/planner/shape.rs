//! Splits and merges: slices small enough to balance, few enough to track.

use std::time::Duration;

use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_model::key;

use crate::action;
use crate::cause;
use crate::load;
use crate::planner;
use crate::planner::book;
use crate::planner::ledger;
use crate::planner::pool;

/// Splits that one round may ask for, so that a new service of many servers
/// does not make one huge entry of the log.
const MAX_SPLITS: usize = 1_024;

/// Slices of each service that a round examines for merging besides those
/// whose load was reported.
const SWEPT: usize = 16;

/// Reported slices that one round examines; the rest is due in the next one.
const MAX_EXAMINED: usize = 4_096;

/// Interval at which the sweep goes on without any report.
const SWEEP_PAUSE: Duration = Duration::from_secs(1);

impl planner::Planner {
    /// Splits slices evenly while a service has too few for its servers.
    pub(super) fn refine(&mut self, now: clock::Instant, actions: &mut Vec<action::Action>) {
        let services: Vec<_> = self.books.keys().copied().collect();
        for service in services {
            self.refine_one(now, service, actions);
        }
    }

    fn refine_one(
        &mut self,
        now: clock::Instant,
        service: id::Service,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(book) = self.books.get(&service) else {
            return;
        };
        let servers = self.fleet.pool(service).map_or(0, pool::Pool::ready);
        let wanted = servers * self.config.min_slices_per_server;
        let (slices, held) = (book.len(), book.held);
        if slices >= wanted || servers < 2 {
            return;
        }
        // Only a service that nobody serves waits for splits before its
        // vacant slices are assigned.
        let idle = book.iter().filter(|(start, slice)| {
            (held == 0 || slice.holder.is_some()) && !self.ledger.is_busy((service, *start))
        });
        let mut widest: Vec<_> = idle
            .map(|(start, slice)| (slice.part.share, start))
            .collect();
        widest.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(&b.1)));
        let extra = (wanted - slices).min(MAX_SPLITS);
        let each = extra.div_ceil(widest.len().max(1));
        let mut left = extra;
        for (_, start) in widest {
            let pieces = each.min(left) + 1;
            left -= pieces - 1;
            if pieces > 1 {
                let cause = cause::Cause::Coarse { slices, servers };
                self.divide(now, (service, start), pieces, cause, actions);
            }
        }
    }

    pub(super) fn halve(
        &mut self,
        now: clock::Instant,
        place: ledger::Place,
        cause: cause::Cause,
        actions: &mut Vec<action::Action>,
    ) {
        if self.has_slice_left(place.0) {
            self.divide(now, place, 2, cause, actions);
        }
    }

    /// Splits a slice into pieces of equal width, the last one first, so that
    /// each split is one of the slice as it was.
    fn divide(
        &mut self,
        now: clock::Instant,
        place: ledger::Place,
        pieces: usize,
        cause: cause::Cause,
        actions: &mut Vec<action::Action>,
    ) {
        let Some(book) = self.books.get(&place.0) else {
            return;
        };
        let range = book.range(place.1);
        let width = (range.last.0 - range.first.0) / pieces as u64;
        if width == 0 {
            return;
        }
        let first = key::Hash(range.first.0 + width);
        self.start(now, place, ledger::Kind::Split { last: first });
        for piece in (1..pieces as u64).rev() {
            actions.push(action::Action::Split {
                service: place.0,
                at: key::Hash(range.first.0 + width * piece),
                cause,
            });
        }
    }

    /// Takes the slices that this round examines from those with a new load.
    pub(super) fn examined(&mut self, now: clock::Instant) -> Vec<ledger::Place> {
        let places = self.loaded.iter().take(MAX_EXAMINED);
        let places: Vec<_> = places.copied().collect();
        for place in &places {
            self.loaded.remove(place);
        }
        if !self.loaded.is_empty() {
            self.look_again(now);
        }
        places
    }

    /// Gives hot keys slices of their own.
    pub(super) fn isolate(
        &mut self,
        now: clock::Instant,
        places: &[ledger::Place],
        actions: &mut Vec<action::Action>,
    ) {
        for place in places {
            let hottest = self.slice(*place).and_then(book::Slice::hottest);
            if let Some(hottest) = hottest {
                self.isolate_one(now, *place, hottest, actions);
            }
        }
    }

    fn isolate_one(
        &mut self,
        now: clock::Instant,
        place: ledger::Place,
        hottest: load::Key,
        actions: &mut Vec<action::Action>,
    ) {
        let (Some(book), Some(pool)) = (self.books.get(&place.0), self.fleet.pool(place.0)) else {
            return;
        };
        let mean = u128::from(pool.mean().max(1));
        let share = u128::from(book::to_load(hottest.rate)) * 1_000 / mean;
        let share = u64::try_from(share).unwrap_or(u64::MAX);
        let range = book.range(place.1);
        let is_alone = range.first == range.last;
        let may = range.contains(hottest.hash) && self.has_slice_left(place.0);
        if share < self.config.hot_key || is_alone || !may || self.ledger.is_busy(place) {
            return;
        }
        let after = key::Hash(hottest.hash.0.saturating_add(1));
        let at = if hottest.hash == range.first {
            after
        } else {
            hottest.hash
        };
        self.start(now, place, ledger::Kind::Split { last: at });
        actions.push(action::Action::Split {
            service: place.0,
            at,
            cause: cause::Cause::HotKey {
                key: hottest.hash,
                share,
            },
        });
    }

    /// Tells whether the bound on the number of slices permits one more.
    fn has_slice_left(&self, service: id::Service) -> bool {
        let servers = self.fleet.pool(service).map_or(0, pool::Pool::ready);
        let most = servers * self.config.max_slices_per_server;
        self.books
            .get(&service)
            .is_some_and(|book| book.len() < most)
    }

    /// Merges cold slices with the one before them, and moves those left over
    /// from a hot key back to it first.
    pub(super) fn merge(
        &mut self,
        now: clock::Instant,
        places: &[ledger::Place],
        actions: &mut Vec<action::Action>,
    ) {
        let services: Vec<_> = self.books.keys().copied().collect();
        let swept = services.into_iter();
        let swept: Vec<_> = swept.flat_map(|service| self.sweep(now, service)).collect();
        for place in places.iter().chain(&swept) {
            self.merge_one(now, *place, actions);
        }
    }

    fn sweep(&mut self, now: clock::Instant, service: id::Service) -> Vec<ledger::Place> {
        let excess = self.excess(service);
        let Some(book) = self.books.get_mut(&service) else {
            return Vec::new();
        };
        if excess == 0 {
            return Vec::new();
        }
        let starts = book.iter_from(book.cursor).map(|(start, _)| start);
        let swept: Vec<_> = starts.take(SWEPT).collect();
        let next = swept.last().filter(|_| swept.len() == SWEPT);
        book.cursor = next.copied().unwrap_or(key::Hash::MIN);
        self.look_again(now + SWEEP_PAUSE);
        swept.into_iter().map(|start| (service, start)).collect()
    }

    /// Returns how many slices a service has beyond those that it should.
    fn excess(&self, service: id::Service) -> usize {
        let servers = self.fleet.pool(service).map_or(0, pool::Pool::ready);
        let wanted = servers * self.config.min_slices_per_server;
        let slices = self.books.get(&service).map_or(0, book::Book::len);
        if servers == 0 {
            return 0;
        }
        slices.saturating_sub(wanted)
    }

    fn merge_one(
        &mut self,
        now: clock::Instant,
        place: ledger::Place,
        actions: &mut Vec<action::Action>,
    ) {
        let service = place.0;
        let Some(book) = self.books.get(&service) else {
            return;
        };
        let Some(before) = book.before(place.1).map(|start| (service, start)) else {
            return;
        };
        let (Some(left), Some(right)) = (self.slice(before), self.slice(place)) else {
            return;
        };
        let (Some(holder), true) = (left.holder, right.holder.is_some()) else {
            return;
        };
        let is_busy = self.ledger.is_busy(before) || self.ledger.is_busy(place);
        let rested = right.changed.max(left.changed) + self.config.cooldown <= now;
        let one_pin = self.pin_of(before) == self.pin_of(place);
        if is_busy || !rested || !one_pin || !self.is_cold(before, place) {
            return;
        }
        let cause = cause::Cause::Cold {
            server: holder.server,
        };
        if left.holds(right) {
            self.start(now, before, ledger::Kind::Merge { with: place.1 });
            self.start(now, place, ledger::Kind::Merge { with: before.1 });
            actions.push(action::Action::Merge {
                service,
                at: place.1,
                cause,
            });
        } else if right.part.share == 0 && self.ledger.may_balance(now, &self.config) {
            // What a hot key left behind is too narrow to matter where it is.
            let choice = self.fleet.chosen(holder.server, service);
            let moved =
                choice.is_some_and(|choice| self.relocate(now, place, choice, cause, actions));
            if moved {
                self.ledger.spend(now);
            }
        }
    }

    /// Tells whether two slices together have so little load that the merged
    /// one is not split again soon: half of the average at the least number.
    fn is_cold(&self, left: ledger::Place, right: ledger::Place) -> bool {
        let service = left.0;
        let Some(pool) = self.fleet.pool(service) else {
            return false;
        };
        let most = pool.mean() / (2 * self.config.min_slices_per_server.max(1) as u64);
        let narrow = self.slice(right).is_some_and(|slice| slice.part.share == 0);
        let both = self.weight(left) + self.weight(right);
        let right_alone = self.weight(right);
        let cold = both <= most || (narrow && right_alone * 8 <= most);
        self.excess(service) > 0 && cold
    }
}
