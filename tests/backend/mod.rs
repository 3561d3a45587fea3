//! A scripted backend server: the prefix of a key up to the first `-` selects how it answers.
//!
//! It writes raw bytes, since an HTTP library would not write an incomplete answer. It records
//! each step of a request as an event, so that tests can wait for it.

#![allow(dead_code)]

use std::io;
use std::path::Path;
use std::time::Duration;

use sequoiayoke_harness::{Deployment, deployment, process, settings};
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task;

/// Interval between two announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// Size of the body of a large answer.
pub(crate) const LARGE_BODY_BYTES: usize = 300_000;
/// Size of the body of a huge answer; larger than all buffers on its path.
pub(crate) const HUGE_BODY_BYTES: usize = 32 << 20;

/// A node and its scripted backend server.
#[derive(Debug)]
pub(crate) struct Vm {
    /// Name of the server.
    pub(crate) name: String,
    /// The node.
    pub(crate) node: process::Process,
    announcement: Value,
    events: watch::Sender<Vec<String>>,
    _tasks: task::JoinSet<()>,
}

/// Starts a deployment of one control replica and `count` VMs that serve `desk`.
///
/// `timing` is the section of that name in the settings of the nodes.
pub(crate) async fn start(bin: &Path, count: usize, timing: &Value) -> (Deployment, Vec<Vm>) {
    let mut deployment = Deployment::start(bin, settings::Spec::new(1)).unwrap();
    deployment.spec = deployment.spec.with_service("desk", count, 32, 0);
    let mut vms = Vec::new();
    for server in deployment.spec.servers.clone() {
        let mut node_settings = settings::node(&deployment.spec, &deployment.ip, &server);
        node_settings["timing"] = timing.clone();
        let data = deployment.data_directory(0);
        let file = data.with_file_name(format!("{}.jsonc", server.name));
        std::fs::write(&file, node_settings.to_string()).unwrap();
        let arguments = ["--settings".to_owned(), file.display().to_string()];
        let program = bin.join("sequoiayoke-node");
        let log = file.with_extension("log");
        let node = process::Process::start(&server.name, &program, &arguments, log).unwrap();
        vms.push(Vm::start(&deployment.ip, &server.name, node).await);
    }
    let has_all_servers = |status: &Value| {
        let servers = status["servers"].as_array();
        servers.is_some_and(|servers| servers.len() == count)
    };
    deployment
        .wait_status("all nodes have joined", has_all_servers)
        .await
        .unwrap();
    deployment.create_services(8).await.unwrap();
    (deployment, vms)
}

impl Vm {
    async fn start(ip: &str, name: &str, node: process::Process) -> Self {
        let listener = TcpListener::bind((ip, 0)).await.unwrap();
        let announcement = json!({
            "name": name, "instance": name, "services": ["desk"],
            "address": listener.local_addr().unwrap(), "slots": 32, "connections": 130,
            "checks_fencing": false, "checks_sender": false,
        });
        let url = format!("http://{}/v1/announce", node.field("backend").unwrap());
        let (events, _) = watch::channel(Vec::new());
        let mut tasks = task::JoinSet::new();
        let repeated = announcement.clone();
        tasks.spawn(async move {
            let http = reqwest::Client::builder().no_proxy().build().unwrap();
            let mut interval = tokio::time::interval(ANNOUNCE_INTERVAL);
            loop {
                interval.tick().await;
                let _ = http.post(&url).json(&repeated).send().await;
            }
        });
        let accept_events = events.clone();
        tasks.spawn(async move {
            let mut connections = task::JoinSet::new();
            while let Ok((socket, _)) = listener.accept().await {
                let events = accept_events.clone();
                connections.spawn(async move {
                    let _ = serve_connection(socket, &events).await;
                });
            }
        });
        Self {
            name: name.to_owned(),
            node,
            announcement,
            events,
            _tasks: tasks,
        }
    }

    /// Returns the address for callers.
    pub(crate) fn caller(&self) -> &str {
        self.node.field("caller").unwrap()
    }

    /// Announces a further run of the server, which replaces the first one.
    pub(crate) async fn announce(&self, deployment: &Deployment, instance: &str) {
        let mut announcement = self.announcement.clone();
        announcement["instance"] = json!(instance);
        let url = format!("http://{}/v1/announce", self.node.field("backend").unwrap());
        let announced = deployment.http().post(url).json(&announcement).send().await;
        assert!(announced.unwrap().status().is_success());
    }

    /// Waits until the server has recorded the event `text`.
    pub(crate) async fn wait_event(&self, text: &str) {
        self.wait_event_count(text, 1).await;
    }

    /// Waits until the server has recorded the event `text` at least `count` times.
    pub(crate) async fn wait_event_count(&self, text: &str, count: usize) {
        let mut events = self.events.subscribe();
        let recorded =
            events.wait_for(|events| events.iter().filter(|event| *event == text).count() >= count);
        let recorded = tokio::time::timeout(deployment::MAX_WAIT, recorded).await;
        assert!(
            recorded.is_ok(),
            "{} has not recorded `{text}` {count} times",
            self.name
        );
    }

    /// Waits until the server has recorded an event that contains `text`.
    pub(crate) async fn wait_event_containing(&self, text: &str) {
        let mut events = self.events.subscribe();
        let recorded = events.wait_for(|events| events.iter().any(|event| event.contains(text)));
        let recorded = tokio::time::timeout(deployment::MAX_WAIT, recorded).await;
        assert!(recorded.is_ok(), "{} has not recorded `{text}`", self.name);
    }

    /// Waits until the node reports that it is draining.
    pub(crate) async fn wait_draining(&self, deployment: &Deployment) {
        let url = format!("http://{}/v1/ready", self.caller());
        let draining = async {
            loop {
                let answer = deployment.http().get(&url).send().await.unwrap();
                if answer.text().await.unwrap() == "draining" {
                    return;
                }
            }
        };
        let draining = tokio::time::timeout(deployment::MAX_WAIT, draining).await;
        assert!(
            draining.is_ok(),
            "{} does not report that it is draining",
            self.name
        );
    }

    /// Returns the events recorded so far, oldest first.
    pub(crate) fn events(&self) -> Vec<String> {
        self.events.borrow().clone()
    }
}

/// Returns the body of a large answer for a key.
pub(crate) fn large_body(key: &str) -> Vec<u8> {
    key.bytes().cycle().take(LARGE_BODY_BYTES).collect()
}

/// The parts of a request head that select the answer.
struct RequestHead {
    path: String,
    content_length: usize,
}

async fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<RequestHead> {
    let mut head = RequestHead {
        path: String::new(),
        content_length: 0,
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
            head.content_length = length.trim().parse().unwrap_or(0);
        }
    }
}

async fn serve_connection(
    socket: TcpStream,
    events: &watch::Sender<Vec<String>>,
) -> io::Result<()> {
    let mut reader = BufReader::new(socket);
    loop {
        let head = read_head(&mut reader).await?;
        let Some(rest) = head.path.strip_prefix("/s/desk/") else {
            let mut body = vec![0; head.content_length];
            reader.read_exact(&mut body).await?;
            reader.write_all(&encode_response(b"{}")).await?;
            continue;
        };
        let key = rest.split('/').next().unwrap_or("");
        let record = |step: &str| events.send_modify(|events| events.push(format!("{step} {key}")));
        record("started");
        let result = serve_request(&mut reader, key, &head).await;
        record(match &result {
            Ok(true) => "answered",
            Ok(false) => "broken",
            Err(_) => "cancelled",
        });
        if !result? {
            return Ok(());
        }
    }
}

/// Serves one request; returns whether the connection stays open.
///
/// The connection stays open after a complete answer, which is recorded as `answered`, and not after
/// an incomplete one, which is recorded as `broken`. An error is recorded as `cancelled`: the node
/// has closed the connection.
async fn serve_request(
    reader: &mut BufReader<TcpStream>,
    key: &str,
    head: &RequestHead,
) -> io::Result<bool> {
    let chunked = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n";
    match key.split('-').next().unwrap_or("") {
        "chunked" => reader.write_all(chunked).await.map(|()| false),
        "length" => {
            let incomplete = b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhello";
            reader.write_all(incomplete).await.map(|()| false)
        }
        // Answers before the upload has arrived, ends the answer in order and reads on.
        "early" => {
            let early = b"HTTP/1.1 200 OK\r\nconnection: close\r\n\r\na part";
            reader.write_all(early).await?;
            reader.shutdown().await?;
            tokio::io::copy(reader, &mut tokio::io::sink()).await?;
            Ok(false)
        }
        "status" => {
            let code = key.split('-').nth(1).unwrap_or("");
            let answer = format!("HTTP/1.1 {code} Trouble\r\ncontent-length: 0\r\n\r\n");
            reader.write_all(answer.as_bytes()).await.map(|()| false)
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
                let chunk = [b"1000\r\n".as_slice(), &[b'x'; 0x1000], b"\r\n"].concat();
                reader.write_all(&chunk).await?;
            }
        }
        "big" => reader
            .write_all(&encode_response(&large_body(key)))
            .await
            .map(|()| true),
        "huge" => {
            let body = vec![b'x'; HUGE_BODY_BYTES];
            let written = reader.write_all(&encode_response(&body)).await;
            written.map(|()| true)
        }
        _ => {
            let mut body = (&mut *reader).take(head.content_length as u64);
            let read = tokio::io::copy(&mut body, &mut tokio::io::sink()).await?;
            if read < head.content_length as u64 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let answer = json!({ "key": key, "body_bytes": read });
            let response = encode_response(answer.to_string().as_bytes());
            reader.write_all(&response).await.map(|()| true)
        }
    }
}

/// Returns a complete response with a body.
fn encode_response(body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}
