//! Requests that give way when there is too little room, without a network.

use std::time::Duration;

use sequoiayoke_dispatch::{admission, choice, transfer};
use sequoiayoke_model::clock;

const SLOTS: u32 = 5;
const WORK: Duration = Duration::from_millis(100);

fn at(ms: u64) -> clock::Instant {
    clock::Instant::from_micros(1_000_000 + ms * 1_000)
}

fn offer(now: clock::Instant, useful_ms: u64) -> admission::Offer {
    admission::Offer {
        rank: admission::MIN_REQUEST_RANK | 2,
        class: 1,
        useful_until: now + Duration::from_millis(useful_ms),
        deadline: now + Duration::from_millis(1_000),
        max_wait: Duration::MAX,
    }
}

fn gate() -> admission::Gate {
    let mut gate = admission::Gate::new(SLOTS);
    for _ in 0..50 {
        gate.observe(1, WORK, 1.0);
    }
    gate
}

/// Plays requests of which every third has come back too late for its target; returns how many
/// were answered in time and late.
fn play(interval_ms: u64) -> (u32, u32) {
    let mut gate = gate();
    let (mut in_time, mut late) = (0, 0);
    let mut running: Vec<(u64, clock::Instant)> = Vec::new();
    let mut waiting = std::collections::HashMap::new();
    for ms in 0..21_000 {
        let now = at(ms);
        let mut started = Vec::new();
        while let Some(index) = running.iter().position(|(end, _)| *end <= ms) {
            let (_, useful_until) = running.remove(index);
            match now <= useful_until {
                true => in_time += 1,
                false => late += 1,
            }
            for release in gate.finish(now) {
                if let admission::Release::Start(ticket) = release {
                    started.push(waiting.remove(&ticket).expect("it waited"));
                }
            }
        }
        if ms < 20_000 && ms.is_multiple_of(interval_ms) {
            let is_late = (ms / interval_ms).is_multiple_of(3);
            let useful_ms = if is_late { 20 } else { 250 };
            let offered = offer(now, useful_ms);
            match gate.offer(now, offered) {
                admission::Decision::Start => started.push(offered.useful_until),
                admission::Decision::Wait(ticket) => {
                    waiting.insert(ticket, offered.useful_until);
                }
                admission::Decision::Refuse(_) => {}
            }
        }
        let end = ms + WORK.as_millis() as u64;
        running.extend(started.into_iter().map(|useful_until| (end, useful_until)));
    }
    (in_time, late)
}

/// Load: twice the requests that the slots can carry, a third of them too late for their target.
/// Guards against late requests that occupy the slots of those in time.
#[test]
fn late_requests_give_way_while_others_are_refused() {
    let (in_time, late) = play(10);
    // The slots carry 1,000 requests in this time.
    assert!(in_time >= 850, "{in_time} in time, {late} late");
    assert!(late <= 100, "{in_time} in time, {late} late");
}

/// Load: as before, but half of what the slots can carry.
/// Guards against refusing late requests although there is room for all.
#[test]
fn late_requests_are_served_while_there_is_room() {
    let (in_time, late) = play(40);
    assert_eq!(in_time + late, 500, "{in_time} in time, {late} late");
    assert!(late >= 160, "{late} late");
}

/// Load: requests with a target of 300 ms at a backend server that takes 200 ms.
/// Guards against admitting those that would end up to 400 ms after their arrival, a limit that
/// is meant for calls between services.
#[test]
fn a_short_target_of_a_request_is_kept() {
    let mut gate = admission::Gate::new(1);
    for _ in 0..50 {
        gate.observe(1, Duration::from_millis(200), 1.0);
    }
    let now = at(0);
    assert_eq!(gate.offer(now, offer(now, 300)), admission::Decision::Start);
    assert!(gate.refusal(now, &offer(now, 300)).is_some());
    let call = admission::Offer {
        rank: 2,
        ..offer(now, 210)
    };
    assert_eq!(gate.refusal(now, &call), None);
}

fn candidate(is_same_domain: bool, waiting: u32) -> choice::Candidate {
    choice::Candidate {
        load: admission::Load {
            running: 12,
            waiting,
            slots: 12,
            service_s: 0.18,
            usual_s: 0.18,
        },
        link: transfer::Load::default(),
        age: Duration::ZERO,
        outstanding: 0,
        is_same_domain,
        failure_rate: 0.0,
    }
}

/// Load: a wave of callers in one failure domain while the others are less busy.
/// Guards against traffic between domains that saves its callers little, and against late answers
/// for the sake of that traffic.
#[test]
fn a_request_leaves_its_domain_for_a_wait_that_matters() {
    let request = |useful_ms| choice::Request {
        bytes: 4_000,
        response_bytes: 1_500,
        useful: Duration::from_millis(useful_ms),
    };
    let best = |waiting, useful_ms| {
        let candidates = [candidate(true, waiting), candidate(false, 0)];
        choice::best(&candidates, &request(useful_ms), 1)
    };
    assert_eq!(best(1, 600), Some(0), "a short wait");
    assert_eq!(best(12, 600), Some(1), "a long wait");
    // The shorter its time, the sooner it leaves.
    assert_eq!(best(3, 600), Some(0));
    assert_eq!(best(3, 150), Some(1));
}

/// Load: a service whose response is much larger than its request.
/// Guards against counting only the bytes of the request.
#[test]
fn the_bytes_of_the_response_count() {
    let candidates = [candidate(true, 1), candidate(false, 0)];
    let request = |response_bytes| choice::Request {
        bytes: 0,
        response_bytes,
        useful: Duration::from_millis(600),
    };
    assert_eq!(choice::best(&candidates, &request(0), 1), Some(1));
    assert_eq!(choice::best(&candidates, &request(5_000), 1), Some(0));
}
