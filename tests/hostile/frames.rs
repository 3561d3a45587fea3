//! Hostile bytes to the listeners for the project's own processes.

use bytes::Bytes;
use futures_util::{SinkExt as _, StreamExt as _};
use rand::{Rng as _, RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use sequoiayoke_harness::settings;
use sequoiayoke_model::key;
use sequoiayoke_wire::{auth, frame, stream};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio_util::codec;

use crate::{PATIENCE, assert_closed, assert_serving, memory, support};
use support::{ExclusiveDeployment, SERVICE};

type Framed = codec::Framed<TcpStream, frame::Codec<stream::Frame, stream::Frame>>;

/// Seed of the garbage.
const SEED: u64 = 0x6a5b_a6e0;

/// Every listener for frames and the kind of its connections.
fn listeners(world: &ExclusiveDeployment) -> Vec<(auth::Kind, String)> {
    let mut all = Vec::new();
    for pair in &world.vms {
        all.push((auth::Kind::Stream, pair.node.field("peer").unwrap().into()));
    }
    for control in world.control.iter().flatten() {
        let field = |name| control.field(name).unwrap().to_owned();
        all.push((auth::Kind::Session, field("node")));
        all.push((auth::Kind::Replica, field("replica")));
    }
    all
}

async fn authenticated(world: &ExclusiveDeployment, kind: auth::Kind, address: &str) -> TcpStream {
    let text = settings::control(&world.spec, &world.ip, 0, "");
    let secret = text["secret"].as_str().unwrap();
    let io = TcpStream::connect(address).await.unwrap();
    let proof = auth::connect(io, kind, secret.as_bytes());
    proof.await.unwrap()
}

/// Bytes that are no frames, and frames that hold no message.
fn garbage(random: &mut ChaCha8Rng) -> Vec<Vec<u8>> {
    let mut noise = vec![0; 4096];
    random.fill_bytes(&mut noise);
    let framed = [&4096_u32.to_be_bytes()[..], &noise].concat();
    vec![
        [&[0xff; 4][..], &noise].concat(),
        (frame::MAX_FRAME as u32 + 1).to_be_bytes().to_vec(),
        b"GET / HTTP/1.1\r\nhost: node\r\n\r\n".to_vec(),
        framed,
        // A group that nothing ends.
        vec![0, 0, 0, 2, 0x7b, 0x7b],
        // A frame without a message.
        vec![0, 0, 0, 0],
    ]
}

/// Guards against strangers that keep a connection, or that make a process reserve memory.
#[tokio::test(flavor = "multi_thread")]
async fn strangers_are_disconnected() {
    let world = support::start(2, 12, 0, true).await;
    let before = memory(&world);
    println!("seed {SEED}");
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let mut waiting = Vec::new();
    for (kind, address) in listeners(&world) {
        // Silent, or too short to be a step of the proof.
        for bytes in [&b""[..], &[0, 0], &[0, 0, 0, 64, 1]] {
            let mut io = TcpStream::connect(&address).await.unwrap();
            io.write_all(bytes).await.unwrap();
            waiting.push((io, format!("{kind:?}: {bytes:?}")));
        }
        for bytes in garbage(&mut random) {
            let mut io = TcpStream::connect(&address).await.unwrap();
            let _ = io.write_all(&bytes).await;
            waiting.push((io, format!("{kind:?}: {:?}", &bytes[..4])));
        }
        let io = TcpStream::connect(&address).await.unwrap();
        let proof = auth::connect(io, kind, b"another secret");
        assert!(proof.await.is_err(), "{kind:?}: a wrong secret");
    }
    for (io, what) in waiting {
        assert_closed(io, &what).await;
    }
    assert_serving(&world, &before).await;
}

/// Guards against malformed frames behind a valid proof.
#[tokio::test(flavor = "multi_thread")]
async fn garbage_behind_a_proof_ends_the_connection() {
    let world = support::start(2, 12, 0, true).await;
    let before = memory(&world);
    println!("seed {SEED}");
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let mut waiting = Vec::new();
    for (kind, address) in listeners(&world) {
        for bytes in garbage(&mut random) {
            let mut io = authenticated(&world, kind, &address).await;
            let _ = io.write_all(&bytes).await;
            waiting.push((io, format!("{kind:?}: {:?}", &bytes[..4])));
        }
    }
    for (io, what) in waiting {
        assert_closed(io, &what).await;
    }
    assert_serving(&world, &before).await;
}

fn open(method: &str, path: &str, header: &str) -> stream::Body {
    stream::Body::Open(stream::Open {
        service: 1,
        hash: key::Hash::new("", "kiosk-1").0,
        method: method.to_owned(),
        path: path.to_owned(),
        headers: vec![stream::Header {
            name: header.to_owned(),
            value: Bytes::from_static(b"chunked"),
        }],
        deadline_ms: 5_000,
        epoch: 1,
        ..stream::Open::default()
    })
}

/// A request that waits for its body.
fn upload() -> stream::Body {
    open("POST", &support::path("kiosk-1"), "transfer-encoding")
}

async fn send(frames: &mut Framed, number: u64, body: stream::Body) {
    let frame = stream::Frame::new(number, body);
    frames.send(&frame).await.unwrap();
}

/// Connects as a node to the node that owns the key of [`open`].
async fn connect(world: &ExclusiveDeployment) -> Framed {
    let (owner, _) = world.find_owner(SERVICE, "kiosk-1").await.unwrap();
    let address = world.vms[owner].node.field("peer").unwrap();
    let io = authenticated(world, auth::Kind::Stream, address).await;
    codec::Framed::new(io, frame::Codec::new())
}

/// Reads up to the head of the answer to a stream.
async fn head(frames: &mut Framed, number: u64) -> stream::Head {
    let reading = async {
        loop {
            let frame = frames.next().await.expect("an answer").unwrap();
            if let (true, Some(stream::Body::Head(head))) = (frame.stream == number, frame.body) {
                return head;
            }
        }
    };
    tokio::time::timeout(PATIENCE, reading).await.unwrap()
}

/// Guards against a late frame that reaches another request, and a peer without a limit.
#[tokio::test(flavor = "multi_thread")]
async fn a_peer_that_breaks_the_rules_of_streams_is_disconnected() {
    let world = support::start(2, 12, 0, true).await;
    let before = memory(&world);
    let too_much = Bytes::from(vec![0; stream::CREDIT as usize + 1]);
    let part = Bytes::from(vec![0; stream::MAX_CHUNK]);
    let breaches = [
        ("a number again", vec![(5, upload()), (5, upload())]),
        ("a lower number", vec![(5, upload()), (4, upload())]),
        ("number zero", vec![(0, upload())]),
        (
            "no credit for one chunk",
            vec![(1, upload()), (1, stream::Body::Data(too_much))],
        ),
        (
            "an answer",
            vec![
                (1, upload()),
                (1, stream::Body::Head(stream::Head::default())),
            ],
        ),
    ];
    for (what, sent) in breaches {
        let mut frames = connect(&world).await;
        for (number, body) in sent {
            send(&mut frames, number, body).await;
        }
        assert_closed(frames.into_inner(), what).await;
    }
    // Unknown numbers are ignored, whatever comes for them.
    let mut frames = connect(&world).await;
    for number in [0, 1, 7, u64::MAX] {
        send(&mut frames, number, stream::Body::Data(part.clone())).await;
        send(&mut frames, number, stream::Body::Credit(u32::MAX)).await;
        send(&mut frames, number, stream::Body::End(stream::End {})).await;
        let reset = stream::Reset { reason: u32::MAX };
        send(&mut frames, number, stream::Body::Reset(reset)).await;
    }
    send(&mut frames, 9, open("GET", "/s/refunds/kiosk-1", "accept")).await;
    for _ in 0..4 {
        send(&mut frames, 9, stream::Body::Credit(u32::MAX)).await;
    }
    send(&mut frames, 9, stream::Body::End(stream::End {})).await;
    let answer = head(&mut frames, 9).await;
    assert_eq!((answer.outcome, answer.detail), (0, 200), "{answer:?}");
    assert_serving(&world, &before).await;
}

/// Guards against heads of requests that no HTTP library would send on.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_heads_from_a_peer_are_answered_as_not_run() {
    let world = support::start(2, 12, 0, true).await;
    let before = memory(&world);
    println!("seed {SEED}");
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let mut frames = connect(&world).await;
    let mut number = 0;
    let path = support::path("kiosk-1");
    let mut heads = vec![
        open("", &path, "a"),
        open("G T", &path, "a"),
        open("GET\r\n", &path, "a"),
        open("GET", &path, ""),
        open("GET", &path, "a b"),
        open("GET", &path, "a\r\nb"),
        open("GET", &path, "a\0"),
        open("GET", &path, "ä"),
        open("GET", ":x", "a"),
    ];
    for _ in 0..100 {
        let mut odd = || -> String {
            let length = random.random_range(1..12);
            (0..length)
                .map(|_| random.random_range('\0'..' '))
                .collect()
        };
        heads.push(open("GET", &path, &odd()));
        heads.push(open(&odd(), &path, "a"));
    }
    for head in heads {
        number += 1;
        send(&mut frames, number, head.clone()).await;
        let answer = self::head(&mut frames, number).await;
        assert_eq!(answer.outcome, 1, "{head:?}: {answer:?}");
    }
    assert!(world.executions().is_empty(), "{:?}", world.executions());
    assert_serving(&world, &before).await;
}
