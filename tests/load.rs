//! Load through all nodes of real processes while a VM is lost.

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
/// Low enough that a debug build on a busy machine bears it.
const RATE: f64 = 200.0;
/// Long enough that the lost server has requests in flight.
const DELAY_MS: u64 = 100;
const SLOTS: u32 = 24;
const DURATION: Duration = Duration::from_secs(5);
const DEADLINE: Duration = Duration::from_secs(5);
/// Requests that the lost server has run before it is lost.
const RUN_BEFORE: usize = 20;

fn addresses<'a, I>(texts: I) -> Vec<net::SocketAddr>
where
    I: Iterator<Item = &'a str>,
{
    texts.map(|text| text.parse().unwrap()).collect()
}

fn plan(deployment: &Deployment, seed: u64) -> plan::Plan {
    let pairs = &deployment.vms;
    let targets = addresses(pairs.iter().map(|pair| pair.caller()));
    let shares = vec![mix::Share::new(SERVICE, 1.0, 0.5, 0.45, 0.05)];
    let standins = addresses(pairs.iter().map(|pair| pair.standin_address()));
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

async fn wait_until_busy(deployment: &Deployment, standin: &str) {
    let url = format!("http://{standin}/fault/v1/executions");
    let start = Instant::now();
    while start.elapsed() < deployment::MAX_WAIT {
        let answer = deployment.http().get(&url).send().await.unwrap();
        let executions: Value = answer.json().await.unwrap();
        let ids = executions["ids"].as_object();
        if ids.is_some_and(|ids| ids.len() >= RUN_BEFORE) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the server has not run {RUN_BEFORE} requests");
}

/// Loses a VM once its server is busy; its server resumes when others own its keys.
async fn lose(deployment: &mut Deployment) {
    let standin = deployment.vms[0].standin_address().to_owned();
    wait_until_busy(deployment, &standin).await;
    // Frozen and not killed, so that the audit can read later what it has executed.
    deployment.vms[0].node.kill();
    deployment.vms[0].standin.pause();
    let taken_over = |status: &Value| {
        status["servers"].as_array().map(Vec::len) == Some(SERVERS - 1)
            && status["services"][0]["vacant"] == json!(0)
    };
    let waited = deployment.wait_status("others own all keys", taken_over);
    waited.await.unwrap();
    deployment.vms[0].standin.resume();
}

async fn scrape(deployment: &Deployment, address: &str) -> String {
    let url = format!("http://{address}/metrics");
    let answer = deployment.http().get(url).send().await.unwrap();
    assert_eq!(answer.status(), 200);
    answer.text().await.unwrap()
}

/// The processes count what the load tool saw.
async fn check_metrics(deployment: &Deployment) {
    for pair in &deployment.vms[1..] {
        let text = scrape(deployment, pair.node.field("metrics").unwrap()).await;
        let answered = "sequoiayoke_requests_total{outcome=\"answered\"";
        assert!(text.contains(answered), "{text}");
    }
    for (index, address) in deployment.operator_addresses().iter().enumerate() {
        let text = scrape(deployment, address).await;
        let leads = deployment.leader().await == Some(index);
        let line = format!("sequoiayoke_leads {}\n", u8::from(leads));
        assert!(text.contains(&line), "{text}");
    }
}

fn check(report: &report::Report, seed: u64) {
    let about = format!("seed {seed}\n{report}");
    assert!(report.is_clean(), "{about}");
    let audit = report.frame.audit.as_ref().unwrap();
    assert_eq!(audit.gaps, Vec::<String>::new(), "{about}");
    assert!(audit.ids > 0 && report.finished > 0, "{about}");
}

/// Guards against wrong, lost and doubled answers, and against requests that ran though
/// they were reported as not run, when the owner of keys is lost under load.
#[test]
fn a_lost_vm_under_load_costs_no_answer() {
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
    runtime.block_on(lose(&mut deployment));
    let report = load.join().unwrap();
    println!("{report}");
    check(&report, seed);
    runtime.block_on(check_metrics(&deployment));
}
