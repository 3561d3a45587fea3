//! Seeded runs of several nodes under one control plane, with pauses, drift,
//! late, duplicated and reordered messages and changes of leader.
//!
//! `LEASE_SEED` runs one seed; the seed of a failure is part of its message.

use std::collections;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use sequoiayoke_lease::holder;
use sequoiayoke_lease::registry;
use sequoiayoke_model::clock;
use sequoiayoke_model::id;

const SEEDS: u64 = 300;
const NODES: usize = 3;
/// Real time of one run, in microseconds.
const END: u64 = 12_000_000;
const STEP: u64 = 10_000;
const RENEWAL: u64 = 150_000;
const MARGIN_PERMILLE: u64 = 50;

#[derive(Clone, Copy)]
enum Message {
    Renew(registry::Member, u64, id::Version),
    Renewed(registry::Member, u64, id::Version),
    Welcome(registry::Member, u64),
    Granted(registry::Member),
    Applied(usize, id::Version),
}

struct Node {
    drift: u64,
    holder: holder::Holder,
    incarnation: id::Incarnation,
    owns: bool,
    applied: id::Version,
    sequence: u64,
    next_renewal: u64,
    joins: bool,
    paused_until: u64,
    /// Until then it gets acknowledgements but no deltas.
    lags_until: u64,
}

struct World {
    random: rand_chacha::ChaCha8Rng,
    now: u64,
    nodes: Vec<Node>,
    registry: registry::Registry,
    control_drift: u64,
    leader_from: u64,
    leads: bool,
    members: collections::BTreeSet<registry::Member>,
    /// Proposed entries that remove a member, with the time of their commit.
    leaves: collections::BTreeMap<registry::Member, u64>,
    owner: Option<registry::Member>,
    index: u64,
    /// Real time of each commit, by version.
    commits: collections::BTreeMap<id::Version, u64>,
    /// Messages by arrival; the number keeps equal times apart.
    messages: collections::BTreeMap<(u64, u64), Message>,
    sent: u64,
    /// Checks made while some node owned the grant and held its lease.
    held: u64,
    /// Checks made while a view was confirmed but not the latest.
    stale: u64,
}

fn local(now: u64, drift: u64) -> clock::Instant {
    clock::Instant::from_micros(now * (1_000 + drift) / 1_000)
}

fn server(node: usize) -> id::Server {
    id::Server(node as u32)
}

impl World {
    fn new(seed: u64) -> Self {
        let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let nodes = (0..NODES)
            .map(|_| Node {
                drift: drift(&mut random),
                holder: holder::Holder::new(holder::Config::default()),
                incarnation: id::Incarnation(0),
                owns: false,
                applied: id::Version(0),
                sequence: 0,
                next_renewal: 0,
                joins: true,
                paused_until: 0,
                lags_until: 0,
            })
            .collect();
        let control_drift = drift(&mut random);
        Self {
            random,
            now: 0,
            nodes,
            registry: registry::Registry::new(registry::Config::default()),
            control_drift,
            leader_from: 0,
            leads: false,
            members: collections::BTreeSet::new(),
            leaves: collections::BTreeMap::new(),
            owner: None,
            index: 0,
            commits: collections::BTreeMap::new(),
            messages: collections::BTreeMap::new(),
            sent: 0,
            held: 0,
            stale: 0,
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.random.random_range(0..100) < percent
    }

    fn send(&mut self, message: Message) {
        if self.chance(5) {
            return;
        }
        let copies = if self.chance(10) { 2 } else { 1 };
        for _ in 0..copies {
            let slow = self.chance(15);
            let longest = if slow { 900_000 } else { 20_000 };
            let delay = self.random.random_range(0..longest);
            self.sent += 1;
            self.messages.insert((self.now + delay, self.sent), message);
        }
    }

    fn commit(&mut self) -> u64 {
        self.index += 1;
        self.commits.insert(id::Version(self.index), self.now);
        for node in 0..NODES {
            self.send(Message::Applied(node, id::Version(self.index)));
        }
        self.index
    }

    fn control_now(&self) -> clock::Instant {
        local(self.now, self.control_drift)
    }

    fn step(&mut self) {
        self.now += STEP;
        let due = self.messages.split_off(&(self.now + 1, 0));
        for ((at, _), message) in std::mem::replace(&mut self.messages, due) {
            // A message waits until the process that receives it runs again.
            self.now = self.now.max(at);
            self.deliver(message);
        }
        self.run_control();
        for node in 0..NODES {
            self.run_node(node);
        }
    }

    fn deliver(&mut self, message: Message) {
        let control = self.control_now();
        match message {
            Message::Renew(member, sequence, applied) => {
                if self.leads && self.registry.renew(control, member, applied).is_ok() {
                    let version = id::Version(self.index);
                    self.send(Message::Renewed(member, sequence, version));
                }
            }
            Message::Renewed(member, sequence, version) => {
                let node = &mut self.nodes[member.server.0 as usize];
                node.holder.acknowledge(sequence, version);
            }
            Message::Welcome(member, sequence) => {
                let node = &mut self.nodes[member.server.0 as usize];
                if node.joins && node.sequence == sequence {
                    node.joins = false;
                    node.owns = false;
                    node.incarnation = member.incarnation;
                }
            }
            Message::Granted(member) => {
                let node = &mut self.nodes[member.server.0 as usize];
                node.owns |= node.incarnation == member.incarnation;
            }
            Message::Applied(node, version) => {
                let node = &mut self.nodes[node];
                if self.now >= node.lags_until {
                    node.applied = node.applied.max(version);
                }
            }
        }
    }

    fn run_control(&mut self) {
        if self.chance(1) {
            // A leader stops before another one is elected.
            self.leads = false;
            self.leaves.clear();
            self.leader_from = self.now + self.random.random_range(0..400_000);
        }
        if !self.leads && self.now >= self.leader_from {
            self.leads = true;
            self.control_drift = drift(&mut self.random);
            let (now, members) = (self.control_now(), self.members.clone());
            self.registry.become_leader(now, members);
        }
        if !self.leads {
            return;
        }
        for member in self.registry.collect_lapsed(self.control_now()) {
            let commit = self.now + self.random.random_range(0..100_000);
            self.leaves.entry(member).or_insert(commit);
        }
        let now = self.now;
        for (member, _) in self
            .leaves
            .extract_if(.., |_, at| *at <= now)
            .collect::<Vec<_>>()
        {
            self.commit();
            self.members.remove(&member);
            assert_eq!(
                self.registry.remove(member),
                None,
                "a lapsed lease came back"
            );
            self.owner = self.owner.filter(|owner| *owner != member);
        }
        if self.owner.is_none() && !self.members.is_empty() {
            let pick = self.random.random_range(0..self.members.len());
            self.owner = self.members.iter().nth(pick).copied();
            self.commit();
        }
        if let Some(owner) = self.owner {
            self.send(Message::Granted(owner));
        }
        if self.chance(5) {
            self.commit();
        }
    }

    fn run_node(&mut self, index: usize) {
        if self.chance(1) {
            let pause = self.random.random_range(100_000..2_500_000);
            self.nodes[index].paused_until = self.now + pause;
        }
        if self.chance(1) {
            let lag = self.random.random_range(0..4_000_000);
            self.nodes[index].lags_until = self.now + lag;
        }
        let joined = local(self.now, self.control_drift);
        let node = &mut self.nodes[index];
        let now = local(self.now, node.drift);
        if self.now < node.paused_until || self.now < node.next_renewal {
            return;
        }
        node.next_renewal = self.now + RENEWAL;
        node.sequence += 1;
        let (sequence, applied) = (node.sequence, node.applied);
        if !node.joins && node.holder.valid_until().is_some() && !node.holder.is_valid(now) {
            node.holder.drop_lease();
            node.joins = true;
        }
        if !node.joins {
            node.holder.record_sent(now, sequence);
            let member = registry::Member::new(server(index), node.incarnation);
            self.send(Message::Renew(member, sequence, applied));
        } else if self.leads {
            let incarnation = id::Incarnation(self.commit());
            let member = registry::Member::new(server(index), incarnation);
            self.members.insert(member);
            assert_eq!(self.registry.add(joined, member), Ok(()));
            self.send(Message::Welcome(member, sequence));
        }
    }

    fn check(&mut self, seed: u64) {
        let control = self.control_now();
        let mut holders = 0;
        for (index, node) in self.nodes.iter().enumerate() {
            let now = local(self.now, node.drift);
            let member = registry::Member::new(server(index), node.incarnation);
            if node.holder.is_valid(now) {
                let live = !self.leads || self.registry.is_live(control, member);
                assert!(live, "seed {seed}: {member:?} holds a lapsed lease");
                let complete = self.registry.confirmation(id::Version(self.index));
                let current = !self.leads
                    || !complete.is_complete()
                    || node.applied >= id::Version(self.index);
                assert!(current, "seed {seed}: {member:?} did not confirm");
                holders += usize::from(node.owns);
            }
            if node.holder.is_view_confirmed(now, node.applied)
                && let Some(missed) = self.commits.get(&id::Version(node.applied.0 + 1))
            {
                self.stale += 1;
                let age = Duration::from_micros(self.now - missed);
                let bound = holder::Config::default().view_bound;
                assert!(age <= bound, "seed {seed}: a view is {age:?} behind");
            }
        }
        assert!(
            holders <= 1,
            "seed {seed}: {holders} owners at {}",
            self.now
        );
        self.held += holders as u64;
    }
}

// The extremes are likely, since a fault in the margin shows only near them.
fn drift(random: &mut rand_chacha::ChaCha8Rng) -> u64 {
    match random.random_range(0..3) {
        0 => 0,
        1 => MARGIN_PERMILLE,
        _ => random.random_range(0..=MARGIN_PERMILLE),
    }
}

/// Guards against two incarnations with a valid lease for one grant, a lease
/// that outlives its entry in the registry, a view that is used beyond its
/// bound, and a version that counts as in force before each live node has it.
#[test]
fn one_owner_at_any_time() {
    let only = std::env::var("LEASE_SEED").ok();
    let only = only.map(|seed| seed.parse().expect("LEASE_SEED is a number"));
    let seeds = only.map_or(0..SEEDS, |seed: u64| seed..seed + 1);
    println!("seeds {seeds:?}");
    let (mut held, mut stale) = (0, 0);
    for seed in seeds {
        let mut world = World::new(seed);
        while world.now < END {
            world.step();
            world.check(seed);
        }
        held += world.held;
        stale += world.stale;
    }
    println!("owner held {held} times, view behind but confirmed {stale} times");
    // The run says nothing if no node ever owned the grant or lagged behind.
    assert!(held > 0 && stale > 0);
}
