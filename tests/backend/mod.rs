//! A scripted backend server: what it does with a request depends on the first word of the key.
//!
//! It writes raw bytes, since an HTTP library would not write an answer that
//! breaks off. Each step of a request is noted, so that tests can wait for it.

use std::io;
use std::path::Path;
use std::time::Duration;

use sequoiayoke_harness::{Deployment, deployment, process, settings};
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task;

/// Time between two announcements.
const ANNOUNCE: Duration = Duration::from_millis(500);
/// Bytes of a large answer.
pub(crate) const BIG: usize = 300_000;

/// A node and its scripted backend server.
#[derive(Debug)]
pub(crate) struct Pair {
    /// Name of the server.
    pub(crate) name: String,
    /// The node.
    pub(crate) node: process::Process,
    notes: watch::Sender<Vec<String>>,
    _tasks: task::JoinSet<()>,
}

/// Starts a deployment of one control replica and `count` pairs that serve `desk`.
///
/// `timing` is that section of the nodes' settings.
pub(crate) async fn start(bin: &Path, count: usize, timing: &Value) -> (Deployment, Vec<Pair>) {
    let mut deployment = Deployment::start(bin, settings::Spec::new(1)).unwrap();
    deployment.spec = deployment.spec.with_service("desk", count, 32, 0);
    let mut pairs = Vec::new();
    for server in deployment.spec.servers.clone() {
        let mut text = settings::node(&deployment.spec, &deployment.ip, &server);
        text["timing"] = timing.clone();
        let data = deployment.data_directory(0);
        let file = data.with_file_name(format!("{}.jsonc", server.name));
        std::fs::write(&file, text.to_string()).unwrap();
        let arguments = ["--settings".to_owned(), file.display().to_string()];
        let program = bin.join("sequoiayoke-node");
        let log = file.with_extension("log");
        let node = process::Process::start(&server.name, &program, &arguments, log).unwrap();
        pairs.push(Pair::start(&deployment.ip, &server.name, node).await);
    }
    let joined = |status: &Value| {
        let servers = status["servers"].as_array();
        servers.is_some_and(|servers| servers.len() == count)
    };
    deployment.wait_status("joined", joined).await.unwrap();
    deployment.create_services(8).await.unwrap();
    (deployment, pairs)
}

impl Pair {
    async fn start(ip: &str, name: &str, node: process::Process) -> Self {
        let listener = TcpListener::bind((ip, 0)).await.unwrap();
        let announcement = json!({
            "name": name, "instance": name, "services": ["desk"],
            "address": listener.local_addr().unwrap(), "slots": 32, "connections": 130,
            "checks_fencing": false, "checks_sender": false,
        });
        let url = format!("http://{}/v1/announce", node.field("backend").unwrap());
        let (notes, _) = watch::channel(Vec::new());
        let mut tasks = task::JoinSet::new();
        tasks.spawn(async move {
            let http = reqwest::Client::builder().no_proxy().build().unwrap();
            let mut tick = tokio::time::interval(ANNOUNCE);
            loop {
                tick.tick().await;
                let _ = http.post(&url).json(&announcement).send().await;
            }
        });
        let noted = notes.clone();
        tasks.spawn(async move {
            let mut connections = task::JoinSet::new();
            while let Ok((socket, _)) = listener.accept().await {
                let notes = noted.clone();
                connections.spawn(async move {
                    let _ = connection(socket, &notes).await;
                });
            }
        });
        Self {
            name: name.to_owned(),
            node,
            notes,
            _tasks: tasks,
        }
    }

    /// Returns the address for callers.
    pub(crate) fn caller(&self) -> &str {
        self.node.field("caller").unwrap()
    }

    /// Waits until the server has noted `text`.
    pub(crate) async fn wait(&self, text: &str) {
        self.wait_times(text, 1).await;
    }

    /// Waits until the server has noted `text` so many times.
    pub(crate) async fn wait_times(&self, text: &str, times: usize) {
        let mut notes = self.notes.subscribe();
        let seen =
            notes.wait_for(|notes| notes.iter().filter(|note| *note == text).count() >= times);
        let seen = tokio::time::timeout(deployment::MAX_WAIT, seen).await;
        assert!(seen.is_ok(), "{} has not noted `{text}`", self.name);
    }

    /// Returns what the server has noted so far.
    pub(crate) fn notes(&self) -> Vec<String> {
        self.notes.borrow().clone()
    }
}

/// Returns the whole body of a large answer for a key.
pub(crate) fn big(key: &str) -> Vec<u8> {
    key.bytes().cycle().take(BIG).collect()
}

struct Head {
    path: String,
    length: usize,
}

async fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Head> {
    let mut head = Head {
        path: String::new(),
        length: 0,
    };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            return Ok(head);
        }
        if head.path.is_empty() {
            head.path = line.split(' ').nth(1).unwrap_or("").to_owned();
        } else if let Some(length) = line.strip_prefix("content-length:") {
            head.length = length.trim().parse().unwrap_or(0);
        }
    }
}

async fn connection(socket: TcpStream, notes: &watch::Sender<Vec<String>>) -> io::Result<()> {
    let mut reader = BufReader::new(socket);
    loop {
        let head = read_head(&mut reader).await?;
        let Some(rest) = head.path.strip_prefix("/s/desk/") else {
            let mut body = vec![0; head.length];
            reader.read_exact(&mut body).await?;
            reader.write_all(&whole(b"{}")).await?;
            continue;
        };
        let key = rest.split('/').next().unwrap_or("");
        let note = |text: &str| notes.send_modify(|notes| notes.push(format!("{text} {key}")));
        note("started");
        let ended = request(&mut reader, key, &head).await;
        note(match &ended {
            Ok(true) => "answered",
            Ok(false) => "broken",
            Err(_) => "cancelled",
        });
        if !ended? {
            return Ok(());
        }
    }
}

/// Carries out one request; `false` if the connection is to be closed.
async fn request(reader: &mut BufReader<TcpStream>, key: &str, head: &Head) -> io::Result<bool> {
    let chunked = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n";
    match key.split('-').next().unwrap_or("") {
        "chunked" => reader.write_all(chunked).await.map(|()| false),
        "length" => {
            let text = b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhello";
            reader.write_all(text).await.map(|()| false)
        }
        "hang" => {
            let mut byte = [0];
            match reader.read(&mut byte).await? {
                0 => Err(io::ErrorKind::UnexpectedEof.into()),
                _ => Ok(false),
            }
        }
        "endless" => {
            reader.write_all(chunked).await?;
            loop {
                let part = [b"1000\r\n".as_slice(), &[b'x'; 0x1000], b"\r\n"].concat();
                reader.write_all(&part).await?;
            }
        }
        "big" => reader.write_all(&whole(&big(key))).await.map(|()| true),
        _ => {
            let mut body = (&mut *reader).take(head.length as u64);
            let read = tokio::io::copy(&mut body, &mut tokio::io::sink()).await?;
            if read < head.length as u64 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let answer = json!({ "key": key, "body_bytes": read });
            let answer = whole(answer.to_string().as_bytes());
            reader.write_all(&answer).await.map(|()| true)
        }
    }
}

fn whole(body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}
