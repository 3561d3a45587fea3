//! Malformed and hostile input: decoding does not panic, and its memory stays bounded.

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

/// Seed of the explorations, unless the environment variable `SEED` sets another.
const SEED: u64 = 0x5e90_01a7;
/// Number of inputs of each exploration.
const INPUTS: usize = 20_000;
/// Time after which an exploration ends early.
const LIMIT: Duration = Duration::from_secs(10);
/// Largest capacity of a decoder's buffer, in bytes: one frame and its length, doubled by growth.
const MAX_BUFFER: usize = 2 * (frame::MAX_FRAME + 4);

/// Calls `check` with a random source for each input; a failure names the seed and the input.
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
        let result = panic::catch_unwind(panic::AssertUnwindSafe(|| check(&mut random)));
        assert!(result.is_ok(), "{name}: SEED={seed}, input {input}");
    }
}

fn random_bytes(random: &mut ChaCha8Rng, max: usize) -> Vec<u8> {
    let mut bytes = vec![0; random.random_range(0..=max)];
    random.fill_bytes(&mut bytes);
    bytes
}

/// Returns text with control characters, spaces, separators and multibyte characters.
fn random_text(random: &mut ChaCha8Rng) -> String {
    const CHARACTERS: [char; 16] = [
        '\0', '\n', '\r', '\t', '\x7f', ' ', ':', '/', '%', '.', '"', '[', '9', 'a', 'ä', '𝄞',
    ];
    let length = random.random_range(0..24);
    (0..length)
        .map(|_| CHARACTERS[random.random_range(0..16)])
        .collect()
}

/// Returns a number that is often at a bound.
fn random_number(random: &mut ChaCha8Rng) -> u64 {
    match random.random_range(0..4) {
        0 => 0,
        1 => u64::MAX,
        2 => random.random_range(0..16),
        _ => random.random(),
    }
}

fn address(random: &mut ChaCha8Rng) -> String {
    const ADDRESSES: [&str; 7] = [
        "",
        "localhost:1",
        "1.2.3.4",
        "1.2.3.4:65536",
        "[::1]:70",
        "256.0.0.1:1",
        "1.2.3.4:1\n",
    ];
    match random.random_range(0..8) {
        7 => random_text(random),
        index => ADDRESSES[index].to_owned(),
    }
}

fn position(random: &mut ChaCha8Rng) -> replica::Position {
    replica::Position {
        term: random_number(random),
        index: random_number(random),
    }
}

fn members(random: &mut ChaCha8Rng) -> replica::Members {
    let mut ids = || {
        (0..random.random_range(0..40))
            .map(|_| random_number(random))
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
            1 => Some(replica::Content::Payload(random_bytes(random, 64).into())),
            _ => Some(replica::Content::Members(members(random))),
        },
    }
}

fn log(random: &mut ChaCha8Rng) -> replica::Log {
    use replica::Kind;
    let (flag, sent) = (random.random(), random_number(random));
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
            commit: random_number(random),
            sent,
        })),
        6 => Some(Kind::Appended(replica::Appended {
            matched: flag,
            index: random_number(random),
            hint: last,
            sent,
        })),
        7 => Some(Kind::Chunk(replica::Chunk {
            position: last,
            members: members(random),
            total: random_number(random),
            offset: random_number(random),
            data: random_bytes(random, 64).into(),
            sent,
        })),
        8 => Some(Kind::Received(replica::Received {
            position: last,
            offset: random_number(random),
            sent,
        })),
        _ => Some(Kind::TimeoutNow(replica::TimeoutNow {})),
    };
    replica::Log {
        term: random_number(random),
        kind,
    }
}

fn slice(random: &mut ChaCha8Rng) -> session::Slice {
    session::Slice {
        service: random.random_range(0..3),
        start: random_number(random),
        server: random_number(random) as u32,
        incarnation: random_number(random),
        epoch: random_number(random),
    }
}

fn change(random: &mut ChaCha8Rng) -> session::Change {
    use session::ChangeBody;
    let id = random.random_range(0..3);
    let body = match random.random_range(0..8) {
        0 => None,
        1 => Some(ChangeBody::Service(session::Service {
            id,
            name: random_text(random),
            idempotent: vec![random_text(random)],
            scoped: random.random(),
        })),
        2 => Some(ChangeBody::Server(session::Server {
            id,
            name: random_text(random),
            incarnation: random_number(random),
            peer_address: address(random),
            caller_address: "127.0.0.1:1".to_owned(),
            draining: random.random(),
        })),
        3 => Some(ChangeBody::ServerGone(id)),
        4 => Some(ChangeBody::Caller(session::Caller {
            id,
            name: random_text(random),
            token_digest: random_bytes(random, 33),
            scope: random_text(random),
        })),
        5 => Some(ChangeBody::SliceMerged(slice(random))),
        _ => Some(ChangeBody::Slice(slice(random))),
    };
    session::Change { body }
}

fn announcement(random: &mut ChaCha8Rng) -> session::Announcement {
    session::Announcement {
        name: random_text(random),
        nonce: random_number(random),
        services: vec![random_text(random), random_text(random)],
        failure_domain: random_text(random),
        peer_address: address(random),
        caller_address: address(random),
        slots: random_number(random) as u32,
        checks_fencing: random.random(),
        checks_sender: random.random(),
    }
}

fn headers(random: &mut ChaCha8Rng) -> Vec<stream::Header> {
    let header = |random: &mut ChaCha8Rng| stream::Header {
        name: random_text(random),
        value: random_bytes(random, 16).into(),
    };
    (0..random.random_range(0..4))
        .map(|_| header(random))
        .collect()
}

fn stream_frame(random: &mut ChaCha8Rng) -> stream::Frame {
    use stream::Body;
    let body = match random.random_range(0..7) {
        0 => Body::Open(stream::Open {
            method: random_text(random),
            path: random_text(random),
            headers: headers(random),
            request_id: random_text(random),
            deadline_ms: random_number(random) as u32,
            ..stream::Open::default()
        }),
        1 => Body::Head(stream::Head {
            outcome: random_number(random) as u32,
            detail: random_number(random) as u32,
            headers: headers(random),
            ..stream::Head::default()
        }),
        2 => Body::Data(random_bytes(random, 64).into()),
        3 => Body::End(stream::End {}),
        4 => Body::Credit(random_number(random) as u32),
        5 => Body::Reset(stream::Reset {
            reason: random_number(random) as u32,
        }),
        _ => return stream::Frame::default(),
    };
    stream::Frame::new(random_number(random), body)
}

fn from_control(random: &mut ChaCha8Rng) -> session::FromControl {
    match random.random_range(0..3) {
        0 => session::Redirect {
            leader: address(random),
        }
        .into(),
        1 => session::Refused {
            reason: random_text(random),
            rejoin: random.random(),
        }
        .into(),
        _ => session::Delta {
            from: random_number(random),
            to: random_number(random),
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
            region: random_text(random),
            announcement: Some(announcement(random)),
            incarnation: random_number(random),
            version: random_number(random),
        }
        .into(),
        _ => session::Released {
            service: random_number(random) as u32,
            start: random_number(random),
            epoch: random_number(random),
            window: Some(session::Window {
                since: random_number(random),
                floor: random_number(random),
                entries: vec![session::Entry::default(); random.random_range(0..8)],
            }),
        }
        .into(),
    }
}

fn replica_frame(random: &mut ChaCha8Rng) -> replica::Frame {
    let body = match random.random_range(0..2) {
        0 => replica::Body::Log(log(random)),
        _ => replica::Body::Hello(replica::Hello {
            region: random_text(random),
            name: random_text(random),
            id: random_number(random),
            is_stopping: false,
            members: Vec::new(),
        }),
    };
    replica::Frame { body: Some(body) }
}

/// Returns a corrupted copy of a valid frame, or random bytes.
fn corrupt(random: &mut ChaCha8Rng, valid: Bytes) -> Vec<u8> {
    let mut frame = valid.to_vec();
    match random.random_range(0..6) {
        0 => return random_bytes(random, 512),
        1 => frame.truncate(random.random_range(0..=frame.len())),
        2 => frame[..4].copy_from_slice(&random.random::<u32>().to_be_bytes()),
        3 => {
            // A frame with a correct length and random content.
            let garbage = random_bytes(random, 512);
            frame = (garbage.len() as u32).to_be_bytes().to_vec();
            frame.put_slice(&garbage);
        }
        4 => frame.extend(random_bytes(random, 64)),
        _ => {
            for _ in 0..random.random_range(1..8) {
                let position = random.random_range(0..frame.len());
                frame[position] ^= 1 << random.random_range(0..8);
            }
        }
    }
    frame
}

/// Decodes an input in pieces of random size, as a connection does, up to the first error.
fn decode<In, F>(random: &mut ChaCha8Rng, input: &[u8], mut receive: F)
where
    In: Message + Default,
    F: FnMut(In),
{
    let mut codec = frame::Codec::<In, In>::new();
    let (mut buffer, mut rest) = (BytesMut::new(), input);
    while !rest.is_empty() {
        let (piece, remaining) = rest.split_at(random.random_range(1..=rest.len()));
        (buffer, rest) = (buffer, remaining);
        buffer.extend_from_slice(piece);
        loop {
            match codec.decode(&mut buffer) {
                Ok(Some(message)) => receive(message),
                Ok(None) => break,
                Err(_) => return,
            }
            assert!(buffer.capacity() <= MAX_BUFFER, "{}", buffer.capacity());
        }
        assert!(buffer.capacity() <= MAX_BUFFER, "{}", buffer.capacity());
    }
}

fn convert_replica_frame(frame: replica::Frame) {
    if let Some(replica::Body::Log(log)) = frame.body {
        let _ = replica::decode(log);
    }
}

fn check_stream_frame(frame: stream::Frame) {
    if let Some(stream::Body::Head(head)) = frame.body {
        assert_outcome(&head);
    }
}

fn check_changes(changes: Vec<session::Change>) {
    let mut view = view::View::new();
    for (version, change) in (1..).zip(changes) {
        if let Ok(change) = convert::decode_change(change) {
            view.apply(id::Version(version), [change]);
        }
    }
    for (_, table) in view.tables() {
        assert!(table::Table::from_slices(table.slices().to_vec()).is_some());
        for hash in [0, 1, u64::MAX / 2, u64::MAX] {
            let (_, range) = table.find(key::Hash(hash));
            assert!(range.first.0 <= hash && hash <= range.last.0);
        }
    }
    // Applying the changes of a view to an empty one gives the same tables.
    let mut rebuilt = view::View::new();
    rebuilt.apply(view.version(), view.to_changes());
    let tables = |view: &view::View| {
        let tables = view.tables().map(|(_, table)| table.slices().to_vec());
        tables.collect::<Vec<_>>()
    };
    assert_eq!(tables(&view), tables(&rebuilt));
}

fn check_control_message(frame: session::FromControl) {
    if let Some(session::ControlBody::Delta(delta)) = frame.body {
        check_changes(delta.changes);
    }
}

fn convert_node_message(frame: session::FromNode) {
    if let Some(session::NodeBody::Hello(hello)) = frame.body
        && let Some(announcement) = hello.announcement
    {
        let _ = convert::decode_announcement(announcement);
    }
}

/// Checks that a malformed head decodes neither as an answer without a valid status nor as "not
/// run".
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

/// Guards against bytes for which decoding a message panics or reserves too much memory.
#[test]
fn corrupted_frames_of_every_kind_are_refused_or_decoded() {
    explore("frames", |random| {
        let valid = frame::encode(&replica_frame(random)).unwrap();
        let input = corrupt(random, valid);
        decode::<replica::Frame, _>(random, &input, convert_replica_frame);
        let valid = frame::encode(&stream_frame(random)).unwrap();
        let input = corrupt(random, valid);
        decode::<stream::Frame, _>(random, &input, check_stream_frame);
        let valid = frame::encode(&from_control(random)).unwrap();
        let input = corrupt(random, valid);
        decode::<session::FromControl, _>(random, &input, check_control_message);
        let valid = frame::encode(&from_node(random)).unwrap();
        let input = corrupt(random, valid);
        decode::<session::FromNode, _>(random, &input, convert_node_message);
    });
}

/// Guards against well-formed messages whose values violate the invariants of the decoded types.
#[test]
fn invalid_values_are_refused_or_converted() {
    explore("values", |random| {
        let mut received = 0;
        let frames = [
            frame::encode(&replica_frame(random)).unwrap(),
            frame::encode(&replica_frame(random)).unwrap(),
        ]
        .concat();
        decode::<replica::Frame, _>(random, &frames, |frame| {
            convert_replica_frame(frame);
            received += 1;
        });
        assert_eq!(received, 2, "whole frames are decoded however they arrive");
        check_stream_frame(stream_frame(random));
        check_control_message(from_control(random));
        convert_node_message(from_node(random));
        let _ = convert::decode_reason(random_number(random) as u32);
    });
}

/// Guards against reserving as much memory as the length field of a frame announces.
#[test]
fn a_length_over_the_limit_is_refused_before_its_bytes_arrive() {
    for length in [frame::MAX_FRAME as u32 + 1, u32::MAX / 2, u32::MAX] {
        let mut codec = frame::Codec::<stream::Frame, stream::Frame>::new();
        let mut buffer = BytesMut::from(&length.to_be_bytes()[..]);
        assert!(codec.decode(&mut buffer).is_err(), "{length}");
        assert!(buffer.capacity() <= MAX_BUFFER, "{}", buffer.capacity());
    }
}

/// Guards against a stack overflow on a deeply nested message.
#[test]
fn deep_nesting_is_refused() {
    // No message has a field 15, so that the decoder skips its nested groups.
    let (start, end) = (15 << 3 | 3, 15 << 3 | 4);
    let depth = frame::MAX_FRAME / 4;
    let body = [vec![start; depth], vec![end; depth]].concat();
    let mut buffer = BytesMut::from(&(body.len() as u32).to_be_bytes()[..]);
    buffer.extend_from_slice(&body);
    let mut codec = frame::Codec::<stream::Frame, stream::Frame>::new();
    assert!(codec.decode(&mut buffer).is_err());
}
