//! Invariant I6: a backend server that is leaving gets no new work after a few seconds.
//!
//! The stand-ins do not check fencing, so only the routing of the nodes keeps work away from them.

#![allow(clippy::unwrap_used)]

mod support;

#[path = "drain/writers.rs"]
mod writers;

use std::time::Duration;

use reqwest::Method;
use sequoiayoke_harness::Deployment;
use sequoiayoke_harness::caller;
use sequoiayoke_harness::operator::server_ticket;
use sequoiayoke_harness::settings::Spec;
use serde_json::Value;
use writers::Writers;

const SERVICE: &str = "refunds";
const ALL_REPLICAS: [usize; 3] = [0, 1, 2];
/// Index of the VM whose server is leaving.
const LEAVING: usize = 1;
/// Index of the VM whose node misses the drain.
const STALE: usize = 3;
/// Longest time until a leaving server gets no new work.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(5);
/// Number of further writes that each node answers while a leaving server must get none.
const FURTHER_WRITES: u64 = 150;

/// Starts a deployment with writers, and waits until the server that will leave has work.
async fn start() -> (Deployment, Writers) {
    let spec = Spec::new(3).with_service(SERVICE, 4, 8, 1);
    let deployment = Deployment::start(&support::bin(), spec.with_fencing(false)).unwrap();
    deployment.wait_joined().await.unwrap();
    deployment.create_services(12).await.unwrap();
    let writers = Writers::start(&deployment);
    writers.wait_progress(&[0, 1, 2, 3], 20).await;
    // A server that has just started gets its share of the slices gradually.
    while count_executions(&deployment, LEAVING).await == 0 {
        writers.wait_progress(&[0, 1, 2, 3], 20).await;
    }
    (deployment, writers)
}

/// Returns the number of requests that a stand-in has started.
async fn count_executions(deployment: &Deployment, vm: usize) -> u64 {
    let address = deployment.vms[vm].standin_address();
    let url = format!("http://{address}/fault/v1/executions");
    let answer = deployment.http().get(url).send().await.unwrap();
    let body: Value = answer.json().await.unwrap();
    assert_eq!(
        body["repeated"],
        serde_json::json!([]),
        "requests ran more than once"
    );
    let totals = body["totals"].as_object().unwrap().values();
    totals.map(|total| total["started"].as_u64().unwrap()).sum()
}

/// Submits the ticket that drains the leaving server.
async fn submit_drain(deployment: &Deployment) {
    let name = &deployment.vms[LEAVING].server.name;
    let ticket = server_ticket(2, name, "draining");
    let (status, body) = deployment.submit_to(&ALL_REPLICAS, &ticket).await.unwrap();
    assert_eq!(status, 200, "{body}");
}

/// Waits until the leaving server owns no slice; returns the number of requests it has started.
async fn wait_drained(deployment: &Deployment, replicas: &[usize]) -> u64 {
    let name = &deployment.vms[LEAVING].server.name;
    let is_drained = |status: &Value| {
        let servers = status["servers"].as_array().unwrap();
        let mut leaving = servers
            .iter()
            .filter(|server| server["name"] == name.as_str());
        leaving.all(|server| server["slices"] == 0)
    };
    let drained = deployment.query_until(replicas, "/v1/status", MAX_DRAIN_TIME, is_drained);
    drained.await.unwrap();
    count_executions(deployment, LEAVING).await
}

/// Waits for further writes through these nodes and asserts that the leaving server gets none.
async fn assert_idle(deployment: &Deployment, writers: &Writers, nodes: &[usize], before: u64) {
    writers.wait_progress(nodes, FURTHER_WRITES).await;
    let after = count_executions(deployment, LEAVING).await;
    assert_eq!(after, before, "the leaving server got new work");
}

/// Guards against a node that still sends work to a drained server.
#[tokio::test(flavor = "multi_thread")]
async fn a_drained_server_gets_no_new_work() {
    let (deployment, writers) = start().await;
    submit_drain(&deployment).await;
    let before = wait_drained(&deployment, &ALL_REPLICAS).await;
    assert_idle(&deployment, &writers, &[0, 1, 2, 3], before).await;
    writers.stop().await;
}

/// Guards against a planned move that makes the outcome of a write unknown.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_leaves_no_outcome_unknown() {
    let (deployment, writers) = start().await;
    submit_drain(&deployment).await;
    wait_drained(&deployment, &ALL_REPLICAS).await;
    writers
        .wait_progress(&[0, 1, 2, 3], 10 * FURTHER_WRITES)
        .await;
    let unknown = writers.stop().await;
    let warnings = deployment.warnings().join("\n");
    assert_eq!(unknown, Vec::<String>::new(), "{warnings}");
}

/// Guards against a drain that is lost with the leader that accepted it.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_continues_when_the_leader_is_killed() {
    let (mut deployment, writers) = start().await;
    let leader = deployment.wait_leader(&ALL_REPLICAS).await.unwrap();
    submit_drain(&deployment).await;
    deployment.kill_control(leader);
    let remaining = [(leader + 1) % 3, (leader + 2) % 3];
    let before = wait_drained(&deployment, &remaining).await;
    assert_idle(&deployment, &writers, &[0, 1, 2, 3], before).await;
    deployment.start_control(leader).unwrap();
    assert_idle(&deployment, &writers, &[0, 1, 2, 3], before).await;
    writers.stop().await;
}

/// Guards against a former leader that returns slices to the leaving server when it is resumed, and
/// against nodes that still follow it.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_continues_when_the_leader_is_paused() {
    let (deployment, writers) = start().await;
    let leader = deployment.wait_leader(&ALL_REPLICAS).await.unwrap();
    submit_drain(&deployment).await;
    deployment.control(leader).unwrap().pause();
    let remaining = [(leader + 1) % 3, (leader + 2) % 3];
    let before = wait_drained(&deployment, &remaining).await;
    assert_idle(&deployment, &writers, &[0, 1, 2, 3], before).await;
    deployment.control(leader).unwrap().resume();
    assert_idle(&deployment, &writers, &[0, 1, 2, 3], before).await;
    writers.stop().await;
}

/// Guards against an entry node that was paused during the drain and routes by its outdated view.
#[tokio::test(flavor = "multi_thread")]
async fn a_stale_entry_node_sends_no_work() {
    let (deployment, writers) = start().await;
    deployment.vms[STALE].node.pause();
    submit_drain(&deployment).await;
    let before = wait_drained(&deployment, &ALL_REPLICAS).await;
    resume(&deployment, STALE).await;
    assert_idle(&deployment, &writers, &[0, 1, 2, 3], before).await;
    writers.stop().await;
}

/// Guards against an owner that was paused during its drain and runs the requests that waited for
/// it.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_missed_its_drain_runs_nothing() {
    let (deployment, writers) = start().await;
    deployment.vms[LEAVING].node.pause();
    submit_drain(&deployment).await;
    let before = wait_drained(&deployment, &ALL_REPLICAS).await;
    resume(&deployment, LEAVING).await;
    assert_idle(&deployment, &writers, &[0, 1, 2, 3], before).await;
    writers.stop().await;
}

/// Resumes a node whose lease has expired and whose view is outdated, with writes in its sockets.
async fn resume(deployment: &Deployment, vm: usize) {
    let vm = &deployment.vms[vm];
    let writes = (0..64).map(|key| write(deployment, vm.caller(), key));
    let resume = async {
        tokio::task::yield_now().await;
        vm.node.resume();
    };
    tokio::join!(futures_util::future::join_all(writes), resume);
}

/// Sends one write whose outcome does not matter.
async fn write(deployment: &Deployment, address: &str, key: usize) {
    let path = format!("/s/{SERVICE}/key-{key}");
    let deadline = Duration::from_secs(3);
    let request = caller::send(
        deployment.http(),
        address,
        Method::POST,
        &path,
        None,
        deadline,
    );
    drop(request.await);
}

/// Guards against nodes that keep routing by their last view while the control plane has no
/// majority.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_survives_the_loss_of_the_majority() {
    let (deployment, writers) = start().await;
    submit_drain(&deployment).await;
    for replica in ALL_REPLICAS {
        deployment.control(replica).unwrap().pause();
    }
    for replica in ALL_REPLICAS {
        deployment.control(replica).unwrap().resume();
    }
    let before = wait_drained(&deployment, &ALL_REPLICAS).await;
    assert_idle(&deployment, &writers, &[0, 1, 2, 3], before).await;
    writers.stop().await;
}
