//! Invariant I3: a caller gets the complete answer to its own request and nobody else's.

#![allow(clippy::unwrap_used, missing_docs)]

mod backend;

use std::path::Path;
use std::time::{Duration, Instant};

use sequoiayoke_harness::{Deployment, caller, deployment, settings};
use sequoiayoke_wire::{auth, frame, stream};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task;
use xxhash_rust::xxh3;

/// Size of an upload that does not fit into the buffers on its path, in bytes.
const UPLOAD_BYTES: usize = 16 << 20;

/// Returns the directory of the compiled programs.
fn bin() -> &'static Path {
    let node = Path::new(env!("CARGO_BIN_EXE_sequoiayoke-node"));
    node.parent().unwrap()
}

/// An answer as the caller sees it.
#[derive(Debug)]
struct Received {
    outcome: String,
    reason: String,
    // `None` if the answer is incomplete.
    body: Option<Vec<u8>>,
}

/// Sends a request with the deadline `deadline_ms`.
async fn send(
    http: &reqwest::Client,
    method: reqwest::Method,
    url: &str,
    deadline_ms: u64,
) -> Received {
    let request = http.request(method, url);
    let result = request
        .header("sequoiayoke-deadline-ms", deadline_ms)
        .send()
        .await;
    let Ok(answer) = result else {
        return Received {
            outcome: "broken".to_owned(),
            reason: String::new(),
            body: None,
        };
    };
    let header = |name| {
        answer
            .headers()
            .get(name)
            .map(|value| value.to_str().unwrap())
    };
    let outcome = header("sequoiayoke-outcome").unwrap().to_owned();
    let reason = header("sequoiayoke-reason").unwrap_or("").to_owned();
    let body = answer.bytes().await.ok().map(Vec::from);
    Received {
        outcome,
        reason,
        body,
    }
}

/// Sets a fault of all stand-ins.
async fn set_fault(deployment: &Deployment, name: &str, fields: &Value) {
    for vm in &deployment.vms {
        let url = format!("http://{}/fault/v1/{name}", vm.standin_address());
        let result = deployment.http().post(url).json(fields).send().await;
        assert!(result.unwrap().status().is_success(), "{name}");
    }
}

/// Starts one control replica and `count` VMs that serve `desk` with stand-ins.
async fn start(count: usize, slots: u32) -> Deployment {
    let spec = settings::Spec::new(1).with_service("desk", count, slots, 0);
    let deployment = Deployment::start(bin(), spec).unwrap();
    deployment.wait_joined().await.unwrap();
    deployment.create_services(8).await.unwrap();
    deployment
}

/// Guards against an answer that the backend server left incomplete and that looks complete to the
/// caller.
#[tokio::test(flavor = "multi_thread")]
async fn an_incomplete_answer_never_looks_complete() {
    let (deployment, vms) = backend::start(bin(), 2, &json!({})).await;
    for number in 0..8 {
        for kind in ["chunked", "length"] {
            // One of the nodes belongs to the owner, the other one forwards.
            for vm in &vms {
                for method in [reqwest::Method::GET, reqwest::Method::POST] {
                    let url = format!("http://{}/s/desk/{kind}-{number}", vm.caller());
                    let received = send(deployment.http(), method, &url, 5_000).await;
                    let is_complete = received.outcome == "answered" && received.body.is_some();
                    assert!(
                        !is_complete,
                        "{kind}-{number} through {}: {received:?}",
                        vm.name
                    );
                    assert_ne!(received.outcome, "not-run", "{kind}-{number} has run");
                }
            }
        }
    }
}

/// Guards against a part of an answer without a length, which ends while the upload is still being
/// written, and that looks complete to the caller.
#[tokio::test(flavor = "multi_thread")]
async fn an_early_answer_without_a_length_never_looks_complete() {
    let (deployment, vms) = backend::start(bin(), 2, &json!({})).await;
    for number in 0..8 {
        // One of the nodes belongs to the owner, the other one forwards.
        for vm in &vms {
            let url = format!("http://{}/s/desk/early-{number}", vm.caller());
            let upload = deployment.http().post(&url).body(vec![b'x'; UPLOAD_BYTES]);
            let sent = upload.header("sequoiayoke-deadline-ms", 5_000).send();
            if let Ok(answer) = sent.await {
                let outcome = answer.headers().get("sequoiayoke-outcome").cloned();
                let is_complete = outcome.is_some_and(|outcome| outcome == "answered")
                    && answer.bytes().await.is_ok();
                assert!(!is_complete, "early-{number} through {}", vm.name);
            }
        }
    }
}

/// Guards against a status that HTTP does not define and that reaches the caller as an answer.
#[tokio::test(flavor = "multi_thread")]
async fn an_undefined_status_is_no_answer() {
    let (deployment, vms) = backend::start(bin(), 2, &json!({})).await;
    for code in ["000", "099", "600", "999", "20", "2000", "20x"] {
        for vm in &vms {
            let url = format!("http://{}/s/desk/status-{code}", vm.caller());
            let received = send(deployment.http(), reqwest::Method::POST, &url, 5_000).await;
            assert_eq!(received.outcome, "unknown", "{code} through {}", vm.name);
        }
    }
}

/// Guards against a truncated or reset answer of a stand-in that is forwarded as a complete one.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_and_reset_answers_are_errors() {
    let deployment = start(2, 12).await;
    for (name, fields) in [
        ("truncate", json!({ "count": 1000 })),
        ("reset", json!({ "count": 1000, "at": "answer" })),
    ] {
        set_fault(&deployment, name, &fields).await;
        for number in 0..8 {
            for vm in &deployment.vms {
                let url = format!("http://{}/s/desk/{name}-{number}", vm.caller());
                let received = send(deployment.http(), reqwest::Method::POST, &url, 5_000).await;
                let is_complete = received.outcome == "answered" && received.body.is_some();
                assert!(!is_complete, "{name} {number}: {received:?}");
                assert_ne!(received.outcome, "not-run", "{name} {number} has run");
            }
        }
        set_fault(&deployment, "clear", &json!({})).await;
    }
}

/// Sends a request with a distinct body and asserts that the answer belongs to it.
async fn check_exchange(http: reqwest::Client, address: String, key: String, size: usize) {
    let id = caller::request_id(&http, &address, "desk", &key).await;
    let id = id.unwrap();
    let body: Vec<u8> = key.bytes().cycle().take(size).collect();
    let digest = format!("{:016x}", xxh3::xxh3_64(&body));
    let url = format!("http://{address}/s/desk/{key}");
    let start = Instant::now();
    let answer = loop {
        let request = http.post(&url).header("sequoiayoke-request-id", &id);
        let answer = request.body(body.clone()).send().await.unwrap();
        // A node sheds load for a short time after its backend server has answered late. Such a
        // request did not run and is retried, as the page of the protocol says.
        let is_shed = answer.headers()["sequoiayoke-outcome"] == "not-run"
            && answer.headers()["sequoiayoke-reason"] == "overload";
        if !is_shed || start.elapsed() >= deployment::MAX_WAIT {
            break answer;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    let outcome = answer.headers()["sequoiayoke-outcome"].clone();
    assert_eq!(outcome, "answered", "{key}: {:?}", answer.headers());
    assert_eq!(answer.headers()["sequoiayoke-request-id"], id.as_str());
    let answer: Value = answer.json().await.unwrap();
    assert_eq!(answer["key"], json!(key));
    assert_eq!(answer["request_id"], json!(id), "{key}");
    assert_eq!(answer["body_bytes"], json!(size), "{key}");
    assert_eq!(answer["digest"], json!(digest), "{key}");
}

/// Runs `count` exchanges at the same time, through all nodes in turn.
async fn check_exchanges(deployment: &Deployment, prefix: &str, count: usize, size: usize) {
    let mut exchanges = task::JoinSet::new();
    for number in 0..count {
        let address = deployment.vms[number % deployment.vms.len()].caller();
        let key = format!("{prefix}-{number}");
        let http = deployment.http().clone();
        exchanges.spawn(check_exchange(http, address.to_owned(), key, size + number));
    }
    while let Some(result) = exchanges.join_next().await {
        result.unwrap();
    }
}

/// Guards against answers that reach another request under load, and against streams that interfere
/// with each other.
#[tokio::test(flavor = "multi_thread")]
async fn each_answer_belongs_to_its_request() {
    let deployment = start(3, 32).await;
    for round in 0..3 {
        check_exchanges(&deployment, &format!("small-{round}"), 120, 10).await;
        check_exchanges(&deployment, &format!("large-{round}"), 60, 300_000).await;
    }
    // A stream that violates the protocol would have closed its connection with a warning.
    let warnings = deployment.warnings();
    let has_connection_warning = warnings.iter().any(|line| line.contains("connection"));
    assert!(!has_connection_warning, "{warnings:#?}");
}

/// Guards against large answers whose bytes are mixed when another node forwards them.
#[tokio::test(flavor = "multi_thread")]
async fn large_answers_are_not_mixed() {
    let (deployment, vms) = backend::start(bin(), 2, &json!({})).await;
    let mut requests = task::JoinSet::new();
    for number in 0..64 {
        let address = vms[number % 2].caller().to_owned();
        let http = deployment.http().clone();
        requests.spawn(async move {
            let key = format!("big-{number}");
            let url = format!("http://{address}/s/desk/{key}");
            let received = send(&http, reqwest::Method::GET, &url, 10_000).await;
            assert_eq!(received.outcome, "answered", "{key}: {}", received.reason);
            assert!(
                received.body == Some(backend::large_body(&key)),
                "{key}: the body differs"
            );
        });
    }
    while let Some(result) = requests.join_next().await {
        result.unwrap();
    }
}

/// Asserts that a request whose answer may have been late has a correct outcome.
async fn check_late_answer(deployment: &Deployment, (received, key): (Received, String)) {
    match received.outcome.as_str() {
        "answered" => {
            let body: Value = serde_json::from_slice(&received.body.unwrap()).unwrap();
            assert_eq!(body["key"], json!(key));
        }
        // A node whose backend server has answered late sheds some requests early.
        "not-run" => {
            let count = count_executions(deployment, &key).await;
            assert_eq!(count, 0, "{key} has run");
        }
        outcome => assert_eq!(outcome, "unknown", "{key}"),
    }
}

/// Returns the number of executions for a key on all servers.
async fn count_executions(deployment: &Deployment, key: &str) -> u64 {
    let mut count = 0;
    for vm in &deployment.vms {
        let url = format!("http://{}/fault/v1/executions", vm.standin_address());
        let answer = deployment.http().get(url).send().await.unwrap();
        let answer: Value = answer.json().await.unwrap();
        let keys = answer["keys"].as_object().unwrap();
        let name = format!("desk/{key}");
        count += keys.get(&name).and_then(Value::as_u64).unwrap_or(0);
    }
    count
}

/// Guards against a late answer that reaches the next request on its connection or stream.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_answer_reaches_no_other_request() {
    let deployment = start(2, 32).await;
    for round in 0..3 {
        check_exchanges(&deployment, &format!("warm-{round}"), 20, 10).await;
        set_fault(&deployment, "late", &json!({ "count": 20 })).await;
        let mut requests = task::JoinSet::new();
        for number in 0..40 {
            let http = deployment.http().clone();
            let address = deployment.vms[number % 2].caller();
            let url = format!("http://{address}/s/desk/late-{round}-{number}");
            let key = format!("late-{round}-{number}");
            requests
                .spawn(async move { (send(&http, reqwest::Method::POST, &url, 150).await, key) });
        }
        while let Some(result) = requests.join_next().await {
            check_late_answer(&deployment, result.unwrap()).await;
        }
        set_fault(&deployment, "clear", &json!({})).await;
        check_exchanges(&deployment, &format!("next-{round}"), 60, 10).await;
    }
}

/// Guards against a duplicated answer whose second copy reaches the next request.
#[tokio::test(flavor = "multi_thread")]
async fn a_duplicated_answer_reaches_no_other_request() {
    let deployment = start(2, 32).await;
    set_fault(&deployment, "twice", &json!({ "count": 1_000_000 })).await;
    for round in 0..5 {
        check_exchanges(&deployment, &format!("twice-{round}"), 60, 10).await;
    }
}

/// Returns bytes that violate the protocol between nodes, each with a description.
fn malformed_inputs() -> Vec<(&'static str, Vec<u8>)> {
    let encode = |number, body| frame::encode(&stream::Frame::new(number, body)).unwrap();
    let open = || stream::Body::Open(stream::Open::default());
    let head = encode(1, stream::Body::Head(stream::Head::default()));
    let duplicate = [encode(1, open()), encode(1, open())].concat();
    vec![
        ("a frame that exceeds the size limit", vec![0xff; 64]),
        (
            "a frame that is not a message",
            vec![0, 0, 0, 4, 0xff, 0xff, 0xff, 0xff],
        ),
        ("a frame of the opposite direction", head.to_vec()),
        ("a stream number that is already in use", duplicate),
    ]
}

/// Guards against a malformed frame that affects more than its own connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_malformed_frame_closes_only_its_connection() {
    let (deployment, vms) = backend::start(bin(), 2, &json!({})).await;
    let running: Vec<_> = vms
        .iter()
        .map(|vm| {
            let url = format!("http://{}/s/desk/hang-{}", vm.caller(), vm.name);
            let http = deployment.http().clone();
            tokio::spawn(async move { send(&http, reqwest::Method::GET, &url, 3_000).await })
        })
        .collect();
    wait_any_event(&vms, &format!("started hang-{}", vms[0].name)).await;
    wait_any_event(&vms, &format!("started hang-{}", vms[1].name)).await;
    for vm in &vms {
        let peer = vm.node.field("peer").unwrap();
        let secret = settings::node(
            &deployment.spec,
            &deployment.ip,
            &deployment.spec.servers[0],
        );
        let secret = secret["secret"].as_str().unwrap().as_bytes();
        for (description, bytes) in malformed_inputs() {
            for is_authenticated in [false, true] {
                let mut socket = TcpStream::connect(peer).await.unwrap();
                if is_authenticated {
                    let authenticated = auth::connect(socket, auth::Kind::Stream, secret).await;
                    socket = authenticated.unwrap();
                }
                socket.write_all(&bytes).await.unwrap();
                let mut rest = Vec::new();
                let closed = socket.read_to_end(&mut rest);
                let closed = tokio::time::timeout(Duration::from_secs(2), closed).await;
                // Without authentication the bytes may be the beginning of a proof, for which the
                // node waits a limited time.
                assert!(
                    !is_authenticated || closed.is_ok(),
                    "the connection stays open after {description}"
                );
            }
        }
    }
    for request in running {
        // These end at their own deadline, not with the malformed connections.
        let received = request.await.unwrap();
        assert_eq!(
            (&*received.outcome, &*received.reason),
            ("unknown", "deadline")
        );
    }
    for number in 0..8 {
        for vm in &vms {
            let url = format!("http://{}/s/desk/after-{number}", vm.caller());
            let received = send(deployment.http(), reqwest::Method::GET, &url, 5_000).await;
            assert_eq!(received.outcome, "answered");
        }
    }
}

/// Waits until one of the two servers has recorded the event `text`.
async fn wait_any_event(vms: &[backend::Vm], text: &str) {
    tokio::select! {
        () = vms[0].wait_event(text) => {}
        () = vms[1].wait_event(text) => {}
    }
}

/// Guards against a request that keeps running and occupies its slot after its caller has
/// disconnected.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_cancelled_when_its_caller_disconnects() {
    let (_deployment, vms) = backend::start(bin(), 2, &json!({})).await;
    for kind in ["hang", "endless"] {
        for number in 0..4 {
            for vm in &vms {
                let key = format!("{kind}-{number}-{}", vm.name);
                let socket = send_request(vm.caller(), &key).await;
                wait_any_event(&vms, &format!("started {key}")).await;
                drop(socket);
                wait_any_event(&vms, &format!("cancelled {key}")).await;
                let answered = format!("answered {key}");
                assert!(!vms.iter().any(|vm| vm.events().contains(&answered)));
            }
        }
    }
}

/// Guards against an upload that keeps running at the owner after its caller has disconnected.
#[tokio::test(flavor = "multi_thread")]
async fn an_upload_is_cancelled_when_its_caller_disconnects() {
    let (_deployment, vms) = backend::start(bin(), 2, &json!({})).await;
    for number in 0..4 {
        for vm in &vms {
            let key = format!("upload-{number}-{}", vm.name);
            let mut socket = TcpStream::connect(vm.caller()).await.unwrap();
            let fields = "content-length: 1000000\r\nsequoiayoke-deadline-ms: 60000";
            let head = format!("POST /s/desk/{key} HTTP/1.1\r\nhost: desk\r\n{fields}\r\n\r\n");
            socket.write_all(head.as_bytes()).await.unwrap();
            socket.write_all(&[b'x'; 500_000]).await.unwrap();
            wait_any_event(&vms, &format!("started {key}")).await;
            drop(socket);
            wait_any_event(&vms, &format!("cancelled {key}")).await;
        }
    }
}

/// Guards against an answer that occupies its slot because its caller does not read it.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_not_read_is_cancelled() {
    let (_deployment, vms) = backend::start(bin(), 2, &json!({})).await;
    let mut sockets = Vec::new();
    for vm in &vms {
        let key = format!("endless-{}", vm.name);
        let socket = send_request(vm.caller(), &key).await;
        wait_any_event(&vms, &format!("started {key}")).await;
        sockets.push((socket, key));
    }
    for (_socket, key) in &sockets {
        wait_any_event(&vms, &format!("cancelled {key}")).await;
    }
}

/// Sends a request whose deadline is later than the longest wait of a test.
async fn send_request(address: &str, key: &str) -> TcpStream {
    let mut socket = TcpStream::connect(address).await.unwrap();
    let deadline = "sequoiayoke-deadline-ms: 60000";
    let head = format!("GET /s/desk/{key} HTTP/1.1\r\nhost: desk\r\n{deadline}\r\n\r\n");
    socket.write_all(head.as_bytes()).await.unwrap();
    socket
}

/// Guards against requests that wait for a slot of a run of the backend server that was replaced:
/// nothing frees a slot, and nothing ends their wait at their deadline.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_wait_for_a_replaced_server_get_an_outcome() {
    let (deployment, vms) = backend::start(bin(), 1, &json!({})).await;
    let address = vms[0].caller().to_owned();
    let post = |key: String| {
        let (http, url) = (
            deployment.http().clone(),
            format!("http://{address}/s/desk/{key}"),
        );
        task::spawn(async move { send(&http, reqwest::Method::POST, &url, 60_000).await })
    };
    // Each occupies a slot until its deadline.
    let running: Vec<_> = (0..32)
        .map(|number| post(format!("hang-{number}")))
        .collect();
    for number in 0..8 {
        vms[0].wait_event(&format!("started hang-{number}")).await;
    }
    let waiting: Vec<_> = (0..8)
        .map(|number| post(format!("wait-{number}")))
        .collect();
    vms[0].announce(&deployment, "second").await;
    // Shorter than the time after which the client gives up the requests that occupy the slots.
    let limit = tokio::time::Instant::now() + Duration::from_secs(8);
    for request in waiting {
        let received = tokio::time::timeout_at(limit, request).await;
        let received = received.expect("no outcome").unwrap();
        assert!(
            ["answered", "not-run"].contains(&received.outcome.as_str()),
            "{received:?}"
        );
    }
    for request in running {
        request.abort();
    }
}
