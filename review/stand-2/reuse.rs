//! A server falls silent, and its address goes to a server of another service with keys, whose first
//! check-ins arrive late.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::{self, Deployment};
use crate::record::Record;
use crate::server::{Config, Server};
use crate::{Verdict, http};

const SLOTS: usize = 12;
const WORK_MS: u64 = 60;
/// Time from the end of a server until its address is used again; `addrReuse` is 2 s.
const REUSED_AFTER: Duration = Duration::from_millis(2_500);
/// How late the check-ins of the new server arrive.
const LATE: Duration = Duration::from_millis(2_000);
/// For how long two servers may hold the same keys.
const BOUND: Duration = Duration::from_millis(500);
const WATCHED: Duration = Duration::from_secs(15);
/// Service of the server beside each node. Both have keys.
const SERVICES: [&str; 4] = ["durum", "durum", "stok", "stok"];

fn config_body() -> String {
    let service = |name: &str| {
        format!(
            r#"{{"name":"{name}","healthPath":"/health","maxConnections":130,"protocol":"h1","tls":false,"sharded":true,"warmup":"2s","grants":"direct"}}"#
        )
    };
    let rule = |name: &str| {
        format!(
            r#"{{"name":"r-{name}","pathPrefix":"/{name}/","kind":"idempotent","timeout":"2000ms","targetLatency":"500ms","priority":2,"service":"{name}","maxAttempts":2}}"#
        )
    };
    format!(
        r#"{{"version":"r1","services":[{},{}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}},"virtualHosts":[{{"host":"{}","pathRules":[{},{}]}}]}}"#,
        service("durum"),
        service("stok"),
        deployment::HOST,
        rule("durum"),
        rule("stok")
    )
}

/// Sends requests to keys of both services.
fn client(deployment: &Deployment, lane: u16, stop: &Arc<AtomicBool>) -> thread::JoinHandle<()> {
    let address = deployment.side(1 + (lane % 4) as u8, deployment.ports.outbound);
    let (record, stop) = (Arc::clone(&deployment.record), Arc::clone(stop));
    thread::spawn(move || {
        let mut number: u16 = 0;
        while !stop.load(Ordering::SeqCst) {
            number += 1;
            let service = ["durum", "stok"][usize::from(number % 2)];
            let (id, key) = (format!("q{lane}-{number}"), number.wrapping_mul(7_919));
            let head = format!(
                "GET /{service}/x HTTP/1.1\r\nHost: {}\r\nSequoiayoke-Request-Id: {id}\r\nSequoiayoke-Shard-Key: {key}\r\nSequoiayoke-Deadline-Ms: 1200\r\n",
                deployment::HOST
            );
            record.line(format!("client sends {id} to {service} key {key}"));
            let answer = http::call(address, &head, b"", Duration::from_millis(1_200));
            let status = answer.map_or(0, |answer| answer.status());
            record.line(format!("client gets {status} for {id}"));
            thread::sleep(Duration::from_millis(200));
        }
    })
}

/// Returns a key that two servers of one service hold now, with their names.
fn shared_key(servers: &[Arc<Server>]) -> Option<(u16, String, String)> {
    for (index, first) in servers.iter().enumerate() {
        for second in &servers[index + 1..] {
            if first.config.service != second.config.service {
                continue;
            }
            for own in first.held() {
                let mut others = second.held().into_iter();
                let other = others.find(|hold| hold.from <= own.target && own.from <= hold.target);
                if let Some(other) = other {
                    let key = own.from.max(other.from);
                    return Some((key, first.life.clone(), second.life.clone()));
                }
            }
        }
    }
    None
}

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let deployment = Deployment::start(record, 3, &SERVICES, 260);
    if !deployment.configure(0, &config_body(), Duration::from_secs(15)) {
        return Verdict::NotRun("the first configuration was not acknowledged".to_owned());
    }
    let config = |index: u8, id: &str, service: &str, first_check_in| Config {
        id: id.to_owned(),
        service: service.to_owned(),
        zone: deployment::zone(index).to_owned(),
        address: deployment.side(index, deployment.ports.server),
        control: deployment.side(index, deployment.ports.control),
        slots: SLOTS,
        is_keyed: true,
        first_check_in,
    };
    let mut servers: Vec<_> = (1..=4_u8)
        .map(|index| {
            let service = SERVICES[usize::from(index) - 1];
            let config = config(index, &format!("i-{index}"), service, Duration::ZERO);
            Server::start(config, WORK_MS, record)
        })
        .collect();
    if !deployment.wait_until_ready(Duration::from_secs(15)) {
        return Verdict::NotRun("the nodes are not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(5));
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..4)
        .map(|lane| client(&deployment, lane, &stop))
        .collect();
    thread::sleep(Duration::from_secs(5));
    if has_trouble {
        let silent = Arc::clone(&servers[0]);
        silent.go_dark();
        thread::sleep(REUSED_AFTER);
        let listener = silent.take_listener();
        let config = config(1, "i-9", "stok", LATE);
        servers.push(Server::start_at(listener, config, WORK_MS, record));
    }
    let start = Instant::now();
    let (mut since, mut longest) = (None, Duration::ZERO);
    let mut names = String::new();
    while start.elapsed() < WATCHED {
        match shared_key(&servers) {
            Some((key, first, second)) => {
                let begin = *since.get_or_insert_with(Instant::now);
                if begin.elapsed() > longest {
                    longest = begin.elapsed();
                    names = format!("key {key} by {first} and {second}");
                }
            }
            None => since = None,
        }
        thread::sleep(Duration::from_millis(10));
    }
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let text = format!(
        "held at the same time for {} ms at most: {names}",
        longest.as_millis()
    );
    record.line(&text);
    match longest > BOUND {
        true => Verdict::Broken(text),
        false => Verdict::Held,
    }
}
