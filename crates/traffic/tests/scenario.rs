//! Scripted scenarios; `REWRITE=1` updates the expected output in the scripts.

use std::collections::HashMap;
use std::time::Duration;

use datadriven::TestCase;
use sequoiayoke_model::outcome::{Outcome, Reason};
use sequoiayoke_model::{clock, id, key, table, view};
use sequoiayoke_traffic::admission::gate;
use sequoiayoke_traffic::{health, retry, route};

fn arg(case: &mut TestCase, name: &str) -> Option<u64> {
    case.try_take_arg(name).expect("a number")
}

/// Returns a view with slices of a sixteenth of the keys each: owned by server 1, vacant,
/// owned by server 2, by a server that has left, and by an earlier run of server 1.
fn sample_view() -> view::View {
    let server = |number: u32| view::Server {
        name: format!("server-{number}"),
        incarnation: id::Incarnation(10),
        peer_address: ([127, 0, 0, 1], number as u16).into(),
        caller_address: ([127, 0, 0, 1], number as u16).into(),
        draining: false,
    };
    let holder = |number: u32, incarnation, epoch| table::Holder {
        server: id::Server(number),
        incarnation: id::Incarnation(incarnation),
        epoch: id::Epoch(epoch),
    };
    let holders = [
        Some(holder(1, 10, 20)),
        None,
        Some(holder(2, 10, 21)),
        Some(holder(3, 10, 22)),
        Some(holder(1, 9, 5)),
    ];
    let slices = (0..).zip(holders).map(|(index, holder)| {
        let start = key::Hash(index << 60);
        view::Change::Slice(id::Service(1), table::Slice { start, holder })
    });
    let mut view = view::View::new();
    view.apply(id::Version(22), slices);
    let servers = [1, 2].map(|number| view::Change::Server(id::Server(number), server(number)));
    view.apply(id::Version(22), servers);
    view
}

fn run_route(case: &mut TestCase) -> String {
    let query = route::Query {
        service: id::Service(arg(case, "service").unwrap_or(1) as u32),
        hash: key::Hash(arg(case, "slice").unwrap_or(0) << 60),
        forwarded: arg(case, "hint").map(id::Epoch),
    };
    let identity = arg(case, "me").map(|number| route::Identity {
        server: id::Server(number as u32),
        incarnation: id::Incarnation(10),
    });
    format!("{:?}\n", route::decide(&sample_view(), identity, &query))
}

/// Lists the decision for every outcome, for non-idempotent and for idempotent requests.
fn list_retries() -> String {
    let left = Duration::from_secs(1);
    let outcomes: [fn(Reason) -> Outcome; 2] = [Outcome::NotRun, Outcome::Unknown];
    let cases = outcomes.into_iter().flat_map(|outcome| {
        Reason::ALL.iter().map(move |reason| {
            let outcome = outcome(*reason);
            let [non_idempotent, idempotent] =
                [false, true].map(|idempotent| retry::may_retry(outcome, idempotent, left));
            format!(
                "{} {reason}: {non_idempotent:?} / {idempotent:?}\n",
                outcome.as_str()
            )
        })
    });
    cases.collect()
}

struct HealthScenario {
    now: clock::Instant,
    monitor: health::Monitor,
}

fn run_health(state: &mut HealthScenario, case: &mut TestCase) -> String {
    let span = Duration::from_millis(arg(case, "every").unwrap_or(100));
    let probe = match case.args.remove("probe").as_deref() {
        Some([text]) if text == "healthy" => Some(health::Probe::Healthy),
        Some([text]) if text == "unhealthy" => Some(health::Probe::Unhealthy),
        Some(_) => Some(health::Probe::Unresponsive),
        None => None,
    };
    let latency = arg(case, "latency").map(Duration::from_millis);
    let timeout = case.take_flag("timeout").expect("a flag");
    let unresponsive = case.take_flag("silent").expect("a flag");
    let mut samples: Vec<health::Sample> =
        latency.map(health::Sample::Answered).into_iter().collect();
    samples.extend(timeout.then_some(health::Sample::TimedOut));
    samples.extend(unresponsive.then_some(health::Sample::Unresponsive));
    // The monitor is called several times per second, except while it is suspended.
    let suspended = arg(case, "suspended").map_or(Duration::ZERO, Duration::from_millis);
    let sent = state.now;
    state.now = state.now + suspended;
    for _ in 0..arg(case, "count").unwrap_or(1) {
        let end = state.now + span;
        while state.now < end {
            state.now = state.now + span.min(Duration::from_millis(100));
            state.monitor.record_alive(state.now);
        }
        let sent = match suspended.is_zero() {
            true => state.now,
            false => sent,
        };
        if let Some(probe) = probe {
            state.monitor.record_probe(state.now, probe);
        }
        for sample in &samples {
            state.monitor.observe(state.now, sent, *sample);
        }
        state.monitor.report(state.now);
    }
    let report = state.monitor.report(state.now);
    format!("{:?} score {:.2}\n", report.state, report.score)
}

/// Admits a request, queues others with the given deadlines, and lists the order.
fn run_gate(case: &mut TestCase) -> String {
    let drain_after = arg(case, "drain_after").unwrap_or(u64::MAX);
    let latency = Duration::from_millis(arg(case, "latency").unwrap_or(10));
    let mut now = clock::Instant::from_micros(0);
    let mut gate = gate::Gate::new(gate::Limits { slots: 1, queue: 8 }, now);
    let mut output = String::new();
    let mut names = HashMap::new();
    let mut running = Vec::new();
    for (number, deadline_ms) in (0..).zip(case.input.split_whitespace()) {
        let ticket = gate::Ticket {
            caller: id::Caller(1),
            service: id::Service(1),
            hash: key::Hash(number),
            class: gate::Class::Interactive,
            deadline: now + Duration::from_millis(deadline_ms.parse().expect("a number")),
            request: None,
        };
        match gate.arrive(now, &ticket) {
            gate::Arrival::Admitted(key) => {
                running.push(key);
                names.insert(key, deadline_ms);
            }
            gate::Arrival::Queued(key) => {
                names.insert(key, deadline_ms);
            }
            gate::Arrival::Shed(reason) => output += &format!("{deadline_ms} shed: {reason}\n"),
        }
    }
    for round in 0.. {
        if round == drain_after {
            for (key, _) in gate.in_flight() {
                output += &format!("{} is left\n", names[&key]);
            }
            for (key, reason) in gate.drain().shed {
                output += &format!("{} shed: {reason}\n", names[&key]);
            }
        }
        let Some(key) = running.pop() else {
            break;
        };
        output += &format!("{} runs\n", names[&key]);
        now = now + latency;
        let update = gate.finish(now, key, latency, gate::Finish::Completed);
        running.extend(update.admitted);
        for (key, reason) in update.shed {
            output += &format!("{} shed: {reason}\n", names[&key]);
        }
    }
    output
}

/// Guards against unintended changes of decisions that no other test checks.
#[test]
fn scenarios() {
    datadriven::walk("tests/scenario", |file| {
        let now = clock::Instant::from_micros(0);
        let monitor = health::Monitor::new(now);
        let mut state = HealthScenario { now, monitor };
        file.run(|case| -> String {
            match case.directive.clone().as_str() {
                "route" => run_route(case),
                "retries" => list_retries(),
                "gate" => run_gate(case),
                "health" => run_health(&mut state, case),
                other => panic!("no directive {other}"),
            }
        });
    });
}
