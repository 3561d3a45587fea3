//! Invariant I7: a drain or graceful shutdown interrupts no request in flight.

#![allow(clippy::unwrap_used, missing_docs)]

mod backend;

use std::path::Path;
use std::time::Duration;

use rustix::process::Signal;
use sequoiayoke_harness::{Deployment, caller, deployment};
use sequoiayoke_model::key;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time;

/// Bytes of each half of an upload; more than the buffers on the way hold.
const HALF: usize = 2 << 20;
/// Time in which the slices of a leaving server are served again.
const SERVED_AGAIN_MS: u64 = 2_000;

/// Directory of the programs.
fn bin() -> &'static Path {
    let node = Path::new(env!("CARGO_BIN_EXE_sequoiayoke-node"));
    node.parent().unwrap()
}

/// Returns the range of hashes that the slice of a key covers.
async fn slice(deployment: &Deployment, key: &str) -> (key::Hash, key::Hash) {
    for address in deployment.operator_addresses() {
        let url = format!("http://{address}/v1/explain/desk/{key}");
        let answer = deployment.http().get(url).send().await.unwrap();
        let slice: Value = answer.json().await.unwrap();
        let position = |name: &str| {
            let text = slice[name].as_str()?;
            u64::from_str_radix(text, 16).ok().map(key::Hash)
        };
        if let (Some(first), Some(last)) = (position("first"), position("last")) {
            return (first, last);
        }
    }
    panic!("nobody explains {key}");
}

/// An upload of which one half was sent.
struct Upload {
    key: String,
    socket: TcpStream,
}

impl Upload {
    async fn start(address: &str, key: &str) -> Self {
        let mut socket = TcpStream::connect(address).await.unwrap();
        let head = format!(
            "POST /s/desk/{key} HTTP/1.1\r\nhost: desk\r\nconnection: close\r\n\
             content-length: {}\r\nsequoiayoke-deadline-ms: 60000\r\n\r\n",
            2 * HALF
        );
        socket.write_all(head.as_bytes()).await.unwrap();
        let mut upload = Self {
            key: key.to_owned(),
            socket,
        };
        upload.send_half().await;
        upload
    }

    async fn send_half(&mut self) {
        let sent = self.socket.write_all(&[b'x'; HALF]);
        let sent = time::timeout(deployment::MAX_WAIT, sent).await;
        sent.unwrap().unwrap();
    }

    /// Sends the other half and checks that the answer is whole.
    async fn finish(mut self) {
        self.send_half().await;
        let mut answer = Vec::new();
        let read = self.socket.read_to_end(&mut answer);
        let read = time::timeout(deployment::MAX_WAIT, read).await;
        read.unwrap().unwrap();
        let answer = String::from_utf8(answer).unwrap();
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
        assert!(answer.contains("sequoiayoke-outcome: answered\r\n"));
        let (_, body) = answer.split_once("\r\n\r\n").unwrap();
        let body: Value = serde_json::from_str(body).unwrap();
        assert_eq!(body, json!({ "key": self.key, "body_bytes": 2 * HALF }));
    }
}

/// Sends a short request; returns its outcome and the server that answered.
async fn get(deployment: &Deployment, address: &str, key: &str) -> (String, String) {
    let url = format!("http://{address}/s/desk/{key}");
    let request = deployment.http().get(url);
    let request = request.header("sequoiayoke-deadline-ms", SERVED_AGAIN_MS);
    let answer = request.send().await.unwrap();
    let header = |name| {
        let value = answer.headers().get(name);
        value.map_or("", |value| value.to_str().unwrap()).to_owned()
    };
    (header("sequoiayoke-outcome"), header("sequoiayoke-server"))
}

/// Finds a key of a server.
async fn key_of(deployment: &Deployment, pair: &backend::Vm) -> String {
    for number in 0..1000 {
        let key = format!("upload-{number}");
        if get(deployment, pair.caller(), &key).await.1 == pair.name {
            return key;
        }
    }
    panic!("{} owns no key", pair.name);
}

/// Checks that keys of all other slices are served, and not by the server that leaves.
async fn check_served(
    deployment: &Deployment,
    entries: &[&backend::Vm],
    leaving: &backend::Vm,
    uploaded: &str,
) {
    let (first, last) = slice(deployment, uploaded).await;
    let keys = (0..64).map(|number| format!("other-{number}"));
    let others = keys.filter(|key| !(first..=last).contains(&key::Hash::new("", key)));
    for key in others {
        for entry in entries {
            let (outcome, server) = get(deployment, entry.caller(), &key).await;
            assert_eq!(outcome, "answered", "{key} through {}", entry.name);
            assert_ne!(server, leaving.name, "{key} through {}", entry.name);
        }
    }
    // The slice of the upload waits for its end.
    let mut keys = (0..1000).map(|number| format!("other-same-{number}"));
    let same = keys.find(|key| (first..=last).contains(&key::Hash::new("", key)));
    for entry in entries {
        let (outcome, _) = get(deployment, entry.caller(), same.as_ref().unwrap()).await;
        assert_eq!(outcome, "not-run", "same slice through {}", entry.name);
    }
    let notes = leaving.events();
    let new = notes.iter().any(|note| note.starts_with("started other-"));
    assert!(!new, "{notes:?}");
}

/// Waits until a node says that it drains.
async fn wait_draining(deployment: &Deployment, pair: &backend::Vm) {
    let url = format!("http://{}/v1/ready", pair.caller());
    let draining = async {
        loop {
            let answer = deployment.http().get(&url).send().await.unwrap();
            if answer.text().await.unwrap() == "draining" {
                return;
            }
        }
    };
    let draining = time::timeout(deployment::MAX_WAIT, draining).await;
    assert!(draining.is_ok(), "{} does not drain", pair.name);
}

/// Shuts the owner's node down while an upload to it runs through the node number `entry`.
async fn shut_down_during_upload(entry: usize) {
    let (deployment, mut vms) = backend::start(bin(), 3, &json!({})).await;
    let key = key_of(&deployment, &vms[0]).await;
    let upload = Upload::start(vms[entry].caller(), &key).await;
    vms[0].wait_event_count(&format!("started {key}"), 2).await;
    vms[0].node.signal(Signal::TERM);
    wait_draining(&deployment, &vms[0]).await;
    // The node that stops still forwards for its callers.
    let entries: Vec<_> = vms.iter().collect();
    check_served(&deployment, &entries, &vms[0], &key).await;
    upload.finish().await;
    assert!(vms[0].node.terminate(Duration::from_secs(5)), "exit");
    let log = vms[0].node.log();
    assert!(!log.contains("did not end within"), "{log}");
    let (outcome, server) = get(&deployment, vms[1].caller(), &key).await;
    assert_eq!(outcome, "answered");
    assert_ne!(server, vms[0].name);
}

/// Guards against a shutdown that cuts an upload which the node's own caller sends.
#[tokio::test(flavor = "multi_thread")]
async fn an_upload_through_the_owner_survives_its_shutdown() {
    shut_down_during_upload(0).await;
}

/// Guards against a shutdown that cuts an upload which another node forwards.
#[tokio::test(flavor = "multi_thread")]
async fn an_upload_through_another_node_survives_the_shutdown_of_the_owner() {
    shut_down_during_upload(1).await;
}

/// Guards against a shutdown that cuts uploads which the node forwards to other owners.
#[tokio::test(flavor = "multi_thread")]
async fn an_upload_survives_the_shutdown_of_the_node_that_forwards_it() {
    let (deployment, mut vms) = backend::start(bin(), 2, &json!({})).await;
    let key = key_of(&deployment, &vms[1]).await;
    let upload = Upload::start(vms[0].caller(), &key).await;
    vms[1].wait_event_count(&format!("started {key}"), 2).await;
    vms[0].node.signal(Signal::TERM);
    let gone = |status: &Value| {
        let servers = status["servers"].as_array().unwrap();
        servers
            .iter()
            .all(|one| one["name"] != json!(vms[0].name) || one["slices"] == json!(0))
    };
    deployment.wait_status("released", gone).await.unwrap();
    upload.finish().await;
    assert!(vms[0].node.terminate(Duration::from_secs(5)), "exit");
}

/// Guards against a drain by ticket that cuts an upload.
#[tokio::test(flavor = "multi_thread")]
async fn an_upload_survives_a_drain_by_ticket() {
    let (deployment, vms) = backend::start(bin(), 3, &json!({})).await;
    let key = key_of(&deployment, &vms[0]).await;
    let mut uploads = Vec::new();
    for entry in [0, 1] {
        uploads.push(Upload::start(vms[entry].caller(), &key).await);
        vms[0]
            .wait_event_count(&format!("started {key}"), entry + 2)
            .await;
    }
    let name = &vms[0].name;
    let object = json!({ "server": { "name": name, "state": "draining" } });
    let ticket = json!({ "number": 2, "objects": [object] });
    let (status, answer) = deployment.submit(&ticket).await.unwrap();
    assert_eq!(status, 200, "{answer}");
    let slices = |left: u64| {
        move |status: &Value| {
            let servers = status["servers"].as_array().unwrap();
            let one = servers.iter().find(|one| one["name"] == json!(name));
            one.unwrap()["slices"] == json!(left)
        }
    };
    // All but the one with the uploads.
    deployment.wait_status("moved", slices(1)).await.unwrap();
    let entries: Vec<_> = vms.iter().collect();
    check_served(&deployment, &entries, &vms[0], &key).await;
    // A further upload to the same key waits for the next owner.
    let (address, again) = (vms[0].caller().to_owned(), key.clone());
    let waiting = tokio::spawn(async move {
        let upload = Upload::start(&address, &again).await;
        upload.finish().await;
    });
    for upload in uploads {
        upload.finish().await;
    }
    let waited = waiting.await;
    for pair in &vms {
        println!("{}:\n{}", pair.name, pair.node.log());
    }
    waited.unwrap();
    deployment.wait_status("empty", slices(0)).await.unwrap();
}

/// Guards against a shutdown that never ends, and against one that does not say what it cut.
#[tokio::test(flavor = "multi_thread")]
async fn what_does_not_end_in_time_is_logged() {
    let timing = json!({ "drain_ms": 500 });
    let (deployment, mut vms) = backend::start(bin(), 2, &timing).await;
    let key = key_of(&deployment, &vms[0]).await;
    let (first, last) = slice(&deployment, &key).await;
    let mut keys = (0..1000).map(|number| format!("hang-{number}"));
    let hang = keys.find(|key| (first..=last).contains(&key::Hash::new("", key)));
    let hang = hang.unwrap();
    let id = caller::request_id(deployment.http(), vms[0].caller(), "desk", &hang);
    let id = id.await.unwrap();
    let url = format!("http://{}/s/desk/{hang}", vms[1].caller());
    let request = deployment.http().post(url);
    let request = request.header("sequoiayoke-request-id", &id).send();
    let request = tokio::spawn(request);
    vms[0].wait_event(&format!("started {hang}")).await;
    assert!(vms[0].node.terminate(Duration::from_secs(5)), "exit");
    let log = vms[0].node.log();
    let mut lines = log.lines();
    // Logs show a request id without its signature.
    let (plain, _) = id.rsplit_once('-').unwrap();
    let named = lines.any(|line| line.contains("did not end within") && line.contains(plain));
    assert!(named, "{id}: {log}");
    let answer = request.await.unwrap().unwrap();
    assert_eq!(answer.headers()["sequoiayoke-outcome"], "unknown");
}

/// Guards against a shutdown that loses the record of request ids, so that resends get no answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_shutdown_hands_over_the_record_of_request_ids() {
    let (deployment, mut vms) = backend::start(bin(), 3, &json!({})).await;
    let http = deployment.http();
    let mut sent = Vec::new();
    for number in 0..32 {
        let key = format!("once-{number}");
        let id = caller::request_id(http, vms[1].caller(), "desk", &key).await;
        sent.push((key, id.unwrap()));
    }
    let post = async |address: &str, key: &str, id: &str| {
        let (path, deadline) = (format!("/s/desk/{key}"), Duration::from_secs(5));
        let method = reqwest::Method::POST;
        let answer = caller::send(http, address, method, &path, Some(id), deadline).await;
        answer.unwrap()
    };
    for (key, id) in &sent {
        let answer = post(vms[1].caller(), key, id).await;
        assert_eq!(answer.outcome, "answered", "{key}: {answer:?}");
    }
    assert!(vms[0].node.terminate(Duration::from_secs(5)), "exit");
    for (key, id) in &sent {
        let answer = post(vms[1].caller(), key, id).await;
        assert_eq!(answer.outcome, "answered", "{key}: {answer:?}");
        assert!(answer.replayed, "{key}: {answer:?}");
    }
}
