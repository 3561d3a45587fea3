//! Randomized simulation of several nodes and one control plane, with paused nodes,
//! clock drift, late, duplicated and reordered messages, and leader changes.
//!
//! `LEASE_SEED` selects a single seed; a failure message contains its seed.

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
/// Simulated time of one seed, in microseconds.
const END_US: u64 = 12_000_000;
const STEP_US: u64 = 10_000;
const RENEWAL_INTERVAL_US: u64 = 150_000;
const MAX_DRIFT_PERMILLE: u64 = 50;

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
    is_owner: bool,
    applied: id::Version,
    sequence: u64,
    next_renewal: u64,
    is_joining: bool,
    paused_until: u64,
    /// Until this time the node receives acknowledgements but no view deltas.
    lags_until: u64,
}

struct World {
    random: rand_chacha::ChaCha8Rng,
    now: u64,
    nodes: Vec<Node>,
    registry: registry::Registry,
    control_drift: u64,
    leader_elected_at: u64,
    has_leader: bool,
    members: collections::BTreeSet<registry::Member>,
    /// Proposed `Leave` entries by member, with the time of their commit.
    leaves: collections::BTreeMap<registry::Member, u64>,
    owner: Option<registry::Member>,
    index: u64,
    /// Simulated time of each commit, by version.
    commits: collections::BTreeMap<id::Version, u64>,
    /// Messages by arrival time; a sequence number makes equal times distinct.
    messages: collections::BTreeMap<(u64, u64), Message>,
    sent: u64,
    /// Number of checks that found an owner with a valid lease.
    owner_checks: u64,
    /// Number of checks that found a view confirmed but not the latest.
    stale_view_checks: u64,
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
                is_owner: false,
                applied: id::Version(0),
                sequence: 0,
                next_renewal: 0,
                is_joining: true,
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
            leader_elected_at: 0,
            has_leader: false,
            members: collections::BTreeSet::new(),
            leaves: collections::BTreeMap::new(),
            owner: None,
            index: 0,
            commits: collections::BTreeMap::new(),
            messages: collections::BTreeMap::new(),
            sent: 0,
            owner_checks: 0,
            stale_view_checks: 0,
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
            let max_delay = if slow { 900_000 } else { 20_000 };
            let delay = self.random.random_range(0..max_delay);
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
        self.now += STEP_US;
        let pending = self.messages.split_off(&(self.now + 1, 0));
        for ((arrival, _), message) in std::mem::replace(&mut self.messages, pending) {
            // Messages are delivered at the end of a step; time never precedes an arrival.
            self.now = self.now.max(arrival);
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
                if self.has_leader && self.registry.renew(control, member, applied).is_ok() {
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
                if node.is_joining && node.sequence == sequence {
                    node.is_joining = false;
                    node.is_owner = false;
                    node.incarnation = member.incarnation;
                }
            }
            Message::Granted(member) => {
                let node = &mut self.nodes[member.server.0 as usize];
                node.is_owner |= node.incarnation == member.incarnation;
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
            // The leader stops before another is elected.
            self.has_leader = false;
            self.leaves.clear();
            self.leader_elected_at = self.now + self.random.random_range(0..400_000);
        }
        if !self.has_leader && self.now >= self.leader_elected_at {
            self.has_leader = true;
            self.control_drift = drift(&mut self.random);
            let (now, members) = (self.control_now(), self.members.clone());
            self.registry.become_leader(now, members);
        }
        if !self.has_leader {
            return;
        }
        for member in self.registry.collect_lapsed(self.control_now()) {
            let commit = self.now + self.random.random_range(0..100_000);
            self.leaves.entry(member).or_insert(commit);
        }
        let now = self.now;
        for (member, _) in self
            .leaves
            .extract_if(.., |_, commit_at| *commit_at <= now)
            .collect::<Vec<_>>()
        {
            self.commit();
            self.members.remove(&member);
            assert_eq!(
                self.registry.remove(member),
                None,
                "a lapsed lease became valid again"
            );
            self.owner = self.owner.filter(|owner| *owner != member);
        }
        if self.owner.is_none() && !self.members.is_empty() {
            let choice = self.random.random_range(0..self.members.len());
            self.owner = self.members.iter().nth(choice).copied();
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
        let control_now = local(self.now, self.control_drift);
        let node = &mut self.nodes[index];
        let now = local(self.now, node.drift);
        if self.now < node.paused_until || self.now < node.next_renewal {
            return;
        }
        node.next_renewal = self.now + RENEWAL_INTERVAL_US;
        node.sequence += 1;
        let (sequence, applied) = (node.sequence, node.applied);
        if !node.is_joining && node.holder.valid_until().is_some() && !node.holder.is_valid(now) {
            node.holder.drop_lease();
            node.is_joining = true;
        }
        if !node.is_joining {
            node.holder.record_sent(now, sequence);
            let member = registry::Member::new(server(index), node.incarnation);
            self.send(Message::Renew(member, sequence, applied));
        } else if self.has_leader {
            let incarnation = id::Incarnation(self.commit());
            let member = registry::Member::new(server(index), incarnation);
            self.members.insert(member);
            assert_eq!(self.registry.add(control_now, member), Ok(()));
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
                let live = !self.has_leader || self.registry.is_live(control, member);
                assert!(live, "seed {seed}: {member:?} holds a lapsed lease");
                let confirmation = self.registry.confirmation(id::Version(self.index));
                let is_current = !self.has_leader
                    || !confirmation.is_complete()
                    || node.applied >= id::Version(self.index);
                assert!(is_current, "seed {seed}: {member:?} did not confirm");
                holders += usize::from(node.is_owner);
            }
            if node.holder.is_view_confirmed(now, node.applied)
                && let Some(missed) = self.commits.get(&id::Version(node.applied.0 + 1))
            {
                self.stale_view_checks += 1;
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
        self.owner_checks += holders as u64;
    }
}

// The extremes are chosen often, because a wrong margin shows only near them.
fn drift(random: &mut rand_chacha::ChaCha8Rng) -> u64 {
    match random.random_range(0..3) {
        0 => 0,
        1 => MAX_DRIFT_PERMILLE,
        _ => random.random_range(0..=MAX_DRIFT_PERMILLE),
    }
}

/// Guards against two incarnations that hold a valid lease for one grant, a lease
/// that is valid on the node after it lapsed in the registry, a view that is used beyond
/// its bound, and a version that counts as in force before every live node applied it.
#[test]
fn at_most_one_owner_holds_a_valid_lease() {
    let selected = std::env::var("LEASE_SEED").ok();
    let selected = selected.map(|seed| seed.parse().expect("LEASE_SEED is a number"));
    let seeds = selected.map_or(0..SEEDS, |seed: u64| seed..seed + 1);
    println!("seeds {seeds:?}");
    let (mut owner_checks, mut stale_view_checks) = (0, 0);
    for seed in seeds {
        let mut world = World::new(seed);
        while world.now < END_US {
            world.step();
            world.check(seed);
        }
        owner_checks += world.owner_checks;
        stale_view_checks += world.stale_view_checks;
    }
    println!(
        "{owner_checks} checks with an owner, {stale_view_checks} with a stale but confirmed view"
    );
    // The checks are vacuous unless some node was the owner and some view was stale.
    assert!(owner_checks > 0 && stale_view_checks > 0);
}
