//! Backend servers that are cold or slow for a while, without a network.

use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sequoiayoke_dispatch::{admission, pace, warmth};
use sequoiayoke_model::clock;

/// Largest number of requests in any second.
const LIMIT: u32 = 19;

fn at(ms: u64) -> clock::Instant {
    clock::Instant::from_micros(1_000_000 + ms * 1_000)
}

fn offer(now: clock::Instant, rank: u32) -> admission::Offer {
    admission::Offer {
        rank: admission::MIN_REQUEST_RANK | (rank << 1),
        class: u64::from(rank),
        useful_until: now + Duration::from_millis(300),
        deadline: now + Duration::from_millis(1_000),
        max_wait: Duration::MAX,
    }
}

/// Returns a gate of five slots with short requests that was warm until `at(0)`.
fn gate() -> admission::Gate {
    let mut gate = admission::Gate::new(5);
    gate.set_window(Some(pace::Window::new(LIMIT)));
    for _ in 0..50 {
        gate.observe(1, Duration::from_millis(20), 1.0);
    }
    gate
}

/// Plays arrivals every `interval_ms`, each of which runs for 20 ms; returns the starts.
fn play(gate: &mut admission::Gate, interval_ms: u64, until_ms: u64) -> Vec<u64> {
    let (mut starts, mut ends) = (Vec::new(), Vec::new());
    for ms in 0..until_ms {
        let now = at(ms);
        let finished = ends.iter().filter(|end| **end <= ms).count();
        ends.retain(|end| *end > ms);
        let mut releases = gate.release(now);
        (0..finished).for_each(|_| releases.extend(gate.finish(now)));
        let mut started = releases.len();
        let is_start =
            |release: &admission::Release| matches!(release, admission::Release::Start(_));
        started -= releases.iter().filter(|release| !is_start(release)).count();
        if ms % interval_ms == 0 && gate.offer(now, offer(now, 1)) == admission::Decision::Start {
            started += 1;
        }
        starts.extend((0..started).map(|_| ms));
        ends.extend((0..started).map(|_| ms + 20));
    }
    starts
}

fn most_in_a_second(starts: &[u64]) -> usize {
    let count = |first: &u64| {
        let in_window = |start: &&u64| **start >= *first && **start < first + 1_000;
        starts.iter().filter(in_window).count()
    };
    starts.iter().map(count).max().unwrap_or(0)
}

/// Load: a hundred requests a second at a backend server that bears nineteen while it is cold.
/// Guards against a crash of it, and against a pace that leaves most of what it bears unused.
#[test]
fn a_cold_server_gets_no_more_than_it_bears_in_any_second() {
    let mut gate = gate();
    gate.set_paced(true);
    let starts = play(&mut gate, 10, 4_000);
    assert!(most_in_a_second(&starts) <= LIMIT as usize);
    assert!(starts.len() as u32 >= 3 * LIMIT, "{} starts", starts.len());
    // Without the pace, the same load passes the bound.
    let starts = play(&mut self::gate(), 10, 4_000);
    assert!(most_in_a_second(&starts) > LIMIT as usize);
}

/// Load: a backend server turns cold after a second of full load.
/// Guards against counting only the requests that were sent since it is known to be cold.
#[test]
fn requests_from_before_the_server_turned_cold_count() {
    let mut gate = gate();
    for ms in 0..100 {
        assert_eq!(
            gate.offer(at(ms), offer(at(ms), 1)),
            admission::Decision::Start
        );
        gate.finish(at(ms));
    }
    gate.set_paced(true);
    let now = at(100);
    let decision = gate.offer(now, offer(now, 1));
    assert!(
        !matches!(decision, admission::Decision::Start),
        "{decision:?}"
    );
}

/// Load: a node starts again beside a cold backend server, with requests waiting at once.
/// Guards against a second full allowance in the same second.
#[test]
fn a_restarted_node_waits_for_a_second() {
    let mut gate = admission::Gate::new(5);
    gate.set_window(Some(pace::Window::full(LIMIT, at(0))));
    gate.set_paced(true);
    let starts = play(&mut gate, 10, 2_000);
    assert!(starts.first().is_some_and(|first| *first >= 1_000));
}

/// Load: more requests than a cold backend server bears, some of them urgent.
/// Guards against urgent requests that wait behind others for the pace.
#[test]
fn urgent_requests_are_paced_first() {
    let mut gate = gate();
    gate.set_paced(true);
    let now = at(0);
    for _ in 0..LIMIT {
        assert_eq!(gate.offer(now, offer(now, 1)), admission::Decision::Start);
        gate.finish(now);
    }
    let later = at(900);
    let admission::Decision::Wait(_) = gate.offer(later, offer(later, 1)) else {
        panic!("it waits for the pace");
    };
    let admission::Decision::Wait(urgent) = gate.offer(later, offer(later, 0)) else {
        panic!("it waits for the pace");
    };
    assert_eq!(gate.next_paced_start(later), Some(at(1_000)));
    let released = gate.release(at(1_000));
    assert_eq!(released.first(), Some(&admission::Release::Start(urgent)));
}

/// Guards against a window that forgets or invents starts, for any times and limits.
#[test]
fn no_second_has_more_starts_than_the_limit() {
    for seed in 0..200 {
        println!("seed {seed}");
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let limit = random.random_range(1..30);
        let mut window = pace::Window::new(limit);
        let (mut ms, mut starts) = (0, Vec::new());
        for _ in 0..300 {
            ms += random.random_range(0..120);
            if window.allows(at(ms)) {
                window.record(at(ms));
                starts.push(ms);
            } else {
                let wait = window.wait(at(ms), 0);
                assert!(!wait.is_zero() && wait <= pace::WINDOW);
                assert!(window.allows(at(ms) + wait));
            }
        }
        assert!(most_in_a_second(&starts) <= limit as usize);
    }
}

/// Guards against full rate after a statement that is older than the event after which the backend
/// server may be cold: an answer to an earlier check, or a late announcement.
#[test]
fn only_a_later_health_check_ends_a_doubt() {
    let mut warmth = warmth::Warmth::new(at(0));
    warmth.record_check(at(10), at(5), Duration::ZERO);
    assert!(!warmth.is_cold(at(10)));
    warmth.record_doubt(at(100), warmth::Doubt::Returned);
    warmth.record_check(at(110), at(95), Duration::ZERO);
    assert!(
        warmth.is_cold(at(110)),
        "the check was sent before the doubt"
    );
    warmth.record_announced(at(120), Duration::ZERO);
    assert!(warmth.is_cold(at(120)), "an announcement may be late");
    warmth.record_check(at(150), at(140), Duration::from_secs(3));
    assert!(warmth.is_cold(at(3_100)));
    assert!(!warmth.is_cold(at(3_150)));
}

/// Guards against full rate at a backend server that was away unnoticed and has come back.
#[test]
fn a_silent_server_is_doubted() {
    let mut warmth = warmth::Warmth::new(at(0));
    warmth.record_check(at(0), at(0), Duration::ZERO);
    warmth.record_answer(at(500));
    assert!(!warmth.is_silent(at(1_400)));
    assert!(warmth.is_silent(at(1_500)));
}

/// Load: a backend server takes three times as long for some hundred milliseconds.
/// Guards against a queue that is as long as at the usual speed, and late answers of all in it.
#[test]
fn a_slowed_server_refuses_what_it_would_answer_late() {
    let mut gate = admission::Gate::new(1);
    for _ in 0..50 {
        gate.observe(1, Duration::from_millis(80), 1.0);
    }
    let now = at(0);
    assert_eq!(gate.offer(now, offer(now, 1)), admission::Decision::Start);
    assert_eq!(gate.refusal(now, &offer(now, 1)), None);
    gate.record_slowness(now, 3.0);
    assert!(gate.refusal(now, &offer(now, 1)).is_some());
    // Nothing was heard since; the speed is probably usual again.
    let later = at(3_000);
    assert_eq!(gate.refusal(later, &offer(later, 1)), None);
}

/// Load: requests run while the speed changes.
/// Guards against service times that take the slow intervals for longer requests.
#[test]
fn service_times_are_those_of_the_usual_speed() {
    let mut gate = admission::Gate::new(1);
    for _ in 0..100 {
        gate.observe(1, Duration::from_millis(80), 1.0);
        gate.observe(1, Duration::from_millis(240), 3.0);
    }
    let expected = gate.service_time(at(0), 1).as_secs_f64();
    assert!((expected - 0.08).abs() < 0.001, "{expected}");
}
