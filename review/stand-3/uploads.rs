//! Uploads inside the limits of the configuration, from a few clients of each machine.
mod deployment;
use deployment::*;
use std::path::Path;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// Memory of the machine of a node, as its settings state it.
const MEMORY: u64 = 260 << 20;
/// Machines with a node; the last two have the backend servers of the uploads.
const MACHINES: usize = 6;
const DIRECTORS: usize = 3;
const CLIENTS_PER_MACHINE: usize = 5;
const LENGTH: usize = 15 << 20;
/// Mean length of the uploads of a small deployment.
const ORDINARY_LENGTH: usize = 60_000;

fn main() -> ExitCode {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let length = if has_trouble { LENGTH } else { ORDINARY_LENGTH };
    let record = Record::new(&Path::new(&folder).join("record.txt"));
    let place = Place::new();
    let seeds = place.seeds(DIRECTORS);
    let directors: Vec<_> = (0..DIRECTORS).map(|index| place.director(index, &seeds)).collect();
    let has_uploads = |machine| machine + 2 >= MACHINES;
    let service = |machine| if has_uploads(machine) { ("desk", false) } else { ("board", true) };
    let gateways: Vec<_> = (0..MACHINES).map(|index| place.gateway(index, service(index).0, &seeds)).collect();
    let work = |machine| ms(if has_uploads(machine) { 2000 } else { 50 });
    let servers: Vec<_> = (0..MACHINES)
        .map(|machine| Server::start(&place, machine, service(machine), 12, work(machine), &record))
        .collect();
    if !configure(&seeds, 0, &document(4, 0), ms(15_000)) {
        cannot_run("the configuration was not acknowledged");
    }
    if !wait(ms(15_000), || (0..MACHINES).all(|index| is_ready(place.gateway_ip(index)))) {
        cannot_run("the nodes are not ready");
    }
    thread::sleep(ms(2500));
    let platform = Platform::new(gateways, MEMORY, &record);
    record.line(&format!("peaks before the uploads, in MiB: {:?}", platform.peaks()));
    record.line(&format!("{CLIENTS_PER_MACHINE} clients of each machine send uploads of {length} bytes; maxBodyBytes is 67108864"));
    let start = Instant::now();
    let answers = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for machine in 0..MACHINES {
        for number in 0..CLIENTS_PER_MACHINE {
            let address = (place.gateway_ip(machine), CALLERS).into();
            let (record, answers) = (record.clone(), Arc::clone(&answers));
            clients.push(thread::spawn(move || {
                let body = vec![b'x'; length];
                let mut round = 0;
                while start.elapsed() < ms(50_000) {
                    round += 1;
                    let id = format!("up-{machine}-{number}-{round}");
                    let head = request_head("POST", "/photos/x", &id, None);
                    let answer = call(address, &head, &body, ms(12_000));
                    let status = answer.as_ref().map_or(0, Message::status);
                    let error = answer.err().map_or(String::new(), |error| format!("no answer: {error}"));
                    record.line(&format!("{id} through gateway-{machine}: {status} {error}"));
                    answers.lock().expect("the answers").push((id, status));
                    thread::sleep(ms(500));
                }
            }));
        }
    }
    for client in clients {
        client.join().expect("a client");
    }
    servers.iter().for_each(Server::record_runs);
    let runs: Vec<String> = servers
        .iter()
        .flat_map(|server| server.runs.lock().expect("the runs").clone())
        .map(|(id, _, _)| id)
        .collect();
    let answers = answers.lock().expect("the answers");
    let count = |status| answers.iter().filter(|(_, answer)| *answer == status).count();
    let lost = answers.iter().filter(|(id, status)| *status != 200 && runs.contains(id)).count();
    let refused = answers.iter().filter(|(id, status)| *status == 503 && runs.contains(id)).count();
    record.line(&format!(
        "{} uploads: {} answered 200, {} answered 502, {} answered 503, {} without an answer; {} ran, {lost} of these were not answered 200, {refused} of them 503",
        answers.len(), count(200), count(502), count(503), count(0), runs.len()
    ));
    record.line(&format!("peaks since the last starts, in MiB: {:?}", platform.peaks()));
    record.line(&format!("ends of the processes of each machine: {:?}", platform.ends()));
    let is_broken = platform.is_fault(MACHINES + DIRECTORS);
    platform.stop();
    for server in &servers {
        server.crash();
    }
    drop(directors);
    record.line(if is_broken { "the rule was broken" } else { "the rule held" });
    ExitCode::from(u8::from(is_broken))
}
