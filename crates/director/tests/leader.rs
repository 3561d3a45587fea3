//! What the leader decides, without a log or a network.

use std::time::Duration;

use sequoiayoke_catalog::{config, machine, server, slice};
use sequoiayoke_director::coordinator::leader;
use sequoiayoke_link::session;
use sequoiayoke_model::{clock, id, replicated::Replicated};

const LEASE: Duration = Duration::from_secs(7);

fn at(ms: u64) -> clock::Instant {
    clock::Instant::from_micros(1_000_000 + ms * 1_000)
}

fn announcement(name: &str, port: u16) -> server::Announcement {
    server::Announcement {
        instance: server::Instance {
            name: name.to_owned(),
            born_ms: 10,
        },
        service: "status".to_owned(),
        address: ([127, 0, 0, 1], port).into(),
        node: ([127, 0, 0, 1], port + 1_000).into(),
        domain: "a".to_owned(),
        slots: 4,
        is_draining: false,
    }
}

/// A leader with its log: proposals are committed at once.
struct World {
    machine: machine::Machine,
    leader: leader::Leader,
    index: u64,
}

impl World {
    fn new() -> Self {
        let mut machine = machine::Machine::new();
        let order = machine::Order {
            base: config::Version(0),
            config: config::Config {
                version: config::Version(1),
                services: vec![config::Service {
                    name: "status".to_owned(),
                    health_path: "/".to_owned(),
                    max_connections: 10,
                    is_keyed: true,
                    warm_up_ms: 0,
                }],
                ..config::Config::default()
            },
            document: Vec::new(),
            digest: 1,
        };
        machine.apply(1, &machine::Command::Configure(order));
        let leader = leader::Leader::new(LEASE, &machine, at(0));
        Self {
            machine,
            leader,
            index: 1,
        }
    }

    fn commit(&mut self, now: clock::Instant) -> Vec<machine::Command> {
        let commands = self.leader.take_proposals();
        for command in &commands {
            self.index += 1;
            let output = self.machine.apply(self.index, command);
            self.leader.applied(now, &self.machine, command, &output);
        }
        commands
    }

    fn renew(&mut self, now: clock::Instant, node: leader::Session, renewal: session::Renewal) {
        self.leader.renew(now, &self.machine, node, renewal);
    }

    fn effects(&mut self) -> Vec<leader::Effect> {
        self.leader.take_effects()
    }

    fn owner(&self, key: u16) -> Option<id::Server> {
        self.machine.tables()["status"].find(key).owner
    }
}

fn renewal(sequence: u64, server: &server::Announcement) -> session::Renewal {
    session::Renewal {
        sequence,
        server: Some(server.clone()),
        ..session::Renewal::default()
    }
}

/// Makes two backend servers that own all keys between them.
fn pair() -> (World, [leader::Session; 2], [server::Announcement; 2]) {
    let mut world = World::new();
    let servers = [announcement("i-1", 1), announcement("i-2", 2)];
    let nodes = servers.each_ref().map(|server| {
        let node = world.leader.node_up().expect("there is room");
        world.renew(at(0), node, renewal(1, server));
        world.commit(at(0));
        world.renew(at(1), node, renewal(2, server));
        node
    });
    for ms in (300..2_000).step_by(300) {
        world.leader.tick(at(ms), &world.machine);
        world.commit(at(ms));
    }
    (world, nodes, servers)
}

/// Guards against keys without an owner, and against all of them at the first one.
#[test]
fn all_keys_get_owners_once_backend_servers_have_gathered() {
    let (world, _, _) = pair();
    let owners = [0, 20_000, 40_000, 65_535].map(|key| world.owner(key));
    assert!(owners.iter().all(Option::is_some));
    assert_ne!(world.owner(0), world.owner(65_535));
}

/// Guards against a second owner while the first may still hold a lease.
#[test]
fn keys_of_a_silent_owner_stay_until_its_lease_has_lapsed() {
    let (mut world, nodes, servers) = pair();
    let first = world.owner(0).expect("owned");
    let silent = usize::from(world.machine.servers()[&first].announcement == servers[1]);
    let (other, present) = (nodes[1 - silent], servers[1 - silent].clone());
    let mut moved = None;
    for ms in (2_000..12_000).step_by(100) {
        world.renew(at(ms), other, renewal(ms, &present));
        world.leader.tick(at(ms), &world.machine);
        world.commit(at(ms));
        if moved.is_none() && world.owner(0) != Some(first) {
            moved = Some(ms);
        }
    }
    let moved = moved.expect("the keys have moved");
    let lease = LEASE.as_millis() as u64;
    assert!(moved > lease, "moved after {moved} ms");
    assert!(moved < lease + 2_000, "moved after {moved} ms");
}

/// Guards against a wait for the lease of a backend server that is known to have ended.
#[test]
fn keys_of_an_ended_owner_move_at_once() {
    let (mut world, nodes, servers) = pair();
    let first = world.owner(0).expect("owned");
    let gone = usize::from(world.machine.servers()[&first].announcement == servers[1]);
    let ended = session::Renewal {
        sequence: 9,
        ended: Some(servers[gone].instance.clone()),
        ..session::Renewal::default()
    };
    world.renew(at(2_100), nodes[gone], ended);
    world.commit(at(2_100));
    assert_eq!(world.owner(0), None);
    for ms in (2_400..3_400).step_by(300) {
        world.leader.tick(at(ms), &world.machine);
        world.commit(at(ms));
    }
    assert!(world.owner(0).is_some_and(|owner| owner != first));
}

/// Guards against a new leader that takes silence before its election for a lapse.
#[test]
fn a_new_leader_waits_for_a_whole_lease() {
    let (world, _, _) = pair();
    let mut world = World {
        leader: leader::Leader::new(LEASE, &world.machine, at(5_000)),
        ..world
    };
    for ms in (5_000..11_900).step_by(100) {
        world.leader.tick(at(ms), &world.machine);
        assert_eq!(world.commit(at(ms)), [], "at {ms} ms");
    }
}

/// Guards against keys that no one owns because the leader that planned their move
/// has gone: a node states what it has released, and any leader assigns it.
#[test]
fn a_released_range_is_assigned_by_a_leader_that_did_not_plan_it() {
    let (mut world, nodes, servers) = pair();
    let first = world.owner(0).expect("owned");
    let own = usize::from(world.machine.servers()[&first].announcement == servers[1]);
    let slice = world.machine.tables()["status"].find(0).clone();
    let part = slice::Range::new(0, 99);
    let mut stated = renewal(50, &servers[own]);
    stated.released.push(session::Released {
        service: "status".to_owned(),
        range: part,
        fence: slice.fence,
        handover: Some("value".to_owned()),
    });
    world.renew(at(2_100), nodes[own], stated);
    world.commit(at(2_100));
    let moved = world.machine.tables()["status"].find(50);
    assert!(moved.owner.is_some_and(|owner| owner != first));
    assert_eq!(moved.handover.as_deref(), Some("value"));
    assert!(moved.fence > slice.fence);
    assert_eq!(world.owner(100), Some(first));
}

/// Guards against a renewal that is not acknowledged, or acknowledged to another node.
#[test]
fn a_renewal_is_acknowledged_with_its_number() {
    let (mut world, nodes, servers) = pair();
    world.effects();
    world.renew(at(2_100), nodes[0], renewal(77, &servers[0]));
    let acknowledged = world.effects().into_iter().any(|effect| {
        matches!(
            effect,
            leader::Effect::Send(node, session::FromControl::Renewed { sequence: 77, .. })
                if node == nodes[0]
        )
    });
    assert!(acknowledged);
}

/// Guards against keys without a reachable owner while the node beside it restarts: the
/// node says that it stops, and its keys are released to others before it does.
#[test]
fn a_stopping_node_hands_its_keys_over_and_gets_none_until_it_is_back() {
    let (mut world, nodes, servers) = pair();
    let first = world.owner(0).expect("owned");
    let stopping = usize::from(world.machine.servers()[&first].announcement == servers[1]);
    world.effects();
    let stops = session::Renewal {
        is_leaving: true,
        ..renewal(50, &servers[stopping])
    };
    world.renew(at(2_100), nodes[stopping], stops);
    world.leader.tick(at(2_400), &world.machine);
    let asked = world
        .effects()
        .into_iter()
        .filter_map(|effect| match effect {
            leader::Effect::Send(node, session::FromControl::Release { range, fence, .. }) => {
                Some((node, range, fence))
            }
            _ => None,
        });
    let asked: Vec<_> = asked.collect();
    assert!(asked.iter().all(|(node, ..)| *node == nodes[stopping]));
    let keys: u32 = asked.iter().map(|(_, range, _)| range.len()).sum();
    assert!(keys > 30_000, "{asked:?}");
    let mut released = session::Renewal {
        is_leaving: true,
        ..renewal(51, &servers[stopping])
    };
    for (_, range, fence) in asked {
        released.released.push(session::Released {
            service: "status".to_owned(),
            range,
            fence,
            handover: None,
        });
    }
    world.renew(at(2_500), nodes[stopping], released);
    world.commit(at(2_500));
    assert!(world.owner(0).is_some_and(|owner| owner != first));
    // Away, without load, it would look like the best target.
    world.leader.node_down(nodes[stopping]);
    let mut busy = renewal(60, &servers[1 - stopping]);
    busy.parts = vec![sequoiayoke_dispatch::usage::Part {
        range: slice::Range::new(0, 100),
        load: 3.9,
    }];
    world.renew(at(6_000), nodes[1 - stopping], busy);
    world.effects();
    world.leader.tick(at(6_300), &world.machine);
    assert_eq!(world.effects(), []);
}

/// Guards against keys that stay with a backend server that fails all requests and calls
/// itself healthy, and against keys that flee from failures that everyone has.
#[test]
fn the_keys_of_a_failing_backend_server_move_if_the_others_do_not_fail() {
    for (others_fail, moves) in [(0.0, true), (0.8, false)] {
        let mut world = World::new();
        let servers = [1, 2, 3].map(|number| announcement(&format!("i-{number}"), number));
        let nodes = servers.each_ref().map(|server| {
            let node = world.leader.node_up().expect("there is room");
            world.renew(at(0), node, renewal(1, server));
            world.commit(at(0));
            node
        });
        for ms in (300..2_000).step_by(300) {
            world.leader.tick(at(ms), &world.machine);
            world.commit(at(ms));
        }
        world.effects();
        for (number, (node, server)) in nodes.iter().zip(&servers).enumerate() {
            let report = session::Renewal {
                failing: if number == 0 { 0.9 } else { others_fail },
                ..renewal(9, server)
            };
            world.renew(at(2_100), *node, report);
        }
        world.leader.tick(at(2_400), &world.machine);
        let asked = world.effects().into_iter().any(|effect| {
            matches!(effect, leader::Effect::Send(node, session::FromControl::Release { .. }) if node == nodes[0])
        });
        assert_eq!(asked, moves);
    }
}
