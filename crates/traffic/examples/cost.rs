//! Measures the decisions of the request path, in nanoseconds per call.
//!
//! `cargo run --release -p sequoiayoke-traffic --example cost`

use std::hint;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng, rngs};
use sequoiayoke_model::{clock, id, key, request, table, view};
use sequoiayoke_traffic::admission::gate;
use sequoiayoke_traffic::{hot, route, window};

const CALLS: u32 = 2_000_000;
const SERVERS: u32 = 700;
const SLICES: u64 = 45_000;
const SERVICE: id::Service = id::Service(1);

/// Calls `call` with random numbers and returns the time per call of the fastest of five
/// passes, in nanoseconds.
fn measure<F>(mut call: F) -> f64
where
    F: FnMut(u64),
{
    let mut random = rngs::SmallRng::seed_from_u64(1);
    let numbers: Vec<u64> = (0..1 << 16).map(|_| random.random()).collect();
    let mut fastest = f64::MAX;
    for _ in 0..5 {
        let start = Instant::now();
        for index in 0..CALLS {
            call(numbers[index as usize % numbers.len()]);
        }
        fastest = fastest.min(start.elapsed().as_nanos() as f64 / f64::from(CALLS));
    }
    fastest
}

fn sample_view() -> view::View {
    let servers = (0..SERVERS).map(|number| {
        let address = ([127, 0, 0, 1], 1).into();
        let server = view::Server {
            name: format!("server-{number}"),
            incarnation: id::Incarnation(1),
            peer_address: address,
            caller_address: address,
            draining: false,
        };
        view::Change::Server(id::Server(number), server)
    });
    let slices = (0..SLICES).map(|index| {
        let holder = table::Holder {
            server: id::Server((index % u64::from(SERVERS)) as u32),
            incarnation: id::Incarnation(1),
            epoch: id::Epoch(index + 1),
        };
        let start = key::Hash(index * (u64::MAX / SLICES));
        let holder = Some(holder);
        view::Change::Slice(SERVICE, table::Slice { start, holder })
    });
    let mut view = view::View::new();
    view.apply(id::Version(1), servers.chain(slices));
    view
}

fn measure_route() -> f64 {
    let view = sample_view();
    let identity = Some(route::Identity {
        server: id::Server(1),
        incarnation: id::Incarnation(1),
    });
    measure(|number| {
        let query = route::Query {
            service: SERVICE,
            hash: key::Hash(number),
            forwarded: None,
        };
        hint::black_box(route::decide(&view, identity, &query));
    })
}

fn measure_window() -> f64 {
    let limits = window::Limits::default();
    let mut window = window::Window::new(id::Epoch(1), limits);
    let mut issued = 0;
    measure(|number| {
        issued += 1;
        let id = request::Id::new(id::Epoch(1), issued, number);
        hint::black_box(window.begin(id, key::Hash(number)));
        window.finish(id, window::End::Answered(None));
    })
}

/// Measures a gate with `depth` requests of 20 callers, of which up to 12 run.
fn measure_gate(depth: usize) -> f64 {
    let limits = gate::Limits {
        slots: 12,
        queue: 64,
    };
    let mut now = clock::Instant::from_micros(0);
    let mut gate = gate::Gate::new(limits, now);
    now = now + Duration::from_secs(10);
    let mut running = std::collections::VecDeque::new();
    measure(|number| {
        now = now + Duration::from_micros(100);
        let ticket = gate::Ticket {
            caller: id::Caller((number % 20) as u32),
            service: SERVICE,
            hash: key::Hash(number),
            class: gate::Class::Interactive,
            deadline: now + Duration::from_secs(1),
            request: None,
        };
        if let gate::Arrival::Admitted(key) = gate.arrive(now, &ticket) {
            running.push_back(key);
        }
        if running.len() + gate.waiting() as usize >= depth
            && let Some(key) = running.pop_front()
        {
            let latency = Duration::from_millis(1);
            let update = gate.finish(now, key, latency, gate::Finish::Completed);
            running.extend(update.admitted);
        }
    })
}

fn measure_hot(keys: u64) -> f64 {
    let mut now = clock::Instant::from_micros(0);
    let mut tracker = hot::Tracker::new(now, 128);
    measure(|number| {
        now = now + Duration::from_micros(100);
        let slice = key::Hash(number >> 58 << 58);
        tracker.record(now, SERVICE, slice, key::Hash(number % keys));
    })
}

fn main() {
    println!(
        "route decide, {SLICES} slices, {SERVERS} servers: {:.0} ns",
        measure_route()
    );
    println!(
        "window begin + finish, 4096 ids, evicting: {:.0} ns",
        measure_window()
    );
    println!(
        "gate arrive + finished, 12 slots, none waiting: {:.0} ns",
        measure_gate(6)
    );
    println!(
        "gate arrive + finished, 12 slots, 28 waiting: {:.0} ns",
        measure_gate(40)
    );
    println!(
        "hot record, 128 tracked of 100 keys: {:.0} ns",
        measure_hot(100)
    );
    println!(
        "hot record, 128 tracked of 1,000,000 keys: {:.0} ns",
        measure_hot(1_000_000)
    );
    println!(
        "size of a window without ids: {} B",
        size_of::<window::Window>()
    );
    println!(
        "size of a gate without requests: {} B",
        size_of::<gate::Gate>()
    );
}
