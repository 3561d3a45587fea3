//! Load through all nodes of a deployment of real processes, of which one VM is lost.

#![allow(clippy::unwrap_used)]

use std::net;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use rand::RngExt as _;
use sequoiayoke_emulator::load;
use sequoiayoke_emulator::load::{mix, plan, report};
use sequoiayoke_harness::{Deployment, deployment, settings};
use serde_json::{Value, json};
use tokio::runtime;

const SERVICE: &str = "kiosk-status";
const SERVERS: usize = 4;
/// Requests per second; low enough for a debug build on a busy machine.
const RATE: f64 = 200.0;
/// Long enough that the lost backend server has requests in flight.
const DELAY_MS: u64 = 100;
const SLOTS: u32 = 24;
const DURATION: Duration = Duration::from_secs(5);
const DEADLINE: Duration = Duration::from_secs(5);
/// Requests that the backend server has executed before it is lost.
const EXECUTED_BEFORE_LOSS: usize = 20;

fn addresses<'a, I>(texts: I) -> Vec<net::SocketAddr>
where
    I: Iterator<Item = &'a str>,
{
    texts.map(|text| text.parse().unwrap()).collect()
}

fn plan(deployment: &Deployment, seed: u64) -> plan::Plan {
    let vms = &deployment.vms;
    let targets = addresses(vms.iter().map(|vm| vm.caller()));
    let shares = vec![mix::Share::new(SERVICE, 1.0, 0.5, 0.45, 0.05)];
    let standins = addresses(vms.iter().map(|vm| vm.standin_address()));
    plan::Plan {
        deadline: DEADLINE,
        upload_bytes: 64 * 1024,
        ..plan::Plan::new(plan::Mode::Nodes, targets)
            .with_seed(seed)
            .with_load(RATE, DURATION)
            .with_mix(mix::Mix { shares })
            .with_standins(standins)
    }
}

/// Waits until a stand-in has executed [`EXECUTED_BEFORE_LOSS`] requests.
async fn wait_until_busy(deployment: &Deployment, standin: &str) {
    let url = format!("http://{standin}/fault/v1/executions");
    let start = Instant::now();
    while start.elapsed() < deployment::MAX_WAIT {
        let answer = deployment.http().get(&url).send().await.unwrap();
        let executions: Value = answer.json().await.unwrap();
        let ids = executions["ids"].as_object();
        if ids.is_some_and(|ids| ids.len() >= EXECUTED_BEFORE_LOSS) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the backend server has not executed {EXECUTED_BEFORE_LOSS} requests");
}

/// Kills the node of a VM and pauses its backend server once that is busy; resumes the server
/// when others own its keys.
async fn lose_vm(deployment: &mut Deployment) {
    let standin = deployment.vms[0].standin_address().to_owned();
    wait_until_busy(deployment, &standin).await;
    // Paused and not killed, so that the audit can later read which requests it has executed.
    deployment.vms[0].node.kill();
    deployment.vms[0].standin.pause();
    let is_taken_over = |status: &Value| {
        status["servers"].as_array().map(Vec::len) == Some(SERVERS - 1)
            && status["services"][0]["vacant"] == json!(0)
    };
    let reached = deployment.wait_status("other servers own all keys", is_taken_over);
    reached.await.unwrap();
    deployment.vms[0].standin.resume();
}

async fn scrape(deployment: &Deployment, address: &str) -> String {
    let url = format!("http://{address}/metrics");
    let answer = deployment.http().get(url).send().await.unwrap();
    assert_eq!(answer.status(), 200);
    answer.text().await.unwrap()
}

/// Asserts that the nodes count answered requests and that each replica reports whether it
/// leads.
async fn assert_metrics(deployment: &Deployment) {
    for vm in &deployment.vms[1..] {
        let text = scrape(deployment, vm.node.field("metrics").unwrap()).await;
        let answered = "sequoiayoke_requests_total{outcome=\"answered\"";
        assert!(text.contains(answered), "{text}");
    }
    for (index, address) in deployment.operator_addresses().iter().enumerate() {
        let text = scrape(deployment, address).await;
        let is_leader = deployment.leader().await == Some(index);
        let line = format!("sequoiayoke_leads {}\n", u8::from(is_leader));
        assert!(text.contains(&line), "{text}");
    }
}

/// Asserts that the report is clean and that its audit has request ids and no gaps.
fn assert_clean(report: &report::Report, seed: u64) {
    let context = format!("seed {seed}\n{report}");
    assert!(report.is_clean(), "{context}");
    let audit = report.frame.audit.as_ref().unwrap();
    assert_eq!(audit.gaps, Vec::<String>::new(), "{context}");
    assert!(audit.ids > 0 && report.finished > 0, "{context}");
}

/// Guards against wrong, lost and duplicate answers, and against requests that were executed
/// although they were reported as not run, when the owner of keys is lost under load.
#[test]
fn no_answer_is_wrong_or_lost_when_a_vm_is_lost_under_load() {
    let seed = rand::rng().random();
    println!("seed {seed}");
    let bin = Path::new(env!("CARGO_BIN_EXE_sequoiayoke-node"));
    let mut spec = settings::Spec::new(3).with_service(SERVICE, SERVERS, SLOTS, DELAY_MS);
    spec.metrics = true;
    let mut deployment = Deployment::start(bin.parent().unwrap(), spec).unwrap();
    let runtime = runtime::Runtime::new().unwrap();
    runtime.block_on(deployment.wait_joined()).unwrap();
    runtime.block_on(deployment.create_services(16)).unwrap();
    let plan = plan(&deployment, seed);
    let load = thread::spawn(move || load::Load::new(plan).unwrap().run().unwrap());
    runtime.block_on(lose_vm(&mut deployment));
    let report = load.join().unwrap();
    println!("{report}");
    assert_clean(&report, seed);
    runtime.block_on(assert_metrics(&deployment));
}
