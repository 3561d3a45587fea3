//! Freezes, kills and a drain under load.

use std::thread;
use std::time::{Duration, Instant};

use sequoiayoke_emulator::load::{mix, plan};
use serde_json::json;

use crate::bench;

/// Number of servers: two are lost and one is drained.
pub(crate) const OWNERS: usize = 5;
/// Requests a second.
const RATE: f64 = 500.0;
/// Length of the run.
const DURATION: Duration = Duration::from_secs(14);
/// Deadline of the requests.
const DEADLINE: Duration = Duration::from_secs(3);

/// Runs load through all nodes while faults occur.
pub(crate) fn run(mut bench: bench::Bench) -> Result<bool, bench::Error> {
    let targets = [bench.owners(), bench.entry()].concat();
    let mut plan = bench.plan(plan::Mode::Nodes, targets, RATE);
    plan.duration = DURATION;
    plan.deadline = DEADLINE;
    plan.mix = mix::Mix {
        shares: vec![mix::Share::new(bench::SERVICE, 1.0, 0.5, 0.45, 0.05)],
    };
    plan.upload_bytes = 64 * 1024;
    plan.pids.clear();
    let load = thread::spawn(move || bench::run_once("faults", &plan));
    let start = Instant::now();
    let injected = inject_faults(&mut bench, start);
    let report = load
        .join()
        .map_err(|_| bench::Error::Load("the load tool panicked".to_owned()))??;
    injected?;
    println!(
        "=== faults: wrong {}, lost {}, {}",
        report.wrong,
        report.lost,
        if report.is_clean() {
            "clean"
        } else {
            "NOT CLEAN"
        }
    );
    Ok(report.is_clean())
}

/// Sleeps until `ms` after `start`, in real time like the load.
fn sleep_until(start: Instant, ms: u64) {
    let due = start + Duration::from_millis(ms);
    thread::sleep(due.saturating_duration_since(Instant::now()));
}

/// Injects the faults at fixed times after `start`.
fn inject_faults(bench: &mut bench::Bench, start: Instant) -> Result<(), bench::Error> {
    let log = |message: &str| println!("{:>6} ms: {message}", start.elapsed().as_millis());
    sleep_until(start, 1_500);
    log("freeze a backend server for 1.5 s");
    bench.deployment.vms[0].standin.pause();
    sleep_until(start, 3_000);
    bench.deployment.vms[0].standin.resume();
    sleep_until(start, 4_000);
    log("freeze a node for 2 s");
    bench.deployment.vms[1].node.pause();
    sleep_until(start, 6_000);
    bench.deployment.vms[1].node.resume();
    sleep_until(start, 7_000);
    log("kill a node; its backend server keeps running");
    bench.deployment.vms[2].node.kill();
    sleep_until(start, 8_500);
    log("drain a server by ticket");
    let ticket = json!({ "number": 2, "objects": [
        { "server": { "name": bench.deployment.vms[3].server.name, "state": "draining" } },
    ] });
    let submitted = bench.deployment.submit(&ticket);
    let (status, answer) = bench.runtime.block_on(submitted)?;
    log(&format!("ticket 2: {status} {}", answer["status"]));
    sleep_until(start, 10_000);
    log("kill the control leader");
    let leader = bench.runtime.block_on(bench.deployment.leader());
    if let Some(replica) = leader.and_then(|index| bench.deployment.control[index].as_mut()) {
        replica.kill();
    }
    sleep_until(start, 11_500);
    log("lose a VM permanently: kill the node, freeze the backend server");
    bench.deployment.vms[0].node.kill();
    bench.deployment.vms[0].standin.pause();
    sleep_until(start, 15_000);
    // The audit reads the executions of this stand-in.
    bench.deployment.vms[0].standin.resume();
    Ok(())
}
