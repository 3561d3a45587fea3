//! Nodes that join, nodes whose lease lapses, and their servers in the planner.

use sequoiayoke_lease::registry;
use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_placement::server;
use sequoiayoke_state::command;
use sequoiayoke_state::machine;
use sequoiayoke_state::member;
use sequoiayoke_state::ticket;

use super::{JOIN_WAIT, Leader};

/// Returns every run of a node that may hold a lease.
pub(super) fn runs(machine: &machine::Machine) -> impl Iterator<Item = registry::Member> {
    machine.servers().flat_map(|(id, server)| {
        let current = server.run.iter().map(|run| run.incarnation);
        let stale = server.stale_runs.iter().copied();
        current
            .chain(stale)
            .map(move |incarnation| registry::Member::new(id, incarnation))
    })
}

impl Leader {
    pub(super) fn note_join(
        &mut self,
        now: clock::Instant,
        member: registry::Member,
        repeated: bool,
    ) {
        if repeated {
            return;
        }
        self.leaving.remove(&member.server);
        self.joined_at.insert(member.server, now);
        if let Err(refusal) = self.leases.add(now, member) {
            tracing::error!(?refusal, server = %member.server, "a node that joined got no lease");
        }
    }

    /// Proposes the end of each run whose lease has lapsed.
    pub(super) fn end_lapsed(&mut self, now: clock::Instant, machine: &machine::Machine) {
        let lapsed = self.leases.collect_lapsed(now);
        if lapsed.len() > self.members.len() {
            // When most nodes lapse at once, a short network failure is the likely cause. They
            // rejoin shortly, and the few that remain could not carry all slices.
            self.plan_from = self.plan_from.max(now + JOIN_WAIT);
        }
        for member in lapsed {
            if !self.ending.insert(member) {
                continue;
            }
            self.renewals.prune(now);
            let name = machine
                .server(member.server)
                .map(|server| server.name.as_str());
            tracing::warn!(
                server = name.unwrap_or(""),
                incarnation = %member.incarnation,
                "the lease of a node has ended"
            );
            self.propose(command::Command::Leave {
                server: member.server,
                incarnation: member.incarnation,
            });
        }
    }

    /// Updates a server in the planner.
    pub(super) fn note_server(&mut self, machine: &machine::Machine, id: id::Server) {
        let Some((record, run)) = current_run(machine, id) else {
            return;
        };
        let names = run.announcement.services.iter();
        let services: Vec<_> = names
            .filter_map(|name| Some(machine.view().service(name)?.0))
            .collect();
        let draining = record.intent == ticket::Intent::Draining || self.leaving.contains(&id);
        let state = match (draining, self.joined_at.get(&id)) {
            (true, _) => server::State::Draining,
            (false, Some(since)) => server::State::Joining { since: *since },
            (false, None) => server::State::Serving,
        };
        self.planner.server_changed(&server::Server {
            id,
            incarnation: run.incarnation,
            services: &services,
            failure_domain: &run.announcement.failure_domain,
            slots: run.announcement.slots,
            state,
            health: self.planned_health(id),
        });
        self.plan_due = true;
    }
}

fn current_run(
    machine: &machine::Machine,
    id: id::Server,
) -> Option<(&member::Server, &member::Run)> {
    let record = machine.server(id)?;
    Some((record, record.run.as_ref()?))
}
