//! Helpers shared by the tests over real processes: starting a deployment, sending requests and
//! checking the execution logs.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use reqwest::Method;
use sequoiayoke_harness::caller::{self, Answer};
use sequoiayoke_harness::{Deployment, Error, execution_log, settings};
use serde_json::{Value, json};

/// Name of the service that the tests use.
pub(crate) const SERVICE: &str = "refunds";
/// Default deadline of a request.
pub(crate) const DEADLINE: Duration = Duration::from_secs(5);
/// Deadline of each attempt when a request is retried until it is answered.
///
/// An owner that is stuck keeps its slice until the deadlines of its requests have passed, so a
/// longer one would delay the move of the slice.
pub(crate) const RETRY_DEADLINE: Duration = Duration::from_millis(100);
/// Longest wait for an expected condition.
pub(crate) const MAX_WAIT: Duration = Duration::from_secs(20);

/// Lets one deployment run at a time: leases are short, and a loaded machine would let them expire.
static DEPLOYMENT_LOCK: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// A deployment that runs while no other one does.
pub(crate) struct ExclusiveDeployment {
    pub(crate) deployment: Deployment,
    _guard: tokio::sync::MutexGuard<'static, ()>,
}

impl std::ops::Deref for ExclusiveDeployment {
    type Target = Deployment;

    fn deref(&self) -> &Deployment {
        &self.deployment
    }
}

impl std::ops::DerefMut for ExclusiveDeployment {
    fn deref_mut(&mut self) -> &mut Deployment {
        &mut self.deployment
    }
}

/// Returns the directory of the compiled programs.
pub(crate) fn bin() -> PathBuf {
    let node = Path::new(env!("CARGO_BIN_EXE_sequoiayoke-node"));
    node.parent().unwrap().to_owned()
}

/// Starts three control replicas and `servers` VMs of one service.
pub(crate) async fn start(
    servers: usize,
    slots: u32,
    delay_ms: u64,
    fencing: bool,
) -> ExclusiveDeployment {
    let guard = DEPLOYMENT_LOCK.lock().await;
    let spec = settings::Spec::new(3)
        .with_service(SERVICE, servers, slots, delay_ms)
        .with_fencing(fencing)
        .with_execution_log();
    let deployment = Deployment::start(&bin(), spec).unwrap();
    deployment.wait_joined().await.unwrap();
    deployment.create_services(8).await.unwrap();
    ExclusiveDeployment {
        deployment,
        _guard: guard,
    }
}

/// Returns the request path of a key.
pub(crate) fn path(key: &str) -> String {
    format!("/s/{SERVICE}/{key}")
}

/// Sends a write for a key to the node at `entry`, with the request id `id` if there is one.
pub(crate) async fn post(
    http: &reqwest::Client,
    entry: &str,
    key: &str,
    id: Option<&str>,
    deadline: Duration,
) -> Result<Answer, Error> {
    caller::send(http, entry, Method::POST, &path(key), id, deadline).await
}

/// Sends writes until one is answered under a later epoch than `epoch`.
///
/// Each attempt has the deadline [`RETRY_DEADLINE`].
pub(crate) async fn wait_served_after(
    deployment: &ExclusiveDeployment,
    entry: &str,
    key: &str,
    epoch: u64,
) -> Answer {
    wait_served_with(deployment, entry, key, epoch, RETRY_DEADLINE).await
}

/// Like [`wait_served_after`], for backend servers that take longer than [`RETRY_DEADLINE`].
pub(crate) async fn wait_served_slowly_after(
    deployment: &ExclusiveDeployment,
    entry: &str,
    key: &str,
    epoch: u64,
) -> Answer {
    wait_served_with(deployment, entry, key, epoch, DEADLINE).await
}

async fn wait_served_with(
    deployment: &ExclusiveDeployment,
    entry: &str,
    key: &str,
    epoch: u64,
    deadline: Duration,
) -> Answer {
    let start = Instant::now();
    let mut last = None;
    while start.elapsed() < MAX_WAIT {
        let result = post(deployment.http(), entry, key, None, deadline).await;
        match result {
            Ok(answer) if answer.outcome == "answered" && answer.epoch > epoch => return answer,
            unserved => last = Some(unserved),
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("{key} is not served under an epoch later than {epoch}; last result: {last:?}");
}

/// Submits ticket `number`, which pins a key to a server, and asserts that it is accepted.
pub(crate) async fn pin(deployment: &ExclusiveDeployment, number: u64, key: &str, server: &str) {
    let object = json!({ "pin": { "service": SERVICE, "key": key, "server": server } });
    let ticket = json!({ "number": number, "objects": [object] });
    let (status, body) = deployment.submit(&ticket).await.unwrap();
    assert_eq!(status, 200, "{body}");
}

/// Waits until VM `index` owns a key; returns the epoch of its grant.
pub(crate) async fn wait_owner(deployment: &ExclusiveDeployment, key: &str, index: usize) -> u64 {
    let start = Instant::now();
    while start.elapsed() < MAX_WAIT {
        let (owner, epoch) = deployment.find_owner(SERVICE, key).await.unwrap();
        if owner == index {
            return epoch;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    print_logs(deployment);
    let status = deployment.status().await;
    let name = &deployment.vms[index].server.name;
    panic!("{key} is not owned by {name}: {status:?}");
}

/// Prints the logs of the replicas and nodes; the test runner shows them only if the test fails.
pub(crate) fn print_logs(deployment: &ExclusiveDeployment) {
    for replica in deployment.control.iter().flatten() {
        println!("{}:\n{}", replica.name(), replica.log());
    }
    for vm in &deployment.vms {
        println!("{}:\n{}", vm.node.name(), vm.node.log());
    }
}

/// Asserts that the epochs of each key never decrease and that no key has two servers in an epoch.
pub(crate) fn assert_one_owner(executions: &[execution_log::Execution]) {
    let mut last: BTreeMap<&str, &execution_log::Execution> = BTreeMap::new();
    let mut servers: BTreeMap<(&str, u64), &str> = BTreeMap::new();
    for execution in executions {
        let server = servers
            .entry((&execution.key, execution.epoch))
            .or_insert(&execution.server);
        assert_eq!(
            *server, execution.server,
            "two servers in one epoch: {execution:?}"
        );
        if let Some(previous) = last.insert(&execution.key, execution) {
            assert!(
                previous.epoch <= execution.epoch,
                "{execution:?} after {previous:?}"
            );
        }
    }
}

/// Counts the executions of each request id.
pub(crate) fn count_executions(executions: &[execution_log::Execution]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for execution in executions {
        *counts.entry(execution.request.clone()).or_default() += 1;
    }
    counts
}

/// Returns the index of the first VM that is not in `excluded`.
pub(crate) fn other_vm(deployment: &ExclusiveDeployment, excluded: &[usize]) -> usize {
    let mut indices = 0..deployment.vms.len();
    indices.find(|index| !excluded.contains(index)).unwrap()
}

/// Returns a ticket that pins a key to no server, so that it changes no assignment.
pub(crate) fn pin_ticket(number: u64, key: &str) -> Value {
    json!({ "number": number, "objects": [
        { "pin": { "service": SERVICE, "key": key, "server": null } },
    ] })
}
