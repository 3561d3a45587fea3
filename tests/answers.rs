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

/// Directory of the programs.
fn bin() -> &'static Path {
    let node = Path::new(env!("CARGO_BIN_EXE_sequoiayoke-node"));
    node.parent().unwrap()
}

/// What a caller has seen of an answer.
#[derive(Debug)]
struct Seen {
    outcome: String,
    reason: String,
    // `None` if the answer broke off.
    body: Option<Vec<u8>>,
}

async fn send(http: &reqwest::Client, method: reqwest::Method, url: &str, ms: u64) -> Seen {
    let request = http.request(method, url);
    let sent = request.header("sequoiayoke-deadline-ms", ms).send().await;
    let Ok(answer) = sent else {
        return Seen {
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
    Seen {
        outcome,
        reason,
        body,
    }
}

async fn fault(deployment: &Deployment, name: &str, fields: &Value) {
    for pair in &deployment.vms {
        let url = format!("http://{}/fault/v1/{name}", pair.standin_address());
        let sent = deployment.http().post(url).json(fields).send().await;
        assert!(sent.unwrap().status().is_success(), "{name}");
    }
}

async fn start(count: usize, slots: u32) -> Deployment {
    let spec = settings::Spec::new(1).with_service("desk", count, slots, 0);
    let deployment = Deployment::start(bin(), spec).unwrap();
    deployment.wait_joined().await.unwrap();
    deployment.create_services(8).await.unwrap();
    deployment
}

/// Guards against an answer that broke off half way and looks complete to the caller.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_cut_never_looks_complete() {
    let (deployment, vms) = backend::start(bin(), 2, &json!({})).await;
    for number in 0..8 {
        for kind in ["chunked", "length"] {
            // One of the nodes is the owner's, the other one forwards.
            for pair in &vms {
                for method in [reqwest::Method::GET, reqwest::Method::POST] {
                    let url = format!("http://{}/s/desk/{kind}-{number}", pair.caller());
                    let seen = send(deployment.http(), method, &url, 5_000).await;
                    let complete = seen.outcome == "answered" && seen.body.is_some();
                    assert!(!complete, "{kind}-{number} through {}: {seen:?}", pair.name);
                    assert_ne!(seen.outcome, "not-run", "{kind}-{number}: it has run");
                }
            }
        }
    }
}

/// Guards against a cut or reset of a stand-in's answer that is passed on as a whole one.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_and_reset_answers_are_errors() {
    let deployment = start(2, 12).await;
    for (name, fields) in [
        ("truncate", json!({ "count": 1000 })),
        ("reset", json!({ "count": 1000, "at": "answer" })),
    ] {
        fault(&deployment, name, &fields).await;
        for number in 0..8 {
            for pair in &deployment.vms {
                let url = format!("http://{}/s/desk/{name}-{number}", pair.caller());
                let seen = send(deployment.http(), reqwest::Method::POST, &url, 5_000).await;
                let complete = seen.outcome == "answered" && seen.body.is_some();
                assert!(!complete, "{name} {number}: {seen:?}");
                assert_ne!(seen.outcome, "not-run", "{name} {number}: it has run");
            }
        }
        fault(&deployment, "clear", &json!({})).await;
    }
}

/// Sends a request with a body of its own and checks that the answer is its answer.
async fn exchange(http: reqwest::Client, address: String, key: String, size: usize) {
    let id = caller::request_id(&http, &address, "desk", &key).await;
    let id = id.unwrap();
    let body: Vec<u8> = key.bytes().cycle().take(size).collect();
    let digest = format!("{:016x}", xxh3::xxh3_64(&body));
    let url = format!("http://{address}/s/desk/{key}");
    let start = Instant::now();
    let answer = loop {
        let request = http.post(&url).header("sequoiayoke-request-id", &id);
        let answer = request.body(body.clone()).send().await.unwrap();
        // A node sheds load while its backend server has just answered late; such a
        // request did not run, and is sent again as the protocol page says.
        let shed = answer.headers()["sequoiayoke-outcome"] == "not-run"
            && answer.headers()["sequoiayoke-reason"] == "overload";
        if !shed || start.elapsed() >= deployment::MAX_WAIT {
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

async fn exchange_all(deployment: &Deployment, prefix: &str, count: usize, size: usize) {
    let mut exchanges = task::JoinSet::new();
    for number in 0..count {
        let address = deployment.vms[number % deployment.vms.len()].caller();
        let key = format!("{prefix}-{number}");
        let http = deployment.http().clone();
        exchanges.spawn(exchange(http, address.to_owned(), key, size + number));
    }
    while let Some(ended) = exchanges.join_next().await {
        ended.unwrap();
    }
}

/// Guards against answers that are crossed under load, and against streams that disturb each other.
#[tokio::test(flavor = "multi_thread")]
async fn each_answer_belongs_to_its_request() {
    let deployment = start(3, 32).await;
    for round in 0..3 {
        exchange_all(&deployment, &format!("small-{round}"), 120, 10).await;
        exchange_all(&deployment, &format!("large-{round}"), 60, 300_000).await;
    }
    // A stream that breaks a rule would have ended its connection.
    let warnings = deployment.warnings();
    let broken = warnings.iter().any(|line| line.contains("connection"));
    assert!(!broken, "{warnings:#?}");
}

/// Guards against large answers that are mixed on their way through another node.
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
            let seen = send(&http, reqwest::Method::GET, &url, 10_000).await;
            assert_eq!(seen.outcome, "answered", "{key}");
            assert!(seen.body == Some(backend::large_body(&key)), "{key}: mixed");
        });
    }
    while let Some(ended) = requests.join_next().await {
        ended.unwrap();
    }
}

/// Checks what is said of a request whose answer may have come too late.
async fn check_late(deployment: &Deployment, (seen, key): (Seen, String)) {
    match seen.outcome.as_str() {
        "answered" => {
            let body: Value = serde_json::from_slice(&seen.body.unwrap()).unwrap();
            assert_eq!(body["key"], json!(key));
        }
        // A node that has seen late answers sheds some requests early.
        "not-run" => {
            let runs = executions(deployment, &key).await;
            assert_eq!(runs, 0, "{key} has run");
        }
        outcome => assert_eq!(outcome, "unknown", "{key}"),
    }
}

/// Returns how often a key was used by any server.
async fn executions(deployment: &Deployment, key: &str) -> u64 {
    let mut count = 0;
    for pair in &deployment.vms {
        let url = format!("http://{}/fault/v1/executions", pair.standin_address());
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
async fn a_late_answer_reaches_nobody_else() {
    let deployment = start(2, 32).await;
    for round in 0..3 {
        exchange_all(&deployment, &format!("warm-{round}"), 20, 10).await;
        fault(&deployment, "late", &json!({ "count": 20 })).await;
        let mut late = task::JoinSet::new();
        for number in 0..40 {
            let http = deployment.http().clone();
            let address = deployment.vms[number % 2].caller();
            let url = format!("http://{address}/s/desk/late-{round}-{number}");
            let key = format!("late-{round}-{number}");
            late.spawn(async move { (send(&http, reqwest::Method::POST, &url, 150).await, key) });
        }
        while let Some(ended) = late.join_next().await {
            check_late(&deployment, ended.unwrap()).await;
        }
        fault(&deployment, "clear", &json!({})).await;
        exchange_all(&deployment, &format!("next-{round}"), 60, 10).await;
    }
}

/// Guards against the second copy of an answer that reaches the next request.
#[tokio::test(flavor = "multi_thread")]
async fn a_doubled_answer_reaches_nobody_else() {
    let deployment = start(2, 32).await;
    fault(&deployment, "twice", &json!({ "count": 1_000_000 })).await;
    for round in 0..5 {
        exchange_all(&deployment, &format!("twice-{round}"), 60, 10).await;
    }
}

/// Returns bytes that break the rules of the protocol between nodes.
fn malformed() -> Vec<(&'static str, Vec<u8>)> {
    let encode = |number, body| frame::encode(&stream::Frame::new(number, body)).unwrap();
    let open = || stream::Body::Open(stream::Open::default());
    let head = encode(1, stream::Body::Head(stream::Head::default()));
    let twice = [encode(1, open()), encode(1, open())].concat();
    vec![
        ("a frame beyond the limit", vec![0xff; 64]),
        (
            "a frame that is no message",
            vec![0, 0, 0, 4, 0xff, 0xff, 0xff, 0xff],
        ),
        ("a frame of another direction", head.to_vec()),
        ("a stream number that is used twice", twice),
    ]
}

/// Guards against a malformed frame that harms more than its own connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_malformed_frame_ends_only_its_connection() {
    let (deployment, vms) = backend::start(bin(), 2, &json!({})).await;
    let running: Vec<_> = vms
        .iter()
        .map(|pair| {
            let url = format!("http://{}/s/desk/hang-{}", pair.caller(), pair.name);
            let http = deployment.http().clone();
            tokio::spawn(async move { send(&http, reqwest::Method::GET, &url, 3_000).await })
        })
        .collect();
    wait_any(&vms, &format!("started hang-{}", vms[0].name)).await;
    wait_any(&vms, &format!("started hang-{}", vms[1].name)).await;
    for pair in &vms {
        let peer = pair.node.field("peer").unwrap();
        let secret = settings::node(
            &deployment.spec,
            &deployment.ip,
            &deployment.spec.servers[0],
        );
        let secret = secret["secret"].as_str().unwrap().as_bytes();
        for (what, bytes) in malformed() {
            for proven in [false, true] {
                let mut socket = TcpStream::connect(peer).await.unwrap();
                if proven {
                    let proof = auth::connect(socket, auth::Kind::Stream, secret).await;
                    socket = proof.unwrap();
                }
                socket.write_all(&bytes).await.unwrap();
                let mut rest = Vec::new();
                let ended = socket.read_to_end(&mut rest);
                let ended = tokio::time::timeout(Duration::from_secs(2), ended).await;
                // What is no proof may be the beginning of one; that wait is bounded, too.
                assert!(
                    !proven || ended.is_ok(),
                    "{what} leaves the connection open"
                );
            }
        }
    }
    for request in running {
        // They end at their own deadline, not with the malformed connections.
        let seen = request.await.unwrap();
        assert_eq!((&*seen.outcome, &*seen.reason), ("unknown", "deadline"));
    }
    for number in 0..8 {
        for pair in &vms {
            let url = format!("http://{}/s/desk/after-{number}", pair.caller());
            let seen = send(deployment.http(), reqwest::Method::GET, &url, 5_000).await;
            assert_eq!(seen.outcome, "answered");
        }
    }
}

/// Waits until one of the servers has noted `text`.
async fn wait_any(vms: &[backend::Vm], text: &str) {
    tokio::select! {
        () = vms[0].wait_event(text) => {}
        () = vms[1].wait_event(text) => {}
    }
}

/// Guards against a request that runs on, and holds its slot, after its caller is gone.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_cancelled_with_its_caller() {
    let (_deployment, vms) = backend::start(bin(), 2, &json!({})).await;
    for kind in ["hang", "endless"] {
        for number in 0..4 {
            for pair in &vms {
                let key = format!("{kind}-{number}-{}", pair.name);
                let socket = request(pair.caller(), &key).await;
                wait_any(&vms, &format!("started {key}")).await;
                drop(socket);
                wait_any(&vms, &format!("cancelled {key}")).await;
                let answered = format!("answered {key}");
                assert!(!vms.iter().any(|pair| pair.events().contains(&answered)));
            }
        }
    }
}

/// Guards against an upload that runs on at the owner after its caller is gone.
#[tokio::test(flavor = "multi_thread")]
async fn an_upload_is_cancelled_with_its_caller() {
    let (_deployment, vms) = backend::start(bin(), 2, &json!({})).await;
    for number in 0..4 {
        for pair in &vms {
            let key = format!("upload-{number}-{}", pair.name);
            let mut socket = TcpStream::connect(pair.caller()).await.unwrap();
            let fields = "content-length: 1000000\r\nsequoiayoke-deadline-ms: 60000";
            let head = format!("POST /s/desk/{key} HTTP/1.1\r\nhost: desk\r\n{fields}\r\n\r\n");
            socket.write_all(head.as_bytes()).await.unwrap();
            socket.write_all(&[b'x'; 500_000]).await.unwrap();
            wait_any(&vms, &format!("started {key}")).await;
            drop(socket);
            wait_any(&vms, &format!("cancelled {key}")).await;
        }
    }
}

/// Guards against an answer that holds its slot because its caller does not read it.
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_is_not_read_is_cancelled() {
    let (_deployment, vms) = backend::start(bin(), 2, &json!({})).await;
    let mut sockets = Vec::new();
    for pair in &vms {
        let key = format!("endless-{}", pair.name);
        let socket = request(pair.caller(), &key).await;
        wait_any(&vms, &format!("started {key}")).await;
        sockets.push((socket, key));
    }
    for (_socket, key) in &sockets {
        wait_any(&vms, &format!("cancelled {key}")).await;
    }
}

/// Sends a request whose deadline is later than the end of the test's patience.
async fn request(address: &str, key: &str) -> TcpStream {
    let mut socket = TcpStream::connect(address).await.unwrap();
    let deadline = "sequoiayoke-deadline-ms: 60000";
    let head = format!("GET /s/desk/{key} HTTP/1.1\r\nhost: desk\r\n{deadline}\r\n\r\n");
    socket.write_all(head.as_bytes()).await.unwrap();
    socket
}
