//! Timer-driven decisions: lapsed leases, assignment of vacant keys and moves of keys.

use sequoiayoke_catalog::{machine, slice};
use sequoiayoke_link::session;
use sequoiayoke_model::clock;

use super::{Effect, JOIN_WAIT, JOIN_WAIT_MAX, Leader, PLAN_INTERVAL, PendingMove, RETRY_DELAY};

impl Leader {
    /// Removes backend servers whose leases have lapsed, and plans moves once per interval.
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
        if now.saturating_since(self.planned_at) < PLAN_INTERVAL {
            return;
        }
        self.planned_at = now;
        self.pending_moves
            .retain(|pending| now.saturating_since(pending.since) < RETRY_DELAY);
        if self
            .assigned_at
            .is_some_and(|assigned_at| now.saturating_since(assigned_at) < RETRY_DELAY)
        {
            return;
        }
        for (service, table) in machine.tables() {
            self.plan_service(now, machine, service, table);
        }
    }

    /// Assigns the vacant keys of a service or, if there are none, plans moves that balance it.
    pub(super) fn plan_service(
        &mut self,
        now: clock::Instant,
        machine: &machine::Machine,
        service: &str,
        table: &slice::Table,
    ) {
        for change in self.pending_moves.iter().map(|pending| &pending.change) {
            for server in change.from.into_iter().chain([change.to]) {
                self.last_moved.insert(server, now);
            }
        }
        self.update_outliers(machine, service);
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
            let since = *self.vacant_since.entry(service.to_owned()).or_insert(now);
            let last_joined = self.last_joined.get(service).copied().unwrap_or(since);
            let is_waiting = vacant > slice::Range::ALL.len() / 2
                && now.saturating_since(last_joined) < JOIN_WAIT
                && now.saturating_since(since) < JOIN_WAIT_MAX;
            if is_waiting {
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
            self.assigned_at = Some(now);
            return;
        }
        self.vacant_since.remove(service);
        for change in planner.balance(now, table, &owners) {
            let Some(from) = change.from else {
                continue;
            };
            let is_pending = self.pending_moves.iter().any(|pending| {
                pending.service == service && pending.change.range.overlaps(change.range)
            });
            if is_pending {
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
            self.pending_moves.push(PendingMove {
                service: service.to_owned(),
                change,
                since: now,
            });
        }
    }

    /// Returns when [`Leader::tick`] is due next.
    pub fn next_deadline(&self) -> clock::Instant {
        let plan = self.planned_at + PLAN_INTERVAL;
        self.leases
            .next_deadline()
            .map_or(plan, |lease| lease.min(plan))
    }
}
