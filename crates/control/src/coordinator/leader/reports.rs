//! Reports of nodes about load and health.

use sequoiayoke_lease::registry;
use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_placement::load;
use sequoiayoke_placement::server;
use sequoiayoke_state::machine;
use sequoiayoke_wire::session;

use super::Leader;

/// Speed of a server that answers as fast as the others, in thousandths.
const FULL_SPEED: u32 = 1_000;
/// Speed below which a server counts as slow, in thousandths.
///
/// Latencies differ between keys, so only a server that takes more than twice
/// as long as the mean counts as slow.
const SLOW_BELOW: u32 = 500;
/// Step to which the speed of a slow server is rounded down, in thousandths, so that small
/// changes cause no plan.
const SPEED_STEP: u32 = 100;

/// Health of a server as its node reported it last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Health {
    reported: session::Health,
    planned: server::Health,
}

impl Leader {
    /// Records the report in a renewal.
    pub(super) fn note_report(
        &mut self,
        machine: &machine::Machine,
        member: registry::Member,
        renew: &session::Renew,
    ) {
        for load in &renew.load {
            self.note_load(load);
        }
        if let Some(reported) = renew.health {
            self.note_health(machine, member.server, reported);
        }
    }

    fn note_load(&mut self, report: &session::Load) {
        let key = load::Key {
            hash: key::Hash(report.hot),
            rate: permille(report.hot_rate),
        };
        let keys = match key.rate {
            0 => &[][..],
            _ => &[key][..],
        };
        let reported = load::Load {
            rate: permille(report.rate),
            keys,
        };
        let (service, start) = (id::Service(report.service), key::Hash(report.start));
        self.planner.load_changed(service, start, &reported);
        self.plan_due = true;
    }

    fn note_health(
        &mut self,
        machine: &machine::Machine,
        id: id::Server,
        reported: session::Health,
    ) {
        let planned = server::Health {
            reported: reported.reported,
            speed: self.speed(machine, id, reported),
        };
        let health = Health { reported, planned };
        let before = self.health.insert(id, health);
        let before = before.map_or(server::Health::GOOD, |health| health.planned);
        if before != planned {
            self.note_server(machine, id);
        }
    }

    /// Returns the speed of a server relative to the others of its services, in thousandths.
    fn speed(&self, machine: &machine::Machine, id: id::Server, own: session::Health) -> u32 {
        if own.state == FAILING {
            return 0;
        }
        let services = |id| {
            let run = machine.server(id).and_then(|server| server.run.as_ref());
            run.map_or(&[][..], |run| run.announcement.services.as_slice())
        };
        let own_services = services(id);
        let others = self.health.iter().filter(|(other, health)| {
            let shared = services(**other)
                .iter()
                .any(|name| own_services.contains(name));
            **other != id && shared && health.reported.latency_us > 0
        });
        let latencies: Vec<_> = others
            .map(|(_, health)| u64::from(health.reported.latency_us))
            .collect();
        let (count, sum) = (latencies.len() as u64, latencies.iter().sum::<u64>());
        if count == 0 || own.latency_us == 0 {
            return FULL_SPEED;
        }
        let speed = sum * u64::from(FULL_SPEED) / count / u64::from(own.latency_us);
        match u32::try_from(speed).unwrap_or(u32::MAX) {
            slow if slow < SLOW_BELOW => (slow / SPEED_STEP * SPEED_STEP).max(SPEED_STEP),
            _ => FULL_SPEED,
        }
    }

    /// Returns the health of a server as the planner uses it.
    pub(super) fn planned_health(&self, id: id::Server) -> server::Health {
        let health = self.health.get(&id);
        health.map_or(server::Health::GOOD, |health| health.planned)
    }
}

/// State in [`session::Health`] of a server from which slices should move away.
const FAILING: u32 = 2;

fn permille(rate: f32) -> u64 {
    // A negative or malformed rate counts as zero.
    (f64::from(rate) * 1_000.0).max(0.0) as u64
}
