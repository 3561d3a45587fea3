//! I5: a non-idempotent request runs at most once.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use sequoiayoke_harness::caller::{self, Answer};
use sequoiayoke_harness::fault;
use serde_json::json;
use support::{DEADLINE, ExclusiveDeployment, SERVICE};

const KEY: &str = "order-41";

async fn new_id(world: &ExclusiveDeployment, entry: usize) -> String {
    let address = world.vms[entry].caller();
    caller::request_id(world.http(), address, SERVICE, KEY)
        .await
        .unwrap()
}

async fn send(world: &ExclusiveDeployment, entry: usize, id: &str) -> Answer {
    let address = world.vms[entry].caller();
    support::post(world.http(), address, KEY, Some(id), DEADLINE)
        .await
        .unwrap()
}

/// Sends a request in the background; the answer is `None` if the connection ended.
fn send_later(
    world: &ExclusiveDeployment,
    entry: usize,
    id: &str,
) -> tokio::task::JoinHandle<Option<Answer>> {
    let (http, id) = (world.http().clone(), id.to_owned());
    let address = world.vms[entry].caller().to_owned();
    tokio::spawn(async move {
        let sent = support::post(&http, &address, KEY, Some(&id), DEADLINE).await;
        sent.ok()
    })
}

/// Asserts that no id ran more than once, on whichever server.
fn assert_once(world: &ExclusiveDeployment, id: &str, expected: usize) {
    let counts = support::count_executions(&world.executions());
    let repeated: Vec<_> = counts.iter().filter(|(_, count)| **count > 1).collect();
    assert!(repeated.is_empty(), "{repeated:?}");
    assert_eq!(counts.get(id).copied().unwrap_or(0), expected, "{id}");
}

fn assert_replay(answer: &Answer, first: &Answer) {
    assert_eq!(answer.outcome, "answered", "{answer:?}");
    assert!(answer.replayed, "{answer:?}");
    assert_eq!(answer.body, first.body);
}

fn assert_unknown(answer: &Answer) {
    assert_eq!(answer.outcome, "unknown", "{answer:?}");
}

/// Guards against resends that race each other through all nodes.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_resends_run_once() {
    let world = support::start(3, 12, 40, true).await;
    for round in 0..20 {
        let id = new_id(&world, round % 3).await;
        let sent: Vec<_> = (0..9)
            .map(|number| send_later(&world, number % 3, &id))
            .collect();
        let mut answers = Vec::new();
        for one in sent {
            answers.push(one.await.unwrap().unwrap());
        }
        let ran = answers
            .iter()
            .filter(|one| one.outcome == "answered" && !one.replayed);
        assert_eq!(ran.count(), 1, "{answers:?}");
        let first = answers.iter().find(|one| one.outcome == "answered");
        let first = first.unwrap().clone();
        for answer in &answers {
            match answer.outcome.as_str() {
                "answered" => assert_eq!(answer.body, first.body),
                _ => assert_eq!(answer.reason, "duplicate-running", "{answer:?}"),
            }
        }
        for entry in 0..3 {
            assert_replay(&send(&world, entry, &id).await, &first);
        }
        assert_once(&world, &id, 1);
    }
}

/// Guards against a move that loses the record of ids, also of ids that run meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn a_resend_after_a_planned_move_gets_the_first_answer() {
    let world = support::start(3, 12, 30, true).await;
    for (number, round) in (2..).zip(0..4) {
        let (owner, epoch) = world.find_owner(SERVICE, KEY).await.unwrap();
        let entry = support::other_vm(&world, &[owner]);
        let id = new_id(&world, entry).await;
        let first = send(&world, entry, &id).await;
        assert_eq!(first.outcome, "answered", "{first:?}");
        // Runs while the key is asked to move.
        let running = new_id(&world, owner).await;
        let during = send_later(&world, entry, &running);
        let target = (owner + 1 + round % 2) % 3;
        let name = world.vms[target].server.name.clone();
        support::pin(&world, number, KEY, &name).await;
        let moved = support::wait_owner(&world, KEY, target).await;
        assert!(moved > epoch);
        let during = during.await.unwrap().unwrap();
        for entry in 0..3 {
            assert_replay(&send(&world, entry, &id).await, &first);
            let again = send(&world, entry, &running).await;
            match during.outcome.as_str() {
                "answered" => assert_replay(&again, &during),
                _ => assert_ne!(again.outcome, "", "{again:?}"),
            }
        }
        assert_once(&world, &id, 1);
    }
}

/// Guards against a new owner that runs what the lost one has run or was running.
#[tokio::test(flavor = "multi_thread")]
async fn a_resend_after_the_loss_of_the_owner_is_unknown() {
    let mut world = support::start(3, 12, 150, true).await;
    let (owner, epoch) = world.find_owner(SERVICE, KEY).await.unwrap();
    let entry = support::other_vm(&world, &[owner]);
    let done = new_id(&world, entry).await;
    assert_eq!(send(&world, entry, &done).await.outcome, "answered");
    let running = new_id(&world, entry).await;
    let lost = send_later(&world, entry, &running);
    let busy = |running, _| running == 1;
    fault::wait_load(world.http(), &world.vms[owner], busy)
        .await
        .unwrap();
    world.vms[owner].kill();
    assert_unknown(&lost.await.unwrap().unwrap());
    let address = world.vms[entry].caller().to_owned();
    support::wait_served_slowly_after(&world, &address, KEY, epoch).await;
    for node in (0..3).filter(|node| *node != owner) {
        assert_unknown(&send(&world, node, &done).await);
        assert_unknown(&send(&world, node, &running).await);
    }
    assert_once(&world, &done, 1);
    assert_once(&world, &running, 1);
    world.restart_vm(owner).unwrap();
    world.wait_joined().await.unwrap();
    assert_unknown(&send(&world, owner, &done).await);
    assert_once(&world, &done, 1);
}

/// Guards against an owner that is resumed and runs what was resent elsewhere meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn a_resend_around_a_pause_of_the_owner_runs_once() {
    let world = support::start(3, 12, 2, false).await;
    let (owner, epoch) = world.find_owner(SERVICE, KEY).await.unwrap();
    let entry = support::other_vm(&world, &[owner]);
    let done = new_id(&world, entry).await;
    assert_eq!(send(&world, entry, &done).await.outcome, "answered");
    let waiting: Vec<_> = [
        new_id(&world, entry).await,
        new_id(&world, owner).await,
        new_id(&world, entry).await,
    ]
    .into();
    world.vms[owner].pause();
    // In the sockets of the paused node, from a caller.
    let sent: Vec<_> = waiting
        .iter()
        .map(|id| send_later(&world, owner, id))
        .collect();
    let address = world.vms[entry].caller().to_owned();
    support::wait_served_after(&world, &address, KEY, epoch).await;
    assert_unknown(&send(&world, entry, &done).await);
    for id in &waiting {
        assert_unknown(&send(&world, entry, id).await);
    }
    world.vms[owner].resume();
    for one in sent {
        // The node forwards it to the new owner, which cannot know whether it ran.
        let answer = one.await.unwrap().unwrap();
        assert_ne!(answer.outcome, "answered", "{answer:?}");
    }
    world.wait_joined().await.unwrap();
    for node in 0..3 {
        assert_unknown(&send(&world, node, &done).await);
    }
    assert_once(&world, &done, 1);
    for id in &waiting {
        assert_once(&world, id, 0);
    }
}

/// Guards against a new run of a node that starts with an empty record under an old epoch.
#[tokio::test(flavor = "multi_thread")]
async fn a_resend_after_a_restart_of_the_node_is_unknown() {
    let mut world = support::start(2, 12, 2, false).await;
    // Pinned, so that the key comes back to the restarted node.
    let (owner, _) = world.find_owner(SERVICE, KEY).await.unwrap();
    let name = world.vms[owner].server.name.clone();
    support::pin(&world, 2, KEY, &name).await;
    let entry = support::other_vm(&world, &[owner]);
    let id = new_id(&world, entry).await;
    assert_eq!(send(&world, entry, &id).await.outcome, "answered");
    let (_, epoch) = world.find_owner(SERVICE, KEY).await.unwrap();
    world.restart_node(owner).unwrap();
    let address = world.vms[entry].caller().to_owned();
    support::wait_served_after(&world, &address, KEY, epoch).await;
    world.wait_joined().await.unwrap();
    support::wait_owner(&world, KEY, owner).await;
    for node in 0..2 {
        assert_unknown(&send(&world, node, &id).await);
    }
    let fresh = new_id(&world, owner).await;
    let first = send(&world, entry, &fresh).await;
    assert_eq!(first.outcome, "answered", "{first:?}");
    assert_replay(&send(&world, owner, &fresh).await, &first);
    assert_once(&world, &id, 1);
    assert_once(&world, &fresh, 1);
}

/// Guards against a restarted backend server that is sent what its earlier run has run.
#[tokio::test(flavor = "multi_thread")]
async fn a_resend_after_a_restart_of_the_backend_server_runs_once() {
    let mut world = support::start(2, 12, 150, false).await;
    let (owner, epoch) = world.find_owner(SERVICE, KEY).await.unwrap();
    let entry = support::other_vm(&world, &[owner]);
    let running = new_id(&world, entry).await;
    let lost = send_later(&world, entry, &running);
    let busy = |running, _| running == 1;
    fault::wait_load(world.http(), &world.vms[owner], busy)
        .await
        .unwrap();
    let pair = &mut world.vms[owner];
    pair.standin.kill();
    let (server, node) = (
        pair.server.clone(),
        pair.node.field("backend").unwrap().to_owned(),
    );
    world.vms[owner].standin = world.start_standin(&server, &node).unwrap();
    assert_unknown(&lost.await.unwrap().unwrap());
    let address = world.vms[entry].caller().to_owned();
    support::wait_served_slowly_after(&world, &address, KEY, epoch).await;
    for node in 0..2 {
        assert_unknown(&send(&world, node, &running).await);
    }
    assert_once(&world, &running, 1);
}

/// Guards against an answer that is lost on its way, and a resend that runs again.
#[tokio::test(flavor = "multi_thread")]
async fn a_resend_after_a_lost_answer_runs_once() {
    let world = support::start(3, 12, 2, true).await;
    let (owner, _) = world.find_owner(SERVICE, KEY).await.unwrap();
    for (name, fields) in [
        ("reset", json!({ "count": 1, "at": "answer" })),
        ("truncate", json!({ "count": 1 })),
        ("late", json!({ "count": 1 })),
    ] {
        let id = new_id(&world, owner).await;
        fault::set(world.http(), &world.vms[owner], name, &fields)
            .await
            .unwrap();
        let address = world.vms[0].caller();
        let limit = Duration::from_millis(400);
        let first = support::post(world.http(), address, KEY, Some(&id), limit).await;
        if let Ok(first) = first {
            assert_unknown(&first);
        }
        for node in 0..3 {
            assert_unknown(&send(&world, node, &id).await);
        }
        assert_once(&world, &id, 1);
    }
}

/// Guards against a node that stops and takes the record of ids of some slices with it.
#[tokio::test(flavor = "multi_thread")]
async fn a_resend_after_a_stop_of_the_node_gets_the_first_answer() {
    let mut world = support::start(3, 12, 2, true).await;
    for _ in 0..2 {
        let (owner, epoch) = world.find_owner(SERVICE, KEY).await.unwrap();
        let entry = support::other_vm(&world, &[owner]);
        let address = world.vms[entry].caller().to_owned();
        let http = world.http().clone();
        // Many keys, so that each slice of the node has one, the last one to go too.
        let mut sent = Vec::new();
        for number in 0..64 {
            let key = format!("order-{number}");
            let id = caller::request_id(&http, &address, SERVICE, &key).await;
            let id = id.unwrap();
            let first = support::post(&http, &address, &key, Some(&id), DEADLINE).await;
            sent.push((key, id, first.unwrap()));
        }
        assert!(world.vms[owner].node.terminate(support::MAX_WAIT));
        support::wait_served_after(&world, &address, KEY, epoch).await;
        for (key, id, first) in &sent {
            let again = support::post(&http, &address, key, Some(id), DEADLINE).await;
            assert_replay(&again.unwrap(), first);
            assert_once(&world, id, 1);
        }
        world.vms[owner].standin.kill();
        world.restart_vm(owner).unwrap();
        world.wait_joined().await.unwrap();
    }
}

/// Guards against a write that waited for the next owner being taken for one that may have
/// run under the former, only since the entry node issued its id before the loss.
#[tokio::test(flavor = "multi_thread")]
async fn a_write_without_an_id_waits_for_the_next_owner() {
    let mut world = support::start(3, 12, 5, true).await;
    let (owner, _) = world.find_owner(SERVICE, KEY).await.unwrap();
    let entry = support::other_vm(&world, &[owner]);
    let address = world.vms[entry].caller().to_owned();
    support::wait_served_slowly_after(&world, &address, KEY, 0).await;
    let (owner, epoch) = world.find_owner(SERVICE, KEY).await.unwrap();
    let entry = support::other_vm(&world, &[owner]);
    let address = world.vms[entry].caller().to_owned();
    world.vms[owner].kill();
    let answer = support::post(world.http(), &address, KEY, None, support::DEADLINE).await;
    let answer = answer.unwrap();
    assert_eq!(answer.outcome, "answered", "{answer:?}");
    assert!(answer.epoch > epoch, "{answer:?}");
    let again = Some(answer.request.as_str());
    let again = support::post(world.http(), &address, KEY, again, support::DEADLINE).await;
    assert!(
        again.unwrap().replayed,
        "the caller's id is the one that ran"
    );
}
