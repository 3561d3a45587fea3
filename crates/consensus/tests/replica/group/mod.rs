//! A group of replicas over a fake network, disk and clock.

pub(crate) mod laws;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sequoiayoke_consensus::{config, effect, entry, event, message, position, replica, stored};
use sequoiayoke_model::{clock, id};

/// One replica with its fake disk and state machine.
pub(crate) struct Node {
    pub(crate) replica: Option<replica::Replica<String>>,
    pub(crate) stored: stored::Stored<String>,
    /// Payloads applied so far, one a line.
    pub(crate) applied: String,
    pub(crate) applied_to: u64,
    pub(crate) paused: bool,
    /// Rate of the node's clock in parts per million of the group's.
    pub(crate) rate: u64,
    config: config::Config,
}

struct Flight {
    at: u64,
    from: u64,
    to: u64,
    message: message::Message<String>,
}

/// How the network treats messages; times in microseconds, chances in percent.
#[derive(Clone, Debug)]
pub(crate) struct Network {
    pub(crate) delay: (u64, u64),
    pub(crate) drop: u32,
    pub(crate) duplicate: u32,
    /// Chance that a message arrives up to a second late.
    pub(crate) late: u32,
    /// Pairs that cannot reach each other, in the direction given.
    pub(crate) cut: BTreeSet<(u64, u64)>,
}

pub(crate) struct Group {
    pub(crate) now: u64,
    pub(crate) nodes: BTreeMap<u64, Node>,
    pub(crate) network: Network,
    /// Chance in percent that a replica crashes in a step.
    pub(crate) kills: u32,
    pub(crate) random: ChaCha8Rng,
    pub(crate) laws: laws::Laws,
    /// What happened since a scenario last printed it.
    pub(crate) journal: Vec<String>,
    /// Chunks of snapshots sent so far.
    pub(crate) chunks: usize,
    flights: Vec<Flight>,
}

impl Group {
    pub(crate) fn new(count: u64, seed: u64) -> Self {
        let mut group = Self {
            now: 1_000_000,
            nodes: BTreeMap::new(),
            network: Network {
                delay: (500, 500),
                drop: 0,
                duplicate: 0,
                late: 0,
                cut: BTreeSet::new(),
            },
            kills: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            laws: laws::Laws::default(),
            journal: Vec::new(),
            chunks: 0,
            flights: Vec::new(),
        };
        for id in 1..=count {
            group.add(id, (1..=count).collect(), seed);
        }
        group
    }

    /// Adds a replica with an empty disk.
    pub(crate) fn add(&mut self, id: u64, voters: Vec<u64>, seed: u64) {
        let mut config = config::Config::new(id::Replica(id))
            .with_voters(voters.into_iter().map(id::Replica))
            .with_seed(seed * 1_000 + id);
        // Small bounds make batches, windows and chunks matter in short runs.
        config.max_batch_bytes = 400;
        config.max_batch_entries = 5;
        config.max_in_flight = 3;
        config.keep_entries = 4;
        let node = Node {
            replica: None,
            stored: stored::Stored::default(),
            applied: String::new(),
            applied_to: 0,
            paused: false,
            rate: 1_000_000,
            config,
        };
        self.nodes.insert(id, node);
        self.restart(id);
    }

    pub(crate) fn clock(&self, id: u64) -> clock::Instant {
        clock::Instant::from_micros(self.now * self.nodes[&id].rate / 1_000_000)
    }

    pub(crate) fn crash(&mut self, id: u64) {
        let node = self.nodes.get_mut(&id).expect("the node exists");
        node.replica = None;
        node.paused = false;
    }

    /// Changes the rate of a clock, under which the replica starts afresh.
    pub(crate) fn set_rate(&mut self, id: u64, rate: u64) {
        self.crash(id);
        self.nodes.get_mut(&id).expect("the node exists").rate = rate;
        self.restart(id);
    }

    pub(crate) fn set_paused(&mut self, id: u64, paused: bool) {
        let node = self.nodes.get_mut(&id).expect("the node exists");
        node.paused = paused && node.replica.is_some();
    }

    /// Starts a replica from its disk, unless it runs.
    pub(crate) fn restart(&mut self, id: u64) {
        let now = self.clock(id);
        let node = self.nodes.get_mut(&id).expect("the node exists");
        if node.replica.is_some() {
            return;
        }
        let stored = node.stored.clone();
        node.applied = String::from_utf8(stored.snapshot.data.to_vec()).expect("text");
        node.applied_to = stored.snapshot.position.index.0;
        node.replica = Some(replica::Replica::new(node.config.clone(), stored, now));
    }

    /// Returns the replica that may act as leader now.
    pub(crate) fn authority(&self) -> Option<u64> {
        let mut ids = self.nodes.keys();
        ids.find(|id| self.is_authoritative(**id)).copied()
    }

    pub(crate) fn is_authoritative(&self, id: u64) -> bool {
        let replica = self.nodes[&id].replica.as_ref();
        replica.is_some_and(|replica| replica.is_authoritative(self.clock(id)))
    }

    /// Gives an event to a replica and returns the effect that says whether the
    /// event was accepted. With the chance `kills`, the replica crashes between
    /// two effects.
    pub(crate) fn step(
        &mut self,
        id: u64,
        event: event::Event<String>,
    ) -> Option<effect::Effect<String>> {
        if !self.nodes.contains_key(&id) {
            return None;
        }
        let now = self.clock(id);
        let kill = self.chance(self.kills);
        let node = self.nodes.get_mut(&id).filter(|node| !node.paused)?;
        let effects = node.replica.as_mut()?.step(now, event);
        let survives = match kill {
            true => self.random.random_range(0..=effects.len()),
            false => effects.len(),
        };
        let mut response = None;
        for effect in effects.into_iter().take(survives) {
            match effect {
                effect::Effect::Accepted(_) | effect::Effect::Refused(_) => {
                    response = Some(effect);
                }
                effect => self.carry_out(id, effect),
            }
        }
        if kill {
            self.crash(id);
        }
        self.laws.check_authority(self);
        response
    }

    fn carry_out(&mut self, id: u64, effect: effect::Effect<String>) {
        let now = self.now;
        let node = self.nodes.get_mut(&id).expect("the node exists");
        match effect {
            effect::Effect::Accepted(_) | effect::Effect::Refused(_) => {}
            effect::Effect::Persist(persist) => {
                self.laws.check_persist(id, &node.stored, &persist);
                node.stored.apply(&persist);
            }
            effect::Effect::Send { to, message } => {
                self.laws.check_send(id, to.0, &message, &node.stored);
                self.transmit(id, to.0, message);
            }
            effect::Effect::Commit(entries) => {
                let term = node.stored.hard.term;
                for entry in entries {
                    self.laws.check_commit(id, term, node.applied_to, &entry);
                    node.applied_to = entry.position.index.0;
                    if let entry::Content::Payload(payload) = &entry.content {
                        node.applied.push_str(payload);
                        node.applied.push('\n');
                    }
                }
            }
            effect::Effect::Install(snapshot) => {
                self.laws.check_install(id, &snapshot);
                node.applied = String::from_utf8(snapshot.data.to_vec()).expect("text");
                node.applied_to = snapshot.position.index.0;
                self.journal
                    .push(format!("{id} installs a snapshot at {}", snapshot.position));
            }
            effect::Effect::Role(role) => {
                let replica = node.replica.as_ref().expect("it runs");
                if role.kind == effect::Kind::Leader {
                    self.laws.check_leader(id, role.term, replica);
                    let millis = (now - 1_000_000) / 1_000;
                    self.journal
                        .push(format!("{id} leads {} at {millis} ms", role.term));
                }
            }
        }
    }

    fn transmit(&mut self, from: u64, to: u64, message: message::Message<String>) {
        self.chunks += usize::from(matches!(message.body, message::Body::Chunk(_)));
        for _ in 0..1 + u32::from(self.chance(self.network.duplicate)) {
            if self.network.cut.contains(&(from, to)) || self.chance(self.network.drop) {
                continue;
            }
            let (min, max) = self.network.delay;
            let late = if self.chance(self.network.late) {
                1_000_000
            } else {
                0
            };
            let at = self.now + self.random.random_range(min..=max + late);
            let message = message.clone();
            self.flights.push(Flight {
                at,
                from,
                to,
                message,
            });
        }
    }

    pub(crate) fn chance(&mut self, percent: u32) -> bool {
        percent > 0 && self.random.random_range(0..100) < percent
    }

    /// Lets time pass: delivers messages and deadlines in order.
    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span.as_micros() as u64;
        while let Some((at, next)) = self.next() {
            if at > end {
                break;
            }
            self.now = self.now.max(at);
            let (id, event) = match next {
                Next::Flight(number) => {
                    let Flight {
                        from, to, message, ..
                    } = self.flights.swap_remove(number);
                    let from = id::Replica(from);
                    (to, event::Event::Received { from, message })
                }
                Next::Deadline(id) => (id, event::Event::Tick),
            };
            self.step(id, event);
        }
        self.now = end;
        self.laws.check_authority(self);
    }

    /// Returns the time of the next message or deadline of a running replica.
    fn next(&self) -> Option<(u64, Next)> {
        let runs = |id: &u64| self.nodes.get(id).is_none_or(|node| !node.paused);
        let flights = self.flights.iter().enumerate();
        let flights = flights
            .filter(|(_, flight)| runs(&flight.to))
            .map(|(number, flight)| (flight.at, Next::Flight(number)));
        let nodes = self.nodes.iter().filter(|(id, _)| runs(id));
        let deadlines = nodes.filter_map(|(id, node)| {
            let local = node.replica.as_ref()?.next_deadline().as_micros();
            let at = local as u128 * 1_000_000 / node.rate as u128 + 1;
            Some((at as u64, Next::Deadline(*id)))
        });
        flights.chain(deadlines).min_by_key(|(at, _)| *at)
    }

    /// Replaces the log of a replica up to its last applied entry.
    pub(crate) fn compact(&mut self, id: u64) {
        let node = &self.nodes[&id];
        let event = event::Event::Compact {
            index: position::Index(node.applied_to),
            snapshot: Bytes::from(node.applied.clone()),
        };
        self.step(id, event);
    }

    /// Cuts all links between two sets of replicas.
    pub(crate) fn cut(&mut self, sides: [&[u64]; 2]) {
        let links = sides[0]
            .iter()
            .flat_map(|a| sides[1].iter().map(|b| (*a, *b)));
        let links = links.flat_map(|(a, b)| [(a, b), (b, a)]);
        self.network.cut.extend(links);
    }
}

enum Next {
    Flight(usize),
    Deadline(u64),
}
