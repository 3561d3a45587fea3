//! Admission to a backend server under load, under a hot caller, and when it freezes.

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

/// A gate with a server behind it, and the fate of each request.
struct World {
    now: Instant,
    gate: Gate,
    running: BTreeMap<Key, (Instant, u32)>,
    waiting: BTreeMap<Key, u32>,
    // Per caller.
    admitted: BTreeMap<u32, u64>,
    shed: BTreeMap<u32, u64>,
    // Each request has a key of its own, unless a test names one.
    keys: u64,
}

impl World {
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
        let mut world = Self::new();
        world.now = world.now + ms(10_000);
        world
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

    /// Arrives with plenty of time; `false` if shed.
    fn arrive_patient(&mut self, caller: u32) -> bool {
        let arrival = self.arrive(caller, Class::Interactive, ms(10_000));
        !matches!(arrival, Arrival::Shed(_))
    }

    fn admitted_except(&self, quiet: u32) -> u64 {
        let others = self.admitted.iter().filter(|(caller, _)| **caller != quiet);
        others.map(|(_, count)| count).sum()
    }

    fn admit(&mut self, key: Key, caller: u32) {
        let doubled = self.running.insert(key, (self.now, caller));
        assert!(doubled.is_none(), "admitted twice");
        *self.admitted.entry(caller).or_default() += 1;
    }

    fn take(&mut self, turn: Update) {
        let within = self.gate.running() <= self.gate.limit(self.now);
        assert!(
            within || turn.admitted.is_empty(),
            "admitted above the limit"
        );
        for key in turn.admitted {
            let caller = self.waiting.remove(&key).expect("it waited");
            self.admit(key, caller);
        }
        for (key, _) in turn.shed {
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
        let turn = self.gate.finish(self.now, key, latency, finish);
        self.take(turn);
    }

    /// Ends what has run for `latency` of its caller, as time passes.
    fn pass<L>(&mut self, span: u64, finish: Finish, latency: L)
    where
        L: Fn(u32) -> u64,
    {
        self.now = self.now + ms(span);
        let due = |(key, (at, caller)): (&Key, &(Instant, u32))| {
            (*at + ms(latency(*caller)) <= self.now).then_some(*key)
        };
        let due: Vec<Key> = self.running.iter().filter_map(due).collect();
        for key in due {
            self.finish(key, finish);
        }
        let turn = self.gate.expire(self.now);
        self.take(turn);
    }
}

/// Picks one of the keys, if there is any.
fn pick<T>(random: &mut rngs::SmallRng, keys: &BTreeMap<Key, T>) -> Option<Key> {
    let index = random.random_range(0..keys.len().max(1));
    keys.keys().nth(index).copied()
}

/// Guards against lost or doubled admissions and waits without an end, in any
/// order of arrivals, ends, cancellations, drains and resizes.
#[test]
fn every_request_ends_once_and_slots_are_never_exceeded() {
    for seed in 0..2_000_u64 {
        println!("seed {seed}");
        let mut random = rngs::SmallRng::seed_from_u64(seed);
        let mut world = World::new();
        for _ in 0..300 {
            match random.random_range(0..100) {
                0..50 => {
                    let class = [Class::Bulk, Class::Interactive][random.random_range(0..2)];
                    let left = ms(random.random_range(0..3_000));
                    world.arrive(random.random_range(0..5), class, left);
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
                    if let Some(key) = pick(&mut random, &world.running) {
                        world.finish(key, finish);
                        // A second report of the same end has no effect.
                        let turn = world.gate.finish(world.now, key, ms(1), finish);
                        world.take(turn);
                    }
                }
                80..85 => {
                    if let Some(key) = pick(&mut random, &world.waiting) {
                        world.waiting.remove(&key);
                        let turn = world.gate.cancel(world.now, key);
                        world.take(turn);
                    }
                }
                85..98 => world.pass(random.random_range(0..50), Finish::Completed, |_| 60_000),
                98 => {
                    let turn = world.gate.drain();
                    world.take(turn);
                    assert_eq!(world.gate.in_flight().count(), world.running.len());
                    world.gate.resume();
                }
                _ => {
                    let slots = random.random_range(1..=LIMITS.slots);
                    let turn = world.gate.resize(world.now, slots);
                    world.take(turn);
                }
            }
        }
        // With no response any more, the timer alone ends every wait.
        let mut times = BTreeSet::new();
        while let Some(next) = world.gate.next_deadline() {
            assert!(times.insert(next), "the timer fires twice for one time");
            world.now = world.now.max(next);
            let turn = world.gate.expire(world.now);
            world.take(turn);
        }
        assert!(world.waiting.is_empty(), "a wait has no end");
    }
}

/// Guards against hot callers that keep the queue full starving a quiet one.
#[test]
fn hot_callers_delay_a_quiet_one_by_at_most_one_round_of_the_slots() {
    let mut world = World::warm();
    let (hot, quiet) = (1..=4, 5);
    let latency = |caller: u32| u64::from(caller * caller);
    let mut waits = 0;
    for _ in 0..1_000 {
        for caller in hot.clone() {
            while world.arrive_patient(caller) {}
        }
        let others = world.admitted_except(quiet);
        let before = world.admitted.get(&quiet).copied();
        assert!(world.arrive_patient(quiet), "the quiet caller is shed");
        while world.admitted.get(&quiet).copied() == before {
            world.pass(1, Finish::Completed, latency);
            waits += 1;
        }
        let worst = world.admitted_except(quiet) - others;
        assert!(
            worst <= u64::from(LIMITS.slots),
            "{worst} others went first"
        );
        world.pass(30, Finish::Completed, latency);
    }
    assert!(waits >= 1_000, "the quiet caller never waited");
}

/// Guards against an upload burst taking every slot and place in the queue.
#[test]
fn an_upload_burst_does_not_hold_up_status_reads() {
    let mut world = World::warm();
    let latency = |caller| if caller == 1 { 2_000 } else { 2 };
    for step in 0..20_000_u32 {
        let mut upload = || world.arrive(1, Class::Bulk, ms(60_000));
        while matches!(upload(), Arrival::Admitted(_)) {}
        if step % 2 == 0 {
            let read = world.arrive(2, Class::Interactive, ms(100));
            let admitted = matches!(read, Arrival::Admitted(_));
            assert!(admitted, "read {step}: {read:?}");
        }
        world.pass(1, Finish::Completed, latency);
    }
    assert!(world.admitted[&1] > 50, "uploads make no progress");
}

/// Guards against requests being dispatched to a frozen server, where their fate
/// is unknown, instead of being refused as not run.
#[test]
fn a_frozen_server_leads_to_shedding_and_recovers() {
    let mut world = World::warm();
    for _ in 0..2_000 {
        world.arrive(1, Class::Interactive, ms(1_000));
        world.pass(1, Finish::Completed, |_| 4);
    }
    let before = world.admitted[&1];
    // Frozen for 30 s: nothing is answered, and requests time out after 1 s.
    for step in 0..30_000 {
        let arrival = world.arrive(1, Class::Interactive, ms(1_000));
        let queued = matches!(arrival, Arrival::Queued(_));
        // The first requests time out after 1 s.
        let known = step > 1_100;
        assert!(!(known && queued), "queued behind a frozen server");
        let silent = world.gate.is_unresponsive(world.now);
        assert!(!known || silent, "not silent after {step} ms");
        world.pass(1, Finish::TimedOut, |_| 1_000);
    }
    let unknown = world.admitted[&1] - before;
    // The slots at first, then those that time out within the same round are
    // replaced by one probe per second.
    let bound = 2 * u64::from(LIMITS.slots) + 30;
    assert!(unknown <= bound, "{unknown} unknown");
    assert!(world.shed[&1] > 29_000);
    for _ in 0..3_000 {
        world.arrive(1, Class::Interactive, ms(1_000));
        world.arrive(1, Class::Interactive, ms(1_000));
        world.pass(1, Finish::Completed, |_| 4);
    }
    assert_eq!(world.gate.limit(world.now), LIMITS.slots);
}

/// Guards against a wait that is certain to outlast the deadline.
#[test]
fn a_request_that_would_be_late_is_shed_at_once() {
    let mut world = World::warm();
    for _ in 0..200 {
        world.arrive(1, Class::Interactive, ms(10_000));
        world.pass(5, Finish::Completed, |_| 50);
    }
    for _ in 0..30 {
        world.arrive(1, Class::Interactive, ms(10_000));
    }
    let late = world.arrive(1, Class::Interactive, ms(40));
    assert_eq!(late, Arrival::Shed(Reason::Overload));
    let patient = world.arrive(1, Class::Interactive, ms(10_000));
    assert!(matches!(patient, Arrival::Queued(_)), "{patient:?}");
}

/// Guards against a cold server getting its full load in its first second.
#[test]
fn a_cold_server_ramps_up() {
    let mut world = World::new();
    let mut limits = Vec::new();
    for _ in 0..6 {
        limits.push(world.gate.limit(world.now));
        world.now = world.now + ms(1_000);
    }
    assert_eq!(limits, [3, 4, 6, 8, 10, 12]);
}

/// Guards against a hot key that delays or displaces the other keys of its caller.
///
/// The hot key alone brings twice what the server can take.
#[test]
fn other_keys_do_not_wait_for_a_hot_key() {
    const HOT: key::Hash = key::Hash(u64::MAX);
    let mut world = World::warm();
    let mut waits = BTreeMap::new();
    let mut longest = Duration::ZERO;
    for step in 0..4_000_u64 {
        world.pass(1, Finish::Completed, |_| 10);
        waits.retain(|key, since: &mut Instant| {
            longest = longest.max(world.now.saturating_since(*since));
            world.waiting.contains_key(key)
        });
        for _ in 0..2 {
            world.arrive_key(1, Class::Interactive, ms(10_000), HOT);
        }
        if step % 4 == 0 {
            let shed = world.shed.get(&1).copied();
            let arrival = world.arrive(1, Class::Interactive, ms(10_000));
            assert_eq!(world.shed.get(&1).copied(), shed, "step {step}");
            if let Arrival::Queued(key) = arrival {
                waits.insert(key, world.now);
            }
        }
    }
    assert!(world.shed.get(&1).is_some_and(|shed| *shed > 0));
    // One request of the server, of which it runs 12 at a time, takes 10 ms.
    assert!(longest <= ms(10), "{longest:?}");
}
