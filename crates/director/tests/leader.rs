//! Decisions of the leader, without a log or a network.

use std::time::Duration;

use sequoiayoke_catalog::{config, machine, server, slice};
use sequoiayoke_director::coordinator::leader;
use sequoiayoke_link::session;
use sequoiayoke_model::{clock, id, replicated::Replicated};

const LEASE: Duration = Duration::from_secs(7);

fn instant(ms: u64) -> clock::Instant {
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

/// A leader with a state machine, in which proposals are committed at once.
struct Harness {
    machine: machine::Machine,
    leader: leader::Leader,
    index: u64,
}

impl Harness {
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
                    cold_start: None,
                }],
                ..config::Config::default()
            },
            document: Vec::new(),
            digest: 1,
        };
        machine.apply(1, &machine::Command::Configure(order));
        let leader = leader::Leader::new(LEASE, &machine, instant(0));
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
        self.leader.take_effects(&self.machine)
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

/// Returns a harness with two backend servers that together own all keys.
fn pair() -> (Harness, [leader::Session; 2], [server::Announcement; 2]) {
    let mut harness = Harness::new();
    let servers = [announcement("i-1", 1), announcement("i-2", 2)];
    let nodes = servers.each_ref().map(|server| {
        let node = harness.leader.node_up().expect("there is room");
        harness.renew(instant(0), node, renewal(1, server));
        harness.commit(instant(0));
        harness.renew(instant(1), node, renewal(2, server));
        node
    });
    for ms in (300..2_000).step_by(300) {
        harness.leader.tick(instant(ms), &harness.machine);
        harness.commit(instant(ms));
    }
    (harness, nodes, servers)
}

/// Guards against keys that stay without an owner, and against the first backend server to join
/// receiving all keys.
#[test]
fn all_keys_are_assigned_once_backend_servers_have_joined() {
    let (harness, _, _) = pair();
    let owners = [0, 20_000, 40_000, 65_535].map(|key| harness.owner(key));
    assert!(owners.iter().all(Option::is_some));
    assert_ne!(harness.owner(0), harness.owner(65_535));
}

/// Guards against a second owner of keys while the first may still hold a lease: a node stops
/// renewing, and its keys must not move before its lease has lapsed.
#[test]
fn keys_of_an_unresponsive_owner_stay_until_its_lease_has_lapsed() {
    let (mut harness, nodes, servers) = pair();
    let first = harness.owner(0).expect("owned");
    let unresponsive = usize::from(harness.machine.servers()[&first].announcement == servers[1]);
    let (live_node, live_server) = (nodes[1 - unresponsive], servers[1 - unresponsive].clone());
    let mut moved = None;
    for ms in (2_000..12_000).step_by(100) {
        harness.renew(instant(ms), live_node, renewal(ms, &live_server));
        harness.leader.tick(instant(ms), &harness.machine);
        harness.commit(instant(ms));
        if moved.is_none() && harness.owner(0) != Some(first) {
            moved = Some(ms);
        }
    }
    let moved = moved.expect("the keys have moved");
    let lease = LEASE.as_millis() as u64;
    assert!(moved > lease, "moved after {moved} ms");
    assert!(moved < lease + 2_000, "moved after {moved} ms");
}

/// Guards against waiting for the lease of a backend server that is known to have ended: its node
/// reports the end, and its keys become vacant at once.
#[test]
fn keys_of_an_ended_owner_move_at_once() {
    let (mut harness, nodes, servers) = pair();
    let first = harness.owner(0).expect("owned");
    let stopped = usize::from(harness.machine.servers()[&first].announcement == servers[1]);
    let ended = session::Renewal {
        sequence: 9,
        ended: Some(servers[stopped].instance.clone()),
        ..session::Renewal::default()
    };
    harness.renew(instant(2_100), nodes[stopped], ended);
    harness.commit(instant(2_100));
    assert_eq!(harness.owner(0), None);
    for ms in (2_400..3_400).step_by(300) {
        harness.leader.tick(instant(ms), &harness.machine);
        harness.commit(instant(ms));
    }
    assert!(harness.owner(0).is_some_and(|owner| owner != first));
}

/// Guards against a new leader that removes backend servers too early: it knows no renewals from
/// before its election, so it waits for a whole lease.
#[test]
fn a_new_leader_waits_for_a_whole_lease() {
    let (harness, _, _) = pair();
    let mut harness = Harness {
        leader: leader::Leader::new(LEASE, &harness.machine, instant(5_000)),
        ..harness
    };
    for ms in (5_000..11_900).step_by(100) {
        harness.leader.tick(instant(ms), &harness.machine);
        assert_eq!(harness.commit(instant(ms)), [], "at {ms} ms");
    }
}

/// Guards against keys that stay without an owner because the leader that planned their move has
/// failed: a node states the ranges that it has released, and any leader assigns them.
#[test]
fn a_released_range_is_assigned_by_a_leader_that_did_not_plan_it() {
    let (mut harness, nodes, servers) = pair();
    let first = harness.owner(0).expect("owned");
    let releasing = usize::from(harness.machine.servers()[&first].announcement == servers[1]);
    let slice = harness.machine.tables()["status"].find(0).clone();
    let released_range = slice::Range::new(0, 99);
    let mut report = renewal(50, &servers[releasing]);
    report.released.push(session::Released {
        service: "status".to_owned(),
        range: released_range,
        fence: slice.fence,
        handover: Some("value".to_owned()),
    });
    harness.renew(instant(2_100), nodes[releasing], report);
    harness.commit(instant(2_100));
    let moved = harness.machine.tables()["status"].find(50);
    assert!(moved.owner.is_some_and(|owner| owner != first));
    assert_eq!(moved.handover.as_deref(), Some("value"));
    assert!(moved.fence > slice.fence);
    assert_eq!(harness.owner(100), Some(first));
}

/// Guards against a log that fills with assignments of the same ranges: a node states its released
/// ranges with each renewal until they are assigned.
#[test]
fn released_ranges_are_proposed_together_and_once() {
    let (mut harness, nodes, servers) = pair();
    let first = harness.owner(0).expect("owned");
    let releasing = usize::from(harness.machine.servers()[&first].announcement == servers[1]);
    let fence = harness.machine.tables()["status"].find(0).fence;
    let released = |count: u16| {
        let ranges = (0..count).map(|number| slice::Range::new(number * 10, number * 10 + 9));
        ranges.map(|range| session::Released {
            service: "status".to_owned(),
            range,
            fence,
            handover: None,
        })
    };
    let mut renew = |ms, count| {
        let report = session::Renewal {
            released: released(count).collect(),
            ..renewal(ms, &servers[releasing])
        };
        harness.renew(instant(ms), nodes[releasing], report);
        let proposals = harness.leader.take_proposals();
        let moves = proposals.into_iter().map(|command| match command {
            machine::Command::Assign(moves) => moves.len(),
            unexpected => panic!("{unexpected:?}"),
        });
        moves.collect::<Vec<_>>()
    };
    assert_eq!(renew(2_100, 3), [3]);
    assert_eq!(renew(2_110, 5), [2]);
    assert_eq!(renew(2_120, 5), Vec::<usize>::new());
    // A proposal may be lost.
    assert_eq!(renew(4_200, 5), [5]);
}

/// Guards against a renewal that is not acknowledged, or is acknowledged to another node or under
/// another sequence number.
#[test]
fn a_renewal_is_acknowledged_with_its_sequence_number() {
    let (mut harness, nodes, servers) = pair();
    harness.effects();
    harness.renew(instant(2_100), nodes[0], renewal(77, &servers[0]));
    let acknowledged = harness.effects().into_iter().any(|effect| {
        matches!(
            effect,
            leader::Effect::Send(node, session::FromControl::Renewed { sequence: 77, .. })
                if node == nodes[0]
        )
    });
    assert!(acknowledged);
}

/// Guards against keys whose owner is unreachable while its node restarts: the node announces that
/// it is about to stop, and its keys move to other backend servers first.
#[test]
fn keys_move_away_from_a_stopping_node_and_not_back_while_it_is_disconnected() {
    let (mut harness, nodes, servers) = pair();
    let first = harness.owner(0).expect("owned");
    let stopping = usize::from(harness.machine.servers()[&first].announcement == servers[1]);
    harness.effects();
    let announced = session::Renewal {
        is_leaving: true,
        ..renewal(50, &servers[stopping])
    };
    harness.renew(instant(2_100), nodes[stopping], announced);
    harness.leader.tick(instant(2_400), &harness.machine);
    let requested = harness
        .effects()
        .into_iter()
        .filter_map(|effect| match effect {
            leader::Effect::Send(node, session::FromControl::Release { range, fence, .. }) => {
                Some((node, range, fence))
            }
            _ => None,
        });
    let requested: Vec<_> = requested.collect();
    assert!(requested.iter().all(|(node, ..)| *node == nodes[stopping]));
    let keys: u32 = requested.iter().map(|(_, range, _)| range.len()).sum();
    assert!(keys > 30_000, "{requested:?}");
    let mut released = session::Renewal {
        is_leaving: true,
        ..renewal(51, &servers[stopping])
    };
    for (_, range, fence) in requested {
        released.released.push(session::Released {
            service: "status".to_owned(),
            range,
            fence,
            handover: None,
        });
    }
    harness.renew(instant(2_500), nodes[stopping], released);
    harness.commit(instant(2_500));
    assert!(harness.owner(0).is_some_and(|owner| owner != first));
    // A disconnected node reports no load, so it would otherwise be the planner's best target.
    harness.leader.node_down(nodes[stopping]);
    let mut busy = renewal(60, &servers[1 - stopping]);
    busy.parts = vec![sequoiayoke_dispatch::usage::Part {
        range: slice::Range::new(0, 100),
        load: 3.9,
    }];
    harness.renew(instant(6_000), nodes[1 - stopping], busy);
    harness.effects();
    harness.leader.tick(instant(6_300), &harness.machine);
    assert_eq!(harness.effects(), []);
}

/// Guards against keys that stay with a backend server that fails requests while its health check
/// passes, and against moving keys because of failures that all backend servers have.
#[test]
fn the_keys_of_a_failing_backend_server_move_if_the_others_do_not_fail() {
    for (others_failing, is_moved) in [(0.0, true), (0.8, false)] {
        let mut harness = Harness::new();
        let servers = [1, 2, 3].map(|number| announcement(&format!("i-{number}"), number));
        let nodes = servers.each_ref().map(|server| {
            let node = harness.leader.node_up().expect("there is room");
            harness.renew(instant(0), node, renewal(1, server));
            harness.commit(instant(0));
            node
        });
        for ms in (300..2_000).step_by(300) {
            harness.leader.tick(instant(ms), &harness.machine);
            harness.commit(instant(ms));
        }
        harness.effects();
        for (number, (node, server)) in nodes.iter().zip(&servers).enumerate() {
            let report = session::Renewal {
                failing: if number == 0 { 0.9 } else { others_failing },
                ..renewal(9, server)
            };
            harness.renew(instant(2_100), *node, report);
        }
        harness.leader.tick(instant(2_400), &harness.machine);
        let requested = harness.effects().into_iter().any(|effect| {
            matches!(effect, leader::Effect::Send(node, session::FromControl::Release { .. }) if node == nodes[0])
        });
        assert_eq!(requested, is_moved);
    }
}

/// Guards against keys that move away from servers which fail like all others, because nodes that
/// have just started have reported nothing yet.
#[test]
fn servers_without_a_report_do_not_make_the_others_outliers() {
    let mut harness = Harness::new();
    let servers = [1, 2, 3, 4, 5, 6].map(|number| announcement(&format!("i-{number}"), number));
    let nodes = servers.each_ref().map(|server| {
        let node = harness.leader.node_up().expect("there is room");
        harness.renew(instant(0), node, renewal(1, server));
        harness.commit(instant(0));
        node
    });
    for ms in (300..2_000).step_by(300) {
        harness.leader.tick(instant(ms), &harness.machine);
        harness.commit(instant(ms));
    }
    harness.effects();
    // Four of the six have not reported any failure rate.
    for (node, server) in nodes.iter().zip(&servers).take(2) {
        let report = session::Renewal {
            failing: 0.7,
            ..renewal(9, server)
        };
        harness.renew(instant(2_100), *node, report);
    }
    harness.leader.tick(instant(2_400), &harness.machine);
    let is_release = |effect: &leader::Effect| {
        matches!(
            effect,
            leader::Effect::Send(_, session::FromControl::Release { .. })
        )
    };
    assert!(!harness.effects().iter().any(is_release));
}

/// Guards against nodes that do not learn the new grants of a backend server which has started again:
/// they would go on with the fences of the former instance.
#[test]
fn nodes_are_told_the_keys_of_a_restarted_backend_server() {
    let (mut harness, nodes, servers) = pair();
    harness.effects();
    let restarted = server::Announcement {
        instance: server::Instance {
            born_ms: 2_000,
            ..servers[0].instance.clone()
        },
        ..servers[0].clone()
    };
    harness.renew(instant(2_000), nodes[0], renewal(3, &restarted));
    harness.commit(instant(2_000));
    let server = harness.machine.find_server(&restarted.instance);
    let id = server.expect("the backend server has joined").id;
    let effects = harness.effects();
    let told = effects.iter().find_map(|effect| match effect {
        leader::Effect::Broadcast(_, session::FromControl::Changes(changes)) => {
            Some(&changes.slices)
        }
        _ => None,
    });
    let slices = &told.expect("the nodes are told")[0].1;
    assert!(!slices.is_empty());
    for slice in slices {
        assert_eq!(slice.owner, Some(id));
        assert_eq!(
            harness.machine.tables()["status"].find(slice.range.first),
            slice
        );
    }
}

/// Guards against a lease that outlasts the removal of its backend server: a restarted node may hear
/// late from an instance whose end was reported, and renew its lease before the removal is applied.
#[test]
fn the_lease_of_a_backend_server_that_is_being_removed_is_not_renewed() {
    let (mut harness, nodes, servers) = pair();
    let ended = session::Renewal {
        sequence: 3,
        ended: Some(servers[0].instance.clone()),
        ..session::Renewal::default()
    };
    harness.renew(instant(2_000), nodes[0], ended);
    harness.effects();
    let restarted = harness.leader.node_up().expect("there is room");
    harness.renew(instant(2_010), restarted, renewal(1, &servers[0]));
    let effects = harness.effects();
    let renewed = effects.iter().any(|effect| {
        matches!(
            effect,
            leader::Effect::Send(_, session::FromControl::Renewed { .. })
        )
    });
    assert!(!renewed, "{effects:?}");
}

/// Guards against a second owner after a restart of a node: a lease that is renewed before the node
/// knows the state lets it grant keys that have moved.
#[test]
fn a_node_gets_the_state_before_its_lease() {
    let (mut harness, _, servers) = pair();
    harness.effects();
    let restarted = harness.leader.node_up().expect("there is room");
    harness.renew(instant(2_000), restarted, renewal(1, &servers[0]));
    let effects = harness.effects();
    let state = leader::Effect::State(restarted);
    let state = effects.iter().position(|effect| *effect == state);
    let is_renewed = |effect: &leader::Effect| {
        matches!(
            effect,
            leader::Effect::Send(_, session::FromControl::Renewed { .. })
        )
    };
    let renewed = effects.iter().position(is_renewed);
    assert!(state.is_some() && state < renewed, "{effects:?}");
}
