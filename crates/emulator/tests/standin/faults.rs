//! Each fault command must do what it says, and only that.

use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;

use crate::support;
use crate::support::Server;

/// Sends a request on a connection of its own and returns the bytes until its end.
async fn exchange(server: &Server) -> std::io::Result<String> {
    let mut socket = tokio::net::TcpStream::connect(server.standin.address()).await?;
    let head = "GET /s/refunds/a HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    socket.write_all(head.as_bytes()).await?;
    let mut answer = Vec::new();
    socket.read_to_end(&mut answer).await?;
    Ok(String::from_utf8(answer).unwrap())
}

async fn started(server: &Server) -> u64 {
    let executions = server.executions().await;
    executions["totals"]["GET"]["started"].as_u64().unwrap_or(0)
}

/// Guards against a frozen server that still answers its node or starts requests.
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

/// Guards against a pause that loses work, or that does not hold a request past its checks.
#[tokio::test(flavor = "multi_thread")]
async fn request_in_flight_goes_on_after_a_freeze() {
    let server = Server::start(support::settings());
    let (mut body, parts) = tokio::io::duplex(16);
    let parts = tokio_util::io::ReaderStream::new(parts);
    let request = server.post("/s/refunds/a");
    let request = request.body(reqwest::Body::wrap_stream(parts));
    let mut request = tokio::spawn(request.send());
    server.load_reaches("running", 1).await;
    server.fault("freeze", json!({ "for_ms": 60_000 })).await;
    body.write_all(b"end").await.unwrap();
    drop(body);
    let early = tokio::time::timeout(Duration::from_millis(200), &mut request);
    assert!(early.await.is_err(), "the server answered while frozen");
    let totals = &server.executions().await["totals"]["POST"];
    assert_eq!(totals, &json!({ "started": 1, "completed": 0 }));
    server.fault("clear", json!({})).await;
    assert_eq!(request.await.unwrap().unwrap().status(), 200);
}

/// Guards against announcements by a silent or frozen server.
#[tokio::test(flavor = "multi_thread")]
async fn silent_or_frozen_server_stops_announcing() {
    for (name, on, off) in [
        ("silence", json!({ "on": true }), json!({ "on": false })),
        (
            "freeze",
            json!({ "for_ms": 60_000 }),
            json!({ "for_ms": 0 }),
        ),
    ] {
        let (address, mut announcements) = support::node().await;
        let mut settings = support::settings().with_node(address);
        settings.announce_every = Duration::from_millis(10);
        let server = Server::start(settings);
        announcements.recv().await.unwrap();
        server.fault(name, on).await;
        // Announcements under way may still arrive; a whole quiet period must follow.
        let quiet = async {
            let period = Duration::from_millis(100);
            while tokio::time::timeout(period, announcements.recv())
                .await
                .is_ok()
            {}
        };
        tokio::time::timeout(support::PATIENCE, quiet)
            .await
            .expect(name);
        server.fault(name, off).await;
        announcements.recv().await.unwrap();
    }
}

/// Guards against answers that are held back for too short a time.
#[tokio::test(flavor = "multi_thread")]
async fn delayed_and_late_answers_come_after_their_time() {
    let server = Server::start(support::settings());
    server.fault("delay", json!({ "ms": 80 })).await;
    let begin = Instant::now();
    server.json("/s/refunds/a").await;
    assert!(begin.elapsed() >= Duration::from_millis(80));
    server.fault("clear", json!({})).await;

    server.fault("late", json!({ "count": 1 })).await;
    let begin = Instant::now();
    let request = server.get("/s/refunds/a");
    let request = request.header("sequoiayoke-deadline-ms", "100");
    assert_eq!(request.send().await.unwrap().status(), 200);
    assert!(begin.elapsed() >= Duration::from_millis(100));
}

/// Guards against truncation that a client could take for the end of the answer.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_answers_end_half_way() {
    let server = Server::start(support::settings());
    let whole = exchange(&server).await.unwrap();
    let (_, whole) = whole.split_once("\r\n\r\n").unwrap();
    server.fault("truncate", json!({ "count": 2 })).await;
    let cut = exchange(&server).await.unwrap();
    let (head, body) = cut.split_once("\r\n\r\n").unwrap();
    assert!(head.contains(&format!("content-length: {}", whole.len())));
    assert_eq!(body, &whole[..whole.len() / 2]);
    let answer = server.get("/s/refunds/a").send().await.unwrap();
    assert!(answer.bytes().await.is_err());
    server.json("/s/refunds/a").await;
    assert_eq!(started(&server).await, 4);
}

/// Guards against a double answer that is not byte for byte an answer of its own.
#[tokio::test(flavor = "multi_thread")]
async fn answer_sent_twice_is_whole_both_times() {
    let server = Server::start(support::settings());
    server.fault("twice", json!({ "count": 1 })).await;
    let both = exchange(&server).await.unwrap();
    let half = both.len() / 2;
    assert_eq!(both[..half], both[half..]);
    assert_eq!(both.matches("HTTP/1.1 200").count(), 2);
    assert_eq!(started(&server).await, 1);
}

/// Guards against resets at the wrong moment: only the last one may follow an execution.
#[tokio::test(flavor = "multi_thread")]
async fn reset_connections_run_or_do_not_run_as_told() {
    let server = Server::start(support::settings());
    for (at, runs) in [("accept", 0), ("request", 0), ("answer", 1)] {
        let before = started(&server).await;
        server.fault("reset", json!({ "count": 1, "at": at })).await;
        let error = exchange(&server).await.expect_err(at);
        assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset, "{at}");
        assert_eq!(started(&server).await - before, runs, "{at}");
        assert!(exchange(&server).await.unwrap().contains("200 OK"));
    }
}

/// Guards against lies that are not told or do not end.
#[tokio::test(flavor = "multi_thread")]
async fn health_and_load_can_be_false() {
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

/// Guards against refusals that run the request or name another reason.
#[tokio::test(flavor = "multi_thread")]
async fn every_reason_of_refusal_can_be_had() {
    let server = Server::start(support::settings());
    for reason in ["fencing", "draining", "overload"] {
        server.fault("refuse", json!({ "reason": reason })).await;
        let request = server.get("/s/refunds/a");
        assert_eq!(support::refusal(request).await, (409, reason.into()));
    }
    server.fault("refuse", json!({ "reason": null })).await;
    assert_eq!(started(&server).await, 0);
    server.command("/v1/drain", json!({})).await;
    let request = server.get("/s/refunds/a");
    assert_eq!(support::refusal(request).await, (409, "draining".into()));
    server.fault("undrain", json!({})).await;
    server.json("/s/refunds/a").await;
}
