//! Damaged files: what is torn is cut off, anything else is refused.

use sequoiayoke_storage::folder;
use sequoiayoke_storage::medium::Medium;

use crate::{model, volatile};

const LOG: &str = "log-0000000000000001";

/// Bytes of the mark that follows each record, without which it counts too.
const MARK: usize = 14;

/// Makes a directory with a few records, and returns the length of the log and
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

/// Returns the state, or why the directory is refused.
fn open(medium: &volatile::Volatile) -> Result<model::Stored, String> {
    folder::Folder::open(medium.clone(), &model::owner())
        .map(|(_, stored)| stored)
        .map_err(|report| report.to_string())
}

/// Makes a directory that has lived the whole of `model::life`.
fn live() -> volatile::Volatile {
    let medium = volatile::Volatile::default();
    let (mut folder, _) =
        folder::Folder::open(medium.clone(), &model::owner()).expect("a new directory");
    for writes in model::life() {
        folder.persist(&writes).expect("the medium works");
    }
    medium
}

/// Guards against a torn tail that stops the replica, or that takes records
/// before it along.
#[test]
fn a_log_cut_off_at_any_offset_keeps_the_whole_records() {
    let (medium, states) = prepare();
    let content = medium.read(LOG).expect("the log exists");
    for length in states[0].0..content.len() {
        medium.edit(LOG, |bytes| *bytes = content[..length].to_vec());
        let found = open(&medium).unwrap_or_else(|fault| panic!("cut at {length}: {fault}"));
        let whole = states.iter().rev().find(|(end, _)| end - MARK <= length);
        let (_, expected) = whole.expect("the head is whole");
        assert_eq!(found, *expected, "cut at {length}");
        let again = open(&medium).expect("the tail was cut off");
        assert_eq!(again, *expected, "cut at {length}, opened again");
    }
}

/// Guards against a flipped bit that is read as data, or that silently takes
/// acknowledged records along: the record of the bit must be named.
#[test]
fn a_flipped_bit_is_refused_wherever_it_is() {
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
                // Only the mark after the last record holds nothing.
                Ok(found) => {
                    assert!(offset >= end - MARK, "{context} was ignored");
                    assert_eq!(found, *expected, "{context}");
                }
                Err(text) => {
                    let starts = states.iter().map(|(start, _)| *start);
                    let start = starts.chain([0]).filter(|start| *start <= offset).max();
                    let start = start.expect("zero is before any offset");
                    let named = (start..=offset)
                        .any(|o| text.starts_with(&format!("{LOG} is damaged at offset {o}:")));
                    assert!(named, "{context}: {text}");
                }
            }
        }
    }
}

/// Guards against an unclear message.
#[test]
fn a_damaged_record_is_named_by_file_and_offset() {
    let (medium, states) = prepare();
    let start = states[1].0;
    medium.edit(LOG, |bytes| bytes[start + 20] ^= 1);
    let expected = format!("{LOG} is damaged at offset {start}: the checksum differs");
    assert_eq!(open(&medium), Err(expected));
}

/// Guards against garbage after the last record that is taken for data, and
/// against zeros that a file system leaves after a power failure.
#[test]
fn bytes_after_the_last_record_are_cut_off() {
    let (medium, states) = prepare();
    let (_, expected) = &states[states.len() - 1];
    for garbage in [vec![0; 4096], b"SYR\x01".to_vec(), vec![0xff; 100]] {
        medium.edit(LOG, |bytes| bytes.extend_from_slice(&garbage));
        assert_eq!(open(&medium).expect("a torn tail"), *expected);
    }
}

/// Guards against a missing file that is taken for an empty one.
#[test]
fn a_missing_file_is_refused() {
    for missing in ["log-", "snapshot-"] {
        let medium = live();
        let names = medium.list().expect("the medium works");
        for name in names.iter().filter(|name| name.starts_with(missing)) {
            medium.remove(name).expect("the medium works");
        }
        open(&medium).expect_err("a part of the state is missing");
    }
}

/// Guards against a damaged snapshot or identity that is read as data.
#[test]
fn a_flipped_bit_in_other_files_is_refused() {
    let medium = live();
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
