//! A group of replicas with a simulated network, disks and clocks.

pub(crate) mod invariants;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use bytes::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sequoiayoke_consensus::{config, effect, entry, event, message, position, replica, stored};
use sequoiayoke_model::{clock, id};

/// A replica with its simulated disk and state machine.
pub(crate) struct Node {
    pub(crate) replica: Option<replica::Replica<String>>,
    pub(crate) stored: stored::Stored<String>,
    /// Payloads applied so far, one per line.
    pub(crate) applied: String,
    pub(crate) applied_to: u64,
    pub(crate) paused: bool,
    /// Rate of the node's clock in parts per million of the simulated time.
    pub(crate) rate: u64,
    config: config::Config,
}

struct Delivery {
    time: u64,
    from: u64,
    to: u64,
    message: message::Message<String>,
}

/// Network faults; times are in microseconds, probabilities in percent.
#[derive(Clone, Debug)]
pub(crate) struct Network {
    pub(crate) delay: (u64, u64),
    pub(crate) drop: u32,
    pub(crate) duplicate: u32,
    /// Probability that a message has up to a second of additional delay.
    pub(crate) late: u32,
    /// Links that drop all messages, as pairs of sender and receiver.
    pub(crate) cut: BTreeSet<(u64, u64)>,
}

pub(crate) struct Group {
    pub(crate) now: u64,
    pub(crate) nodes: BTreeMap<u64, Node>,
    pub(crate) network: Network,
    /// Probability in percent that a replica crashes in a step.
    pub(crate) crash_percent: u32,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) invariants: invariants::Invariants,
    /// Elections and snapshot installations since a scenario last printed them.
    pub(crate) trace: Vec<String>,
    /// Number of snapshot chunks sent so far.
    pub(crate) chunks: usize,
    deliveries: Vec<Delivery>,
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
            crash_percent: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            invariants: invariants::Invariants::default(),
            trace: Vec::new(),
            chunks: 0,
            deliveries: Vec::new(),
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
        // Small limits make short runs reach the limits of batches, windows and chunks.
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

    /// Changes the rate of a clock and restarts the replica, whose times would jump.
    pub(crate) fn set_clock_rate(&mut self, id: u64, rate: u64) {
        self.crash(id);
        self.nodes.get_mut(&id).expect("the node exists").rate = rate;
        self.restart(id);
    }

    pub(crate) fn set_paused(&mut self, id: u64, paused: bool) {
        let node = self.nodes.get_mut(&id).expect("the node exists");
        node.paused = paused && node.replica.is_some();
    }

    /// Starts a replica from its disk, unless it is already running.
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

    /// Returns the replica that is authoritative leader now, if any.
    pub(crate) fn authoritative_leader(&self) -> Option<u64> {
        let mut ids = self.nodes.keys();
        ids.find(|id| self.is_authoritative(**id)).copied()
    }

    pub(crate) fn is_authoritative(&self, id: u64) -> bool {
        let replica = self.nodes[&id].replica.as_ref();
        replica.is_some_and(|replica| replica.is_authoritative(self.clock(id)))
    }

    /// Passes an event to a replica and returns the `Accepted` or `Refused` effect,
    /// if any. With the probability `crash_percent`, the replica crashes after
    /// some of the effects were carried out.
    pub(crate) fn step(
        &mut self,
        id: u64,
        event: event::Event<String>,
    ) -> Option<effect::Effect<String>> {
        if !self.nodes.contains_key(&id) {
            return None;
        }
        let now = self.clock(id);
        let is_crashing = self.chance(self.crash_percent);
        let node = self.nodes.get_mut(&id).filter(|node| !node.paused)?;
        let effects = node.replica.as_mut()?.step(now, event);
        let executed_count = match is_crashing {
            true => self.rng.random_range(0..=effects.len()),
            false => effects.len(),
        };
        let mut response = None;
        for effect in effects.into_iter().take(executed_count) {
            match effect {
                effect::Effect::Accepted(_) | effect::Effect::Refused(_) => {
                    response = Some(effect);
                }
                effect => self.carry_out(id, effect),
            }
        }
        if is_crashing {
            self.crash(id);
        }
        self.invariants.check_authority(self);
        response
    }

    fn carry_out(&mut self, id: u64, effect: effect::Effect<String>) {
        let now = self.now;
        let node = self.nodes.get_mut(&id).expect("the node exists");
        match effect {
            effect::Effect::Accepted(_) | effect::Effect::Refused(_) => {}
            effect::Effect::Persist(persist) => {
                self.invariants.check_persist(id, &node.stored, &persist);
                node.stored.apply(&persist);
            }
            effect::Effect::Send { to, message } => {
                self.invariants.check_send(id, to.0, &message, &node.stored);
                self.transmit(id, to.0, message);
            }
            effect::Effect::Commit(entries) => {
                let term = node.stored.hard.term;
                for entry in entries {
                    self.invariants
                        .check_commit(id, term, node.applied_to, &entry);
                    node.applied_to = entry.position.index.0;
                    if let entry::Content::Payload(payload) = &entry.content {
                        node.applied.push_str(payload);
                        node.applied.push('\n');
                    }
                }
            }
            effect::Effect::Install(snapshot) => {
                self.invariants.check_install(id, &snapshot);
                node.applied = String::from_utf8(snapshot.data.to_vec()).expect("text");
                node.applied_to = snapshot.position.index.0;
                self.trace
                    .push(format!("{id} installs a snapshot at {}", snapshot.position));
            }
            effect::Effect::Role(role) => {
                let replica = node.replica.as_ref().expect("the replica is running");
                if role.kind == effect::Kind::Leader {
                    self.invariants.check_leader(id, role.term, replica);
                    let millis = (now - 1_000_000) / 1_000;
                    self.trace
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
            let time = self.now + self.rng.random_range(min..=max + late);
            let message = message.clone();
            self.deliveries.push(Delivery {
                time,
                from,
                to,
                message,
            });
        }
    }

    pub(crate) fn chance(&mut self, percent: u32) -> bool {
        percent > 0 && self.rng.random_range(0..100) < percent
    }

    /// Advances the simulated time and delivers messages and ticks in order.
    pub(crate) fn run(&mut self, duration: Duration) {
        let end = self.now + duration.as_micros() as u64;
        while let Some((time, next_event)) = self.next_event() {
            if time > end {
                break;
            }
            self.now = self.now.max(time);
            let (id, event) = match next_event {
                NextEvent::Delivery(number) => {
                    let Delivery {
                        from, to, message, ..
                    } = self.deliveries.swap_remove(number);
                    let from = id::Replica(from);
                    (to, event::Event::Received { from, message })
                }
                NextEvent::Deadline(id) => (id, event::Event::Tick),
            };
            self.step(id, event);
        }
        self.now = end;
        self.invariants.check_authority(self);
    }

    /// Returns the next message or deadline of the nodes that are not paused, with its time.
    fn next_event(&self) -> Option<(u64, NextEvent)> {
        let is_not_paused = |id: &u64| self.nodes.get(id).is_none_or(|node| !node.paused);
        let deliveries = self.deliveries.iter().enumerate();
        let deliveries = deliveries
            .filter(|(_, delivery)| is_not_paused(&delivery.to))
            .map(|(number, delivery)| (delivery.time, NextEvent::Delivery(number)));
        let nodes = self.nodes.iter().filter(|(id, _)| is_not_paused(id));
        let deadlines = nodes.filter_map(|(id, node)| {
            let local = node.replica.as_ref()?.next_deadline().as_micros();
            let time = local as u128 * 1_000_000 / node.rate as u128 + 1;
            Some((time as u64, NextEvent::Deadline(*id)))
        });
        deliveries.chain(deadlines).min_by_key(|(time, _)| *time)
    }

    /// Compacts the log of a replica up to its last applied entry.
    pub(crate) fn compact(&mut self, id: u64) {
        let node = &self.nodes[&id];
        let event = event::Event::Compact {
            index: position::Index(node.applied_to),
            snapshot: Bytes::from(node.applied.clone()),
        };
        self.step(id, event);
    }

    /// Cuts all links between two sets of replicas in both directions.
    pub(crate) fn cut(&mut self, sides: [&[u64]; 2]) {
        let links = sides[0]
            .iter()
            .flat_map(|a| sides[1].iter().map(|b| (*a, *b)));
        let links = links.flat_map(|(a, b)| [(a, b), (b, a)]);
        self.network.cut.extend(links);
    }
}

enum NextEvent {
    Delivery(usize),
    Deadline(u64),
}
