//! Measures the cost of control for a number of nodes and slices.
//!
//! Real control replicas and one real node run beside many simulated nodes, which speak the
//! real protocol: they join, renew their leases, and read every change.
//!
//! `cargo run --release -p sequoiayoke-harness --example fleet -- target/release NODES SLICES`

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use sequoiayoke_harness::{Deployment, Error, settings, usage};
use sequoiayoke_wire::{auth, frame, session};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::codec::FramedRead;

/// Service that all nodes serve.
const SERVICE: &str = "queue-board";
/// Time between two lease renewals of a simulated node.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(150);
/// Time without a frame after which a simulated node ends its session.
const IDLE_TIMEOUT: Duration = Duration::from_millis(600);
/// Pause between two polls of the status.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Length of the measurement without changes.
const STEADY_DURATION: Duration = Duration::from_secs(10);
/// Secret of the deployment, which `settings` puts into every settings file.
const SECRET: &[u8] = b"harness-shared-secret-0001";

/// Counters over all simulated nodes.
#[derive(Debug, Default)]
struct Counters {
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
    joined_sessions: AtomicU64,
    lost_sessions: AtomicU64,
    changes: AtomicU64,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().collect();
    let number = |index: usize| arguments.get(index).and_then(|text| text.parse().ok());
    let bin = arguments
        .get(1)
        .map_or_else(sequoiayoke_harness::release_folder, PathBuf::from);
    let (nodes, slices) = (number(2).unwrap_or(100), number(3).unwrap_or(800));
    match run(&bin, nodes, slices).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the measurement failed: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(bin: &Path, nodes: u32, slices: u32) -> Result<(), Error> {
    let mut spec = settings::Spec::new(3).with_service(SERVICE, 1, 9, 1);
    spec.level = "warn".to_owned();
    let mut deployment = Deployment::start(bin, spec)?;
    deployment.poll_interval = POLL_INTERVAL;
    deployment.wait_joined().await?;
    let counts = Arc::new(Counters::default());
    let start = Instant::now();
    let mut tasks = Vec::new();
    for number in 0..nodes {
        let (deployment_ip, counts) = (deployment.ip.clone(), Arc::clone(&counts));
        tasks.push(tokio::spawn(async move {
            let mut node = Node::new(number);
            loop {
                let _ = node.run(&deployment_ip, &counts).await;
                counts.lost_sessions.fetch_add(1, Ordering::Relaxed);
                let delay_ms = 20 + rand::random::<u64>() % 140;
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            }
        }));
        if number % 50 == 49 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    let server_count = nodes as usize + 1;
    deployment
        .wait_status("all have joined", |status| {
            status["servers"]
                .as_array()
                .is_some_and(|servers| servers.len() == server_count)
        })
        .await?;
    println!(
        "nodes={nodes} slices={slices} joined_ms={}",
        start.elapsed().as_millis()
    );
    let created = Instant::now();
    deployment.create_services(slices).await?;
    println!("all_slices_owned_ms={}", created.elapsed().as_millis());
    tokio::time::sleep(Duration::from_secs(2)).await;
    let steady = measure_steady(&deployment, &counts, nodes).await;
    let loss = measure_loss(&deployment, &counts, &mut tasks, nodes).await;
    let warnings = deployment.warnings();
    println!("warnings={}", warnings.len());
    for line in warnings
        .iter()
        .filter(|line| line.contains("busy"))
        .take(20)
    {
        println!("{line}");
    }
    for task in tasks {
        task.abort();
    }
    steady.and(loss)
}

/// Prints the cost of control while nothing changes.
async fn measure_steady(
    deployment: &Deployment,
    counts: &Counters,
    nodes: u32,
) -> Result<(), Error> {
    let leader = deployment.leader().await.unwrap_or(0);
    let control: Vec<_> = deployment
        .control
        .iter()
        .flatten()
        .map(|replica| replica.id())
        .collect();
    let node = deployment.vms[0].node.id();
    let before: Vec<_> = control.iter().map(|id| usage::cpu_time(*id)).collect();
    let node_before = usage::cpu_time(node);
    let (sent, received) = (load(&counts.sent_bytes), load(&counts.received_bytes));
    tokio::time::sleep(STEADY_DURATION).await;
    let seconds = STEADY_DURATION.as_secs_f64();
    for (index, id) in control.iter().enumerate() {
        let used = (usage::cpu_time(*id) - before[index]).as_secs_f64() / seconds;
        println!(
            "control-{index}{}: core_percent={:.2} memory_mb={:.1}",
            if index == leader { " (leader)" } else { "" },
            used * 100.0,
            usage::resident_memory(*id) as f64 / 1e6
        );
    }
    println!(
        "real node: core_percent={:.2} memory_mb={:.1}",
        (usage::cpu_time(node) - node_before).as_secs_f64() / seconds * 100.0,
        usage::resident_memory(node) as f64 / 1e6
    );
    let rate = |now: u64, before: u64| (now - before) as f64 / seconds / f64::from(nodes);
    println!(
        "per node and second, frames without TCP/IP headers: sent_bytes={:.0} received_bytes={:.0} lost_sessions={}",
        rate(load(&counts.sent_bytes), sent),
        rate(load(&counts.received_bytes), received),
        load(&counts.lost_sessions)
    );
    Ok(())
}

/// Stops one simulated node, and prints the time until its slices have owners again and the cost
/// of its loss.
async fn measure_loss(
    deployment: &Deployment,
    counts: &Counters,
    tasks: &mut Vec<tokio::task::JoinHandle<()>>,
    nodes: u32,
) -> Result<(), Error> {
    let (received, changes) = (load(&counts.received_bytes), load(&counts.changes));
    println!(
        "terms: {}",
        deployment
            .status()
            .await
            .map_or(0, |status| status["term"].as_u64().unwrap_or(0))
    );
    let control: Vec<_> = deployment
        .control
        .iter()
        .flatten()
        .map(|replica| replica.id())
        .collect();
    let before: Vec<_> = control.iter().map(|id| usage::cpu_time(*id)).collect();
    let start = Instant::now();
    if let Some(task) = tasks.pop() {
        task.abort();
    }
    let server_count = nodes as usize;
    deployment
        .wait_status("the loss is repaired", |status| {
            let is_removed = status["servers"]
                .as_array()
                .is_some_and(|servers| servers.len() == server_count);
            is_removed && status["services"][0]["vacant"] == 0
        })
        .await?;
    let time = start.elapsed();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let used: Vec<_> = control
        .iter()
        .zip(before)
        .map(|(id, before)| (usage::cpu_time(*id) - before).as_millis())
        .collect();
    println!(
        "loss of one node: repaired_ms={} control_cpu_ms={used:?} bytes_per_node={} changes_per_node={}",
        time.as_millis(),
        (load(&counts.received_bytes) - received) / u64::from(nodes - 1),
        (load(&counts.changes) - changes) / u64::from(nodes - 1),
    );
    Ok(())
}

fn load(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}

/// A simulated node, which keeps its nonce and its version over sessions like a real one.
struct Node {
    number: u32,
    nonce: u64,
    sequence: u64,
    version: u64,
    leader: Option<String>,
}

impl Node {
    fn new(number: u32) -> Self {
        Self {
            number,
            nonce: rand::random(),
            sequence: 0,
            version: 0,
            leader: None,
        }
    }

    /// Runs a session until control ends it, redirects it or stops sending.
    async fn run(&mut self, ip: &str, counts: &Counters) -> io::Result<()> {
        let random_address = || settings::node_address(ip, rand::random::<u8>() as usize % 3);
        let address = self.leader.take().unwrap_or_else(random_address);
        let io = TcpStream::connect(address).await?;
        io.set_nodelay(true)?;
        let io = auth::connect(io, auth::Kind::Session, SECRET).await?;
        let (reader, mut writer) = io.into_split();
        let codec = frame::Codec::<session::FromNode, session::FromControl>::new();
        let mut frames = FramedRead::new(reader, codec);
        send(&mut writer, &self.hello().into(), counts).await?;
        let mut renewals = interval(RENEWAL_INTERVAL);
        renewals.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut is_joined = false;
        loop {
            tokio::select! {
                frame = tokio::time::timeout(IDLE_TIMEOUT, frames.next()) => {
                    let Some(frame) = frame? else { return Ok(()) };
                    let frame = frame?;
                    counts.received_bytes.fetch_add(size(&frame), Ordering::Relaxed);
                    match frame.body {
                        Some(session::ControlBody::Welcome(_)) => {
                            is_joined = true;
                            counts.joined_sessions.fetch_add(1, Ordering::Relaxed);
                        }
                        Some(session::ControlBody::Delta(delta)) => {
                            let changes = delta.changes.len() as u64;
                            counts.changes.fetch_add(changes, Ordering::Relaxed);
                            if !delta.more {
                                self.version = delta.to;
                            }
                        }
                        Some(session::ControlBody::Refused(_)) => {
                            self.nonce = rand::random();
                            return Ok(());
                        }
                        Some(session::ControlBody::Redirect(redirect)) => {
                            self.leader = Some(redirect.leader).filter(|leader| !leader.is_empty());
                            return Ok(());
                        }
                        _ => {}
                    }
                }
                _ = renewals.tick(), if is_joined => {
                    self.sequence += 1;
                    let renew = session::Renew {
                        sequence: self.sequence,
                        version: self.version,
                        load: Vec::new(),
                        health: None,
                    };
                    send(&mut writer, &renew.into(), counts).await?;
                }
            }
        }
    }

    fn hello(&self) -> session::Hello {
        let number = self.number;
        let address = SocketAddr::from(([127, 0, 0, 1], 9));
        session::Hello {
            region: "anatolia".to_owned(),
            announcement: Some(session::Announcement {
                name: format!("simulated-{number}"),
                nonce: self.nonce,
                services: vec![SERVICE.to_owned()],
                failure_domain: format!("domain-{}", number % 6 + 1),
                peer_address: address.to_string(),
                caller_address: address.to_string(),
                slots: 9,
                checks_fencing: false,
                checks_sender: false,
            }),
            incarnation: 0,
            version: self.version,
        }
    }
}

async fn send(
    writer: &mut tokio::net::tcp::OwnedWriteHalf,
    frame: &session::FromNode,
    counts: &Counters,
) -> io::Result<()> {
    let bytes = frame::encode(frame)?;
    counts
        .sent_bytes
        .fetch_add(bytes.len() as u64, Ordering::Relaxed);
    writer.write_all(&bytes).await
}

fn size(frame: &session::FromControl) -> u64 {
    frame::encode(frame).map_or(0, |bytes| bytes.len() as u64)
}
