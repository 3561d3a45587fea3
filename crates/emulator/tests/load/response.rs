//! Tests that a response to another request never passes the checks, and of the audit.

use std::collections;

use serde_json::Value;
use serde_json::json;

use sequoiayoke_emulator::load::audit;
use sequoiayoke_emulator::load::plan;
use sequoiayoke_emulator::load::response;
use sequoiayoke_emulator::load::response::Outcome;
use sequoiayoke_emulator::load::tally;
use sequoiayoke_emulator::standin;
use sequoiayoke_emulator::standin::settings;

const EXPECTED: response::Expected<'static> = response::Expected {
    mode: plan::Mode::Nodes,
    service: "refunds",
    key: "k",
    scope: Some("m"),
    id: Some("1-2-3"),
    body_bytes: 5,
    digest: "d",
    writes: true,
    has_body: true,
};

fn echo() -> Value {
    json!({ "server": "a", "service": "refunds", "key": "k", "scope": "m", "epoch": 1,
        "request_id": "1-2-3", "execution": 1, "body_bytes": 5, "digest": "d",
        "value": { "version": 1, "request_id": "1-2-3", "digest": "d" } })
}

fn evaluate(status: u16, headers: &[(&'static str, &str)], body: &str) -> response::Evaluation {
    let mut map = http::HeaderMap::new();
    for (name, value) in headers {
        map.insert(*name, value.parse().unwrap());
    }
    let response = response::Response {
        status,
        headers: &map,
        body: body.as_bytes(),
    };
    response::evaluate(&EXPECTED, &response)
}

/// Guards against responses that belong to another request: a difference in any field of
/// the echoed request is detected.
#[test]
fn every_differing_field_is_wrong() {
    let answered = [("sequoiayoke-outcome", "answered")];
    let evaluation = evaluate(200, &answered, &echo().to_string());
    assert_eq!(evaluation.outcome, Outcome::Answered(200));
    assert_eq!(evaluation.violation, None);

    let mut violations = Vec::new();
    for (field, value) in [
        ("/service", json!("parts")),
        ("/key", json!("l")),
        ("/scope", json!("n")),
        ("/request_id", json!("9-9-9")),
        ("/request_id", json!(null)),
        ("/digest", json!("e")),
        ("/body_bytes", json!(4)),
        ("/value/version", json!(0)),
        ("/value/request_id", json!("9-9-9")),
    ] {
        let mut echo = echo();
        *echo.pointer_mut(field).unwrap() = value;
        let evaluation = evaluate(200, &answered, &echo.to_string());
        violations.push(evaluation.violation.expect(field));
    }
    let complete_body = echo().to_string();
    let truncated = evaluate(200, &answered, &complete_body[..complete_body.len() / 2]);
    violations.push(truncated.violation.expect("a truncated body"));
    for (name, value) in [
        ("sequoiayoke-request-id", "9-9-9"),
        ("sequoiayoke-server", "b"),
    ] {
        let evaluation = evaluate(200, &[answered[0], (name, value)], &complete_body);
        violations.push(evaluation.violation.expect(name));
    }
    insta::assert_snapshot!(violations.join("\n"));
}

/// Guards against misread outcomes, and against outcomes or reasons outside the protocol
/// that pass as valid.
#[test]
fn outcomes_and_reasons_outside_the_protocol_are_wrong() {
    let cases = [
        (200, "answered", "", "answered", false),
        (404, "answered", "", "answered/404", false),
        (503, "not-run", "vacant", "not-run/vacant", false),
        (
            504,
            "unknown",
            "connection-lost",
            "unknown/connection-lost",
            false,
        ),
        (503, "not-run", "tired", "not-run/tired", true),
        (503, "unknown", "", "unknown/", true),
        (500, "maybe", "", "lost/no-outcome", true),
    ];
    for (status, outcome, reason, label, violation) in cases {
        let headers = [
            ("sequoiayoke-outcome", outcome),
            ("sequoiayoke-reason", reason),
        ];
        let evaluation = evaluate(status, &headers, &echo().to_string());
        assert_eq!(evaluation.outcome.to_string(), label);
        assert_eq!(evaluation.violation.is_some(), violation, "{label}");
    }
}

/// Guards against an audit that misses a repeated execution, an execution that was reported
/// as not run, or an answered request that never ran.
#[test]
fn audit_finds_each_kind_of_fault() {
    let statuses: collections::HashMap<_, _> = [
        ("answered once", tally::Status::Answered),
        ("answered twice run", tally::Status::Answered),
        ("answered never run", tally::Status::Answered),
        ("denied never run", tally::Status::NotRun),
        ("denied but run", tally::Status::NotRun),
        ("open once", tally::Status::Unknown),
        ("open never", tally::Status::Unknown),
    ]
    .map(|(id, status)| (id.to_owned(), status))
    .into();
    let started: audit::Counts = [
        ("answered once", 1),
        ("answered twice run", 2),
        ("denied but run", 1),
        ("open once", 1),
        ("of another run", 5),
    ]
    .map(|(id, executions)| (id.to_owned(), executions))
    .into();
    let result = audit::Result::new(&statuses, &started, Vec::new());
    assert!(!result.is_clean());
    assert_eq!(result.doubled.examples, ["answered twice run"]);
    assert_eq!(result.false_not_run.examples, ["denied but run"]);
    assert_eq!(result.never_run.examples, ["answered never run"]);
    // With incomplete counts, an id without executions may still have been executed.
    let gaps = vec!["a stand-in was restarted".to_owned()];
    let result = audit::Result::new(&statuses, &started, gaps);
    assert_eq!(result.never_run.count, 0);
    assert_eq!(result.doubled.count, 1);
}

/// Guards against an audit with incomplete counts that passes as clean.
#[test]
fn audit_with_gaps_is_not_clean() {
    let statuses = [("answered".to_owned(), tally::Status::Answered)].into();
    let gaps = vec!["a stand-in was restarted".to_owned()];
    let result = audit::Result::new(&statuses, &audit::Counts::new(), gaps);
    assert_eq!(result.never_run.count, 0);
    assert!(!result.is_clean());
}

/// Guards against a stand-in that did not answer at the start of an audit and is reported as
/// restarted.
#[tokio::test(flavor = "multi_thread")]
async fn standin_that_is_silent_at_the_start_is_named() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let audit = audit::Audit::start(&[address]).await;
    let mut settings = settings::Settings::new("a");
    settings.listen = address;
    let standin = standin::Standin::start(settings).unwrap();
    let result = audit.finish(&collections::HashMap::new()).await;
    let expected = format!("{address} did not answer at the start");
    assert_eq!(result.unwrap().gaps, [expected]);
    standin.stop();
}
