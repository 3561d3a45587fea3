//! Two core machines are down for a while; then two others lose their disks. All of them come back.

use std::fs;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::{self, Deployment};
use crate::record::Record;

/// Core machines that run the role: half of eleven, rounded up in each of three zones.
const CORES: u8 = 6;
/// The machines that are down, and those that lose their disks: as many as `faultTolerance` allows.
const DOWN: [u8; 2] = [5, 6];
const WIPED: [u8; 2] = [1, 2];
/// Time until the group has taken in all machines.
const FORMING: Duration = Duration::from_secs(14);
/// For how long the two machines are down before the others lose their disks. A new leader removes a
/// silent machine 20 s after it was elected.
const DOWN_TIME: Duration = Duration::from_secs(40);
/// Delay after which a process is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Bound `recovery` of the site.
const RECOVERY: Duration = Duration::from_secs(15);
/// For how long the config is read back after that; `contact` is 3 s.
const READING: Duration = Duration::from_secs(20);

fn config_body(version: u64) -> String {
    format!(
        r#"{{"version":"r{version}","services":[{{"name":"iade","healthPath":"/health","maxConnections":370,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}},"virtualHosts":[{{"host":"{}","pathRules":[{{"name":"r-refund","pathPrefix":"/refund/","kind":"non_idempotent","timeout":"2500ms","targetLatency":"600ms","priority":1,"service":"iade","maxAttempts":2}}]}}]}}"#,
        deployment::HOST
    )
}

/// Reads the config at one machine; returns the status and the body.
fn read(deployment: &Deployment, index: u8) -> (u16, Vec<u8>) {
    let answer = deployment.operate(index, "config.read", "", b"");
    answer.map_or((0, Vec::new()), |answer| (answer.status(), answer.body))
}

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let mut deployment = Deployment::start(record, CORES, &[], 160);
    if !deployment.configure(0, &config_body(1), Duration::from_secs(15)) {
        return Verdict::NotRun("the first configuration was not acknowledged".to_owned());
    }
    thread::sleep(FORMING);
    if has_trouble {
        for index in DOWN {
            deployment.cores[usize::from(index) - 1].kill();
        }
    }
    thread::sleep(DOWN_TIME);
    let newest = config_body(3);
    if !deployment.configure(1, &newest, Duration::from_secs(4)) {
        return Verdict::NotRun("the second configuration was not acknowledged".to_owned());
    }
    thread::sleep(Duration::from_secs(1));
    if has_trouble {
        for index in WIPED {
            deployment.cores[usize::from(index) - 1].kill();
            let folder = deployment.data_folder(index);
            if let Err(error) = fs::remove_dir_all(folder) {
                return Verdict::NotRun(format!("a disk could not be emptied: {error}"));
            }
            record.line(format!("core-{index} has lost its disk"));
        }
        thread::sleep(RESTART_DELAY);
        for index in WIPED.into_iter().chain(DOWN) {
            deployment.cores[usize::from(index) - 1].start();
        }
    }
    record.line("all machines are back");
    let back = Instant::now();
    let mut last = [0; CORES as usize];
    while back.elapsed() < RECOVERY + READING {
        for index in 1..=CORES {
            let (status, body) = read(&deployment, index);
            let is_newest = status == 200 && body == newest.as_bytes();
            if status != last[usize::from(index) - 1] {
                record.line(format!(
                    "operator: config.read at core-{index}: {status}, newest: {is_newest}"
                ));
                last[usize::from(index) - 1] = status;
            }
            if status == 200 && !is_newest {
                return Verdict::Broken(format!("core-{index} returns an older config"));
            }
            // The former leader may answer until it notices that it has no majority.
            if is_newest && back.elapsed() > RECOVERY {
                return Verdict::Held;
            }
        }
        thread::sleep(Duration::from_millis(300));
    }
    let waited = back.elapsed().as_secs();
    let mut ended = Vec::new();
    for process in &mut deployment.cores {
        ended.extend(
            process
                .ended()
                .map(|status| format!("{} {status}", process.name)),
        );
    }
    Verdict::Broken(format!(
        "no machine returns the acknowledged config {waited} s after all are back; ended by themselves: {ended:?}"
    ))
}
