//! I4: "not run" means that the request truly did not run.
//!
//! Each request id is sent once. Whatever happens on its way, an id that its
//! caller was told is not run must not show up in the log of any stand-in, also
//! later. The stand-ins check no fencing, so that they run whatever reaches them.

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

/// One id, and what its caller was told; `None` if the connection ended.
type Sent = (String, Option<Answer>);

/// Sends `count` writes with an id each to the nodes in turn.
async fn burst(
    world: &ExclusiveDeployment,
    entries: &[usize],
    count: usize,
    deadline: Duration,
) -> Vec<JoinHandle<Sent>> {
    let mut ids = Vec::new();
    for number in 0..count {
        let address = world.vms[entries[number % entries.len()]].caller();
        let id = caller::request_id(world.http(), address, SERVICE, KEY).await;
        ids.push((address.to_owned(), id.unwrap()));
    }
    let sent = ids.into_iter().map(|(address, id)| {
        let http = world.http().clone();
        tokio::spawn(async move {
            let sent = support::post(&http, &address, KEY, Some(&id), deadline).await;
            (id, sent.ok())
        })
    });
    sent.collect()
}

async fn finish(sent: Vec<JoinHandle<Sent>>) -> Vec<Sent> {
    let mut all = Vec::new();
    for one in sent {
        all.push(one.await.unwrap());
    }
    all
}

/// Compares what callers were told with what ran; returns the number of each outcome.
fn compare(world: &ExclusiveDeployment, sent: &[Sent]) -> BTreeMap<String, usize> {
    let counts = support::count_executions(&world.executions());
    let mut tally = BTreeMap::new();
    for (id, answer) in sent {
        let ran = counts.get(id).copied().unwrap_or(0);
        assert!(ran <= 1, "{id} ran {ran} times: {answer:?}");
        let told = answer.as_ref().map_or("", |answer| answer.outcome.as_str());
        match told {
            "answered" => assert_eq!(ran, 1, "{id}: {answer:?}"),
            "not-run" => assert_eq!(ran, 0, "{id}: {answer:?}"),
            _ => {}
        }
        let reason = answer.as_ref().map_or("", |answer| answer.reason.as_str());
        *tally.entry(format!("{told} {reason}")).or_default() += 1;
    }
    println!("{tally:?}");
    tally
}

/// Compares now and again after everything that was under way has ended.
async fn check(
    world: &ExclusiveDeployment,
    sent: Vec<JoinHandle<Sent>>,
) -> BTreeMap<String, usize> {
    let sent = finish(sent).await;
    compare(world, &sent);
    for pair in &world.vms {
        // A stand-in that was killed runs nothing any more.
        let load = fault::load(world.http(), pair).await;
        let killed = matches!(&load, Err(Error::Http(error)) if error.is_connect());
        if !killed {
            let idle = |running, queued| running + queued == 0;
            fault::wait_load(world.http(), pair, idle).await.unwrap();
        }
    }
    compare(world, &sent)
}

fn total(tally: &BTreeMap<String, usize>, outcome: &str) -> usize {
    let found = tally.iter().filter(|(told, _)| told.starts_with(outcome));
    found.map(|(_, count)| count).sum()
}

/// Returns the owner's number, its epoch and the number of another VM.
async fn roles(world: &ExclusiveDeployment) -> (usize, u64, usize) {
    // The control plane shows an owner before its backend server has taken the grant; a
    // fault in between would keep every request waiting at the node.
    let any = world.vms[0].caller().to_owned();
    support::wait_served_slowly_after(world, &any, KEY, 0).await;
    let (owner, epoch) = world.find_owner(SERVICE, KEY).await.unwrap();
    (owner, epoch, support::other_vm(world, &[owner]))
}

async fn wait_running(world: &ExclusiveDeployment, index: usize, count: u64) {
    let busy = move |running, _| running >= count;
    fault::wait_load(world.http(), &world.vms[index], busy)
        .await
        .unwrap();
}

async fn set(world: &ExclusiveDeployment, index: usize, name: &str, fields: serde_json::Value) {
    fault::set(world.http(), &world.vms[index], name, &fields)
        .await
        .unwrap();
}

/// Guards against "not run" for what the lost node had dispatched, or still dispatches.
#[tokio::test(flavor = "multi_thread")]
async fn requests_of_a_killed_node() {
    let mut world = support::start(2, 2, 200, false).await;
    let (owner, epoch, entry) = roles(&world).await;
    // The deadline of some passes before the key has a next owner.
    let short = Duration::from_millis(600);
    let mut sent = burst(&world, &[entry], 6, short).await;
    sent.extend(burst(&world, &[entry, entry, owner], 12, DEADLINE).await);
    wait_running(&world, owner, 1).await;
    world.vms[owner].node.kill();
    let address = world.vms[entry].caller().to_owned();
    support::wait_served_slowly_after(&world, &address, KEY, epoch).await;
    let tally = check(&world, sent).await;
    assert!(total(&tally, "unknown") > 0, "{tally:?}");
}

/// Guards against "not run" for what a backend server had started when it was lost.
#[tokio::test(flavor = "multi_thread")]
async fn requests_of_a_killed_backend_server() {
    let mut world = support::start(2, 2, 200, false).await;
    let (owner, epoch, entry) = roles(&world).await;
    let sent = burst(&world, &[entry, owner], 12, Duration::from_secs(2)).await;
    wait_running(&world, owner, 1).await;
    world.vms[owner].standin.kill();
    let tally = check(&world, sent).await;
    assert!(total(&tally, "unknown") > 0, "{tally:?}");
    assert!(total(&tally, "not-run") > 0, "{tally:?}");
    let address = world.vms[entry].caller().to_owned();
    support::wait_served_slowly_after(&world, &address, KEY, epoch).await;
}

/// Guards against "not run" for connections that break after the request was sent.
#[tokio::test(flavor = "multi_thread")]
async fn requests_whose_connection_is_reset() {
    let world = support::start(2, 8, 20, false).await;
    let (owner, _, entry) = roles(&world).await;
    for at in ["accept", "request", "answer"] {
        set(&world, owner, "reset", json!({ "count": 3, "at": at })).await;
        // Connections are kept, so one has to break before another is accepted.
        set(
            &world,
            owner,
            "reset",
            json!({ "count": 2, "at": "request" }),
        )
        .await;
        let sent = burst(&world, &[entry, owner], 16, DEADLINE).await;
        let tally = check(&world, sent).await;
        assert!(total(&tally, "unknown") > 0, "{at}: {tally:?}");
        set(&world, owner, "clear", json!({})).await;
    }
}

/// Guards against "not run" for a refusal that was no refusal, and the other way round.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_the_backend_server_refuses() {
    let world = support::start(2, 4, 20, false).await;
    let (owner, _, entry) = roles(&world).await;
    for reason in ["fencing", "draining", "overload"] {
        let sent = burst(&world, &[entry, owner], 16, Duration::from_secs(1)).await;
        wait_running(&world, owner, 1).await;
        set(&world, owner, "refuse", json!({ "reason": reason })).await;
        let refused = burst(&world, &[entry, owner], 8, Duration::from_millis(500)).await;
        let tally = check(&world, refused).await;
        let warnings = world.warnings();
        assert_eq!(total(&tally, "not-run"), 8, "{tally:?} {warnings:?}");
        check(&world, sent).await;
        set(&world, owner, "clear", json!({})).await;
    }
}

/// Guards against "not run" for what was running at its deadline, and against runs of
/// what was given up in the queue.
#[tokio::test(flavor = "multi_thread")]
async fn requests_whose_deadline_passes() {
    let world = support::start(2, 2, 150, false).await;
    let (owner, _, entry) = roles(&world).await;
    let (mut begun, mut waited) = (0, 0);
    for _ in 0..3 {
        let sent = burst(&world, &[entry, owner], 12, Duration::from_millis(100)).await;
        let tally = check(&world, sent).await;
        // At its deadline the backend server answers itself, or the node gives up first.
        begun += total(&tally, "unknown") + total(&tally, "answered");
        waited += total(&tally, "not-run");
    }
    assert!(begun > 0 && waited > 0, "{begun} begun, {waited} waited");
}

/// Guards against "not run" for requests that a frozen backend server runs later.
#[tokio::test(flavor = "multi_thread")]
async fn requests_of_a_paused_backend_server() {
    let world = support::start(2, 4, 5, false).await;
    let (owner, _, entry) = roles(&world).await;
    // After timeouts only a probe is sent now and then, so not each round has one.
    let mut unknown = 0;
    for _ in 0..3 {
        world.vms[owner].standin.pause();
        let sent = burst(&world, &[entry, owner], 12, Duration::from_millis(150)).await;
        let sent = finish(sent).await;
        world.vms[owner].standin.resume();
        let done = sent.into_iter().map(|one| tokio::spawn(async { one }));
        let tally = check(&world, done.collect()).await;
        unknown += total(&tally, "unknown");
    }
    assert!(unknown > 0, "nothing reached the backend server");
}

/// Guards against a dispatch of what waited while the lease ended.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_wait_while_the_lease_ends() {
    let world = support::start(2, 1, 300, false).await;
    let (owner, _, entry) = roles(&world).await;
    let sent = burst(&world, &[entry, owner], 16, DEADLINE).await;
    wait_running(&world, owner, 1).await;
    for replica in world.control.iter().flatten() {
        replica.pause();
    }
    let done = finish(sent).await;
    for replica in world.control.iter().flatten() {
        replica.resume();
    }
    let sent = done.into_iter().map(|one| tokio::spawn(async { one }));
    let tally = check(&world, sent.collect()).await;
    assert!(total(&tally, "not-run") > 0, "{tally:?}");
    let address = world.vms[entry].caller().to_owned();
    support::wait_served_slowly_after(&world, &address, KEY, 0).await;
}

/// Guards against "not run" for an idempotent request of which an earlier sending may have run.
#[tokio::test(flavor = "multi_thread")]
async fn a_read_that_ran_and_was_refused_when_it_was_sent_again() {
    let world = support::start(2, 4, 5, false).await;
    let (owner, _, entry) = roles(&world).await;
    let address = world.vms[entry].caller().to_owned();
    let id = caller::request_id(world.http(), &address, SERVICE, KEY)
        .await
        .unwrap();
    set(&world, owner, "delay", json!({ "ms": 300 })).await;
    let (http, sent) = (world.http().clone(), id.clone());
    let read = tokio::spawn(async move {
        let path = support::path(KEY);
        caller::send(&http, &address, Method::GET, &path, Some(&sent), DEADLINE).await
    });
    wait_running(&world, owner, 1).await;
    set(
        &world,
        owner,
        "reset",
        json!({ "count": 1, "at": "answer" }),
    )
    .await;
    set(&world, owner, "refuse", json!({ "reason": "draining" })).await;
    let answer = read.await.unwrap().unwrap();
    let counts = support::count_executions(&world.executions());
    assert_eq!(counts.get(&id), Some(&1));
    assert_eq!(answer.outcome, "unknown", "{answer:?}");
}

/// Guards against a connection between nodes that breaks because streams are opened at the
/// same time, which turns everything on it into "unknown".
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_are_forwarded_at_the_same_time() {
    let world = support::start(2, 64, 0, false).await;
    let (_, _, entry) = roles(&world).await;
    for _ in 0..40 {
        let sent = burst(&world, &[entry], 48, DEADLINE).await;
        let tally = compare(&world, &finish(sent).await);
        let warnings = world.warnings();
        assert_eq!(total(&tally, "unknown"), 0, "{tally:?} {warnings:?}");
    }
}
