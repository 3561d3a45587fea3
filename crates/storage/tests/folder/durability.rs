//! Kill points: the process or the power ends at each operation of each write.

use sequoiayoke_storage::medium::Medium;
use sequoiayoke_storage::{fault, folder, identity};

use crate::{model, volatile};

const TORN_SEEDS: u64 = 8;

/// Runs the writes of `model::life` and returns what each call left, up to the
/// first call that failed.
fn live(medium: &volatile::Volatile) -> (model::Stored, Option<Vec<model::Write>>) {
    let mut stored = model::Stored::default();
    let Ok((mut folder, _)) = folder::Folder::open(medium.clone(), &model::owner()) else {
        return (stored, Some(Vec::new()));
    };
    for writes in model::life() {
        if folder.persist(&writes).is_err() {
            let again = folder
                .persist(&writes)
                .expect_err("a failed folder stays closed");
            assert!(matches!(again.current_context(), fault::Fault::Stopped));
            return (stored, Some(writes));
        }
        for write in &writes {
            model::apply(&mut stored, write);
        }
    }
    (stored, None)
}

/// Returns the states in which a crash may leave the directory: all that was
/// acknowledged, and any first part of the call that was not.
fn allowed(acknowledged: &model::Stored, writes: &[model::Write]) -> Vec<model::Stored> {
    let mut states = vec![acknowledged.clone()];
    for write in writes {
        let mut next = states[states.len() - 1].clone();
        model::apply(&mut next, write);
        states.push(next);
    }
    states
}

fn reopen(
    medium: &volatile::Volatile,
    context: &str,
) -> (folder::Folder<volatile::Volatile>, model::Stored) {
    folder::Folder::open(medium.clone(), &model::owner())
        .unwrap_or_else(|report| panic!("{context}: {report:?}"))
}

/// Guards against an acknowledged write that a crash undoes, a half write that
/// is taken for a whole one, and a directory that cannot be opened again.
#[test]
fn acknowledged_writes_survive_a_crash_at_every_operation() {
    let whole = volatile::Volatile::default();
    live(&whole);
    let operations = whole.operations();
    assert!(operations > 40, "the life has only {operations} operations");
    let torn = (0..TORN_SEEDS).map(volatile::Crash::Torn);
    let crashes = [volatile::Crash::Lost, volatile::Crash::Kept];
    for crash in crashes.into_iter().chain(torn) {
        for at in 0..=operations {
            let context = format!("{crash:?} at operation {at} of {operations}");
            let medium = volatile::Volatile::default();
            medium.fail_at(at, false);
            let (acknowledged, failed) = live(&medium);
            medium.crash(crash);
            check(
                &medium,
                &acknowledged,
                &failed.unwrap_or_default(),
                &context,
            );
        }
    }
}

fn check(
    medium: &volatile::Volatile,
    acknowledged: &model::Stored,
    failed: &[model::Write],
    context: &str,
) {
    let (mut folder, found) = reopen(medium, context);
    let allowed = allowed(acknowledged, failed);
    assert!(
        allowed.contains(&found),
        "{context}: found {found:?}, allowed {allowed:?}"
    );
    // What was read back counts as durable, so no later crash may take it.
    let id = folder.id();
    drop(folder);
    medium.crash(volatile::Crash::Lost);
    let again;
    (folder, again) = reopen(medium, context);
    assert_eq!(again, found, "{context}: after a power failure");
    assert_eq!(folder.id(), id, "{context}: identity");
    // The directory must take writes again, and survive another crash.
    let last = found
        .entries
        .last()
        .map_or(found.snapshot.position, |e| e.position);
    let writes = [
        model::hard(9, Some(3)),
        model::entries(9, last.index.0 + 1..last.index.0 + 3),
    ];
    folder.persist(&writes).expect("the medium works again");
    let mut expected = found;
    for write in &writes {
        model::apply(&mut expected, write);
    }
    drop(folder);
    medium.crash(volatile::Crash::Lost);
    let (folder, found) = reopen(medium, context);
    assert_eq!(found, expected, "{context}: after a second crash");
    assert_eq!(folder.id(), id, "{context}: identity");
}

/// Guards against a crash during the repair of an earlier crash.
#[test]
fn a_crash_while_opening_loses_nothing() {
    for at in (0..).take(400) {
        let medium = volatile::Volatile::default();
        medium.fail_at(at, false);
        let (acknowledged, failed) = live(&medium);
        medium.crash(volatile::Crash::Torn(at as u64));
        for step in 0..12 {
            medium.fail_at(medium.operations() + step, false);
            let _ = folder::Folder::open(medium.clone(), &model::owner());
            medium.crash(volatile::Crash::Torn(step as u64));
        }
        let context = format!("operation {at}, then crashes while opening");
        check(
            &medium,
            &acknowledged,
            &failed.clone().unwrap_or_default(),
            &context,
        );
        if failed.is_none() {
            return;
        }
    }
    panic!("the life never completed");
}

/// Guards against a full disk or failed sync that is forgotten by the next
/// write, which would be acknowledged after a gap.
#[test]
fn a_failed_write_ends_all_writes() {
    let whole = volatile::Volatile::default();
    live(&whole);
    for at in 0..whole.operations() {
        let medium = volatile::Volatile::default();
        medium.fail_at(at, true);
        let (acknowledged, failed) = live(&medium);
        let failed = failed.unwrap_or_else(|| panic!("operation {at} failed unnoticed"));
        medium.crash(volatile::Crash::Lost);
        check(
            &medium,
            &acknowledged,
            &failed,
            &format!("one failure at {at}"),
        );
    }
}

/// Guards against entries lost where one segment ends and the next starts.
#[test]
fn a_log_of_several_segments_is_read_back() {
    let medium = volatile::Volatile::default();
    let (mut folder, mut expected) = reopen(&medium, "new");
    for index in 1..=12 {
        let writes = [large(index)];
        folder.persist(&writes).expect("the medium works");
        model::apply(&mut expected, &writes[0]);
    }
    drop(folder);
    assert_eq!(segments(&medium), [1, 2, 3, 4]);
    medium.crash(volatile::Crash::Lost);
    let (mut folder, found) = reopen(&medium, "several segments");
    assert!(found == expected, "the entries differ");
    // A snapshot removes the segments that it covers, and only those.
    for (index, left) in [(9, vec![3, 4, 5]), (12, vec![6])] {
        let writes = [model::snapshot(1, index)];
        folder.persist(&writes).expect("the medium works");
        model::apply(&mut expected, &writes[0]);
        assert_eq!(segments(&medium), left, "after a snapshot at {index}");
        drop(folder);
        medium.crash(volatile::Crash::Lost);
        let found;
        (folder, found) = reopen(&medium, "after a snapshot");
        assert!(
            found == expected,
            "the entries differ after a snapshot at {index}"
        );
        assert_eq!(segments(&medium), left, "reopened after {index}");
    }
}

fn segments(medium: &volatile::Volatile) -> Vec<u64> {
    let names = medium.list().expect("the medium works");
    let numbers = names.iter().filter_map(|name| name.strip_prefix("log-"));
    numbers
        .map(|n| u64::from_str_radix(n, 16).expect("a number"))
        .collect()
}

fn large(index: u64) -> model::Write {
    use sequoiayoke_consensus::{effect, entry, position};
    let payload = bytes::Bytes::from(vec![index as u8; 2 * 1024 * 1024]);
    effect::Persist::Entries {
        after: position::Index(index - 1),
        entries: vec![entry::Entry {
            position: position::Position::new(1, index),
            content: entry::Content::Payload(payload),
        }],
    }
}

/// Guards against an identity that is taken over by another replica.
#[test]
fn an_identity_is_random_and_stays() {
    let (first, second) = (volatile::Volatile::default(), volatile::Volatile::default());
    let (a, _) = reopen(&first, "first");
    let (b, _) = reopen(&second, "second");
    assert_ne!(a.id(), b.id());
    assert!(a.is_new());
    let id = a.id();
    drop(a);
    let (again, _) = reopen(&first, "again");
    assert_eq!(again.id(), id);
    assert!(!again.is_new());
    let other = identity::Owner::new("control-2", "north");
    let report = folder::Folder::open(first, &other).expect_err("it belongs to control-1");
    assert!(matches!(
        report.current_context(),
        fault::Fault::Foreign { .. }
    ));
}
