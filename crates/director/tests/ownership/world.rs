//! The leader, its log, the nodes, and the messages between them in simulated time.

mod faults;

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sequoiayoke_catalog::{config, machine, server};
use sequoiayoke_director::coordinator::leader;
use sequoiayoke_gateway::coordinator::state;
use sequoiayoke_gateway::{holdings, view};
use sequoiayoke_link::session;
use sequoiayoke_model::{clock, replicated::Replicated};

use super::backend::{Backend, Kind};

/// Time between two steps.
const STEP: Duration = Duration::from_millis(10);
/// Length of a run.
const END: Duration = Duration::from_secs(40);
/// Longest time after which an unanswered command is carried out.
const MAX_COMMAND_DELAY: Duration = Duration::from_secs(6);
/// Time after which a node no longer waits for the answer to a command.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(500);
const SERVERS: usize = 3;

#[derive(Clone, Debug)]
enum Message {
    ToLeader(usize, leader::Session, session::Renewal),
    ToNode(usize, leader::Session, session::FromControl),
    Announcement(
        usize,
        server::Announcement,
        u64,
        clock::Instant,
        holdings::Report,
    ),
    /// A run of a backend server is leaving.
    Leaving(usize, u64),
    /// A run of a node asks its backend server which instance it is.
    Question(usize, u64, server::Announcement),
    /// The answer, which tells whether it is that instance, and in use.
    Identity(usize, u64, server::Announcement, bool),
    Response(
        usize,
        u64,
        (u64, clock::Instant),
        Option<holdings::Assignment>,
    ),
    /// A command of a run of a node and, if it is carried out late, when it has arrived and at which
    /// run of the backend server.
    Command(usize, u64, state::Effect, Option<(clock::Instant, u64)>),
    /// An answer for a run of a node, or none.
    Answer(usize, u64, state::Effect, Option<bool>),
}

struct Node {
    state: state::State,
    run: u64,
    /// Start of the process.
    restarted_at: clock::Instant,
    session: Option<leader::Session>,
    /// Until this time it cannot reach the leader.
    cut_until: clock::Instant,
    backend: Backend,
    /// Instance of the backend server in the latest view.
    instance: Option<server::Instance>,
}

pub(crate) struct World {
    random: ChaCha8Rng,
    kind: Kind,
    lease: Duration,
    node_lease: Duration,
    now: clock::Instant,
    start: clock::Instant,
    machine: machine::Machine,
    leader: leader::Leader,
    log: VecDeque<(clock::Instant, machine::Command)>,
    index: u64,
    nodes: Vec<Node>,
    messages: Vec<(clock::Instant, Message)>,
    assignments: usize,
    /// Instances that the replicated state has known as leaving.
    leaving: BTreeSet<server::Instance>,
    /// Runs of backend servers whose leaving was acknowledged.
    acknowledged: BTreeSet<(usize, u64)>,
    violation: Option<String>,
    is_traced: bool,
}

fn address(number: usize) -> std::net::SocketAddr {
    ([127, 0, 0, 1], number as u16 + 1).into()
}

fn announcement(number: usize, born_ms: u64) -> server::Announcement {
    server::Announcement {
        instance: server::Instance {
            name: format!("i-{number}"),
            born_ms,
        },
        service: "status".to_owned(),
        address: address(number),
        node: ([127, 0, 0, 1], number as u16 + 1_001).into(),
        domain: "a".to_owned(),
        slots: 4,
        is_draining: false,
    }
}

impl World {
    pub(crate) fn new(
        seed: u64,
        kind: Kind,
        (lease, node_lease): (Duration, Duration),
        is_traced: bool,
    ) -> Self {
        let start = clock::Instant::from_micros(1_000_000);
        let mut random = ChaCha8Rng::seed_from_u64(seed);
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
        let leader = leader::Leader::new(lease, &machine, start);
        let mut world = Self {
            kind,
            lease,
            node_lease,
            now: start,
            start,
            leader,
            machine,
            log: VecDeque::new(),
            index: 1,
            nodes: Vec::new(),
            messages: Vec::new(),
            assignments: 0,
            leaving: BTreeSet::new(),
            acknowledged: BTreeSet::new(),
            violation: None,
            is_traced,
            random: ChaCha8Rng::seed_from_u64(0),
        };
        for number in 0..SERVERS {
            let drift = random.random_range(0..=20);
            world.nodes.push(Node {
                state: world.new_state(number),
                run: 0,
                restarted_at: start,
                session: None,
                cut_until: start,
                backend: Backend::new(10, drift, start),
                instance: None,
            });
        }
        world.random = random;
        world
    }

    fn new_state(&self, number: usize) -> state::State {
        state::State::new(state::Config {
            domain: "a".to_owned(),
            service: "status".to_owned(),
            lease: self.node_lease,
            backend: address(number),
            max_hold: Duration::from_secs(10),
            started_ms: self.now.as_micros() / 1_000,
        })
    }

    /// Runs to the end; returns the number of assignments, or the first violation.
    pub(crate) fn run(&mut self) -> Result<usize, String> {
        while self.now < self.start + END {
            self.now = self.now + STEP;
            self.step();
            self.check()?;
        }
        Ok(self.assignments)
    }

    fn delay(&mut self) -> Duration {
        let slow = self.random.random_bool(0.03);
        let range = if slow { 50..1_500 } else { 1..8 };
        Duration::from_millis(self.random.random_range(range))
    }

    fn send(&mut self, message: Message) {
        let at = self.now + self.delay();
        self.messages.push((at, message));
    }

    fn step(&mut self) {
        self.commit();
        self.deliver();
        self.disturb();
        let now = self.now;
        self.leader.tick(now, &self.machine);
        self.take_leader_output();
        for number in 0..SERVERS {
            self.step_node(number);
        }
    }

    fn step_node(&mut self, number: usize) {
        let now = self.now;
        let is_cut = now < self.nodes[number].cut_until;
        if self.nodes[number].session.is_none() && !is_cut && self.random.random_bool(0.2) {
            self.nodes[number].session = self.leader.node_up();
            self.nodes[number].state.record_connected(now);
        }
        let backend = &self.nodes[number].backend;
        if now >= backend.next_announcement && !backend.is_leaving {
            self.announce(number);
        } else if !backend.is_up(now) && self.random.random_bool(0.03) {
            // A request finds that no process listens.
            self.record_refused(number);
        }
        self.nodes[number].state.tick(now);
        self.observe(number);
        for effect in self.nodes[number].state.take_effects() {
            match effect {
                state::Effect::Renew(renewal) => {
                    if let Some(session) = self.nodes[number].session {
                        self.send(Message::ToLeader(number, session, renewal));
                    }
                }
                state::Effect::Identify(known) => {
                    let run = self.nodes[number].run;
                    self.send(Message::Question(number, run, known));
                }
                command => {
                    let run = self.nodes[number].run;
                    let at = now + self.delay().min(COMMAND_TIMEOUT);
                    let message = Message::Command(number, run, command, None);
                    self.messages.push((at, message));
                }
            }
        }
    }

    fn announce(&mut self, number: usize) {
        let now = self.now;
        let backend = &mut self.nodes[number].backend;
        let is_first = backend.sequence == 0;
        let (sequence, report) = backend.report(now);
        let announced = announcement(number, backend.born_ms);
        let message = Message::Announcement(number, announced, sequence, now, report);
        if is_first && self.random.random_bool(0.3) {
            // Nothing else tells the node of a new run.
            let at = now + Duration::from_millis(self.random.random_range(500..3_000));
            self.messages.push((at, message));
            return;
        }
        if self.random.random_bool(0.02) {
            let at = now + Duration::from_millis(self.random.random_range(1_000..4_000));
            self.messages.push((at, message.clone()));
        }
        if !self.random.random_bool(0.05) {
            self.send(message);
        }
    }

    /// Commits what the leader has proposed; some commits stall.
    fn commit(&mut self) {
        while let Some((at, command)) = self.log.pop_front() {
            if at > self.now {
                self.log.push_front((at, command));
                return;
            }
            self.index += 1;
            let output = self.machine.apply(self.index, &command);
            self.trace(&(self.index, &command, &output));
            if let machine::Output::Assigned(count) = output {
                self.assignments += count;
            }
            self.check_leaving();
            self.leader
                .applied(self.now, &self.machine, &command, &output);
        }
    }

    /// Checks that no backend server that was leaving is in use again.
    fn check_leaving(&mut self) {
        let at = self.now.saturating_since(self.start);
        for server in self.machine.servers().values() {
            let instance = &server.announcement.instance;
            if server.announcement.is_draining {
                self.leaving.insert(instance.clone());
            } else if self.leaving.contains(instance) {
                let violation = format!("at {at:?} {instance:?} has left and is in use again");
                self.violation.get_or_insert(violation);
            }
        }
    }

    fn take_leader_output(&mut self) {
        for command in self.leader.take_proposals() {
            let stall = self.random.random_bool(0.1);
            let ms = self
                .random
                .random_range(if stall { 100..1_900 } else { 5..40 });
            let at = self.now + Duration::from_millis(ms);
            let last = self.log.back().map_or(at, |(last, _)| *last);
            self.log.push_back((at.max(last), command));
        }
        for effect in self.leader.take_effects(&self.machine) {
            let (sessions, message) = match effect {
                leader::Effect::Send(session, message) => (vec![session], message),
                leader::Effect::Broadcast(sessions, message) => (sessions, message),
                leader::Effect::State(session) => {
                    let state = session::State {
                        index: self.machine.index(),
                        config: self.machine.order().map(|order| order.config.clone()),
                        servers: self.machine.servers().values().cloned().collect(),
                        tables: self.machine.tables().clone(),
                        evacuated: BTreeSet::new(),
                    };
                    (vec![session], session::FromControl::State(state))
                }
            };
            for session in sessions {
                let mut nodes = self.nodes.iter();
                if let Some(number) = nodes.position(|node| node.session == Some(session)) {
                    // The messages of a session stay in order.
                    let at = self.now + Duration::from_millis(2);
                    let message = Message::ToNode(number, session, message.clone());
                    self.messages.push((at, message));
                }
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let messages = std::mem::take(&mut self.messages);
        let (mut due, later): (Vec<_>, Vec<_>) =
            messages.into_iter().partition(|(at, _)| *at <= now);
        self.messages = later;
        due.sort_by_key(|(at, _)| *at);
        for (_, message) in due {
            self.receive(message);
        }
    }

    fn receive(&mut self, message: Message) {
        let now = self.now;
        self.trace(&message);
        match message {
            Message::ToLeader(number, session, renewal) => {
                if self.nodes[number].session == Some(session) {
                    self.leader.renew(now, &self.machine, session, renewal);
                    self.take_leader_output();
                }
            }
            Message::ToNode(number, session, message) => {
                let node = &mut self.nodes[number];
                if node.session != Some(session) {
                    return;
                }
                match message {
                    session::FromControl::State(state) => node.state.apply_state(now, state),
                    session::FromControl::Changes(changes) => {
                        assert!(node.state.apply_changes(now, changes), "a gap");
                    }
                    session::FromControl::Renewed { sequence, server } => {
                        node.state.record_renewed(now, sequence, server);
                    }
                    session::FromControl::Release {
                        service,
                        range,
                        fence,
                    } => node.state.begin_release(now, &service, range, fence),
                    _ => {}
                }
            }
            Message::Announcement(number, announced, sequence, sent, report) => {
                self.receive_announcement(number, announced, sequence, sent, &report);
            }
            Message::Leaving(number, born_ms) => {
                let name = announcement(number, born_ms).instance.name;
                let unix_ms = now.as_micros() / 1_000;
                let state = &mut self.nodes[number].state;
                state.record_leaving(now, &name, Some(born_ms), unix_ms);
                self.acknowledged.insert((number, born_ms));
            }
            Message::Question(number, run, known) => {
                let backend = &self.nodes[number].backend;
                // All runs of a backend server have the same name.
                let is_in_use = backend.is_up(now) && !backend.is_leaving;
                self.send(Message::Identity(number, run, known, is_in_use));
            }
            Message::Identity(number, run, known, is_in_use) => {
                let node = &mut self.nodes[number];
                if node.run == run {
                    node.state.record_identified(now, known, Some(is_in_use));
                }
            }
            Message::Response(number, born_ms, number_and_time, assignment) => {
                let work = Duration::from_millis(self.random.random_range(0..400));
                let backend = &mut self.nodes[number].backend;
                if backend.born_ms == born_ms {
                    backend.respond(now, work, number_and_time, assignment.as_ref());
                }
            }
            Message::Command(number, run, effect, arrived) => {
                self.execute(number, run, effect, arrived);
            }
            Message::Answer(number, run, effect, answer) => {
                if self.nodes[number].run == run {
                    self.record_answer(number, effect, answer);
                }
            }
        }
    }

    fn receive_announcement(
        &mut self,
        number: usize,
        announced: server::Announcement,
        sequence: u64,
        sent: clock::Instant,
        report: &holdings::Report,
    ) {
        let now = self.now;
        let instance = announced.instance.clone();
        let state = &mut self.nodes[number].state;
        let is_accepted = state.record_announcement(now, announced, sequence);
        if self.kind == Kind::Push {
            return;
        }
        let may_assign = is_accepted && state.record_report(now, &instance, sequence, report);
        let assignment = may_assign.then(|| state.assign(now, now)).flatten();
        if self.random.random_bool(0.05) {
            return;
        }
        let response = Message::Response(number, instance.born_ms, (sequence, sent), assignment);
        // Responses of one node arrive in the order in which they were written.
        let is_response =
            |message: &Message| matches!(message, Message::Response(to, ..) if *to == number);
        let earlier = self
            .messages
            .iter()
            .filter(|(_, message)| is_response(message));
        let earlier = earlier.map(|(at, _)| *at).max();
        let at = (now + self.delay()).max(earlier.unwrap_or(now));
        self.messages.push((at, response));
    }

    fn execute(
        &mut self,
        number: usize,
        run: u64,
        effect: state::Effect,
        arrived: Option<(clock::Instant, u64)>,
    ) {
        let now = self.now;
        // Whichever run of the backend server listens at the address gets the command, but a process of
        // the node that has ended opens no connection to a later run.
        let node = &self.nodes[number];
        let born_ms = node.backend.born_ms;
        let is_cut = node.run != run && !node.backend.is_up(node.restarted_at);
        if is_cut || arrived.is_some_and(|(_, receiver)| receiver != born_ms) {
            return;
        }
        if !self.nodes[number].backend.is_up(now) {
            if self.nodes[number].run == run {
                self.record_refused(number);
                if let state::Effect::Grant { range, fence, .. } = effect {
                    let state = &mut self.nodes[number].state;
                    state.record_grant_completed(now, range, fence, None);
                }
            }
            return;
        }
        if let state::Effect::Grant {
            range,
            fence,
            hold,
            at,
            ..
        } = &effect
        {
            if arrived.is_none() && self.random.random_bool(0.05) {
                // It is not answered, and is carried out later; its time counts from its arrival.
                let delay = self.random.random_range(Duration::ZERO..MAX_COMMAND_DELAY);
                let received = Some((now, born_ms));
                let message = Message::Command(number, run, effect.clone(), received);
                self.messages.push((now + delay, message));
                let message = Message::Answer(number, run, effect, None);
                self.messages.push((now + COMMAND_TIMEOUT, message));
                return;
            }
            let sent = arrived.map_or(now, |(at, _)| at);
            let Some(left) = state::remaining_hold(*at, *hold, sent) else {
                let state = &mut self.nodes[number].state;
                state.record_grant_completed(now, *range, *fence, None);
                return;
            };
            let backend = &mut self.nodes[number].backend;
            let is_accepted = backend.grant(*range, *fence, sent, left);
            if arrived.is_none() {
                self.send(Message::Answer(number, run, effect, Some(is_accepted)));
            }
        } else if let state::Effect::Release { range, .. } = &effect {
            self.nodes[number].backend.release(*range);
            self.send(Message::Answer(number, run, effect, Some(true)));
        }
    }

    /// Reads the view of a node, and checks that its backend server gets no requests once the leaving
    /// of that was acknowledged.
    fn observe(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        let Some(view) = node.state.take_view() else {
            return;
        };
        let backend = view.backend;
        let instance = |known: &view::Backend| known.announcement.instance.clone();
        node.instance = backend.as_ref().map(instance);
        let Some(backend) = backend.filter(|known| known.draining_since.is_none()) else {
            return;
        };
        let instance = backend.announcement.instance;
        // A later run of the same name may answer under it.
        let is_running = self.nodes[number].backend.born_ms == instance.born_ms;
        if is_running && self.acknowledged.contains(&(number, instance.born_ms)) {
            let at = self.now.saturating_since(self.start);
            let violation = format!("at {at:?} {instance:?} gets requests after its leaving");
            self.violation.get_or_insert(violation);
        }
    }

    /// Records that no process listens at the address of a backend server.
    fn record_refused(&mut self, number: usize) {
        let now = self.now;
        self.observe(number);
        let node = &mut self.nodes[number];
        if let Some(instance) = &node.instance {
            node.state.record_ended(now, instance);
        }
    }

    fn record_answer(&mut self, number: usize, effect: state::Effect, answer: Option<bool>) {
        let now = self.now;
        let state = &mut self.nodes[number].state;
        match effect {
            state::Effect::Grant {
                range,
                fence,
                hold,
                at,
                ..
            } => {
                match answer {
                    Some(true) => state.record_grant_confirmed(range, fence, at + hold),
                    Some(false) => state.record_grant_refused(range, fence),
                    None => {}
                }
                let unanswered_until = answer.is_none().then(|| now + MAX_COMMAND_DELAY);
                state.record_grant_completed(now, range, fence, unanswered_until);
            }
            state::Effect::Release { range, fence, .. } => {
                state.record_keys_released(range, fence, Some("value".to_owned()));
            }
            _ => {}
        }
    }

    /// Prints what happens, if one seed is played.
    fn trace<Event>(&self, event: &Event)
    where
        Event: std::fmt::Debug,
    {
        if self.is_traced {
            let at = self.now.saturating_since(self.start);
            println!("{at:?} {event:?}");
        }
    }

    /// Checks that no key is held by two backend servers, and what was found before.
    fn check(&self) -> Result<(), String> {
        if let Some(violation) = &self.violation {
            return Err(violation.clone());
        }
        let now = self.now;
        for (number, node) in self.nodes.iter().enumerate() {
            for other in number + 1..SERVERS {
                for held in node.backend.held(now) {
                    let mut others = self.nodes[other].backend.held(now);
                    if let Some(second) = others.find(|second| second.range.overlaps(held.range)) {
                        let at = now.saturating_since(self.start);
                        return Err(format!(
                            "at {at:?} servers {number} and {other} hold {held:?} and {second:?}"
                        ));
                    }
                }
            }
        }
        Ok(())
    }
}
