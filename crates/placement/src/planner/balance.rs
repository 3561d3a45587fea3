//! Moves that improve balance by more than they cost.
//!
//! Gain and cost are measured in milliseconds for which all keys of the service
//! together are degraded: on an overloaded server, on a new server that has
//! not warmed up, or unavailable. The weights of the service relate the three.

use std::time::Duration;

use sequoiayoke_model::clock;
use sequoiayoke_model::id;

use crate::action;
use crate::cause;
use crate::planner;
use crate::planner::fleet;
use crate::planner::pending;
use crate::planner::pool;
use crate::planner::slices;
use crate::service;

/// Most loaded servers that one search considers as sources. Some cannot be
/// relieved, since a single hot key may exceed the mean load.
const MAX_SOURCES: usize = 8;

/// Time until the next search after one without a result. A search reads all
/// slices of `MAX_SOURCES` servers, which at 358,400 slices takes most of a round.
const SEARCH_INTERVAL: Duration = Duration::from_millis(200);

/// Cost of an unavailable key relative to a key on an overloaded or cold server.
/// Its requests fail or wait for a whole move, where those of the others are
/// slower by some tenths.
const UNAVAILABLE_FACTOR: u64 = 100;

/// A server counts as underloaded if it is this many times the tolerance below
/// the mean. It is above one because an underloaded server slows no request.
const UNDERLOAD_FACTOR: u64 = 2;

/// A possible move, with its net gain.
struct Move {
    place: pending::Place,
    choice: fleet::Choice,
    cause: cause::Cause,
    net: u64,
}

/// A server with a load above the mean that a move may relieve.
struct Source {
    server: id::Server,
    service: id::Service,
    utilization: pool::Utilization,
    weights: service::Weights,
    total: u64,
}

impl planner::Planner {
    pub(super) fn balance(&mut self, now: clock::Instant, actions: &mut Vec<action::Action>) {
        let services: Vec<_> = self.slice_maps.keys().copied().collect();
        for service in services {
            let pool = self.fleet.pool_mut(service);
            if !pool.is_changed && !pool.is_balancing {
                continue;
            }
            let no_search_before = pool.no_search_before;
            if now < no_search_before {
                self.schedule_recheck(no_search_before);
                continue;
            }
            while self.balance_once(now, service, actions) {}
            self.fleet.pool_mut(service).is_changed = false;
        }
    }

    /// Starts at most one move; returns whether to continue.
    fn balance_once(
        &mut self,
        now: clock::Instant,
        service: id::Service,
        actions: &mut Vec<action::Action>,
    ) -> bool {
        let is_imbalanced = self.is_imbalanced(service);
        self.fleet.pool_mut(service).is_balancing = is_imbalanced;
        if !is_imbalanced {
            return false;
        }
        let is_in_budget = self.pending.has_balance_budget(now, &self.config);
        if !is_in_budget || !self.pending.has_move_capacity(&self.config) {
            self.schedule_recheck(now + self.config.budget_window / 10);
            return false;
        }
        let Some(pool) = self.fleet.pool(service) else {
            return false;
        };
        for (_, server) in pool.most_loaded(MAX_SOURCES) {
            let Some(source) = self.source(server, service) else {
                continue;
            };
            if let Some(candidate) = self.best_move(now, &source) {
                let moved = self.relocate(
                    now,
                    candidate.place,
                    candidate.choice,
                    candidate.cause,
                    actions,
                );
                if moved {
                    self.pending.record_balance_move(now);
                }
                return moved;
            }
            self.split_largest_slice(now, &source, actions);
        }
        // Slices in cooldown may be moved later.
        self.fleet.pool_mut(service).no_search_before = now + SEARCH_INTERVAL;
        self.schedule_recheck(now + SEARCH_INTERVAL);
        false
    }

    /// Returns whether a server of the pool deviates from the mean load by more
    /// than the tolerance, or than half of it while the pool is being balanced.
    fn is_imbalanced(&self, service: id::Service) -> bool {
        let Some(pool) = self.fleet.pool(service) else {
            return false;
        };
        if pool.ready() < 2 {
            return false;
        }
        let halves = if pool.is_balancing { 1 } else { 2 };
        let tolerance = self.tolerance(service) * halves / 2;
        let highest = pool.most_loaded(1);
        let highest = highest.first().map_or(0, |(score, _)| *score);
        let lowest = self.fleet.choose(service, 0, None);
        let lowest = lowest.map_or(highest, |choice| choice.utilization.score());
        pool.relative(highest).0 > 1_000 + tolerance
            || pool.relative(lowest).0 + UNDERLOAD_FACTOR * tolerance < 1_000
    }

    /// Returns the tolerated deviation from the mean load in thousandths.
    ///
    /// It is the configured tolerance times the mean of the weights of churn and
    /// unavailable time over the weight of imbalance, limited to between a half
    /// and three halves of the configured tolerance.
    fn tolerance(&self, service: id::Service) -> u64 {
        let configured = self.config.tolerance;
        let weights = self
            .slice_maps
            .get(&service)
            .map(|slice_map| slice_map.weights);
        let weights = weights.unwrap_or_default();
        let others = u64::from(weights.churn) + u64::from(weights.unavailable);
        let own = 2 * u64::from(weights.imbalance).max(1);
        scaled(configured, own, others).clamp(configured / 2, configured + configured / 2)
    }

    fn source(&self, server: id::Server, service: id::Service) -> Option<Source> {
        let slice_map = self.slice_maps.get(&service)?;
        let pool = self.fleet.pool(service)?;
        let utilization = self.fleet.utilization(server, service)?;
        let is_above = pool.relative(utilization.score()).0 > 1_000;
        is_above.then_some(Source {
            server,
            service,
            utilization,
            weights: slice_map.weights,
            total: slices::to_load(slice_map.rate + pool.idle_rate),
        })
    }

    /// Returns the move from the source with the highest net gain, if any has one.
    ///
    /// The target is the best one for a slice of average load. Choosing a target
    /// for each slice takes ten times as long and seldom gives another result.
    fn best_move(&self, now: clock::Instant, source: &Source) -> Option<Move> {
        let places: Vec<_> = self
            .fleet
            .slices(source.server, source.service)
            .filter(|place| self.is_movable(now, *place))
            .map(|place| (place, self.slice_load(place)))
            .collect();
        let total: u64 = places.iter().map(|(_, slice_load)| slice_load).sum();
        let average = total.checked_div(places.len() as u64)?;
        let choice = self
            .fleet
            .choose(source.service, average, Some(source.server))?;
        let candidates = places
            .into_iter()
            .filter_map(|(place, load)| self.evaluate_move(source, place, load, choice));
        // The first of equal moves wins, so that decisions are reproducible.
        candidates.reduce(|best, next| if next.net > best.net { next } else { best })
    }

    fn is_movable(&self, now: clock::Instant, place: pending::Place) -> bool {
        let Some(slice) = self.slice(place) else {
            return false;
        };
        let has_cooled_down = slice.holder_changed_at + self.config.cooldown <= now;
        slice.holder.is_some()
            && has_cooled_down
            && !self.pending.is_busy(place)
            && self.find_pin(place).is_none()
    }

    fn evaluate_move(
        &self,
        source: &Source,
        place: pending::Place,
        slice_load: u64,
        choice: fleet::Choice,
    ) -> Option<Move> {
        let pool = self.fleet.pool(source.service)?;
        let before = source.utilization.score();
        let source_after = source.utilization.without(slice_load).score();
        let after = source_after.max(choice.utilization.with(slice_load).score());
        let relieved = relieved(source.utilization, before, after).min(slice_load);
        let gain = self.gain(source, relieved);
        let cost = self.cost(source, slice_load);
        let net = gain.checked_sub(cost).filter(|net| *net > 0)?;
        Some(Move {
            place,
            choice,
            cause: cause::Cause::Imbalance {
                holder: pool.relative(before),
                target: pool.relative(choice.utilization.score()),
                gain,
                cost,
            },
            net,
        })
    }

    fn gain(&self, source: &Source, relieved: u64) -> u64 {
        let horizon = self.config.horizon.as_millis() as u64;
        let weighted = u64::from(source.weights.imbalance) * horizon;
        scaled(relieved, source.total, weighted)
    }

    fn cost(&self, source: &Source, slice_load: u64) -> u64 {
        let warm_up_millis = self.config.warm_up.as_millis() as u64;
        let unavailable_millis = self.config.move_time.as_millis() as u64 * UNAVAILABLE_FACTOR;
        let weights = source.weights;
        let weighted = u64::from(weights.churn) * warm_up_millis
            + u64::from(weights.unavailable) * unavailable_millis;
        scaled(slice_load, source.total, weighted)
    }

    /// Splits the slice with the highest load of a server that no single move relieves.
    fn split_largest_slice(
        &mut self,
        now: clock::Instant,
        source: &Source,
        actions: &mut Vec<action::Action>,
    ) {
        let mean = self.fleet.pool(source.service).map_or(0, pool::Pool::mean);
        let places = self.fleet.slices(source.server, source.service);
        let loads = places.map(|place| (self.slice_load(place), place));
        let Some((slice_load, place)) = loads.max() else {
            return;
        };
        let share = scaled(slice_load, mean.max(1), 1_000);
        if share >= self.config.hot_key && self.is_movable(now, place) {
            self.split_in_half(now, place, cause::Cause::Large { share }, actions);
        }
    }
}

/// Returns the load that is relieved if the higher score of source and target
/// falls from `before` to `after`. A utilization counts the load of a slice
/// twice, hence the half.
fn relieved(utilization: pool::Utilization, before: u64, after: u64) -> u64 {
    let gap = u128::from(before.saturating_sub(after));
    let load = u128::from(utilization.load) * gap / u128::from(before.max(1));
    u64::try_from(load / 2).unwrap_or(u64::MAX)
}

fn scaled(demand: u64, whole: u64, factor: u64) -> u64 {
    let product = u128::from(demand) * u128::from(factor) / u128::from(whole);
    u64::try_from(product).unwrap_or(u64::MAX)
}
