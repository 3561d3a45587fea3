//! Requests sent ahead whose `Connection` field has many tokens, beside ordinary requests.
mod deployment;
use deployment::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::ExitCode;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

const MACHINES: usize = 3;
const DIRECTORS: usize = 3;
const CONNECTIONS: usize = 100;
const REQUESTS_AHEAD: usize = 200;
/// Ordinary requests, one each half second.
const ORDINARY: usize = 40;
/// `timeout` of the route of the ordinary requests, and their time budget.
const TIMEOUT: Duration = Duration::from_millis(4000);
const SLACK: Duration = Duration::from_millis(500);

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
        .map(|machine| Server::start(&place, machine, services[machine], 9, ms(20), &record))
        .collect();
    if !configure(&seeds, 0, &document(4, 0), ms(15_000)) {
        cannot_run("the configuration was not acknowledged");
    }
    if !wait(ms(15_000), || (0..MACHINES).all(|index| is_ready(place.gateway_ip(index)))) {
        cannot_run("the nodes are not ready");
    }
    thread::sleep(ms(3000));
    let address = SocketAddr::from((place.gateway_ip(0), CALLERS));
    // Without the trouble, the fields of the same length are of another name.
    let name = if has_trouble { "Connection" } else { "X-Note" };
    let notes: String = (0..45).map(|number| format!("X{number}: 1\r\n")).collect();
    let tokens = "a,".repeat(7300);
    let head = |id: &str| format!("{}{notes}{name}: {tokens}a\r\n\r\n", request_head("GET", "/desk/y", id, None));
    record.line(&format!(
        "{CONNECTIONS} connections to gateway-0 send {REQUESTS_AHEAD} requests each, ahead, with heads of {} bytes and the long field `{name}`; maxHeaderBytes is 16384",
        head("ahead-10-100").len()
    ));
    for number in 0..CONNECTIONS {
        let requests: Vec<_> = (0..REQUESTS_AHEAD).map(|request| head(&format!("ahead-{number}-{request}"))).collect();
        thread::spawn(move || {
            let Ok(mut connection) = TcpStream::connect(address) else {
                return;
            };
            for request in requests {
                if connection.write_all(request.as_bytes()).is_err() {
                    return;
                }
            }
            thread::sleep(ms(120_000));
        });
    }
    let times = Mutex::new(Vec::new());
    let misses = Mutex::new(0);
    thread::scope(|scope| {
        for number in 0..ORDINARY {
            let (record, times, misses) = (&record, &times, &misses);
            let ip = place.gateway_ip(0);
            scope.spawn(move || {
                let start = Instant::now();
                let id = format!("ordinary-{number}");
                let answer = call(address, &request_head("POST", "/desk/x", &id, None), b"", ms(20_000));
                let took = start.elapsed();
                let status = answer.as_ref().map_or(0, Message::status);
                record.line(&format!("{id} through gateway-0: {status} after {:.3} s", took.as_secs_f64()));
                times.lock().expect("the times").push(took);
            });
            if number % 2 == 0 {
                scope.spawn(move || {
                    if !is_ready(ip) {
                        *misses.lock().expect("the misses") += 1;
                    }
                });
            }
            thread::sleep(ms(500));
        }
    });
    servers.iter().for_each(Server::record_runs);
    let times = times.lock().expect("the times");
    let unanswered = times.iter().filter(|took| **took > TIMEOUT).count();
    let late = times.iter().filter(|took| **took > TIMEOUT + SLACK).count();
    record.line(&format!(
        "{} ordinary requests: {unanswered} unanswered at the route's timeout, {late} of these half a second later; {} of {} readiness checks missed",
        times.len(), misses.lock().expect("the misses"), ORDINARY / 2
    ));
    let is_broken = late >= 8 && late * 2 > unanswered;
    for server in &servers {
        server.crash();
    }
    drop(gateways);
    drop(directors);
    record.line(if is_broken { "the rule was broken" } else { "the rule held" });
    ExitCode::from(u8::from(is_broken))
}
