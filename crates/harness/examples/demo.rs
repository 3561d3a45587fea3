//! Starts a deployment with services of Ankesör on loopback, sends requests, and kills a VM.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::{Duration, Instant};

use reqwest::Method;
use sequoiayoke_harness::{Deployment, Error, caller, settings};

/// Deadline of each request.
const DEADLINE: Duration = Duration::from_secs(5);
/// Keys of each service that are requested.
const KEYS: usize = 8;

#[tokio::main]
async fn main() -> ExitCode {
    let bin = std::env::args_os().nth(1);
    let bin = bin.map_or_else(sequoiayoke_harness::release_folder, PathBuf::from);
    match run(&bin).await {
        Ok(0) => {
            println!("done: every answer was correct");
            ExitCode::SUCCESS
        }
        Ok(wrong) => {
            eprintln!("{wrong} answers were wrong");
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("the demo failed: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(bin: &Path) -> Result<usize, Error> {
    let spec = settings::Spec::new(3)
        .with_service("kiosk-status", 5, 12, 2)
        .with_service("refunds", 4, 12, 5)
        .with_service("photos", 3, 12, 5);
    println!("starting 3 control replicas, 12 nodes and 12 stand-ins");
    let mut deployment = Deployment::start(bin, spec)?;
    deployment.wait_joined().await?;
    println!("ticket 1 creates the services");
    deployment.create_services(16).await?;
    let mut wrong = 0;
    for service in ["kiosk-status", "refunds", "photos"] {
        for number in 0..KEYS {
            let entry = deployment.vms[number % deployment.vms.len()]
                .caller()
                .to_owned();
            wrong += check_answer(&deployment, &entry, service, &format!("key-{number}")).await?;
        }
    }
    wrong += check_failover(&mut deployment).await?;
    if wrong > 0 {
        for line in deployment.warnings() {
            eprintln!("{line}");
        }
    }
    Ok(wrong)
}

/// Sends a request and returns the number of wrong answers, 0 or 1.
async fn check_answer(
    deployment: &Deployment,
    entry: &str,
    service: &str,
    key: &str,
) -> Result<usize, Error> {
    let method = match service {
        "refunds" => Method::POST,
        _ => Method::GET,
    };
    let path = format!("/s/{service}/{key}");
    let answer = caller::send(deployment.http(), entry, method, &path, None, DEADLINE).await?;
    println!(
        "{service}/{key} through {entry}: {} by {} under epoch {} {}",
        answer.outcome, answer.server, answer.epoch, answer.reason
    );
    let is_correct = answer.outcome == "answered"
        && answer.body["key"] == key
        && answer.body["server"] == answer.server.as_str();
    Ok(usize::from(!is_correct))
}

/// Kills the VM that owns a key, sends a request for the key, and returns the number of wrong
/// answers, 0 or 1.
async fn check_failover(deployment: &mut Deployment) -> Result<usize, Error> {
    let (service, key) = ("kiosk-status", "key-0");
    let path = format!("/s/{service}/{key}");
    let entry = deployment.vms[11].caller().to_owned();
    let http = deployment.http().clone();
    let before = caller::send(&http, &entry, Method::GET, &path, None, DEADLINE).await?;
    let owner = deployment
        .vms
        .iter()
        .position(|vm| vm.server.name == before.server);
    let Some(owner) = owner else {
        return Ok(1);
    };
    println!("killing the VM of {}", before.server);
    let start = Instant::now();
    deployment.vms[owner].kill();
    let after = caller::send(&http, &entry, Method::GET, &path, None, DEADLINE).await?;
    let elapsed = start.elapsed();
    println!(
        "{service}/{key} is {} {} by {} under epoch {} after {} ms",
        after.outcome,
        after.reason,
        after.server,
        after.epoch,
        elapsed.as_millis()
    );
    let url = format!(
        "http://{}/v1/explain/{service}/{key}",
        leader_address(deployment).await?
    );
    let explanation: serde_json::Value = http.get(url).send().await?.json().await?;
    println!("history of the key: {}", explanation["history"]);
    let is_correct = after.outcome == "answered"
        && after.server != before.server
        && after.epoch > before.epoch
        && elapsed < Duration::from_secs(2);
    Ok(usize::from(!is_correct))
}

async fn leader_address(deployment: &Deployment) -> Result<String, Error> {
    let leader = deployment.leader().await;
    let leader = leader.ok_or_else(|| Error::Timeout("a leader".to_owned()))?;
    Ok(settings::operator_address(&deployment.ip, leader))
}
