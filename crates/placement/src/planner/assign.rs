//! Mandatory placement: assigns vacant slices, moves pinned ones to their server
//! and evacuates servers that may not keep their slices.

use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_model::key;

use crate::action;
use crate::cause;
use crate::planner;
use crate::planner::fleet;
use crate::planner::pending;

impl planner::Planner {
    /// Assigns vacant slices in descending order of load, so that the small
    /// ones even out the differences that the large ones leave.
    ///
    /// Slices above the limit of a round are due in the next round, immediately.
    pub(super) fn assign_vacant(&mut self, now: clock::Instant, actions: &mut Vec<action::Action>) {
        let has_ready_server = |service: &id::Service| {
            let pool = self.fleet.pool(*service);
            pool.is_some_and(|pool| pool.ready() > 0)
        };
        let services = self.slice_maps.keys().copied().filter(has_ready_server);
        let vacant = services.flat_map(|service| {
            let range = (service, key::Hash::MIN)..=(service, key::Hash::MAX);
            self.vacant.range(range).copied()
        });
        let limited = vacant.take(self.config.max_assignments);
        let mut due: Vec<_> = limited
            .map(|place| (self.slice_load(place), place))
            .collect();
        if due.len() == self.config.max_assignments {
            self.schedule_recheck(now);
        }
        due.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(&b.1)));
        for (slice_load, place) in due {
            let Some((choice, cause)) = self.choose_target(place, slice_load) else {
                continue;
            };
            self.start_action(now, place, pending::Kind::Assign(choice.target));
            // The next choice must include the load of this assignment.
            self.fleet.refresh(now, &self.config);
            actions.push(action::Action::Assign {
                service: place.0,
                start: place.1,
                to: choice.target,
                cause,
            });
        }
    }

    fn choose_target(
        &self,
        place: pending::Place,
        slice_load: u64,
    ) -> Option<(fleet::Choice, cause::Cause)> {
        let pinned = self.find_pin(place).map(|pin| pin.server);
        let pinned = pinned.and_then(|server| self.fleet.choice_of(server, place.0));
        if let Some(choice) = pinned {
            return Some((choice, cause::Cause::Pinned));
        }
        let choice = self.fleet.choose(place.0, slice_load, None)?;
        let pool = self.fleet.pool(place.0)?;
        let target = pool.relative(choice.utilization.score());
        Some((choice, cause::Cause::Vacant { target }))
    }

    /// Splits slices at the boundaries of pinned ranges and moves the pinned
    /// slices that are on another server.
    pub(super) fn apply_pins(&mut self, now: clock::Instant, actions: &mut Vec<action::Action>) {
        let unsettled_pins: Vec<_> = self.unsettled_pins.iter().copied().collect();
        for place in unsettled_pins {
            if self.apply_pin(now, place, actions) {
                self.unsettled_pins.remove(&place);
            }
        }
    }

    /// Applies a pin; returns whether nothing remains to be done for it.
    fn apply_pin(
        &mut self,
        now: clock::Instant,
        place: pending::Place,
        actions: &mut Vec<action::Action>,
    ) -> bool {
        let Some(pin) = self.pins.get(&place).copied() else {
            return true;
        };
        let Some(slice_map) = self.slice_maps.get(&pin.service) else {
            return false;
        };
        let after = pin.range.last.0.checked_add(1).map(key::Hash);
        for boundary in [Some(pin.range.first), after].into_iter().flatten() {
            let start = slice_map.find(boundary);
            if start != boundary {
                return self.split_for_pin(now, (pin.service, start), boundary, actions);
            }
        }
        let Some(choice) = self.fleet.choice_of(pin.server, pin.service) else {
            return false;
        };
        let slices = slice_map.iter_from(pin.range.first);
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
        place: pending::Place,
        at: key::Hash,
        actions: &mut Vec<action::Action>,
    ) -> bool {
        if !self.pending.is_busy(place) {
            self.start_action(now, place, pending::Kind::Split { last: at });
            actions.push(action::Action::Split {
                service: place.0,
                at,
                cause: cause::Cause::Pinned,
            });
        }
        false
    }

    /// Moves slices away from servers that may not keep them, within the limits
    /// on concurrent moves.
    pub(super) fn evacuate(&mut self, now: clock::Instant, actions: &mut Vec<action::Action>) {
        let evacuating: Vec<_> = self.fleet.evacuating().collect();
        for server in evacuating {
            if !self.pending.has_move_capacity(&self.config) {
                break;
            }
            self.evacuate_server(now, server, actions);
        }
    }

    fn evacuate_server(
        &mut self,
        now: clock::Instant,
        server: id::Server,
        actions: &mut Vec<action::Action>,
    ) {
        let slices: Vec<_> = self.fleet.all_slices(server).collect();
        for place in slices {
            if !self.pending.has_move_capacity_from(&self.config, server) {
                break;
            }
            let reason = self
                .fleet
                .evacuation_cause(now, &self.config, server, place.0);
            let Some(cause) = reason else {
                continue;
            };
            let slice_load = self.slice_load(place);
            if let Some(choice) = self.fleet.choose(place.0, slice_load, Some(server)) {
                self.relocate(now, place, choice, cause, actions);
            }
        }
    }

    /// Starts a move unless the slice is busy, vacant or already on the target,
    /// or the limits on concurrent moves are reached; returns whether it started.
    pub(super) fn relocate(
        &mut self,
        now: clock::Instant,
        place: pending::Place,
        choice: fleet::Choice,
        cause: cause::Cause,
        actions: &mut Vec<action::Action>,
    ) -> bool {
        let Some(from) = self.slice(place).and_then(|slice| slice.holder) else {
            return false;
        };
        let is_current = self.fleet.incarnation(from.server) == Some(from.incarnation);
        let is_allowed = is_current
            && self
                .pending
                .has_move_capacity_from(&self.config, from.server);
        if !is_allowed || self.pending.is_busy(place) || from.server == choice.target.server {
            return false;
        }
        let kind = pending::Kind::Move {
            from: from.server,
            to: choice.target,
        };
        self.start_action(now, place, kind);
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
