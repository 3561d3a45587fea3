//! Application of commands to the state.

use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_model::range;
use sequoiayoke_model::replicated;
use sequoiayoke_model::table;
use sequoiayoke_model::view;

use super::{Applied, MAX_STALE_RUNS, MAX_TICKETS, Machine, Pinned, Refusal, Snapshot};
use crate::command;
use crate::history;
use crate::member;
use crate::ticket;

impl Machine {
    /// Applies the command at this log index.
    ///
    /// # Errors
    ///
    /// Returns why the command was refused; the state is then unchanged.
    pub fn apply(&mut self, index: u64, command: &command::Command) -> Result<Applied, Refusal> {
        let applied = match command {
            command::Command::Ticket(ticket) => self.apply_ticket(index, ticket)?,
            command::Command::Join(announcement) => self.apply_join(index, announcement)?,
            command::Command::Leave {
                server,
                incarnation,
            } => self.apply_leave(index, *server, *incarnation)?,
            command::Command::Assign(moves) => self.apply_assign(index, moves)?,
            command::Command::Split { service, at } => self.apply_split(*service, *at)?,
            command::Command::Merge { service, at } => self.apply_merge(*service, *at)?,
        };
        // `Assign` has already applied its changes one by one.
        if !applied.changes.is_empty() && applied.moved == 0 {
            self.apply_changes(index, &applied.changes);
        }
        Ok(applied)
    }

    fn apply_changes(&mut self, index: u64, changes: &[view::Change]) {
        for change in changes {
            self.index.update(change);
        }
        self.view.apply(id::Version(index), changes.iter().cloned());
    }

    fn apply_ticket(&mut self, index: u64, ticket: &ticket::Ticket) -> Result<Applied, Refusal> {
        if ticket.number <= self.rest.last_ticket && ticket.number.0 > 0 {
            return self.repeat_ticket(ticket);
        }
        let problems = ticket.problems();
        if !problems.is_empty() {
            return Err(Refusal::Malformed(problems));
        }
        let next = self.next_ticket();
        if ticket.number != next {
            return Err(Refusal::OutOfOrder { next });
        }
        let unknown = self.unknown_names(ticket);
        if !unknown.is_empty() {
            return Err(Refusal::Malformed(unknown));
        }
        let mut changes = Vec::new();
        for object in &ticket.objects {
            self.apply_object(index, object, &mut changes);
        }
        self.rest.last_ticket = ticket.number;
        if self.rest.tickets.len() == MAX_TICKETS {
            self.rest.tickets.pop_front();
        }
        let version = id::Version(index);
        self.rest.tickets.push_back(ticket::Accepted {
            version,
            ticket: ticket.clone(),
        });
        // A ticket advances the version even without changes to the view, so that "in force"
        // always means that every live node has applied the version of the ticket.
        self.view.apply(version, []);
        Ok(Applied {
            changes,
            accepted: Some(version),
            ..Applied::default()
        })
    }

    fn repeat_ticket(&self, ticket: &ticket::Ticket) -> Result<Applied, Refusal> {
        match self.ticket(ticket.number) {
            Some(accepted) if accepted.ticket == *ticket => Ok(Applied {
                accepted: Some(accepted.version),
                repeated: true,
                ..Applied::default()
            }),
            holder => Err(Refusal::NumberTaken {
                holder: holder.cloned().map(Box::new),
            }),
        }
    }

    /// Returns a problem for each pin of an unknown service; the ticket itself may create it.
    fn unknown_names(&self, ticket: &ticket::Ticket) -> Vec<String> {
        let is_created = |name: &str| {
            ticket.objects.iter().any(
                |object| matches!(object, ticket::Object::Service(service) if service.name == name),
            )
        };
        let mut problems = Vec::new();
        for (index, object) in ticket.objects.iter().enumerate() {
            let ticket::Object::Pin(pin) = object else {
                continue;
            };
            if self.view.service(&pin.service).is_none() && !is_created(&pin.service) {
                let name = &pin.service;
                problems.push(format!("objects[{index}].pin.service: no service {name}"));
            }
        }
        problems
    }

    fn apply_object(
        &mut self,
        index: u64,
        object: &ticket::Object,
        changes: &mut Vec<view::Change>,
    ) {
        match object {
            ticket::Object::Service(service) => self.put_service(service, changes),
            ticket::Object::Server(server) => self.put_server(server, changes),
            ticket::Object::Caller(caller) => self.put_caller(caller, changes),
            ticket::Object::Pin(pin) => self.put_pin(index, pin),
        }
    }

    fn put_service(&mut self, service: &ticket::Service, changes: &mut Vec<view::Change>) {
        let known = self
            .rest
            .services
            .iter()
            .find(|(_, known)| known.name == service.name);
        let present = known.map(|(id, _)| *id);
        let next = self
            .rest
            .services
            .keys()
            .next_back()
            .map_or(1, |id| id.0 + 1);
        let id = present.unwrap_or(id::Service(next));
        self.rest.services.insert(id, service.clone());
        let published = view::Service {
            name: service.name.clone(),
            idempotent: service.idempotent.clone(),
            scoped: service.scoped,
        };
        changes.push(view::Change::Service(id, published));
        if present.is_none() {
            let table = table::Table::with_slices(service.slices);
            let slices = table.slices().iter();
            changes.extend(slices.map(|slice| view::Change::Slice(id, *slice)));
        }
    }

    fn put_server(&mut self, server: &ticket::Server, changes: &mut Vec<view::Change>) {
        let id = self.server_id(&server.name);
        let record = self.server_record(id, &server.name);
        record.intent = server.intent;
        if let Some(run) = &record.run {
            changes.push(view::Change::Server(id, published_server(record, run)));
        }
    }

    fn put_caller(&mut self, caller: &ticket::Caller, changes: &mut Vec<view::Change>) {
        let known = self
            .rest
            .callers
            .iter()
            .find(|(_, known)| known.name == caller.name);
        let next = self
            .rest
            .callers
            .keys()
            .next_back()
            .map_or(1, |id| id.0 + 1);
        let id = known.map_or(id::Caller(next), |(id, _)| *id);
        self.rest.callers.insert(id, caller.clone());
        let published = view::Caller {
            name: caller.name.clone(),
            token_digest: caller.token_digest,
            scope: caller.scope.clone(),
        };
        changes.push(view::Change::Caller(id, published));
    }

    fn put_pin(&mut self, index: u64, pin: &ticket::Pin) {
        let Some(service) = self.service_id(&pin.service) else {
            return;
        };
        let hash = key::Hash::new(&pin.scope, &pin.key);
        let pinned = Pinned { service, hash };
        let cause = match &pin.server {
            Some(server) => {
                self.rest.pins.insert(pinned, server.clone());
                format!("pinned to {server}")
            }
            None => {
                self.rest.pins.remove(&pinned);
                "pin ended".to_owned()
            }
        };
        let range = range::Range {
            first: hash,
            last: hash,
        };
        self.record(index, service, range, cause);
    }

    fn apply_join(
        &mut self,
        index: u64,
        announcement: &member::Announcement,
    ) -> Result<Applied, Refusal> {
        let id = self.server_id(&announcement.name);
        let record = self.server_record(id, &announcement.name);
        if let Some(run) = &record.run {
            if run.announcement.nonce == announcement.nonce {
                return Ok(Applied {
                    joined: Some((id, run.incarnation)),
                    repeated: true,
                    ..Applied::default()
                });
            }
            if record.stale_runs.len() >= MAX_STALE_RUNS {
                return Err(Refusal::Crowded);
            }
            // The earlier incarnation may hold a valid lease and keeps its slices until `Leave`.
            record.stale_runs.push(run.incarnation);
        }
        let incarnation = id::Incarnation(index);
        let run = member::Run {
            incarnation,
            announcement: announcement.clone(),
        };
        let published = published_server(record, &run);
        record.run = Some(run);
        Ok(Applied {
            changes: vec![view::Change::Server(id, published)],
            joined: Some((id, incarnation)),
            ..Applied::default()
        })
    }

    fn apply_leave(
        &mut self,
        index: u64,
        server: id::Server,
        incarnation: id::Incarnation,
    ) -> Result<Applied, Refusal> {
        let record = self
            .rest
            .servers
            .get_mut(&server)
            .ok_or(Refusal::Conflict)?;
        let mut changes = Vec::new();
        let present = record.run.as_ref().map(|run| run.incarnation);
        if present == Some(incarnation) {
            record.run = None;
            changes.push(view::Change::ServerGone(server));
        } else if record.stale_runs.contains(&incarnation) {
            record.stale_runs.retain(|stale| *stale != incarnation);
        } else {
            return Err(Refusal::NotPresent);
        }
        let name = record.name.clone();
        self.vacate(index, &name, server, incarnation, &mut changes);
        Ok(Applied {
            changes,
            ..Applied::default()
        })
    }

    fn vacate(
        &mut self,
        index: u64,
        name: &str,
        server: id::Server,
        incarnation: id::Incarnation,
        changes: &mut Vec<view::Change>,
    ) {
        let mut events = Vec::new();
        for (service, start) in self.index.slices_of(server, incarnation) {
            let Some(table) = self.view.table(service) else {
                continue;
            };
            let vacant = table::Slice {
                start,
                holder: None,
            };
            changes.push(view::Change::Slice(service, vacant));
            events.push((service, table.find(start).1));
        }
        for (service, range) in events {
            let cause = format!("vacated: the lease of {name} {incarnation} ended");
            self.record(index, service, range, cause);
        }
    }

    fn apply_assign(&mut self, index: u64, moves: &[command::Move]) -> Result<Applied, Refusal> {
        if moves.len() > command::MAX_MOVES {
            return Err(Refusal::Conflict);
        }
        let mut applied = Applied::default();
        for proposed in moves {
            let Some((range, name)) = self.check_move(proposed) else {
                continue;
            };
            let cause = format!("assigned to {name}: {}", proposed.cause);
            self.record(index, proposed.service, range, cause);
            let holder = table::Holder {
                server: proposed.server,
                incarnation: proposed.incarnation,
                epoch: id::Epoch(index),
            };
            let slice = table::Slice {
                start: proposed.start,
                holder: Some(holder),
            };
            let change = view::Change::Slice(proposed.service, slice);
            // Applied immediately, so that a second move of the slice in this command is refused.
            self.apply_changes(index, std::slice::from_ref(&change));
            applied.changes.push(change);
            applied.moved += 1;
        }
        Ok(applied)
    }

    /// Returns the slice's range and the new holder's name if the move is allowed.
    fn check_move(&self, proposed: &command::Move) -> Option<(range::Range, String)> {
        let table = self.view.table(proposed.service)?;
        let slice = table.get(proposed.start)?;
        if slice.holder.map(|holder| holder.epoch) != proposed.expected {
            return None;
        }
        let record = self.rest.servers.get(&proposed.server)?;
        let is_current = record.run.as_ref()?.incarnation == proposed.incarnation;
        is_current.then(|| (table.find(proposed.start).1, record.name.clone()))
    }

    fn apply_split(&mut self, service: id::Service, at: key::Hash) -> Result<Applied, Refusal> {
        let table = self.view.table(service).ok_or(Refusal::Conflict)?;
        if table.get(at).is_some() {
            return Err(Refusal::Conflict);
        }
        let slice = table::Slice {
            start: at,
            ..*table.find(at).0
        };
        Ok(Applied {
            changes: vec![view::Change::Slice(service, slice)],
            ..Applied::default()
        })
    }

    fn apply_merge(&mut self, service: id::Service, at: key::Hash) -> Result<Applied, Refusal> {
        let table = self.view.table(service).ok_or(Refusal::Conflict)?;
        let before = at.0.checked_sub(1).ok_or(Refusal::Conflict)?;
        let mut merged = table.clone();
        merged.merge(at).map_err(|_| Refusal::Conflict)?;
        let joined = *merged.find(key::Hash(before)).0;
        Ok(Applied {
            changes: vec![
                view::Change::SliceMerged(service, at),
                view::Change::Slice(service, joined),
            ],
            ..Applied::default()
        })
    }

    fn service_id(&self, name: &str) -> Option<id::Service> {
        let mut services = self.rest.services.iter();
        services
            .find(|(_, service)| service.name == name)
            .map(|(id, _)| *id)
    }

    fn server_id(&self, name: &str) -> id::Server {
        let next = self
            .rest
            .servers
            .keys()
            .next_back()
            .map_or(1, |id| id.0 + 1);
        self.server_named(name)
            .map_or(id::Server(next), |(id, _)| id)
    }

    fn server_record(&mut self, id: id::Server, name: &str) -> &mut member::Server {
        self.index.add_server(name, id);
        let servers = &mut self.rest.servers;
        servers.entry(id).or_insert_with(|| member::Server {
            name: name.to_owned(),
            intent: ticket::Intent::Serving,
            run: None,
            stale_runs: Vec::new(),
        })
    }

    fn record(&mut self, index: u64, service: id::Service, range: range::Range, cause: String) {
        self.rest.history.push(history::Event {
            version: id::Version(index),
            service,
            first: range.first,
            last: range.last,
            cause,
        });
    }
}

fn published_server(record: &member::Server, run: &member::Run) -> view::Server {
    view::Server {
        name: record.name.clone(),
        incarnation: run.incarnation,
        peer_address: run.announcement.peer_address,
        caller_address: run.announcement.caller_address,
        draining: record.intent == ticket::Intent::Draining,
    }
}

impl replicated::Replicated for Machine {
    type Command = command::Command;
    type Snapshot = Snapshot;
    type Output = Result<Applied, Refusal>;

    fn new() -> Self {
        Self::new()
    }

    fn apply(&mut self, index: u64, command: &command::Command) -> Self::Output {
        Self::apply(self, index, command)
    }

    fn to_snapshot(&self) -> Snapshot {
        Self::to_snapshot(self)
    }

    fn with_snapshot(snapshot: Snapshot) -> Self {
        Self::with_snapshot(snapshot)
    }
}
