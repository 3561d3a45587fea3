//! Uploads in a burst, and the memory of the nodes beside the servers that get them.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{self, Deployment};
use crate::record::Record;
use crate::server::{Config, Server};
use crate::{Verdict, http};

/// Memory of a sidecar machine, in MiB; the sheet says 260 MB.
const MEMORY_MIB: u32 = 260;
const SLOTS: usize = 9;
const WORK_MS: u64 = 2_000;
/// A body within `maxBodyBytes`.
const BODY_BYTES: usize = 16_600_000;
const MAX_BODY_BYTES: usize = 67_108_864;
const CLIENTS: usize = 9;
/// Dose of a burst at the site: 1.7 times the traffic for 3 s.
const BURST: f64 = 1.7;
const BURST_S: f64 = 3.0;
/// When bursts begin, in seconds from the start of traffic.
const BURSTS_AT: [f64; 4] = [10.0, 22.0, 34.0, 46.0];
const TRAFFIC_S: f64 = 58.0;
/// Delay after which the platform restarts a process.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// The rule: this many ends of a process, on this many machines.
const ENDS: usize = 3;
const MACHINES: usize = 2;

/// Service of each machine. The first two get the uploads.
const SERVICES: [&str; 9] = [
    "intakehub",
    "intakehub",
    "paydesk",
    "paydesk",
    "paydesk",
    "paydesk",
    "paydesk",
    "paydesk",
    "paydesk",
];
/// Machines of the clients, as many in the zone of one of these servers as of the other.
const CLIENT_MACHINES: [u8; 6] = [4, 5, 6, 7, 8, 9];

fn config_body() -> String {
    let service = |name: &str| {
        format!(
            r#"{{"name":"{name}","healthPath":"/health","maxConnections":71,"protocol":"h1","tls":false}}"#
        )
    };
    format!(
        r#"{{"version":"r1","services":[{},{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":{MAX_BODY_BYTES},"headerTimeout":"3000ms","idleTimeout":"15000ms"}},"virtualHosts":[{{"host":"{}","pathRules":[{{"name":"r-up","pathPrefix":"/up/","kind":"upload","timeout":"6000ms","targetLatency":"3000ms","priority":1,"service":"intakehub","maxAttempts":2}}]}}]}}"#,
        service("intakehub"),
        service("paydesk"),
        deployment::HOST,
    )
}

/// One client: it uploads a body, and pauses when it gets no success.
struct Client {
    address: std::net::SocketAddr,
    name: String,
    record: Arc<Record>,
    served: Arc<AtomicU64>,
}

impl Client {
    fn run(&self, is_wanted: impl Fn() -> bool) {
        let body = vec![b'x'; BODY_BYTES];
        let mut number = 0;
        while is_wanted() {
            number += 1;
            let id = format!("{}-{number}", self.name);
            let head = format!(
                "POST /up/x HTTP/1.1\r\nHost: {}\r\nSequoiayoke-Request-Id: {id}\r\nSequoiayoke-Deadline-Ms: 5000\r\n",
                deployment::HOST
            );
            self.record
                .line(format!("client sends {id}, {BODY_BYTES} bytes"));
            let start = Instant::now();
            let answer = http::call(self.address, &head, &body, Duration::from_secs(5));
            let status = answer.map_or(0, |answer| answer.status());
            let took = start.elapsed().as_millis();
            self.record
                .line(format!("client gets {status} for {id} after {took} ms"));
            if status == 200 {
                self.served.fetch_add(1, Ordering::SeqCst);
            } else {
                thread::sleep(Duration::from_millis(300));
            }
        }
    }
}

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let mut deployment = Deployment::start(record, 3, &SERVICES, MEMORY_MIB);
    if !deployment.configure(0, &config_body(), Duration::from_secs(15)) {
        return Verdict::NotRun("the first configuration was not acknowledged".to_owned());
    }
    let mut servers = Vec::new();
    for (index, service) in (1..).zip(&SERVICES) {
        let config = Config {
            id: format!("i-{index}"),
            service: (*service).to_owned(),
            zone: deployment::zone(index).to_owned(),
            address: deployment.side(index, deployment.ports.server),
            control: deployment.side(index, deployment.ports.control),
            slots: SLOTS,
            is_keyed: false,
            first_check_in: Duration::ZERO,
        };
        servers.push(Server::start(config, WORK_MS, record));
    }
    if !deployment.wait_until_ready(Duration::from_secs(15)) {
        return Verdict::NotRun("the nodes are not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(2));
    let start = Instant::now();
    let at = move || start.elapsed().as_secs_f64();
    let is_burst = move || {
        let at = at();
        has_trouble
            && BURSTS_AT
                .iter()
                .any(|begin| (*begin..begin + BURST_S).contains(&at))
    };
    let stop = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let all = (CLIENTS as f64 * BURST) as usize;
    let mut threads = Vec::new();
    for number in 0..all {
        let machine = CLIENT_MACHINES[number % CLIENT_MACHINES.len()];
        let client = Client {
            address: deployment.side(machine, deployment.ports.outbound),
            name: format!("u{number}"),
            record: Arc::clone(record),
            served: Arc::clone(&served),
        };
        let stop = Arc::clone(&stop);
        threads.push(thread::spawn(move || {
            let is_usual = number < CLIENTS;
            if is_usual {
                // They do not begin at the same moment.
                thread::sleep(Duration::from_millis(number as u64 * 180));
            }
            while !stop.load(Ordering::SeqCst) {
                let is_stopped = || stop.load(Ordering::SeqCst);
                client.run(|| !is_stopped() && (is_usual || is_burst()));
                thread::sleep(Duration::from_millis(20));
            }
        }));
    }
    let limit = u64::from(MEMORY_MIB) * 1024 * 1024;
    let (mut peaks, mut ends) = ([0; MACHINES], [0; MACHINES]);
    let mut restarts: [Option<Instant>; MACHINES] = [None; MACHINES];
    while at() < TRAFFIC_S {
        for index in 0..MACHINES {
            let node = &mut deployment.sides[index];
            if let Some(due) = restarts[index] {
                if Instant::now() >= due {
                    restarts[index] = None;
                    node.start();
                }
                continue;
            }
            let resident = node.resident();
            let running = servers[index].running.load(Ordering::SeqCst);
            if resident > peaks[index] + (4 << 20) {
                record.line(format!(
                    "{}: {} MiB, {running} run",
                    node.name,
                    resident >> 20
                ));
            }
            peaks[index] = resident.max(peaks[index]);
            if resident > limit {
                // The platform kills a process that uses more than its memory.
                record.line(format!(
                    "{} uses {} MiB of {MEMORY_MIB}, {running} run",
                    node.name,
                    resident >> 20
                ));
                node.kill();
                ends[index] += 1;
                restarts[index] = Some(Instant::now() + RESTART_DELAY);
            } else if let Some(status) = node.ended() {
                return Verdict::Broken(format!("{} ended by itself: {status}", node.name));
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    let peaks = peaks.map(|peak| peak >> 20);
    let text = format!(
        "ends {ends:?}, peaks {peaks:?} MiB of {MEMORY_MIB}, {} uploads served",
        served.load(Ordering::SeqCst)
    );
    record.line(&text);
    match ends.iter().all(|count| *count >= ENDS) {
        true => Verdict::Broken(text),
        false => Verdict::Held,
    }
}
