//! Requests sent ahead, each with a head just inside the limit of the configuration.
mod deployment;
use deployment::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::ExitCode;
use std::thread;

/// Memory of the machine of a node, as its settings state it.
const MEMORY: u64 = 260 << 20;
const MACHINES: usize = 3;
const DIRECTORS: usize = 3;
const CONNECTIONS: usize = 600;
const REQUESTS_AHEAD: usize = 16;
const ROUNDS: usize = 5;

/// Opens the connections, and sends on each what `encode` returns; the answers stay unread.
fn send_ahead(address: SocketAddr, encode: impl Fn(usize) -> Vec<u8> + Sync) -> Vec<TcpStream> {
    let connections: Vec<_> =
        (0..CONNECTIONS).filter_map(|_| TcpStream::connect_timeout(&address, ms(2000)).ok()).collect();
    thread::scope(|scope| {
        let part = connections.len().div_ceil(4).max(1);
        for (number, connections) in connections.chunks(part).enumerate() {
            let encode = &encode;
            scope.spawn(move || {
                for (place, mut connection) in connections.iter().enumerate() {
                    let _ = connection.set_write_timeout(Some(ms(300)));
                    let _ = connection.write_all(&encode(number * part + place));
                }
            });
        }
    });
    connections
}

fn main() -> ExitCode {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new(&Path::new(&folder).join("record.txt"));
    let place = Place::new();
    let seeds = place.seeds(DIRECTORS);
    let directors: Vec<_> = (0..DIRECTORS).map(|index| place.director(index, &seeds)).collect();
    let services = [("board", true), ("board", true), ("desk", false)];
    let gateways: Vec<_> = (0..MACHINES).map(|index| place.gateway(index, services[index].0, &seeds)).collect();
    let servers: Vec<_> = (0..MACHINES)
        .map(|machine| Server::start(&place, machine, services[machine], 9, ms(50), &record))
        .collect();
    if !configure(&seeds, 0, &document(4, 0), ms(15_000)) {
        cannot_run("the configuration was not acknowledged");
    }
    if !wait(ms(15_000), || (0..MACHINES).all(|index| is_ready(place.gateway_ip(index)))) {
        cannot_run("the nodes are not ready");
    }
    thread::sleep(ms(3000));
    let platform = Platform::new(gateways, MEMORY, &record);
    let address = |machine| SocketAddr::from((place.gateway_ip(machine), CALLERS));
    let ordinary = |id: &str, machine| {
        let answer = call(address(machine), &request_head("POST", "/desk/x", id, None), b"", ms(5000));
        let status = answer.as_ref().map_or(0, Message::status);
        record.line(&format!("ordinary request {id} through gateway-{machine}: {status}"));
    };
    ordinary("ordinary-0", 0);
    ordinary("ordinary-1", 1);
    record.line(&format!("peaks before the clients, in MiB: {:?}", platform.peaks()));
    // Without the trouble, the same clients send one ordinary request each.
    let (ahead, padding) = match has_trouble {
        true => (REQUESTS_AHEAD, 15),
        false => (1, 0),
    };
    let padding: String = (0..padding).map(|number| format!("X-Note-{number}: {}\r\n", "p".repeat(1020))).collect();
    let encode = |connection: usize| {
        let heads = (0..ahead).map(|request| {
            let id = format!("ahead-{connection}-{request}");
            let key = Some(connection * 109 % 65_536);
            format!("{}{padding}\r\n", request_head("GET", "/board/y", &id, key))
        });
        heads.collect::<String>().into_bytes()
    };
    record.line(&format!(
        "rounds of {CONNECTIONS} connections to each of two nodes, with {ahead} requests each, sent ahead, with heads of {} bytes; maxHeaderBytes is 16384",
        encode(7).len() / ahead
    ));
    for round in 1..=ROUNDS {
        thread::scope(|scope| {
            for machine in 0..2 {
                let (record, encode, ordinary) = (&record, &encode, &ordinary);
                scope.spawn(move || {
                    let connections = send_ahead(address(machine), encode);
                    record.line(&format!("round {round}: {} connections to gateway-{machine}", connections.len()));
                    thread::sleep(ms(5000));
                    drop(connections);
                    thread::sleep(ms(2500));
                    ordinary(&format!("ordinary-{machine}-{round}"), machine);
                });
            }
        });
        record.line(&format!("peaks since the last starts, in MiB: {:?}", platform.peaks()));
    }
    servers.iter().for_each(Server::record_runs);
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
