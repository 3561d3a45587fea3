//! Callers see their own scope only, need a known token, and share the slots fairly.

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
/// Time within which a configuration change is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(7);

/// One deployment at a time: leases are short, and the machine is shared.
static TURN: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

fn caller_object(name: &str, token: &str, scope: &str) -> Value {
    let digest = sha2::Sha256::digest(token.as_bytes());
    let digest: String = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    json!({ "caller": { "name": name, "token_sha256": digest, "scope": scope } })
}

/// Starts `servers` VMs that serve a scoped and a common service, and registers callers.
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
    let owned = |status: &Value| {
        let services = status["services"].as_array().unwrap();
        services.len() == 2 && services.iter().all(|one| one["vacant"] == 0)
    };
    let waited = deployment.wait_status("every slice has an owner", owned);
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

/// Makes an HTTP client whose requests carry these headers.
fn client(headers: &[(&'static str, &str)]) -> reqwest::Client {
    let mut all = reqwest::header::HeaderMap::new();
    for (name, value) in headers {
        all.insert(*name, value.parse().unwrap());
    }
    let builder = reqwest::Client::builder().no_proxy().default_headers(all);
    builder.retry(reqwest::retry::never()).build().unwrap()
}

/// Makes the client of a caller.
fn bearer(token: &str) -> reqwest::Client {
    client(&[("authorization", &format!("Bearer {token}"))])
}

async fn send(
    deployment: &Deployment,
    http: &reqwest::Client,
    entry: usize,
    method: Method,
    path: &str,
    id: Option<&str>,
) -> Answer {
    let address = deployment.vms[entry].caller();
    let sent = caller::send(http, address, method, path, id, DEADLINE).await;
    sent.unwrap()
}

/// Waits until reads of this token through a node have a certain status.
async fn wait_status<F>(deployment: &Deployment, entry: usize, token: &str, condition: F)
where
    F: Fn(u16) -> bool,
{
    let (http, start) = (bearer(token), Instant::now());
    let path = format!("/s/{LOTS}/probe");
    loop {
        let answer = send(deployment, &http, entry, Method::GET, &path, None).await;
        if condition(answer.status) {
            return;
        }
        assert!(start.elapsed() < IN_FORCE, "{token} at {entry}: {answer:?}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn assert_unauthorized(answer: &Answer) {
    assert_eq!(answer.status, 401, "{answer:?}");
    assert_eq!(answer.outcome, "not-run", "{answer:?}");
    assert_eq!(answer.reason, "unauthorized", "{answer:?}");
}

/// Guards against a lot of one mill that another mill reads or changes under the same key,
/// also if it names the other scope itself.
#[tokio::test(flavor = "multi_thread")]
async fn scopes_are_separate_through_every_node() {
    let _turn = TURN.lock().await;
    let world = start(3, 12, 0).await;
    let mill_a = bearer("token-a");
    let mill_b = client(&[
        ("authorization", "Bearer token-b"),
        ("sequoiayoke-scope", "mill-a"),
        ("sequoiayoke-key-hash", "0000000000000000"),
        ("sequoiayoke-sender", settings::TOKEN),
    ]);
    let mut local = BTreeSet::new();
    for lot in 0..6 {
        let path = format!("/s/{LOTS}/lot-{lot}?scope=mill-a");
        for entry in 0..3 {
            let wrote = send(&world, &mill_a, entry, Method::POST, &path, None).await;
            assert_eq!(wrote.body["value"]["version"], entry + 1, "{wrote:?}");
            assert_eq!(wrote.body["scope"], "mill-a", "{wrote:?}");
            local.insert(wrote.server == world.vms[entry].server.name);
        }
        for entry in 0..3 {
            let read = send(&world, &mill_b, entry, Method::GET, &path, None).await;
            assert_eq!(read.body["scope"], "mill-b", "{read:?}");
            assert_eq!(read.body["value"]["version"], entry, "{read:?}");
            let wrote = send(&world, &mill_b, entry, Method::POST, &path, None).await;
            assert_eq!(wrote.body["value"]["version"], entry + 1, "{wrote:?}");
        }
        for entry in 0..3 {
            let read = send(&world, &mill_a, entry, Method::GET, &path, None).await;
            assert_eq!(read.body["value"]["version"], 3, "{read:?}");
            assert_eq!(read.body["scope"], "mill-a", "{read:?}");
        }
    }
    assert_eq!(local.len(), 2, "requests were served here and forwarded");
}

/// Guards against the kept answer of one mill that another mill gets with the id.
#[tokio::test(flavor = "multi_thread")]
async fn an_id_of_another_mill_gets_no_answer() {
    let _turn = TURN.lock().await;
    let world = start(3, 12, 0).await;
    let (mill_a, mill_b) = (bearer("token-a"), bearer("token-b"));
    for lot in 0..12 {
        let (key, entry) = (format!("lot-{lot}"), lot % 3);
        let path = format!("/s/{LOTS}/{key}");
        let address = world.vms[entry].caller();
        let id = caller::request_id(&mill_a, address, LOTS, &key).await;
        let id = id.unwrap();
        // An id that was not used yet is as little mill B's as one with an answer.
        for used in [false, true] {
            for entry in 0..3 {
                let stolen = send(&world, &mill_b, entry, Method::POST, &path, Some(&id)).await;
                assert_eq!(stolen.reason, "bad-request", "used: {used}, {stolen:?}");
                assert_eq!(stolen.outcome, "not-run", "{stolen:?}");
            }
            let first = send(&world, &mill_a, entry, Method::POST, &path, Some(&id)).await;
            assert_eq!(first.outcome, "answered", "{first:?}");
            assert_eq!(first.replayed, used, "{first:?}");
        }
        let read = send(&world, &mill_b, entry, Method::GET, &path, None).await;
        assert_eq!(read.body["value"]["version"], 0, "{read:?}");
    }
}

/// Guards against requests that run without a known token or, in a scoped service, a scope.
#[tokio::test(flavor = "multi_thread")]
async fn callers_without_a_right_are_refused() {
    let _turn = TURN.lock().await;
    let world = start(2, 12, 0).await;
    let strangers = [
        client(&[]),
        bearer("token-c"),
        bearer(""),
        client(&[("authorization", "Basic token-a")]),
        client(&[("authorization", "token-a")]),
        // The digest that the ticket shows is no token.
        bearer(&format!("{:x}", sha2::Sha256::digest(b"token-a"))),
    ];
    let clerk = bearer("token-clerk");
    for entry in 0..2 {
        for method in [Method::GET, Method::POST] {
            for key in 0..4 {
                let refused = |service| format!("/s/{service}/refused-{key}");
                for http in &strangers {
                    for path in [refused(LOTS), refused(BOARD)] {
                        let method = method.clone();
                        let answer = send(&world, http, entry, method, &path, None).await;
                        assert_unauthorized(&answer);
                    }
                }
                let (path, method) = (refused(LOTS), method.clone());
                let answer = send(&world, &clerk, entry, method, &path, None).await;
                assert_unauthorized(&answer);
            }
        }
        let path = format!("/v1/request-ids/{LOTS}/refused-0");
        for http in strangers.iter().chain([&clerk]) {
            let answer = send(&world, http, entry, Method::POST, &path, None).await;
            assert_unauthorized(&answer);
        }
        let path = format!("/s/{BOARD}/allowed");
        let answer = send(&world, &clerk, entry, Method::POST, &path, None).await;
        assert_eq!(answer.outcome, "answered", "{answer:?}");
        assert_eq!(answer.body["scope"], "", "{answer:?}");
    }
    let ran = world.executions();
    let refused: Vec<_> = ran.iter().filter(|one| one.key != "allowed").collect();
    // Probes of `start` are the only other requests.
    assert!(refused.iter().all(|one| one.key == "probe"), "{refused:?}");
}

/// Guards against a token that a node never learns of, or one that a node goes on accepting.
#[tokio::test(flavor = "multi_thread")]
async fn a_changed_token_is_in_force_everywhere_in_time() {
    let _turn = TURN.lock().await;
    let world = start(3, 12, 0).await;
    for (number, round) in (2..).zip(0..4) {
        let (old, new) = (format!("token-{round}"), format!("token-{}", round + 1));
        let changed = [caller_object("mill-c", &new, "mill-c")];
        let start = Instant::now();
        submit(&world, number, &changed).await;
        for entry in 0..3 {
            wait_status(&world, entry, &new, |status| status == 200).await;
            wait_status(&world, entry, &old, |status| status == 401).await;
        }
        let took = start.elapsed();
        println!("ticket {number} in force after {took:?}");
        assert!(took < IN_FORCE, "ticket {number}: {took:?}");
    }
}

/// Guards against one caller whose requests fill every slot and queue for the others, at the
/// owner and at a node that forwards.
#[tokio::test(flavor = "multi_thread")]
async fn a_hot_caller_does_not_starve_status_reads() {
    const READS: usize = 100;
    const HOT: usize = 400;
    let _turn = TURN.lock().await;
    let world = start(2, 4, 20).await;
    let stop = Arc::new(AtomicBool::new(false));
    let answered = Arc::new(AtomicUsize::new(0));
    let hot: Vec<_> = (0..HOT)
        .map(|number| {
            let (http, stop) = (bearer("token-a"), Arc::clone(&stop));
            let answered = Arc::clone(&answered);
            let address = world.vms[number % 2].caller().to_owned();
            let path = format!("/s/{LOTS}/hot-{}", number % 8);
            tokio::spawn(async move {
                while !stop.load(Ordering::Relaxed) {
                    let sent =
                        caller::send(&http, &address, Method::GET, &path, None, DEADLINE).await;
                    match sent {
                        Ok(answer) if answer.outcome == "answered" => {
                            answered.fetch_add(1, Ordering::Relaxed);
                        }
                        // A refused caller pauses before it tries again.
                        _ => tokio::time::sleep(Duration::from_millis(20)).await,
                    }
                }
            })
        })
        .collect();
    let start = Instant::now();
    while answered.load(Ordering::Relaxed) < HOT {
        assert!(start.elapsed() < support::MAX_WAIT, "no load came about");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let (mill_b, mut late, mut slowest) = (bearer("token-b"), Vec::new(), Duration::ZERO);
    let limit = Duration::from_secs(1);
    for number in 0..READS {
        let address = world.vms[number % 2].caller();
        let path = format!("/s/{LOTS}/quiet-{}", number % 8);
        let start = Instant::now();
        let sent = caller::send(&mill_b, address, Method::GET, &path, None, limit).await;
        let took = start.elapsed();
        slowest = slowest.max(took);
        match sent {
            Ok(answer) if answer.outcome == "answered" && took <= limit => {}
            other => late.push((number, took, other)),
        }
    }
    stop.store(true, Ordering::Relaxed);
    for one in hot {
        one.await.unwrap();
    }
    println!(
        "slowest read {slowest:?}; {} hot answers",
        answered.load(Ordering::Relaxed)
    );
    assert!(late.is_empty(), "{} of {READS}: {late:?}", late.len());
}
