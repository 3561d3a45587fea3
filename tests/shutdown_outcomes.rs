//! Invariant I4 at a shutdown: each request that a node has received ends with an answer or with a
//! true refusal before the process ends, also if its deadline is later.

#![allow(clippy::unwrap_used, missing_docs)]

mod backend;

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use rustix::process::Signal;
use sequoiayoke_harness::Deployment;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time;

/// Time that the nodes have for a shutdown.
const DRAIN_MS: u64 = 3_000;
/// Longest time until a node has exited, with a reserve for busy machines.
const MAX_EXIT: Duration = Duration::from_millis(DRAIN_MS + 7_000);
/// Number of requests that are sent to one owner; more than it runs concurrently.
const REQUESTS: usize = 64;

/// Returns the directory of the compiled programs.
fn bin() -> &'static Path {
    let node = Path::new(env!("CARGO_BIN_EXE_sequoiayoke-node"));
    node.parent().unwrap()
}

/// An answer as the caller reads it, up to the end of the connection.
#[derive(Debug)]
struct Answer {
    head: String,
    body: Vec<u8>,
}

impl Answer {
    /// Reads until the node closes the connection; fails if there is no complete head.
    async fn read(key: &str, socket: &mut TcpStream) -> Self {
        let mut bytes = Vec::new();
        let read = time::timeout(MAX_EXIT, socket.read_to_end(&mut bytes)).await;
        let result = read.unwrap_or_else(|_| panic!("{key}: the connection stays open"));
        let end = bytes.windows(4).position(|part| part == b"\r\n\r\n");
        let end = end.unwrap_or_else(|| panic!("{key}: no answer, {result:?}"));
        let body = bytes.split_off(end + 4);
        let head = String::from_utf8(bytes).unwrap();
        Self { head, body }
    }

    fn header(&self, name: &str) -> &str {
        let mut lines = self.head.lines();
        let prefix = format!("{name}: ");
        lines
            .find_map(|line| line.strip_prefix(prefix.as_str()))
            .unwrap_or("")
    }

    fn outcome(&self) -> &str {
        self.header("sequoiayoke-outcome")
    }
}

/// Sends the head of a request with a deadline of a minute, and the first part of its body.
async fn send(address: &str, method: &str, key: &str, length: usize, body: &[u8]) -> TcpStream {
    let mut socket = TcpStream::connect(address).await.unwrap();
    let head = format!(
        "{method} /s/desk/{key} HTTP/1.1\r\nhost: desk\r\ncontent-length: {length}\r\n\
         sequoiayoke-deadline-ms: 60000\r\n\r\n"
    );
    socket.write_all(head.as_bytes()).await.unwrap();
    socket.write_all(body).await.unwrap();
    socket
}

/// Sends a short request on a new connection, and asserts that it is answered.
///
/// Returns whether the node accepted the connection. One that is established while the listener
/// closes may be reset; the node has not read its request.
async fn is_answered(address: &str, key: &str) -> bool {
    let Ok(mut socket) = TcpStream::connect(address).await else {
        return false;
    };
    let head = format!("GET /s/desk/{key} HTTP/1.1\r\nhost: desk\r\n\r\n");
    let mut byte = [0];
    if socket.write_all(head.as_bytes()).await.is_err() || socket.peek(&mut byte).await.is_err() {
        return false;
    }
    let answer = Answer::read(key, &mut socket).await;
    assert_eq!(answer.outcome(), "answered", "{key}: {answer:?}");
    true
}

/// Returns `count` keys with `prefix` that a VM owns.
async fn find_keys(
    deployment: &Deployment,
    vm: &backend::Vm,
    prefix: &str,
    count: usize,
) -> Vec<String> {
    let mut keys = Vec::new();
    for number in 0..4_096 {
        let key = format!("{prefix}-{number}");
        let address = deployment.operator_addresses().remove(0);
        let path = format!("/v1/explain/desk/{key}");
        let (_, explanation) = deployment.query_address(&address, &path).await.unwrap();
        if explanation["holder"]["server"] == json!(vm.name) {
            keys.push(key);
        }
        if keys.len() == count {
            return keys;
        }
    }
    panic!("{} owns only {} of the keys", vm.name, keys.len());
}

/// Sends more requests than the server of `owner` runs to VM `entry`, stops the node `stopped`
/// while none can complete, and asserts that each gets a true outcome.
async fn check_waiting_requests(entry: usize, stopped: usize) {
    let timing = json!({ "drain_ms": DRAIN_MS });
    let (deployment, mut vms) = backend::start(bin(), 2, &timing).await;
    let owner = 1;
    let keys = find_keys(&deployment, &vms[owner], "hang", REQUESTS).await;
    let mut sockets = Vec::new();
    for key in &keys {
        sockets.push(send(vms[entry].caller(), "POST", key, 0, b"").await);
    }
    vms[owner].wait_event_containing("started hang-").await;
    vms[stopped].node.signal(Signal::TERM);
    let mut tally = BTreeMap::new();
    for (key, mut socket) in keys.iter().zip(sockets) {
        let answer = Answer::read(key, &mut socket).await;
        let was_started = vms[owner].events().contains(&format!("started {key}"));
        match answer.outcome() {
            "not-run" => assert!(!was_started, "{key} has run: {answer:?}"),
            "unknown" => {}
            _ => panic!("{key}: {answer:?}"),
        }
        let label = format!(
            "{} {}",
            answer.outcome(),
            answer.header("sequoiayoke-reason")
        );
        *tally.entry(label).or_insert(0) += 1;
    }
    println!("{tally:?}");
    assert!(
        vms[stopped].node.terminate(MAX_EXIT),
        "the node did not exit in time"
    );
    let not_run: usize = tally
        .range("not-run".to_owned().."not-run~".to_owned())
        .map(|(_, count)| *count)
        .sum();
    assert!(not_run > 0, "every request has started: {tally:?}");
}

/// Guards against requests that are dropped without an outcome when the owner's node ends while
/// they wait for a slot or run.
#[tokio::test(flavor = "multi_thread")]
async fn requests_at_an_owner_that_stops_get_an_outcome() {
    check_waiting_requests(1, 1).await;
}

/// Guards against requests that are dropped without an outcome when the node that has forwarded
/// them ends while they wait at the owner's node.
#[tokio::test(flavor = "multi_thread")]
async fn requests_at_an_entry_node_that_stops_get_an_outcome() {
    check_waiting_requests(0, 0).await;
}

/// Guards against uploads and requests for a vacant key that are dropped without an outcome when
/// the node ends before the rest of the body or a new owner has arrived.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_uploads_and_requests_without_an_owner_get_an_outcome() {
    let timing = json!({ "drain_ms": DRAIN_MS });
    let (deployment, mut vms) = backend::start(bin(), 1, &timing).await;
    let key = find_keys(&deployment, &vms[0], "upload", 1).await.remove(0);
    let mut streamed = send(vms[0].caller(), "POST", &key, 1 << 20, b"part").await;
    vms[0].wait_event(&format!("started {key}")).await;
    let mut buffered = send(vms[0].caller(), "POST", "buffered", 100, b"part").await;
    vms[0].node.signal(Signal::TERM);
    vms[0].wait_draining(&deployment).await;
    // The only owner leaves, so this waits for another one.
    let mut vacant = send(vms[0].caller(), "POST", "vacant", 0, b"").await;
    let answer = Answer::read(&key, &mut streamed).await;
    assert_eq!(answer.outcome(), "unknown", "{answer:?}");
    for (key, socket) in [("buffered", &mut buffered), ("vacant", &mut vacant)] {
        let answer = Answer::read(key, socket).await;
        assert_eq!(answer.outcome(), "not-run", "{key}: {answer:?}");
        assert_eq!(answer.header("sequoiayoke-reason"), "draining");
        let events = vms[0].events();
        assert!(!events.contains(&format!("started {key}")), "{events:?}");
        assert!(answer.body.is_empty(), "{key}: {answer:?}");
    }
    assert!(
        vms[0].node.terminate(MAX_EXIT),
        "the node did not exit in time"
    );
}

/// Guards against connections that a node accepts at its shutdown and never serves, and against one
/// that is closed while an answer is written to a slow caller and a further request waits.
#[tokio::test(flavor = "multi_thread")]
async fn connections_at_a_node_that_stops_are_served() {
    let timing = json!({ "drain_ms": 30_000 });
    let (deployment, mut vms) = backend::start(bin(), 2, &timing).await;
    let huge = find_keys(&deployment, &vms[1], "huge", 1).await.remove(0);
    let short = find_keys(&deployment, &vms[1], "short", 1).await.remove(0);
    // The caller reads nothing at first, so the node cannot write the first answer.
    let mut slow = send(vms[0].caller(), "GET", &huge, 0, b"").await;
    let second = format!("GET /s/desk/{short} HTTP/1.1\r\nhost: desk\r\n\r\n");
    slow.write_all(second.as_bytes()).await.unwrap();
    // The head of the first answer, which does not announce the end of the connection.
    let first = time::timeout(MAX_EXIT, slow.peek(&mut [0])).await;
    assert_eq!(first.unwrap().unwrap(), 1);
    vms[0].node.signal(Signal::TERM);
    let is_released = |status: &Value| {
        let servers = status["servers"].as_array().unwrap();
        servers
            .iter()
            .all(|server| server["name"] != json!(vms[0].name) || server["slices"] == json!(0))
    };
    deployment
        .wait_status("all slices of the node are released", is_released)
        .await
        .unwrap();
    let closed = async { while is_answered(vms[0].caller(), &short).await {} };
    let closed = time::timeout(MAX_EXIT, closed).await;
    assert!(closed.is_ok(), "the listener stays open");
    let answers = Answer::read(&huge, &mut slow).await;
    assert_eq!(answers.outcome(), "answered", "{}", answers.head);
    assert!(answers.body.len() >= backend::HUGE_BODY_BYTES, "incomplete");
    let (_, rest) = answers.body.split_at(backend::HUGE_BODY_BYTES);
    let rest = String::from_utf8_lossy(rest);
    assert!(rest.starts_with("HTTP/1.1 200 OK\r\n"), "{rest:?}");
    assert!(rest.contains("sequoiayoke-outcome: answered\r\n"), "{rest}");
    assert!(rest.contains("connection: close\r\n"), "{rest}");
    assert!(rest.contains(&format!("\"key\":\"{short}\"")), "{rest}");
    assert!(
        vms[0].node.terminate(MAX_EXIT),
        "the node did not exit in time"
    );
}
