//! Tests that counts of executions are exact, since other tests check invariants with them.

use serde_json::json;

use sequoiayoke_emulator::standin::traffic::ledger;

use crate::support;
use crate::support::Server;

/// Guards against executions that are not counted, counted twice, or counted for another id
/// or key.
#[tokio::test(flavor = "multi_thread")]
async fn executions_are_counted_by_id_key_and_method() {
    let server = Server::start(support::settings());
    for (id, key, execution) in [("a", "k", 1), ("a", "k", 2), ("b", "l", 1)] {
        let request = server.post(&format!("/s/refunds/{key}"));
        let request = request.header("sequoiayoke-request-id", id);
        let response: serde_json::Value = request.send().await.unwrap().json().await.unwrap();
        assert_eq!(response["execution"], execution);
    }
    server.json("/s/refunds/k").await;
    let mut counted = server.executions().await;
    assert!(counted["instance"].is_string());
    counted["instance"] = json!("");
    insta::assert_json_snapshot!(counted);
}

/// Guards against a ledger that grows without limit, or that does not report dropped records.
#[test]
fn full_ledger_drops_the_oldest_and_reports_it() {
    let ledger = ledger::Ledger::new(2);
    for id in ["a", "b", "c"] {
        let execution = ledger::Execution {
            id: Some(id),
            method: "POST",
            service: "s",
            key: id,
        };
        assert_eq!(ledger.start(execution), 1);
        ledger.complete(execution);
    }
    let summary = ledger.summary();
    assert_eq!(summary.ids.keys().collect::<Vec<_>>(), ["b", "c"]);
    assert_eq!(summary.totals["POST"].completed, 3);
    assert_eq!(summary.dropped, 2, "one id and one key");
}
