//! Complete runs against stand-ins, directly and through nodes that misbehave.

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
use crate::node::Misbehaviour;

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
    let response = runtime.block_on(http.post(url).json(body).send()).unwrap();
    assert_eq!(response.status(), 200);
}

fn count(report: &report::Report, label: &str) -> u64 {
    let counts = report.outcomes.values().filter_map(|kind| kind.get(label));
    counts.sum()
}

/// Guards against requests that are missing in the report, and against faults that are
/// reported although there are none.
#[test]
fn clean_direct_run_accounts_for_every_request() {
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

/// Guards against trusting the outcome that a node reports: each kind of misbehaviour is
/// detected by the checks of responses or by the audit.
#[test]
fn misbehaviour_of_a_node_is_detected() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    for misbehaviour in [
        Misbehaviour::None,
        Misbehaviour::DenyRun,
        Misbehaviour::RunTwice,
        Misbehaviour::Fabricate,
        Misbehaviour::SwapResponses,
        Misbehaviour::Rerun,
    ] {
        let standin = standin();
        let node = node::start(&runtime, standin.address(), misbehaviour);
        let report = run(plan(plan::Mode::Nodes, node, &standin));
        let audit = report.frame.audit.clone().unwrap();
        assert_eq!(
            report.is_clean(),
            misbehaviour == Misbehaviour::None,
            "{misbehaviour:?}"
        );
        let detected = match misbehaviour {
            Misbehaviour::None | Misbehaviour::NameOwner(_) => audit.ids,
            Misbehaviour::DenyRun => audit.false_not_run.count,
            Misbehaviour::RunTwice => audit.doubled.count,
            Misbehaviour::Fabricate => audit.never_run.count,
            Misbehaviour::SwapResponses => report.wrong,
            Misbehaviour::Rerun => audit.doubled.count.min(report.resends),
        };
        assert!(detected > 0, "{misbehaviour:?}");
    }
}

/// Guards against lost responses that are not detected or not retried, and against retries
/// whose repeated execution the audit misses.
#[test]
fn lost_responses_are_retried_and_repeated_executions_found() {
    for (name, body, lost_label) in [
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
        let lost = report.first_attempts.get(lost_label).copied();
        assert!(lost.is_some_and(|lost| (1..=5).contains(&lost)), "{name}");
        // The stand-in does not deduplicate ids, so a retry after an execution runs again.
        assert!(report.frame.audit.as_ref().unwrap().doubled.count > 0);
        assert!(!report.is_clean());
    }
}

/// Guards against retries through the node that has just failed, also if the last response
/// named it as the owner.
#[test]
fn retries_go_through_another_node() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let standin = self::standin();
    let failing = self::standin();
    fault(
        &failing,
        "reset",
        &json!({ "count": 1_000_000, "at": "request" }),
    );
    let misbehaviour = Misbehaviour::NameOwner(failing.address());
    let healthy_node = node::start(&runtime, standin.address(), misbehaviour);
    let mut plan = plan(plan::Mode::Nodes, healthy_node, &standin);
    plan.targets.push(failing.address());
    plan.max_retries = 1;
    plan.follow_owner = true;
    let report = run(plan);
    assert!(report.is_clean());
    assert!(report.first_attempts["lost/connection"] > 0);
    assert_eq!(count(&report, "answered"), report.finished);
}

/// Guards against refusals that are counted as lost responses or as executions.
#[test]
fn refusals_are_reported_with_their_reason() {
    let standin = standin();
    fault(&standin, "refuse", &json!({ "reason": "overload" }));
    let report = run(plan(plan::Mode::Straight, standin.address(), &standin));
    assert!(report.is_clean());
    assert_eq!(count(&report, "not-run/overload"), report.finished);
    assert_eq!(report.goodput, 0.0);
}

/// Guards against requests that finish without any response but count as successful.
#[test]
fn requests_without_response_are_reported_as_lost() {
    let standin = standin();
    let mut plan = plan(plan::Mode::Straight, standin.address(), &standin);
    plan.max_retries = 0;
    fault(
        &standin,
        "reset",
        &json!({ "count": 1_000_000, "at": "request" }),
    );
    let report = run(plan);
    assert_eq!(report.lost, report.finished);
    assert!(!report.is_clean());
}

/// Guards against a replay that omits or changes requests of the trace.
#[test]
fn trace_is_replayed_completely() {
    let standin = standin();
    let mut file = tempfile::NamedTempFile::new().unwrap();
    for at_ms in 0..50 {
        let line = json!({ "at_ms": at_ms, "method": "POST", "service": "refunds",
            "key": format!("ü/{at_ms}"), "scope": "mill-a", "body_bytes": at_ms });
        writeln!(file, "{line}").unwrap();
    }
    let mut plan = plan(plan::Mode::Straight, standin.address(), &standin);
    plan.trace = Some(file.path().to_owned());
    let report = run(plan);
    assert!(report.is_clean());
    assert_eq!(count(&report, "answered"), 50);
}

/// Guards against a saturated tool whose own delays are reported as those of the server.
#[test]
fn arrivals_above_the_limit_are_dropped_and_reported() {
    let standin = standin();
    fault(&standin, "freeze", &json!({ "for_ms": 1_000 }));
    let mut plan = plan(plan::Mode::Straight, standin.address(), &standin);
    plan.max_in_flight = 10;
    let report = run(plan);
    assert!(report.is_saturated());
    assert_eq!(report.finished + report.frame.dropped, report.frame.offered);
    assert!(report.frame.dropped > 0);
}

/// Guards against more connections than a server accepts, which would be reported as lost
/// responses.
#[test]
fn connections_of_the_tool_are_limited() {
    let settings = standin::settings::Settings::new("a")
        .with_slots(1)
        .with_queue(0)
        .with_delay(Duration::from_millis(1), Duration::ZERO);
    let standin = standin::Standin::start(settings).unwrap();
    let mut plan = plan(plan::Mode::Straight, standin.address(), &standin);
    plan.connections = Some(1);
    let report = run(plan);
    assert!(report.is_clean());
    let answered = count(&report, "answered");
    assert_eq!(answered, report.finished, "{:?}", report.outcomes);
}
