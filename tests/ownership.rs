//! Invariant I1: a key has at most one owning backend server at any time.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::{Duration, Instant};

use reqwest::Method;
use sequoiayoke_harness::{caller, fault, settings};
use sequoiayoke_model::clock;
use serde_json::json;
use support::{DEADLINE, ExclusiveDeployment, RETRY_DEADLINE, SERVICE};

const KEY: &str = "kiosk-17";
/// Longest time from the loss of an owner until its keys are served again.
const MAX_RECOVERY_TIME: Duration = Duration::from_secs(2);

/// The processes of the owner that are paused.
#[derive(Clone, Copy, PartialEq)]
enum Paused {
    Vm,
    Node,
}

/// Resumes an owner that was paused past its lease while writes waited in its sockets, and asserts
/// that it runs nothing under its old epoch.
async fn check_resumed_owner(paused: Paused, fencing: bool) {
    let deployment = support::start(3, 12, 2, fencing).await;
    let (owner, epoch) = deployment.find_owner(SERVICE, KEY).await.unwrap();
    let entry = deployment.vms[support::other_vm(&deployment, &[owner])]
        .caller()
        .to_owned();
    support::wait_served_after(&deployment, &entry, KEY, 0).await;
    match paused {
        Paused::Vm => deployment.vms[owner].pause(),
        Paused::Node => deployment.vms[owner].node.pause(),
    }
    // The kernel accepts these writes; the node reads them when it is resumed.
    let address = deployment.vms[owner].caller().to_owned();
    let writes: Vec<_> = (0..24)
        .map(|_| {
            let (http, address) = (deployment.http().clone(), address.clone());
            tokio::spawn(async move { support::post(&http, &address, KEY, None, DEADLINE).await })
        })
        .collect();
    let served = support::wait_served_after(&deployment, &entry, KEY, epoch).await;
    let resumed_at_us = clock::Instant::now().as_micros();
    deployment.vms[owner].resume();
    let mut answered = 0;
    for write in writes {
        if let Ok(answer) = write.await.unwrap() {
            answered += 1;
            assert!(
                answer.epoch == 0 || answer.epoch >= served.epoch,
                "{answer:?}"
            );
        }
    }
    assert_eq!(answered, 24, "not every write that waited was answered");
    support::wait_served_after(&deployment, &entry, KEY, 0).await;
    let executions = deployment.executions();
    let late = executions
        .iter()
        .find(|execution| execution.at_us > resumed_at_us && execution.epoch <= epoch);
    assert_eq!(
        late, None,
        "ran under the old epoch after the resume at {resumed_at_us} µs"
    );
    support::assert_one_owner(&executions);
}

/// Guards against a VM that still acts as the owner when it is resumed after its lease has expired.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_vm_runs_nothing_under_its_old_epoch() {
    check_resumed_owner(Paused::Vm, true).await;
}

/// Guards against a node that relies on its backend server to reject old epochs; the stand-ins here
/// do not check fencing.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_node_runs_nothing_without_fencing_checks() {
    check_resumed_owner(Paused::Vm, false).await;
}

/// Guards against a node that still acts as the owner after a pause of the node alone, which its
/// running backend server does not notice.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_paused_without_its_backend_server_runs_nothing_under_its_old_epoch() {
    check_resumed_owner(Paused::Node, false).await;
}

/// Guards against a leader that still answers operators when it is resumed after the election of
/// another one.
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_former_leader_rejects_requests_of_operators() {
    let deployment = support::start(3, 12, 2, true).await;
    let (owner, epoch) = deployment.find_owner(SERVICE, KEY).await.unwrap();
    let entry = deployment.vms[support::other_vm(&deployment, &[owner])]
        .caller()
        .to_owned();
    let former_leader = deployment.leader().await.unwrap();
    deployment.control[former_leader].as_ref().unwrap().pause();
    deployment.vms[owner].pause();
    // These wait in the sockets of the paused leader.
    let url = |path: &str| {
        format!(
            "http://{}{path}",
            settings::operator_address(&deployment.ip, former_leader)
        )
    };
    let ticket = support::pin_ticket(2, "never");
    let http = deployment.http();
    let ticket_request = tokio::spawn(http.post(url("/v1/tickets")).json(&ticket).send());
    let status_request = tokio::spawn(http.get(url("/v1/status")).send());
    let explain_request = tokio::spawn(
        http.get(url(&format!("/v1/explain/{SERVICE}/{KEY}")))
            .send(),
    );
    // The next leader accepts another ticket of the same number, and the key moves.
    support::pin(&deployment, 2, "elsewhere", &deployment.vms[0].server.name).await;
    support::wait_served_after(&deployment, &entry, KEY, epoch).await;
    let resumed_at_us = clock::Instant::now().as_micros();
    deployment.control[former_leader].as_ref().unwrap().resume();
    deployment.vms[owner].resume();
    for request in [ticket_request, status_request, explain_request] {
        let answer = request.await.unwrap().unwrap();
        assert_eq!(
            answer.status().as_u16(),
            421,
            "{}",
            answer.text().await.unwrap()
        );
    }
    deployment.wait_joined().await.unwrap();
    let leader = deployment.leader().await.unwrap();
    assert_ne!(leader, former_leader);
    let address = settings::operator_address(&deployment.ip, leader);
    let (_, stored) = deployment
        .query_address(&address, "/v1/tickets/2")
        .await
        .unwrap();
    assert_eq!(
        stored["objects"][0]["pin"]["key"],
        json!("elsewhere"),
        "{stored}"
    );
    let executions = deployment.executions();
    let late = executions
        .iter()
        .find(|execution| execution.at_us > resumed_at_us && execution.epoch <= epoch);
    assert_eq!(
        late, None,
        "ran under the old epoch after the resume at {resumed_at_us} µs"
    );
    support::assert_one_owner(&executions);
}

/// Guards against keys that stay without an owner when the leader and the owner are lost together.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_is_served_soon_after_the_loss_of_leader_and_owner() {
    let mut deployment = support::start(3, 12, 2, true).await;
    let (owner, epoch) = deployment.find_owner(SERVICE, KEY).await.unwrap();
    let entry = deployment.vms[support::other_vm(&deployment, &[owner])]
        .caller()
        .to_owned();
    support::wait_served_after(&deployment, &entry, KEY, 0).await;
    let leader = deployment.leader().await.unwrap();
    let start = Instant::now();
    deployment.control[leader] = None;
    deployment.vms[owner].kill();
    support::wait_served_after(&deployment, &entry, KEY, epoch).await;
    let elapsed = start.elapsed();
    assert!(
        elapsed < MAX_RECOVERY_TIME,
        "served again after {elapsed:?}"
    );
    support::assert_one_owner(&deployment.executions());
}

/// Guards against a slice that moves while its paused old backend server still has a request in its
/// socket whose lease has not expired.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_backend_server_runs_nothing_of_a_released_slice() {
    let deployment = support::start(3, 12, 2, true).await;
    let (owner, epoch) = deployment.find_owner(SERVICE, KEY).await.unwrap();
    let target = support::other_vm(&deployment, &[owner]);
    let entry = deployment.vms[target].caller().to_owned();
    support::wait_served_after(&deployment, &entry, KEY, 0).await;
    // Pins the key first, so that it has its own slice and moves in one step.
    let name = deployment.vms[owner].server.name.clone();
    support::pin(&deployment, 2, KEY, &name).await;
    wait_own_slice(&deployment).await;
    deployment.vms[owner].standin.pause();
    let writes =
        (0..8).map(|_| support::post(deployment.http(), &entry, KEY, None, RETRY_DEADLINE));
    let answers = join_answers(writes).await;
    let unknown = answers.iter().filter(|answer| answer.outcome == "unknown");
    assert!(unknown.count() > 0, "{answers:?}");
    let name = deployment.vms[target].server.name.clone();
    support::pin(&deployment, 3, KEY, &name).await;
    // Shorter than the lease that the unanswered writes carry.
    let limit = Duration::from_millis(350);
    let early_answer = support::wait_served_after(&deployment, &entry, KEY, epoch);
    let early_answer = tokio::time::timeout(limit, early_answer).await;
    deployment.vms[owner].standin.resume();
    support::wait_served_after(&deployment, &entry, KEY, epoch).await;
    let owner = &deployment.vms[owner];
    let idle = |running, queued| running + queued == 0;
    fault::wait_load(deployment.http(), owner, idle)
        .await
        .unwrap();
    println!(
        "slice moved while the old backend server was paused: {}",
        early_answer.is_ok()
    );
    support::assert_one_owner(&deployment.executions());
}

/// Waits until the key has its own slice and the slice has an owner.
async fn wait_own_slice(deployment: &ExclusiveDeployment) {
    let leader = deployment.leader().await.unwrap();
    let address = settings::operator_address(&deployment.ip, leader);
    let path = format!("/v1/explain/{SERVICE}/{KEY}");
    let start = Instant::now();
    while start.elapsed() < support::MAX_WAIT {
        let response = deployment.query_address(&address, &path).await;
        if response
            .is_some_and(|(_, body)| body["first"] == body["last"] && body["holder"] != json!(null))
        {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("{KEY} has no slice of its own with an owner");
}

/// Waits for all requests and returns their answers.
async fn join_answers<I, F>(requests: I) -> Vec<sequoiayoke_harness::caller::Answer>
where
    I: Iterator<Item = F>,
    F: Future<Output = Result<sequoiayoke_harness::caller::Answer, sequoiayoke_harness::Error>>,
{
    let mut answers = Vec::new();
    for result in futures_util::future::join_all(requests).await {
        answers.push(result.unwrap());
    }
    answers
}

/// Guards against slices that are released at once when their backend server is only unresponsive
/// and still has a request in its socket whose lease has not expired.
#[tokio::test(flavor = "multi_thread")]
async fn an_unresponsive_backend_server_runs_nothing_after_its_slices_moved() {
    let deployment = support::start(3, 12, 2, true).await;
    let (owner, epoch) = deployment.find_owner(SERVICE, KEY).await.unwrap();
    let entry = deployment.vms[support::other_vm(&deployment, &[owner])]
        .caller()
        .to_owned();
    support::wait_served_after(&deployment, &entry, KEY, 0).await;
    deployment.vms[owner].standin.pause();
    // Sends one write after the other, so that the last one is sent just before the node releases
    // its slices.
    let (http, address) = (deployment.http().clone(), entry.clone());
    let writer = tokio::spawn(async move {
        loop {
            let sent = support::post(&http, &address, KEY, None, Duration::from_millis(50)).await;
            if matches!(sent, Ok(answer) if answer.outcome == "answered") {
                return;
            }
        }
    });
    support::wait_served_after(&deployment, &entry, KEY, epoch).await;
    deployment.vms[owner].standin.resume();
    writer.await.unwrap();
    fault::wait_load(
        deployment.http(),
        &deployment.vms[owner],
        |running, queued| running + queued == 0,
    )
    .await
    .unwrap();
    deployment.wait_joined().await.unwrap();
    support::assert_one_owner(&deployment.executions());
}

/// Guards against a request that waits for a slot of a backend server while a new run of the server
/// replaces it, and that is then sent to the former run under the new epoch.
#[tokio::test(flavor = "multi_thread")]
async fn a_replaced_backend_server_gets_no_request_that_waited() {
    let mut deployment = support::start(1, 1, 2, true).await;
    let entry = deployment.vms[0].caller().to_owned();
    let (_, epoch) = deployment.find_owner(SERVICE, KEY).await.unwrap();
    support::wait_served_after(&deployment, &entry, KEY, 0).await;
    // Occupies the only slot until the new run owns the key.
    let delay = json!({ "ms": 60_000 });
    let vm = &deployment.vms[0];
    fault::set(deployment.http(), vm, "delay", &delay)
        .await
        .unwrap();
    let (http, address) = (deployment.http().clone(), entry.clone());
    let limit = Duration::from_millis(2500);
    let occupying = tokio::spawn(async move {
        let sent = support::post(&http, &address, KEY, None, limit).await;
        sent.unwrap()
    });
    fault::wait_load(deployment.http(), vm, |running, _| running == 1)
        .await
        .unwrap();
    vm.standin.pause();
    // A read, because the record of request ids keeps a write of the former epoch from running.
    let (http, address) = (deployment.http().clone(), entry.clone());
    let waiting = tokio::spawn(async move {
        let path = support::path(KEY);
        let sent = caller::send(&http, &address, Method::GET, &path, None, DEADLINE);
        sent.await.unwrap()
    });
    let server = deployment.vms[0].server.clone();
    let node = deployment.vms[0].node.field("backend").unwrap().to_owned();
    let new_run = deployment.start_standin(&server, &node).unwrap();
    let former_run = std::mem::replace(&mut deployment.vms[0].standin, new_run);
    support::wait_served_after(&deployment, &entry, KEY, epoch).await;
    assert_eq!(occupying.await.unwrap().outcome, "unknown");
    former_run.resume();
    let waiting = waiting.await.unwrap();
    println!("the request that waited: {waiting:?}");
    let logged = deployment.executions();
    // Both runs log into one file, so the counters of the new run distinguish their executions.
    let counted = fault::executions(deployment.http(), &deployment.vms[0])
        .await
        .unwrap();
    let totals = counted["totals"].as_object().unwrap().values();
    let started_by_new_run: u64 = totals.filter_map(|total| total["started"].as_u64()).sum();
    support::print_logs(&deployment);
    let under_new_epoch = logged.iter().filter(|execution| execution.epoch > epoch);
    assert_eq!(
        under_new_epoch.count() as u64,
        started_by_new_run,
        "{waiting:?} {logged:?}"
    );
}

/// Guards against a second VM that announces the name of a live one and takes over its keys.
#[tokio::test(flavor = "multi_thread")]
async fn a_second_server_of_the_same_name_joins_only_after_the_loss_of_the_first() {
    let mut deployment = support::start(2, 12, 2, true).await;
    let (owner, epoch) = deployment.find_owner(SERVICE, KEY).await.unwrap();
    let entry = deployment.vms[support::other_vm(&deployment, &[owner])]
        .caller()
        .to_owned();
    let vm = deployment.start_vm(&deployment.vms[owner].server).unwrap();
    let before = deployment.status().await.unwrap();
    // The second VM has asked to join several times by then.
    let is_refused = || vm.node.log().matches("control refused the node").count() >= 3;
    let start = Instant::now();
    while !is_refused() && start.elapsed() < support::MAX_WAIT {
        let answer = support::post(deployment.http(), &entry, KEY, None, DEADLINE)
            .await
            .unwrap();
        assert_eq!(
            (answer.outcome.as_str(), answer.epoch),
            ("answered", epoch),
            "{answer:?}"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(
        is_refused(),
        "the second VM was not refused: {}",
        vm.node.log()
    );
    let after = deployment.status().await.unwrap();
    assert_eq!(incarnations(&before), incarnations(&after));
    let counted = fault::executions(deployment.http(), &vm).await.unwrap();
    assert_eq!(counted["totals"], json!({}), "{counted}");
    deployment.vms[owner].kill();
    let name = deployment.vms[owner].server.name.clone();
    let has_joined = |status: &serde_json::Value| {
        let servers = status["servers"].as_array().unwrap();
        servers.iter().any(|server| {
            server["name"] == json!(name) && !incarnations(&before).contains(&server["incarnation"])
        })
    };
    deployment
        .wait_status("the second VM has joined", has_joined)
        .await
        .unwrap();
    support::wait_served_after(&deployment, &entry, KEY, epoch).await;
    support::assert_one_owner(&deployment.executions());
}

/// Returns the incarnations of all servers in a status.
fn incarnations(status: &serde_json::Value) -> Vec<serde_json::Value> {
    let servers = status["servers"].as_array().unwrap();
    servers
        .iter()
        .map(|server| server["incarnation"].clone())
        .collect()
}

/// Starts tasks that write to the keys through every node until `stop` is set.
///
/// Each task returns its number of answered writes.
fn start_writers(
    deployment: &ExclusiveDeployment,
    keys: &'static [&'static str],
    stop: &std::sync::Arc<std::sync::atomic::AtomicBool>,
) -> Vec<tokio::task::JoinHandle<u64>> {
    let entries: Vec<_> = deployment
        .vms
        .iter()
        .map(|vm| vm.caller().to_owned())
        .collect();
    let combinations = entries
        .iter()
        .flat_map(|entry| keys.iter().map(move |key| (entry.clone(), *key)));
    combinations
        .map(|(entry, key)| {
            let (http, stop) = (deployment.http().clone(), std::sync::Arc::clone(stop));
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

/// Guards against two owners of a key after a series of kills, pauses and planned moves.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_never_has_two_owners_during_kills_pauses_and_moves() {
    let mut deployment = support::start(4, 12, 1, true).await;
    let stop = std::sync::Arc::default();
    let writers = start_writers(&deployment, &[KEY, "order-3"], &stop);
    let (first, epoch) = deployment.find_owner(SERVICE, KEY).await.unwrap();
    let entry = |deployment: &ExclusiveDeployment, excluded: usize| {
        deployment.vms[support::other_vm(deployment, &[excluded])]
            .caller()
            .to_owned()
    };
    let mut last = (first, epoch);
    for (number, round) in (2..).zip(0..3) {
        // A planned move.
        let target = (last.0 + 1) % deployment.vms.len();
        let name = deployment.vms[target].server.name.clone();
        support::pin(&deployment, number, KEY, &name).await;
        let epoch = support::wait_owner(&deployment, KEY, target).await;
        support::wait_served_after(&deployment, &entry(&deployment, target), KEY, epoch - 1).await;
        // A pause of the owner, or only of its node, past the lease.
        match round % 2 {
            0 => deployment.vms[target].pause(),
            _ => deployment.vms[target].node.pause(),
        }
        let next =
            support::wait_served_after(&deployment, &entry(&deployment, target), KEY, epoch).await;
        deployment.vms[target].resume();
        // A pause of the leader, shorter and longer than an election.
        let leader = deployment.leader().await.unwrap();
        deployment.control[leader].as_ref().unwrap().pause();
        support::wait_served_after(
            &deployment,
            &entry(&deployment, target),
            KEY,
            next.epoch - 1,
        )
        .await;
        deployment
            .wait_status("another replica leads", |_| true)
            .await
            .unwrap();
        deployment.control[leader].as_ref().unwrap().resume();
        // A kill of the owner.
        let (owner, epoch) = deployment.find_owner(SERVICE, KEY).await.unwrap();
        let safe = entry(&deployment, owner);
        deployment.vms[owner].kill();
        let served = support::wait_served_after(&deployment, &safe, KEY, epoch).await;
        deployment.restart_vm(owner).unwrap();
        deployment.wait_joined().await.unwrap();
        last = (deployment.index_of(&served.server).unwrap(), served.epoch);
    }
    stop.store(true, std::sync::atomic::Ordering::Relaxed);
    let mut answered = 0;
    for writer in writers {
        answered += writer.await.unwrap();
    }
    let executions = deployment.executions();
    let epochs: std::collections::BTreeSet<_> = executions
        .iter()
        .filter(|execution| execution.key == KEY)
        .map(|execution| execution.epoch)
        .collect();
    println!(
        "{answered} answered, {} executed, epochs {epochs:?}",
        executions.len()
    );
    assert!(
        epochs.len() >= 9,
        "not every step changed the owner: {epochs:?}"
    );
    support::assert_one_owner(&executions);
}
