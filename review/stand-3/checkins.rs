//! One odd check-in with a number too large; later the backend server leaves, as the pages say it does.
mod deployment;
use deployment::*;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const MACHINES: usize = 3;
const DIRECTORS: usize = 3;
/// The number in the odd check-in. A backend server counts one up with each.
const SEQUENCE: u64 = 1_000_000;
const DRAIN: Duration = Duration::from_millis(2000);

fn main() -> ExitCode {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new(&Path::new(&folder).join("record.txt"));
    let place = Place::new();
    let seeds = place.seeds(DIRECTORS);
    let directors: Vec<_> = (0..DIRECTORS).map(|index| place.director(index, &seeds)).collect();
    let services = [("desk", false), ("desk", false), ("board", true)];
    let gateways: Vec<_> = (0..MACHINES).map(|index| place.gateway(index, services[index].0, &seeds)).collect();
    let servers: Vec<_> = (0..MACHINES)
        .map(|machine| Server::start(&place, machine, services[machine], 9, ms(300), &record))
        .collect();
    if !configure(&seeds, 0, &document(4, 0), ms(15_000)) {
        cannot_run("the configuration was not acknowledged");
    }
    if !wait(ms(15_000), || (0..MACHINES).all(|index| is_ready(place.gateway_ip(index)))) {
        cannot_run("the nodes are not ready");
    }
    thread::sleep(ms(3000));
    let leaving = &servers[0];
    if has_trouble {
        // A copy of the backend server's own check-in but for the number, from another writer.
        let status = leaving.check_in("ready", SEQUENCE).map_or(0, |answer| answer.status());
        record.line(&format!("an odd check-in of {} with sequence {SEQUENCE}: {status}", leaving.id));
    }
    let is_done = Arc::new(AtomicBool::new(false));
    let answers = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..14)
        .map(|client| {
            let address = SocketAddr::from((place.gateway_ip(2), CALLERS));
            let (is_done, answers, record) = (Arc::clone(&is_done), Arc::clone(&answers), record.clone());
            thread::spawn(move || {
                let mut number = 0;
                thread::sleep(ms(25) * client);
                while !is_done.load(Ordering::SeqCst) {
                    number += 1;
                    let id = format!("order-{client}-{number}");
                    let answer = call(address, &request_head("POST", "/desk/x", &id, None), b"", ms(5000));
                    let status = answer.as_ref().map_or(0, Message::status);
                    record.line(&format!("{id} through gateway-2: {status}"));
                    answers.lock().expect("the answers").push((id, status));
                    thread::sleep(ms(50));
                }
            })
        })
        .collect();
    thread::sleep(ms(3000));
    // It reports `draining` with each check-in from now on, serves on for a little longer than `drain`,
    // deregisters and exits.
    leaving.drain();
    let status = leaving.announce().map_or(0, |answer| answer.status());
    let acknowledged = Instant::now();
    record.line(&format!("{} reports that it is draining: {status}", leaving.id));
    if status != 200 {
        cannot_run("the report was not acknowledged");
    }
    thread::sleep(DRAIN + ms(2000));
    let status = leaving.deregister().map_or(0, |answer| answer.status());
    record.line(&format!("{} deregisters, and exits: {status}", leaving.id));
    leaving.crash();
    thread::sleep(ms(2000));
    is_done.store(true, Ordering::SeqCst);
    for client in clients {
        client.join().expect("a client");
    }
    servers.iter().for_each(Server::record_runs);
    let runs = leaving.runs.lock().expect("the runs").clone();
    let late: Vec<_> = runs.iter().filter(|(_, _, at)| *at > acknowledged + DRAIN).collect();
    for (id, _, at) in &late {
        let after = at.duration_since(acknowledged).as_secs_f64();
        record.line(&format!("{id} began at {} {after:.3} s after the acknowledgement", leaving.id));
    }
    let answers = answers.lock().expect("the answers");
    let lost = answers.iter().filter(|(id, status)| *status != 200 && runs.iter().any(|(run, _, _)| run == id)).count();
    record.line(&format!(
        "{} requests ran at {}; {} of them began later than 2 s after it was acknowledged that it drains; {lost} that ran there got no answer of it",
        runs.len(), leaving.id, late.len()
    ));
    let is_broken = !late.is_empty();
    for server in &servers {
        server.crash();
    }
    drop(gateways);
    drop(directors);
    record.line(if is_broken { "the rule was broken" } else { "the rule held" });
    ExitCode::from(u8::from(is_broken))
}
