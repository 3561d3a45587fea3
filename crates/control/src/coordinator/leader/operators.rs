//! Answers to operators.

use std::collections;

use sequoiayoke_api::{accepted, check, error, explanation, list, status, ticket};
use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_model::view;
use sequoiayoke_state::command;
use sequoiayoke_state::machine;
use sequoiayoke_state::ticket as replicated;

use super::{Leader, Waiter};
use crate::coordinator::documents;
use crate::coordinator::event;
use crate::measure;

/// Most events in an explanation.
const MAX_HISTORY: usize = 20;

impl Leader {
    /// Answers a request of an operator; `status` returns the part that every replica knows.
    pub fn answer_operator(
        &mut self,
        now: clock::Instant,
        machine: &machine::Machine,
        request: event::Request,
        status: impl FnOnce() -> status::Status,
    ) {
        match request {
            event::Request::Submit(document, reply) => self.submit(&document, reply),
            event::Request::Check(document, reply) => {
                let _ = reply.send(self.check(machine, &document));
            }
            event::Request::List(reply) => {
                let _ = reply.send(Ok(self.list(now, machine)));
            }
            event::Request::Show(number, reply) => {
                let entry = machine.ticket(number).map(|accepted| {
                    let floor = self.renewals.floor(now);
                    documents::from_accepted(accepted, self.force(floor, accepted.version))
                });
                let not_found = || error::Error::NotFound {
                    detail: format!("no ticket with number {}", number.0),
                };
                let _ = reply.send(entry.ok_or_else(not_found));
            }
            event::Request::Status(reply) => {
                let _ = reply.send(Ok(self.status(now, machine, status())));
            }
            event::Request::Explain {
                service,
                scope,
                key,
                reply,
            } => {
                let _ = reply.send(explain(machine, &service, &scope, &key));
            }
        }
    }

    /// Fills in the values that only a leader knows.
    pub fn figures(
        &mut self,
        now: clock::Instant,
        machine: &machine::Machine,
        base: status::Status,
        figures: &mut measure::Figures,
    ) {
        let confirmation = self.leases.confirmation(machine.view().version());
        figures.leads = true;
        figures.live = confirmation.live;
        figures.behind = confirmation.live.saturating_sub(confirmation.confirmed);
        figures.sessions = self.sessions.len();
        let services = self.status(now, machine, base).services;
        let services = services.into_iter().zip(machine.services());
        let services = services.map(|(service, (id, _))| measure::Service {
            unavailable_ms: self.vacancy.take_ms(now, id),
            name: service.name,
            slices: service.slices,
            vacant: service.vacant,
            imbalance: service.imbalance,
        });
        figures.services = services.collect();
    }

    /// Counts the slices that got a holder.
    pub(super) fn count_assigned(&self, machine: &machine::Machine, changes: &[view::Change]) {
        let mut counts = collections::BTreeMap::<id::Service, u64>::new();
        for change in changes {
            if let view::Change::Slice(service, slice) = change
                && slice.holder.is_some()
            {
                *counts.entry(*service).or_default() += 1;
            }
        }
        for (id, count) in counts {
            if let Some(service) = machine.service(id) {
                self.config.measure.assigned(&service.name, count);
            }
        }
    }

    fn submit(&mut self, document: &ticket::Ticket, reply: event::Reply<accepted::Accepted>) {
        match documents::to_ticket(document) {
            Ok(ticket) => {
                let waiter = Waiter::Ticket(ticket.number, reply);
                self.propose_for(command::Command::Ticket(ticket), waiter);
            }
            Err(error) => {
                let _ = reply.send(Err(error));
            }
        }
    }

    pub(super) fn answer_ticket(
        &mut self,
        now: clock::Instant,
        number: id::Ticket,
        reply: event::Reply<accepted::Accepted>,
        applied: &super::Applied,
    ) {
        let measure = &self.config.measure;
        let answer = match &applied.result {
            Ok(done) => {
                measure.ticket(match done.repeated {
                    true => "repeated",
                    false => "accepted",
                });
                let version = done.accepted.unwrap_or_default();
                tracing::info!(
                    ticket = number.0,
                    version = version.0,
                    repeated = done.repeated,
                    "ticket accepted"
                );
                Ok(accepted::Accepted {
                    number,
                    status: accepted::Status::Accepted,
                    version,
                    repeated: done.repeated,
                    in_force: self.force(self.renewals.floor(now), version),
                })
            }
            Err(refusal) => {
                measure.ticket("refused");
                tracing::info!(ticket = number.0, %refusal, "ticket refused");
                Err(documents::from_refusal(number, refusal.clone()))
            }
        };
        let _ = reply.send(answer);
    }

    /// Returns how far `version` is in force if no node serves from a version below `floor`.
    fn force(&self, floor: id::Version, version: id::Version) -> accepted::Rollout {
        let confirmation = self.leases.confirmation(version);
        accepted::Rollout {
            complete: confirmation.is_complete() && version <= floor,
            ..documents::from_confirmation(confirmation)
        }
    }

    fn check(
        &self,
        machine: &machine::Machine,
        document: &ticket::Ticket,
    ) -> Result<check::Check, error::Error> {
        let ticket = documents::to_ticket(document)?;
        // The ticket is applied to a copy, so that the state itself does not change.
        let mut copy = machine.clone();
        let index = machine.view().version().0 + 1;
        let problems = match copy.apply(index, &command::Command::Ticket(ticket.clone())) {
            Ok(_) => Vec::new(),
            Err(refusal) => vec![refusal.to_string()],
        };
        let changes = ticket.objects.iter().filter_map(|object| {
            let after = Some(documents::from_object(object));
            let before =
                current_state(machine, object).map(|object| documents::from_object(&object));
            (before != after).then(|| check::Change {
                object: documents::from_object(object).identity(),
                before,
                after,
            })
        });
        Ok(check::Check {
            next: machine.next_ticket(),
            problems,
            changes: changes.collect(),
        })
    }

    fn list(&self, now: clock::Instant, machine: &machine::Machine) -> list::List {
        let floor = self.renewals.floor(now);
        let tickets = machine.tickets();
        list::List {
            next: machine.next_ticket(),
            tickets: tickets
                .map(|ticket| documents::from_accepted(ticket, self.force(floor, ticket.version)))
                .collect(),
        }
    }

    fn status(
        &self,
        now: clock::Instant,
        machine: &machine::Machine,
        base: status::Status,
    ) -> status::Status {
        let holdings = holdings(machine.view());
        let servers = machine.servers().filter_map(|(id, server)| {
            let run = server.run.as_ref()?;
            let left = self.leases.remaining(now, id).unwrap_or_default();
            let member = sequoiayoke_lease::registry::Member::new(id, run.incarnation);
            let session = self.members.get(&member);
            let sent = session.and_then(|key| Some(self.sessions.get(*key)?.sent));
            Some(status::Server {
                name: server.name.clone(),
                services: run.announcement.services.clone(),
                incarnation: run.incarnation,
                state: documents::from_intent(server.intent),
                failure_domain: run.announcement.failure_domain.clone(),
                lease_left_ms: left.as_millis() as u64,
                version: sent.unwrap_or_default(),
                slices: holdings.get(&id).map_or(0, |(count, _)| *count),
            })
        });
        let servers: Vec<_> = servers.collect();
        let services = machine.services().map(|(id, service)| {
            let table = machine.view().table(id);
            let slices = table.map_or(&[][..], |table| table.slices());
            status::Service {
                name: service.name.clone(),
                slices: slices.len() as u64,
                vacant: slices.iter().filter(|slice| slice.holder.is_none()).count() as u64,
                imbalance: imbalance(machine, id, &servers),
            }
        });
        status::Status {
            next_ticket: machine.next_ticket(),
            version: machine.view().version(),
            services: services.collect(),
            servers,
            ..base
        }
    }
}

/// Returns the current state of an object that a ticket names.
fn current_state(
    machine: &machine::Machine,
    object: &replicated::Object,
) -> Option<replicated::Object> {
    match object {
        replicated::Object::Service(service) => {
            let (id, _) = machine.view().service(&service.name)?;
            machine
                .service(id)
                .cloned()
                .map(replicated::Object::Service)
        }
        replicated::Object::Server(server) => {
            let (_, server) = machine.server_named(&server.name)?;
            Some(replicated::Object::Server(replicated::Server {
                name: server.name.clone(),
                intent: server.intent,
            }))
        }
        replicated::Object::Caller(named) => {
            let mut callers = machine.callers();
            let caller = callers.find(|caller| caller.name == named.name);
            caller.cloned().map(replicated::Object::Caller)
        }
        replicated::Object::Pin(named) => {
            let (service, _) = machine.view().service(&named.service)?;
            let hash = key::Hash::new(&named.scope, &named.key);
            let mut pins = machine.pins();
            let pinned = pins.find(|(pin, _)| pin.service == service && pin.hash == hash);
            pinned.map(|(_, server)| {
                replicated::Object::Pin(replicated::Pin {
                    server: Some(server.to_owned()),
                    ..named.clone()
                })
            })
        }
    }
}

/// Returns the number of slices of each server, and their share of the hash space.
fn holdings(view: &view::View) -> collections::BTreeMap<id::Server, (u64, f64)> {
    let mut holdings = collections::BTreeMap::new();
    for (_, table) in view.tables() {
        for (slice, range) in table.iter() {
            if let Some(holder) = slice.holder {
                let (count, share) = holdings.entry(holder.server).or_insert((0, 0.0));
                *count += 1;
                *share += range.share();
            }
        }
    }
    holdings
}

/// Returns the largest share of the hash space of any server over the mean share.
fn imbalance(machine: &machine::Machine, service: id::Service, servers: &[status::Server]) -> f64 {
    let Some(name) = machine
        .service(service)
        .map(|service| service.name.as_str())
    else {
        return 1.0;
    };
    let serving = servers.iter().filter(|server| {
        server.state == ticket::State::Serving
            && server.services.iter().any(|service| service == name)
    });
    let count = serving.count().max(1) as f64;
    let mut shares: collections::BTreeMap<id::Server, f64> = collections::BTreeMap::new();
    if let Some(table) = machine.view().table(service) {
        for (slice, range) in table.iter() {
            if let Some(holder) = slice.holder {
                *shares.entry(holder.server).or_default() += range.share();
            }
        }
    }
    let largest = shares.values().copied().fold(0.0, f64::max);
    largest * count
}

fn explain(
    machine: &machine::Machine,
    service: &str,
    scope: &str,
    key: &str,
) -> Result<explanation::Explanation, error::Error> {
    let not_found = || error::Error::NotFound {
        detail: format!("no service is named {service}"),
    };
    let (id, _) = machine.view().service(service).ok_or_else(not_found)?;
    let table = machine.view().table(id).ok_or_else(not_found)?;
    let hash = key::Hash::new(scope, key);
    let (slice, range) = table.find(hash);
    let holder = slice.holder.and_then(|holder| {
        Some(explanation::Holder {
            server: machine.server(holder.server)?.name.clone(),
            incarnation: holder.incarnation,
            epoch: holder.epoch,
        })
    });
    let events = machine.history().events_of(id, hash).take(MAX_HISTORY);
    let mut history: Vec<_> = events
        .map(|event| explanation::Event {
            version: event.version,
            cause: event.cause.clone(),
        })
        .collect();
    history.reverse();
    Ok(explanation::Explanation {
        service: service.to_owned(),
        key: key.to_owned(),
        hash: hash.to_string(),
        first: range.first.to_string(),
        last: range.last.to_string(),
        holder,
        history,
    })
}
