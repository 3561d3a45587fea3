//! Damaged files: a torn end of the log is truncated, any other damage is an error.

use sequoiayoke_storage::folder;
use sequoiayoke_storage::medium::Medium;

use crate::{model, volatile};

const LOG: &str = "log-0000000000000001";

/// Length of the sync marker after each record. The record is valid without it.
const SYNC_MARKER_BYTES: usize = 14;

/// Creates a directory with a few records, and returns the length of the log and
/// the state after each of them.
fn prepare() -> (volatile::Volatile, Vec<(usize, model::Stored)>) {
    let medium = volatile::Volatile::default();
    let (mut folder, mut stored) =
        folder::Folder::open(medium.clone(), &model::owner()).expect("a new directory");
    let length = || medium.read(LOG).expect("the log exists").len();
    let mut states = vec![(length(), stored.clone())];
    let votes = [model::hard(1, Some(7))];
    let entries = [1..4, 4..5, 5..8].map(|indexes| model::entries(1, indexes));
    for write in votes.into_iter().chain(entries) {
        model::persist(&mut folder, &mut stored, &[write]);
        states.push((length(), stored.clone()));
    }
    (medium, states)
}

/// Opens the directory, and returns its state or the text of the error.
fn open(medium: &volatile::Volatile) -> Result<model::Stored, String> {
    folder::Folder::open(medium.clone(), &model::owner())
        .map(|(_, stored)| stored)
        .map_err(|report| report.to_string())
}

/// Creates a directory with all writes of `model::workload`.
fn run_workload() -> volatile::Volatile {
    let medium = volatile::Volatile::default();
    let (mut folder, _) =
        folder::Folder::open(medium.clone(), &model::owner()).expect("a new directory");
    for writes in model::workload() {
        folder.persist(&writes).expect("the medium works");
    }
    medium
}

/// Guards against an incomplete last record that prevents the replica from starting, or
/// whose removal also removes the records before it.
#[test]
fn a_log_truncated_at_any_offset_keeps_the_complete_records() {
    let (medium, states) = prepare();
    let content = medium.read(LOG).expect("the log exists");
    for length in states[0].0..content.len() {
        medium.edit(LOG, |bytes| *bytes = content[..length].to_vec());
        let found = open(&medium).unwrap_or_else(|fault| panic!("truncated to {length}: {fault}"));
        let last_complete = states
            .iter()
            .rev()
            .find(|(end, _)| end - SYNC_MARKER_BYTES <= length);
        let (_, expected) = last_complete.expect("the header is complete");
        assert_eq!(found, *expected, "truncated to {length}");
        let reopened = open(&medium).expect("the incomplete record was removed");
        assert_eq!(reopened, *expected, "truncated to {length}, reopened");
    }
}

/// Guards against a flipped bit that is read as data, or that silently discards
/// acknowledged records. The error must contain the offset of the record with the bit.
#[test]
fn a_flipped_bit_at_any_offset_of_the_log_is_an_error() {
    let (medium, states) = prepare();
    let content = medium.read(LOG).expect("the log exists");
    let (end, expected) = &states[states.len() - 1];
    for offset in 0..content.len() {
        for bit in 0..8 {
            medium.edit(LOG, |bytes| {
                bytes.clone_from(&content);
                bytes[offset] ^= 1 << bit;
            });
            let context = format!("bit {bit} at {offset}");
            match open(&medium) {
                // Only the sync marker after the last record contains no state.
                Ok(found) => {
                    assert!(offset >= end - SYNC_MARKER_BYTES, "{context} was ignored");
                    assert_eq!(found, *expected, "{context}");
                }
                Err(text) => {
                    let starts = states.iter().map(|(start, _)| *start);
                    let start = starts.chain([0]).filter(|start| *start <= offset).max();
                    let start = start.expect("zero is before any offset");
                    let has_offset = (start..=offset)
                        .any(|o| text.starts_with(&format!("{LOG} is damaged at offset {o}:")));
                    assert!(has_offset, "{context}: {text}");
                }
            }
        }
    }
}

/// Guards against an error that does not show which record is damaged.
#[test]
fn the_error_of_a_damaged_record_contains_its_file_and_offset() {
    let (medium, states) = prepare();
    let start = states[1].0;
    medium.edit(LOG, |bytes| bytes[start + 20] ^= 1);
    let expected = format!("{LOG} is damaged at offset {start}: the checksum differs");
    assert_eq!(open(&medium), Err(expected));
}

/// Guards against garbage after the last record that is read as data or prevents the
/// replica from starting. File systems can leave zeros there after a power failure.
#[test]
fn bytes_after_the_last_record_are_truncated() {
    let (medium, states) = prepare();
    let (_, expected) = &states[states.len() - 1];
    for garbage in [vec![0; 4096], b"SYR\x01".to_vec(), vec![0xff; 100]] {
        medium.edit(LOG, |bytes| bytes.extend_from_slice(&garbage));
        assert_eq!(
            open(&medium).expect("an incomplete record at the end"),
            *expected
        );
    }
}

/// Guards against a missing file that is treated as an empty one.
#[test]
fn a_missing_file_is_an_error() {
    for prefix in ["log-", "snapshot-"] {
        let medium = run_workload();
        let names = medium.list().expect("the medium works");
        for name in names.iter().filter(|name| name.starts_with(prefix)) {
            medium.remove(name).expect("the medium works");
        }
        open(&medium).expect_err("a part of the state is missing");
    }
}

/// Guards against a damaged snapshot or identity that is read as data.
#[test]
fn a_flipped_bit_in_other_files_is_an_error() {
    let medium = run_workload();
    let names = medium.list().expect("the medium works");
    for name in names.iter().filter(|name| !name.starts_with("log-")) {
        let content = medium.read(name).expect("the file exists");
        for offset in 0..content.len() {
            medium.edit(name, |bytes| bytes[offset] ^= 16);
            let text = open(&medium).expect_err("a bit is flipped");
            assert!(text.starts_with(name), "{name} {offset}: {text}");
            medium.edit(name, |bytes| bytes.clone_from(&content));
        }
    }
    open(&medium).expect("the files are as they were");
}
