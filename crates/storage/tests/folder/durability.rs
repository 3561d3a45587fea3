//! Crashes of the process and power failures at each operation of each write.

use bytes::Bytes;
use sequoiayoke_consensus::{effect, entry, position};
use sequoiayoke_storage::medium::Medium;
use sequoiayoke_storage::{fault, folder};

use crate::{model, volatile};

const TORN_SEEDS: u64 = 8;

/// Allowed states of a directory after a crash: the state after all acknowledged
/// writes, and the states after each further write of the call that failed.
type Allowed = Vec<model::Stored>;

/// Persists the writes of `model::workload` until a call fails. Returns the allowed
/// states, and whether all calls succeeded.
fn run_workload(medium: &volatile::Volatile) -> (Allowed, bool) {
    let mut stored = model::Stored::default();
    let Ok((mut folder, _)) = folder::Folder::open(medium.clone(), &model::owner()) else {
        return (vec![stored], false);
    };
    for writes in model::workload() {
        let result = folder.persist(&writes);
        let mut states = vec![stored.clone()];
        for write in &writes {
            stored.apply(write);
            states.push(stored.clone());
        }
        if result.is_err() {
            let report = folder.persist(&writes).expect_err("an earlier call failed");
            assert!(matches!(report.current_context(), fault::Fault::Stopped));
            return (states, false);
        }
    }
    (vec![stored], true)
}

fn operations() -> usize {
    let medium = volatile::Volatile::default();
    assert!(run_workload(&medium).1);
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
    // State that was read is durable, so no later crash may lose it, and the directory
    // must accept writes again.
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

/// Guards against a crash that loses an acknowledged write, leaves a partial write that
/// is read as a complete one, or leaves a directory that cannot be opened.
#[test]
fn acknowledged_writes_survive_a_crash_at_every_operation() {
    let torn = (0..TORN_SEEDS).map(volatile::Crash::Torn);
    let crashes = [volatile::Crash::Lost, volatile::Crash::Kept];
    for crash in crashes.into_iter().chain(torn) {
        for operation in 0..=operations() {
            let medium = volatile::Volatile::default();
            medium.fail_at(operation, true);
            let (allowed, _) = run_workload(&medium);
            medium.crash(crash);
            check(
                &medium,
                &allowed,
                &format!("{crash:?} at operation {operation}"),
            );
        }
    }
}

/// Guards against a crash that loses data while the effects of an earlier one are repaired.
#[test]
fn a_crash_while_opening_loses_nothing() {
    for operation in 0..=operations() {
        let medium = volatile::Volatile::default();
        medium.fail_at(operation, true);
        let (allowed, _) = run_workload(&medium);
        medium.crash(volatile::Crash::Torn(operation as u64));
        for step in 0..12 {
            medium.fail_at(medium.operations() + step, true);
            let _ = folder::Folder::open(medium.clone(), &model::owner());
            medium.crash(volatile::Crash::Torn(step as u64));
        }
        check(
            &medium,
            &allowed,
            &format!("opening after operation {operation}"),
        );
    }
}

/// Guards against a write that is acknowledged after an earlier one failed because of a
/// full disk or a failed sync, which would leave a gap in the log.
#[test]
fn all_writes_after_a_failed_one_fail() {
    for operation in 0..operations() {
        let medium = volatile::Volatile::default();
        medium.fail_at(operation, false);
        let (allowed, succeeded) = run_workload(&medium);
        assert!(!succeeded, "operation {operation} failed unnoticed");
        medium.crash(volatile::Crash::Lost);
        check(
            &medium,
            &allowed,
            &format!("one failure at operation {operation}"),
        );
    }
}

/// Guards against entries that are lost between two segments, and against a snapshot
/// that removes segments with later entries.
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
        let remaining = match (found.last().index.0, found.snapshot.position.index.0) {
            (11, 0) => [1, 2, 3, 4].as_slice(),
            (12, 0) => &[3, 4, 5],
            (12, 9) => &[6],
            _ => continue,
        };
        assert_eq!(segments(&medium), remaining);
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
