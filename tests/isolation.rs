//! Isolation of callers: each sees only its own scope and needs a known token, and the slots are
//! shared fairly.

#![allow(clippy::unwrap_used)]

mod support;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use reqwest::Method;
use sequoiayoke_harness::caller::{self, Answer};
use sequoiayoke_harness::{Deployment, settings};
use serde_json::{Value, json};
use sha2::Digest as _;
use support::DEADLINE;

const LOTS: &str = "lots";
const BOARD: &str = "board";
/// Longest time until a configuration change is in force everywhere.
const MAX_IN_FORCE_TIME: Duration = Duration::from_secs(7);

/// Lets one deployment run at a time: leases are short, and a loaded machine would let them expire.
static DEPLOYMENT_LOCK: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// Returns the ticket object of a caller.
fn caller_object(name: &str, token: &str, scope: &str) -> Value {
    let digest = sha2::Sha256::digest(token.as_bytes());
    let digest: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    json!({ "caller": { "name": name, "token_sha256": digest, "scope": scope } })
}

/// Starts `servers` VMs that serve a scoped and an unscoped service, and registers callers.
async fn start(servers: usize, slots: u32, delay_ms: u64) -> Deployment {
    let mut spec = settings::Spec::new(3)
        .with_service(LOTS, servers, slots, delay_ms)
        .with_execution_log();
    for server in &mut spec.servers {
        server.services.push(BOARD.to_owned());
    }
    let deployment = Deployment::start(&support::bin(), spec).unwrap();
    deployment.wait_joined().await.unwrap();
    let service = |name, scoped| {
        let methods = ["GET", "HEAD"];
        json!({ "service": { "name": name, "idempotent": methods, "scoped": scoped, "slices": 8 } })
    };
    let objects = [
        service(LOTS, true),
        service(BOARD, false),
        caller_object("mill-a", "token-a", "mill-a"),
        caller_object("mill-b", "token-b", "mill-b"),
        caller_object("clerk", "token-clerk", ""),
    ];
    submit(&deployment, 1, &objects).await;
    let has_no_vacant_slice = |status: &Value| {
        let services = status["services"].as_array().unwrap();
        services.len() == 2 && services.iter().all(|service| service["vacant"] == 0)
    };
    let waited = deployment.wait_status("every slice has an owner", has_no_vacant_slice);
    waited.await.unwrap();
    for entry in 0..servers {
        wait_status(&deployment, entry, "token-a", |status| status == 200).await;
    }
    deployment
}

async fn submit(deployment: &Deployment, number: u64, objects: &[Value]) {
    let ticket = json!({ "number": number, "objects": objects });
    let (status, body) = deployment.submit(&ticket).await.unwrap();
    assert_eq!(status, 200, "{body}");
}

/// Creates an HTTP client whose requests carry these headers.
fn client(headers: &[(&'static str, &str)]) -> reqwest::Client {
    let mut header_map = reqwest::header::HeaderMap::new();
    for (name, value) in headers {
        header_map.insert(*name, value.parse().unwrap());
    }
    let builder = reqwest::Client::builder()
        .no_proxy()
        .default_headers(header_map);
    builder.retry(reqwest::retry::never()).build().unwrap()
}

/// Creates the HTTP client of a caller with a bearer token.
fn bearer_client(token: &str) -> reqwest::Client {
    client(&[("authorization", &format!("Bearer {token}"))])
}

/// Sends a request through the node of VM `entry`.
async fn send(
    deployment: &Deployment,
    http: &reqwest::Client,
    entry: usize,
    method: Method,
    path: &str,
    id: Option<&str>,
) -> Answer {
    let address = deployment.vms[entry].caller();
    let result = caller::send(http, address, method, path, id, DEADLINE).await;
    result.unwrap()
}

/// Waits until the status of reads with a token through the node of VM `entry` meets `condition`.
async fn wait_status<F>(deployment: &Deployment, entry: usize, token: &str, condition: F)
where
    F: Fn(u16) -> bool,
{
    let (http, start) = (bearer_client(token), Instant::now());
    let path = format!("/s/{LOTS}/probe");
    loop {
        let answer = send(deployment, &http, entry, Method::GET, &path, None).await;
        if condition(answer.status) {
            return;
        }
        assert!(
            start.elapsed() < MAX_IN_FORCE_TIME,
            "{token} at node {entry}: {answer:?}"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn assert_unauthorized(answer: &Answer) {
    assert_eq!(answer.status, 401, "{answer:?}");
    assert_eq!(answer.outcome, "not-run", "{answer:?}");
    assert_eq!(answer.reason, "unauthorized", "{answer:?}");
}

/// Guards against a mill that reads or changes the lot of another mill under the same key, also if
/// its request claims the scope of that mill.
#[tokio::test(flavor = "multi_thread")]
async fn scopes_are_separate_through_every_node() {
    let _guard = DEPLOYMENT_LOCK.lock().await;
    let deployment = start(3, 12, 0).await;
    let mill_a = bearer_client("token-a");
    let mill_b = client(&[
        ("authorization", "Bearer token-b"),
        ("sequoiayoke-scope", "mill-a"),
        ("sequoiayoke-key-hash", "0000000000000000"),
        ("sequoiayoke-sender", settings::TOKEN),
    ]);
    let mut served_locally = BTreeSet::new();
    for lot in 0..6 {
        let path = format!("/s/{LOTS}/lot-{lot}?scope=mill-a");
        for entry in 0..3 {
            let write = send(&deployment, &mill_a, entry, Method::POST, &path, None).await;
            assert_eq!(write.body["value"]["version"], entry + 1, "{write:?}");
            assert_eq!(write.body["scope"], "mill-a", "{write:?}");
            served_locally.insert(write.server == deployment.vms[entry].server.name);
        }
        for entry in 0..3 {
            let read = send(&deployment, &mill_b, entry, Method::GET, &path, None).await;
            assert_eq!(read.body["scope"], "mill-b", "{read:?}");
            assert_eq!(read.body["value"]["version"], entry, "{read:?}");
            let write = send(&deployment, &mill_b, entry, Method::POST, &path, None).await;
            assert_eq!(write.body["value"]["version"], entry + 1, "{write:?}");
        }
        for entry in 0..3 {
            let read = send(&deployment, &mill_a, entry, Method::GET, &path, None).await;
            assert_eq!(read.body["value"]["version"], 3, "{read:?}");
            assert_eq!(read.body["scope"], "mill-a", "{read:?}");
        }
    }
    assert_eq!(
        served_locally.len(),
        2,
        "not both local and forwarded requests were sent"
    );
}

/// Guards against a mill that gets the stored answer of another mill by its request id.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_id_of_another_mill_gets_no_answer() {
    let _guard = DEPLOYMENT_LOCK.lock().await;
    let deployment = start(3, 12, 0).await;
    let (mill_a, mill_b) = (bearer_client("token-a"), bearer_client("token-b"));
    for lot in 0..12 {
        let (key, entry) = (format!("lot-{lot}"), lot % 3);
        let path = format!("/s/{LOTS}/{key}");
        let address = deployment.vms[entry].caller();
        let id = caller::request_id(&mill_a, address, LOTS, &key).await;
        let id = id.unwrap();
        // Mill B may use the id neither before nor after it has an answer.
        for used in [false, true] {
            for entry in 0..3 {
                let refused =
                    send(&deployment, &mill_b, entry, Method::POST, &path, Some(&id)).await;
                assert_eq!(refused.reason, "bad-request", "used: {used}, {refused:?}");
                assert_eq!(refused.outcome, "not-run", "{refused:?}");
            }
            let first = send(&deployment, &mill_a, entry, Method::POST, &path, Some(&id)).await;
            assert_eq!(first.outcome, "answered", "{first:?}");
            assert_eq!(first.replayed, used, "{first:?}");
        }
        let read = send(&deployment, &mill_b, entry, Method::GET, &path, None).await;
        assert_eq!(read.body["value"]["version"], 0, "{read:?}");
    }
}

/// Guards against requests that run without a known token or, for a scoped service, without a scope.
#[tokio::test(flavor = "multi_thread")]
async fn callers_without_a_known_token_or_scope_are_refused() {
    let _guard = DEPLOYMENT_LOCK.lock().await;
    let deployment = start(2, 12, 0).await;
    let unauthorized = [
        client(&[]),
        bearer_client("token-c"),
        bearer_client(""),
        client(&[("authorization", "Basic token-a")]),
        client(&[("authorization", "token-a")]),
        // The digest in the ticket is not a token.
        bearer_client(&format!("{:x}", sha2::Sha256::digest(b"token-a"))),
    ];
    let clerk = bearer_client("token-clerk");
    for entry in 0..2 {
        for method in [Method::GET, Method::POST] {
            for key in 0..4 {
                let refused_path = |service| format!("/s/{service}/refused-{key}");
                for http in &unauthorized {
                    for path in [refused_path(LOTS), refused_path(BOARD)] {
                        let method = method.clone();
                        let answer = send(&deployment, http, entry, method, &path, None).await;
                        assert_unauthorized(&answer);
                    }
                }
                let (path, method) = (refused_path(LOTS), method.clone());
                let answer = send(&deployment, &clerk, entry, method, &path, None).await;
                assert_unauthorized(&answer);
            }
        }
        let path = format!("/v1/request-ids/{LOTS}/refused-0");
        for http in unauthorized.iter().chain([&clerk]) {
            let answer = send(&deployment, http, entry, Method::POST, &path, None).await;
            assert_unauthorized(&answer);
        }
        let path = format!("/s/{BOARD}/allowed");
        let answer = send(&deployment, &clerk, entry, Method::POST, &path, None).await;
        assert_eq!(answer.outcome, "answered", "{answer:?}");
        assert_eq!(answer.body["scope"], "", "{answer:?}");
    }
    let executions = deployment.executions();
    let others: Vec<_> = executions
        .iter()
        .filter(|execution| execution.key != "allowed")
        .collect();
    // The probes of `start` are the only other requests.
    assert!(
        others.iter().all(|execution| execution.key == "probe"),
        "{others:?}"
    );
}

/// Guards against a node that never accepts a new token, or that still accepts a replaced one.
#[tokio::test(flavor = "multi_thread")]
async fn a_changed_token_is_in_force_everywhere_in_time() {
    let _guard = DEPLOYMENT_LOCK.lock().await;
    let deployment = start(3, 12, 0).await;
    for (number, round) in (2..).zip(0..4) {
        let (old, new) = (format!("token-{round}"), format!("token-{}", round + 1));
        let objects = [caller_object("mill-c", &new, "mill-c")];
        let start = Instant::now();
        submit(&deployment, number, &objects).await;
        for entry in 0..3 {
            wait_status(&deployment, entry, &new, |status| status == 200).await;
            wait_status(&deployment, entry, &old, |status| status == 401).await;
        }
        let elapsed = start.elapsed();
        println!("ticket {number} in force after {elapsed:?}");
        assert!(elapsed < MAX_IN_FORCE_TIME, "ticket {number}: {elapsed:?}");
    }
}

/// Guards against a caller whose requests occupy all slots, so that other callers wait too long at
/// the owner or at a node that forwards.
#[tokio::test(flavor = "multi_thread")]
async fn a_hot_caller_does_not_starve_status_reads() {
    const READ_COUNT: usize = 100;
    const HOT_TASKS: usize = 400;
    let _guard = DEPLOYMENT_LOCK.lock().await;
    let deployment = start(2, 4, 20).await;
    let stop = Arc::new(AtomicBool::new(false));
    let answered = Arc::new(AtomicUsize::new(0));
    let hot_tasks: Vec<_> = (0..HOT_TASKS)
        .map(|number| {
            let (http, stop) = (bearer_client("token-a"), Arc::clone(&stop));
            let answered = Arc::clone(&answered);
            let address = deployment.vms[number % 2].caller().to_owned();
            let path = format!("/s/{LOTS}/hot-{}", number % 8);
            tokio::spawn(async move {
                while !stop.load(Ordering::Relaxed) {
                    let result =
                        caller::send(&http, &address, Method::GET, &path, None, DEADLINE).await;
                    match result {
                        Ok(answer) if answer.outcome == "answered" => {
                            answered.fetch_add(1, Ordering::Relaxed);
                        }
                        // A refused caller waits before it retries.
                        _ => tokio::time::sleep(Duration::from_millis(20)).await,
                    }
                }
            })
        })
        .collect();
    let start = Instant::now();
    while answered.load(Ordering::Relaxed) < HOT_TASKS {
        assert!(
            start.elapsed() < support::MAX_WAIT,
            "the hot caller got too few answers"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let (mill_b, mut late, mut slowest) = (bearer_client("token-b"), Vec::new(), Duration::ZERO);
    let limit = Duration::from_secs(1);
    for number in 0..READ_COUNT {
        let address = deployment.vms[number % 2].caller();
        let path = format!("/s/{LOTS}/quiet-{}", number % 8);
        let start = Instant::now();
        let result = caller::send(&mill_b, address, Method::GET, &path, None, limit).await;
        let elapsed = start.elapsed();
        slowest = slowest.max(elapsed);
        match result {
            Ok(answer) if answer.outcome == "answered" && elapsed <= limit => {}
            unexpected => late.push((number, elapsed, unexpected)),
        }
    }
    stop.store(true, Ordering::Relaxed);
    for task in hot_tasks {
        task.await.unwrap();
    }
    println!(
        "slowest read {slowest:?}; {} hot answers",
        answered.load(Ordering::Relaxed)
    );
    assert!(
        late.is_empty(),
        "{} of {READ_COUNT} reads were late: {late:?}",
        late.len()
    );
}
