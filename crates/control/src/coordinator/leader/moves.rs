//! Execution of the planner's actions.
//!
//! A planned move consists of prepare, release and assign. A holder that was asked to release
//! a slice stops serving it, so a move is never abandoned: if the target has ended by then,
//! the planner chooses another one.

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

/// Most moves in one command, so that it stays far below the frame limit.
const MOVES_PER_COMMAND: usize = 1_000;

/// Time after which the request for a release that was not confirmed is retried.
///
/// A node ignores the request while its backend server has not accepted the grant yet.
const RELEASE_RETRY: Duration = Duration::from_millis(250);

/// A planned move that has started.
#[derive(Clone, Debug)]
pub(super) struct Transfer {
    from: table::Holder,
    to: action::Target,
    cause: String,
    // When the holder was last asked to release the slice.
    requested_at: clock::Instant,
}

/// A slice that its holder has released.
#[derive(Clone, Debug)]
pub(super) struct Released {
    epoch: id::Epoch,
    window: Option<session::Window>,
}

impl Leader {
    /// Loads the whole state into the planner.
    pub(super) fn load_planner(&mut self, machine: &machine::Machine, now: clock::Instant) {
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
                let hash_range = range::Range {
                    first: pinned.hash,
                    last: pinned.hash,
                };
                self.planner.pin_changed(&pin::Pin {
                    service: pinned.service,
                    range: hash_range,
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
                // Servers may have announced the service before it was created.
                let servers: Vec<_> = self.members.keys().map(|member| member.server).collect();
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
                let slice_id = (*service, slice.start);
                self.actions.remove(&slice_id);
                self.transfers.remove(&slice_id);
                self.released.remove(&slice_id);
                self.planner.slice_changed(now, *service, slice);
                self.vacancy.record(now, *service, slice);
            }
            view::Change::SliceMerged(service, start) => {
                self.actions.remove(&(*service, *start));
                self.planner.slice_merged(*service, *start);
                self.vacancy.end(now, (*service, *start));
            }
            view::Change::Caller(..) => {}
        }
    }

    /// Returns whether the node of this server has a session with this leader.
    fn has_session(&self, id: id::Server) -> bool {
        let first = registry::Member::new(id, id::Incarnation(u64::MIN));
        let last = registry::Member::new(id, id::Incarnation(u64::MAX));
        self.members.range(first..=last).next().is_some()
    }

    /// Reports to the planner that its action on this slice did not take effect.
    fn fail_action(&mut self, now: clock::Instant, slice_id: super::SliceId) {
        if let Some(action) = self.actions.remove(&slice_id) {
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
                    self.fail_action(now, (*service, *at));
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
        for planned in moves {
            let table = machine.view().table(planned.service);
            let holder = table.and_then(|table| table.get(planned.start)?.holder);
            let epoch = id::Epoch(applied.position.index.0);
            if holder.is_none_or(|holder| holder.epoch != epoch) {
                self.fail_action(now, (planned.service, planned.start));
                self.plan_due = true;
            }
        }
    }

    /// Makes a plan and starts its actions.
    pub(super) fn plan(&mut self, now: clock::Instant, machine: &machine::Machine) {
        let mut moves = Vec::new();
        for action in self.planner.plan(now) {
            log_action(machine, &action);
            let slice_id = (action.service(), action.position());
            self.actions.insert(slice_id, action);
            let measure = &self.config.measure;
            measure.placed(action.kind(), action.cause().as_str());
            match action {
                action::Action::Assign {
                    service,
                    start,
                    to,
                    cause,
                } => {
                    let slice_id = (service, start);
                    let expected = self.released.get(&slice_id).map(|released| released.epoch);
                    self.send_window(slice_id, to);
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
                        requested_at: now,
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
        for chunk in moves.chunks(MOVES_PER_COMMAND) {
            self.propose(command::Command::Assign(chunk.to_vec()));
        }
    }

    fn start_transfer(&mut self, slice_id: super::SliceId, transfer: Transfer) {
        if let Some(target) = self.session_of(transfer.to) {
            self.send(
                target,
                session::Prepare {
                    service: slice_id.0.0,
                    start: slice_id.1.0,
                    window: None,
                    epoch: transfer.from.epoch.0,
                },
            );
        }
        self.request_release(slice_id, &transfer);
        self.transfers.insert(slice_id, transfer);
    }

    fn request_release(&mut self, slice_id: super::SliceId, transfer: &Transfer) {
        let from = action::Target {
            server: transfer.from.server,
            incarnation: transfer.from.incarnation,
        };
        if let Some(holder) = self.session_of(from) {
            self.send(
                holder,
                session::Release {
                    service: slice_id.0.0,
                    start: slice_id.1.0,
                    epoch: transfer.from.epoch.0,
                },
            );
        }
    }

    /// Retries the requests for releases that are late.
    pub(super) fn retry_late_releases(&mut self, now: clock::Instant) {
        let mut late = Vec::new();
        for (slice_id, transfer) in &mut self.transfers {
            let is_waiting = !self.released.contains_key(slice_id);
            if is_waiting && now >= transfer.requested_at + RELEASE_RETRY {
                transfer.requested_at = now;
                late.push((*slice_id, transfer.clone()));
            }
        }
        for (slice_id, transfer) in late {
            self.request_release(slice_id, &transfer);
        }
    }

    /// Returns when [`Leader::retry_late_releases`] is due.
    pub(super) fn next_release_retry(&self) -> Option<clock::Instant> {
        let waiting = self.transfers.iter();
        let waiting = waiting.filter(|(slice_id, _)| !self.released.contains_key(slice_id));
        let due = waiting.map(|(_, transfer)| transfer.requested_at + RELEASE_RETRY);
        due.min()
    }

    /// Retries the requests for releases that a node may have missed while it had no session.
    pub(super) fn retry_releases(&mut self, member: registry::Member) {
        let missed: Vec<_> = self
            .transfers
            .iter()
            .filter(|(_, transfer)| transfer.from.incarnation == member.incarnation)
            .map(|(slice_id, transfer)| (*slice_id, transfer.clone()))
            .collect();
        for (slice_id, transfer) in missed {
            self.request_release(slice_id, &transfer);
        }
    }

    /// Processes the confirmation of a release by a node.
    pub(super) fn released(
        &mut self,
        now: clock::Instant,
        machine: &machine::Machine,
        member: registry::Member,
        released: session::Released,
    ) {
        let slice_id = (id::Service(released.service), key::Hash(released.start));
        let epoch = id::Epoch(released.epoch);
        let table = machine.view().table(slice_id.0);
        let slice = table.and_then(|table| table.get(slice_id.1));
        let is_holder = slice.and_then(|slice| slice.holder).is_some_and(|holder| {
            holder.incarnation == member.incarnation && holder.epoch == epoch
        });
        if !is_holder {
            return;
        }
        let window = released.window;
        self.released.insert(slice_id, Released { epoch, window });
        let transfer = self.transfers.get(&slice_id).cloned();
        let ready = transfer.filter(|transfer| is_running(machine, transfer.to));
        match ready {
            Some(transfer) => self.finish_transfer(slice_id, epoch, transfer),
            None => self.replan(now, machine, member, slice_id),
        }
    }

    fn finish_transfer(&mut self, slice_id: super::SliceId, epoch: id::Epoch, transfer: Transfer) {
        self.send_window(slice_id, transfer.to);
        self.propose(command::Command::Assign(vec![command::Move {
            service: slice_id.0,
            start: slice_id.1,
            server: transfer.to.server,
            incarnation: transfer.to.incarnation,
            expected: Some(epoch),
            cause: transfer.cause,
        }]));
    }

    /// Reports a released slice without a target to the planner, as vacant.
    ///
    /// Either the node that released the slice is stopping, or the target of the move has ended.
    fn replan(
        &mut self,
        now: clock::Instant,
        machine: &machine::Machine,
        member: registry::Member,
        slice_id: super::SliceId,
    ) {
        if !self.transfers.contains_key(&slice_id) && self.leaving.insert(member.server) {
            self.note_server(machine, member.server);
        }
        let vacant = table::Slice {
            start: slice_id.1,
            holder: None,
        };
        self.planner.slice_changed(now, slice_id.0, &vacant);
        self.plan_due = true;
    }

    /// Sends the window of request ids to the new owner, ahead of its grant.
    fn send_window(&mut self, slice_id: super::SliceId, to: action::Target) {
        let Some(released) = self.released.get(&slice_id).cloned() else {
            return;
        };
        if let (Some(target), Some(window)) = (self.session_of(to), released.window) {
            self.send(
                target,
                session::Prepare {
                    service: slice_id.0.0,
                    start: slice_id.1.0,
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

    pub(super) fn fail_proposal(&mut self, now: clock::Instant, proposal: Proposal) {
        match &proposal.command {
            command::Command::Assign(moves) => {
                for planned in moves {
                    self.fail_action(now, (planned.service, planned.start));
                }
            }
            command::Command::Split { service, at } | command::Command::Merge { service, at } => {
                self.fail_action(now, (*service, *at));
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
        self.fail_waiter(proposal.waiter);
    }

    pub(super) fn fail_waiter(&mut self, waiter: Waiter) {
        match waiter {
            Waiter::Nobody => {}
            // The node reconnects and sends its `Hello` again.
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
        imbalance: to_thousandths(service.weights.imbalance),
        churn: to_thousandths(service.weights.churn),
        unavailable: to_thousandths(service.weights.unavailable),
    }
}

/// Converts a weight to thousandths; the planner calculates in integers, so that all replicas
/// decide alike.
fn to_thousandths(weight: f64) -> u32 {
    (weight * 1_000.0).round().min(1e9) as u32
}

fn is_running(machine: &machine::Machine, target: action::Target) -> bool {
    let record = machine.server(target.server);
    let run = record.and_then(|record| record.run.as_ref());
    run.is_some_and(|run| run.incarnation == target.incarnation)
}

fn log_action(machine: &machine::Machine, action: &action::Action) {
    let service = machine.service(action.service());
    let name = |id: id::Server| machine.server(id).map_or("", |record| record.name.as_str());
    let (from, to) = match action {
        action::Action::Assign { to, .. } => ("", name(to.server)),
        action::Action::Move { from, to, .. } => (name(from.server), name(to.server)),
        action::Action::Split { .. } | action::Action::Merge { .. } => ("", ""),
    };
    tracing::info!(
        target: "sequoiayoke::placement",
        service = service.map_or("", |record| record.name.as_str()),
        first = %action.position(),
        from,
        to,
        cause = %action.cause(),
        "placement"
    );
}
