//! Simulated keys and servers, and the measures taken from them.

use rand::RngExt;
use rand::SeedableRng;
use sequoiayoke_model::key;
use sequoiayoke_model::range;

use crate::sequence;

/// Time between two rounds, in milliseconds.
pub(crate) const STEP_MS: u64 = 10;
/// Time between two reports of load, in milliseconds.
pub(crate) const REPORT_MS: u64 = 1_000;
const SAMPLE_MS: u64 = 100;
const KEY_COUNT: usize = 10_000;
/// Time constant of the reported rates, in milliseconds.
const DECAY_MS: f64 = 5_000.0;

pub(crate) struct Key {
    pub(crate) hash: key::Hash,
    base_rate: f64,
    surge_rate: f64,
    rate: f64,
    /// Decayed rate, as reported by the owner's node.
    pub(crate) reported_rate: f64,
    pub(crate) owner: Option<usize>,
    last_owner: Option<usize>,
    lost_at: u64,
}

pub(crate) struct Server {
    pub(crate) domain: usize,
    pub(crate) incarnation: u64,
    pub(crate) is_up: bool,
    is_draining: bool,
}

pub(crate) struct World {
    /// Sorted by hash.
    pub(crate) keys: Vec<Key>,
    pub(crate) servers: Vec<Server>,
    total: f64,
    churn: f64,
    unavailable: f64,
    imbalances: Vec<f64>,
}

/// Sums of the measures of one or several simulations.
#[derive(Clone, Copy, Default)]
pub(crate) struct Measures {
    runs: f64,
    imbalance: f64,
    p99: f64,
    churn: f64,
    unavailable: f64,
}

impl Measures {
    pub(crate) fn add(&mut self, other: &Self) {
        self.runs += other.runs;
        self.imbalance += other.imbalance;
        self.p99 += other.p99;
        self.churn += other.churn;
        self.unavailable += other.unavailable;
    }

    pub(crate) fn print(&self, deployment: &str, sequence: &str, placement: &str) {
        println!(
            "{deployment:<12} {sequence:<16} {placement:<9} {:>9.3} {:>9.3} {:>8.1}% {:>9.1} ms",
            self.imbalance / self.runs,
            self.p99 / self.runs,
            self.churn / self.runs * 100.0,
            self.unavailable / self.runs
        );
    }
}

impl World {
    pub(crate) fn new(seed: u64, servers: usize, kind: sequence::Kind) -> Self {
        let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let (share, factor) = kind.hot_keys();
        let mut keys: Vec<_> = (0..KEY_COUNT)
            .map(|_| {
                // Rates differ by a factor of 100, evenly on a logarithmic scale.
                let base_rate = 10f64.powf(random.random_range(-2.0..0.0));
                let is_hot = random.random_range(0..1_000) < share;
                Key {
                    hash: key::Hash(random.random()),
                    base_rate,
                    surge_rate: if is_hot {
                        base_rate * factor
                    } else {
                        base_rate
                    },
                    rate: base_rate,
                    reported_rate: base_rate,
                    owner: None,
                    last_owner: None,
                    lost_at: 0,
                }
            })
            .collect();
        keys.sort_by_key(|key| key.hash);
        let servers = (0..servers)
            .map(|index| Server {
                domain: index % 3,
                incarnation: 1,
                is_up: true,
                is_draining: false,
            })
            .collect();
        Self {
            keys,
            servers,
            total: 1.0,
            churn: 0.0,
            unavailable: 0.0,
            imbalances: Vec::new(),
        }
    }

    /// Returns the servers that may receive keys.
    pub(crate) fn available_servers(&self) -> Vec<usize> {
        let indexes = 0..self.servers.len();
        indexes
            .filter(|index| self.servers[*index].is_up && !self.servers[*index].is_draining)
            .collect()
    }

    pub(crate) fn keys_in(&self, range: range::Range) -> std::ops::Range<usize> {
        let first = self.keys.partition_point(|key| key.hash < range.first);
        let last = self.keys.partition_point(|key| key.hash <= range.last);
        first..last
    }

    pub(crate) fn apply_event(&mut self, now: u64, event: &sequence::Event) {
        match event {
            sequence::Event::Drain(server) => self.servers[*server].is_draining = true,
            sequence::Event::Lost(server) | sequence::Event::Stop(server) => {
                self.servers[*server].is_up = false;
                for key in &mut self.keys {
                    if key.owner == Some(*server) {
                        key.owner = None;
                        key.lost_at = now;
                    }
                }
            }
            sequence::Event::Rejoin(server) => {
                let server = &mut self.servers[*server];
                server.is_up = true;
                server.is_draining = false;
                server.incarnation += 1;
            }
        }
    }

    /// Updates the rates of all keys, and every `REPORT_MS` the decayed rates.
    pub(crate) fn update_rates(&mut self, now: u64, sequence: &sequence::Sequence) {
        if !now.is_multiple_of(SAMPLE_MS) {
            return;
        }
        let surge_level = sequence.surge_level(now);
        let gain = 1.0 - (-(REPORT_MS as f64) / DECAY_MS).exp();
        let is_report = now.is_multiple_of(REPORT_MS);
        self.total = 0.0;
        for key in &mut self.keys {
            key.rate = key.base_rate + (key.surge_rate - key.base_rate) * surge_level;
            self.total += key.rate;
            if is_report {
                key.reported_rate += (key.rate - key.reported_rate) * gain;
            }
        }
    }

    /// Assigns a key to a server.
    ///
    /// A key with an owner is unavailable for `move_ms`, one without since it was lost.
    pub(crate) fn place(&mut self, index: usize, server: usize, now: u64, move_ms: u64) {
        let key = &mut self.keys[index];
        let previous = key.owner.replace(server);
        let last_owner = key.last_owner.replace(server);
        if previous == Some(server) || now < sequence::SETTLED_MS {
            return;
        }
        let share = key.rate / self.total;
        let unavailable_ms = if previous.is_some() {
            move_ms
        } else {
            now - key.lost_at
        };
        self.unavailable += share * unavailable_ms as f64;
        if last_owner != Some(server) {
            self.churn += share;
        }
    }

    pub(crate) fn sample(&mut self, now: u64) {
        if now < sequence::SETTLED_MS || !now.is_multiple_of(SAMPLE_MS) {
            return;
        }
        let mut loads = vec![0.0; self.servers.len()];
        for key in &self.keys {
            if let Some(owner) = key.owner {
                loads[owner] += key.rate;
            }
        }
        let servers = self.available_servers();
        let server_loads: Vec<f64> = servers.iter().map(|server| loads[*server]).collect();
        let highest = server_loads.iter().copied().fold(0.0, f64::max);
        let mean = server_loads.iter().sum::<f64>() / server_loads.len() as f64;
        self.imbalances.push(highest / mean);
    }

    pub(crate) fn finish(mut self, end: u64) -> Measures {
        for key in self.keys.iter().filter(|key| key.owner.is_none()) {
            self.unavailable += key.rate / self.total * (end - key.lost_at) as f64;
        }
        self.imbalances.sort_by(f64::total_cmp);
        let samples = self.imbalances.len();
        Measures {
            runs: 1.0,
            imbalance: self.imbalances.iter().sum::<f64>() / samples as f64,
            p99: self.imbalances[samples * 99 / 100],
            churn: self.churn,
            unavailable: self.unavailable,
        }
    }
}
