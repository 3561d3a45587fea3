//! Time and memory of the planner at several sizes.
//!
//! `cargo run --release -p sequoiayoke-placement --example scale`
//!
//! One service has 64 slices for each server, in six failure domains. After the
//! first assignment it measures a round after each of these changes: the load of
//! one server's slices is reported, one server drains, one server is lost, a
//! whole failure domain is lost.

use std::alloc;
use std::sync::atomic;
use std::time;

use rand::RngExt;
use rand::SeedableRng;
use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_model::table;
use sequoiayoke_placement::action;
use sequoiayoke_placement::config;
use sequoiayoke_placement::load;
use sequoiayoke_placement::planner;
use sequoiayoke_placement::server;
use sequoiayoke_placement::service;

const SEED: u64 = 1;
const SERVICE: id::Service = id::Service(1);
const SLICES_PER_SERVER: u32 = 64;
const DOMAINS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
const SIZES: [u32; 4] = [100, 500, 1_400, 5_600];
/// Rounds over which the time of one round is averaged.
const ROUNDS: u32 = 200;

/// Allocator that counts the allocated bytes.
struct CountingAllocator;

static ALLOCATED: atomic::AtomicUsize = atomic::AtomicUsize::new(0);

// SAFETY: Each call is forwarded unchanged to the system allocator.
#[allow(unsafe_code)]
unsafe impl alloc::GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: alloc::Layout) -> *mut u8 {
        ALLOCATED.fetch_add(layout.size(), atomic::Ordering::Relaxed);
        unsafe { alloc::GlobalAlloc::alloc(&alloc::System, layout) }
    }

    unsafe fn dealloc(&self, memory: *mut u8, layout: alloc::Layout) {
        ALLOCATED.fetch_sub(layout.size(), atomic::Ordering::Relaxed);
        unsafe { alloc::GlobalAlloc::dealloc(&alloc::System, memory, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

struct Control {
    planner: planner::Planner,
    table: table::Table,
    now: clock::Instant,
    epoch: u64,
    random: rand_chacha::ChaCha8Rng,
}

impl Control {
    fn new(servers: u32) -> Self {
        let mut planner = planner::Planner::new(config::Config::default());
        planner.service_changed(SERVICE, &service::Weights::default());
        let table = table::Table::with_slices(servers * SLICES_PER_SERVER);
        let now = clock::Instant::from_micros(1_000_000_000);
        planner.table_loaded(now, SERVICE, &table);
        let mut control = Self {
            planner,
            table,
            now,
            epoch: 0,
            random: rand_chacha::ChaCha8Rng::seed_from_u64(SEED),
        };
        for number in 0..servers {
            control.announce(number, server::State::Serving);
        }
        control
    }

    fn announce(&mut self, number: u32, state: server::State) {
        self.planner.server_changed(&server::Server {
            id: id::Server(number),
            incarnation: id::Incarnation(1),
            services: &[SERVICE],
            failure_domain: DOMAINS[number as usize % DOMAINS.len()],
            slots: 12,
            state,
            health: server::Health::GOOD,
        });
    }

    fn plan(&mut self) -> Vec<action::Action> {
        self.now = self.now + time::Duration::from_millis(50);
        self.planner.plan(self.now)
    }

    /// Runs rounds until none is due immediately; returns the time of the longest
    /// round, the time of all rounds and the number of actions.
    fn settle(&mut self) -> (time::Duration, time::Duration, usize) {
        let (mut longest, mut total, mut count) = (time::Duration::ZERO, time::Duration::ZERO, 0);
        loop {
            let (actions, spent) = timed(|| self.plan());
            total += spent;
            longest = longest.max(spent);
            count += actions.len();
            self.apply(&actions);
            let deadline = self.planner.next_deadline();
            if deadline.is_none_or(|deadline| deadline > self.now) {
                return (longest, total, count);
            }
        }
    }

    /// Applies the assignments and moves.
    fn apply(&mut self, actions: &[action::Action]) {
        for action in actions {
            if let action::Action::Assign { start, to, .. }
            | action::Action::Move { start, to, .. } = action
            {
                self.epoch += 1;
                let holder = table::Holder {
                    server: to.server,
                    incarnation: to.incarnation,
                    epoch: id::Epoch(self.epoch),
                };
                self.set_holder(*start, Some(holder));
            }
        }
    }

    fn set_holder(&mut self, start: key::Hash, holder: Option<table::Holder>) {
        self.table.set_holder(start, holder);
        let slice = table::Slice { start, holder };
        self.planner.slice_changed(self.now, SERVICE, &slice);
    }

    fn slices_of(&self, pick: impl Fn(u32) -> bool) -> Vec<key::Hash> {
        let slices = self.table.slices().iter();
        let held = slices.filter(|slice| slice.holder.is_some_and(|holder| pick(holder.server.0)));
        held.map(|slice| slice.start).collect()
    }

    fn report(&mut self, starts: &[key::Hash]) {
        for start in starts {
            let rate = self.random.random_range(40_000..60_000);
            let keys = [load::Key {
                hash: *start,
                rate: rate / 50,
            }];
            let load = load::Load { rate, keys: &keys };
            self.planner.load_changed(SERVICE, *start, &load);
        }
    }

    fn lose_servers(&mut self, is_lost: impl Fn(u32) -> bool, servers: u32) {
        for number in (0..servers).filter(|number| is_lost(*number)) {
            self.planner.server_removed(id::Server(number));
        }
        for start in self.slices_of(is_lost) {
            self.set_holder(start, None);
        }
    }
}

fn timed<R>(work: impl FnOnce() -> R) -> (R, time::Duration) {
    let start = time::Instant::now();
    let result = work();
    (result, start.elapsed())
}

fn measure(servers: u32) {
    let before = ALLOCATED.load(atomic::Ordering::Relaxed);
    let mut control = Control::new(servers);
    let (first, _, _) = control.settle();
    let starts = control.slices_of(|_| true);
    control.report(&starts);
    control.settle();
    let slices = starts.len();
    let used = ALLOCATED.load(atomic::Ordering::Relaxed) - before;
    let table_bytes =
        std::mem::size_of::<table::Slice>() * slices + std::mem::size_of_val(&starts[..]);
    let slice_bytes = (used - table_bytes) / slices;

    let mut reports = time::Duration::ZERO;
    let mut drains = time::Duration::ZERO;
    for round in 0..ROUNDS {
        let starts = control.slices_of(|number| number == round % servers);
        let (actions, spent) = timed(|| {
            control.report(&starts);
            control.plan()
        });
        reports += spent;
        control.apply(&actions);
    }
    for round in 0..ROUNDS.min(servers / 2) {
        let (actions, spent) = timed(|| {
            control.announce(round, server::State::Draining);
            control.plan()
        });
        drains += spent;
        control.apply(&actions);
        control.announce(round, server::State::Serving);
    }
    let (actions, loss) = timed(|| {
        control.lose_servers(|number| number == 1, servers);
        control.plan()
    });
    control.apply(&actions);
    let (_, scan) = timed(|| control.slices_of(|number| number == 1));
    let (_, reporting) = timed(|| control.lose_servers(|number| number % 6 == 2, servers));
    let (longest, total, count) = control.settle();
    let drain_rounds = ROUNDS.min(servers / 2);
    println!(
        "{servers:>7} {slices:>8} {slice_bytes:>6} B {first:>11.1?} {:>9.1?} {:>9.1?} {:>9.1?} {reporting:>9.1?} {longest:>9.1?} {total:>9.1?} {count:>6}",
        reports / ROUNDS,
        drains / drain_rounds,
        loss.saturating_sub(scan),
    );
}

fn main() {
    println!("seed {SEED}; {ROUNDS} rounds for each mean");
    println!(
        "servers   slices   memory first round  one load one drain  one lost \
         domain lost: notes, longest round, all rounds, actions"
    );
    for servers in SIZES {
        measure(servers);
    }
}
