//! A server crashes, another one starts at its address, and the check-ins of the new one arrive late.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::deployment::{self, Deployment};
use crate::record::Record;
use crate::server::{Config, Event, Server};
use crate::{Verdict, http};

const SLOTS: usize = 12;
const WORK_MS: u64 = 160;
const ROUNDS: u32 = 7;
const ROUND: Duration = Duration::from_millis(9_000);
/// Time between the crash and the start of the next server.
const DOWN: Duration = Duration::from_millis(300);
/// How late the check-ins of the new server arrive.
const LATE: Duration = Duration::from_millis(2_000);
const SERVICES: [&str; 4] = ["durum", "durum", "iade", "iade"];

fn config_body() -> String {
    format!(
        r#"{{"version":"r1","services":[{{"name":"durum","healthPath":"/health","maxConnections":130,"protocol":"h1","tls":false,"sharded":true,"warmup":"2s","grants":"direct"}},{{"name":"iade","healthPath":"/health","maxConnections":130,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}},"virtualHosts":[{{"host":"{}","pathRules":[{{"name":"r-unit","pathPrefix":"/unit/","kind":"idempotent","timeout":"2000ms","targetLatency":"500ms","priority":2,"service":"durum","maxAttempts":2}}]}}]}}"#,
        deployment::HOST
    )
}

/// Sends a request to a key once a second.
fn client(deployment: &Deployment, lane: u16, stop: &Arc<AtomicBool>) -> thread::JoinHandle<()> {
    let address = deployment.side(3 + (lane % 2) as u8, deployment.ports.outbound);
    let (record, stop) = (Arc::clone(&deployment.record), Arc::clone(stop));
    thread::spawn(move || {
        let mut number: u16 = 0;
        while !stop.load(Ordering::SeqCst) {
            number += 1;
            let (id, key) = (format!("q{lane}-{number}"), number.wrapping_mul(7_919));
            let head = format!(
                "GET /unit/x HTTP/1.1\r\nHost: {}\r\nSequoiayoke-Request-Id: {id}\r\nSequoiayoke-Shard-Key: {key}\r\nSequoiayoke-Deadline-Ms: 1200\r\n",
                deployment::HOST
            );
            record.line(format!("client sends {id} key {key}"));
            let answer = http::call(address, &head, b"", Duration::from_millis(1_200));
            let status = answer.map_or(0, |answer| answer.status());
            record.line(format!("client gets {status} for {id}"));
            thread::sleep(Duration::from_millis(1_000));
        }
    })
}

/// Returns the grants that a server took although another server had one of the keys with the same or
/// a higher generation number.
fn faults(events: &[Event]) -> Vec<String> {
    let mut latest: HashMap<u16, (u64, &str)> = HashMap::new();
    let mut faults = Vec::new();
    for event in events {
        let Event::Granted {
            life,
            from,
            target,
            fence,
        } = event
        else {
            continue;
        };
        let keys = *from..=*target;
        let other = keys.clone().find_map(|key| {
            let (known, owner) = latest.get(&key)?;
            (*owner != life && known >= fence).then_some((key, *known, *owner))
        });
        if let Some((key, known, owner)) = other {
            faults.push(format!(
                "{life} took key {key} with generation {fence}; {owner} had it with {known}"
            ));
        }
        for key in keys {
            let entry = latest.entry(key).or_insert((0, ""));
            if *fence >= entry.0 {
                *entry = (*fence, life);
            }
        }
    }
    faults
}

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    let deployment = Deployment::start(record, 3, &SERVICES, 260);
    let events = Arc::new(Mutex::new(Vec::new()));
    if !deployment.configure(0, &config_body(), Duration::from_secs(15)) {
        return Verdict::NotRun("the first configuration was not acknowledged".to_owned());
    }
    let config = |index: u8, id: String, first_check_in| Config {
        id,
        service: SERVICES[usize::from(index) - 1].to_owned(),
        zone: deployment::zone(index).to_owned(),
        address: deployment.side(index, deployment.ports.server),
        control: deployment.side(index, deployment.ports.control),
        slots: SLOTS,
        is_keyed: index <= 2,
        first_check_in,
    };
    let start = |index: u8, id: String, first_check_in| {
        Server::start(config(index, id, first_check_in), WORK_MS, record, &events)
    };
    let mut servers: Vec<_> = (1..=4_u8)
        .map(|index| start(index, format!("i-{index}00"), Duration::ZERO))
        .collect();
    if !deployment.wait_until_ready(Duration::from_secs(15)) {
        return Verdict::NotRun("the nodes are not ready".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..2)
        .map(|lane| client(&deployment, lane, &stop))
        .collect();
    for round in 1..=ROUNDS {
        thread::sleep(ROUND);
        if has_trouble {
            let index = (round % 2 + 1) as u8;
            let place = usize::from(index) - 1;
            servers[place].crash();
            thread::sleep(DOWN);
            servers[place] = start(index, format!("i-{index}0{round}"), LATE);
        }
    }
    thread::sleep(Duration::from_secs(4));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let events = events.lock().expect("no thread panics with the lock");
    let began = events
        .iter()
        .filter(|event| matches!(event, Event::Began))
        .count();
    let faults = faults(&events);
    for fault in &faults {
        record.line(fault);
    }
    record.line(format!("{began} requests were run"));
    match faults.first() {
        _ if began == 0 => Verdict::NotRun("no request was run".to_owned()),
        Some(fault) => Verdict::Broken(format!("{} times; first: {fault}", faults.len())),
        None => Verdict::Held,
    }
}
