//! An application server: it announces itself to the node beside it, holds keys and runs requests.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::{self, Record};

/// Time between two check-ins.
pub const HEARTBEAT: Duration = Duration::from_millis(870);

/// Properties of one life of a server.
#[derive(Clone, Debug)]
pub struct Config {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    /// The `control` address of its machine.
    pub control: SocketAddr,
    pub slots: usize,
    pub is_keyed: bool,
    /// How late its first check-in is.
    pub first_check_in: Duration,
}

/// Keys that a server has taken.
#[derive(Clone, Debug)]
pub struct Hold {
    pub from: u16,
    pub target: u16,
    pub fence: u64,
    pub until: Instant,
}

#[derive(Default)]
struct State {
    holds: Vec<Hold>,
    /// Highest generation number by range of keys.
    seen: Vec<(u16, u16, u64)>,
    /// Keys of the requests that run.
    running: Vec<u16>,
    connections: Vec<TcpStream>,
}

pub struct Server {
    pub config: Config,
    pub born_ms: u64,
    /// Id and start time, which name one life.
    pub life: String,
    pub work_ms: AtomicU64,
    pub running: AtomicUsize,
    is_alive: AtomicBool,
    /// Whether it answers nothing, as a server whose machine has fallen silent.
    is_dark: AtomicBool,
    listener: Mutex<Option<TcpListener>>,
    state: Mutex<State>,
    freed: Condvar,
    served: AtomicU64,
    record: Arc<Record>,
}

impl Server {
    pub fn start(config: Config, work_ms: u64, record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind(config.address).expect("the server's port is free");
        Self::start_at(listener, config, work_ms, record)
    }

    /// Starts a server at a listener that was opened before.
    pub fn start_at(
        listener: TcpListener,
        config: Config,
        work_ms: u64,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let accepting = listener
            .try_clone()
            .expect("the listener has a second handle");
        let born_ms = record::unix_ms();
        let life = format!("{}@{born_ms}", config.id);
        record.line(format!(
            "server {life} ({}) starts at {}",
            config.service, config.address
        ));
        let server = Arc::new(Self {
            config,
            born_ms,
            life,
            work_ms: AtomicU64::new(work_ms),
            running: AtomicUsize::new(0),
            is_alive: AtomicBool::new(true),
            is_dark: AtomicBool::new(false),
            listener: Mutex::new(Some(listener)),
            state: Mutex::default(),
            freed: Condvar::new(),
            served: AtomicU64::new(0),
            record: Arc::clone(record),
        });
        let acceptor = Arc::clone(&server);
        thread::spawn(move || acceptor.accept(accepting));
        let announcing = Arc::clone(&server);
        thread::spawn(move || announcing.announce());
        server
    }

    /// Ends the server at once, as a crash does.
    pub fn crash(&self) {
        self.is_alive.store(false, Ordering::SeqCst);
        let mut state = self.state.lock().expect("no thread panics with the lock");
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        drop(state);
        drop(self.lock_listener().take());
        // The thread that accepts has the other handle.
        thread::sleep(Duration::from_millis(20));
        self.record.line(format!("server {} crashes", self.life));
    }

    fn lock_listener(&self) -> std::sync::MutexGuard<'_, Option<TcpListener>> {
        self.listener
            .lock()
            .expect("no thread panics with the lock")
    }

    /// Returns what it holds now, if it is up.
    pub fn held(&self) -> Vec<Hold> {
        if !self.is_alive() || self.is_dark() {
            return Vec::new();
        }
        let now = Instant::now();
        let state = self.state.lock().expect("no thread panics with the lock");
        let held = state.holds.iter().filter(|hold| now < hold.until);
        held.cloned().collect()
    }

    /// Falls silent: it answers nothing and checks in no more, while its address stays reachable.
    pub fn go_dark(&self) {
        self.is_dark.store(true, Ordering::SeqCst);
        self.record
            .line(format!("server {} falls silent", self.life));
    }

    /// Ends a silent server and returns its listener, without the connections that wait there.
    pub fn take_listener(&self) -> TcpListener {
        let listener = self.lock_listener().take().expect("it has not ended");
        self.crash();
        while listener.accept().is_ok() {}
        listener
    }

    fn is_dark(&self) -> bool {
        self.is_dark.load(Ordering::SeqCst)
    }

    fn is_alive(&self) -> bool {
        self.is_alive.load(Ordering::SeqCst)
    }

    fn accept(self: Arc<Self>, listener: TcpListener) {
        listener
            .set_nonblocking(true)
            .expect("the listener has modes");
        while self.is_alive() {
            if self.is_dark() {
                thread::sleep(Duration::from_millis(1));
                continue;
            }
            match listener.accept() {
                Ok((io, _)) => {
                    let _ = io.set_nonblocking(false);
                    let _ = io.set_nodelay(true);
                    if let Ok(other) = io.try_clone() {
                        let mut state = self.state.lock().expect("no thread panics with the lock");
                        state.connections.push(other);
                    }
                    let server = Arc::clone(&self);
                    thread::spawn(move || server.serve(io));
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    fn announce(self: Arc<Self>) {
        thread::sleep(self.config.first_check_in);
        let mut sequence = 0;
        while self.is_alive() && !self.is_dark() {
            sequence += 1;
            let config = &self.config;
            let body = format!(
                r#"{{"born":{},"address":"{}","info":{{"service":"{}","version":"v1","zone":"{}","slots":{}}},"status":{{"state":"ready","sequence":{sequence},"coldLeft":"0ms"}}}}"#,
                self.born_ms, config.address, config.service, config.zone, config.slots
            );
            let head = format!(
                "POST /v1/rpc?call=instances.heartbeat&of={} HTTP/1.1\r\ncontent-type: application/json\r\n",
                config.id
            );
            let answer = http::call(
                config.control,
                &head,
                body.as_bytes(),
                Duration::from_secs(1),
            );
            let status = answer.map_or(0, |answer| answer.status());
            if sequence <= 3 || status != 200 {
                self.record
                    .line(format!("check-in {sequence} of {}: {status}", self.life));
            }
            thread::sleep(HEARTBEAT);
        }
    }

    fn serve(self: Arc<Self>, mut io: TcpStream) {
        let mut rest = Vec::new();
        while let Ok(Some(request)) = http::read(&mut io, &mut rest) {
            if !self.is_alive() {
                return;
            }
            while self.is_dark() && self.is_alive() {
                thread::sleep(Duration::from_millis(5));
            }
            let answer = self.answer(&request);
            if !self.is_alive() || io.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &http::Message) -> String {
        let (method, target) = request.method_and_target();
        match (method, target) {
            ("POST", "/v1/grant") => self.grant(&request.body),
            ("POST", "/v1/release") => self.release(&request.body),
            ("GET", "/health") => {
                let fields = format!("Sequoiayoke-Instance-Id: {}\r\n", self.config.id);
                response("200 OK", &fields, "")
            }
            _ => self.run(request),
        }
    }

    fn grant(&self, body: &[u8]) -> String {
        let text = String::from_utf8_lossy(body);
        let (Some(from), Some(target), Some(fence)) = (
            number(&text, "from"),
            number(&text, "target"),
            number(&text, "fence"),
        ) else {
            return response("400 Bad Request", "", "");
        };
        let hold = number(&text, "hold_time").unwrap_or(0);
        let (from, target) = (from as u16, target as u16);
        let mut state = self.state.lock().expect("no thread panics with the lock");
        let overlaps = |first: u16, last: u16| first <= target && from <= last;
        let mut seen = state.seen.iter();
        if seen.any(|(first, last, known)| overlaps(*first, *last) && *known > fence) {
            drop(state);
            self.record.line(format!(
                "{} refuses {from}..={target} fence {fence}",
                self.life
            ));
            return response("409 Conflict", "", "");
        }
        state.seen.push((from, target, fence));
        state
            .holds
            .retain(|held| !(held.fence <= fence && from <= held.from && held.target <= target));
        let until = Instant::now() + Duration::from_millis(hold);
        state.holds.push(Hold {
            from,
            target,
            fence,
            until,
        });
        drop(state);
        self.record.line(format!(
            "{} takes {from}..={target} fence {fence} for {hold} ms",
            self.life
        ));
        response("200 OK", "", "")
    }

    fn release(&self, body: &[u8]) -> String {
        let text = String::from_utf8_lossy(body);
        let (Some(from), Some(target)) = (number(&text, "from"), number(&text, "target")) else {
            return response("400 Bad Request", "", "");
        };
        let (from, target) = (from as u16, target as u16);
        let mut state = self.state.lock().expect("no thread panics with the lock");
        let mut kept = Vec::new();
        for held in state.holds.drain(..) {
            if held.target < from || target < held.from {
                kept.push(held);
                continue;
            }
            if held.from < from {
                kept.push(Hold {
                    target: from - 1,
                    ..held.clone()
                });
            }
            if held.target > target {
                kept.push(Hold {
                    from: target + 1,
                    ..held
                });
            }
        }
        state.holds = kept;
        while state
            .running
            .iter()
            .any(|key| (from..=target).contains(key))
        {
            state = self
                .freed
                .wait(state)
                .expect("no thread panics with the lock");
        }
        drop(state);
        self.record
            .line(format!("{} releases {from}..={target}", self.life));
        response("200 OK", "Sequoiayoke-Handover: 5c0e7a21d94b36f8\r\n", "")
    }

    fn run(&self, request: &http::Message) -> String {
        let Some(id) = request.field("Sequoiayoke-Request-Id").map(str::to_owned) else {
            return response("400 Bad Request", "Sequoiayoke-Not-Executed: 1\r\n", "");
        };
        let echo = format!("Sequoiayoke-Request-Id: {id}\r\n");
        let refused = format!("{echo}Sequoiayoke-Not-Executed: 1\r\n");
        let expected = request.field("Sequoiayoke-Expect-Instance");
        if expected.is_some_and(|expected| expected != self.config.id) {
            return response("421 Misdirected Request", &refused, "");
        }
        let key = request.field("Sequoiayoke-Shard-Key");
        let key = key.and_then(|key| key.parse::<u16>().ok());
        let mut state = self.state.lock().expect("no thread panics with the lock");
        let mut fence = 0;
        if self.config.is_keyed {
            let now = Instant::now();
            let mut holds = state.holds.iter();
            let hold = key.and_then(|key| {
                holds.find(|hold| (hold.from..=hold.target).contains(&key) && now < hold.until)
            });
            let Some(hold) = hold else {
                return response("421 Misdirected Request", &refused, "");
            };
            fence = hold.fence;
        }
        let deadline = request.field("Sequoiayoke-Deadline-Ms");
        let deadline = deadline
            .and_then(|text| text.parse().ok())
            .unwrap_or(10_000);
        let queued_until = Instant::now() + Duration::from_millis(deadline);
        while self.running.load(Ordering::SeqCst) >= self.config.slots {
            let left = queued_until.saturating_duration_since(Instant::now());
            if left.is_zero() || !self.is_alive() {
                return response("503 Service Unavailable", &refused, "");
            }
            let wait = left.min(Duration::from_millis(50));
            state = self
                .freed
                .wait_timeout(state, wait)
                .expect("no thread panics with the lock")
                .0;
        }
        self.running.fetch_add(1, Ordering::SeqCst);
        state.running.extend(key);
        drop(state);
        let length = request.body.len();
        self.record.line(format!(
            "{} begins {id} {} key {key:?} fence {fence} body {length}",
            self.life, request.start
        ));
        let work = Duration::from_millis(self.work_ms.load(Ordering::SeqCst));
        thread::sleep(work.min(queued_until.saturating_duration_since(Instant::now())));
        let mut state = self.state.lock().expect("no thread panics with the lock");
        if let Some(place) = state.running.iter().position(|other| Some(*other) == key) {
            state.running.swap_remove(place);
        }
        self.running.fetch_sub(1, Ordering::SeqCst);
        drop(state);
        self.freed.notify_all();
        let number = self.served.fetch_add(1, Ordering::SeqCst);
        self.record.line(format!("{} ends {id}", self.life));
        let fields = format!("{echo}Sequoiayoke-Server-Stamp: {}.{number}\r\n", self.life);
        response("200 OK", &fields, &format!("ran {length} bytes"))
    }
}

fn response(status: &str, fields: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\n{fields}Keep-Alive: timeout=10\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

/// Returns a number or the milliseconds of a time in a JSON object.
fn number(text: &str, name: &str) -> Option<u64> {
    let start = text.find(&format!("\"{name}\":"))? + name.len() + 3;
    let digits = text[start..].trim_start_matches(['"', ' ']);
    let end = digits
        .find(|next: char| !next.is_ascii_digit())
        .unwrap_or(digits.len());
    digits[..end].parse().ok()
}
