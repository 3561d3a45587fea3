//! What the tests of invariants share.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use reqwest::Method;
use sequoiayoke_harness::caller::{self, Answer};
use sequoiayoke_harness::{Deployment, Error, execution_log, settings};
use serde_json::{Value, json};

/// Service of the tests.
pub(crate) const SERVICE: &str = "refunds";
/// Time that a caller gives a request.
pub(crate) const DEADLINE: Duration = Duration::from_secs(5);
/// Deadline of a request that is sent again until it is answered; a longer one would
/// keep a slice from being handed on by an owner that is stuck.
pub(crate) const RETRY_DEADLINE: Duration = Duration::from_millis(100);
/// Time that something has to come about.
pub(crate) const MAX_WAIT: Duration = Duration::from_secs(20);

/// One deployment at a time: leases are short, and the machine is shared.
static TURN: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// A deployment, and the turn to run it.
pub(crate) struct ExclusiveDeployment {
    pub(crate) deployment: Deployment,
    _turn: tokio::sync::MutexGuard<'static, ()>,
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

/// Directory of the programs.
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
    let turn = TURN.lock().await;
    let spec = settings::Spec::new(3)
        .with_service(SERVICE, servers, slots, delay_ms)
        .with_fencing(fencing)
        .with_execution_log();
    let deployment = Deployment::start(&bin(), spec).unwrap();
    deployment.wait_joined().await.unwrap();
    deployment.create_services(8).await.unwrap();
    ExclusiveDeployment {
        deployment,
        _turn: turn,
    }
}

/// Path of a key.
pub(crate) fn path(key: &str) -> String {
    format!("/s/{SERVICE}/{key}")
}

/// Sends a write.
pub(crate) async fn post(
    http: &reqwest::Client,
    entry: &str,
    key: &str,
    id: Option<&str>,
    deadline: Duration,
) -> Result<Answer, Error> {
    caller::send(http, entry, Method::POST, &path(key), id, deadline).await
}

/// Sends writes until one is answered by a later epoch than `epoch`.
pub(crate) async fn wait_served_after(
    world: &ExclusiveDeployment,
    entry: &str,
    key: &str,
    epoch: u64,
) -> Answer {
    served_within(world, entry, key, epoch, RETRY_DEADLINE).await
}

/// As [`wait_served_after`], for backend servers that take longer than [`RETRY_DEADLINE`].
pub(crate) async fn wait_served_slowly_after(
    world: &ExclusiveDeployment,
    entry: &str,
    key: &str,
    epoch: u64,
) -> Answer {
    served_within(world, entry, key, epoch, DEADLINE).await
}

async fn served_within(
    world: &ExclusiveDeployment,
    entry: &str,
    key: &str,
    epoch: u64,
    deadline: Duration,
) -> Answer {
    let start = Instant::now();
    let mut last = None;
    while start.elapsed() < MAX_WAIT {
        let sent = post(world.http(), entry, key, None, deadline).await;
        match sent {
            Ok(answer) if answer.outcome == "answered" && answer.epoch > epoch => return answer,
            other => last = Some(other),
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("{key} is not served under an epoch after {epoch}: {last:?}");
}

/// Pins a key to a server by ticket; returns the number of the ticket.
pub(crate) async fn pin(world: &ExclusiveDeployment, number: u64, key: &str, server: &str) {
    let object = json!({ "pin": { "service": SERVICE, "key": key, "server": server } });
    let ticket = json!({ "number": number, "objects": [object] });
    let (status, body) = world.submit(&ticket).await.unwrap();
    assert_eq!(status, 200, "{body}");
}

/// Waits until a key has a certain owner.
pub(crate) async fn wait_owner(world: &ExclusiveDeployment, key: &str, index: usize) -> u64 {
    let start = Instant::now();
    while start.elapsed() < MAX_WAIT {
        let (owner, epoch) = world.find_owner(SERVICE, key).await.unwrap();
        if owner == index {
            return epoch;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    print_logs(world);
    let status = world.status().await;
    let name = &world.vms[index].server.name;
    panic!("{key} is not owned by {name}: {status:?}");
}

/// Prints what the replicas and nodes have logged; shown only for a test that fails.
pub(crate) fn print_logs(world: &ExclusiveDeployment) {
    for replica in world.control.iter().flatten() {
        println!("{}:\n{}", replica.name(), replica.log());
    }
    for pair in &world.vms {
        println!("{}:\n{}", pair.node.name(), pair.node.log());
    }
}

/// Asserts that the epochs of each key never fall and that no epoch has two servers.
pub(crate) fn assert_one_owner(executions: &[execution_log::Execution]) {
    let mut last: BTreeMap<&str, &execution_log::Execution> = BTreeMap::new();
    let mut servers: BTreeMap<(&str, u64), &str> = BTreeMap::new();
    for one in executions {
        let server = servers.entry((&one.key, one.epoch)).or_insert(&one.server);
        assert_eq!(*server, one.server, "two servers in one epoch: {one:?}");
        if let Some(before) = last.insert(&one.key, one) {
            assert!(before.epoch <= one.epoch, "{one:?} after {before:?}");
        }
    }
}

/// Counts the executions of each request id.
pub(crate) fn count_executions(executions: &[execution_log::Execution]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for one in executions {
        *counts.entry(one.request.clone()).or_default() += 1;
    }
    counts
}

/// Returns the number of a VM other than these.
pub(crate) fn other_vm(world: &ExclusiveDeployment, not: &[usize]) -> usize {
    let mut all = 0..world.vms.len();
    all.find(|index| !not.contains(index)).unwrap()
}

/// Returns the body of a ticket that changes nothing but its number's state of a pin.
pub(crate) fn pin_ticket(number: u64, key: &str) -> Value {
    json!({ "number": number, "objects": [
        { "pin": { "service": SERVICE, "key": key, "server": null } },
    ] })
}
