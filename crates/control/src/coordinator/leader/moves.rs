//! Slices that change hands: what the planner asks for, carried out step by step.
//!
//! A planned move is prepare, release, assign. Once a holder was asked to
//! release a slice it serves it no more, so a move is never abandoned: if the
//! target is gone by then, the planner names another one.

use std::time::Duration;

use sequoiayoke_lease::registry;
use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_model::range;
use sequoiayoke_model::table;
use sequoiayoke_model::view;
use sequoiayoke_placement::action;
use sequoiayoke_placement::pin;
use sequoiayoke_placement::service;
use sequoiayoke_state::command;
use sequoiayoke_state::machine;
use sequoiayoke_state::ticket;
use sequoiayoke_wire::session;

use super::{Leader, Proposal, Waiter};
use crate::coordinator::event;

/// Moves in one command, so that it stays far below the frame limit.
const MOVES_PER_COMMAND: usize = 1_000;

/// Time after which a release that was not confirmed is asked for again.
///
/// A node ignores the request while its backend server has not taken the grant yet.
const RELEASE_REPEAT: Duration = Duration::from_millis(250);

/// A planned move that has started.
#[derive(Clone, Debug)]
pub(super) struct Transfer {
    from: table::Holder,
    to: action::Target,
    cause: String,
    // When the holder was last asked to release the slice.
    asked: clock::Instant,
}

/// A slice that its holder has released.
#[derive(Clone, Debug)]
pub(super) struct Released {
    epoch: id::Epoch,
    window: Option<session::Window>,
}

impl Leader {
    /// Gives the planner the whole state.
    pub(super) fn load_plan(&mut self, machine: &machine::Machine, now: clock::Instant) {
        for (id, service) in machine.services() {
            self.planner.service_changed(id, &weights(service));
        }
        for (id, table) in machine.view().tables() {
            self.planner.table_loaded(now, id, table);
        }
        self.load_pins(machine);
    }

    fn load_pins(&mut self, machine: &machine::Machine) {
        for (pinned, name) in machine.pins() {
            if let Some((server, _)) = machine.server_named(name) {
                let at = range::Range {
                    first: pinned.hash,
                    last: pinned.hash,
                };
                self.planner.pin_changed(&pin::Pin {
                    service: pinned.service,
                    range: at,
                    server,
                });
            }
        }
    }

    pub(super) fn note_change(
        &mut self,
        now: clock::Instant,
        machine: &machine::Machine,
        change: &view::Change,
    ) {
        self.plan_due = true;
        match change {
            view::Change::Service(id, _) => {
                if let Some(service) = machine.service(*id) {
                    self.planner.service_changed(*id, &weights(service));
                }
                // Servers may have announced the service before it was made.
                let servers: Vec<_> = self.members.keys().map(|one| one.server).collect();
                for server in servers {
                    self.note_server(machine, server);
                }
            }
            view::Change::Server(id, _) => {
                if self.has_session(*id) {
                    self.note_server(machine, *id);
                }
            }
            view::Change::ServerGone(id) => {
                self.planner.server_removed(*id);
                self.health.remove(id);
            }
            view::Change::Slice(service, slice) => {
                let place = (*service, slice.start);
                self.actions.remove(&place);
                self.transfers.remove(&place);
                self.released.remove(&place);
                self.planner.slice_changed(now, *service, slice);
                self.vacancy.changed(now, *service, slice);
            }
            view::Change::SliceMerged(service, start) => {
                self.actions.remove(&(*service, *start));
                self.planner.slice_merged(*service, *start);
                self.vacancy.ended(now, (*service, *start));
            }
            view::Change::Caller(..) => {}
        }
    }

    /// Tells whether the node of this server has a session with this leader.
    fn has_session(&self, id: id::Server) -> bool {
        let first = registry::Member::new(id, id::Incarnation(u64::MIN));
        let last = registry::Member::new(id, id::Incarnation(u64::MAX));
        self.members.range(first..=last).next().is_some()
    }

    /// Tells the planner that what it asked for at this place did not happen.
    fn fail(&mut self, now: clock::Instant, place: super::Place) {
        if let Some(action) = self.actions.remove(&place) {
            self.planner.action_failed(now, &action);
        }
    }

    pub(super) fn note_command(
        &mut self,
        now: clock::Instant,
        machine: &machine::Machine,
        applied: &super::Applied,
    ) {
        match &applied.command {
            command::Command::Leave {
                server,
                incarnation,
            } => {
                let member = registry::Member::new(*server, *incarnation);
                self.leases.remove(member);
                self.ending.remove(&member);
            }
            command::Command::Assign(moves) => self.note_assign(now, machine, moves, applied),
            command::Command::Split { service, at } | command::Command::Merge { service, at } => {
                if applied.result.is_err() {
                    self.fail(now, (*service, *at));
                }
            }
            command::Command::Ticket(ticket) => self.note_ticket(machine, ticket, applied),
            command::Command::Join(_) => {}
        }
    }

    fn note_ticket(
        &mut self,
        machine: &machine::Machine,
        ticket: &ticket::Ticket,
        applied: &super::Applied,
    ) {
        if applied.result.is_err() {
            return;
        }
        self.load_pins(machine);
        for object in &ticket.objects {
            if let ticket::Object::Pin(pin) = object
                && pin.server.is_none()
                && let Some((service, _)) = machine.view().service(&pin.service)
            {
                let hash = key::Hash::new(&pin.scope, &pin.key);
                self.planner.pin_removed(service, hash);
            }
        }
        self.plan_due = true;
    }

    fn note_assign(
        &mut self,
        now: clock::Instant,
        machine: &machine::Machine,
        moves: &[command::Move],
        applied: &super::Applied,
    ) {
        for one in moves {
            let table = machine.view().table(one.service);
            let holder = table.and_then(|table| table.get(one.start)?.holder);
            let epoch = id::Epoch(applied.position.index.0);
            if holder.is_none_or(|holder| holder.epoch != epoch) {
                self.fail(now, (one.service, one.start));
                self.plan_due = true;
            }
        }
    }

    /// Carries out what the planner asks for.
    pub(super) fn plan(&mut self, now: clock::Instant, machine: &machine::Machine) {
        let mut moves = Vec::new();
        for action in self.planner.plan(now) {
            log(machine, &action);
            let place = (action.service(), action.position());
            self.actions.insert(place, action);
            let measure = &self.config.measure;
            measure.placed(action.kind(), action.cause().as_str());
            match action {
                action::Action::Assign {
                    service,
                    start,
                    to,
                    cause,
                } => {
                    let place = (service, start);
                    let expected = self.released.get(&place).map(|one| one.epoch);
                    self.hand_window(place, to);
                    moves.push(command::Move {
                        service,
                        start,
                        server: to.server,
                        incarnation: to.incarnation,
                        expected,
                        cause: cause.to_string(),
                    });
                }
                action::Action::Move {
                    service,
                    start,
                    from,
                    to,
                    cause,
                } => {
                    let transfer = Transfer {
                        from,
                        to,
                        cause: cause.to_string(),
                        asked: now,
                    };
                    self.start_transfer((service, start), transfer);
                }
                action::Action::Split { service, at, .. } => {
                    self.propose(command::Command::Split { service, at });
                }
                action::Action::Merge { service, at, .. } => {
                    self.propose(command::Command::Merge { service, at });
                }
            }
        }
        for part in moves.chunks(MOVES_PER_COMMAND) {
            self.propose(command::Command::Assign(part.to_vec()));
        }
    }

    fn start_transfer(&mut self, place: super::Place, transfer: Transfer) {
        if let Some(target) = self.session_of(transfer.to) {
            self.send(
                target,
                session::Prepare {
                    service: place.0.0,
                    start: place.1.0,
                    window: None,
                    epoch: transfer.from.epoch.0,
                },
            );
        }
        self.ask_release(place, &transfer);
        self.transfers.insert(place, transfer);
    }

    fn ask_release(&mut self, place: super::Place, transfer: &Transfer) {
        let from = action::Target {
            server: transfer.from.server,
            incarnation: transfer.from.incarnation,
        };
        if let Some(holder) = self.session_of(from) {
            self.send(
                holder,
                session::Release {
                    service: place.0.0,
                    start: place.1.0,
                    epoch: transfer.from.epoch.0,
                },
            );
        }
    }

    /// Asks again for releases that are late.
    pub(super) fn repeat_late_releases(&mut self, now: clock::Instant) {
        let mut late = Vec::new();
        for (place, transfer) in &mut self.transfers {
            let waits = !self.released.contains_key(place);
            if waits && now >= transfer.asked + RELEASE_REPEAT {
                transfer.asked = now;
                late.push((*place, transfer.clone()));
            }
        }
        for (place, transfer) in late {
            self.ask_release(place, &transfer);
        }
    }

    /// Returns when [`Leader::repeat_late_releases`] is due.
    pub(super) fn next_release(&self) -> Option<clock::Instant> {
        let waiting = self.transfers.iter();
        let waiting = waiting.filter(|(place, _)| !self.released.contains_key(place));
        let due = waiting.map(|(_, transfer)| transfer.asked + RELEASE_REPEAT);
        due.min()
    }

    /// Asks again for releases that a node may have missed while it had no session.
    pub(super) fn repeat_releases(&mut self, member: registry::Member) {
        let missed: Vec<_> = self
            .transfers
            .iter()
            .filter(|(_, one)| one.from.incarnation == member.incarnation)
            .map(|(place, one)| (*place, one.clone()))
            .collect();
        for (place, transfer) in missed {
            self.ask_release(place, &transfer);
        }
    }

    /// A node has released a slice.
    pub(super) fn released(
        &mut self,
        now: clock::Instant,
        machine: &machine::Machine,
        member: registry::Member,
        released: session::Released,
    ) {
        let place = (id::Service(released.service), key::Hash(released.start));
        let epoch = id::Epoch(released.epoch);
        let table = machine.view().table(place.0);
        let slice = table.and_then(|table| table.get(place.1));
        let held = slice.and_then(|slice| slice.holder).is_some_and(|holder| {
            holder.incarnation == member.incarnation && holder.epoch == epoch
        });
        if !held {
            return;
        }
        let window = released.window;
        self.released.insert(place, Released { epoch, window });
        let transfer = self.transfers.get(&place).cloned();
        let ready = transfer.filter(|one| is_present(machine, one.to));
        match ready {
            Some(transfer) => self.finish_transfer(place, epoch, transfer),
            None => self.replan(now, machine, member, place),
        }
    }

    fn finish_transfer(&mut self, place: super::Place, epoch: id::Epoch, transfer: Transfer) {
        self.hand_window(place, transfer.to);
        self.propose(command::Command::Assign(vec![command::Move {
            service: place.0,
            start: place.1,
            server: transfer.to.server,
            incarnation: transfer.to.incarnation,
            expected: Some(epoch),
            cause: transfer.cause,
        }]));
    }

    /// A slice was released without a target: its node stops, or the target is gone.
    fn replan(
        &mut self,
        now: clock::Instant,
        machine: &machine::Machine,
        member: registry::Member,
        place: super::Place,
    ) {
        if !self.transfers.contains_key(&place) && self.leaving.insert(member.server) {
            self.note_server(machine, member.server);
        }
        let vacant = table::Slice {
            start: place.1,
            holder: None,
        };
        self.planner.slice_changed(now, place.0, &vacant);
        self.plan_due = true;
    }

    /// Gives the record of request ids to the next owner, ahead of its grant.
    fn hand_window(&mut self, place: super::Place, to: action::Target) {
        let Some(released) = self.released.get(&place).cloned() else {
            return;
        };
        if let (Some(target), Some(window)) = (self.session_of(to), released.window) {
            self.send(
                target,
                session::Prepare {
                    service: place.0.0,
                    start: place.1.0,
                    window: Some(window),
                    epoch: released.epoch.0,
                },
            );
        }
    }

    fn session_of(&self, target: action::Target) -> Option<event::Session> {
        let member = registry::Member::new(target.server, target.incarnation);
        self.members.get(&member).copied()
    }

    pub(super) fn not_proposed(&mut self, now: clock::Instant, proposal: Proposal) {
        match &proposal.command {
            command::Command::Assign(moves) => {
                for one in moves {
                    self.fail(now, (one.service, one.start));
                }
            }
            command::Command::Split { service, at } | command::Command::Merge { service, at } => {
                self.fail(now, (*service, *at));
            }
            command::Command::Leave {
                server,
                incarnation,
            } => {
                let member = registry::Member::new(*server, *incarnation);
                self.ending.remove(&member);
            }
            command::Command::Ticket(_) | command::Command::Join(_) => {}
        }
        self.plan_due = true;
        self.lost(proposal.waiter);
    }

    pub(super) fn lost(&mut self, waiter: Waiter) {
        match waiter {
            Waiter::Nobody => {}
            // The node connects again and repeats its `Hello`.
            Waiter::Join(session) => self.close(session),
            Waiter::Ticket(_, reply) => {
                let _ = reply.send(Err(sequoiayoke_api::error::Error::Unknown {
                    detail: "the leader changed; submit the same ticket again".to_owned(),
                }));
            }
        }
    }
}

fn weights(service: &ticket::Service) -> service::Weights {
    service::Weights {
        imbalance: scaled(service.weights.imbalance),
        churn: scaled(service.weights.churn),
        unavailable: scaled(service.weights.unavailable),
    }
}

/// The planner calculates in integers, so that all replicas decide alike.
fn scaled(weight: f64) -> u32 {
    (weight * 1_000.0).round().min(1e9) as u32
}

fn is_present(machine: &machine::Machine, target: action::Target) -> bool {
    let record = machine.server(target.server);
    let run = record.and_then(|record| record.run.as_ref());
    run.is_some_and(|run| run.incarnation == target.incarnation)
}

fn log(machine: &machine::Machine, action: &action::Action) {
    let service = machine.service(action.service());
    let name = |id: id::Server| machine.server(id).map_or("", |one| one.name.as_str());
    let (from, to) = match action {
        action::Action::Assign { to, .. } => ("", name(to.server)),
        action::Action::Move { from, to, .. } => (name(from.server), name(to.server)),
        action::Action::Split { .. } | action::Action::Merge { .. } => ("", ""),
    };
    tracing::info!(
        target: "sequoiayoke::placement",
        service = service.map_or("", |one| one.name.as_str()),
        first = %action.position(),
        from,
        to,
        cause = %action.cause(),
        "placement"
    );
}
