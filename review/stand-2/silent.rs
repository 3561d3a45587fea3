//! One connection between two core machines goes silent; later the third machine is replaced.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::deployment::{self, Deployment};
use crate::record::Record;

/// How long after the silence the machine is lost, and how long until an empty one has come.
const LOST_AFTER: Duration = Duration::from_secs(8);
const REPLACED_AFTER: Duration = Duration::from_secs(1);
/// For how long the config is read back; `recovery` is 15 s, `contact` is 3 s.
const READING: Duration = Duration::from_secs(40);

fn config_body(version: u64) -> String {
    format!(
        r#"{{"version":"r{version}","services":[{{"name":"iade","healthPath":"/health","maxConnections":130,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}},"virtualHosts":[{{"host":"{}","pathRules":[{{"name":"r-refund","pathPrefix":"/refund/","kind":"non_idempotent","timeout":"2500ms","targetLatency":"600ms","priority":1,"service":"iade","maxAttempts":2}}]}}]}}"#,
        deployment::HOST
    )
}

/// Forwards connections, until those that are open then go silent. New connections work.
struct Proxy {
    is_silent: Arc<AtomicBool>,
}

impl Proxy {
    fn start(from: SocketAddr, to: SocketAddr) -> Self {
        let listener = TcpListener::bind(from).expect("the port of the proxy is free");
        let is_silent = Arc::new(AtomicBool::new(false));
        let silence = Arc::clone(&is_silent);
        thread::spawn(move || {
            while let Ok((near, _)) = listener.accept() {
                let Ok(far) = TcpStream::connect(to) else {
                    continue;
                };
                let is_new = silence.load(Ordering::SeqCst);
                let silence = Arc::clone(&silence);
                let silenced = move || !is_new && silence.load(Ordering::SeqCst);
                let (near_in, far_in) = (near.try_clone(), far.try_clone());
                if let (Ok(near_in), Ok(far_in)) = (near_in, far_in) {
                    let other = silenced.clone();
                    thread::spawn(move || forward(near_in, far, silenced));
                    thread::spawn(move || forward(far_in, near, other));
                }
            }
        });
        Self { is_silent }
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, is_silent: impl Fn() -> bool) {
    let mut buffer = [0; 64 * 1024];
    while let Ok(count) = from.read(&mut buffer) {
        if is_silent() {
            // Neither bytes nor the end of the connection arrive any more.
            if count == 0 {
                thread::sleep(Duration::from_secs(600));
            }
            continue;
        }
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
    let _ = from.shutdown(std::net::Shutdown::Both);
}

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Verdict {
    // The fourth machine is the empty one that comes later.
    let mut deployment = Deployment::new(record, 4, &[], 260, true);
    let mut proxies = Vec::new();
    for from in 1..=4_u8 {
        for to in (1..=4_u8).filter(|to| *to != from) {
            // Machine `from` calls `to` at its own port.
            let ip = deployment::core_ip(to);
            let near = SocketAddr::from((ip, deployment.replica_port(from)));
            let far = SocketAddr::from((ip, deployment.replica_port(to)));
            proxies.push(((from, to), Proxy::start(near, far)));
        }
    }
    let fourth = deployment.cores.pop();
    deployment.start_all();
    let Some(fourth) = fourth else {
        return Verdict::NotRun("there is no fourth machine".to_owned());
    };
    if !deployment.configure(0, &config_body(1), Duration::from_secs(15)) {
        return Verdict::NotRun("the first configuration was not acknowledged".to_owned());
    }
    thread::sleep(Duration::from_secs(5));
    if has_trouble {
        let (_, proxy) = proxies
            .iter()
            .find(|(path, _)| *path == (1, 2))
            .expect("it exists");
        proxy.is_silent.store(true, Ordering::SeqCst);
        record.line("the open connection from core-1 to core-2 is silent");
    }
    thread::sleep(LOST_AFTER);
    let newest = config_body(3);
    if !deployment.configure(1, &newest, Duration::from_secs(4)) {
        return Verdict::NotRun("the second configuration was not acknowledged".to_owned());
    }
    thread::sleep(Duration::from_secs(3));
    deployment.cores[2].kill();
    record.line("core-3 is gone for good");
    thread::sleep(REPLACED_AFTER);
    deployment.cores.push(fourth);
    deployment.cores[3].start();
    let back = Instant::now();
    let (mut read, mut last_answer) = (0, None);
    while back.elapsed() < READING {
        for index in [1, 2, 4] {
            let answer = deployment.operate(index, "config.read", "", b"");
            let status = answer.as_ref().map_or(0, |answer| answer.status());
            if status == 200 {
                if answer.is_some_and(|answer| answer.body != newest.as_bytes()) {
                    return Verdict::Broken(format!("core-{index} returns an older config"));
                }
                read += 1;
                last_answer = Some(back.elapsed());
            }
        }
        thread::sleep(Duration::from_millis(500));
    }
    record.line(format!(
        "{read} reads returned the config, the last after {last_answer:?}"
    ));
    let is_read_late = last_answer.is_some_and(|at| at > READING - Duration::from_secs(10));
    match is_read_late {
        true => Verdict::Held,
        false => Verdict::Broken(format!(
            "no machine returns the acknowledged config {} s after the loss",
            READING.as_secs()
        )),
    }
}
