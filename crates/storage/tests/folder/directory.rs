//! Data directories on a real disk: owners, copies and locks.

use std::fs;
use std::path::Path;

use sequoiayoke_storage::{folder, identity, medium};

use crate::model;

fn open(path: &Path) -> (folder::Folder<medium::Disk>, model::Stored) {
    folder::Folder::open_path(path, &model::owner()).expect("the directory opens")
}

fn copy(from: &Path, to: &Path) {
    fs::create_dir(to).expect("a new directory");
    for entry in fs::read_dir(from).expect("the directory exists") {
        let entry = entry.expect("the directory is readable");
        fs::copy(entry.path(), to.join(entry.file_name())).expect("the file is readable");
    }
}

/// Returns the text of the error from opening the directory.
fn open_error(path: &Path, owner: &identity::Owner) -> String {
    let result = folder::Folder::open_path(path, owner);
    let report = result.expect_err("the directory cannot be opened");
    let path_text = path.display().to_string();
    assert!(
        format!("{report:?}").contains(&path_text),
        "no path in {report:?}"
    );
    report.to_string()
}

/// Guards against a write that does not reach the disk, or that is not read
/// back after a restart.
#[test]
fn all_writes_are_read_back_after_each_restart() {
    let parent = tempfile::tempdir().expect("a temporary directory");
    let path = parent.path().join("data");
    let mut expected = model::Stored::default();
    for writes in model::workload() {
        let (mut folder, found) = open(&path);
        assert_eq!(found, expected);
        model::persist(&mut folder, &mut expected, &writes);
    }
    let (_, found) = open(&path);
    assert_eq!(found, expected);
}

/// Guards against two replicas that vote under the same identity.
#[test]
fn a_foreign_or_copied_directory_cannot_be_opened() {
    let parent = tempfile::tempdir().expect("a temporary directory");
    let path = parent.path().join("data");
    open(&path);
    let other_owner = identity::Owner::new("control-2", "north");
    let foreign = "the data directory belongs to replica control-1 of region north, \
                   not to control-2 of region north";
    assert_eq!(open_error(&path, &other_owner), foreign);
    let other_region = identity::Owner::new("control-1", "south");
    assert!(open_error(&path, &other_region).ends_with("not to control-1 of region south"));
    let copied = parent.path().join("copy");
    copy(&path, &copied);
    assert_eq!(open_error(&copied, &other_owner), foreign);
    assert!(open_error(&copied, &model::owner()).starts_with("the data directory is a copy"));
    // A rename keeps the inode numbers, so a renamed directory is not a copy.
    let moved = parent.path().join("moved");
    fs::rename(&path, &moved).expect("a rename on one file system");
    open(&moved);
}

/// Guards against a replica that continues under its old identity after it lost its
/// disk, and with it its vote.
#[test]
fn a_replica_that_lost_its_disk_gets_a_new_identity() {
    let parent = tempfile::tempdir().expect("a temporary directory");
    let path = parent.path().join("data");
    let (mut folder, _) = open(&path);
    let id = folder.id();
    folder
        .persist(&[model::hard(3, Some(1))])
        .expect("the disk works");
    drop(folder);
    fs::remove_dir_all(&path).expect("the directory is lost");
    let (folder, found) = open(&path);
    assert!(folder.is_new());
    assert_ne!(folder.id(), id);
    assert_eq!(found, model::Stored::default());
}

/// Guards against the rest of a lost directory, or the directory of another program,
/// that is treated as an empty one.
#[test]
fn a_directory_with_other_files_cannot_be_opened() {
    let parent = tempfile::tempdir().expect("a temporary directory");
    let path = parent.path().join("data");
    let (mut folder, _) = open(&path);
    folder
        .persist(&[model::hard(3, Some(1))])
        .expect("the disk works");
    drop(folder);
    fs::remove_file(path.join("identity")).expect("the identity exists");
    assert!(open_error(&path, &model::owner()).contains("has no identity file"));
    let unrelated = parent.path().join("other");
    fs::create_dir(&unrelated).expect("a new directory");
    fs::write(unrelated.join("notes.txt"), "notes").expect("the disk works");
    assert!(open_error(&unrelated, &model::owner()).contains("has no identity file"));
}

/// Guards against two processes that write to the same directory.
#[test]
fn a_directory_in_use_cannot_be_opened() {
    let parent = tempfile::tempdir().expect("a temporary directory");
    let path = parent.path().join("data");
    let (folder, _) = open(&path);
    assert!(open_error(&path, &model::owner()).starts_with("another process"));
    drop(folder);
    open(&path);
}
