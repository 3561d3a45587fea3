//! Invariant I5: a non-idempotent request runs at most once.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use sequoiayoke_harness::caller::{self, Answer};
use sequoiayoke_harness::fault;
use serde_json::json;
use support::{DEADLINE, ExclusiveDeployment, SERVICE};

const KEY: &str = "order-41";

/// Obtains a new request id from the node of VM `entry`.
async fn new_id(deployment: &ExclusiveDeployment, entry: usize) -> String {
    let address = deployment.vms[entry].caller();
    caller::request_id(deployment.http(), address, SERVICE, KEY)
        .await
        .unwrap()
}

/// Sends a write with the request id `id` through the node of VM `entry`.
async fn send(deployment: &ExclusiveDeployment, entry: usize, id: &str) -> Answer {
    let address = deployment.vms[entry].caller();
    support::post(deployment.http(), address, KEY, Some(id), DEADLINE)
        .await
        .unwrap()
}

/// Sends a write in a task; the answer is `None` if there is no complete one.
fn spawn_send(
    deployment: &ExclusiveDeployment,
    entry: usize,
    id: &str,
) -> tokio::task::JoinHandle<Option<Answer>> {
    let (http, id) = (deployment.http().clone(), id.to_owned());
    let address = deployment.vms[entry].caller().to_owned();
    tokio::spawn(async move {
        let result = support::post(&http, &address, KEY, Some(&id), DEADLINE).await;
        result.ok()
    })
}

/// Asserts that no request ran more than once, on whichever servers, and that `id` ran `expected`
/// times.
fn assert_once(deployment: &ExclusiveDeployment, id: &str, expected: usize) {
    let counts = support::count_executions(&deployment.executions());
    let repeated: Vec<_> = counts.iter().filter(|(_, count)| **count > 1).collect();
    assert!(
        repeated.is_empty(),
        "requests ran more than once: {repeated:?}"
    );
    assert_eq!(counts.get(id).copied().unwrap_or(0), expected, "{id}");
}

/// Asserts that an answer is the stored answer `first`.
fn assert_replay(answer: &Answer, first: &Answer) {
    assert_eq!(answer.outcome, "answered", "{answer:?}");
    assert!(answer.replayed, "{answer:?}");
    assert_eq!(answer.body, first.body);
}

fn assert_unknown(answer: &Answer) {
    assert_eq!(answer.outcome, "unknown", "{answer:?}");
}

/// Guards against a request that runs twice when concurrent retries arrive through all nodes.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_retries_run_once() {
    let deployment = support::start(3, 12, 40, true).await;
    for round in 0..20 {
        let id = new_id(&deployment, round % 3).await;
        let requests: Vec<_> = (0..9)
            .map(|number| spawn_send(&deployment, number % 3, &id))
            .collect();
        let mut answers = Vec::new();
        for request in requests {
            answers.push(request.await.unwrap().unwrap());
        }
        let executed = answers
            .iter()
            .filter(|answer| answer.outcome == "answered" && !answer.replayed);
        assert_eq!(executed.count(), 1, "{answers:?}");
        let first = answers.iter().find(|answer| answer.outcome == "answered");
        let first = first.unwrap().clone();
        for answer in &answers {
            match answer.outcome.as_str() {
                "answered" => assert_eq!(answer.body, first.body),
                _ => assert_eq!(answer.reason, "duplicate-running", "{answer:?}"),
            }
        }
        for entry in 0..3 {
            assert_replay(&send(&deployment, entry, &id).await, &first);
        }
        assert_once(&deployment, &id, 1);
    }
}

/// Guards against a planned move that loses the record of request ids, also of a request that runs
/// during the move.
#[tokio::test(flavor = "multi_thread")]
async fn a_retry_after_a_planned_move_gets_the_first_answer() {
    let deployment = support::start(3, 12, 30, true).await;
    for (number, round) in (2..).zip(0..4) {
        let (owner, epoch) = deployment.find_owner(SERVICE, KEY).await.unwrap();
        let entry = support::other_vm(&deployment, &[owner]);
        let id = new_id(&deployment, entry).await;
        let first = send(&deployment, entry, &id).await;
        assert_eq!(first.outcome, "answered", "{first:?}");
        // Runs while the ticket moves the key.
        let running_id = new_id(&deployment, owner).await;
        let running_request = spawn_send(&deployment, entry, &running_id);
        let target = (owner + 1 + round % 2) % 3;
        let name = deployment.vms[target].server.name.clone();
        support::pin(&deployment, number, KEY, &name).await;
        let new_epoch = support::wait_owner(&deployment, KEY, target).await;
        assert!(new_epoch > epoch);
        let running_answer = running_request.await.unwrap().unwrap();
        for entry in 0..3 {
            assert_replay(&send(&deployment, entry, &id).await, &first);
            let retry = send(&deployment, entry, &running_id).await;
            match running_answer.outcome.as_str() {
                "answered" => assert_replay(&retry, &running_answer),
                _ => assert_ne!(retry.outcome, "", "{retry:?}"),
            }
        }
        assert_once(&deployment, &id, 1);
    }
}

/// Guards against a new owner that runs a request which the lost owner had finished or was running.
#[tokio::test(flavor = "multi_thread")]
async fn a_retry_after_the_loss_of_the_owner_is_unknown() {
    let mut deployment = support::start(3, 12, 150, true).await;
    let (owner, epoch) = deployment.find_owner(SERVICE, KEY).await.unwrap();
    let entry = support::other_vm(&deployment, &[owner]);
    let finished_id = new_id(&deployment, entry).await;
    assert_eq!(
        send(&deployment, entry, &finished_id).await.outcome,
        "answered"
    );
    let running_id = new_id(&deployment, entry).await;
    let lost_request = spawn_send(&deployment, entry, &running_id);
    let is_running = |running, _| running == 1;
    fault::wait_load(deployment.http(), &deployment.vms[owner], is_running)
        .await
        .unwrap();
    deployment.vms[owner].kill();
    assert_unknown(&lost_request.await.unwrap().unwrap());
    let address = deployment.vms[entry].caller().to_owned();
    support::wait_served_slowly_after(&deployment, &address, KEY, epoch).await;
    for node in (0..3).filter(|node| *node != owner) {
        assert_unknown(&send(&deployment, node, &finished_id).await);
        assert_unknown(&send(&deployment, node, &running_id).await);
    }
    assert_once(&deployment, &finished_id, 1);
    assert_once(&deployment, &running_id, 1);
    deployment.restart_vm(owner).unwrap();
    deployment.wait_joined().await.unwrap();
    assert_unknown(&send(&deployment, owner, &finished_id).await);
    assert_once(&deployment, &finished_id, 1);
}

/// Guards against an owner that, when it is resumed, runs requests that were retried through another
/// node during its pause.
#[tokio::test(flavor = "multi_thread")]
async fn a_retry_during_a_pause_of_the_owner_runs_nothing_twice() {
    let deployment = support::start(3, 12, 2, false).await;
    let (owner, epoch) = deployment.find_owner(SERVICE, KEY).await.unwrap();
    let entry = support::other_vm(&deployment, &[owner]);
    let finished_id = new_id(&deployment, entry).await;
    assert_eq!(
        send(&deployment, entry, &finished_id).await.outcome,
        "answered"
    );
    let waiting_ids: Vec<_> = [
        new_id(&deployment, entry).await,
        new_id(&deployment, owner).await,
        new_id(&deployment, entry).await,
    ]
    .into();
    deployment.vms[owner].pause();
    // These requests from callers wait in the sockets of the paused node.
    let requests: Vec<_> = waiting_ids
        .iter()
        .map(|id| spawn_send(&deployment, owner, id))
        .collect();
    let address = deployment.vms[entry].caller().to_owned();
    support::wait_served_after(&deployment, &address, KEY, epoch).await;
    assert_unknown(&send(&deployment, entry, &finished_id).await);
    for id in &waiting_ids {
        assert_unknown(&send(&deployment, entry, id).await);
    }
    deployment.vms[owner].resume();
    for request in requests {
        // The node forwards it to the new owner, which cannot know whether it ran.
        let answer = request.await.unwrap().unwrap();
        assert_ne!(answer.outcome, "answered", "{answer:?}");
    }
    deployment.wait_joined().await.unwrap();
    for node in 0..3 {
        assert_unknown(&send(&deployment, node, &finished_id).await);
    }
    assert_once(&deployment, &finished_id, 1);
    for id in &waiting_ids {
        assert_once(&deployment, id, 0);
    }
}

/// Guards against a restarted node that serves an old epoch with an empty record of request ids.
#[tokio::test(flavor = "multi_thread")]
async fn a_retry_after_a_restart_of_the_node_is_unknown() {
    let mut deployment = support::start(2, 12, 2, false).await;
    // Pinned, so that the key returns to the restarted node.
    let (owner, _) = deployment.find_owner(SERVICE, KEY).await.unwrap();
    let name = deployment.vms[owner].server.name.clone();
    support::pin(&deployment, 2, KEY, &name).await;
    let entry = support::other_vm(&deployment, &[owner]);
    let id = new_id(&deployment, entry).await;
    assert_eq!(send(&deployment, entry, &id).await.outcome, "answered");
    let (_, epoch) = deployment.find_owner(SERVICE, KEY).await.unwrap();
    deployment.restart_node(owner).unwrap();
    let address = deployment.vms[entry].caller().to_owned();
    support::wait_served_after(&deployment, &address, KEY, epoch).await;
    deployment.wait_joined().await.unwrap();
    support::wait_owner(&deployment, KEY, owner).await;
    for node in 0..2 {
        assert_unknown(&send(&deployment, node, &id).await);
    }
    let fresh = new_id(&deployment, owner).await;
    let first = send(&deployment, entry, &fresh).await;
    assert_eq!(first.outcome, "answered", "{first:?}");
    assert_replay(&send(&deployment, owner, &fresh).await, &first);
    assert_once(&deployment, &id, 1);
    assert_once(&deployment, &fresh, 1);
}

/// Guards against a restarted backend server that is sent a request which its former run has
/// started.
#[tokio::test(flavor = "multi_thread")]
async fn a_retry_after_a_restart_of_the_backend_server_runs_once() {
    let mut deployment = support::start(2, 12, 150, false).await;
    let (owner, epoch) = deployment.find_owner(SERVICE, KEY).await.unwrap();
    let entry = support::other_vm(&deployment, &[owner]);
    let running_id = new_id(&deployment, entry).await;
    let lost_request = spawn_send(&deployment, entry, &running_id);
    let is_running = |running, _| running == 1;
    fault::wait_load(deployment.http(), &deployment.vms[owner], is_running)
        .await
        .unwrap();
    let vm = &mut deployment.vms[owner];
    vm.standin.kill();
    let (server, node) = (
        vm.server.clone(),
        vm.node.field("backend").unwrap().to_owned(),
    );
    deployment.vms[owner].standin = deployment.start_standin(&server, &node).unwrap();
    assert_unknown(&lost_request.await.unwrap().unwrap());
    let address = deployment.vms[entry].caller().to_owned();
    support::wait_served_slowly_after(&deployment, &address, KEY, epoch).await;
    for node in 0..2 {
        assert_unknown(&send(&deployment, node, &running_id).await);
    }
    assert_once(&deployment, &running_id, 1);
}

/// Guards against a request that runs again on a retry because its answer was reset, truncated or
/// late.
#[tokio::test(flavor = "multi_thread")]
async fn a_retry_after_a_lost_answer_runs_once() {
    let deployment = support::start(3, 12, 2, true).await;
    let (owner, _) = deployment.find_owner(SERVICE, KEY).await.unwrap();
    for (name, fields) in [
        ("reset", json!({ "count": 1, "at": "answer" })),
        ("truncate", json!({ "count": 1 })),
        ("late", json!({ "count": 1 })),
    ] {
        let id = new_id(&deployment, owner).await;
        fault::set(deployment.http(), &deployment.vms[owner], name, &fields)
            .await
            .unwrap();
        let address = deployment.vms[0].caller();
        let limit = Duration::from_millis(400);
        let first = support::post(deployment.http(), address, KEY, Some(&id), limit).await;
        if let Ok(first) = first {
            assert_unknown(&first);
        }
        for node in 0..3 {
            assert_unknown(&send(&deployment, node, &id).await);
        }
        assert_once(&deployment, &id, 1);
    }
}

/// Guards against a node that stops without handing over the record of request ids of some slices.
#[tokio::test(flavor = "multi_thread")]
async fn a_retry_after_a_stop_of_the_node_gets_the_first_answer() {
    let mut deployment = support::start(3, 12, 2, true).await;
    for _ in 0..2 {
        let (owner, epoch) = deployment.find_owner(SERVICE, KEY).await.unwrap();
        let entry = support::other_vm(&deployment, &[owner]);
        let address = deployment.vms[entry].caller().to_owned();
        let http = deployment.http().clone();
        // Enough keys that each slice of the node has one, also the slice that is handed over last.
        let mut requests = Vec::new();
        for number in 0..64 {
            let key = format!("order-{number}");
            let id = caller::request_id(&http, &address, SERVICE, &key).await;
            let id = id.unwrap();
            let first = support::post(&http, &address, &key, Some(&id), DEADLINE).await;
            requests.push((key, id, first.unwrap()));
        }
        assert!(deployment.vms[owner].node.terminate(support::MAX_WAIT));
        support::wait_served_after(&deployment, &address, KEY, epoch).await;
        for (key, id, first) in &requests {
            let retry = support::post(&http, &address, key, Some(id), DEADLINE).await;
            assert_replay(&retry.unwrap(), first);
            assert_once(&deployment, id, 1);
        }
        deployment.vms[owner].standin.kill();
        deployment.restart_vm(owner).unwrap();
        deployment.wait_joined().await.unwrap();
    }
}

/// Guards against a write that waited for the new owner but is answered `unknown`, as if it could
/// have run under the former owner, because the entry node issued its id before the loss.
#[tokio::test(flavor = "multi_thread")]
async fn a_write_without_an_id_waits_for_the_new_owner() {
    let mut deployment = support::start(3, 12, 5, true).await;
    let (owner, _) = deployment.find_owner(SERVICE, KEY).await.unwrap();
    let entry = support::other_vm(&deployment, &[owner]);
    let address = deployment.vms[entry].caller().to_owned();
    support::wait_served_slowly_after(&deployment, &address, KEY, 0).await;
    let (owner, epoch) = deployment.find_owner(SERVICE, KEY).await.unwrap();
    let entry = support::other_vm(&deployment, &[owner]);
    let address = deployment.vms[entry].caller().to_owned();
    deployment.vms[owner].kill();
    let answer = support::post(deployment.http(), &address, KEY, None, support::DEADLINE).await;
    let answer = answer.unwrap();
    assert_eq!(answer.outcome, "answered", "{answer:?}");
    assert!(answer.epoch > epoch, "{answer:?}");
    let request_id = Some(answer.request.as_str());
    let retry = support::post(
        deployment.http(),
        &address,
        KEY,
        request_id,
        support::DEADLINE,
    )
    .await;
    assert!(
        retry.unwrap().replayed,
        "the id in the answer is not the one that ran"
    );
}
