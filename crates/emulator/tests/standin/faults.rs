//! Tests that each fault command has its effect, and no other.

use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

use crate::support;
use crate::support::Server;

/// Sends a GET request on a new connection and returns all bytes of the response.
async fn get_raw(server: &Server) -> std::io::Result<String> {
    let mut socket = tokio::net::TcpStream::connect(server.standin.address()).await?;
    let head = "GET /s/refunds/a HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    socket.write_all(head.as_bytes()).await?;
    let mut response = Vec::new();
    socket.read_to_end(&mut response).await?;
    Ok(String::from_utf8(response).unwrap())
}

/// Returns the number of started executions of GET requests.
async fn started_gets(server: &Server) -> u64 {
    let executions = server.executions().await;
    executions["totals"]["GET"]["started"].as_u64().unwrap_or(0)
}

/// Guards against a frozen server that still responds to its node or starts requests.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_server_answers_nothing_until_thawed() {
    let server = Server::start(support::settings());
    server.fault("freeze", json!({ "for_ms": 60_000 })).await;
    let request = server.start_post("a");
    let health = server.get("/v1/health").timeout(Duration::from_millis(100));
    assert!(health.send().await.unwrap_err().is_timeout());
    assert_eq!(server.executions().await["totals"], json!({}));
    server.fault("freeze", json!({ "for_ms": 0 })).await;
    assert_eq!(request.await.unwrap().unwrap(), 200);
}

/// Guards against a freeze that loses a running request, or that lets a request complete
/// because it had passed its checks before.
#[tokio::test(flavor = "multi_thread")]
async fn request_in_flight_continues_after_a_freeze() {
    let server = Server::start(support::settings());
    let (mut body, chunks) = tokio::io::duplex(16);
    let chunks = tokio_util::io::ReaderStream::new(chunks);
    let request = server.post("/s/refunds/a");
    let request = request.body(reqwest::Body::wrap_stream(chunks));
    let mut request = tokio::spawn(request.send());
    server.wait_for_load("running", 1).await;
    server.fault("freeze", json!({ "for_ms": 60_000 })).await;
    body.write_all(b"end").await.unwrap();
    drop(body);
    let early_response = tokio::time::timeout(Duration::from_millis(200), &mut request);
    assert!(
        early_response.await.is_err(),
        "the server responded while frozen"
    );
    let totals = &server.executions().await["totals"]["POST"];
    assert_eq!(totals, &json!({ "started": 1, "completed": 0 }));
    server.fault("clear", json!({})).await;
    assert_eq!(request.await.unwrap().unwrap().status(), 200);
}

/// Guards against announcements by a server whose announcements are paused or that is frozen.
#[tokio::test(flavor = "multi_thread")]
async fn paused_or_frozen_server_stops_announcing() {
    for (name, on, off) in [
        ("silence", json!({ "on": true }), json!({ "on": false })),
        (
            "freeze",
            json!({ "for_ms": 60_000 }),
            json!({ "for_ms": 0 }),
        ),
    ] {
        let (address, mut announcements) = support::start_node().await;
        let mut settings = support::settings().with_node(address);
        settings.announce_interval = Duration::from_millis(10);
        let server = Server::start(settings);
        announcements.recv().await.unwrap();
        server.fault(name, on).await;
        // Announcements in flight may still arrive; a period without any must follow.
        let wait_for_quiet = async {
            let period = Duration::from_millis(100);
            while tokio::time::timeout(period, announcements.recv())
                .await
                .is_ok()
            {}
        };
        tokio::time::timeout(support::MAX_WAIT, wait_for_quiet)
            .await
            .expect(name);
        server.fault(name, off).await;
        announcements.recv().await.unwrap();
    }
}

/// Guards against delayed and late responses that are sent too early.
#[tokio::test(flavor = "multi_thread")]
async fn delayed_and_late_responses_are_not_sent_early() {
    let server = Server::start(support::settings());
    server.fault("delay", json!({ "ms": 80 })).await;
    let start = Instant::now();
    server.json("/s/refunds/a").await;
    assert!(start.elapsed() >= Duration::from_millis(80));
    server.fault("clear", json!({})).await;

    server.fault("late", json!({ "count": 1 })).await;
    let start = Instant::now();
    let request = server.get("/s/refunds/a");
    let request = request.header("sequoiayoke-deadline-ms", "100");
    assert_eq!(request.send().await.unwrap().status(), 200);
    assert!(start.elapsed() >= Duration::from_millis(100));
}

/// Guards against a truncated response that a client could mistake for a complete one.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_responses_end_in_the_middle_of_the_body() {
    let server = Server::start(support::settings());
    let complete = get_raw(&server).await.unwrap();
    let (_, complete) = complete.split_once("\r\n\r\n").unwrap();
    server.fault("truncate", json!({ "count": 2 })).await;
    let truncated = get_raw(&server).await.unwrap();
    let (head, body) = truncated.split_once("\r\n\r\n").unwrap();
    assert!(head.contains(&format!("content-length: {}", complete.len())));
    assert_eq!(body, &complete[..complete.len() / 2]);
    let response = server.get("/s/refunds/a").send().await.unwrap();
    assert!(response.bytes().await.is_err());
    server.json("/s/refunds/a").await;
    assert_eq!(started_gets(&server).await, 4);
}

/// Guards against a second copy of a response that differs from the first, and against a
/// second execution.
#[tokio::test(flavor = "multi_thread")]
async fn response_sent_twice_is_complete_both_times() {
    let server = Server::start(support::settings());
    server.fault("twice", json!({ "count": 1 })).await;
    let both_responses = get_raw(&server).await.unwrap();
    let half_length = both_responses.len() / 2;
    assert_eq!(both_responses[..half_length], both_responses[half_length..]);
    assert_eq!(both_responses.matches("HTTP/1.1 200").count(), 2);
    assert_eq!(started_gets(&server).await, 1);
}

/// Guards against resets at the wrong stage: only a reset instead of the response may follow
/// an execution.
#[tokio::test(flavor = "multi_thread")]
async fn only_a_reset_instead_of_the_response_follows_an_execution() {
    let server = Server::start(support::settings());
    for (stage, expected_executions) in [("accept", 0), ("request", 0), ("answer", 1)] {
        let executions_before = started_gets(&server).await;
        server
            .fault("reset", json!({ "count": 1, "at": stage }))
            .await;
        let error = get_raw(&server).await.expect_err(stage);
        assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset, "{stage}");
        assert_eq!(
            started_gets(&server).await - executions_before,
            expected_executions,
            "{stage}"
        );
        assert!(get_raw(&server).await.unwrap().contains("200 OK"));
    }
}

/// Guards against a health or load override that is not reported or does not end.
#[tokio::test(flavor = "multi_thread")]
async fn health_and_load_can_be_overridden() {
    let server = Server::start(support::settings());
    server.fault("health", json!({ "healthy": false })).await;
    let load = json!({ "running": 7, "queued": 9 });
    server.fault("load", json!({ "load": load })).await;
    assert_eq!(server.json("/v1/health").await, json!({ "healthy": false }));
    assert_eq!(server.json("/v1/load").await, load);
    server.fault("health", json!({ "healthy": null })).await;
    server.fault("load", json!({ "load": null })).await;
    assert_eq!(server.json("/v1/health").await, json!({ "healthy": true }));
    let idle = json!({ "running": 0, "queued": 0 });
    assert_eq!(server.json("/v1/load").await, idle);
}

/// Guards against refusals that run the request or have a different reason.
#[tokio::test(flavor = "multi_thread")]
async fn every_reason_of_refusal_can_be_forced() {
    let server = Server::start(support::settings());
    for reason in ["fencing", "draining", "overload"] {
        server.fault("refuse", json!({ "reason": reason })).await;
        let request = server.get("/s/refunds/a");
        assert_eq!(
            support::status_and_refusal(request).await,
            (409, reason.into())
        );
    }
    server.fault("refuse", json!({ "reason": null })).await;
    assert_eq!(started_gets(&server).await, 0);
    server.command("/v1/drain", json!({})).await;
    let request = server.get("/s/refunds/a");
    assert_eq!(
        support::status_and_refusal(request).await,
        (409, "draining".into())
    );
    server.fault("undrain", json!({})).await;
    server.json("/s/refunds/a").await;
}
