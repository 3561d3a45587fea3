//! Invariant I4: "not run" means that the request did not run and will not run.
//!
//! Each request id is sent once. An id that was answered as not run must not appear in the log of
//! any stand-in, also not later. The stand-ins do not check fencing, so that they run every request
//! that reaches them.

#![allow(clippy::unwrap_used)]

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use reqwest::Method;
use sequoiayoke_harness::caller::{self, Answer};
use sequoiayoke_harness::{Error, fault};
use serde_json::json;
use support::{DEADLINE, ExclusiveDeployment, SERVICE};
use tokio::task::JoinHandle;

const KEY: &str = "order-8";

/// A request id and the answer to its request; `None` if there is no complete answer.
type Exchange = (String, Option<Answer>);

/// Spawns `count` writes, each with its own request id, to the nodes `entries` in turn.
async fn spawn_writes(
    deployment: &ExclusiveDeployment,
    entries: &[usize],
    count: usize,
    deadline: Duration,
) -> Vec<JoinHandle<Exchange>> {
    let mut ids = Vec::new();
    for number in 0..count {
        let address = deployment.vms[entries[number % entries.len()]].caller();
        let id = caller::request_id(deployment.http(), address, SERVICE, KEY).await;
        ids.push((address.to_owned(), id.unwrap()));
    }
    let requests = ids.into_iter().map(|(address, id)| {
        let http = deployment.http().clone();
        tokio::spawn(async move {
            let result = support::post(&http, &address, KEY, Some(&id), deadline).await;
            (id, result.ok())
        })
    });
    requests.collect()
}

async fn join_exchanges(requests: Vec<JoinHandle<Exchange>>) -> Vec<Exchange> {
    let mut exchanges = Vec::new();
    for request in requests {
        exchanges.push(request.await.unwrap());
    }
    exchanges
}

/// Asserts that the outcomes of requests agree with the execution logs.
///
/// Returns the number of requests for each outcome with its reason.
fn check_outcomes(
    deployment: &ExclusiveDeployment,
    exchanges: &[Exchange],
) -> BTreeMap<String, usize> {
    let counts = support::count_executions(&deployment.executions());
    let mut tally = BTreeMap::new();
    for (id, answer) in exchanges {
        let executions = counts.get(id).copied().unwrap_or(0);
        assert!(executions <= 1, "{id} ran {executions} times: {answer:?}");
        let outcome = answer.as_ref().map_or("", |answer| answer.outcome.as_str());
        match outcome {
            "answered" => assert_eq!(executions, 1, "{id}: {answer:?}"),
            "not-run" => assert_eq!(executions, 0, "{id}: {answer:?}"),
            _ => {}
        }
        let reason = answer.as_ref().map_or("", |answer| answer.reason.as_str());
        *tally.entry(format!("{outcome} {reason}")).or_default() += 1;
    }
    println!("{tally:?}");
    tally
}

/// Checks the outcomes once they are known, and again after all executions have ended.
async fn check_now_and_later(
    deployment: &ExclusiveDeployment,
    requests: Vec<JoinHandle<Exchange>>,
) -> BTreeMap<String, usize> {
    let exchanges = join_exchanges(requests).await;
    check_outcomes(deployment, &exchanges);
    for vm in &deployment.vms {
        // A stand-in that was killed runs nothing.
        let load = fault::load(deployment.http(), vm).await;
        let is_killed = matches!(&load, Err(Error::Http(error)) if error.is_connect());
        if !is_killed {
            let is_idle = |running, queued| running + queued == 0;
            fault::wait_load(deployment.http(), vm, is_idle)
                .await
                .unwrap();
        }
    }
    check_outcomes(deployment, &exchanges)
}

/// Returns the number of requests with an outcome, whatever the reason.
fn total(tally: &BTreeMap<String, usize>, outcome: &str) -> usize {
    let matching = tally.iter().filter(|(label, _)| label.starts_with(outcome));
    matching.map(|(_, count)| count).sum()
}

/// Returns the index of the owner's VM, the epoch of its grant and the index of another VM.
async fn find_roles(deployment: &ExclusiveDeployment) -> (usize, u64, usize) {
    // The control plane lists an owner before its backend server has accepted the grant; a fault
    // in between would keep every request waiting at the node.
    let any_node = deployment.vms[0].caller().to_owned();
    support::wait_served_slowly_after(deployment, &any_node, KEY, 0).await;
    let (owner, epoch) = deployment.find_owner(SERVICE, KEY).await.unwrap();
    (owner, epoch, support::other_vm(deployment, &[owner]))
}

/// Waits until VM `index` runs at least `count` requests.
async fn wait_running(deployment: &ExclusiveDeployment, index: usize, count: u64) {
    let is_busy = move |running, _| running >= count;
    fault::wait_load(deployment.http(), &deployment.vms[index], is_busy)
        .await
        .unwrap();
}

/// Sets a fault of the stand-in of VM `index`.
async fn set_fault(
    deployment: &ExclusiveDeployment,
    index: usize,
    name: &str,
    fields: serde_json::Value,
) {
    fault::set(deployment.http(), &deployment.vms[index], name, &fields)
        .await
        .unwrap();
}

/// Guards against "not run" for requests that a killed node had dispatched or was dispatching.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_node_leaves_no_false_not_run() {
    let mut deployment = support::start(2, 2, 200, false).await;
    let (owner, epoch, entry) = find_roles(&deployment).await;
    // The deadline of these passes before the key has a new owner.
    let short = Duration::from_millis(600);
    let mut requests = spawn_writes(&deployment, &[entry], 6, short).await;
    requests.extend(spawn_writes(&deployment, &[entry, entry, owner], 12, DEADLINE).await);
    wait_running(&deployment, owner, 1).await;
    deployment.vms[owner].node.kill();
    let address = deployment.vms[entry].caller().to_owned();
    support::wait_served_slowly_after(&deployment, &address, KEY, epoch).await;
    let tally = check_now_and_later(&deployment, requests).await;
    assert!(total(&tally, "unknown") > 0, "{tally:?}");
}

/// Guards against "not run" for requests that a killed backend server had started.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_backend_server_leaves_no_false_not_run() {
    let mut deployment = support::start(2, 2, 200, false).await;
    let (owner, epoch, entry) = find_roles(&deployment).await;
    let requests = spawn_writes(&deployment, &[entry, owner], 12, Duration::from_secs(2)).await;
    wait_running(&deployment, owner, 1).await;
    deployment.vms[owner].standin.kill();
    let tally = check_now_and_later(&deployment, requests).await;
    assert!(total(&tally, "unknown") > 0, "{tally:?}");
    assert!(total(&tally, "not-run") > 0, "{tally:?}");
    let address = deployment.vms[entry].caller().to_owned();
    support::wait_served_slowly_after(&deployment, &address, KEY, epoch).await;
}

/// Guards against "not run" for requests whose connection is reset after they were sent.
#[tokio::test(flavor = "multi_thread")]
async fn a_reset_connection_leaves_no_false_not_run() {
    let deployment = support::start(2, 8, 20, false).await;
    let (owner, _, entry) = find_roles(&deployment).await;
    for at in ["accept", "request", "answer"] {
        set_fault(&deployment, owner, "reset", json!({ "count": 3, "at": at })).await;
        // Connections are reused, so one has to be reset before another is accepted.
        set_fault(
            &deployment,
            owner,
            "reset",
            json!({ "count": 2, "at": "request" }),
        )
        .await;
        let requests = spawn_writes(&deployment, &[entry, owner], 16, DEADLINE).await;
        let tally = check_now_and_later(&deployment, requests).await;
        assert!(total(&tally, "unknown") > 0, "{at}: {tally:?}");
        set_fault(&deployment, owner, "clear", json!({})).await;
    }
}

/// Guards against "not run" for a request that the backend server has run, and against another
/// outcome for one that it refused.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_of_the_backend_server_is_not_run() {
    let deployment = support::start(2, 4, 20, false).await;
    let (owner, _, entry) = find_roles(&deployment).await;
    for reason in ["fencing", "draining", "overload"] {
        let earlier = spawn_writes(&deployment, &[entry, owner], 16, Duration::from_secs(1)).await;
        wait_running(&deployment, owner, 1).await;
        set_fault(&deployment, owner, "refuse", json!({ "reason": reason })).await;
        let refused =
            spawn_writes(&deployment, &[entry, owner], 8, Duration::from_millis(500)).await;
        let tally = check_now_and_later(&deployment, refused).await;
        let warnings = deployment.warnings();
        assert_eq!(total(&tally, "not-run"), 8, "{tally:?} {warnings:?}");
        check_now_and_later(&deployment, earlier).await;
        set_fault(&deployment, owner, "clear", json!({})).await;
    }
}

/// Guards against "not run" for requests that were running at their deadline, and against running
/// requests that were abandoned in the queue.
#[tokio::test(flavor = "multi_thread")]
async fn a_passed_deadline_leaves_no_false_not_run() {
    let deployment = support::start(2, 2, 150, false).await;
    let (owner, _, entry) = find_roles(&deployment).await;
    let (mut started, mut unstarted) = (0, 0);
    for _ in 0..3 {
        let requests =
            spawn_writes(&deployment, &[entry, owner], 12, Duration::from_millis(100)).await;
        let tally = check_now_and_later(&deployment, requests).await;
        // At the deadline the backend server answers itself, unless the node stops waiting first.
        started += total(&tally, "unknown") + total(&tally, "answered");
        unstarted += total(&tally, "not-run");
    }
    assert!(
        started > 0 && unstarted > 0,
        "{started} started, {unstarted} not run"
    );
}

/// Guards against "not run" for requests that a paused backend server runs when it is resumed.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_backend_server_leaves_no_false_not_run() {
    let deployment = support::start(2, 4, 5, false).await;
    let (owner, _, entry) = find_roles(&deployment).await;
    // After timeouts only an occasional probe is sent, so some rounds may have no unknown outcome.
    let mut unknown = 0;
    for _ in 0..3 {
        deployment.vms[owner].standin.pause();
        let requests =
            spawn_writes(&deployment, &[entry, owner], 12, Duration::from_millis(150)).await;
        let exchanges = join_exchanges(requests).await;
        deployment.vms[owner].standin.resume();
        let finished = exchanges
            .into_iter()
            .map(|exchange| tokio::spawn(async { exchange }));
        let tally = check_now_and_later(&deployment, finished.collect()).await;
        unknown += total(&tally, "unknown");
    }
    assert!(unknown > 0, "no request reached the backend server");
}

/// Guards against dispatching requests that waited while the lease expired.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_wait_while_the_lease_expires_do_not_run() {
    let deployment = support::start(2, 1, 300, false).await;
    let (owner, _, entry) = find_roles(&deployment).await;
    let requests = spawn_writes(&deployment, &[entry, owner], 16, DEADLINE).await;
    wait_running(&deployment, owner, 1).await;
    for replica in deployment.control.iter().flatten() {
        replica.pause();
    }
    let exchanges = join_exchanges(requests).await;
    for replica in deployment.control.iter().flatten() {
        replica.resume();
    }
    let finished = exchanges
        .into_iter()
        .map(|exchange| tokio::spawn(async { exchange }));
    let tally = check_now_and_later(&deployment, finished.collect()).await;
    assert!(total(&tally, "not-run") > 0, "{tally:?}");
    let address = deployment.vms[entry].caller().to_owned();
    support::wait_served_slowly_after(&deployment, &address, KEY, 0).await;
}

/// Guards against "not run" for an idempotent request whose retry was refused although the first
/// attempt may have run.
#[tokio::test(flavor = "multi_thread")]
async fn a_read_that_ran_and_whose_retry_was_refused_is_unknown() {
    let deployment = support::start(2, 4, 5, false).await;
    let (owner, _, entry) = find_roles(&deployment).await;
    let address = deployment.vms[entry].caller().to_owned();
    let id = caller::request_id(deployment.http(), &address, SERVICE, KEY)
        .await
        .unwrap();
    set_fault(&deployment, owner, "delay", json!({ "ms": 300 })).await;
    let (http, request_id) = (deployment.http().clone(), id.clone());
    let read = tokio::spawn(async move {
        let path = support::path(KEY);
        caller::send(
            &http,
            &address,
            Method::GET,
            &path,
            Some(&request_id),
            DEADLINE,
        )
        .await
    });
    wait_running(&deployment, owner, 1).await;
    set_fault(
        &deployment,
        owner,
        "reset",
        json!({ "count": 1, "at": "answer" }),
    )
    .await;
    set_fault(
        &deployment,
        owner,
        "refuse",
        json!({ "reason": "draining" }),
    )
    .await;
    let answer = read.await.unwrap().unwrap();
    let counts = support::count_executions(&deployment.executions());
    assert_eq!(counts.get(&id), Some(&1));
    assert_eq!(answer.outcome, "unknown", "{answer:?}");
}

/// Guards against a connection between nodes that fails because streams are opened on it
/// concurrently, which makes the outcome of all its requests "unknown".
#[tokio::test(flavor = "multi_thread")]
async fn concurrently_forwarded_requests_have_no_unknown_outcome() {
    let deployment = support::start(2, 64, 0, false).await;
    let (_, _, entry) = find_roles(&deployment).await;
    for _ in 0..40 {
        let requests = spawn_writes(&deployment, &[entry], 48, DEADLINE).await;
        let tally = check_outcomes(&deployment, &join_exchanges(requests).await);
        let warnings = deployment.warnings();
        assert_eq!(total(&tally, "unknown"), 0, "{tally:?} {warnings:?}");
    }
}
