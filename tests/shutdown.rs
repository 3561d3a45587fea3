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

/// Size of each half of an upload; larger than the buffers on its path.
const HALF_BYTES: usize = 2 << 20;
/// Longest time until the slices of a leaving server are served again.
const MAX_RECOVERY_MS: u64 = 2_000;

/// Returns the directory of the compiled programs.
fn bin() -> &'static Path {
    let node = Path::new(env!("CARGO_BIN_EXE_sequoiayoke-node"));
    node.parent().unwrap()
}

/// Returns the first and the last hash of the slice of a key.
async fn find_slice(deployment: &Deployment, key: &str) -> (key::Hash, key::Hash) {
    for address in deployment.operator_addresses() {
        let url = format!("http://{address}/v1/explain/desk/{key}");
        let answer = deployment.http().get(url).send().await.unwrap();
        let slice: Value = answer.json().await.unwrap();
        let hash = |name: &str| {
            let text = slice[name].as_str()?;
            u64::from_str_radix(text, 16).ok().map(key::Hash)
        };
        if let (Some(first), Some(last)) = (hash("first"), hash("last")) {
            return (first, last);
        }
    }
    panic!("no replica returns the slice of {key}");
}

/// An upload of which the first half was sent.
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
            2 * HALF_BYTES
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
        let result = self.socket.write_all(&[b'x'; HALF_BYTES]);
        let result = time::timeout(deployment::MAX_WAIT, result).await;
        result.unwrap().unwrap();
    }

    /// Sends the second half and asserts that the answer is complete.
    async fn finish(mut self) {
        self.send_half().await;
        let mut answer = Vec::new();
        let result = self.socket.read_to_end(&mut answer);
        let result = time::timeout(deployment::MAX_WAIT, result).await;
        result.unwrap().unwrap();
        let answer = String::from_utf8(answer).unwrap();
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
        assert!(answer.contains("sequoiayoke-outcome: answered\r\n"));
        let (_, body) = answer.split_once("\r\n\r\n").unwrap();
        let body: Value = serde_json::from_str(body).unwrap();
        assert_eq!(
            body,
            json!({ "key": self.key, "body_bytes": 2 * HALF_BYTES })
        );
    }
}

/// Sends a short request; returns its outcome and the server that answered.
async fn get(deployment: &Deployment, address: &str, key: &str) -> (String, String) {
    let url = format!("http://{address}/s/desk/{key}");
    let request = deployment.http().get(url);
    let request = request.header("sequoiayoke-deadline-ms", MAX_RECOVERY_MS);
    let answer = request.send().await.unwrap();
    let header = |name| {
        let value = answer.headers().get(name);
        value.map_or("", |value| value.to_str().unwrap()).to_owned()
    };
    (header("sequoiayoke-outcome"), header("sequoiayoke-server"))
}

/// Returns a key that a VM owns.
async fn find_key(deployment: &Deployment, vm: &backend::Vm) -> String {
    for number in 0..1000 {
        let key = format!("upload-{number}");
        if get(deployment, vm.caller(), &key).await.1 == vm.name {
            return key;
        }
    }
    panic!("{} owns no key", vm.name);
}

/// Asserts that another server serves the keys of all other slices, and that requests for the slice
/// of the upload do not run.
async fn check_served(
    deployment: &Deployment,
    entries: &[&backend::Vm],
    leaving: &backend::Vm,
    uploaded: &str,
) {
    let (first, last) = find_slice(deployment, uploaded).await;
    let keys = (0..64).map(|number| format!("other-{number}"));
    let other_keys = keys.filter(|key| !(first..=last).contains(&key::Hash::new("", key)));
    for key in other_keys {
        for entry in entries {
            let (outcome, server) = get(deployment, entry.caller(), &key).await;
            assert_eq!(outcome, "answered", "{key} through {}", entry.name);
            assert_ne!(server, leaving.name, "{key} through {}", entry.name);
        }
    }
    // The slice of the upload moves only after the upload has ended.
    let mut keys = (0..1000).map(|number| format!("other-same-{number}"));
    let same_slice_key = keys.find(|key| (first..=last).contains(&key::Hash::new("", key)));
    for entry in entries {
        let (outcome, _) = get(deployment, entry.caller(), same_slice_key.as_ref().unwrap()).await;
        assert_eq!(outcome, "not-run", "same slice through {}", entry.name);
    }
    let events = leaving.events();
    let has_new_work = events
        .iter()
        .any(|event| event.starts_with("started other-"));
    assert!(!has_new_work, "{events:?}");
}

/// Shuts down the owner's node during an upload through VM `entry`, and asserts that the upload
/// completes.
async fn check_shutdown_during_upload(entry: usize) {
    let (deployment, mut vms) = backend::start(bin(), 3, &json!({})).await;
    let key = find_key(&deployment, &vms[0]).await;
    let upload = Upload::start(vms[entry].caller(), &key).await;
    vms[0].wait_event_count(&format!("started {key}"), 2).await;
    vms[0].node.signal(Signal::TERM);
    vms[0].wait_draining(&deployment).await;
    // The node that is stopping still forwards requests of its callers.
    let entries: Vec<_> = vms.iter().collect();
    check_served(&deployment, &entries, &vms[0], &key).await;
    upload.finish().await;
    assert!(
        vms[0].node.terminate(Duration::from_secs(5)),
        "the node did not exit in time"
    );
    let log = vms[0].node.log();
    assert!(!log.contains("did not end within"), "{log}");
    let (outcome, server) = get(&deployment, vms[1].caller(), &key).await;
    assert_eq!(outcome, "answered");
    assert_ne!(server, vms[0].name);
}

/// Guards against a shutdown that interrupts an upload from a caller of the owner's node.
#[tokio::test(flavor = "multi_thread")]
async fn an_upload_through_the_owner_survives_its_shutdown() {
    check_shutdown_during_upload(0).await;
}

/// Guards against a shutdown that interrupts an upload which another node forwards to the owner.
#[tokio::test(flavor = "multi_thread")]
async fn an_upload_through_another_node_survives_the_shutdown_of_the_owner() {
    check_shutdown_during_upload(1).await;
}

/// Guards against a shutdown that interrupts an upload which the node forwards to another owner.
#[tokio::test(flavor = "multi_thread")]
async fn an_upload_survives_the_shutdown_of_the_node_that_forwards_it() {
    let (deployment, mut vms) = backend::start(bin(), 2, &json!({})).await;
    let key = find_key(&deployment, &vms[1]).await;
    let upload = Upload::start(vms[0].caller(), &key).await;
    vms[1].wait_event_count(&format!("started {key}"), 2).await;
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
    upload.finish().await;
    assert!(
        vms[0].node.terminate(Duration::from_secs(5)),
        "the node did not exit in time"
    );
}

/// Guards against a drain by ticket that interrupts an upload.
#[tokio::test(flavor = "multi_thread")]
async fn an_upload_survives_a_drain_by_ticket() {
    let (deployment, vms) = backend::start(bin(), 3, &json!({})).await;
    let key = find_key(&deployment, &vms[0]).await;
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
    let has_slices = |count: u64| {
        move |status: &Value| {
            let servers = status["servers"].as_array().unwrap();
            let server = servers.iter().find(|server| server["name"] == json!(name));
            server.unwrap()["slices"] == json!(count)
        }
    };
    // The slice with the uploads remains.
    deployment
        .wait_status("all slices but one have moved", has_slices(1))
        .await
        .unwrap();
    let entries: Vec<_> = vms.iter().collect();
    check_served(&deployment, &entries, &vms[0], &key).await;
    // A further upload to the same key waits for the new owner.
    let (address, upload_key) = (vms[0].caller().to_owned(), key.clone());
    let waiting_upload = tokio::spawn(async move {
        let upload = Upload::start(&address, &upload_key).await;
        upload.finish().await;
    });
    for upload in uploads {
        upload.finish().await;
    }
    let result = waiting_upload.await;
    for vm in &vms {
        println!("{}:\n{}", vm.name, vm.node.log());
    }
    result.unwrap();
    deployment
        .wait_status("all slices have moved", has_slices(0))
        .await
        .unwrap();
}

/// Guards against a shutdown that never ends, and against one that does not log which requests it
/// interrupted.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_does_not_end_in_time_is_logged() {
    let timing = json!({ "drain_ms": 500 });
    let (deployment, mut vms) = backend::start(bin(), 2, &timing).await;
    let key = find_key(&deployment, &vms[0]).await;
    let (first, last) = find_slice(&deployment, &key).await;
    let mut keys = (0..1000).map(|number| format!("hang-{number}"));
    let hanging_key = keys.find(|key| (first..=last).contains(&key::Hash::new("", key)));
    let hanging_key = hanging_key.unwrap();
    let id = caller::request_id(deployment.http(), vms[0].caller(), "desk", &hanging_key);
    let id = id.await.unwrap();
    let url = format!("http://{}/s/desk/{hanging_key}", vms[1].caller());
    let request = deployment.http().post(url);
    let request = request.header("sequoiayoke-request-id", &id).send();
    let request = tokio::spawn(request);
    vms[0].wait_event(&format!("started {hanging_key}")).await;
    assert!(
        vms[0].node.terminate(Duration::from_secs(5)),
        "the node did not exit in time"
    );
    let log = vms[0].node.log();
    let mut lines = log.lines();
    // The log contains a request id without its signature.
    let (unsigned_id, _) = id.rsplit_once('-').unwrap();
    let is_logged =
        lines.any(|line| line.contains("did not end within") && line.contains(unsigned_id));
    assert!(is_logged, "{id}: {log}");
    let answer = request.await.unwrap().unwrap();
    assert_eq!(answer.headers()["sequoiayoke-outcome"], "unknown");
}

/// Guards against a shutdown that loses the record of request ids, so that retries get no stored
/// answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_shutdown_hands_over_the_record_of_request_ids() {
    let (deployment, mut vms) = backend::start(bin(), 3, &json!({})).await;
    let http = deployment.http();
    let mut requests = Vec::new();
    for number in 0..32 {
        let key = format!("once-{number}");
        let id = caller::request_id(http, vms[1].caller(), "desk", &key).await;
        requests.push((key, id.unwrap()));
    }
    let post = async |address: &str, key: &str, id: &str| {
        let (path, deadline) = (format!("/s/desk/{key}"), Duration::from_secs(5));
        let method = reqwest::Method::POST;
        let answer = caller::send(http, address, method, &path, Some(id), deadline).await;
        answer.unwrap()
    };
    for (key, id) in &requests {
        let answer = post(vms[1].caller(), key, id).await;
        assert_eq!(answer.outcome, "answered", "{key}: {answer:?}");
    }
    assert!(
        vms[0].node.terminate(Duration::from_secs(5)),
        "the node did not exit in time"
    );
    for (key, id) in &requests {
        let answer = post(vms[1].caller(), key, id).await;
        assert_eq!(answer.outcome, "answered", "{key}: {answer:?}");
        assert!(answer.replayed, "{key}: {answer:?}");
    }
}
