//! What callers hold of a process, without a network.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use sequoiayoke_dispatch::ledger;
use sequoiayoke_model::clock;

const LIMITS: ledger::Limits = ledger::Limits {
    bytes: 1_000_000,
    connections: 12,
};
/// Largest request of an ordinary caller, in bytes.
const FEW: usize = 10_000;

fn at(ms: u64) -> clock::Instant {
    clock::Instant::from_micros(1_000_000 + ms * 1_000)
}

/// Guards against bytes that pass the limit or are never returned, for any order of reads, stalls,
/// answers and closes.
#[test]
fn the_bytes_stay_within_the_limit_and_return_to_zero() {
    for seed in 0..300 {
        println!("seed {seed}");
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut ledger = ledger::Ledger::new(LIMITS);
        let mut open: Vec<(ledger::Connection, usize)> = Vec::new();
        let mut chosen = Vec::new();
        for ms in 0..400 {
            let now = at(ms * random.random_range(1..3));
            match random.random_range(0..8) {
                0 | 1 => match ledger.room_for_connection(now) {
                    ledger::Room::Granted => open.push((ledger.open(now), 0)),
                    ledger::Room::After(connection) => chosen.push(connection),
                    ledger::Room::Later | ledger::Room::Refused => {}
                },
                2..=5 if !open.is_empty() => {
                    let index = random.random_range(0..open.len());
                    let (connection, held) = open[index];
                    let bytes = held + random.random_range(1..200_000);
                    match ledger.resize(connection, now, bytes) {
                        ledger::Room::Granted => {
                            open[index].1 = bytes;
                            ledger.record_progress(connection, now);
                        }
                        ledger::Room::After(other) => {
                            assert_ne!(other, connection);
                            chosen.push(other);
                        }
                        ledger::Room::Refused => chosen.push(connection),
                        ledger::Room::Later => {}
                    }
                }
                6 if !open.is_empty() => {
                    let (connection, _) = open[random.random_range(0..open.len())];
                    ledger.set_awaits_caller(connection, random.random_bool(0.5));
                }
                _ => {
                    // The connections that give way are closed some time after they were chosen.
                    for connection in chosen.drain(..) {
                        ledger.close(connection);
                        open.retain(|(other, _)| *other != connection);
                    }
                }
            }
            let held: usize = open.iter().map(|(_, held)| held).sum();
            assert_eq!(ledger.used(), held);
            assert!(ledger.used() <= LIMITS.bytes);
            assert!(ledger.connections() <= LIMITS.connections);
        }
        for (connection, _) in open {
            ledger.close(connection);
        }
        assert_eq!((ledger.used(), ledger.connections()), (0, 0));
    }
}

/// Load: callers that have sent most of their bodies and stopped fill the memory.
/// Guards against ordinary callers that find no room, and against one of them that gives way.
#[test]
fn the_caller_that_stalls_with_the_most_gives_way() {
    let mut ledger = ledger::Ledger::new(LIMITS);
    let stalled: Vec<_> = (0..8).map(|_| ledger.open(at(0))).collect();
    for connection in &stalled {
        assert_eq!(
            ledger.resize(*connection, at(0), 109_000),
            ledger::Room::Granted
        );
    }
    let active = ledger.open(at(900));
    assert_eq!(ledger.resize(active, at(900), FEW), ledger::Room::Granted);
    let large = ledger.open(at(1_000));
    let ledger::Room::After(first) = ledger.resize(large, at(1_000), 200_000) else {
        panic!("one of the stalled callers gives way");
    };
    assert!(stalled.contains(&first));
    // The next one is another, since the first is about to close.
    let room = ledger.resize(large, at(1_000), 200_000);
    assert!(matches!(room, ledger::Room::After(second) if second != first && second != active));
}

/// Guards against a caller that is cut off while the process works for it.
#[test]
fn a_caller_that_waits_for_the_process_does_not_give_way() {
    let mut ledger = ledger::Ledger::new(LIMITS);
    let served = ledger.open(at(0));
    assert_eq!(ledger.resize(served, at(0), 870_000), ledger::Room::Granted);
    ledger.set_awaits_caller(served, false);
    let other = ledger.open(at(5_000));
    assert_eq!(
        ledger.resize(other, at(5_000), 200_000),
        ledger::Room::Refused
    );
    assert_eq!(ledger.resize(other, at(5_000), FEW), ledger::Room::Granted);
    ledger.close(served);
    assert_eq!(ledger.used(), FEW);
}

/// Guards against answers that are there already and pass the limit for good.
#[test]
fn unread_answers_beyond_the_limit_give_way() {
    let mut ledger = ledger::Ledger::new(LIMITS);
    let unread = ledger.open(at(0));
    ledger.force(unread, 1_200_000);
    assert_eq!(ledger.relieve(at(10)), Some(unread));
    // It is chosen once.
    assert_eq!(ledger.relieve(at(20)), None);
    ledger.close(unread);
    assert_eq!(ledger.used(), 0);
}
