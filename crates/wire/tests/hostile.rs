//! Input that no honest process sends: nothing panics, and memory stays bounded.

#![allow(clippy::unwrap_used)]

use std::panic;
use std::time::{Duration, Instant};

use bytes::{BufMut, Bytes, BytesMut};
use prost::Message;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sequoiayoke_model::{id, key, outcome, table, view};
use sequoiayoke_wire::{convert, frame, replica, session, stream};
use tokio_util::codec::Decoder;

/// Seed of the exploration, unless `SEED` names another.
const SEED: u64 = 0x5e90_01a7;
/// Inputs of each exploration.
const INPUTS: usize = 20_000;
/// Time after which an exploration ends early.
const LIMIT: Duration = Duration::from_secs(10);
/// Most bytes that a decoder may reserve: one frame, its length, and what a buffer grows by.
const MAX_BUFFER: usize = 2 * (frame::MAX_FRAME + 4);

/// Gives `check` a random source per input, and names seed and input of a panic.
fn explore<F>(name: &str, mut check: F)
where
    F: FnMut(&mut ChaCha8Rng),
{
    let seed = std::env::var("SEED").map_or(SEED, |text| text.parse().unwrap());
    println!("{name}: SEED={seed}");
    let start = Instant::now();
    for input in 0..INPUTS {
        if start.elapsed() > LIMIT {
            println!("{name}: ended after {input} inputs");
            return;
        }
        let mut random = ChaCha8Rng::seed_from_u64(seed.wrapping_add(input as u64));
        let run = panic::catch_unwind(panic::AssertUnwindSafe(|| check(&mut random)));
        assert!(run.is_ok(), "{name}: SEED={seed}, input {input}");
    }
}

fn bytes(random: &mut ChaCha8Rng, max: usize) -> Vec<u8> {
    let mut bytes = vec![0; random.random_range(0..=max)];
    random.fill_bytes(&mut bytes);
    bytes
}

/// Text with control characters, blanks, separators and characters of several bytes.
fn text(random: &mut ChaCha8Rng) -> String {
    const ODD: [char; 16] = [
        '\0', '\n', '\r', '\t', '\x7f', ' ', ':', '/', '%', '.', '"', '[', '9', 'a', 'ä', '𝄞',
    ];
    let length = random.random_range(0..24);
    (0..length)
        .map(|_| ODD[random.random_range(0..16)])
        .collect()
}

/// A number that is often at a bound.
fn number(random: &mut ChaCha8Rng) -> u64 {
    match random.random_range(0..4) {
        0 => 0,
        1 => u64::MAX,
        2 => random.random_range(0..16),
        _ => random.random(),
    }
}

fn address(random: &mut ChaCha8Rng) -> String {
    const ODD: [&str; 7] = [
        "",
        "localhost:1",
        "1.2.3.4",
        "1.2.3.4:65536",
        "[::1]:70",
        "256.0.0.1:1",
        "1.2.3.4:1\n",
    ];
    match random.random_range(0..8) {
        7 => text(random),
        known => ODD[known].to_owned(),
    }
}

fn position(random: &mut ChaCha8Rng) -> replica::Position {
    replica::Position {
        term: number(random),
        index: number(random),
    }
}

fn members(random: &mut ChaCha8Rng) -> replica::Members {
    let mut ids = || {
        (0..random.random_range(0..40))
            .map(|_| number(random))
            .collect()
    };
    replica::Members {
        voters: ids(),
        learners: ids(),
    }
}

fn entry(random: &mut ChaCha8Rng) -> replica::Entry {
    replica::Entry {
        position: position(random),
        content: match random.random_range(0..3) {
            0 => None,
            1 => Some(replica::Content::Payload(bytes(random, 64).into())),
            _ => Some(replica::Content::Members(members(random))),
        },
    }
}

fn log(random: &mut ChaCha8Rng) -> replica::Log {
    use replica::Kind;
    let (flag, sent) = (random.random(), number(random));
    let last = position(random);
    let kind = match random.random_range(0..10) {
        0 => None,
        1 => Some(Kind::PreVote(last)),
        2 => Some(Kind::PreVoted(flag)),
        3 => Some(Kind::Vote(replica::Vote {
            last,
            transfer: flag,
        })),
        4 => Some(Kind::Voted(flag)),
        5 => Some(Kind::Append(replica::Append {
            previous: last,
            entries: (0..random.random_range(0..4))
                .map(|_| entry(random))
                .collect(),
            commit: number(random),
            sent,
        })),
        6 => Some(Kind::Appended(replica::Appended {
            matched: flag,
            index: number(random),
            hint: last,
            sent,
        })),
        7 => Some(Kind::Chunk(replica::Chunk {
            position: last,
            members: members(random),
            total: number(random),
            offset: number(random),
            data: bytes(random, 64).into(),
            sent,
        })),
        8 => Some(Kind::Received(replica::Received {
            position: last,
            offset: number(random),
            sent,
        })),
        _ => Some(Kind::TimeoutNow(replica::TimeoutNow {})),
    };
    replica::Log {
        term: number(random),
        kind,
    }
}

fn slice(random: &mut ChaCha8Rng) -> session::Slice {
    session::Slice {
        service: random.random_range(0..3),
        start: number(random),
        server: number(random) as u32,
        incarnation: number(random),
        epoch: number(random),
    }
}

fn change(random: &mut ChaCha8Rng) -> session::Change {
    use session::ChangeBody;
    let id = random.random_range(0..3);
    let body = match random.random_range(0..8) {
        0 => None,
        1 => Some(ChangeBody::Service(session::Service {
            id,
            name: text(random),
            idempotent: vec![text(random)],
            scoped: random.random(),
        })),
        2 => Some(ChangeBody::Server(session::Server {
            id,
            name: text(random),
            incarnation: number(random),
            peer_address: address(random),
            caller_address: "127.0.0.1:1".to_owned(),
            draining: random.random(),
        })),
        3 => Some(ChangeBody::ServerGone(id)),
        4 => Some(ChangeBody::Caller(session::Caller {
            id,
            name: text(random),
            token_digest: bytes(random, 33),
            scope: text(random),
        })),
        5 => Some(ChangeBody::SliceMerged(slice(random))),
        _ => Some(ChangeBody::Slice(slice(random))),
    };
    session::Change { body }
}

fn announcement(random: &mut ChaCha8Rng) -> session::Announcement {
    session::Announcement {
        name: text(random),
        nonce: number(random),
        services: vec![text(random), text(random)],
        failure_domain: text(random),
        peer_address: address(random),
        caller_address: address(random),
        slots: number(random) as u32,
        checks_fencing: random.random(),
        checks_sender: random.random(),
    }
}

fn headers(random: &mut ChaCha8Rng) -> Vec<stream::Header> {
    let one = |random: &mut ChaCha8Rng| stream::Header {
        name: text(random),
        value: bytes(random, 16).into(),
    };
    (0..random.random_range(0..4))
        .map(|_| one(random))
        .collect()
}

fn peer(random: &mut ChaCha8Rng) -> stream::Frame {
    use stream::Body;
    let body = match random.random_range(0..7) {
        0 => Body::Open(stream::Open {
            method: text(random),
            path: text(random),
            headers: headers(random),
            request_id: text(random),
            deadline_ms: number(random) as u32,
            ..stream::Open::default()
        }),
        1 => Body::Head(stream::Head {
            outcome: number(random) as u32,
            detail: number(random) as u32,
            headers: headers(random),
            ..stream::Head::default()
        }),
        2 => Body::Data(bytes(random, 64).into()),
        3 => Body::End(stream::End {}),
        4 => Body::Credit(number(random) as u32),
        5 => Body::Reset(stream::Reset {
            reason: number(random) as u32,
        }),
        _ => return stream::Frame::default(),
    };
    stream::Frame::new(number(random), body)
}

fn from_control(random: &mut ChaCha8Rng) -> session::FromControl {
    match random.random_range(0..3) {
        0 => session::Redirect {
            leader: address(random),
        }
        .into(),
        1 => session::Refused {
            reason: text(random),
            rejoin: random.random(),
        }
        .into(),
        _ => session::Delta {
            from: number(random),
            to: number(random),
            changes: (0..random.random_range(0..8))
                .map(|_| change(random))
                .collect(),
            more: random.random(),
        }
        .into(),
    }
}

fn from_node(random: &mut ChaCha8Rng) -> session::FromNode {
    match random.random_range(0..2) {
        0 => session::Hello {
            region: text(random),
            announcement: Some(announcement(random)),
            incarnation: number(random),
            version: number(random),
        }
        .into(),
        _ => session::Released {
            service: number(random) as u32,
            start: number(random),
            epoch: number(random),
            window: Some(session::Window {
                since: number(random),
                floor: number(random),
                entries: vec![session::Entry::default(); random.random_range(0..8)],
            }),
        }
        .into(),
    }
}

fn between_replicas(random: &mut ChaCha8Rng) -> replica::Frame {
    let body = match random.random_range(0..2) {
        0 => replica::Body::Log(log(random)),
        _ => replica::Body::Hello(replica::Hello {
            region: text(random),
            name: text(random),
            id: number(random),
            members: Vec::new(),
        }),
    };
    replica::Frame { body: Some(body) }
}

/// Breaks a valid frame in one of several ways, or makes one up.
fn broken(random: &mut ChaCha8Rng, valid: Bytes) -> Vec<u8> {
    let mut frame = valid.to_vec();
    match random.random_range(0..6) {
        0 => return bytes(random, 512),
        1 => frame.truncate(random.random_range(0..=frame.len())),
        2 => frame[..4].copy_from_slice(&random.random::<u32>().to_be_bytes()),
        3 => {
            // A well-formed frame around garbage.
            let garbage = bytes(random, 512);
            frame = (garbage.len() as u32).to_be_bytes().to_vec();
            frame.put_slice(&garbage);
        }
        4 => frame.extend(bytes(random, 64)),
        _ => {
            for _ in 0..random.random_range(1..8) {
                let place = random.random_range(0..frame.len());
                frame[place] ^= 1 << random.random_range(0..8);
            }
        }
    }
    frame
}

/// Decodes pieces of an input as a connection does, up to its first error.
fn decode<In, F>(random: &mut ChaCha8Rng, input: &[u8], mut taken: F)
where
    In: Message + Default,
    F: FnMut(In),
{
    let mut codec = frame::Codec::<In, In>::new();
    let (mut buffer, mut rest) = (BytesMut::new(), input);
    while !rest.is_empty() {
        let (piece, behind) = rest.split_at(random.random_range(1..=rest.len()));
        (buffer, rest) = (buffer, behind);
        buffer.extend_from_slice(piece);
        loop {
            match codec.decode(&mut buffer) {
                Ok(Some(message)) => taken(message),
                Ok(None) => break,
                Err(_) => return,
            }
            assert!(buffer.capacity() <= MAX_BUFFER, "{}", buffer.capacity());
        }
        assert!(buffer.capacity() <= MAX_BUFFER, "{}", buffer.capacity());
    }
}

fn use_replica(frame: replica::Frame) {
    if let Some(replica::Body::Log(log)) = frame.body {
        let _ = replica::decode(log);
    }
}

fn use_stream(frame: stream::Frame) {
    if let Some(stream::Body::Head(head)) = frame.body {
        assert_outcome(&head);
    }
}

fn use_changes(changes: Vec<session::Change>) {
    let mut view = view::View::new();
    for (version, one) in (1..).zip(changes) {
        if let Ok(change) = convert::decode_change(one) {
            view.apply(id::Version(version), [change]);
        }
    }
    for (_, one) in view.tables() {
        assert!(table::Table::from_slices(one.slices().to_vec()).is_some());
        for hash in [0, 1, u64::MAX / 2, u64::MAX] {
            let (_, range) = one.find(key::Hash(hash));
            assert!(range.first.0 <= hash && hash <= range.last.0);
        }
    }
    // The changes of a view lead to the same view again.
    let mut again = view::View::new();
    again.apply(view.version(), view.to_changes());
    let tables = |view: &view::View| {
        let tables = view.tables().map(|(_, one)| one.slices().to_vec());
        tables.collect::<Vec<_>>()
    };
    assert_eq!(tables(&view), tables(&again));
}

fn use_control(frame: session::FromControl) {
    if let Some(session::ControlBody::Delta(delta)) = frame.body {
        use_changes(delta.changes);
    }
}

fn use_node(frame: session::FromNode) {
    if let Some(session::NodeBody::Hello(hello)) = frame.body
        && let Some(one) = hello.announcement
    {
        let _ = convert::decode_announcement(one);
    }
}

/// A malformed head may claim neither an answer without a status nor "not run".
fn assert_outcome(head: &stream::Head) {
    match convert::outcome(head) {
        outcome::Outcome::Answered(status) => {
            assert_eq!((head.outcome, head.detail), (0, u32::from(status)));
            assert!((100..1000).contains(&status));
        }
        outcome::Outcome::NotRun(_) => assert_eq!(head.outcome, 1),
        outcome::Outcome::Unknown(_) => {}
    }
}

/// Guards against bytes that make the decoding of a message panic or reserve memory.
#[test]
fn broken_frames_of_every_kind_are_refused_or_decoded() {
    explore("frames", |random| {
        let valid = frame::encode(&between_replicas(random)).unwrap();
        let input = broken(random, valid);
        decode::<replica::Frame, _>(random, &input, use_replica);
        let valid = frame::encode(&peer(random)).unwrap();
        let input = broken(random, valid);
        decode::<stream::Frame, _>(random, &input, use_stream);
        let valid = frame::encode(&from_control(random)).unwrap();
        let input = broken(random, valid);
        decode::<session::FromControl, _>(random, &input, use_control);
        let valid = frame::encode(&from_node(random)).unwrap();
        let input = broken(random, valid);
        decode::<session::FromNode, _>(random, &input, use_node);
    });
}

/// Guards against well-formed messages whose values break the rules of the pure types.
#[test]
fn hostile_values_are_refused_or_converted() {
    explore("values", |random| {
        let mut taken = 0;
        let frames = [
            frame::encode(&between_replicas(random)).unwrap(),
            frame::encode(&between_replicas(random)).unwrap(),
        ]
        .concat();
        decode::<replica::Frame, _>(random, &frames, |frame| {
            use_replica(frame);
            taken += 1;
        });
        assert_eq!(taken, 2, "whole frames are decoded however they arrive");
        use_stream(peer(random));
        use_control(from_control(random));
        use_node(from_node(random));
        let _ = convert::decode_reason(number(random) as u32);
    });
}

/// Guards against a length in a frame's head that makes the receiver reserve that much.
#[test]
fn a_length_over_the_limit_is_refused_before_its_bytes_arrive() {
    for length in [frame::MAX_FRAME as u32 + 1, u32::MAX / 2, u32::MAX] {
        let mut codec = frame::Codec::<stream::Frame, stream::Frame>::new();
        let mut buffer = BytesMut::from(&length.to_be_bytes()[..]);
        assert!(codec.decode(&mut buffer).is_err(), "{length}");
        assert!(buffer.capacity() <= MAX_BUFFER, "{}", buffer.capacity());
    }
}

/// Guards against a message that is nested deeper than the stack reaches.
#[test]
fn deep_nesting_is_refused() {
    // Field 15 is unknown to every message, so that its groups are skipped.
    let (start, end) = (15 << 3 | 3, 15 << 3 | 4);
    let depth = frame::MAX_FRAME / 4;
    let body = [vec![start; depth], vec![end; depth]].concat();
    let mut buffer = BytesMut::from(&(body.len() as u32).to_be_bytes()[..]);
    buffer.extend_from_slice(&body);
    let mut codec = frame::Codec::<stream::Frame, stream::Frame>::new();
    assert!(codec.decode(&mut buffer).is_err());
}
