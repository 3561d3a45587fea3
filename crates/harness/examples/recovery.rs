//! Measures how long a key is unavailable after a loss, and how long a ticket takes to be in force.
//!
//! `cargo run --release -p sequoiayoke-harness --example recovery -- target/release ROUNDS`

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use reqwest::Method;
use sequoiayoke_harness::{Deployment, Error, caller, settings};
use serde_json::json;

/// Deadline of a request, and longest wait for recovery.
const DEADLINE: Duration = Duration::from_secs(10);
/// Deadline of a request to a server that may be frozen.
const FROZEN_DEADLINE: Duration = Duration::from_millis(200);
/// Service under test.
const SERVICE: &str = "kiosk-status";
/// Key that is requested.
const KEY: &str = "kiosk-17";
/// Number of backend servers.
const SERVERS: usize = 6;

/// Processes that are lost in a round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    /// The VM that owns the key is killed.
    Owner,
    /// The leader of the control replicas is killed.
    Leader,
    /// The owner's VM and the leader are killed.
    Both,
    /// The owner's backend server freezes while its node keeps running.
    Backend,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().collect();
    let bin = arguments
        .get(1)
        .map_or_else(sequoiayoke_harness::release_folder, PathBuf::from);
    let rounds = arguments
        .get(2)
        .and_then(|text| text.parse().ok())
        .unwrap_or(20);
    match run(&bin, rounds).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the measurement failed: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(bin: &Path, rounds: usize) -> Result<(), Error> {
    let spec = settings::Spec::new(3).with_service(SERVICE, SERVERS, 12, 1);
    let mut deployment = Deployment::start(bin, spec)?;
    deployment.wait_joined().await?;
    deployment.create_services(48).await?;
    for loss in [Loss::Owner, Loss::Leader, Loss::Both, Loss::Backend] {
        let mut times = histogram();
        for _ in 0..rounds {
            let time = measure_loss(&mut deployment, loss).await?;
            times.saturating_record(time.as_millis() as u64);
        }
        report(
            &format!("lost {loss:?}: ms until the key was served again"),
            &times,
        );
    }
    let mut times = histogram();
    for number in 0..rounds {
        let time = measure_in_force(&deployment, number as u64 + 2).await?;
        times.saturating_record(time.as_millis() as u64);
    }
    report("ms from submission until in force everywhere", &times);
    Ok(())
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000, 3).expect("the bounds are valid")
}

fn report(label: &str, times: &Histogram<u64>) {
    println!(
        "{label}: n={} min={} p50={} p90={} max={}",
        times.len(),
        times.min(),
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.9),
        times.max()
    );
}

/// Kills or freezes processes, and returns the time until the key is served again.
///
/// The processes run again and the replicas have caught up when it returns.
async fn measure_loss(deployment: &mut Deployment, loss: Loss) -> Result<Duration, Error> {
    let (http, path) = (deployment.http().clone(), format!("/s/{SERVICE}/{KEY}"));
    let entry = deployment.vms[0].caller().to_owned();
    let before = caller::send(&http, &entry, Method::GET, &path, None, DEADLINE).await?;
    let owner = deployment
        .vms
        .iter()
        .position(|vm| vm.server.name == before.server);
    let owner = owner.ok_or_else(|| Error::Timeout(format!("an owner: {before:?}")))?;
    let entry_index = (owner + 1) % SERVERS;
    let entry = deployment.vms[entry_index].caller().to_owned();
    let leader = deployment.leader().await;
    let leader = leader.ok_or_else(|| Error::Timeout("a leader".to_owned()))?;
    if loss == Loss::Backend {
        return measure_freeze(deployment, owner, &entry, &path).await;
    }
    if loss != Loss::Owner
        && let Some(mut replica) = deployment.control[leader].take()
    {
        replica.kill();
    }
    if loss != Loss::Leader {
        deployment.vms[owner].kill();
    }
    let start = Instant::now();
    let after = caller::send(&http, &entry, Method::GET, &path, None, DEADLINE).await?;
    let time = start.elapsed();
    if after.outcome != "answered" {
        return Err(Error::Timeout(format!("an answer: {after:?}")));
    }
    if loss != Loss::Owner {
        deployment.start_control(leader)?;
    }
    if loss != Loss::Leader {
        let server = deployment.vms[owner].server.clone();
        deployment.vms[owner] = deployment.start_vm(&server)?;
    }
    deployment.wait_joined().await?;
    deployment
        .wait_status("the replicas have caught up", |status| {
            let commit = status["commit"].as_u64().unwrap_or(u64::MAX);
            let replicas = status["replicas"].as_array();
            replicas.is_some_and(|replicas| {
                let is_caught_up =
                    |replica: &serde_json::Value| replica["matched"].as_u64() >= Some(commit);
                replicas.iter().all(is_caught_up)
            })
        })
        .await?;
    Ok(time)
}

/// Freezes the owner's backend server and sends requests until another server answers; returns
/// the time that this takes.
async fn measure_freeze(
    deployment: &Deployment,
    owner: usize,
    entry: &str,
    path: &str,
) -> Result<Duration, Error> {
    let http = deployment.http();
    deployment.vms[owner].standin.pause();
    let start = Instant::now();
    while start.elapsed() < DEADLINE {
        let result = caller::send(http, entry, Method::GET, path, None, FROZEN_DEADLINE).await;
        let is_served = result.is_ok_and(|answer| answer.outcome == "answered");
        if is_served {
            let time = start.elapsed();
            deployment.vms[owner].standin.resume();
            deployment.wait_joined().await?;
            return Ok(time);
        }
    }
    deployment.vms[owner].standin.resume();
    Err(Error::Timeout("an answer of another server".to_owned()))
}

/// Submits a ticket and returns the time until it is in force everywhere.
async fn measure_in_force(deployment: &Deployment, number: u64) -> Result<Duration, Error> {
    let ticket = json!({ "number": number, "objects": [
        { "server": { "name": format!("{SERVICE}-1"), "state": "serving" } },
    ] });
    let start = Instant::now();
    let (status, answer) = deployment.submit(&ticket).await?;
    if status != 200 {
        return Err(Error::Timeout(format!(
            "ticket {number}: {status} {answer}"
        )));
    }
    let leader = deployment.leader().await;
    let leader = leader.ok_or_else(|| Error::Timeout("a leader".to_owned()))?;
    let address = settings::operator_address(&deployment.ip, leader);
    let url = format!("http://{address}/v1/tickets/{number}");
    while start.elapsed() < DEADLINE {
        let answer = deployment.http().get(&url).send().await?;
        let entry: serde_json::Value = answer.json().await?;
        if entry["in_force"]["complete"] == json!(true) {
            return Ok(start.elapsed());
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    Err(Error::Timeout(format!("ticket {number} in force")))
}
