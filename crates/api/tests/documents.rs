//! Documents other than tickets have the field names and statuses of `docs/protocol.md`.

#![allow(clippy::unwrap_used)]

use sequoiayoke_api::{accepted, check, error, explanation, list, status, ticket};
use serde_json::json;

/// Asserts that `document` is unchanged after it is parsed and serialized.
fn assert_round_trip<T>(document: serde_json::Value)
where
    T: serde::Serialize + serde::de::DeserializeOwned,
{
    let parsed: T = serde_json::from_value(document.clone()).unwrap();
    assert_eq!(serde_json::to_value(&parsed).unwrap(), document);
}

/// Guards against a field that is renamed on one side of the interface.
#[test]
fn documents_have_the_fields_of_the_protocol_page() {
    let rollout = json!({ "live": 5, "confirmed": 4, "complete": false });
    let object = json!({ "server": { "name": "a", "state": "draining" } });
    assert_round_trip::<accepted::Accepted>(json!({
        "number": 1, "status": "accepted", "version": 9, "repeated": true, "in_force": rollout
    }));
    assert_round_trip::<check::Check>(json!({ "next": 2, "problems": ["no such server"],
        "changes": [{ "object": "server a", "before": null, "after": object }] }));
    assert_round_trip::<list::List>(json!({ "next": 2, "tickets": [
        { "number": 1, "version": 9, "objects": [object], "in_force": rollout }] }));
    assert_round_trip::<status::Status>(json!({
        "region": "north", "leader": "control-1", "term": 3, "commit": 10, "version": 10,
        "next_ticket": 2,
        "replicas": [{ "name": "control-1", "address": "127.0.0.1:1", "voting": true, "matched": 10 }],
        "servers": [{ "name": "a", "services": ["s"], "incarnation": 7, "state": "serving",
            "failure_domain": "hall-a", "lease_left_ms": 650, "version": 10, "slices": 4 }],
        "services": [{ "name": "s", "slices": 16, "vacant": 0, "imbalance": 1.25 }]
    }));
    let explanation = |holder| {
        json!({
            "service": "s", "key": "k", "hash": "2a", "first": "0", "last": "ff", "holder": holder,
            "history": [{ "version": 8, "cause": "assigned to a: lease of b expired" }]
        })
    };
    assert_round_trip::<explanation::Explanation>(explanation(json!(null)));
    assert_round_trip::<explanation::Explanation>(explanation(
        json!({ "server": "a", "incarnation": 7, "epoch": 8 }),
    ));
}

/// Guards against errors whose name or status differs from the protocol page.
#[test]
fn errors_have_the_names_and_statuses_of_the_protocol_page() {
    let ticket =
        json!({ "number": 1, "objects": [{ "server": { "name": "a", "state": "serving" } }] });
    let errors = [
        (400, json!({ "error": "malformed", "detail": "1:2: x" })),
        (404, json!({ "error": "not-found", "detail": "ticket 9" })),
        (
            409,
            json!({ "error": "number-taken", "number": 1, "holder": ticket }),
        ),
        (409, json!({ "error": "number-out-of-order", "next": 2 })),
        (421, json!({ "error": "not-leader", "leader": null })),
        (
            421,
            json!({ "error": "not-leader", "leader": "127.0.0.1:1" }),
        ),
        (504, json!({ "error": "unknown", "detail": "no majority" })),
    ];
    for (status, document) in errors {
        let error: error::Error = serde_json::from_value(document.clone()).unwrap();
        assert_eq!(error.status(), status, "{error}");
        assert_round_trip::<error::Error>(document);
    }
}

/// Guards against an older command line that rejects the responses of a newer control plane.
#[test]
fn responses_may_have_unknown_fields() {
    let response = json!({ "next": 2, "tickets": [], "since": 1 });
    assert!(serde_json::from_value::<list::List>(response).is_ok());
    let ticket = br#"{ "number": 1, "objects": [], "since": 1 }"#;
    assert!(ticket::parse(ticket).is_err());
}
