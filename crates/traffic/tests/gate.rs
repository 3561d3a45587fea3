//! Admission to a backend server under load, with hot callers and keys, and when it freezes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs};
use sequoiayoke_model::clock::Instant;
use sequoiayoke_model::{id, key, outcome::Reason};
use sequoiayoke_traffic::admission::gate::{Arrival, Class, Finish, Gate, Key};
use sequoiayoke_traffic::admission::gate::{Limits, Ticket, Update};

const LIMITS: Limits = Limits {
    slots: 12,
    queue: 64,
};

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A gate, a simulated server behind it, and the state of each request.
struct Simulation {
    now: Instant,
    gate: Gate,
    running: BTreeMap<Key, (Instant, u32)>,
    waiting: BTreeMap<Key, u32>,
    // Per caller.
    admitted: BTreeMap<u32, u64>,
    shed: BTreeMap<u32, u64>,
    // Each request has its own key, unless a test passes one.
    keys: u64,
}

impl Simulation {
    fn new() -> Self {
        let now = Instant::from_micros(0);
        Self {
            now,
            gate: Gate::new(LIMITS, now),
            running: BTreeMap::new(),
            waiting: BTreeMap::new(),
            admitted: BTreeMap::new(),
            shed: BTreeMap::new(),
            keys: 0,
        }
    }

    fn warm() -> Self {
        let mut simulation = Self::new();
        simulation.now = simulation.now + ms(10_000);
        simulation
    }

    fn arrive(&mut self, caller: u32, class: Class, left: Duration) -> Arrival {
        self.keys += 1;
        self.arrive_key(caller, class, left, key::Hash(self.keys))
    }

    fn arrive_key(
        &mut self,
        caller: u32,
        class: Class,
        left: Duration,
        hash: key::Hash,
    ) -> Arrival {
        let ticket = Ticket {
            caller: id::Caller(caller),
            service: id::Service(1),
            hash,
            class,
            deadline: self.now + left,
            request: None,
        };
        let free = self.gate.running() < self.gate.limit(self.now);
        let arrival = self.gate.arrive(self.now, &ticket);
        match arrival {
            Arrival::Admitted(key) => {
                assert!(free, "admitted above the limit");
                self.admit(key, caller);
            }
            Arrival::Queued(key) => {
                assert!(self.waiting.insert(key, caller).is_none(), "doubled key");
            }
            Arrival::Shed(_) => *self.shed.entry(caller).or_default() += 1,
        }
        self.check();
        arrival
    }

    /// Adds a request whose deadline is far away; returns `false` if it is shed.
    fn arrive_with_long_deadline(&mut self, caller: u32) -> bool {
        let arrival = self.arrive(caller, Class::Interactive, ms(10_000));
        !matches!(arrival, Arrival::Shed(_))
    }

    fn admitted_except(&self, quiet: u32) -> u64 {
        let others = self.admitted.iter().filter(|(caller, _)| **caller != quiet);
        others.map(|(_, count)| count).sum()
    }

    fn admit(&mut self, key: Key, caller: u32) {
        let previous = self.running.insert(key, (self.now, caller));
        assert!(previous.is_none(), "admitted twice");
        *self.admitted.entry(caller).or_default() += 1;
    }

    fn apply(&mut self, update: Update) {
        let within = self.gate.running() <= self.gate.limit(self.now);
        assert!(
            within || update.admitted.is_empty(),
            "admitted above the limit"
        );
        for key in update.admitted {
            let caller = self.waiting.remove(&key).expect("it waited");
            self.admit(key, caller);
        }
        for (key, _) in update.shed {
            let caller = self.waiting.remove(&key).expect("it waited");
            *self.shed.entry(caller).or_default() += 1;
        }
        self.check();
    }

    fn check(&self) {
        let (running, waiting) = (self.running.len() as u32, self.waiting.len() as u32);
        assert!(running <= LIMITS.slots, "more in flight than slots");
        assert!(waiting <= LIMITS.queue, "queue above its bound");
        let counted = (self.gate.running(), self.gate.waiting());
        assert_eq!(counted, (running, waiting), "lost or doubled");
    }

    fn finish(&mut self, key: Key, finish: Finish) {
        let (admitted, _) = self.running.remove(&key).expect("it runs");
        let latency = self.now.saturating_since(admitted);
        let update = self.gate.finish(self.now, key, latency, finish);
        self.apply(update);
    }

    /// Advances the time by `span` milliseconds and ends the requests that have run for the
    /// `latency` of their caller.
    fn run<L>(&mut self, span: u64, finish: Finish, latency: L)
    where
        L: Fn(u32) -> u64,
    {
        self.now = self.now + ms(span);
        let due = |(key, (admitted_at, caller)): (&Key, &(Instant, u32))| {
            (*admitted_at + ms(latency(*caller)) <= self.now).then_some(*key)
        };
        let due: Vec<Key> = self.running.iter().filter_map(due).collect();
        for key in due {
            self.finish(key, finish);
        }
        let update = self.gate.expire(self.now);
        self.apply(update);
    }
}

/// Returns a random key, or `None` if there are none.
fn pick_key<T>(random: &mut rngs::SmallRng, keys: &BTreeMap<Key, T>) -> Option<Key> {
    let index = random.random_range(0..keys.len().max(1));
    keys.keys().nth(index).copied()
}

/// Guards against lost or duplicate admissions and requests that wait forever, in any
/// order of arrivals, ends, cancellations, drains and resizes.
#[test]
fn every_request_ends_once_and_slots_are_never_exceeded() {
    for seed in 0..2_000_u64 {
        println!("seed {seed}");
        let mut random = rngs::SmallRng::seed_from_u64(seed);
        let mut simulation = Simulation::new();
        for _ in 0..300 {
            match random.random_range(0..100) {
                0..50 => {
                    let class = [Class::Bulk, Class::Interactive][random.random_range(0..2)];
                    let left = ms(random.random_range(0..3_000));
                    simulation.arrive(random.random_range(0..5), class, left);
                }
                50..80 => {
                    let finish = [
                        Finish::Completed,
                        Finish::Completed,
                        Finish::Refused,
                        Finish::TimedOut,
                        Finish::Failed,
                        Finish::Withdrawn,
                    ][random.random_range(0..6)];
                    if let Some(key) = pick_key(&mut random, &simulation.running) {
                        simulation.finish(key, finish);
                        // Reporting the same end again has no effect.
                        let update = simulation.gate.finish(simulation.now, key, ms(1), finish);
                        simulation.apply(update);
                    }
                }
                80..85 => {
                    if let Some(key) = pick_key(&mut random, &simulation.waiting) {
                        simulation.waiting.remove(&key);
                        let update = simulation.gate.cancel(simulation.now, key);
                        simulation.apply(update);
                    }
                }
                85..98 => simulation.run(random.random_range(0..50), Finish::Completed, |_| 60_000),
                98 => {
                    let update = simulation.gate.drain();
                    simulation.apply(update);
                    assert_eq!(
                        simulation.gate.in_flight().count(),
                        simulation.running.len()
                    );
                    simulation.gate.resume();
                }
                _ => {
                    let slots = random.random_range(1..=LIMITS.slots);
                    let update = simulation.gate.resize(simulation.now, slots);
                    simulation.apply(update);
                }
            }
        }
        // Without further responses, the timer alone ends every wait.
        let mut times = BTreeSet::new();
        while let Some(next) = simulation.gate.next_deadline() {
            assert!(times.insert(next), "the timer fires twice for one time");
            simulation.now = simulation.now.max(next);
            let update = simulation.gate.expire(simulation.now);
            simulation.apply(update);
        }
        assert!(simulation.waiting.is_empty(), "a request waits forever");
    }
}

/// Guards against hot callers that keep the queue full and starve a quiet caller.
#[test]
fn hot_callers_delay_a_quiet_one_by_at_most_one_round_of_the_slots() {
    let mut simulation = Simulation::warm();
    let (hot, quiet) = (1..=4, 5);
    let latency = |caller: u32| u64::from(caller * caller);
    let mut waits = 0;
    for _ in 0..1_000 {
        for caller in hot.clone() {
            while simulation.arrive_with_long_deadline(caller) {}
        }
        let others = simulation.admitted_except(quiet);
        let before = simulation.admitted.get(&quiet).copied();
        assert!(
            simulation.arrive_with_long_deadline(quiet),
            "the quiet caller is shed"
        );
        while simulation.admitted.get(&quiet).copied() == before {
            simulation.run(1, Finish::Completed, latency);
            waits += 1;
        }
        let worst = simulation.admitted_except(quiet) - others;
        assert!(
            worst <= u64::from(LIMITS.slots),
            "{worst} others went first"
        );
        simulation.run(30, Finish::Completed, latency);
    }
    assert!(waits >= 1_000, "the quiet caller never waited");
}

/// Guards against an upload burst that occupies every slot and place in the queue.
#[test]
fn an_upload_burst_does_not_delay_status_reads() {
    let mut simulation = Simulation::warm();
    let latency = |caller| if caller == 1 { 2_000 } else { 2 };
    for step in 0..20_000_u32 {
        let mut upload = || simulation.arrive(1, Class::Bulk, ms(60_000));
        while matches!(upload(), Arrival::Admitted(_)) {}
        if step % 2 == 0 {
            let read = simulation.arrive(2, Class::Interactive, ms(100));
            let admitted = matches!(read, Arrival::Admitted(_));
            assert!(admitted, "read {step}: {read:?}");
        }
        simulation.run(1, Finish::Completed, latency);
    }
    assert!(simulation.admitted[&1] > 50, "uploads make no progress");
}

/// Guards against dispatching requests to a frozen server, where their outcome becomes
/// unknown, instead of refusing them as not run.
#[test]
fn a_frozen_server_leads_to_shedding_and_recovers() {
    let mut simulation = Simulation::warm();
    for _ in 0..2_000 {
        simulation.arrive(1, Class::Interactive, ms(1_000));
        simulation.run(1, Finish::Completed, |_| 4);
    }
    let before = simulation.admitted[&1];
    // The server is frozen for 30 s: it answers nothing, and requests time out after 1 s.
    for step in 0..30_000 {
        let arrival = simulation.arrive(1, Class::Interactive, ms(1_000));
        let queued = matches!(arrival, Arrival::Queued(_));
        // The first requests time out after 1 s.
        let known = step > 1_100;
        assert!(!(known && queued), "queued behind a frozen server");
        let unresponsive = simulation.gate.is_unresponsive(simulation.now);
        assert!(!known || unresponsive, "not detected after {step} ms");
        simulation.run(1, Finish::TimedOut, |_| 1_000);
    }
    let unknown = simulation.admitted[&1] - before;
    // Up to two rounds of the slots until the freeze is detected, then one probe per
    // second for 30 s.
    let bound = 2 * u64::from(LIMITS.slots) + 30;
    assert!(unknown <= bound, "{unknown} unknown");
    assert!(simulation.shed[&1] > 29_000);
    for _ in 0..3_000 {
        simulation.arrive(1, Class::Interactive, ms(1_000));
        simulation.arrive(1, Class::Interactive, ms(1_000));
        simulation.run(1, Finish::Completed, |_| 4);
    }
    assert_eq!(simulation.gate.limit(simulation.now), LIMITS.slots);
}

/// Guards against queueing a request that is certain to miss its deadline.
#[test]
fn a_request_that_would_be_late_is_shed_at_once() {
    let mut simulation = Simulation::warm();
    for _ in 0..200 {
        simulation.arrive(1, Class::Interactive, ms(10_000));
        simulation.run(5, Finish::Completed, |_| 50);
    }
    for _ in 0..30 {
        simulation.arrive(1, Class::Interactive, ms(10_000));
    }
    let late = simulation.arrive(1, Class::Interactive, ms(40));
    assert_eq!(late, Arrival::Shed(Reason::Overload));
    let relaxed = simulation.arrive(1, Class::Interactive, ms(10_000));
    assert!(matches!(relaxed, Arrival::Queued(_)), "{relaxed:?}");
}

/// Guards against sending full load to a cold server in its first second.
#[test]
fn a_cold_server_ramps_up() {
    let mut simulation = Simulation::new();
    let mut limits = Vec::new();
    for _ in 0..6 {
        limits.push(simulation.gate.limit(simulation.now));
        simulation.now = simulation.now + ms(1_000);
    }
    assert_eq!(limits, [3, 4, 6, 8, 10, 12]);
}

/// Guards against a hot key that delays or displaces the other keys of its caller.
///
/// The hot key alone brings 2 requests/ms, and the server can handle 1.2 requests/ms.
#[test]
fn other_keys_do_not_wait_for_a_hot_key() {
    const HOT: key::Hash = key::Hash(u64::MAX);
    let mut simulation = Simulation::warm();
    let mut waits = BTreeMap::new();
    let mut longest = Duration::ZERO;
    for step in 0..4_000_u64 {
        simulation.run(1, Finish::Completed, |_| 10);
        waits.retain(|key, since: &mut Instant| {
            longest = longest.max(simulation.now.saturating_since(*since));
            simulation.waiting.contains_key(key)
        });
        for _ in 0..2 {
            simulation.arrive_key(1, Class::Interactive, ms(10_000), HOT);
        }
        if step % 4 == 0 {
            let shed = simulation.shed.get(&1).copied();
            let arrival = simulation.arrive(1, Class::Interactive, ms(10_000));
            assert_eq!(simulation.shed.get(&1).copied(), shed, "step {step}");
            if let Arrival::Queued(key) = arrival {
                waits.insert(key, simulation.now);
            }
        }
    }
    assert!(simulation.shed.get(&1).is_some_and(|shed| *shed > 0));
    // The server runs 12 requests at a time, and each takes 10 ms.
    assert!(longest <= ms(10), "{longest:?}");
}
