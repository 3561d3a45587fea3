//! Tests that a server with fencing refuses requests that it does not own without running
//! them.

use std::time::Duration;

use crate::support;
use crate::support::Server;

const FULL_RANGE: (&str, &str) = ("0000000000000000", "ffffffffffffffff");
const LOW_HASH: &str = "0000000000000010";
const HIGH_HASH: &str = "f000000000000000";

fn refused() -> (u16, String) {
    (409, "fencing".into())
}

fn executed() -> (u16, String) {
    (200, String::new())
}

/// Guards against requests that run without a grant, or with an epoch that has ended.
#[tokio::test(flavor = "multi_thread")]
async fn epochs_and_ranges_are_checked() {
    let server = Server::start(support::settings().with_fencing());
    let lease_until_us = support::lease_end(support::LONG_DELAY);
    assert_eq!(
        server.post_fenced(LOW_HASH, 5, lease_until_us).await,
        refused(),
        "not granted"
    );
    server.grant(FULL_RANGE, 5).await;
    assert_eq!(
        server.post_fenced(LOW_HASH, 5, lease_until_us).await,
        executed()
    );
    assert_eq!(
        server.post_fenced(LOW_HASH, 4, lease_until_us).await,
        refused(),
        "old epoch"
    );
    server
        .grant(("0000000000000000", "00000000000000ff"), 9)
        .await;
    assert_eq!(
        server.post_fenced(LOW_HASH, 5, lease_until_us).await,
        refused(),
        "newer grant"
    );
    assert_eq!(
        server.post_fenced(HIGH_HASH, 5, lease_until_us).await,
        executed(),
        "other range"
    );
    server.revoke(FULL_RANGE, 9).await;
    assert_eq!(
        server.post_fenced(LOW_HASH, 9, lease_until_us).await,
        refused(),
        "revoked"
    );
    assert_eq!(
        server.post_fenced(HIGH_HASH, 9, lease_until_us).await,
        refused(),
        "revoked"
    );
    let without_epoch = server.post("/s/refunds/a");
    assert_eq!(
        support::status_and_refusal(without_epoch).await,
        refused(),
        "no epoch"
    );
    assert_eq!(server.executions().await["totals"]["POST"]["started"], 2);
}

/// Guards against a request that starts after its lease has expired, also when the server
/// was frozen between its arrival and its start.
#[tokio::test(flavor = "multi_thread")]
async fn lease_is_checked_when_the_request_starts() {
    let server = Server::start(support::settings().with_fencing());
    server.grant(FULL_RANGE, 5).await;
    let expired = support::lease_end(Duration::ZERO);
    assert_eq!(server.post_fenced(LOW_HASH, 5, expired).await, refused());
    server
        .fault("freeze", serde_json::json!({ "for_ms": 200 }))
        .await;
    let lease_until_us = support::lease_end(Duration::from_millis(50));
    assert_eq!(
        server.post_fenced(LOW_HASH, 5, lease_until_us).await,
        refused()
    );
    assert_eq!(server.executions().await["totals"], serde_json::json!({}));
}

/// Guards against fencing by a server that does not support it or is told to ignore it.
#[tokio::test(flavor = "multi_thread")]
async fn disabled_and_ignored_fencing_runs_everything() {
    let server = Server::start(support::settings());
    assert_eq!(server.post_fenced(LOW_HASH, 1, 1).await, executed());
    let server = Server::start(support::settings().with_fencing());
    server
        .fault("ignore-fencing", serde_json::json!({ "on": true }))
        .await;
    assert_eq!(server.post_fenced(LOW_HASH, 1, 1).await, executed());
    server.fault("clear", serde_json::json!({})).await;
    assert_eq!(server.post_fenced(LOW_HASH, 1, 1).await, refused());
}
