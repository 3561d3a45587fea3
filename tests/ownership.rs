//! I1: a key has at most one owning backend server at any time.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::{Duration, Instant};

use reqwest::Method;
use sequoiayoke_harness::{caller, fault, settings};
use sequoiayoke_model::clock;
use serde_json::json;
use support::{DEADLINE, ExclusiveDeployment, RETRY_DEADLINE, SERVICE};

const KEY: &str = "kiosk-17";
/// A key is served again at most this long after a loss.
const RECOVERY: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, PartialEq)]
enum Paused {
    Vm,
    Node,
}

/// Pauses the owner past its lease, with writes that wait in its sockets, and resumes it.
async fn resume_old_owner(paused: Paused, fencing: bool) {
    let world = support::start(3, 12, 2, fencing).await;
    let (owner, epoch) = world.find_owner(SERVICE, KEY).await.unwrap();
    let entry = world.vms[support::other_vm(&world, &[owner])]
        .caller()
        .to_owned();
    support::wait_served_after(&world, &entry, KEY, 0).await;
    match paused {
        Paused::Vm => world.vms[owner].pause(),
        Paused::Node => world.vms[owner].node.pause(),
    }
    // The kernel takes these writes; the node sees them when it is resumed.
    let address = world.vms[owner].caller().to_owned();
    let writes: Vec<_> = (0..24)
        .map(|_| {
            let (http, address) = (world.http().clone(), address.clone());
            tokio::spawn(async move { support::post(&http, &address, KEY, None, DEADLINE).await })
        })
        .collect();
    let served = support::wait_served_after(&world, &entry, KEY, epoch).await;
    let resumed = clock::Instant::now().as_micros();
    world.vms[owner].resume();
    let mut seen = 0;
    for write in writes {
        if let Ok(answer) = write.await.unwrap() {
            seen += 1;
            assert!(
                answer.epoch == 0 || answer.epoch >= served.epoch,
                "{answer:?}"
            );
        }
    }
    assert_eq!(seen, 24, "every write that waited is answered");
    support::wait_served_after(&world, &entry, KEY, 0).await;
    let executions = world.executions();
    let late = executions
        .iter()
        .find(|one| one.at_us > resumed && one.epoch <= epoch);
    assert_eq!(late, None, "resumed at {resumed}");
    support::assert_one_owner(&executions);
}

/// Guards against a VM that is resumed after its lease and goes on as the owner.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_vm_runs_nothing_under_its_old_epoch() {
    resume_old_owner(Paused::Vm, true).await;
}

/// Guards against a node that relies on its backend server's check of epochs.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_node_refuses_by_itself() {
    resume_old_owner(Paused::Vm, false).await;
}

/// Guards against a node that is paused alone, so that its backend server never misses it.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_resumed_beside_a_live_backend_server_refuses() {
    resume_old_owner(Paused::Node, false).await;
}

/// Guards against a leader that is resumed after another was elected and still answers.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_leader_does_not_act_as_one() {
    let world = support::start(3, 12, 2, true).await;
    let (owner, epoch) = world.find_owner(SERVICE, KEY).await.unwrap();
    let entry = world.vms[support::other_vm(&world, &[owner])]
        .caller()
        .to_owned();
    let old = world.leader().await.unwrap();
    world.control[old].as_ref().unwrap().pause();
    world.vms[owner].pause();
    // These wait in the sockets of the old leader.
    let url = |path: &str| {
        format!(
            "http://{}{path}",
            settings::operator_address(&world.ip, old)
        )
    };
    let ticket = support::pin_ticket(2, "never");
    let http = world.http();
    let stale = tokio::spawn(http.post(url("/v1/tickets")).json(&ticket).send());
    let status = tokio::spawn(http.get(url("/v1/status")).send());
    let explain = tokio::spawn(
        http.get(url(&format!("/v1/explain/{SERVICE}/{KEY}")))
            .send(),
    );
    // Another leader decides otherwise about the same number, and the key moves on.
    support::pin(&world, 2, "elsewhere", &world.vms[0].server.name).await;
    support::wait_served_after(&world, &entry, KEY, epoch).await;
    let resumed = clock::Instant::now().as_micros();
    world.control[old].as_ref().unwrap().resume();
    world.vms[owner].resume();
    for sent in [stale, status, explain] {
        let answer = sent.await.unwrap().unwrap();
        assert_eq!(
            answer.status().as_u16(),
            421,
            "{}",
            answer.text().await.unwrap()
        );
    }
    world.wait_joined().await.unwrap();
    let leader = world.leader().await.unwrap();
    assert_ne!(leader, old);
    let address = settings::operator_address(&world.ip, leader);
    let (_, kept) = world
        .query_address(&address, "/v1/tickets/2")
        .await
        .unwrap();
    assert_eq!(
        kept["objects"][0]["pin"]["key"],
        json!("elsewhere"),
        "{kept}"
    );
    let executions = world.executions();
    let late = executions
        .iter()
        .find(|one| one.at_us > resumed && one.epoch <= epoch);
    assert_eq!(late, None, "resumed at {resumed}");
    support::assert_one_owner(&executions);
}

/// Guards against keys that stay without an owner after a double loss.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_is_served_soon_after_the_loss_of_leader_and_owner() {
    let mut world = support::start(3, 12, 2, true).await;
    let (owner, epoch) = world.find_owner(SERVICE, KEY).await.unwrap();
    let entry = world.vms[support::other_vm(&world, &[owner])]
        .caller()
        .to_owned();
    support::wait_served_after(&world, &entry, KEY, 0).await;
    let leader = world.leader().await.unwrap();
    let start = Instant::now();
    world.control[leader] = None;
    world.vms[owner].kill();
    support::wait_served_after(&world, &entry, KEY, epoch).await;
    let elapsed = start.elapsed();
    assert!(elapsed < RECOVERY, "served again after {elapsed:?}");
    support::assert_one_owner(&world.executions());
}

/// Guards against a slice that is handed on while its old backend server, paused, still
/// has a request in its socket whose lease has not ended.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_backend_server_runs_nothing_of_a_released_slice() {
    let world = support::start(3, 12, 2, true).await;
    let (owner, epoch) = world.find_owner(SERVICE, KEY).await.unwrap();
    let target = support::other_vm(&world, &[owner]);
    let entry = world.vms[target].caller().to_owned();
    support::wait_served_after(&world, &entry, KEY, 0).await;
    // A slice of its own, so that the key needs one step to move.
    let name = world.vms[owner].server.name.clone();
    support::pin(&world, 2, KEY, &name).await;
    wait_own_slice(&world).await;
    world.vms[owner].standin.pause();
    let writes = (0..8).map(|_| support::post(world.http(), &entry, KEY, None, RETRY_DEADLINE));
    let lost = all(writes).await;
    let sent = lost.iter().filter(|answer| answer.outcome == "unknown");
    assert!(sent.count() > 0, "{lost:?}");
    let name = world.vms[target].server.name.clone();
    support::pin(&world, 3, KEY, &name).await;
    // Shorter than the lease that the lost writes carry.
    let limit = Duration::from_millis(350);
    let early = support::wait_served_after(&world, &entry, KEY, epoch);
    let early = tokio::time::timeout(limit, early).await;
    world.vms[owner].standin.resume();
    support::wait_served_after(&world, &entry, KEY, epoch).await;
    let owner = &world.vms[owner];
    let idle = |running, queued| running + queued == 0;
    fault::wait_load(world.http(), owner, idle).await.unwrap();
    println!(
        "handed on while the old server was paused: {}",
        early.is_ok()
    );
    support::assert_one_owner(&world.executions());
}

/// Waits until the key is a slice of its own.
async fn wait_own_slice(world: &ExclusiveDeployment) {
    let leader = world.leader().await.unwrap();
    let address = settings::operator_address(&world.ip, leader);
    let path = format!("/v1/explain/{SERVICE}/{KEY}");
    let start = Instant::now();
    while start.elapsed() < support::MAX_WAIT {
        let asked = world.query_address(&address, &path).await;
        if asked
            .is_some_and(|(_, body)| body["first"] == body["last"] && body["holder"] != json!(null))
        {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("{KEY} has no slice of its own");
}

async fn all<I, F>(sent: I) -> Vec<sequoiayoke_harness::caller::Answer>
where
    I: Iterator<Item = F>,
    F: Future<Output = Result<sequoiayoke_harness::caller::Answer, sequoiayoke_harness::Error>>,
{
    let mut answers = Vec::new();
    for one in futures_util::future::join_all(sent).await {
        answers.push(one.unwrap());
    }
    answers
}

/// Guards against slices that are given up at once, while the backend server is only silent
/// and still has a request in its socket whose lease has not ended.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_backend_server_runs_nothing_after_its_slices_moved() {
    let world = support::start(3, 12, 2, true).await;
    let (owner, epoch) = world.find_owner(SERVICE, KEY).await.unwrap();
    let entry = world.vms[support::other_vm(&world, &[owner])]
        .caller()
        .to_owned();
    support::wait_served_after(&world, &entry, KEY, 0).await;
    world.vms[owner].standin.pause();
    // One write after the other, so that the last was sent just before the node gave up.
    let (http, address) = (world.http().clone(), entry.clone());
    let flow = tokio::spawn(async move {
        loop {
            let sent = support::post(&http, &address, KEY, None, Duration::from_millis(50)).await;
            if matches!(sent, Ok(answer) if answer.outcome == "answered") {
                return;
            }
        }
    });
    support::wait_served_after(&world, &entry, KEY, epoch).await;
    world.vms[owner].standin.resume();
    flow.await.unwrap();
    fault::wait_load(world.http(), &world.vms[owner], |running, queued| {
        running + queued == 0
    })
    .await
    .unwrap();
    world.wait_joined().await.unwrap();
    support::assert_one_owner(&world.executions());
}

/// Guards against a request that waits for the slots of a backend server while another run
/// of it takes over, and that is then sent to the earlier run under the new epoch.
#[tokio::test(flavor = "multi_thread")]
async fn a_replaced_backend_server_gets_no_request_that_waited() {
    let mut world = support::start(1, 1, 2, true).await;
    let entry = world.vms[0].caller().to_owned();
    let (_, epoch) = world.find_owner(SERVICE, KEY).await.unwrap();
    support::wait_served_after(&world, &entry, KEY, 0).await;
    // Holds the only slot until the new run owns the key.
    let held = json!({ "ms": 60_000 });
    let pair = &world.vms[0];
    fault::set(world.http(), pair, "delay", &held)
        .await
        .unwrap();
    let (http, address) = (world.http().clone(), entry.clone());
    let limit = Duration::from_millis(2500);
    let first = tokio::spawn(async move {
        let sent = support::post(&http, &address, KEY, None, limit).await;
        sent.unwrap()
    });
    fault::wait_load(world.http(), pair, |running, _| running == 1)
        .await
        .unwrap();
    pair.standin.pause();
    // A read, since the record of ids keeps a write of the former epoch from running.
    let (http, address) = (world.http().clone(), entry.clone());
    let waiting = tokio::spawn(async move {
        let path = support::path(KEY);
        let sent = caller::send(&http, &address, Method::GET, &path, None, DEADLINE);
        sent.await.unwrap()
    });
    let server = world.vms[0].server.clone();
    let node = world.vms[0].node.field("backend").unwrap().to_owned();
    let next = world.start_standin(&server, &node).unwrap();
    let former = std::mem::replace(&mut world.vms[0].standin, next);
    support::wait_served_after(&world, &entry, KEY, epoch).await;
    assert_eq!(first.await.unwrap().outcome, "unknown");
    former.resume();
    let waiting = waiting.await.unwrap();
    println!("the request that waited: {waiting:?}");
    let all = world.executions();
    // Both runs log into one file, so the counts of the new run tell them apart.
    let counted = fault::executions(world.http(), &world.vms[0])
        .await
        .unwrap();
    let totals = counted["totals"].as_object().unwrap().values();
    let by_next: u64 = totals.filter_map(|one| one["started"].as_u64()).sum();
    support::print_logs(&world);
    let ran = all.iter().filter(|one| one.epoch > epoch);
    assert_eq!(ran.count() as u64, by_next, "{waiting:?} {all:?}");
}

/// Guards against a second VM that announces the name of a live one and takes its keys.
#[tokio::test(flavor = "multi_thread")]
async fn a_second_server_of_the_same_name_waits_for_the_end_of_the_first() {
    let mut world = support::start(2, 12, 2, true).await;
    let (owner, epoch) = world.find_owner(SERVICE, KEY).await.unwrap();
    let entry = world.vms[support::other_vm(&world, &[owner])]
        .caller()
        .to_owned();
    let twin = world.start_vm(&world.vms[owner].server).unwrap();
    let before = world.status().await.unwrap();
    // The twin has asked to join several times by then.
    let refused = || twin.node.log().matches("control refused the node").count() >= 3;
    let start = Instant::now();
    while !refused() && start.elapsed() < support::MAX_WAIT {
        let answer = support::post(world.http(), &entry, KEY, None, DEADLINE)
            .await
            .unwrap();
        assert_eq!(
            (answer.outcome.as_str(), answer.epoch),
            ("answered", epoch),
            "{answer:?}"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(refused(), "the twin was not refused: {}", twin.node.log());
    let after = world.status().await.unwrap();
    assert_eq!(incarnations(&before), incarnations(&after));
    let counted = fault::executions(world.http(), &twin).await.unwrap();
    assert_eq!(counted["totals"], json!({}), "{counted}");
    world.vms[owner].kill();
    let first = world.vms[owner].server.name.clone();
    let joined = |status: &serde_json::Value| {
        let servers = status["servers"].as_array().unwrap();
        servers.iter().any(|one| {
            one["name"] == json!(first) && !incarnations(&before).contains(&one["incarnation"])
        })
    };
    world
        .wait_status("the twin has joined", joined)
        .await
        .unwrap();
    support::wait_served_after(&world, &entry, KEY, epoch).await;
    support::assert_one_owner(&world.executions());
}

fn incarnations(status: &serde_json::Value) -> Vec<serde_json::Value> {
    let servers = status["servers"].as_array().unwrap();
    servers
        .iter()
        .map(|one| one["incarnation"].clone())
        .collect()
}

/// Writes to the keys through every node until told to stop; returns the number answered.
fn start_writers(
    world: &ExclusiveDeployment,
    keys: &'static [&'static str],
    stop: &std::sync::Arc<std::sync::atomic::AtomicBool>,
) -> Vec<tokio::task::JoinHandle<u64>> {
    let entries: Vec<_> = world
        .vms
        .iter()
        .map(|pair| pair.caller().to_owned())
        .collect();
    let pairs = entries
        .iter()
        .flat_map(|entry| keys.iter().map(move |key| (entry.clone(), *key)));
    pairs
        .map(|(entry, key)| {
            let (http, stop) = (world.http().clone(), std::sync::Arc::clone(stop));
            tokio::spawn(async move {
                let mut answered = 0;
                while !stop.load(std::sync::atomic::Ordering::Relaxed) {
                    let limit = Duration::from_millis(300);
                    let sent = support::post(&http, &entry, key, None, limit).await;
                    if sent.is_ok_and(|answer| answer.outcome == "answered") {
                        answered += 1;
                    }
                    tokio::time::sleep(Duration::from_millis(2)).await;
                }
                answered
            })
        })
        .collect()
}

/// Guards against two owners in the course of kills, pauses and planned moves.
#[tokio::test(flavor = "multi_thread")]
async fn the_owners_of_a_key_follow_each_other() {
    let mut world = support::start(4, 12, 1, true).await;
    let stop = std::sync::Arc::default();
    let writers = start_writers(&world, &[KEY, "order-3"], &stop);
    let (first, epoch) = world.find_owner(SERVICE, KEY).await.unwrap();
    let entry = |world: &ExclusiveDeployment, not: usize| {
        world.vms[support::other_vm(world, &[not])]
            .caller()
            .to_owned()
    };
    let mut last = (first, epoch);
    for (number, round) in (2..).zip(0..3) {
        // A planned move.
        let target = (last.0 + 1) % world.vms.len();
        let name = world.vms[target].server.name.clone();
        support::pin(&world, number, KEY, &name).await;
        let epoch = support::wait_owner(&world, KEY, target).await;
        support::wait_served_after(&world, &entry(&world, target), KEY, epoch - 1).await;
        // A pause of the owner past its lease: of its VM or only of its node.
        match round % 2 {
            0 => world.vms[target].pause(),
            _ => world.vms[target].node.pause(),
        }
        let next = support::wait_served_after(&world, &entry(&world, target), KEY, epoch).await;
        world.vms[target].resume();
        // A pause of the leader, shorter and longer than an election.
        let leader = world.leader().await.unwrap();
        world.control[leader].as_ref().unwrap().pause();
        support::wait_served_after(&world, &entry(&world, target), KEY, next.epoch - 1).await;
        world.wait_status("another leads", |_| true).await.unwrap();
        world.control[leader].as_ref().unwrap().resume();
        // A kill of the owner.
        let (owner, epoch) = world.find_owner(SERVICE, KEY).await.unwrap();
        let safe = entry(&world, owner);
        world.vms[owner].kill();
        let served = support::wait_served_after(&world, &safe, KEY, epoch).await;
        world.restart_vm(owner).unwrap();
        world.wait_joined().await.unwrap();
        last = (world.index_of(&served.server).unwrap(), served.epoch);
    }
    stop.store(true, std::sync::atomic::Ordering::Relaxed);
    let mut answered = 0;
    for writer in writers {
        answered += writer.await.unwrap();
    }
    let executions = world.executions();
    let epochs: std::collections::BTreeSet<_> = executions
        .iter()
        .filter(|one| one.key == KEY)
        .map(|one| one.epoch)
        .collect();
    println!(
        "{answered} answered, {} executed, epochs {epochs:?}",
        executions.len()
    );
    assert!(
        epochs.len() >= 9,
        "every step changed the owner: {epochs:?}"
    );
    support::assert_one_owner(&executions);
}
