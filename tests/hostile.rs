//! Hostile input to real processes: they refuse it clearly and go on serving others.

#![allow(clippy::unwrap_used)]

mod support;

#[path = "hostile/callers.rs"]
mod callers;
#[path = "hostile/frames.rs"]
mod frames;
#[path = "hostile/starts.rs"]
mod starts;

use std::time::Duration;

use sequoiayoke_harness::process::Process;
use sequoiayoke_harness::usage;
use support::{DEADLINE, ExclusiveDeployment};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time that a process has to answer or to close a connection.
const PATIENCE: Duration = Duration::from_secs(15);
/// Memory that hostile input may cost a process: the bound of control on a node.
const MEMORY: u64 = 64 << 20;

/// The processes under test and their memory at the start.
fn memory(world: &ExclusiveDeployment) -> Vec<(String, u64)> {
    let control = world.control.iter().flatten();
    let nodes = world.vms.iter().map(|pair| &pair.node);
    let measure = |one: &Process| (one.name().to_owned(), usage::resident_memory(one.id()));
    control.chain(nodes).map(measure).collect()
}

/// Asserts that every process lives within its memory, and that every node serves.
async fn assert_serving(world: &ExclusiveDeployment, before: &[(String, u64)]) {
    for ((name, before), (_, now)) in before.iter().zip(memory(world)) {
        assert!(now > 0, "{name} has ended");
        assert!(now < before + MEMORY, "{name} grew from {before} to {now}");
    }
    for pair in &world.vms {
        for key in ["kiosk-1", "kiosk-2", "kiosk-3", "kiosk-4"] {
            let sent = support::post(world.http(), pair.caller(), key, None, DEADLINE).await;
            let answer = sent.unwrap();
            assert_eq!(answer.outcome, "answered", "{answer:?}");
        }
    }
    assert!(world.status().await.is_some(), "no leader answers");
    let warnings = world.warnings();
    let panics = warnings.iter().find(|line| line.contains("panicked"));
    assert!(panics.is_none(), "{panics:?}");
}

/// Sends bytes and returns the answer up to the end of its head, or what came before the
/// connection was closed.
async fn exchange(address: &str, bytes: &[u8]) -> String {
    let mut io = TcpStream::connect(address).await.unwrap();
    // The process may refuse the request before it has read all of it.
    let _ = io.write_all(bytes).await;
    let mut answer = Vec::new();
    let reading = async {
        let mut part = [0; 4096];
        while !answer.windows(4).any(|four| four == b"\r\n\r\n") {
            match io.read(&mut part).await {
                Ok(0) | Err(_) => return,
                Ok(length) => answer.extend_from_slice(&part[..length]),
            }
        }
    };
    let read = tokio::time::timeout(PATIENCE, reading).await;
    let shown = String::from_utf8_lossy(&bytes[..bytes.len().min(120)]);
    assert!(read.is_ok(), "neither answered nor closed: {shown:?}");
    String::from_utf8_lossy(&answer).into_owned()
}

/// Waits until the other side closes the connection.
async fn assert_closed(mut io: TcpStream, what: &str) {
    let reading = async {
        let mut part = [0; 4096];
        while let Ok(1..) = io.read(&mut part).await {}
    };
    let closed = tokio::time::timeout(PATIENCE, reading).await;
    assert!(closed.is_ok(), "not closed: {what}");
}
