//! A server that checks fencing must refuse what it does not own, unrun.

use std::time::Duration;

use crate::support;
use crate::support::Server;

const ALL: (&str, &str) = ("0000000000000000", "ffffffffffffffff");
const LOW: &str = "0000000000000010";
const HIGH: &str = "f000000000000000";

fn refused() -> (u16, String) {
    (409, "fencing".into())
}

fn ran() -> (u16, String) {
    (200, String::new())
}

/// Guards against requests that run without a grant, or under an epoch that is over.
#[tokio::test(flavor = "multi_thread")]
async fn epochs_and_ranges_are_checked() {
    let server = Server::start(support::settings().with_fencing());
    let until = support::lease(support::LONG);
    assert_eq!(server.fenced(LOW, 5, until).await, refused(), "not granted");
    server.grant(ALL, 5).await;
    assert_eq!(server.fenced(LOW, 5, until).await, ran());
    assert_eq!(server.fenced(LOW, 4, until).await, refused(), "old epoch");
    server
        .grant(("0000000000000000", "00000000000000ff"), 9)
        .await;
    assert_eq!(server.fenced(LOW, 5, until).await, refused(), "newer grant");
    assert_eq!(server.fenced(HIGH, 5, until).await, ran(), "other range");
    server.revoke(ALL, 9).await;
    assert_eq!(server.fenced(LOW, 9, until).await, refused(), "revoked");
    assert_eq!(server.fenced(HIGH, 9, until).await, refused(), "revoked");
    let headless = server.post("/s/refunds/a");
    assert_eq!(support::refusal(headless).await, refused(), "no epoch");
    assert_eq!(server.executions().await["totals"]["POST"]["started"], 2);
}

/// Guards against a request that starts after its lease, also when the server was
/// paused between arrival and start.
#[tokio::test(flavor = "multi_thread")]
async fn lease_is_checked_when_the_request_starts() {
    let server = Server::start(support::settings().with_fencing());
    server.grant(ALL, 5).await;
    let past = support::lease(Duration::ZERO);
    assert_eq!(server.fenced(LOW, 5, past).await, refused());
    server
        .fault("freeze", serde_json::json!({ "for_ms": 200 }))
        .await;
    let until = support::lease(Duration::from_millis(50));
    assert_eq!(server.fenced(LOW, 5, until).await, refused());
    assert_eq!(server.executions().await["totals"], serde_json::json!({}));
}

/// Guards against emulators that always check: some servers must not.
#[tokio::test(flavor = "multi_thread")]
async fn unchecked_and_ignored_fencing_runs_everything() {
    let server = Server::start(support::settings());
    assert_eq!(server.fenced(LOW, 1, 1).await, ran());
    let server = Server::start(support::settings().with_fencing());
    server
        .fault("ignore-fencing", serde_json::json!({ "on": true }))
        .await;
    assert_eq!(server.fenced(LOW, 1, 1).await, ran());
    server.fault("clear", serde_json::json!({})).await;
    assert_eq!(server.fenced(LOW, 1, 1).await, refused());
}
