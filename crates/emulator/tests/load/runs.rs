//! Whole runs against stand-ins, straight and through nodes that lie.

use std::io::Write as _;
use std::net;
use std::time::Duration;

use serde_json::json;

use sequoiayoke_emulator::load;
use sequoiayoke_emulator::load::mix;
use sequoiayoke_emulator::load::plan;
use sequoiayoke_emulator::load::report;
use sequoiayoke_emulator::standin;

use crate::node;
use crate::node::Lie;

const SEED: u64 = 20_261_204;

fn standin() -> standin::Standin {
    let settings = standin::settings::Settings::new("a")
        .with_service("refunds")
        .with_connections(1_000);
    standin::Standin::start(settings).unwrap()
}

fn plan(mode: plan::Mode, target: net::SocketAddr, standin: &standin::Standin) -> plan::Plan {
    println!("seed {SEED}");
    let share = mix::Share::new("refunds", 1.0, 0.4, 0.5, 0.1);
    plan::Plan::new(mode, vec![target])
        .with_seed(SEED)
        .with_load(500.0, Duration::from_millis(400))
        .with_mix(mix::Mix {
            shares: vec![share],
        })
        .with_standins(vec![standin.address()])
}

fn run(plan: plan::Plan) -> report::Report {
    let report = load::Load::new(plan).unwrap().run().unwrap();
    println!("{report}");
    report
}

fn fault(standin: &standin::Standin, name: &str, body: &serde_json::Value) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let url = format!("http://{}/fault/v1/{name}", standin.address());
    let http = reqwest::Client::builder().no_proxy().build().unwrap();
    let answer = runtime.block_on(http.post(url).json(body).send()).unwrap();
    assert_eq!(answer.status(), 200);
}

fn count(report: &report::Report, label: &str) -> u64 {
    let counts = report.outcomes.values().filter_map(|kind| kind.get(label));
    counts.sum()
}

/// Guards against requests that the report loses, and against false alarms.
#[test]
fn clean_run_straight_accounts_for_every_request() {
    let standin = standin();
    let report = run(plan(plan::Mode::Straight, standin.address(), &standin));
    assert!(report.is_clean());
    assert_eq!(report.finished + report.frame.dropped, report.frame.offered);
    assert_eq!(count(&report, "answered"), report.finished);
    let audit = report.frame.audit.unwrap();
    assert_eq!(audit.gaps, Vec::<String>::new());
    assert_eq!(audit.ids, report.request_ids.count);
    assert!(
        report
            .latencies
            .keys()
            .any(|name| name.starts_with("upload/"))
    );
}

/// Guards against a tool that takes a node's word for what ran: each lie is found.
#[test]
fn lies_of_a_node_are_found() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    for lie in [
        Lie::None,
        Lie::NotRun,
        Lie::Double,
        Lie::Invent,
        Lie::Swap,
        Lie::Forget,
    ] {
        let standin = standin();
        let node = node::start(&runtime, standin.address(), lie);
        let report = run(plan(plan::Mode::Nodes, node, &standin));
        let audit = report.frame.audit.clone().unwrap();
        assert_eq!(report.is_clean(), lie == Lie::None, "{lie:?}");
        let found = match lie {
            Lie::None | Lie::Owner(_) => audit.ids,
            Lie::NotRun => audit.false_not_run.count,
            Lie::Double => audit.doubled.count,
            Lie::Invent => audit.never_run.count,
            Lie::Swap => report.wrong,
            Lie::Forget => audit.doubled.count.min(report.resends),
        };
        assert!(found > 0, "{lie:?}");
    }
}

/// Guards against lost answers that are not noticed, resent and audited.
#[test]
fn lost_answers_are_resent_and_their_double_runs_found() {
    for (name, body, loss) in [
        ("truncate", json!({ "count": 5 }), "lost/body"),
        (
            "reset",
            json!({ "count": 5, "at": "answer" }),
            "lost/connection",
        ),
    ] {
        let standin = standin();
        fault(&standin, name, &body);
        let mut plan = plan(plan::Mode::Straight, standin.address(), &standin);
        plan.mix.shares[0].reads = 0.0;
        let report = run(plan);
        assert_eq!(report.resends, 5, "{name}");
        assert_eq!(report.lost, 0, "{name}");
        let lost = report.first_attempts.get(loss).copied();
        assert!(lost.is_some_and(|lost| (1..=5).contains(&lost)), "{name}");
        // The stand-in does not know ids, so a resend after an execution runs again.
        assert!(report.frame.audit.as_ref().unwrap().doubled.count > 0);
        assert!(!report.is_clean());
    }
}

/// Guards against resends through the node that has just failed, also if it was named
/// as the owner.
#[test]
fn resends_go_through_another_node() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let standin = self::standin();
    let dead = self::standin();
    fault(
        &dead,
        "reset",
        &json!({ "count": 1_000_000, "at": "request" }),
    );
    let lie = Lie::Owner(dead.address());
    let live = node::start(&runtime, standin.address(), lie);
    let mut plan = plan(plan::Mode::Nodes, live, &standin);
    plan.targets.push(dead.address());
    plan.resends = 1;
    plan.follow_owner = true;
    let report = run(plan);
    assert!(report.is_clean());
    assert!(report.first_attempts["lost/connection"] > 0);
    assert_eq!(count(&report, "answered"), report.finished);
}

/// Guards against refusals counted as lost, or as runs.
#[test]
fn refusals_are_reported_with_their_reason() {
    let standin = standin();
    fault(&standin, "refuse", &json!({ "reason": "overload" }));
    let report = run(plan(plan::Mode::Straight, standin.address(), &standin));
    assert!(report.is_clean());
    assert_eq!(count(&report, "not-run/overload"), report.finished);
    assert_eq!(report.goodput, 0.0);
}

/// Guards against requests that end without any answer passing as success.
#[test]
fn unreachable_target_is_reported_as_lost() {
    let standin = standin();
    let mut plan = plan(plan::Mode::Straight, standin.address(), &standin);
    plan.resends = 0;
    fault(
        &standin,
        "reset",
        &json!({ "count": 1_000_000, "at": "request" }),
    );
    let report = run(plan);
    assert_eq!(report.lost, report.finished);
    assert!(!report.is_clean());
}

/// Guards against a replay that skips or changes requests of the trace.
#[test]
fn trace_is_replayed_whole() {
    let standin = standin();
    let mut file = tempfile::NamedTempFile::new().unwrap();
    for at in 0..50 {
        let line = json!({ "at_ms": at, "method": "POST", "service": "refunds",
            "key": format!("ü/{at}"), "scope": "mill-a", "body_bytes": at });
        writeln!(file, "{line}").unwrap();
    }
    let mut plan = plan(plan::Mode::Straight, standin.address(), &standin);
    plan.trace = Some(file.path().to_owned());
    let report = run(plan);
    assert!(report.is_clean());
    assert_eq!(count(&report, "answered"), 50);
}

/// Guards against a saturated tool whose figures look like the server's.
#[test]
fn full_tool_drops_arrivals_and_says_so() {
    let standin = standin();
    fault(&standin, "freeze", &json!({ "for_ms": 1_000 }));
    let mut plan = plan(plan::Mode::Straight, standin.address(), &standin);
    plan.max_in_flight = 10;
    let report = run(plan);
    assert!(report.is_saturated());
    assert_eq!(report.finished + report.frame.dropped, report.frame.offered);
    assert!(report.frame.dropped > 0);
}

/// Guards against a tool that opens more connections than a server takes, which would
/// show as lost answers.
#[test]
fn connections_of_the_tool_are_bounded() {
    let settings = standin::settings::Settings::new("a")
        .with_slots(1)
        .with_queue(0)
        .with_delay(Duration::from_millis(1), Duration::ZERO);
    let standin = standin::Standin::start(settings).unwrap();
    let mut plan = plan(plan::Mode::Straight, standin.address(), &standin);
    plan.connections = Some(1);
    let report = run(plan);
    assert!(report.is_clean());
    assert_eq!(count(&report, "answered"), report.finished);
}
