//! Kill points: the process or the power ends at each operation of each write.

use bytes::Bytes;
use sequoiayoke_consensus::{effect, entry, position};
use sequoiayoke_storage::medium::Medium;
use sequoiayoke_storage::{fault, folder};

use crate::{model, volatile};

const TORN_SEEDS: u64 = 8;

/// States in which a directory may be after a crash: that of all acknowledged
/// writes, and those after each further write of the call that failed.
type Allowed = Vec<model::Stored>;

/// Runs the writes of `model::life` up to the first call that fails, and returns
/// whether all of them succeeded.
fn live(medium: &volatile::Volatile) -> (Allowed, bool) {
    let mut stored = model::Stored::default();
    let Ok((mut folder, _)) = folder::Folder::open(medium.clone(), &model::owner()) else {
        return (vec![stored], false);
    };
    for writes in model::life() {
        let result = folder.persist(&writes);
        let mut states = vec![stored.clone()];
        for write in &writes {
            stored.apply(write);
            states.push(stored.clone());
        }
        if result.is_err() {
            let again = folder.persist(&writes).expect_err("it stays closed");
            assert!(matches!(again.current_context(), fault::Fault::Stopped));
            return (states, false);
        }
    }
    (vec![stored], true)
}

fn operations() -> usize {
    let medium = volatile::Volatile::default();
    assert!(live(&medium).1);
    medium.operations()
}

fn open(
    medium: &volatile::Volatile,
    context: &str,
) -> (folder::Folder<volatile::Volatile>, model::Stored) {
    folder::Folder::open(medium.clone(), &model::owner())
        .unwrap_or_else(|report| panic!("{context}: {report:?}"))
}

fn check(medium: &volatile::Volatile, allowed: &Allowed, context: &str) {
    let (folder, mut expected) = open(medium, context);
    assert!(
        allowed.contains(&expected),
        "{context}: found {expected:?}, allowed {allowed:?}"
    );
    // What was read back counts as durable, so no later crash may take it, and
    // the directory must take writes again.
    let id = folder.id();
    drop(folder);
    for term in 9..11 {
        medium.crash(volatile::Crash::Lost);
        let (mut folder, found) = open(medium, context);
        assert_eq!(found, expected, "{context}: after a power failure");
        assert_eq!(folder.id(), id, "{context}: identity");
        let next = found.last().index.0 + 1;
        let writes = [
            model::hard(term, None),
            model::entries(term, next..next + 2),
        ];
        model::persist(&mut folder, &mut expected, &writes);
    }
}

/// Guards against an acknowledged write that a crash undoes, a half write that
/// is taken for a whole one, and a directory that cannot be opened again.
#[test]
fn acknowledged_writes_survive_a_crash_at_every_operation() {
    let torn = (0..TORN_SEEDS).map(volatile::Crash::Torn);
    let crashes = [volatile::Crash::Lost, volatile::Crash::Kept];
    for crash in crashes.into_iter().chain(torn) {
        for at in 0..=operations() {
            let medium = volatile::Volatile::default();
            medium.fail_at(at, true);
            let (allowed, _) = live(&medium);
            medium.crash(crash);
            check(&medium, &allowed, &format!("{crash:?} at operation {at}"));
        }
    }
}

/// Guards against a crash during the repair of an earlier crash.
#[test]
fn a_crash_while_opening_loses_nothing() {
    for at in 0..=operations() {
        let medium = volatile::Volatile::default();
        medium.fail_at(at, true);
        let (allowed, _) = live(&medium);
        medium.crash(volatile::Crash::Torn(at as u64));
        for step in 0..12 {
            medium.fail_at(medium.operations() + step, true);
            let _ = folder::Folder::open(medium.clone(), &model::owner());
            medium.crash(volatile::Crash::Torn(step as u64));
        }
        check(&medium, &allowed, &format!("opening after operation {at}"));
    }
}

/// Guards against a full disk or failed sync that is forgotten by the next
/// write, which would be acknowledged after a gap.
#[test]
fn a_failed_write_ends_all_writes() {
    for at in 0..operations() {
        let medium = volatile::Volatile::default();
        medium.fail_at(at, false);
        let (allowed, succeeded) = live(&medium);
        assert!(!succeeded, "operation {at} failed unnoticed");
        medium.crash(volatile::Crash::Lost);
        check(&medium, &allowed, &format!("one failure at {at}"));
    }
}

/// Guards against entries lost where one segment ends and the next starts, and
/// against a snapshot that removes segments that it does not cover.
#[test]
fn a_log_of_several_segments_is_read_back() {
    let medium = volatile::Volatile::default();
    let mut expected = model::Stored::default();
    let mut writes: Vec<_> = (1..=12).map(large).collect();
    writes.extend([model::snapshot(1, 9), model::snapshot(1, 12)]);
    for write in writes {
        let (mut folder, found) = open(&medium, "several segments");
        assert!(found == expected, "the entries differ");
        model::persist(&mut folder, &mut expected, &[write]);
        let left = match (found.last().index.0, found.snapshot.position.index.0) {
            (11, 0) => [1, 2, 3, 4].as_slice(),
            (12, 0) => &[3, 4, 5],
            (12, 9) => &[6],
            _ => continue,
        };
        assert_eq!(segments(&medium), left);
        drop(folder);
        medium.crash(volatile::Crash::Lost);
    }
    let (_, found) = open(&medium, "several segments");
    assert!(found == expected, "the entries differ");
}

fn segments(medium: &volatile::Volatile) -> Vec<u64> {
    let names = medium.list().expect("the medium works");
    let numbers = names.iter().filter_map(|name| name.strip_prefix("log-"));
    let numbers = numbers.map(|number| u64::from_str_radix(number, 16).expect("a number"));
    numbers.collect()
}

fn large(index: u64) -> model::Write {
    let payload = Bytes::from(vec![index as u8; 2 * 1024 * 1024]);
    let entry = entry::Entry {
        position: position::Position::new(1, index),
        content: entry::Content::Payload(payload),
    };
    effect::Persist::Entries {
        after: position::Index(index - 1),
        entries: vec![entry],
    }
}
