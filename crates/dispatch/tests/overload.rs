//! Tests of admission, choice, retry budget and transfers under load patterns, without a network.

use std::time::Duration;

use sequoiayoke_dispatch::{admission, budget, choice, probe, transfer, usage};
use sequoiayoke_model::clock;

fn at(ms: u64) -> clock::Instant {
    clock::Instant::from_micros(ms * 1_000)
}

fn offer(now: clock::Instant, rank: u32) -> admission::Offer {
    admission::Offer {
        rank: admission::MIN_REQUEST_RANK | (rank << 1),
        class: u64::from(rank),
        useful_until: now + Duration::from_millis(500),
        deadline: now + Duration::from_millis(1_200),
        max_wait: Duration::MAX,
    }
}

fn request(bytes: usize) -> choice::Request {
    choice::Request {
        bytes,
        response_bytes: 0,
        useful: Duration::from_millis(500),
    }
}

/// Guards against a queue that grows under overload until every request misses its target.
/// Admitted requests must finish within theirs.
#[test]
fn overload_is_refused_instead_of_answered_late() {
    let mut gate = admission::Gate::new(4);
    let work = Duration::from_millis(160);
    for _ in 0..50 {
        gate.observe(1, work, 1.0);
    }
    let mut ends: Vec<(clock::Instant, clock::Instant)> = Vec::new();
    let mut waiting = std::collections::HashMap::new();
    let (mut refused, mut late, mut served) = (0, 0, 0);
    // Twice the load that four slots can carry.
    for arrival in (0..8_000).step_by(20) {
        let now = at(arrival);
        ends.sort();
        while let Some((end, arrived)) = ends.first().copied().filter(|(end, _)| *end <= now) {
            ends.remove(0);
            served += 1;
            if end > arrived + Duration::from_millis(500) {
                late += 1;
            }
            for release in gate.finish(end) {
                match release {
                    admission::Release::Start(ticket) => {
                        let arrived = waiting.remove(&ticket).expect("it waited");
                        ends.push((end + work, arrived));
                    }
                    admission::Release::Refuse(..) => refused += 1,
                }
            }
            ends.sort();
        }
        match gate.offer(now, offer(now, 1)) {
            admission::Decision::Start => ends.push((now + work, now)),
            admission::Decision::Wait(ticket) => {
                waiting.insert(ticket, now);
            }
            admission::Decision::Refuse(after) => {
                assert!(after > Duration::ZERO);
                refused += 1;
            }
        }
    }
    assert!(refused > 100, "{refused} refused");
    assert!(served > 190, "{served} served; four slots can serve 200");
    assert!(late * 20 <= served, "{late} of {served} late");
}

/// Guards against an urgent request that waits behind less urgent ones.
#[test]
fn the_lower_rank_starts_first() {
    let mut gate = admission::Gate::new(1);
    let now = at(0);
    assert_eq!(gate.offer(now, offer(now, 2)), admission::Decision::Start);
    let admission::Decision::Wait(_) = gate.offer(now, offer(now, 2)) else {
        panic!("the slot is taken");
    };
    let admission::Decision::Wait(urgent) = gate.offer(now, offer(now, 0)) else {
        panic!("the slot is taken");
    };
    assert_eq!(gate.finish(at(10)), [admission::Release::Start(urgent)]);
}

/// Guards against a slot that is given to a request whose caller has disconnected.
#[test]
fn a_cancelled_request_gets_no_slot() {
    let mut gate = admission::Gate::new(1);
    let now = at(0);
    gate.offer(now, offer(now, 1));
    let admission::Decision::Wait(ticket) = gate.offer(now, offer(now, 1)) else {
        panic!("the slot is taken");
    };
    gate.cancel(ticket);
    assert_eq!(gate.finish(at(10)), []);
    assert_eq!(gate.load(at(0)).running, 0);
}

/// Guards against more retries than the budget shared by all nodes allows, when every request
/// fails.
#[test]
fn retries_of_all_nodes_stay_within_the_shared_budget() {
    const NODES: usize = 12;
    let config = budget::Config {
        ratio: 0.2,
        allowance: 60.0,
        window: Duration::from_secs(10),
    };
    let mut budgets = vec![budget::Budget::new(config); NODES];
    let mut spent = 0;
    // Every request fails, for one window.
    for ms in (0..10_000).step_by(50) {
        for budget in &mut budgets {
            budget.earn();
            spent += usize::from(budget.spend(at(ms), NODES));
        }
    }
    let requests = 200 * NODES;
    let bound = (0.2 * requests as f64 + 60.0) as usize;
    assert!(spent <= bound, "{spent} of {bound}");
    assert!(spent > bound / 3, "{spent} of {bound}");
}

/// Guards against a choice by reported load alone, which would prefer a nearby backend server that
/// is slow or fails its requests.
#[test]
fn a_slow_or_failing_backend_server_is_avoided() {
    let load = admission::Load {
        running: 2,
        waiting: 0,
        slots: 12,
        service_s: 0.1,
        usual_s: 0.1,
    };
    let good = choice::Candidate {
        load,
        link: transfer::Load::default(),
        age: Duration::ZERO,
        outstanding: 2,
        is_same_domain: false,
        failure_rate: 0.0,
    };
    let slow = choice::Candidate {
        load: admission::Load {
            service_s: 0.5,
            usual_s: 0.5,
            ..load
        },
        is_same_domain: true,
        ..good
    };
    let failing = choice::Candidate {
        failure_rate: 0.6,
        is_same_domain: true,
        ..good
    };
    assert_eq!(
        choice::best(&[slow, failing, good], &request(1_000), 0),
        Some(2)
    );
}

/// Guards against a report that merges a hot key with its neighbours, so that it cannot be moved
/// alone.
#[test]
fn a_hot_key_is_reported_as_its_own_part() {
    let mut usage = usage::Usage::new();
    for key in 1_000..1_400 {
        usage.add(key, 0.01);
    }
    usage.add(1_200, 3.0);
    usage.update_rates(1.0);
    let parts = usage.parts(16);
    let hot = parts
        .iter()
        .find(|part| part.range.contains(1_200))
        .expect("the key has load");
    assert_eq!(hot.range.len(), 1);
    assert!(parts.len() <= 18, "{} parts", parts.len());
}

/// Guards against a request that fails because its call to another service waits behind less urgent
/// requests. Waiting requests that become too late because of it are refused at once.
#[test]
fn less_urgent_requests_are_evicted_for_urgent_ones() {
    let mut gate = admission::Gate::new(2);
    for class in [1, 2] {
        for _ in 0..50 {
            gate.observe(class, Duration::from_millis(150), 1.0);
        }
    }
    let now = at(0);
    let mut waiting = Vec::new();
    for _ in 0..20 {
        if let admission::Decision::Wait(ticket) = gate.offer(now, offer(now, 2)) {
            waiting.push(ticket);
        }
    }
    assert!(waiting.len() >= 3);
    for _ in 0..2 {
        let decision = gate.offer(now, offer(now, 1));
        assert!(matches!(decision, admission::Decision::Wait(_)));
    }
    let evicted = gate.evict(now);
    assert!(!evicted.is_empty());
    for release in evicted {
        let admission::Release::Refuse(ticket, after) = release else {
            panic!("nothing can start");
        };
        assert!(waiting.contains(&ticket) && after > Duration::ZERO);
    }
}

/// Guards against a queue in which requests past their target, sent by callers that retry late,
/// make every new request miss its target too.
#[test]
fn a_late_request_is_queued_behind_those_in_time() {
    let mut gate = admission::Gate::new(1);
    for _ in 0..20 {
        gate.observe(1, Duration::from_millis(100), 1.0);
    }
    let now = at(0);
    gate.offer(now, offer(now, 1));
    let late = admission::Offer {
        useful_until: now,
        ..offer(now, 1)
    };
    let admission::Decision::Wait(_) = gate.offer(now, late) else {
        panic!("it can still be answered");
    };
    let admission::Decision::Wait(new) = gate.offer(now, offer(now, 1)) else {
        panic!("it can be answered in time");
    };
    assert_eq!(gate.finish(at(10)), [admission::Release::Start(new)]);
}

/// Guards against starvation of the lowest class when urgent requests alone fill the backend
/// server. The lowest class must be admitted at more than a quarter of the mean ratio.
#[test]
fn the_lowest_class_of_a_full_backend_server_is_not_starved() {
    let mut gate = admission::Gate::new(4);
    let work = Duration::from_millis(200);
    for class in [1, 3] {
        for _ in 0..20 {
            gate.observe(class, work, 1.0);
        }
    }
    let mut ends: Vec<clock::Instant> = Vec::new();
    let mut classes = std::collections::HashMap::new();
    let mut admitted = [0_u32; 2];
    let mut offered = [0_u32; 2];
    for step in 0..2_000_u64 {
        let now = at(step * 20);
        ends.sort();
        while ends.first().is_some_and(|end| *end <= now) {
            ends.remove(0);
            for release in gate.finish(now) {
                if let admission::Release::Start(_) = release {
                    ends.push(now + work);
                }
            }
        }
        // Every fifth request is of the lower class.
        let low = usize::from(step % 5 == 0);
        let rank = if low == 1 { 3 } else { 1 };
        offered[low] += 1;
        match gate.offer(now, offer(now, rank)) {
            admission::Decision::Start => {
                ends.push(now + work);
                admitted[low] += 1;
            }
            admission::Decision::Wait(ticket) => {
                admitted[low] += 1;
                classes.insert(ticket, low);
            }
            admission::Decision::Refuse(_) => {}
        }
        for release in gate.evict(now) {
            if let admission::Release::Refuse(ticket, _) = release {
                admitted[classes[&ticket]] -= 1;
            }
        }
    }
    let ratio = |class: usize| f64::from(admitted[class]) / f64::from(offered[class]);
    assert!(ratio(0) < 0.9, "urgent requests fill the backend server");
    assert!(ratio(1) > ratio(0) * 0.3, "{} of {}", ratio(1), ratio(0));
}

/// Guards against herding, in which many nodes send to the backend server that was last reported
/// idle. A node gets load reports only with the responses to its own requests, so they are stale.
#[test]
fn nodes_with_stale_load_reports_do_not_herd() {
    const SERVERS: usize = 20;
    const SLOTS: u32 = 12;
    let work = 100;
    let mut running = [0_u32; SERVERS];
    let mut ends: Vec<(u64, usize)> = Vec::new();
    let unknown = (admission::Load::default(), 0);
    let mut known = vec![[unknown; SERVERS]; 53];
    let mut highest = 0;
    // 1,800 requests of 100 ms a second are three quarters of what 240 slots can do.
    for (number, us) in (0..10_000_000_u64).step_by(555).enumerate() {
        let ms = us / 1_000;
        ends.retain(|(end, server)| {
            let ended = *end <= ms;
            running[*server] -= u32::from(ended);
            !ended
        });
        let node = number % known.len();
        let candidates: Vec<_> = known[node]
            .iter()
            .enumerate()
            .map(|(server, (load, reported_ms))| choice::Candidate {
                load: admission::Load {
                    slots: SLOTS,
                    service_s: 0.1,
                    usual_s: 0.1,
                    ..*load
                },
                link: transfer::Load::default(),
                age: Duration::from_millis(ms - reported_ms),
                outstanding: 0,
                is_same_domain: server % 3 == node % 3,
                failure_rate: 0.0,
            })
            .collect();
        let best =
            choice::best(&candidates, &request(0), number as u64).expect("there are candidates");
        running[best] += 1;
        ends.push((ms + work, best));
        let load = admission::Load {
            running: running[best],
            ..admission::Load::default()
        };
        known[node][best] = (load, ms);
        if ms > 1_000 {
            highest = highest.max(running[best]);
        }
    }
    assert!(highest <= 2 * SLOTS, "{highest} at one backend server");
}

/// Guards against a request that waits at the first backend server while another one has a free
/// slot, and against counting this kind of refusal in the admission ratio of its class.
#[test]
fn a_request_does_not_wait_longer_than_its_max_wait() {
    let mut gate = admission::Gate::new(2);
    for _ in 0..50 {
        gate.observe(1, Duration::from_millis(200), 1.0);
    }
    let now = at(0);
    let short_wait = admission::Offer {
        max_wait: Duration::from_millis(20),
        ..offer(now, 1)
    };
    assert_eq!(gate.offer(now, short_wait), admission::Decision::Start);
    assert_eq!(gate.offer(now, short_wait), admission::Decision::Start);
    for _ in 0..100 {
        assert!(gate.refusal(now, &short_wait).is_some());
        let decision = gate.offer(now, short_wait);
        assert!(matches!(decision, admission::Decision::Refuse(_)));
    }
    let long_wait = offer(now, 1);
    assert_eq!(gate.refusal(now, &long_wait), None);
    let decision = gate.offer(now, long_wait);
    assert!(matches!(decision, admission::Decision::Wait(_)));
}

/// Guards against uploads above the capacity of a link, which would all arrive late.
#[test]
fn a_body_that_would_arrive_late_is_refused_before_its_transfer() {
    let mut link = transfer::Link::new();
    let refusal =
        |link: &transfer::Link, useful_ms| link.refusal(at(0), at(useful_ms), at(8_000), 60_000);
    assert_eq!(refusal(&link, 600), None);
    // A link of 6 Mbit/s takes 80 ms for each body.
    for _ in 0..10 {
        link.begin(60_000);
        link.end(60_000, Some(Duration::from_millis(160)), 2);
    }
    let mut admitted = 0;
    while refusal(&link, 600).is_none() {
        link.begin(60_000);
        admitted += 1;
    }
    assert!((6..=9).contains(&admitted), "{admitted}");
    let after = refusal(&link, 600).expect("the link is full");
    assert!(after < Duration::from_millis(700), "{after:?}");
    // A body that misses its target anyway is refused instead of waiting, despite its deadline.
    assert!(refusal(&link, 0).is_some());
    assert_eq!(refusal(&transfer::Link::new(), 0), None);
}

/// Guards against a node that has just started behind a slow link, accepts every body, and lets
/// them wait for seconds.
#[test]
fn a_started_node_accepts_as_many_bodies_as_its_link_can_carry() {
    let admitted = |mut link: transfer::Link| {
        let mut admitted = 0;
        while admitted < 100 && link.refusal(at(0), at(600), at(8_000), 60_000).is_none() {
            link.begin(60_000);
            admitted += 1;
        }
        admitted
    };
    // A link of 6 Mbit/s takes 80 ms for each body.
    assert_eq!(admitted(transfer::Link::new().with_bandwidth(6e6)), 7);
    assert_eq!(admitted(transfer::Link::new()), 100);
}

/// Guards against uploads from a failure domain with few backend servers that overload the links of
/// that domain while links in others have capacity.
#[test]
fn an_upload_leaves_its_failure_domain_when_the_links_there_are_full() {
    let same_domain = choice::Candidate {
        load: admission::Load {
            running: 1,
            waiting: 0,
            slots: 9,
            service_s: 0.2,
            usual_s: 0.2,
        },
        link: transfer::Load {
            wait: Duration::from_millis(600),
            time_per_kib: Duration::from_millis(1),
        },
        age: Duration::ZERO,
        outstanding: 1,
        is_same_domain: true,
        failure_rate: 0.0,
    };
    let cross_domain = choice::Candidate {
        link: transfer::Load::default(),
        is_same_domain: false,
        ..same_domain
    };
    assert_eq!(
        choice::best(&[same_domain, cross_domain], &request(60_000), 0),
        Some(1)
    );
    // A request without a body is not affected by the load of the links.
    assert_eq!(
        choice::best(&[same_domain, cross_domain], &request(0), 0),
        Some(0)
    );
}

/// Offers requests of a class of which `admitted` are queued and cancelled, and `refused` refused.
fn offer_requests(gate: &mut admission::Gate, class: u32, admitted: u32, refused: u32) {
    let now = at(0);
    let admissible = admission::Offer {
        useful_until: at(1_000_000),
        deadline: at(1_000_000),
        ..offer(now, class)
    };
    let too_late = admission::Offer {
        useful_until: at(1),
        deadline: at(1),
        ..admissible
    };
    for _ in 0..admitted {
        match gate.offer(now, admissible) {
            admission::Decision::Wait(ticket) => gate.cancel(ticket),
            unexpected => panic!("{unexpected:?}"),
        }
    }
    for _ in 0..refused {
        let decision = gate.offer(now, too_late);
        assert!(matches!(decision, admission::Decision::Refuse(_)));
    }
}

/// Returns the order in which a request, a request of a starved class and a call start, after
/// `admitted` requests of the starved class were admitted and `refused` refused.
fn order_of_starts(admitted: u32, refused: u32) -> Vec<&'static str> {
    order_of_starts_after(|gate| offer_requests(gate, 3, admitted, refused))
}

/// Returns the same order after `starve` has offered requests of the starved class, class 3.
fn order_of_starts_after<Starve>(starve: Starve) -> Vec<&'static str>
where
    Starve: FnOnce(&mut admission::Gate),
{
    let mut gate = admission::Gate::new(1);
    let now = at(0);
    gate.observe(1, Duration::from_millis(50), 1.0);
    gate.observe(3, Duration::from_millis(50), 1.0);
    gate.offer(now, offer(now, 1));
    offer_requests(&mut gate, 1, 20, 0);
    starve(&mut gate);
    let call = admission::Offer {
        rank: 2,
        class: 9,
        ..offer(now, 1)
    };
    let request = admission::Offer {
        rank: admission::MIN_REQUEST_RANK + 2,
        ..offer(now, 1)
    };
    let starved = admission::Offer {
        rank: admission::MIN_REQUEST_RANK + 4,
        ..offer(now, 3)
    };
    let offers = [("request", request), ("starved", starved), ("call", call)];
    let waiting: Vec<_> = offers
        .into_iter()
        .map(|(name, offer)| match gate.offer(now, offer) {
            admission::Decision::Wait(ticket) => (ticket, name),
            unexpected => panic!("{unexpected:?}"),
        })
        .collect();
    let starts = (1..=3).flat_map(|step| gate.finish(at(step * 10)));
    let name = |release| match release {
        admission::Release::Start(ticket) => {
            let entry = waiting.iter().find(|(queued, _)| *queued == ticket);
            entry.expect("it waits").1
        }
        unexpected => panic!("{unexpected:?}"),
    };
    starts.map(name).collect()
}

/// Guards against overload that spreads between two full services that call each other: if a
/// starved class delays calls, these occupy slots of the other service, fail, and are retried.
#[test]
fn a_starved_class_starts_before_requests_but_not_before_calls() {
    assert_eq!(order_of_starts(3, 9), ["call", "starved", "request"]);
}

/// Guards against starvation of a class when calls of other services alone fill the backend server.
#[test]
fn a_severely_starved_class_starts_before_calls() {
    assert_eq!(order_of_starts(0, 12), ["starved", "call", "request"]);
}

/// Guards against starvation of a class whose requests are queued and then refused: they count as
/// refused, whether their wait ended or a slot became free too late.
#[test]
fn requests_that_are_refused_after_a_wait_count_as_refused() {
    let queue = |gate: &mut admission::Gate| match gate.offer(at(0), offer(at(0), 3)) {
        admission::Decision::Wait(ticket) => ticket,
        unexpected => panic!("{unexpected:?}"),
    };
    let expired = order_of_starts_after(|gate| {
        for _ in 0..12 {
            let ticket = queue(gate);
            gate.expire(ticket);
        }
    });
    let released_late = order_of_starts_after(|gate| {
        for _ in 0..12 {
            let ticket = queue(gate);
            // The slot stays occupied by the next request.
            let releases = gate.finish(at(10_000));
            let refused = releases.into_iter().any(|release| {
                matches!(release, admission::Release::Refuse(queued, _) if queued == ticket)
            });
            assert!(refused);
            gate.offer(at(0), offer(at(0), 1));
        }
    });
    assert_eq!(expired, ["starved", "call", "request"]);
    assert_eq!(released_late, ["starved", "call", "request"]);
}

/// Guards against admission by the mean service time alone, with which half of the requests at the
/// end of the queue are late when service times vary.
#[test]
fn varying_service_times_shorten_the_queue() {
    let waiting = |works: [u64; 2]| {
        let mut gate = admission::Gate::new(4);
        for work in works.iter().cycle().take(60) {
            gate.observe(1, Duration::from_millis(*work), 1.0);
        }
        let now = at(0);
        for _ in 0..100 {
            gate.offer(now, offer(now, 1));
        }
        gate.load(at(0)).waiting
    };
    let (steady, varying) = (waiting([200, 200]), waiting([80, 320]));
    assert!(varying + 2 <= steady, "{varying} and {steady} wait");
}

/// Guards against bodies that saturate a shared link and delay calls and the uploads of the VM's
/// own callers.
#[test]
fn bodies_yield_to_other_traffic() {
    let mut link = transfer::Link::new();
    let ms = Duration::from_millis;
    assert_eq!(link.record_part(ms(24)), ms(0));
    // Two concurrent transfers share the link.
    assert_eq!(link.record_part(ms(44)), ms(0));
    let pause = link.record_part(ms(250));
    assert!(pause > ms(180) && pause < ms(220), "{pause:?}");
    assert_eq!(link.record_part(ms(30)), ms(0));
}

/// Guards against useless probes in a service without free slots, and against a node that never
/// probes again once slots are free.
#[test]
fn a_full_service_is_rarely_probed() {
    let mut probes = probe::Probes::new();
    let mut sent = 0;
    for _ in 0..1_000 {
        if probes.allow_probe() {
            sent += 1;
            probes.record(false);
        }
    }
    assert!((100..200).contains(&sent), "{sent} of 1,000");
    for _ in 0..100 {
        if probes.allow_probe() {
            probes.record(true);
        }
    }
    assert!((0..20).all(|_| probes.allow_probe()));
}
