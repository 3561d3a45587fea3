//! Answers to operators.

use std::collections;

use sequoiayoke_api::{accepted, check, error, explanation, list, status, ticket};
use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_model::view;
use sequoiayoke_state::command;
use sequoiayoke_state::machine;
use sequoiayoke_state::ticket as pure;

use super::{Leader, Waiter};
use crate::coordinator::documents;
use crate::coordinator::event;
use crate::measure;

/// Events that an explanation shows at most.
const MAX_HISTORY: usize = 20;

impl Leader {
    /// Handles what an operator asks; `status` holds what the leader itself does not know.
    pub fn operator(
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
                let found = machine.ticket(number).map(|one| {
                    let floor = self.renewals.floor(now);
                    documents::entry(one, self.force(floor, one.version))
                });
                let missing = || error::Error::NotFound {
                    detail: format!("no ticket with number {}", number.0),
                };
                let _ = reply.send(found.ok_or_else(missing));
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

    /// Fills in what only a leader knows.
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
                Err(documents::refusal(number, refusal.clone()))
            }
        };
        let _ = reply.send(answer);
    }

    /// Tells how far `version` is in force if no node serves below `floor`.
    fn force(&self, floor: id::Version, version: id::Version) -> accepted::Force {
        let confirmation = self.leases.confirmation(version);
        accepted::Force {
            complete: confirmation.is_complete() && version <= floor,
            ..documents::force(confirmation)
        }
    }

    fn check(
        &self,
        machine: &machine::Machine,
        document: &ticket::Ticket,
    ) -> Result<check::Check, error::Error> {
        let ticket = documents::to_ticket(document)?;
        // The copy shows what would happen; the state itself stays as it is.
        let mut copy = machine.clone();
        let index = machine.view().version().0 + 1;
        let problems = match copy.apply(index, &command::Command::Ticket(ticket.clone())) {
            Ok(_) => Vec::new(),
            Err(refusal) => vec![refusal.to_string()],
        };
        let changes = ticket.objects.iter().filter_map(|object| {
            let after = Some(documents::from_object(object));
            let before = before(machine, object).map(|one| documents::from_object(&one));
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
                .map(|one| documents::entry(one, self.force(floor, one.version)))
                .collect(),
        }
    }

    fn status(
        &self,
        now: clock::Instant,
        machine: &machine::Machine,
        base: status::Status,
    ) -> status::Status {
        let held = held(machine.view());
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
                slices: held.get(&id).map_or(0, |(count, _)| *count),
            })
        });
        let servers: Vec<_> = servers.collect();
        let services = machine.services().map(|(id, service)| {
            let table = machine.view().table(id);
            let slices = table.map_or(&[][..], |table| table.slices());
            status::Service {
                name: service.name.clone(),
                slices: slices.len() as u64,
                vacant: slices.iter().filter(|one| one.holder.is_none()).count() as u64,
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

/// Returns the state of an object that a ticket names, as it is now.
fn before(machine: &machine::Machine, object: &pure::Object) -> Option<pure::Object> {
    match object {
        pure::Object::Service(one) => {
            let (id, _) = machine.view().service(&one.name)?;
            machine.service(id).cloned().map(pure::Object::Service)
        }
        pure::Object::Server(one) => {
            let (_, server) = machine.server_named(&one.name)?;
            Some(pure::Object::Server(pure::Server {
                name: server.name.clone(),
                intent: server.intent,
            }))
        }
        pure::Object::Caller(one) => {
            let mut callers = machine.callers();
            let found = callers.find(|caller| caller.name == one.name);
            found.cloned().map(pure::Object::Caller)
        }
        pure::Object::Pin(one) => {
            let (service, _) = machine.view().service(&one.service)?;
            let hash = key::Hash::new(&one.scope, &one.key);
            let mut pins = machine.pins();
            let found = pins.find(|(pin, _)| pin.service == service && pin.hash == hash);
            found.map(|(_, server)| {
                pure::Object::Pin(pure::Pin {
                    server: Some(server.to_owned()),
                    ..one.clone()
                })
            })
        }
    }
}

/// Counts the slices of each server, and sums their share of the hash space.
fn held(view: &view::View) -> collections::BTreeMap<id::Server, (u64, f64)> {
    let mut held = collections::BTreeMap::new();
    for (_, table) in view.tables() {
        for (slice, range) in table.iter() {
            if let Some(holder) = slice.holder {
                let (count, share) = held.entry(holder.server).or_insert((0, 0.0));
                *count += 1;
                *share += range.share();
            }
        }
    }
    held
}

/// Largest share of the hash space of any server over the mean share.
fn imbalance(machine: &machine::Machine, service: id::Service, servers: &[status::Server]) -> f64 {
    let Some(name) = machine.service(service).map(|one| one.name.as_str()) else {
        return 1.0;
    };
    let serving = servers.iter().filter(|server| {
        server.state == ticket::State::Serving && server.services.iter().any(|one| one == name)
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
    let missing = || error::Error::NotFound {
        detail: format!("no service is named {service}"),
    };
    let (id, _) = machine.view().service(service).ok_or_else(missing)?;
    let table = machine.view().table(id).ok_or_else(missing)?;
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
