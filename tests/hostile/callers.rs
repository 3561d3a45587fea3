//! Malformed requests to the listener for callers.

use std::time::Instant;

use sequoiayoke_harness::fault;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::{assert_serving, exchange, resident_memory, support};
use support::{DEADLINE, ExclusiveDeployment, SERVICE};

/// Asserts that an answer is the refusal that `docs/protocol.md` specifies.
fn assert_refused(answer: &str, status: u16, reason: &str, case: &str) {
    let head = answer.to_ascii_lowercase();
    assert!(
        head.starts_with(&format!("http/1.1 {status} ")),
        "{case}: {answer}"
    );
    let has_header = |name: &str, value: &str| head.contains(&format!("\r\n{name}: {value}\r\n"));
    assert!(
        has_header("sequoiayoke-outcome", "not-run"),
        "{case}: {answer}"
    );
    assert!(has_header("sequoiayoke-reason", reason), "{case}: {answer}");
}

fn get(path: &str, headers: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: node\r\n{headers}\r\n")
}

/// Guards against malformed requests that are executed, or refused without a reason.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_requests_are_refused_with_a_reason() {
    let world = support::start(2, 12, 0, true).await;
    let before = resident_memory(&world);
    let paths = [
        "/",
        "/s",
        "/s/refunds",
        "/s/refunds/",
        "/s//key",
        "/s/refunds//key",
        "/s/refunds/%",
        "/s/refunds/%4",
        "/s/refunds/%zz",
        "/s/refunds/%+1",
        "/s/refunds/%ff",
        "/v1/request-ids/refunds",
        "/v1/drain",
    ];
    let headers = [
        "sequoiayoke-deadline-ms: soon\r\n",
        "sequoiayoke-deadline-ms: 0\r\n",
        "sequoiayoke-deadline-ms: -1\r\n",
        "sequoiayoke-deadline-ms: 60001\r\n",
        "sequoiayoke-deadline-ms: 99999999999999999999999\r\n",
        "sequoiayoke-deadline-ms:\r\n",
        "sequoiayoke-request-id: 1-2-3\r\n",
        "sequoiayoke-request-id: 1-2-3-4\r\n",
        "sequoiayoke-request-id: -\r\n",
    ];
    let long_key = format!("/s/refunds/{}", "k".repeat(1025));
    let long_head = format!("long: {}\r\n", "x".repeat(16_384));
    for vm in &world.vms {
        for path in paths.into_iter().chain([long_key.as_str()]) {
            let answer = exchange(vm.caller(), get(path, "").as_bytes()).await;
            assert_refused(&answer, 400, "bad-request", path);
        }
        for header in headers.into_iter().chain([long_head.as_str()]) {
            let request = get("/s/refunds/key", header);
            let answer = exchange(vm.caller(), request.as_bytes()).await;
            assert_refused(&answer, 400, "bad-request", header);
        }
        let answer = exchange(vm.caller(), get("/s/unknown/key", "").as_bytes()).await;
        assert_refused(&answer, 404, "unknown-service", "an unknown service");
    }
    assert!(world.executions().is_empty(), "{:?}", world.executions());
    assert_serving(&world, &before).await;
}

/// Guards against dot segments that the HTTP client of the backend server normalizes, so that
/// the request reaches another key, another service or a command of the server.
#[tokio::test(flavor = "multi_thread")]
async fn a_path_cannot_escape_its_key() {
    let world = support::start(2, 12, 0, true).await;
    let before = resident_memory(&world);
    let paths = [
        "/s/refunds/a/../b",
        "/s/refunds/a/..",
        "/s/refunds/a/.",
        "/s/refunds/a/./b",
        "/s/refunds/..",
        "/s/refunds/.",
        "/s/refunds/%2e%2E",
        "/s/refunds/a/%2e%2e/b",
        "/s/refunds/a/.%2E/b",
        "/s/refunds/a/%2E/b",
        "/s/refunds/a/../../../v1/drain",
        "/s/refunds/a/../../../fault/v1/executions",
        "/s/refunds/a/..?x",
        "/s/refunds/a\\..\\b",
        "/s/refunds/a/x\\..\\..\\..\\b",
        "/v1/request-ids/refunds/..",
    ];
    for vm in &world.vms {
        for path in paths {
            for method in ["GET", "POST"] {
                let request = format!("{method} {path} HTTP/1.1\r\nhost: node\r\n\r\n");
                let answer = exchange(vm.caller(), request.as_bytes()).await;
                assert_refused(&answer, 400, "bad-request", path);
            }
        }
        for path in [
            "/s/refunds/a/...",
            "/s/refunds/..a/b.c",
            "/s/refunds/a?x=/../b",
        ] {
            let answer = exchange(vm.caller(), get(path, "").as_bytes()).await;
            assert!(answer.starts_with("HTTP/1.1 200 "), "{path}: {answer}");
        }
    }
    let is_unexpected = |key: &str| !["a", "..a"].contains(&key);
    let executions = world.executions();
    assert!(
        !executions
            .iter()
            .any(|execution| is_unexpected(&execution.key)),
        "{executions:?}"
    );
    assert_serving(&world, &before).await;
}

/// Guards against input that is not HTTP, and against heads and chunks of unbounded length that
/// are accepted.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_http_is_refused_or_disconnected() {
    let world = support::start(2, 12, 0, true).await;
    let before = resident_memory(&world);
    let many = "a: b\r\n".repeat(2_000);
    let huge = format!("a: {}\r\n", "x".repeat(8 << 20));
    let post = |headers: &str, body: &str| {
        format!("POST /s/refunds/broken HTTP/1.1\r\nhost: node\r\n{headers}\r\n{body}")
    };
    let requests = [
        "\0\u{1}\u{2}\r\n\r\n".to_owned(),
        "GET\r\n\r\n".to_owned(),
        "GET /s/refunds/key HTTP/9.9\r\n\r\n".to_owned(),
        "GET /s/refunds/\0 HTTP/1.1\r\n\r\n".to_owned(),
        get("/s/refunds/key", "bad header\r\n"),
        get("/s/refunds/key", "a\0b: c\r\n"),
        get("/s/refunds/key", &many),
        get("/s/refunds/key", &huge),
        get(&format!("/s/refunds/{}", "k".repeat(1 << 20)), ""),
        post("content-length: -1\r\n", ""),
        post("content-length: 99999999999999999999999\r\n", ""),
        post("content-length: 1\r\ncontent-length: 2\r\n", "ab"),
        post("transfer-encoding: chunked\r\n", "zz\r\nab\r\n0\r\n\r\n"),
        post("transfer-encoding: chunked\r\n", "ffffffffffffffffff\r\nab"),
    ];
    for vm in &world.vms {
        for request in &requests {
            let answer = exchange(vm.caller(), request.as_bytes()).await;
            let shown = &request[..request.len().min(100)];
            let is_refused = answer.is_empty() || !answer.starts_with("HTTP/1.1 2");
            assert!(is_refused, "{shown:?}: {answer}");
        }
    }
    assert_unwritten(&world, "broken").await;
    assert_serving(&world, &before).await;
}

/// Guards against a truncated body that is executed as if it were complete.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_with_a_truncated_body_is_not_executed() {
    let world = support::start(2, 12, 0, true).await;
    let before = resident_memory(&world);
    let bodies = [
        "transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n",
        "transfer-encoding: chunked\r\n\r\n5\r\nhel",
        "transfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n",
        "content-length: 100\r\n\r\nhello",
        // Longer than a body that a node buffers as a whole.
        "content-length: 200000\r\n\r\nhello",
    ];
    let mut keys = Vec::new();
    for (entry, vm) in world.vms.iter().enumerate() {
        for (number, body) in bodies.iter().enumerate() {
            let key = format!("broken-{entry}-{number}");
            let head = format!("POST /s/{SERVICE}/{key} HTTP/1.1\r\nhost: node\r\n");
            let mut io = TcpStream::connect(vm.caller()).await.unwrap();
            io.write_all(format!("{head}{body}").as_bytes())
                .await
                .unwrap();
            io.shutdown().await.unwrap();
            keys.push(key);
        }
    }
    for key in keys {
        assert_unwritten(&world, &key).await;
    }
    assert_serving(&world, &before).await;
}

/// Guards against malformed bodies that occupy slots until their deadline, or that count as
/// failures of the backend server, so that its keys are moved away.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_bodies_do_not_affect_other_callers() {
    let world = support::start(2, 12, 0, true).await;
    let before = resident_memory(&world);
    let (owner, epoch) = world.find_owner(SERVICE, "broken").await.unwrap();
    let head = format!("POST /s/{SERVICE}/broken HTTP/1.1\r\nhost: node\r\n");
    let request = format!("{head}transfer-encoding: chunked\r\n\r\n1\r\na\r\nzz\r\n");
    for entry in [owner, 1 - owner] {
        for _ in 0..200 {
            let start = Instant::now();
            let answer = exchange(world.vms[entry].caller(), request.as_bytes()).await;
            assert!(start.elapsed() < DEADLINE, "{:?}", start.elapsed());
            let is_unknown = answer.contains("\r\nsequoiayoke-outcome: unknown\r\n");
            assert!(is_unknown, "{answer}");
        }
        let write = support::post(
            world.http(),
            world.vms[entry].caller(),
            "broken",
            None,
            DEADLINE,
        );
        let write = write.await.unwrap();
        assert_eq!(write.epoch, epoch, "the key was moved: {write:?}");
    }
    assert_serving(&world, &before).await;
}

/// Waits until no request is running, and asserts that none has written the key.
async fn assert_unwritten(world: &ExclusiveDeployment, key: &str) {
    for vm in &world.vms {
        let idle = |running, queued| running + queued == 0;
        fault::wait_load(world.http(), vm, idle).await.unwrap();
    }
    let (method, path) = (reqwest::Method::GET, support::path(key));
    let address = world.vms[0].caller();
    let read =
        sequoiayoke_harness::caller::send(world.http(), address, method, &path, None, DEADLINE);
    let read = read.await.unwrap();
    assert_eq!(read.outcome, "answered", "{read:?}");
    assert_eq!(read.body["value"]["version"], 0, "{key}: {read:?}");
}
