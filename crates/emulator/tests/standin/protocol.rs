//! Tests that the stand-in implements the protocol exactly, since the tests of the router
//! depend on it.

use std::time::Duration;

use serde_json::json;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

use crate::support;
use crate::support::Server;

/// Guards against an announcement that lacks a field or is not repeated.
#[tokio::test(flavor = "multi_thread")]
async fn announces_itself_repeatedly() {
    let (address, mut announcements) = support::start_node().await;
    let mut settings = support::settings().with_node(address).with_fencing();
    settings.announce_interval = Duration::from_millis(10);
    let server = Server::start(settings);
    let first = announcements.recv().await.unwrap();
    let second = announcements.recv().await.unwrap();
    assert_eq!(first, second);
    let instance = first["instance"].as_str().unwrap();
    assert_eq!(
        first,
        json!({ "name": "ank-refunds-1", "instance": instance, "services": ["refunds"],
            "address": server.standin.address().to_string(), "slots": 12, "connections": 130,
            "checks_fencing": true, "checks_sender": false })
    );
}

/// Guards against a stopped server that continues to accept connections.
#[tokio::test(flavor = "multi_thread")]
async fn stopped_server_closes_its_listener() {
    let server = Server::start(support::settings());
    let address = server.standin.address();
    server.standin.stop();
    assert!(tokio::net::TcpStream::connect(address).await.is_err());
}

/// Guards against a response that does not identify the request that it belongs to.
#[tokio::test(flavor = "multi_thread")]
async fn response_echoes_the_request() {
    let server = Server::start(support::settings());
    let request = server
        .post("/s/refunds/kiosk%2017%2Fa/photo?x=1")
        .header("sequoiayoke-request-id", "4-1-0000000000000002")
        .header("sequoiayoke-scope", "mill-a")
        .header("sequoiayoke-epoch", "4")
        .body("hello");
    let response: serde_json::Value = request.send().await.unwrap().json().await.unwrap();
    let digest = "9555e8555c62dcfd";
    assert_eq!(
        response,
        json!({ "server": "ank-refunds-1", "service": "refunds", "key": "kiosk 17/a",
            "scope": "mill-a", "epoch": 4, "request_id": "4-1-0000000000000002", "execution": 1,
            "body_bytes": 5, "digest": digest,
            "value": { "version": 1, "request_id": "4-1-0000000000000002", "digest": digest } })
    );
}

/// Guards against a value that is shared by two keys, scopes or services.
#[tokio::test(flavor = "multi_thread")]
async fn each_key_has_its_own_value() {
    let server = Server::start(support::settings());
    for version in 1..=2 {
        let response = server.post("/s/refunds/a").send().await.unwrap();
        let response: serde_json::Value = response.json().await.unwrap();
        assert_eq!(response["value"]["version"], version);
    }
    assert_eq!(server.json("/s/refunds/a").await["value"]["version"], 2);
    assert_eq!(server.json("/s/refunds/b").await["value"]["version"], 0);
    assert_eq!(server.json("/s/parts/a").await["value"]["version"], 0);
    let scoped = server.get("/s/refunds/a").header("sequoiayoke-scope", "m");
    let scoped: serde_json::Value = scoped.send().await.unwrap().json().await.unwrap();
    assert_eq!(scoped["value"]["version"], 0);
}

/// Guards against a server that checks the sender but accepts commands without the token.
#[tokio::test(flavor = "multi_thread")]
async fn commands_need_the_token_if_the_sender_is_checked() {
    let server = Server::start(support::settings().with_token("secret"));
    for token in ["", "wrong"] {
        let request = server.post("/v1/drain").header("sequoiayoke-sender", token);
        assert_eq!(support::status_and_refusal(request).await.0, 403);
    }
    let request = server.post("/s/refunds/a");
    assert_eq!(support::status_and_refusal(request).await.0, 200);
    let request = server
        .post("/v1/drain")
        .header("sequoiayoke-sender", "secret");
    assert_eq!(support::status_and_refusal(request).await.0, 200);
    let refused = support::status_and_refusal(server.post("/s/refunds/a")).await;
    assert_eq!(refused, (409, "draining".into()));
}

/// Guards against malformed commands that are applied or reported as successful.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_commands_are_refused() {
    let server = Server::start(support::settings());
    let bodies = [
        ("/v1/grant", json!({})),
        (
            "/v1/grant",
            json!({ "service": "s", "first": "0", "last": "f", "epoch": 1, "lease_until_us": 1 }),
        ),
        (
            "/v1/revoke",
            json!({ "service": "s", "first": "+000000000000000", "last": "ffffffffffffffff", "epoch": 1 }),
        ),
        (
            "/v1/prepare",
            json!({ "service": "s", "first": "ffffffffffffffff", "last": "0000000000000000" }),
        ),
        ("/v1/unknown", json!({})),
        ("/fault/v1/unknown", json!({})),
        ("/fault/v1/freeze", json!({ "for_ms": "long" })),
        ("/s//", json!({})),
        ("/s/refunds/%+f", json!({})),
    ];
    for (path, body) in bodies {
        let response = server.post(path).json(&body).send().await.unwrap();
        assert_eq!(response.status(), 400, "{path} {body}");
    }
}

/// Guards against unlimited work: requests that exceed the slots and the queue are refused
/// and do not run.
#[tokio::test(flavor = "multi_thread")]
async fn full_slots_and_queue_refuse_as_overload() {
    let settings = support::settings().with_slots(1).with_queue(1);
    let server = Server::start(settings.with_delay(support::LONG_DELAY, Duration::ZERO));
    let running = server.start_post("a");
    server.wait_for_load("running", 1).await;
    let queued = server.start_post("b");
    server.wait_for_load("queued", 1).await;
    // The long deadline ensures that the full queue is the reason of the refusal.
    let third = server.post("/s/refunds/a");
    let third = third.header("sequoiayoke-deadline-ms", "60000");
    assert_eq!(
        support::status_and_refusal(third).await,
        (409, "overload".into())
    );
    assert_eq!(server.executions().await["totals"]["POST"]["started"], 1);
    queued.abort();
    server.wait_for_load("queued", 0).await;
    running.abort();
    server.wait_for_load("running", 0).await;
}

/// Guards against a cancelled request that keeps its slot or completes.
#[tokio::test(flavor = "multi_thread")]
async fn closed_connection_cancels_the_request() {
    let server = Server::start(support::settings().with_delay(support::LONG_DELAY, Duration::ZERO));
    let request = server.start_post("a");
    server.wait_for_load("running", 1).await;
    request.abort();
    server.wait_for_load("running", 0).await;
    let record = &server.executions().await["ids"]["a"];
    assert_eq!(
        (&record["started"], &record["completed"]),
        (&json!(1), &json!(0))
    );
}

/// Guards against running and waiting requests that continue after their deadline.
#[tokio::test(flavor = "multi_thread")]
async fn deadline_ends_the_request() {
    let settings = support::settings().with_slots(1);
    let server = Server::start(settings.with_delay(support::LONG_DELAY, Duration::ZERO));
    let post_with_short_deadline = || {
        let request = server.post("/s/refunds/a");
        request.header("sequoiayoke-deadline-ms", "20")
    };
    assert_eq!(
        support::status_and_refusal(post_with_short_deadline()).await,
        (504, String::new())
    );
    let running = server.start_post("a");
    server.wait_for_load("running", 1).await;
    assert_eq!(
        support::status_and_refusal(post_with_short_deadline()).await,
        (409, "overload".into())
    );
    let totals = &server.executions().await["totals"]["POST"];
    assert_eq!(totals, &json!({ "started": 2, "completed": 0 }));
    running.abort();
}

/// Guards against a truncated upload that is processed as a complete one.
#[tokio::test(flavor = "multi_thread")]
async fn interrupted_upload_does_not_complete() {
    let server = Server::start(support::settings());
    let mut socket = tokio::net::TcpStream::connect(server.standin.address())
        .await
        .unwrap();
    let head = "POST /s/refunds/a HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\nhalf";
    socket.write_all(head.as_bytes()).await.unwrap();
    server.wait_for_load("running", 1).await;
    drop(socket);
    server.wait_for_load("running", 0).await;
    let totals = &server.executions().await["totals"]["POST"];
    assert_eq!(totals, &json!({ "started": 1, "completed": 0 }));
}

/// Guards against an upload larger than all socket buffers that stalls or is miscounted.
#[tokio::test(flavor = "multi_thread")]
async fn all_bytes_of_a_large_upload_are_counted() {
    let server = Server::start(support::settings());
    let mut socket = tokio::net::TcpStream::connect(server.standin.address())
        .await
        .unwrap();
    let (chunk_count, chunk) = (256, vec![7; 256 * 1024]);
    let length = chunk_count * chunk.len();
    let head = format!(
        "PUT /s/refunds/a HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n"
    );
    socket.write_all(head.as_bytes()).await.unwrap();
    for _ in 0..chunk_count {
        socket.write_all(&chunk).await.unwrap();
    }
    let mut response = String::new();
    socket.read_to_string(&mut response).await.unwrap();
    assert!(
        response.contains(&format!("\"body_bytes\":{length}")),
        "{response}"
    );
}

/// Guards against keys that stay warm after their range was revoked, or never become warm.
#[tokio::test(flavor = "multi_thread")]
async fn first_access_of_a_key_is_slow_unless_prepared() {
    let settings = support::settings().with_delay(Duration::ZERO, support::LONG_DELAY);
    let server = Server::start(settings);
    let full_range = ("0000000000000000", "ffffffffffffffff");
    let post = || {
        let request = server.post("/s/refunds/a").header("sequoiayoke-epoch", "4");
        support::status_and_refusal(request.header("sequoiayoke-deadline-ms", "50"))
    };
    assert_eq!(post().await.0, 504, "the key is cold");
    let body = json!({ "service": "refunds", "first": full_range.0, "last": full_range.1 });
    server.command("/v1/prepare", body).await;
    assert_eq!(post().await.0, 200, "the range is prepared");
    server.revoke(full_range, 4).await;
    assert_eq!(post().await.0, 504, "the range was revoked");
}

/// Guards against an answer or a refusal without the number by which a node matches it with its
/// request.
#[tokio::test(flavor = "multi_thread")]
async fn answers_and_refusals_repeat_the_number_of_the_exchange() {
    let server = Server::start(support::settings());
    let exchange = async |number: &'static str| {
        let request = server.post("/s/refunds/kiosk-17");
        let request = request.header("sequoiayoke-exchange", number);
        let response = request.send().await.unwrap();
        assert_eq!(response.headers()["sequoiayoke-exchange"], number);
        response.status().as_u16()
    };
    assert_eq!(exchange("17").await, 200);
    let refusal = json!({ "reason": "overload" });
    server.fault("refuse", refusal).await;
    assert_eq!(exchange("18").await, 409);
}
