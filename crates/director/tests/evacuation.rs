//! Keys of backend servers whose failure domain is evacuated, without a log or a network.

use std::time::Duration;

use sequoiayoke_catalog::{config, machine, server, slice};
use sequoiayoke_director::coordinator::leader;
use sequoiayoke_link::session;
use sequoiayoke_model::{clock, id, replicated::Replicated};

const LEASE: Duration = Duration::from_secs(7);
/// Number of backend servers, a third of them in each of three failure domains.
const SERVERS: u16 = 6;

fn instant(ms: u64) -> clock::Instant {
    clock::Instant::from_micros(1_000_000 + ms * 1_000)
}

fn announcement(number: u16) -> server::Announcement {
    server::Announcement {
        instance: server::Instance {
            name: format!("i-{number}"),
            born_ms: 10,
        },
        service: "status".to_owned(),
        address: ([127, 0, 0, 1], number + 1).into(),
        node: ([127, 0, 0, 1], number + 1_001).into(),
        domain: ["a", "b", "c"][usize::from(number % 3)].to_owned(),
        slots: 4,
        is_draining: false,
    }
}

/// A leader whose proposals are committed at once, and nodes that release what they are asked to.
struct Fleet {
    machine: machine::Machine,
    leader: leader::Leader,
    index: u64,
    nodes: Vec<(
        leader::Session,
        server::Announcement,
        Vec<session::Released>,
    )>,
}

impl Fleet {
    fn start() -> Self {
        let mut machine = machine::Machine::new();
        let service = config::Service {
            name: "status".to_owned(),
            health_path: "/".to_owned(),
            max_connections: 10,
            is_keyed: true,
            warm_up_ms: 0,
            cold_start: None,
        };
        let order = machine::Order {
            base: config::Version(0),
            config: config::Config {
                version: config::Version(1),
                services: vec![service],
                ..config::Config::default()
            },
            document: Vec::new(),
            digest: 1,
        };
        machine.apply(1, &machine::Command::Configure(order));
        let mut leader = leader::Leader::new(LEASE, &machine, instant(0));
        let nodes = (0..SERVERS).map(|number| {
            let session = leader.node_up().expect("there is room");
            (session, announcement(number), Vec::new())
        });
        let nodes = nodes.collect();
        let mut fleet = Self {
            machine,
            leader,
            index: 1,
            nodes,
        };
        fleet.play(0, 3_000);
        fleet
    }

    /// Plays rounds of renewals and planning.
    fn play(&mut self, from_ms: u64, until_ms: u64) {
        for ms in (from_ms..until_ms).step_by(100) {
            let now = instant(ms);
            for (session, announcement, released) in &self.nodes {
                let renewal = session::Renewal {
                    sequence: ms + 1,
                    applied: self.machine.index(),
                    server: Some(announcement.clone()),
                    released: released.clone(),
                    ..session::Renewal::default()
                };
                self.leader.renew(now, &self.machine, *session, renewal);
            }
            self.leader.tick(now, &self.machine);
            for command in self.leader.take_proposals() {
                self.apply(now, &command);
            }
            self.release();
        }
    }

    fn apply(&mut self, now: clock::Instant, command: &machine::Command) {
        self.index += 1;
        let output = self.machine.apply(self.index, command);
        self.leader.applied(now, &self.machine, command, &output);
    }

    /// Lets the nodes release the keys that the leader asks for.
    fn release(&mut self) {
        for effect in self.leader.take_effects(&self.machine) {
            let leader::Effect::Send(session, message) = effect else {
                continue;
            };
            if let session::FromControl::Release {
                service,
                range,
                fence,
            } = message
                && let Some(node) = self.nodes.iter_mut().find(|node| node.0 == session)
            {
                node.2.push(session::Released {
                    service,
                    range,
                    fence,
                    handover: Some("state".to_owned()),
                });
            }
        }
    }

    fn evacuate(&mut self, ms: u64, domain: &str, is_evacuated: bool) {
        let evacuation = machine::Evacuation {
            domain: domain.to_owned(),
            is_evacuated,
        };
        self.apply(instant(ms), &machine::Command::Evacuate(evacuation));
    }

    /// Returns the number of keys whose owner is in a failure domain.
    fn keys_in(&self, domain: &str) -> u32 {
        let slices = self.machine.tables()["status"].slices().iter();
        let is_in = |id: id::Server| self.machine.servers()[&id].announcement.domain == domain;
        let owned = slices.filter(|slice| slice.owner.is_some_and(is_in));
        owned.map(|slice| slice.range.len()).sum()
    }
}

/// Guards against keys that stay in an evacuated failure domain, and against keys without an owner.
#[test]
fn keys_leave_an_evacuated_domain_within_seconds() {
    let mut fleet = Fleet::start();
    assert!(fleet.keys_in("b") > 20_000);
    fleet.evacuate(3_000, "b", true);
    fleet.play(3_000, 5_500);
    assert_eq!(fleet.keys_in("b"), 0);
    let total = fleet.keys_in("a") + fleet.keys_in("c");
    assert_eq!(total, slice::Range::ALL.len());
}

/// Guards against keys that are moved in a circle when nobody can take them: two domains are
/// evacuated, then the last one.
#[test]
fn keys_stay_when_all_domains_are_evacuated() {
    let mut fleet = Fleet::start();
    fleet.evacuate(3_000, "a", true);
    fleet.evacuate(3_000, "b", true);
    fleet.play(3_000, 6_000);
    assert_eq!(fleet.keys_in("c"), slice::Range::ALL.len());
    fleet.evacuate(6_000, "c", true);
    fleet.play(6_000, 9_000);
    assert_eq!(fleet.keys_in("c"), slice::Range::ALL.len());
    // The first domain that is taken back gets them.
    fleet.evacuate(9_000, "a", false);
    fleet.play(9_000, 12_000);
    assert_eq!(fleet.keys_in("a"), slice::Range::ALL.len());
}
