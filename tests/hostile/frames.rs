//! Malformed input to the listeners for nodes and replicas, which speak the frame protocol.

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

use crate::{MAX_WAIT, assert_closed, assert_serving, resident_memory, support};
use support::{ExclusiveDeployment, SERVICE};

type Framed = codec::Framed<TcpStream, frame::Codec<stream::Frame, stream::Frame>>;

/// Seed of the random bytes.
const SEED: u64 = 0x6a5b_a6e0;

/// Returns the address of every listener for frames, with the kind of its connections.
fn listeners(world: &ExclusiveDeployment) -> Vec<(auth::Kind, String)> {
    let mut listeners = Vec::new();
    for vm in &world.vms {
        listeners.push((auth::Kind::Stream, vm.node.field("peer").unwrap().into()));
    }
    for control in world.control.iter().flatten() {
        let field = |name| control.field(name).unwrap().to_owned();
        listeners.push((auth::Kind::Session, field("node")));
        listeners.push((auth::Kind::Replica, field("replica")));
    }
    listeners
}

/// Opens a connection and authenticates it with the secret of the deployment.
async fn connect_authenticated(
    world: &ExclusiveDeployment,
    kind: auth::Kind,
    address: &str,
) -> TcpStream {
    let control = settings::control(&world.spec, &world.ip, 0, "");
    let secret = control["secret"].as_str().unwrap();
    let io = TcpStream::connect(address).await.unwrap();
    let handshake = auth::connect(io, kind, secret.as_bytes());
    handshake.await.unwrap()
}

/// Returns bytes that are not frames, and frames without a valid message.
fn malformed_input(random: &mut ChaCha8Rng) -> Vec<Vec<u8>> {
    let mut noise = vec![0; 4096];
    random.fill_bytes(&mut noise);
    let framed = [&4096_u32.to_be_bytes()[..], &noise].concat();
    vec![
        [&[0xff; 4][..], &noise].concat(),
        (frame::MAX_FRAME as u32 + 1).to_be_bytes().to_vec(),
        b"GET / HTTP/1.1\r\nhost: node\r\n\r\n".to_vec(),
        framed,
        // A protobuf group without an end.
        vec![0, 0, 0, 2, 0x7b, 0x7b],
        // A frame without a message.
        vec![0, 0, 0, 0],
    ]
}

/// Guards against unauthenticated peers that keep a connection open, or that make a process
/// allocate memory.
#[tokio::test(flavor = "multi_thread")]
async fn unauthenticated_peers_are_disconnected() {
    let world = support::start(2, 12, 0, true).await;
    let before = resident_memory(&world);
    println!("seed {SEED}");
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let mut waiting = Vec::new();
    for (kind, address) in listeners(&world) {
        // Nothing, or less than a message of the authentication handshake.
        for bytes in [&b""[..], &[0, 0], &[0, 0, 0, 64, 1]] {
            let mut io = TcpStream::connect(&address).await.unwrap();
            io.write_all(bytes).await.unwrap();
            waiting.push((io, format!("{kind:?}: {bytes:?}")));
        }
        for bytes in malformed_input(&mut random) {
            let mut io = TcpStream::connect(&address).await.unwrap();
            let _ = io.write_all(&bytes).await;
            waiting.push((io, format!("{kind:?}: {:?}", &bytes[..4])));
        }
        let io = TcpStream::connect(&address).await.unwrap();
        let handshake = auth::connect(io, kind, b"another secret");
        assert!(handshake.await.is_err(), "{kind:?}: a wrong secret");
    }
    for (io, case) in waiting {
        assert_closed(io, &case).await;
    }
    assert_serving(&world, &before).await;
}

/// Guards against malformed frames that are ignored on an authenticated connection.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_frames_of_an_authenticated_peer_end_the_connection() {
    let world = support::start(2, 12, 0, true).await;
    let before = resident_memory(&world);
    println!("seed {SEED}");
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let mut waiting = Vec::new();
    for (kind, address) in listeners(&world) {
        for bytes in malformed_input(&mut random) {
            let mut io = connect_authenticated(&world, kind, &address).await;
            let _ = io.write_all(&bytes).await;
            waiting.push((io, format!("{kind:?}: {:?}", &bytes[..4])));
        }
    }
    for (io, case) in waiting {
        assert_closed(io, &case).await;
    }
    assert_serving(&world, &before).await;
}

/// Returns the head of a request with one header.
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

/// Returns the head of a request whose body has not been sent.
fn open_upload() -> stream::Body {
    open("POST", &support::path("kiosk-1"), "transfer-encoding")
}

async fn send(frames: &mut Framed, number: u64, body: stream::Body) {
    let frame = stream::Frame::new(number, body);
    frames.send(&frame).await.unwrap();
}

/// Connects as a node to the node that owns the key of [`open`].
async fn connect_to_owner(world: &ExclusiveDeployment) -> Framed {
    let (owner, _) = world.find_owner(SERVICE, "kiosk-1").await.unwrap();
    let address = world.vms[owner].node.field("peer").unwrap();
    let io = connect_authenticated(world, auth::Kind::Stream, address).await;
    codec::Framed::new(io, frame::Codec::new())
}

/// Reads frames up to the head of the answer on a stream, and returns this head.
async fn read_head(frames: &mut Framed, number: u64) -> stream::Head {
    let reading = async {
        loop {
            let frame = frames.next().await.expect("an answer").unwrap();
            if let (true, Some(stream::Body::Head(head))) = (frame.stream == number, frame.body) {
                return head;
            }
        }
    };
    tokio::time::timeout(MAX_WAIT, reading).await.unwrap()
}

/// Guards against a late frame that is assigned to another request, and against a peer that
/// sends more than its credit.
#[tokio::test(flavor = "multi_thread")]
async fn a_peer_that_violates_the_stream_protocol_is_disconnected() {
    let world = support::start(2, 12, 0, true).await;
    let before = resident_memory(&world);
    let over_credit = Bytes::from(vec![0; stream::CREDIT as usize + 1]);
    let chunk = Bytes::from(vec![0; stream::MAX_CHUNK]);
    let violations = [
        (
            "a reused stream number",
            vec![(5, open_upload()), (5, open_upload())],
        ),
        (
            "a lower stream number",
            vec![(5, open_upload()), (4, open_upload())],
        ),
        ("stream number zero", vec![(0, open_upload())]),
        (
            "a chunk larger than the credit",
            vec![(1, open_upload()), (1, stream::Body::Data(over_credit))],
        ),
        (
            "an answer from the side that sends requests",
            vec![
                (1, open_upload()),
                (1, stream::Body::Head(stream::Head::default())),
            ],
        ),
    ];
    for (violation, sent) in violations {
        let mut frames = connect_to_owner(&world).await;
        for (number, body) in sent {
            send(&mut frames, number, body).await;
        }
        assert_closed(frames.into_inner(), violation).await;
    }
    // All frames for unknown stream numbers are ignored.
    let mut frames = connect_to_owner(&world).await;
    for number in [0, 1, 7, u64::MAX] {
        send(&mut frames, number, stream::Body::Data(chunk.clone())).await;
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
    let answer = read_head(&mut frames, 9).await;
    assert_eq!((answer.outcome, answer.detail), (0, 200), "{answer:?}");
    assert_serving(&world, &before).await;
}

/// Guards against request heads that an HTTP client library rejects, and that are then not
/// answered as not run.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_heads_from_a_peer_are_answered_as_not_run() {
    let world = support::start(2, 12, 0, true).await;
    let before = resident_memory(&world);
    println!("seed {SEED}");
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let mut frames = connect_to_owner(&world).await;
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
        let mut control_characters = || -> String {
            let length = random.random_range(1..12);
            (0..length)
                .map(|_| random.random_range('\0'..' '))
                .collect()
        };
        heads.push(open("GET", &path, &control_characters()));
        heads.push(open(&control_characters(), &path, "a"));
    }
    for head in heads {
        number += 1;
        send(&mut frames, number, head.clone()).await;
        let answer = self::read_head(&mut frames, number).await;
        assert_eq!(answer.outcome, 1, "{head:?}: {answer:?}");
    }
    assert!(world.executions().is_empty(), "{:?}", world.executions());
    assert_serving(&world, &before).await;
}
