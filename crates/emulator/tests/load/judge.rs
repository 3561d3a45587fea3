//! An answer that is not the request's own must never pass.

use std::collections;

use serde_json::Value;
use serde_json::json;

use sequoiayoke_emulator::load::audit;
use sequoiayoke_emulator::load::judge;
use sequoiayoke_emulator::load::judge::Verdict;
use sequoiayoke_emulator::load::plan;
use sequoiayoke_emulator::load::tally;

const EXPECTED: judge::Expected<'static> = judge::Expected {
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

fn judge(status: u16, headers: &[(&'static str, &str)], body: &str) -> judge::Judgement {
    let mut map = http::HeaderMap::new();
    for (name, value) in headers {
        map.insert(*name, value.parse().unwrap());
    }
    let answer = judge::Answer {
        status,
        headers: &map,
        body: body.as_bytes(),
    };
    judge::judge(&EXPECTED, &answer)
}

/// Guards against mixed answers: each field of the echo that differs is found.
#[test]
fn every_differing_field_is_wrong() {
    let answered = [("sequoiayoke-outcome", "answered")];
    let judgement = judge(200, &answered, &echo().to_string());
    assert_eq!(judgement.verdict, Verdict::Answered(200));
    assert_eq!(judgement.wrong, None);

    let mut found = Vec::new();
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
        let judgement = judge(200, &answered, &echo.to_string());
        found.push(judgement.wrong.expect(field));
    }
    let whole = echo().to_string();
    let half = judge(200, &answered, &whole[..whole.len() / 2]);
    found.push(half.wrong.expect("a half body"));
    for (name, value) in [
        ("sequoiayoke-request-id", "9-9-9"),
        ("sequoiayoke-server", "b"),
    ] {
        let judgement = judge(200, &[answered[0], (name, value)], &whole);
        found.push(judgement.wrong.expect(name));
    }
    insta::assert_snapshot!(found.join("\n"));
}

/// Guards against outcomes outside the protocol, and against those misread.
#[test]
fn outcomes_are_read_strictly() {
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
    for (status, outcome, reason, label, wrong) in cases {
        let headers = [
            ("sequoiayoke-outcome", outcome),
            ("sequoiayoke-reason", reason),
        ];
        let judgement = judge(status, &headers, &echo().to_string());
        assert_eq!(judgement.verdict.to_string(), label);
        assert_eq!(judgement.wrong.is_some(), wrong, "{label}");
    }
}

/// Guards against an audit that overlooks a doubled or a falsely denied run.
#[test]
fn audit_finds_each_kind_of_fault() {
    let fates: collections::HashMap<_, _> = [
        ("answered once", tally::Fate::Answered),
        ("answered twice run", tally::Fate::Answered),
        ("answered never run", tally::Fate::Answered),
        ("denied never run", tally::Fate::NotRun),
        ("denied but run", tally::Fate::NotRun),
        ("open once", tally::Fate::Open),
        ("open never", tally::Fate::Open),
    ]
    .map(|(id, fate)| (id.to_owned(), fate))
    .into();
    let started: audit::Counts = [
        ("answered once", 1),
        ("answered twice run", 2),
        ("denied but run", 1),
        ("open once", 1),
        ("of another run", 5),
    ]
    .map(|(id, runs)| (id.to_owned(), runs))
    .into();
    let result = audit::Result::new(&fates, &started, Vec::new());
    assert!(!result.is_clean());
    assert_eq!(result.doubled.examples, ["answered twice run"]);
    assert_eq!(result.false_not_run.examples, ["denied but run"]);
    assert_eq!(result.never_run.examples, ["answered never run"]);
    // Lost counts must not be taken for requests that never ran.
    let gaps = vec!["a stand-in was restarted".to_owned()];
    let result = audit::Result::new(&fates, &started, gaps);
    assert_eq!(result.never_run.count, 0);
    assert_eq!(result.doubled.count, 1);
}
