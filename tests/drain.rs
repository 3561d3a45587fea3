//! A backend server that is leaving gets no new work after a few seconds.
//!
//! The stand-ins do not check fencing, so only the router keeps work away from them.

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
const ALL: [usize; 3] = [0, 1, 2];
/// Number of the pair that leaves.
const LEAVING: usize = 1;
/// Number of the pair whose node is cut off.
const STALE: usize = 3;
/// Time after which a leaving server gets no new work.
const BOUND: Duration = Duration::from_secs(5);
/// Answers that each writer gets after that.
const MORE: u64 = 150;

async fn start() -> (Deployment, Writers) {
    let spec = Spec::new(3).with_service(SERVICE, 4, 8, 1);
    let deployment = Deployment::start(&support::bin(), spec.with_fencing(false)).unwrap();
    deployment.wait_joined().await.unwrap();
    deployment.create_services(12).await.unwrap();
    let writers = Writers::start(&deployment);
    writers.progress(&[0, 1, 2, 3], 20).await;
    // A server that has just started gets its share of the slices bit by bit.
    while executions(&deployment, LEAVING).await == 0 {
        writers.progress(&[0, 1, 2, 3], 20).await;
    }
    (deployment, writers)
}

/// Returns how many requests a stand-in has started.
async fn executions(deployment: &Deployment, pair: usize) -> u64 {
    let address = deployment.vms[pair].standin_address();
    let url = format!("http://{address}/fault/v1/executions");
    let answer = deployment.http().get(url).send().await.unwrap();
    let body: Value = answer.json().await.unwrap();
    assert_eq!(
        body["repeated"],
        serde_json::json!([]),
        "requests ran twice"
    );
    let totals = body["totals"].as_object().unwrap().values();
    totals.map(|total| total["started"].as_u64().unwrap()).sum()
}

/// Submits the ticket that drains the leaving server.
async fn submit(deployment: &Deployment) {
    let name = &deployment.vms[LEAVING].server.name;
    let ticket = server_ticket(2, name, "draining");
    let (status, body) = deployment.submit_to(&ALL, &ticket).await.unwrap();
    assert_eq!(status, 200, "{body}");
}

/// Waits until the leaving server owns nothing, and returns what it has executed by then.
async fn drained(deployment: &Deployment, replicas: &[usize]) -> u64 {
    let name = &deployment.vms[LEAVING].server.name;
    let empty = |status: &Value| {
        let servers = status["servers"].as_array().unwrap();
        let mut left = servers.iter().filter(|one| one["name"] == name.as_str());
        left.all(|one| one["slices"] == 0)
    };
    let done = deployment.query_until(replicas, "/v1/status", BOUND, empty);
    done.await.unwrap();
    executions(deployment, LEAVING).await
}

/// Lets `writers` go on through these nodes and checks that the leaving server gets nothing.
async fn stays_idle(deployment: &Deployment, writers: &Writers, nodes: &[usize], before: u64) {
    writers.progress(nodes, MORE).await;
    let after = executions(deployment, LEAVING).await;
    assert_eq!(after, before, "new work for a server that has left");
}

/// Guards against a drained server that gets work from any of the nodes.
#[tokio::test(flavor = "multi_thread")]
async fn a_drained_server_gets_no_new_work() {
    let (deployment, writers) = start().await;
    submit(&deployment).await;
    let before = drained(&deployment, &ALL).await;
    stays_idle(&deployment, &writers, &[0, 1, 2, 3], before).await;
    writers.stop().await;
}

/// Guards against a planned move that leaves a caller without knowing whether its write ran.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_leaves_no_outcome_unknown() {
    let (deployment, writers) = start().await;
    submit(&deployment).await;
    drained(&deployment, &ALL).await;
    writers.progress(&[0, 1, 2, 3], 10 * MORE).await;
    let unknown = writers.stop().await;
    let warnings = deployment.warnings().join("\n");
    assert_eq!(unknown, Vec::<String>::new(), "{warnings}");
}

/// Guards against a drain that is forgotten with the leader that accepted it.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_goes_on_when_the_leader_is_killed() {
    let (mut deployment, writers) = start().await;
    let leader = deployment.wait_leader(&ALL).await.unwrap();
    submit(&deployment).await;
    deployment.kill_control(leader);
    let rest = [(leader + 1) % 3, (leader + 2) % 3];
    let before = drained(&deployment, &rest).await;
    stays_idle(&deployment, &writers, &[0, 1, 2, 3], before).await;
    deployment.start_control(leader).unwrap();
    stays_idle(&deployment, &writers, &[0, 1, 2, 3], before).await;
    writers.stop().await;
}

/// Guards against a leader that resumes after a pause and gives slices back, and against
/// nodes that stay with it.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_goes_on_when_the_leader_is_paused() {
    let (deployment, writers) = start().await;
    let leader = deployment.wait_leader(&ALL).await.unwrap();
    submit(&deployment).await;
    deployment.control(leader).unwrap().pause();
    let rest = [(leader + 1) % 3, (leader + 2) % 3];
    let before = drained(&deployment, &rest).await;
    stays_idle(&deployment, &writers, &[0, 1, 2, 3], before).await;
    deployment.control(leader).unwrap().resume();
    stays_idle(&deployment, &writers, &[0, 1, 2, 3], before).await;
    writers.stop().await;
}

/// Guards against an entry node that missed the drain and routes by its old view.
#[tokio::test(flavor = "multi_thread")]
async fn a_stale_entry_node_sends_no_work() {
    let (deployment, writers) = start().await;
    deployment.vms[STALE].node.pause();
    submit(&deployment).await;
    let before = drained(&deployment, &ALL).await;
    resume(&deployment, STALE).await;
    stays_idle(&deployment, &writers, &[0, 1, 2, 3], before).await;
    writers.stop().await;
}

/// Guards against an owner that missed its own drain and runs what waited for it.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_missed_its_drain_runs_nothing() {
    let (deployment, writers) = start().await;
    deployment.vms[LEAVING].node.pause();
    submit(&deployment).await;
    let before = drained(&deployment, &ALL).await;
    resume(&deployment, LEAVING).await;
    stays_idle(&deployment, &writers, &[0, 1, 2, 3], before).await;
    writers.stop().await;
}

/// Resumes a node whose lease has ended and whose view has not, with writes in its sockets.
async fn resume(deployment: &Deployment, pair: usize) {
    let pair = &deployment.vms[pair];
    let late = (0..64).map(|key| write(deployment, pair.caller(), key));
    let resume = async {
        tokio::task::yield_now().await;
        pair.node.resume();
    };
    tokio::join!(futures_util::future::join_all(late), resume);
}

/// Sends one write whose outcome does not matter.
async fn write(deployment: &Deployment, address: &str, key: usize) {
    let path = format!("/s/{SERVICE}/key-{key}");
    let deadline = Duration::from_secs(3);
    let sent = caller::send(
        deployment.http(),
        address,
        Method::POST,
        &path,
        None,
        deadline,
    );
    drop(sent.await);
}

/// Guards against nodes that go on by what they knew while nothing can be decided.
#[tokio::test(flavor = "multi_thread")]
async fn a_drain_survives_the_loss_of_the_majority() {
    let (deployment, writers) = start().await;
    submit(&deployment).await;
    for replica in ALL {
        deployment.control(replica).unwrap().pause();
    }
    for replica in ALL {
        deployment.control(replica).unwrap().resume();
    }
    let before = drained(&deployment, &ALL).await;
    stays_idle(&deployment, &writers, &[0, 1, 2, 3], before).await;
    writers.stop().await;
}
