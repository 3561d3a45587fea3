//! Slices that must go somewhere: vacant ones, pinned ones, and those of
//! servers that leave.

use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_model::key;

use crate::action;
use crate::cause;
use crate::planner;
use crate::planner::fleet;
use crate::planner::ledger;

impl planner::Planner {
    /// Assigns vacant slices, the heaviest first, so that the light ones even
    /// out what the heavy ones leave.
    ///
    /// What exceeds the bound of a round is due in the next one, at once.
    pub(super) fn assign(&mut self, now: clock::Instant, actions: &mut Vec<action::Action>) {
        let is_open = |service: &id::Service| {
            let pool = self.fleet.pool(*service);
            pool.is_some_and(|pool| pool.ready() > 0)
        };
        let services = self.books.keys().copied().filter(is_open);
        let vacant = services.flat_map(|service| {
            let all = (service, key::Hash::MIN)..=(service, key::Hash::MAX);
            self.vacant.range(all).copied()
        });
        let first = vacant.take(self.config.max_assignments);
        let mut due: Vec<_> = first.map(|place| (self.weight(place), place)).collect();
        if due.len() == self.config.max_assignments {
            self.look_again(now);
        }
        due.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(&b.1)));
        for (weight, place) in due {
            let Some((choice, cause)) = self.home(place, weight) else {
                continue;
            };
            self.start(now, place, ledger::Kind::Assign(choice.target));
            // The next choice has to see the load of this one.
            self.fleet.refresh(now, &self.config);
            actions.push(action::Action::Assign {
                service: place.0,
                start: place.1,
                to: choice.target,
                cause,
            });
        }
    }

    fn home(&self, place: ledger::Place, weight: u64) -> Option<(fleet::Choice, cause::Cause)> {
        let pinned = self.pin_of(place).map(|pin| pin.server);
        let pinned = pinned.and_then(|server| self.fleet.chosen(server, place.0));
        if let Some(choice) = pinned {
            return Some((choice, cause::Cause::Pinned));
        }
        let choice = self.fleet.choose(place.0, weight, None)?;
        let pool = self.fleet.pool(place.0)?;
        let target = pool.relative(choice.stand.score());
        Some((choice, cause::Cause::Vacant { target }))
    }

    /// Splits tables at the ends of pinned ranges and moves what is elsewhere.
    pub(super) fn pin(&mut self, now: clock::Instant, actions: &mut Vec<action::Action>) {
        let loose: Vec<_> = self.loose.iter().copied().collect();
        for place in loose {
            if self.pin_one(now, place, actions) {
                self.loose.remove(&place);
            }
        }
    }

    /// Returns whether the pin needs no more work.
    fn pin_one(
        &mut self,
        now: clock::Instant,
        place: ledger::Place,
        actions: &mut Vec<action::Action>,
    ) -> bool {
        let Some(pin) = self.pins.get(&place).copied() else {
            return true;
        };
        let Some(book) = self.books.get(&pin.service) else {
            return false;
        };
        let after = pin.range.last.0.checked_add(1).map(key::Hash);
        for end in [Some(pin.range.first), after].into_iter().flatten() {
            let start = book.find(end);
            if start != end {
                return self.split_for_pin(now, (pin.service, start), end, actions);
            }
        }
        let Some(choice) = self.fleet.chosen(pin.server, pin.service) else {
            return false;
        };
        let slices = book.iter_from(pin.range.first);
        let inside = slices.take_while(|(start, _)| pin.range.contains(*start));
        let is_elsewhere = |holder: id::Server| holder != pin.server;
        let elsewhere: Vec<_> = inside
            .filter(|(_, slice)| {
                slice
                    .holder
                    .is_none_or(|holder| is_elsewhere(holder.server))
            })
            .map(|(start, _)| (pin.service, start))
            .collect();
        for place in &elsewhere {
            self.relocate(now, *place, choice, cause::Cause::Pinned, actions);
        }
        elsewhere.is_empty()
    }

    fn split_for_pin(
        &mut self,
        now: clock::Instant,
        place: ledger::Place,
        at: key::Hash,
        actions: &mut Vec<action::Action>,
    ) -> bool {
        if !self.ledger.is_busy(place) {
            self.start(now, place, ledger::Kind::Split { last: at });
            actions.push(action::Action::Split {
                service: place.0,
                at,
                cause: cause::Cause::Pinned,
            });
        }
        false
    }

    /// Moves slices away from servers that leave, within the bounds of moves.
    pub(super) fn evacuate(&mut self, now: clock::Instant, actions: &mut Vec<action::Action>) {
        let leaving: Vec<_> = self.fleet.leaving().collect();
        for server in leaving {
            if !self.ledger.has_room(&self.config) {
                break;
            }
            self.evacuate_one(now, server, actions);
        }
    }

    fn evacuate_one(
        &mut self,
        now: clock::Instant,
        server: id::Server,
        actions: &mut Vec<action::Action>,
    ) {
        let slices: Vec<_> = self.fleet.all_slices(server).collect();
        for place in slices {
            if !self.ledger.may_move(&self.config, server) {
                break;
            }
            let reason = self
                .fleet
                .reason_to_leave(now, &self.config, server, place.0);
            let Some(cause) = reason else {
                continue;
            };
            let weight = self.weight(place);
            if let Some(choice) = self.fleet.choose(place.0, weight, Some(server)) {
                self.relocate(now, place, choice, cause, actions);
            }
        }
    }

    /// Starts a move unless the slice is busy, vacant or there already, or the
    /// bounds of moves are reached; returns whether it started.
    pub(super) fn relocate(
        &mut self,
        now: clock::Instant,
        place: ledger::Place,
        choice: fleet::Choice,
        cause: cause::Cause,
        actions: &mut Vec<action::Action>,
    ) -> bool {
        let Some(from) = self.slice(place).and_then(|slice| slice.holder) else {
            return false;
        };
        let known = self.fleet.incarnation(from.server) == Some(from.incarnation);
        let may = known && self.ledger.may_move(&self.config, from.server);
        if !may || self.ledger.is_busy(place) || from.server == choice.target.server {
            return false;
        }
        let kind = ledger::Kind::Move {
            from: from.server,
            to: choice.target,
        };
        self.start(now, place, kind);
        self.fleet.refresh(now, &self.config);
        actions.push(action::Action::Move {
            service: place.0,
            start: place.1,
            from,
            to: choice.target,
            cause,
        });
        true
    }
}
