//! Moves for the sake of balance, where they pay.
//!
//! Gain and cost are counted in milliseconds for which all keys of the service
//! together are worse off: overloaded, cold at their new server, or
//! unreachable. The weights of the service compare the three.

use std::time::Duration;

use sequoiayoke_model::clock;
use sequoiayoke_model::id;

use crate::action;
use crate::cause;
use crate::planner;
use crate::planner::book;
use crate::planner::fleet;
use crate::planner::ledger;
use crate::planner::pool;
use crate::service;

/// Most loaded servers that one round tries to relieve. Some cannot be: a
/// single hot key may exceed the mean alone.
const TRIED: usize = 8;

/// Time until the next search after one without a result. A search reads all
/// slices of `TRIED` servers, which at 358,400 slices takes most of a round.
const IDLE: Duration = Duration::from_millis(200);

/// A key that is unreachable is this much worse off than one on an overloaded
/// or cold server: its request fails or waits a whole move, where the others
/// are some tenths slower.
const UNAVAILABLE: u64 = 100;

/// A server with this many times the tolerated deviation below the mean counts
/// as underloaded. It exceeds one, since an idle server harms nobody.
const UNDERLOAD: u64 = 2;

/// A move that could be made.
struct Offer {
    place: ledger::Place,
    choice: fleet::Choice,
    cause: cause::Cause,
    net: u64,
}

/// The most loaded server that is being relieved.
struct Source {
    server: id::Server,
    service: id::Service,
    stand: pool::Stand,
    weights: service::Weights,
    total: u64,
}

impl planner::Planner {
    pub(super) fn balance(&mut self, now: clock::Instant, actions: &mut Vec<action::Action>) {
        let services: Vec<_> = self.books.keys().copied().collect();
        for service in services {
            let pool = self.fleet.pool_mut(service);
            if !pool.is_touched && !pool.is_active {
                continue;
            }
            let idle_until = pool.idle_until;
            if now < idle_until {
                self.look_again(idle_until);
                continue;
            }
            while self.balance_once(now, service, actions) {}
            self.fleet.pool_mut(service).is_touched = false;
        }
    }

    /// Starts at most one move; returns whether to go on.
    fn balance_once(
        &mut self,
        now: clock::Instant,
        service: id::Service,
        actions: &mut Vec<action::Action>,
    ) -> bool {
        let is_uneven = self.is_uneven(service);
        self.fleet.pool_mut(service).is_active = is_uneven;
        if !is_uneven {
            return false;
        }
        let may = self.ledger.may_balance(now, &self.config);
        if !may || !self.ledger.has_room(&self.config) {
            self.look_again(now + self.config.budget_window / 10);
            return false;
        }
        let Some(pool) = self.fleet.pool(service) else {
            return false;
        };
        for (_, server) in pool.most_loaded(TRIED) {
            let Some(source) = self.source(server, service) else {
                continue;
            };
            if let Some(offer) = self.best_offer(now, &source) {
                let moved = self.relocate(now, offer.place, offer.choice, offer.cause, actions);
                if moved {
                    self.ledger.spend(now);
                }
                return moved;
            }
            self.split_large(now, &source, actions);
        }
        // Slices that rest may move later.
        self.fleet.pool_mut(service).idle_until = now + IDLE;
        self.look_again(now + IDLE);
        false
    }

    /// Tells whether the pool deviates from the mean by more than is
    /// tolerated, or by more than half of that if it is being balanced.
    fn is_uneven(&self, service: id::Service) -> bool {
        let Some(pool) = self.fleet.pool(service) else {
            return false;
        };
        if pool.ready() < 2 {
            return false;
        }
        let halves = if pool.is_active { 1 } else { 2 };
        let tolerance = self.tolerance(service) * halves / 2;
        let highest = pool.most_loaded(1);
        let highest = highest.first().map_or(0, |(score, _)| *score);
        let lowest = self.fleet.choose(service, 0, None);
        let lowest = lowest.map_or(highest, |choice| choice.stand.score());
        pool.relative(highest).0 > 1_000 + tolerance
            || pool.relative(lowest).0 + UNDERLOAD * tolerance < 1_000
    }

    /// Returns what is tolerated: less the more imbalance counts against the
    /// mean of the two other measures, from a half to three halves.
    fn tolerance(&self, service: id::Service) -> u64 {
        let usual = self.config.tolerance;
        let weights = self.books.get(&service).map(|book| book.weights);
        let weights = weights.unwrap_or_default();
        let others = u64::from(weights.churn) + u64::from(weights.unavailable);
        let own = 2 * u64::from(weights.imbalance).max(1);
        scaled(usual, own, others).clamp(usual / 2, usual + usual / 2)
    }

    fn source(&self, server: id::Server, service: id::Service) -> Option<Source> {
        let book = self.books.get(&service)?;
        let pool = self.fleet.pool(service)?;
        let stand = self.fleet.stand(server, service)?;
        let is_above = pool.relative(stand.score()).0 > 1_000;
        is_above.then_some(Source {
            server,
            service,
            stand,
            weights: book.weights,
            total: book::to_load(book.rate + pool.base),
        })
    }

    /// Returns the move off the server that pays most, if any pays.
    ///
    /// The target is the best one for a slice of average weight; to choose
    /// anew for each slice costs ten times the time and seldom differs.
    fn best_offer(&self, now: clock::Instant, source: &Source) -> Option<Offer> {
        let places: Vec<_> = self
            .fleet
            .slices(source.server, source.service)
            .filter(|place| self.may_balance(now, *place))
            .map(|place| (place, self.weight(place)))
            .collect();
        let total: u64 = places.iter().map(|(_, weight)| weight).sum();
        let average = total.checked_div(places.len() as u64)?;
        let choice = self
            .fleet
            .choose(source.service, average, Some(source.server))?;
        let offers = places
            .into_iter()
            .filter_map(|(place, weight)| self.offer(source, place, weight, choice));
        // Of equal offers the first, so that decisions are reproducible.
        offers.reduce(|best, offer| if offer.net > best.net { offer } else { best })
    }

    fn may_balance(&self, now: clock::Instant, place: ledger::Place) -> bool {
        let Some(slice) = self.slice(place) else {
            return false;
        };
        let rested = slice.changed + self.config.cooldown <= now;
        slice.holder.is_some()
            && rested
            && !self.ledger.is_busy(place)
            && self.pin_of(place).is_none()
    }

    fn offer(
        &self,
        source: &Source,
        place: ledger::Place,
        weight: u64,
        choice: fleet::Choice,
    ) -> Option<Offer> {
        let pool = self.fleet.pool(source.service)?;
        let before = source.stand.score();
        let source_after = source.stand.without(weight).score();
        let after = source_after.max(choice.stand.with(weight).score());
        let relieved = relieved(source.stand, before, after).min(weight);
        let gain = self.gain(source, relieved);
        let cost = self.cost(source, weight);
        let net = gain.checked_sub(cost).filter(|net| *net > 0)?;
        Some(Offer {
            place,
            choice,
            cause: cause::Cause::Imbalance {
                holder: pool.relative(before),
                target: pool.relative(choice.stand.score()),
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

    fn cost(&self, source: &Source, weight: u64) -> u64 {
        let cold = self.config.warm_up.as_millis() as u64;
        let out = self.config.move_time.as_millis() as u64 * UNAVAILABLE;
        let weights = source.weights;
        let weighted = u64::from(weights.churn) * cold + u64::from(weights.unavailable) * out;
        scaled(weight, source.total, weighted)
    }

    /// Splits the heaviest slice of a server that no single move relieves.
    fn split_large(
        &mut self,
        now: clock::Instant,
        source: &Source,
        actions: &mut Vec<action::Action>,
    ) {
        let mean = self.fleet.pool(source.service).map_or(0, pool::Pool::mean);
        let places = self.fleet.slices(source.server, source.service);
        let weighed = places.map(|place| (self.weight(place), place));
        let Some((weight, place)) = weighed.max() else {
            return;
        };
        let share = scaled(weight, mean.max(1), 1_000);
        if share >= self.config.hot_key && self.may_balance(now, place) {
            self.halve(now, place, cause::Cause::Large { share }, actions);
        }
    }
}

/// Returns how much load is no longer above what the servers will have.
fn relieved(stand: pool::Stand, before: u64, after: u64) -> u64 {
    let gap = u128::from(before.saturating_sub(after));
    let load = u128::from(stand.load) * gap / u128::from(before.max(1));
    u64::try_from(load / 2).unwrap_or(u64::MAX)
}

fn scaled(part: u64, whole: u64, factor: u64) -> u64 {
    let product = u128::from(part) * u128::from(factor) / u128::from(whole);
    u64::try_from(product).unwrap_or(u64::MAX)
}
