//! Malformed and hostile input to real processes: they refuse it with a reason and keep serving
//! other clients.

#![allow(clippy::unwrap_used)]

mod support;

#[path = "hostile/callers.rs"]
mod callers;
#[path = "hostile/crowds.rs"]
mod crowds;
#[path = "hostile/frames.rs"]
mod frames;
#[path = "hostile/startup.rs"]
mod startup;

use std::time::Duration;

use sequoiayoke_harness::process::Process;
use sequoiayoke_harness::usage;
use support::{DEADLINE, ExclusiveDeployment};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longest time in which a process has to answer or to close a connection.
const MAX_WAIT: Duration = Duration::from_secs(15);
/// Bound on the growth of a process's memory, in bytes: what the control work on a node may use.
const MAX_GROWTH: u64 = 64 << 20;

/// Returns the name and the resident memory in bytes of each process.
fn resident_memory(world: &ExclusiveDeployment) -> Vec<(String, u64)> {
    let control = world.control.iter().flatten();
    let nodes = world.vms.iter().map(|vm| &vm.node);
    let measure = |proc: &Process| (proc.name().to_owned(), usage::resident_memory(proc.id()));
    control.chain(nodes).map(measure).collect()
}

/// Asserts that every process runs and has grown less than [`MAX_GROWTH`], and that every node
/// serves requests.
async fn assert_serving(world: &ExclusiveDeployment, before: &[(String, u64)]) {
    for ((name, before), (_, now)) in before.iter().zip(resident_memory(world)) {
        assert!(now > 0, "{name} has ended");
        assert!(
            now < before + MAX_GROWTH,
            "{name} grew from {before} to {now}"
        );
    }
    for vm in &world.vms {
        for key in ["kiosk-1", "kiosk-2", "kiosk-3", "kiosk-4"] {
            let sent = support::post(world.http(), vm.caller(), key, None, DEADLINE).await;
            let answer = sent.unwrap();
            assert_eq!(answer.outcome, "answered", "{answer:?}");
        }
    }
    assert!(world.status().await.is_some(), "no leader answers");
    let warnings = world.warnings();
    let panics = warnings.iter().find(|line| line.contains("panicked"));
    assert!(panics.is_none(), "{panics:?}");
}

/// Sends bytes and returns the answer up to the end of its head, or what was received before
/// the connection was closed.
async fn exchange(address: &str, bytes: &[u8]) -> String {
    let mut io = TcpStream::connect(address).await.unwrap();
    // The process may refuse the request before it has read all of it.
    let _ = io.write_all(bytes).await;
    let mut answer = Vec::new();
    let reading = async {
        let mut buffer = [0; 4096];
        while !answer.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
            match io.read(&mut buffer).await {
                Ok(0) | Err(_) => return,
                Ok(length) => answer.extend_from_slice(&buffer[..length]),
            }
        }
    };
    let finished = tokio::time::timeout(MAX_WAIT, reading).await;
    let shown = String::from_utf8_lossy(&bytes[..bytes.len().min(120)]);
    assert!(finished.is_ok(), "neither answered nor closed: {shown:?}");
    String::from_utf8_lossy(&answer).into_owned()
}

/// Asserts that the peer closes the connection within [`MAX_WAIT`].
async fn assert_closed(mut io: TcpStream, case: &str) {
    let reading = async {
        let mut buffer = [0; 4096];
        while let Ok(1..) = io.read(&mut buffer).await {}
    };
    let closed = tokio::time::timeout(MAX_WAIT, reading).await;
    assert!(closed.is_ok(), "not closed: {case}");
}
