//! Load pattern: short calls between services at backend servers that are full of long requests.

use std::time::Duration;

use sequoiayoke_dispatch::admission;
use sequoiayoke_model::clock;

const SLOTS: u32 = 9;
const LONG_CLASS: u64 = 1;
const CALL_CLASS: u64 = 2;
/// Run time of the requests that fill the backend server.
const LONG: Duration = Duration::from_millis(480);
/// Run time of a call.
const SHORT: Duration = Duration::from_millis(30);

fn at(ms: u64) -> clock::Instant {
    clock::Instant::from_micros(ms * 1_000)
}

fn long_request(now: clock::Instant) -> admission::Offer {
    admission::Offer {
        rank: admission::MIN_REQUEST_RANK,
        class: LONG_CLASS,
        useful_until: now + Duration::from_millis(1_200),
        deadline: now + Duration::from_secs(5),
        max_wait: Duration::MAX,
    }
}

/// Returns a call of a request that has used a part of its time.
fn call(now: clock::Instant) -> admission::Offer {
    admission::Offer {
        rank: 0,
        class: CALL_CLASS,
        useful_until: now + Duration::from_millis(120),
        deadline: now + Duration::from_millis(340),
        max_wait: Duration::MAX,
    }
}

fn full_gate(now: clock::Instant) -> admission::Gate {
    let mut gate = admission::Gate::new(SLOTS);
    for _ in 0..50 {
        gate.observe(LONG_CLASS, LONG, 1.0);
    }
    for _ in 0..SLOTS {
        let decision = gate.offer(now, long_request(now));
        assert_eq!(decision, admission::Decision::Start);
    }
    gate
}

/// Guards against calls that never run at a backend server: a class without an observation was
/// taken to run as long as the other requests, was refused for that, and so was never observed.
#[test]
fn calls_that_never_ran_are_admitted_to_a_full_backend_server() {
    let now = at(0);
    let mut gate = full_gate(now);
    let decision = gate.offer(now, call(now));
    assert!(
        matches!(decision, admission::Decision::Wait(_)),
        "{decision:?}"
    );
}

/// Guards against the same at a backend server with a free slot.
#[test]
fn calls_that_never_ran_start_in_a_free_slot() {
    let now = at(0);
    let mut gate = full_gate(now);
    gate.finish(now);
    assert_eq!(gate.offer(now, call(now)), admission::Decision::Start);
}

/// Guards against an estimate that outlives the first observation.
#[test]
fn the_first_call_that_ran_replaces_the_estimate() {
    let now = at(0);
    let mut gate = full_gate(now);
    gate.offer(now, call(now));
    gate.observe(CALL_CLASS, SHORT, 1.0);
    assert_eq!(gate.service_time(now, CALL_CLASS), SHORT);
}
