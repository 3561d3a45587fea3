//! The state that nodes build from the changes that leaders send them.

use std::collections::VecDeque;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sequoiayoke_catalog::{config, machine, server, slice};
use sequoiayoke_director::coordinator::leader;
use sequoiayoke_gateway::coordinator::state;
use sequoiayoke_link::{codec, session};
use sequoiayoke_model::{clock, replicated::Replicated};

const LEASE: Duration = Duration::from_secs(7);
/// Number of explored sequences.
const SEEDS: u64 = 120;
/// Number of events of one sequence.
const STEPS: u32 = 150;
const NODES: usize = 3;

fn now() -> clock::Instant {
    clock::Instant::from_micros(1_000_000)
}

fn service(number: u32) -> config::Service {
    config::Service {
        name: format!("service-{number}"),
        health_path: "/".to_owned(),
        max_connections: 10,
        is_keyed: number != 1,
        warm_up_ms: 0,
        cold_start: None,
    }
}

fn announcement(random: &mut ChaCha8Rng) -> server::Announcement {
    let port = random.random_range(1..7);
    let run = random.random_range(0..4);
    server::Announcement {
        instance: server::Instance {
            name: format!("i-{port}-{run}"),
            born_ms: 10 + run,
        },
        service: service(u32::from(port) % 2).name,
        address: ([127, 0, 0, 1], port).into(),
        node: ([127, 0, 0, 1], port + 1_000).into(),
        domain: "a".to_owned(),
        slots: random.random_range(1..4),
        is_draining: random.random_bool(0.2),
    }
}

fn configure(machine: &machine::Machine, services: u32) -> machine::Command {
    let base = machine.version();
    let version = config::Version(base.0 + 1);
    machine::Command::Configure(machine::Order {
        base,
        config: config::Config {
            version,
            services: (0..services).map(service).collect(),
            ..config::Config::default()
        },
        document: Vec::new(),
        digest: version.0,
    })
}

/// Returns a move of a part of a random slice, which takes effect unless it is outdated.
fn random_move(machine: &machine::Machine, random: &mut ChaCha8Rng) -> Option<slice::Move> {
    let ids: Vec<_> = machine.servers().keys().copied().collect();
    let (service, table) = machine.tables().iter().next()?;
    let slice = table.find(random.random());
    let first = random.random_range(slice.range.first..=slice.range.last);
    let last = random.random_range(first..=slice.range.last);
    let is_outdated = random.random_bool(0.1);
    Some(slice::Move {
        service: service.clone(),
        range: slice::Range::new(first, last),
        expected: slice::Fence(slice.fence.0 + u64::from(is_outdated)),
        from: slice.owner,
        to: *ids.get(random.random_range(0..ids.len().max(1)))?,
        handover: random.random_bool(0.3).then(|| "handover".to_owned()),
    })
}

fn random_command(machine: &machine::Machine, random: &mut ChaCha8Rng) -> machine::Command {
    match random.random_range(0..11) {
        10 => machine::Command::Evacuate(machine::Evacuation {
            domain: format!("domain-{}", random.random_range(0..3)),
            is_evacuated: random.random_bool(0.5),
        }),
        0 => configure(machine, random.random_range(1..4)),
        1 | 2 => machine::Command::Join(announcement(random)),
        3 => {
            let mut servers = machine.servers().values();
            let count = servers.len().max(1);
            let server = servers.nth(random.random_range(0..count));
            server.map_or(machine::Command::Assign(Vec::new()), |server| {
                machine::Command::Leave {
                    server: server.id,
                    incarnation: server.incarnation,
                }
            })
        }
        _ => {
            let moves = (0..random.random_range(1..4)).map(|_| random_move(machine, random));
            machine::Command::Assign(moves.flatten().collect())
        }
    }
}

/// A node, and the messages that are on their way to it.
struct Node {
    state: state::State,
    session: Option<leader::Session>,
    messages: VecDeque<session::FromControl>,
}

impl Node {
    fn new() -> Self {
        let config = state::Config {
            domain: "a".to_owned(),
            service: service(0).name,
            lease: LEASE,
            backend: ([127, 0, 0, 1], 1).into(),
            max_hold: Duration::from_secs(10),
            started_ms: 0,
        };
        Self {
            state: state::State::new(config),
            session: None,
            messages: VecDeque::new(),
        }
    }

    fn connect(&mut self, leader: &mut leader::Leader) {
        if let Some(session) = self.session.take() {
            leader.node_down(session);
        }
        self.messages.clear();
        self.session = leader.node_up();
    }

    fn receive(&mut self, count: usize) {
        let count = count.min(self.messages.len());
        for message in self.messages.drain(..count) {
            match message {
                session::FromControl::State(state) => self.state.apply_state(now(), state),
                session::FromControl::Changes(changes) => {
                    assert!(self.state.apply_changes(now(), changes), "a gap");
                }
                _ => {}
            }
        }
    }
}

fn send(leader: &mut leader::Leader, machine: &machine::Machine, nodes: &mut [Node]) {
    for effect in leader.take_effects(machine) {
        let (sessions, message) = match effect {
            leader::Effect::Send(session, message) => (vec![session], message),
            leader::Effect::Broadcast(sessions, message) => (sessions, message),
            leader::Effect::State(session) => {
                let state = session::State {
                    index: machine.index(),
                    config: machine.order().map(|order| order.config.clone()),
                    servers: machine.servers().values().cloned().collect(),
                    tables: machine.tables().clone(),
                    evacuated: machine.evacuated().clone(),
                };
                (vec![session], session::FromControl::State(state))
            }
        };
        let is_addressed =
            |node: &&mut Node| node.session.is_some_and(|own| sessions.contains(&own));
        for node in nodes.iter_mut().filter(is_addressed) {
            node.messages.push_back(message.clone());
        }
    }
}

fn explore(seed: u64) {
    println!("seed {seed}");
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut log: Vec<machine::Command> = Vec::new();
    let mut machine = machine::Machine::new();
    let mut leader = leader::Leader::new(LEASE, &machine, now());
    let mut nodes: Vec<_> = (0..NODES).map(|_| Node::new()).collect();
    nodes.iter_mut().for_each(|node| node.connect(&mut leader));
    let apply = |machine: &mut machine::Machine, leader: &mut leader::Leader, command: &_| {
        let output = machine.apply(machine.index() + 1, command);
        leader.applied(now(), machine, command, &output);
    };
    for _ in 0..STEPS {
        match random.random_range(0..12) {
            0..6 => {
                let command = random_command(&machine, &mut random);
                apply(&mut machine, &mut leader, &command);
                log.push(command);
            }
            6..9 => send(&mut leader, &machine, &mut nodes),
            9 => {
                let node = &mut nodes[random.random_range(0..NODES)];
                node.receive(random.random_range(0..4));
            }
            10 => nodes[random.random_range(0..NODES)].connect(&mut leader),
            _ => {
                // A new leader has every entry in its log, but has not applied the last ones yet.
                let lag = random.random_range(0..4).min(log.len());
                machine = machine::Machine::new();
                for (index, command) in (1..).zip(&log[..log.len() - lag]) {
                    machine.apply(index, command);
                }
                leader = leader::Leader::new(LEASE, &machine, now());
                for node in &mut nodes {
                    node.session = None;
                    node.connect(&mut leader);
                }
                if random.random_bool(0.5) {
                    send(&mut leader, &machine, &mut nodes);
                }
                for command in &log[log.len() - lag..] {
                    apply(&mut machine, &mut leader, command);
                }
            }
        }
    }
    send(&mut leader, &machine, &mut nodes);
    for node in &mut nodes {
        node.receive(usize::MAX);
        let view = node.state.take_view();
        let Some(view) = view else {
            panic!("the view has changed since the start");
        };
        assert_eq!(*view.servers, *machine.servers());
        assert_eq!(*view.tables, *machine.tables());
        assert_eq!(*view.evacuated, *machine.evacuated());
        let version = view
            .config
            .map_or(config::Version(0), |config| config.version);
        assert_eq!(version, machine.version());
    }
}

/// Guards against a node whose state differs from that of the leader after any sequence of changes,
/// reconnections and new leaders: it would send requests to servers that do not own their keys.
#[test]
fn nodes_build_the_state_of_the_leader_from_its_changes() {
    (0..SEEDS).for_each(explore);
}

/// Guards against messages that fill the links of nodes while many keys move: with the whole table
/// in each message, 40 moves a second took most of a link of 6 Mbit/s.
#[test]
fn a_move_in_a_table_with_many_slices_costs_a_short_message() {
    let mut machine = machine::Machine::new();
    let mut apply = |command: &machine::Command, leader: Option<&mut leader::Leader>| {
        let output = machine.apply(machine.index() + 1, command);
        if let Some(leader) = leader {
            leader.applied(now(), &machine, command, &output);
        }
        machine.clone()
    };
    let empty = machine::Machine::new();
    apply(&configure(&empty, 1), None);
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let machine = apply(&machine::Command::Join(announcement(&mut random)), None);
    let to = *machine.servers().keys().next().expect("it has joined");
    let assign = |first: u16, from, expected| {
        machine::Command::Assign(vec![slice::Move {
            service: service(0).name,
            range: slice::Range::new(first, first + 9),
            expected,
            from,
            to,
            handover: None,
        }])
    };
    let mut machine = machine;
    for first in (0..40_000).step_by(20) {
        machine = apply(&assign(first, None, slice::Fence(0)), None);
    }
    let mut leader = leader::Leader::new(LEASE, &machine, now());
    let session = leader.node_up().expect("there is room");
    assert_eq!(
        leader.take_effects(&machine),
        [leader::Effect::State(session)]
    );
    let moved = machine.tables()[&service(0).name].find(20_000).clone();
    let machine = apply(&assign(20_000, moved.owner, moved.fence), Some(&mut leader));
    let effects = leader.take_effects(&machine);
    let [leader::Effect::Broadcast(sessions, message)] = &effects[..] else {
        panic!("one message to all nodes: {effects:?}");
    };
    assert_eq!(sessions[..], [session]);
    let length = codec::encode(message).expect("it fits a frame").len();
    assert!(length <= 100, "{length} bytes");
}
