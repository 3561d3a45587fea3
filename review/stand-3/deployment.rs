//! A small deployment on loopback: directors and gateways as the deploy file starts them, with
//! stand-ins for backend servers, clients and the operator. Each machine is a loopback address.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const OPERATORS: u16 = 18306;
pub const REPLICAS: u16 = 17620;
pub const SESSIONS: u16 = 17635;
pub const CALLERS: u16 = 18304;
pub const READY: u16 = 18302;
pub const PEERS: u16 = 18300;
pub const BACKEND: u16 = 18301;

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.expect("the clock is after 1970").as_millis() as u64
}

/// Lines of `record.txt`, with seconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<fs::File>>,
    start: Instant,
}

impl Record {
    pub fn new(path: &Path) -> Self {
        let file = fs::File::create(path).expect("the record can be written");
        Self {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no writer has failed");
        writeln!(file, "{at:8.3} {text}").expect("the record can be written");
    }
}

/// A program of the deploy file that runs. It is killed when dropped.
pub struct Process {
    pub name: String,
    settings: PathBuf,
    program: &'static str,
    log: PathBuf,
    root: PathBuf,
    child: Option<Child>,
}

impl Process {
    pub fn start(&mut self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.expect("the log can be written");
        let child = Command::new(self.root.join("target/release").join(self.program))
            .current_dir(&self.root)
            .env("SEQUOIAYOKE_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a descriptor"))
            .stderr(log)
            .spawn();
        self.child = Some(child.unwrap_or_else(|error| cannot_run(&format!("{}: {error}", self.program))));
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().expect("it was started").id()
    }

    /// Sends a signal, such as `TERM` or `STOP`.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").args([&format!("-{name}"), &self.pid().to_string()]).status();
        status.expect("kill can be run");
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns the exit status if the process has ended by itself.
    pub fn ended(&mut self) -> Option<String> {
        let child = self.child.as_mut()?;
        child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    /// Returns the peak of the resident memory so far, in bytes.
    pub fn peak(&self) -> u64 {
        self.memory("VmHWM:")
    }

    /// Returns the resident memory, in bytes.
    pub fn resident(&self) -> u64 {
        self.memory("VmRSS:")
    }

    fn memory(&self, name: &str) -> u64 {
        let Some(child) = &self.child else {
            return 0;
        };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix(name));
        let kib = line.and_then(|line| line.trim().trim_end_matches("kB").trim().parse::<u64>().ok());
        kib.unwrap_or(0) * 1024
    }

    pub fn settings(&self) -> &Path {
        &self.settings
    }

    pub fn read_log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The platform: it ends a process that uses more memory than its machine has, and starts it again
/// after a short delay.
pub struct Platform {
    processes: Arc<Mutex<Vec<Process>>>,
    ends: Arc<Mutex<Vec<u32>>>,
    is_stopped: Arc<AtomicBool>,
}

impl Platform {
    pub fn new(processes: Vec<Process>, memory: u64, record: &Record) -> Self {
        let ends = Arc::new(Mutex::new(vec![0; processes.len()]));
        // When a process that was ended is started again.
        let mut restarts: Vec<Option<Instant>> = vec![None; processes.len()];
        let processes = Arc::new(Mutex::new(processes));
        let is_stopped = Arc::<AtomicBool>::default();
        let platform = Self { processes, ends, is_stopped };
        let (processes, ends) = (Arc::clone(&platform.processes), Arc::clone(&platform.ends));
        let (is_stopped, record) = (Arc::clone(&platform.is_stopped), record.clone());
        thread::spawn(move || {
            while !is_stopped.load(Ordering::SeqCst) {
                let mut processes = processes.lock().expect("the processes");
                for (index, process) in processes.iter_mut().enumerate() {
                    if let Some(at) = restarts[index] {
                        if Instant::now() >= at {
                            process.start();
                            restarts[index] = None;
                        }
                        continue;
                    }
                    let used = process.resident();
                    let why = match process.ended() {
                        Some(status) => format!("has ended by itself: {status}"),
                        None if used > memory => format!("is ended: it uses {} MiB of {} MiB", used >> 20, memory >> 20),
                        None => continue,
                    };
                    process.kill();
                    record.line(&format!("{} {why}", process.name));
                    ends.lock().expect("the ends")[index] += 1;
                    restarts[index] = Some(Instant::now() + ms(500));
                }
                drop(processes);
                thread::sleep(ms(10));
            }
        });
        platform
    }

    /// Returns how often each process has ended by itself; memory over the limit counts.
    pub fn ends(&self) -> Vec<u32> {
        self.ends.lock().expect("the ends").clone()
    }

    /// Returns the peak of the resident memory of each process since its last start, in MiB.
    pub fn peaks(&self) -> Vec<u64> {
        self.processes.lock().expect("the processes").iter().map(|process| process.peak() >> 20).collect()
    }

    /// Returns whether the rule is broken: on a tenth of the machines in use, and two at least,
    /// processes have ended by themselves three times.
    pub fn is_fault(&self, machines: usize) -> bool {
        let often = self.ends().into_iter().filter(|count| *count >= 3).count();
        often >= machines.div_ceil(10).max(2)
    }

    pub fn stop(self) {}
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::SeqCst);
        thread::sleep(ms(100));
        // Dropped processes are killed.
        if let Ok(mut processes) = self.processes.lock() {
            processes.clear();
        }
    }
}

/// Ends the case: it cannot run here. What it has started ends with it.
pub fn cannot_run(why: &str) -> ! {
    panic!("the case cannot run: {why}");
}

/// Folder and addresses of a deployment.
pub struct Place {
    pub root: PathBuf,
    pub folder: PathBuf,
    net: [u8; 2],
}

impl Place {
    pub fn new() -> Self {
        let root = std::env::current_dir().expect("a current directory");
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let seed = std::process::id();
        let net = (0..200)
            .map(|step| [20 + ((seed + step) % 200) as u8, (seed / 200 % 250) as u8])
            .find(|net| {
                let ip = Ipv4Addr::new(127, net[0], net[1], 11);
                TcpListener::bind((ip, OPERATORS)).is_ok()
            });
        let net = net.unwrap_or_else(|| cannot_run("no free loopback addresses"));
        Self { root, folder, net }
    }

    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net[0], self.net[1], host)
    }

    pub fn director_ip(&self, index: usize) -> Ipv4Addr {
        self.ip(11 + index as u8)
    }

    pub fn gateway_ip(&self, index: usize) -> Ipv4Addr {
        self.ip(101 + index as u8)
    }

    pub fn seeds(&self, count: usize) -> Vec<SocketAddr> {
        (0..count).map(|index| (self.director_ip(index), OPERATORS).into()).collect()
    }

    fn list(addresses: &[SocketAddr]) -> String {
        let quoted: Vec<_> = addresses.iter().map(|address| format!("\"{address}\"")).collect();
        quoted.join(", ")
    }

    pub fn write_director(&self, index: usize, seeds: &[SocketAddr], first_start: bool) -> PathBuf {
        let ip = self.director_ip(index);
        let data = self.folder.join(format!("director-{index}"));
        let zone = ["zone-a", "zone-b", "zone-c"][index % 3];
        let text = format!(
            r#"{{ "name": "core-{zone}-{index}", "region": "region",
  "failure_domains": {{ "zone-a": "region", "zone-b": "region", "zone-c": "region" }},
  "tolerated_losses": {{ "vms": 1, "failure_domains": 0, "regions": 0 }},
  "limits": {{ "memory_mib": 256, "descriptors": 4096 }},
  "data": "{}",
  "listen": {{ "operators": "{ip}:{OPERATORS}", "replica_port": {REPLICAS}, "session_port": {SESSIONS} }},
  "replicas": [{}], "first_start": {first_start}, "inodes_change": true, "lease": "4500ms",
  "log": {{ "level": "info", "format": "json" }} }}"#,
            data.display(),
            Self::list(seeds)
        );
        let path = self.folder.join(format!("director-{index}.jsonc"));
        fs::write(&path, text).expect("the settings can be written");
        path
    }

    pub fn write_gateway(&self, index: usize, service: &str, seeds: &[SocketAddr]) -> PathBuf {
        let ip = self.gateway_ip(index);
        let zone = ["zone-a", "zone-b", "zone-c"][index % 3];
        let text = format!(
            r#"{{ "failure_domain": "{zone}", "service": "{service}", "backend": "{ip}:{BACKEND}",
  "listen": {{ "callers": "{ip}:{CALLERS}", "ready": "{ip}:{READY}", "announcements": "{ip}:{OPERATORS}",
    "peers": "{ip}:{PEERS}" }},
  "control": {{ "replicas": [{}], "session_port": {SESSIONS} }},
  "lease": {{ "length": "4500ms", "max_hold": "10000ms" }},
  "link_mbps": 1000.0,
  "retries": {{ "ratio": 0.2, "allowance": 58, "window": "10s" }},
  "drain": "2000ms", "grace": "6s",
  "limits": {{ "memory_mib": 260, "descriptors": 4100 }},
  "log": {{ "level": "info", "format": "json" }} }}"#,
            Self::list(seeds)
        );
        let path = self.folder.join(format!("gateway-{index}.jsonc"));
        fs::write(&path, text).expect("the settings can be written");
        path
    }

    pub fn director(&self, index: usize, seeds: &[SocketAddr]) -> Process {
        self.process(format!("director-{index}"), "sequoiayoke-director", self.write_director(index, seeds, true))
    }

    pub fn gateway(&self, index: usize, service: &str, seeds: &[SocketAddr]) -> Process {
        self.process(format!("gateway-{index}"), "sequoiayoke-gateway", self.write_gateway(index, service, seeds))
    }

    fn process(&self, name: String, program: &'static str, settings: PathBuf) -> Process {
        let mut process = Process {
            log: self.folder.join(format!("{name}.log")),
            name,
            settings,
            program,
            root: self.root.clone(),
            child: None,
        };
        process.start();
        process
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// A message: first line, fields in lower case and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub fields: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}

/// Reads messages with a length, of which several may arrive at once.
pub struct Reader {
    io: TcpStream,
    input: Vec<u8>,
}

impl Reader {
    pub fn new(io: TcpStream) -> Self {
        Self { io, input: Vec::new() }
    }

    /// Returns the next message, or `None` if the connection has ended before one.
    pub fn next(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(message) = self.take() {
                return Ok(Some(message));
            }
            let mut part = [0; 16 * 1024];
            let count = self.io.read(&mut part)?;
            if count == 0 {
                return match self.input.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
            self.input.extend_from_slice(&part[..count]);
        }
    }

    fn take(&mut self) -> Option<Message> {
        let end = self.input.windows(4).position(|part| part == b"\r\n\r\n")?;
        let head = String::from_utf8_lossy(&self.input[..end]).into_owned();
        let mut lines = head.split("\r\n");
        let first = lines.next()?.to_owned();
        let fields: BTreeMap<_, _> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        let length = fields.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0usize);
        let total = end + 4 + length;
        if self.input.len() < total {
            return None;
        }
        let body = self.input[end + 4..total].to_vec();
        self.input.drain(..total);
        Some(Message { first, fields, body })
    }
}

/// Sends one message over a new connection and returns the answer.
pub fn call(address: SocketAddr, head: &str, body: &[u8], timeout: Duration) -> io::Result<Message> {
    let mut io = TcpStream::connect_timeout(&address, timeout)?;
    io.set_nodelay(true)?;
    io.set_read_timeout(Some(timeout))?;
    let mut bytes = format!("{head}content-length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    io.write_all(&bytes)?;
    Reader::new(io).next()?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Sends a configuration until it is acknowledged, following redirects; returns whether it was.
pub fn configure(directors: &[SocketAddr], base: u64, document: &str, within: Duration) -> bool {
    let start = Instant::now();
    let mut turn = 0;
    let mut next = None;
    while start.elapsed() < within {
        let address = next.take().unwrap_or(directors[turn % directors.len()]);
        turn += 1;
        let head = format!(
            "POST /v1/rpc?call=config.replace HTTP/1.1\r\nhost: {address}\r\n\
             Sequoiayoke-Base-Version: r{base}\r\ncontent-type: application/json\r\n"
        );
        match call(address, &head, document.as_bytes(), ms(1000)) {
            Ok(answer) if answer.status() == 200 => return true,
            Ok(answer) if answer.status() == 307 => {
                let location = answer.field("location").trim_start_matches("http://").to_owned();
                next = location.split('/').next().and_then(|text| text.parse().ok());
            }
            _ => thread::sleep(ms(100)),
        }
    }
    false
}

/// Waits until `is_done`; returns whether it was in time.
pub fn wait(within: Duration, mut is_done: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    while start.elapsed() < within {
        if is_done() {
            return true;
        }
        thread::sleep(ms(50));
    }
    false
}

pub fn is_ready(ip: Ipv4Addr) -> bool {
    let head = format!("GET /v1/ready HTTP/1.1\r\nhost: {ip}\r\n");
    call((ip, READY).into(), &head, b"", ms(500)).is_ok_and(|answer| answer.status() == 200)
}

/// State of a backend server's keys: highest fence seen, and end of the hold in milliseconds.
struct Keys {
    fences: Vec<u64>,
    until: Vec<u64>,
    running: Vec<u32>,
}

/// A sound backend server.
#[derive(Clone)]
pub struct Server {
    pub ip: Ipv4Addr,
    pub service: String,
    pub id: String,
    pub is_keyed: bool,
    pub slots: u32,
    pub born: u64,
    pub work: Duration,
    keys: Arc<Mutex<Keys>>,
    start: Instant,
    is_ended: Arc<AtomicBool>,
    is_draining: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    /// Requests that ran: id, method and target, and when they began.
    pub runs: Arc<Mutex<Vec<(String, String, Instant)>>>,
    pub sequence: Arc<AtomicU64>,
    record: Record,
}

impl Server {
    pub fn start(place: &Place, machine: usize, (service, is_keyed): (&str, bool), slots: u32, work: Duration, record: &Record) -> Self {
        let born = unix_ms();
        let server = Self {
            ip: place.gateway_ip(machine),
            service: service.to_owned(),
            id: format!("i-{machine}-{born:x}"),
            is_keyed,
            slots,
            born,
            work,
            keys: Arc::new(Mutex::new(Keys {
                fences: vec![0; 65536],
                until: vec![0; 65536],
                running: vec![0; 65536],
            })),
            start: Instant::now(),
            is_ended: Arc::default(),
            is_draining: Arc::default(),
            open: Arc::default(),
            runs: Arc::default(),
            sequence: Arc::default(),
            record: record.clone(),
        };
        let listener = TcpListener::bind((server.ip, BACKEND));
        let listener = listener.unwrap_or_else(|error| cannot_run(&format!("a backend server: {error}")));
        listener.set_nonblocking(true).expect("a listener");
        let accepting = server.clone();
        thread::spawn(move || accepting.accept(&listener));
        let beating = server.clone();
        thread::spawn(move || beating.beat());
        server
    }

    fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Crashes: it closes its port and all connections, and says nothing.
    pub fn crash(&self) {
        self.is_ended.store(true, Ordering::SeqCst);
        for io in self.open.lock().expect("a list").iter() {
            let _ = io.shutdown(Shutdown::Both);
        }
        thread::sleep(ms(60));
    }

    /// Says from now on that it leaves.
    pub fn drain(&self) {
        self.is_draining.store(true, Ordering::SeqCst);
    }

    /// Records what ran; of the requests that were sent ahead, the number.
    pub fn record_runs(&self) {
        let runs = self.runs.lock().expect("the runs");
        let (ahead, others): (Vec<_>, Vec<_>) = runs.iter().partition(|(id, _, _)| id.starts_with("ahead-"));
        for (id, request, _) in others {
            self.record.line(&format!("{id} ran at {}: {request}", self.id));
        }
        if !ahead.is_empty() {
            self.record.line(&format!("{} requests that were sent ahead ran at {}", ahead.len(), self.id));
        }
    }

    pub fn is_ended(&self) -> bool {
        self.is_ended.load(Ordering::SeqCst)
    }

    fn accept(&self, listener: &TcpListener) {
        while !self.is_ended() {
            match listener.accept() {
                Ok((io, _)) => {
                    io.set_nonblocking(false).expect("a socket");
                    let _ = io.set_nodelay(true);
                    if let Ok(copy) = io.try_clone() {
                        self.open.lock().expect("a list").push(copy);
                    }
                    let server = self.clone();
                    thread::spawn(move || server.serve(io));
                }
                Err(_) => thread::sleep(ms(2)),
            }
        }
    }

    fn beat(&self) {
        while !self.is_ended() {
            let _ = self.announce();
            thread::sleep(ms(870));
        }
    }

    /// Sends one check-in to the node beside it.
    pub fn announce(&self) -> io::Result<Message> {
        let state = match self.is_draining.load(Ordering::SeqCst) {
            true => "draining",
            false => "ready",
        };
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        self.check_in(state, sequence)
    }

    /// Sends a check-in with this state and number.
    pub fn check_in(&self, state: &str, sequence: u64) -> io::Result<Message> {
        let zone = ["zone-a", "zone-b", "zone-c"][(self.ip.octets()[3] - 101) as usize % 3];
        let body = format!(
            r#"{{"address":"{}:{BACKEND}","born":{},"info":{{"service":"{}","version":"v1","zone":"{zone}","slots":{}}},"status":{{"state":"{state}","sequence":{sequence},"coldLeft":"0ms"}}}}"#,
            self.ip, self.born, self.service, self.slots
        );
        self.say("heartbeat", &body)
    }

    /// Says that it leaves.
    pub fn deregister(&self) -> io::Result<Message> {
        self.say("deregister", &format!(r#"{{"born":{}}}"#, self.born))
    }

    fn say(&self, call_name: &str, body: &str) -> io::Result<Message> {
        let head = format!(
            "POST /v1/rpc?call=instances.{call_name}&of={} HTTP/1.1\r\nhost: {}\r\ncontent-type: application/json\r\n",
            self.id, self.ip
        );
        call((self.ip, OPERATORS).into(), &head, body.as_bytes(), ms(1000))
    }

    fn serve(&self, io: TcpStream) {
        let Ok(mut writer) = io.try_clone() else {
            return;
        };
        let mut reader = Reader::new(io);
        while let Ok(Some(request)) = reader.next() {
            if self.is_ended() {
                return;
            }
            let answer = self.answer(&request);
            if self.is_ended() || writer.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let mut words = request.first.split(' ');
        let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        match target {
            "/v1/grant" => return self.grant(request),
            "/v1/release" => return self.release(request),
            "/health" => {
                let text = format!("HTTP/1.1 200 OK\r\nsequoiayoke-instance-id: {}\r\ncontent-length: 0\r\n\r\n", self.id);
                return text.into_bytes();
            }
            _ => {}
        }
        let id = request.field("sequoiayoke-request-id");
        let refuse = |status: u16| {
            let text = format!(
                "HTTP/1.1 {status} Refused\r\nsequoiayoke-request-id: {id}\r\nsequoiayoke-not-executed: 1\r\ncontent-length: 0\r\n\r\n"
            );
            text.into_bytes()
        };
        if id.is_empty() {
            return refuse(400);
        }
        let expected = request.field("sequoiayoke-expect-instance");
        if !expected.is_empty() && expected != self.id {
            return refuse(421);
        }
        let key: Option<usize> = request.field("sequoiayoke-shard-key").parse().ok();
        if let Some(key) = key.filter(|_| self.is_keyed) {
            let mut keys = self.keys.lock().expect("the keys");
            if keys.until[key] <= self.now() {
                return refuse(421);
            }
            keys.running[key] += 1;
        }
        let run = (id.to_owned(), format!("{method} {target}"), Instant::now());
        self.runs.lock().expect("the runs").push(run);
        thread::sleep(self.work);
        if let Some(key) = key.filter(|_| self.is_keyed) {
            self.keys.lock().expect("the keys").running[key] -= 1;
        }
        let body = format!("{id} {method} {target} {}", request.body.len());
        let text = format!(
            "HTTP/1.1 200 OK\r\nsequoiayoke-request-id: {id}\r\nsequoiayoke-server-stamp: {}.{id}\r\ncontent-length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        );
        text.into_bytes()
    }

    fn grant(&self, request: &Message) -> Vec<u8> {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let number = |name| json_number(&body, name);
        let (from, target, fence) = (number("from") as usize, number("target") as usize, number("fence"));
        let hold = body.split("\"hold_time\":\"").nth(1).and_then(|rest| rest.split("ms").next());
        let hold: u64 = hold.and_then(|text| text.parse().ok()).unwrap_or(0);
        let until = self.now() + hold;
        let mut keys = self.keys.lock().expect("the keys");
        let is_old = keys.fences[from..=target].iter().any(|seen| *seen > fence);
        if !is_old {
            for key in from..=target {
                keys.fences[key] = fence;
                keys.until[key] = until;
            }
        }
        let status = if is_old { "409 Conflict" } else { "200 OK" };
        format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n").into_bytes()
    }

    fn release(&self, request: &Message) -> Vec<u8> {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let (from, target) = (json_number(&body, "from") as usize, json_number(&body, "target") as usize);
        {
            let mut keys = self.keys.lock().expect("the keys");
            keys.until[from..=target].fill(0);
        }
        while self.keys.lock().expect("the keys").running[from..=target].iter().any(|count| *count > 0) {
            thread::sleep(ms(2));
        }
        b"HTTP/1.1 200 OK\r\nsequoiayoke-handover: 5c0e7a21d94b36f8\r\ncontent-length: 0\r\n\r\n".to_vec()
    }

    /// Returns the keys that it holds now, as ranges.
    pub fn held(&self) -> Vec<(usize, usize)> {
        let now = self.now();
        let keys = self.keys.lock().expect("the keys");
        let mut ranges: Vec<(usize, usize)> = Vec::new();
        for key in 0..65536 {
            if keys.until[key] > now {
                match ranges.last_mut() {
                    Some(last) if last.1 + 1 == key => last.1 = key,
                    _ => ranges.push((key, key)),
                }
            }
        }
        ranges
    }
}

fn json_number(text: &str, name: &str) -> u64 {
    let rest = text.split(&format!("\"{name}\":")).nth(1).unwrap_or_default();
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(0)
}

/// Returns a configuration with a keyed service `board` and a service `desk`.
pub fn document(version: u64, more_routes: usize) -> String {
    let mut more = String::new();
    for number in 0..more_routes {
        more.push_str(&format!(
            r#",{{"name":"r-m{number:05}","pathPrefix":"/more{number:05}/","kind":"idempotent","timeout":"4000ms","targetLatency":"600ms","priority":2,"service":"desk","maxAttempts":2}}"#
        ));
    }
    format!(
        r#"{{"version":"r{version}","services":[{{"name":"board","healthPath":"/health","maxConnections":71,"protocol":"h1","tls":false,"sharded":true,"warmup":"2s","grants":"direct"}},{{"name":"desk","healthPath":"/health","maxConnections":71,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}},"virtualHosts":[{{"host":"one.example","pathRules":[{{"name":"r-board","pathPrefix":"/board/","kind":"idempotent","timeout":"4000ms","targetLatency":"600ms","priority":2,"service":"board","maxAttempts":2}},{{"name":"r-desk","pathPrefix":"/desk/","kind":"non_idempotent","timeout":"4000ms","targetLatency":"800ms","priority":1,"service":"desk","maxAttempts":2}},{{"name":"r-photos","pathPrefix":"/photos/","kind":"upload","timeout":"10s","targetLatency":"5s","priority":1,"service":"desk","maxAttempts":2}}{more}]}}]}}"#
    )
}

pub fn request_head(method: &str, path: &str, id: &str, key: Option<usize>) -> String {
    let deadline = if path.starts_with("/photos/") { 10_000 } else { 4000 };
    let key = key.map_or(String::new(), |key| format!("Sequoiayoke-Shard-Key: {key}\r\n"));
    format!(
        "{method} {path} HTTP/1.1\r\nHost: one.example\r\nSequoiayoke-Request-Id: {id}\r\nSequoiayoke-Deadline-Ms: {deadline}\r\n{key}"
    )
}

/// Returns the configuration as the directors know it, or `None` if none of them gives it in time.
pub fn read_config(directors: &[SocketAddr], within: Duration) -> Option<String> {
    let start = Instant::now();
    let mut turn = 0;
    let mut next = None;
    while start.elapsed() < within {
        let address = next.take().unwrap_or(directors[turn % directors.len()]);
        turn += 1;
        let head = format!("POST /v1/rpc?call=config.read HTTP/1.1\r\nhost: {address}\r\n");
        match call(address, &head, b"", ms(1000)) {
            Ok(answer) if answer.status() == 200 => return Some(String::from_utf8_lossy(&answer.body).into_owned()),
            Ok(answer) if answer.status() == 307 => {
                let location = answer.field("location").trim_start_matches("http://").to_owned();
                next = location.split('/').next().and_then(|text| text.parse().ok());
            }
            _ => thread::sleep(ms(100)),
        }
    }
    None
}
