//! A control leader that gets SIGTERM answers its operators and transfers its leadership before it
//! ends.

#![allow(clippy::unwrap_used, missing_docs)]

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use rustix::process::Signal;
use sequoiayoke_harness::{deployment, process, settings};
use sequoiayoke_wire::{auth, frame, replica};
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time;
use tokio_util::codec;

type Codec = frame::Codec<replica::Frame, replica::Frame>;

/// Index that is above that of every entry, so that all are acknowledged.
const ALL: u64 = u64::MAX;

/// What the follower has received.
#[derive(Clone, Copy, Debug, Default)]
struct Received {
    /// Index of the first entry with a command; 0 if there was none.
    command: u64,
    /// Whether the leader has asked the follower to take over.
    takeover: bool,
}

/// Opens a connection to a replica as replica `index` of the group.
async fn announce(address: &str, secret: &[u8], index: u64) -> codec::Framed<TcpStream, Codec> {
    let io = TcpStream::connect(address).await.unwrap();
    let io = auth::connect(io, auth::Kind::Replica, secret).await;
    let mut outgoing = codec::Framed::new(io.unwrap(), Codec::new());
    let hello = replica::Hello {
        region: "anatolia".to_owned(),
        name: format!("control-{index}"),
        id: index,
        is_stopping: false,
        members: Vec::new(),
    };
    let body = Some(replica::Body::Hello(hello));
    outgoing.send(&replica::Frame { body }).await.unwrap();
    outgoing
}

/// A follower that votes for every candidate and acknowledges entries below an index.
struct Follower {
    received: watch::Receiver<Received>,
    below: Arc<AtomicU64>,
}

impl Follower {
    /// Serves the connection that the leader opens, and answers over one to `leader`.
    async fn start(listener: TcpListener, leader: &str, secret: &'static [u8]) -> Self {
        let mut outgoing = announce(leader, secret, 1).await;
        let (answers, mut queue) = mpsc::unbounded_channel();
        tokio::spawn(async move {
            while let Some(answer) = queue.recv().await {
                if outgoing.send(&answer).await.is_err() {
                    return;
                }
            }
        });
        let (sender, received) = watch::channel(Received::default());
        let below = Arc::new(AtomicU64::new(ALL));
        let held = Arc::clone(&below);
        tokio::spawn(async move {
            let (io, _) = listener.accept().await.unwrap();
            let io = auth::accept(io, auth::Kind::Replica, secret).await;
            let mut frames = codec::Framed::new(io.unwrap(), Codec::new());
            while let Some(Ok(frame)) = frames.next().await {
                let Some(replica::Body::Log(log)) = frame.body else {
                    continue;
                };
                if let Some(kind) = answer(&sender, &held, log.kind.unwrap()) {
                    let term = log.term;
                    let kind = Some(kind);
                    let body = Some(replica::Body::Log(replica::Log { term, kind }));
                    let _ = answers.send(replica::Frame { body });
                }
            }
        });
        Self { received, below }
    }

    /// Waits until `condition` holds for what was received.
    async fn wait<F>(&mut self, text: &str, condition: F) -> Received
    where
        F: FnMut(&Received) -> bool,
    {
        let received = self.received.wait_for(condition);
        let received = time::timeout(deployment::MAX_WAIT, received).await;
        *received
            .unwrap_or_else(|_| panic!("the follower has not received {text}"))
            .unwrap_or_else(|_| panic!("the leader has closed its connection before {text}"))
    }
}

/// Returns the answer to a message, and records it.
fn answer(
    received: &watch::Sender<Received>,
    below: &AtomicU64,
    kind: replica::Kind,
) -> Option<replica::Kind> {
    match kind {
        replica::Kind::PreVote(_) => Some(replica::Kind::PreVoted(true)),
        replica::Kind::Vote(_) => Some(replica::Kind::Voted(true)),
        replica::Kind::Append(append) => {
            let mut entries = append.entries.iter();
            let command =
                entries.find(|entry| matches!(entry.content, Some(replica::Content::Payload(_))));
            if let Some(command) = command.filter(|_| received.borrow().command == 0) {
                below.store(command.position.index, Ordering::SeqCst);
                received.send_modify(|received| received.command = command.position.index);
            }
            let last = append.previous.index + append.entries.len() as u64;
            Some(replica::Kind::Appended(replica::Appended {
                matched: true,
                index: last.min(below.load(Ordering::SeqCst).saturating_sub(1)),
                hint: replica::Position { term: 0, index: 0 },
                sent: append.sent,
            }))
        }
        replica::Kind::TimeoutNow(_) => {
            received.send_modify(|received| received.takeover = true);
            None
        }
        _ => None,
    }
}

/// Guards against a leader that ends while a ticket waits for its commit and the request to take
/// over waits in the queue of a connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_leader_that_stops_answers_a_ticket_and_transfers_its_leadership() {
    let directory = tempfile::tempdir().unwrap();
    // A random loopback address, since the ports of control replicas are fixed.
    let octets: [u8; 3] = rand::random();
    let [first, second, third] = octets.map(|octet| 20 + octet % 200);
    let ip = format!("127.{first}.{second}.{third}");
    let data = directory.path().join("data").display().to_string();
    let mut config = settings::control(&settings::Spec::new(3), &ip, 0, &data);
    // Longer than the usual, so that the leader keeps its quorum on a busy machine.
    config["timing"] = json!({ "election_min_ms": 400, "election_max_ms": 550 });
    let follower_address = config["replicas"][1]["replica"].as_str().unwrap();
    let listener = TcpListener::bind(follower_address).await.unwrap();
    let secret: &str = config["secret"].as_str().unwrap();
    let secret: &'static [u8] = Box::leak(secret.as_bytes().to_vec().into_boxed_slice());
    let file = directory.path().join("control.jsonc");
    std::fs::write(&file, config.to_string()).unwrap();
    let program = Path::new(env!("CARGO_BIN_EXE_sequoiayoke-control"));
    let arguments = ["--settings".to_owned(), file.display().to_string()];
    let log = directory.path().join("log");
    let mut leader = process::Process::start("control-0", program, &arguments, log).unwrap();
    let address = leader.field("replica").unwrap();
    // The third replica belongs to the group, but never answers.
    let _silent = announce(address, secret, 2).await;
    let mut follower = Follower::start(listener, address, secret).await;
    let http = reqwest::Client::builder().no_proxy().build().unwrap();
    let operator = leader.field("operator").unwrap().to_owned();
    let status = format!("http://{operator}/v1/status");
    let leads = async {
        while !http
            .get(&status)
            .send()
            .await
            .unwrap()
            .status()
            .is_success()
        {
            time::sleep(Duration::from_millis(10)).await;
        }
    };
    let leads = time::timeout(deployment::MAX_WAIT, leads).await;
    assert!(leads.is_ok(), "{}", leader.log());
    let service = json!({ "service": { "name": "desk", "idempotent": ["GET"], "scoped": false } });
    let ticket = json!({ "number": 1, "objects": [service] });
    let url = format!("http://{operator}/v1/tickets");
    let submitted = tokio::spawn(http.post(url).json(&ticket).send());
    follower.wait("the ticket", |seen| seen.command > 0).await;
    leader.signal(Signal::TERM);
    let is_stopping = async {
        while !leader.log().contains("transferring leadership") {
            time::sleep(Duration::from_millis(1)).await;
        }
    };
    let is_stopping = time::timeout(deployment::MAX_WAIT, is_stopping).await;
    assert!(is_stopping.is_ok(), "{}", leader.log());
    follower.below.store(ALL, Ordering::SeqCst);
    let answer = submitted.await.unwrap().unwrap();
    let status = answer.status();
    let answer: Value = answer.json().await.unwrap();
    assert_eq!(status, 200, "{answer}");
    assert_eq!(answer["status"], json!("accepted"));
    let is_asked = |received: &Received| received.takeover;
    follower.wait("the request to take over", is_asked).await;
    assert!(
        leader.terminate(Duration::from_secs(5)),
        "the replica did not exit in time"
    );
}
