//! Lapsed leases and moves of keys, as time passes.

use sequoiayoke_catalog::{machine, slice};
use sequoiayoke_link::session;
use sequoiayoke_model::clock;

use super::{Effect, GATHER, GATHER_MAX, Leader, PLAN_PAUSE, Pending, RETRY};

impl Leader {
    /// Lets leases lapse and plans moves.
    pub fn tick(&mut self, now: clock::Instant, machine: &machine::Machine) {
        for member in self.leases.collect_lapsed(now) {
            match machine.servers().get(&member.server) {
                Some(server) if server.incarnation == member.incarnation => {
                    self.leave(now, server, "the lease has lapsed");
                }
                _ => {
                    self.leases.remove(member);
                }
            }
        }
        if now.saturating_since(self.planned) < PLAN_PAUSE {
            return;
        }
        self.planned = now;
        self.pending
            .retain(|pending| now.saturating_since(pending.since) < RETRY);
        if self
            .assigned
            .is_some_and(|at| now.saturating_since(at) < RETRY)
        {
            return;
        }
        for (service, table) in machine.tables() {
            self.plan(now, machine, service, table);
        }
    }

    pub(super) fn plan(
        &mut self,
        now: clock::Instant,
        machine: &machine::Machine,
        service: &str,
        table: &slice::Table,
    ) {
        for change in self.pending.iter().map(|pending| &pending.change) {
            for server in change.from.into_iter().chain([change.to]) {
                self.moved.insert(server, now);
            }
        }
        self.judge(machine, service);
        let owners = self.owners(now, machine, service);
        if !owners.iter().any(|owner| owner.is_eligible) {
            return;
        }
        let planner = self.planners.entry(service.to_owned()).or_default();
        let vacant: u32 = table
            .slices()
            .iter()
            .filter(|slice| slice.owner.is_none())
            .map(|slice| slice.range.len())
            .sum();
        if vacant > 0 {
            let since = *self.vacant.entry(service.to_owned()).or_insert(now);
            let joined = self.joined.get(service).copied().unwrap_or(since);
            let gathers = vacant > slice::Range::ALL.len() / 2
                && now.saturating_since(joined) < GATHER
                && now.saturating_since(since) < GATHER_MAX;
            if gathers {
                return;
            }
            let moves = planner.assign_vacant(table, &owners);
            tracing::info!(
                service,
                vacant,
                moves = moves.len(),
                "assigning vacant keys"
            );
            let moves = moves.into_iter().map(|change| slice::Move {
                service: service.to_owned(),
                range: change.range,
                expected: change.fence,
                from: None,
                to: change.to,
                handover: None,
            });
            self.proposals
                .push(machine::Command::Assign(moves.collect()));
            self.assigned = Some(now);
            return;
        }
        self.vacant.remove(service);
        for change in planner.balance(now, table, &owners) {
            let Some(from) = change.from else {
                continue;
            };
            let is_asked = self.pending.iter().any(|pending| {
                pending.service == service && pending.change.range.overlaps(change.range)
            });
            if is_asked {
                continue;
            }
            let instance = machine
                .servers()
                .get(&from)
                .map(|server| &server.announcement.instance);
            let session = self
                .nodes
                .iter()
                .find(|(_, node)| node.server.as_ref() == instance);
            let Some((session, _)) = session else {
                continue;
            };
            let (first, last) = (change.range.first, change.range.last);
            tracing::info!(
                service,
                first,
                last,
                from = from.0,
                to = change.to.0,
                "moving keys"
            );
            let release = session::FromControl::Release {
                service: service.to_owned(),
                range: change.range,
                fence: change.fence,
            };
            self.effects.push(Effect::Send(session, release));
            self.pending.push(Pending {
                service: service.to_owned(),
                change,
                since: now,
            });
        }
    }

    /// Returns when [`Leader::tick`] has something to do next.
    pub fn next_deadline(&self) -> clock::Instant {
        let plan = self.planned + PLAN_PAUSE;
        self.leases
            .next_deadline()
            .map_or(plan, |lease| lease.min(plan))
    }
}
