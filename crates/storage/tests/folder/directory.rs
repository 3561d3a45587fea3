//! Directories on a real disk: owners, copies, locks.

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

/// Returns why the directory is refused.
fn refusal(path: &Path, owner: &identity::Owner) -> String {
    let result = folder::Folder::open_path(path, owner);
    let report = result.expect_err("the directory must be refused");
    let place = path.display().to_string();
    assert!(
        format!("{report:?}").contains(&place),
        "no path in {report:?}"
    );
    report.to_string()
}

/// Guards against a write that does not reach the disk, and a restart that
/// does not find it.
#[test]
fn a_whole_life_is_read_back_from_disk() {
    let parent = tempfile::tempdir().expect("a temporary directory");
    let path = parent.path().join("data");
    let mut expected = model::Stored::default();
    for writes in model::life() {
        let (mut folder, found) = open(&path);
        assert_eq!(found, expected);
        model::persist(&mut folder, &mut expected, &writes);
    }
    let (_, found) = open(&path);
    assert_eq!(found, expected);
}

/// Guards against two replicas that vote under one identity.
#[test]
fn a_foreign_or_copied_directory_is_refused() {
    let parent = tempfile::tempdir().expect("a temporary directory");
    let path = parent.path().join("data");
    open(&path);
    let other = identity::Owner::new("control-2", "north");
    let foreign = "the data directory belongs to replica control-1 of region north, \
                   not to control-2 of region north";
    assert_eq!(refusal(&path, &other), foreign);
    let region = identity::Owner::new("control-1", "south");
    assert!(refusal(&path, &region).ends_with("not to control-1 of region south"));
    let twin = parent.path().join("copy");
    copy(&path, &twin);
    assert_eq!(refusal(&twin, &other), foreign);
    assert!(refusal(&twin, &model::owner()).starts_with("the data directory is a copy"));
    // A directory that was only moved is still the same one.
    let moved = parent.path().join("moved");
    fs::rename(&path, &moved).expect("a rename on one file system");
    open(&moved);
}

/// Guards against a replica whose disk was lost that goes on under its old
/// identity.
#[test]
fn a_lost_disk_comes_back_with_a_new_identity() {
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

/// Guards against a part of a lost directory, or another program's directory,
/// that is taken for an empty one.
#[test]
fn a_directory_with_other_files_is_refused() {
    let parent = tempfile::tempdir().expect("a temporary directory");
    let path = parent.path().join("data");
    let (mut folder, _) = open(&path);
    folder
        .persist(&[model::hard(3, Some(1))])
        .expect("the disk works");
    drop(folder);
    fs::remove_file(path.join("identity")).expect("the identity exists");
    assert!(refusal(&path, &model::owner()).contains("has no identity file"));
    let other = parent.path().join("other");
    fs::create_dir(&other).expect("a new directory");
    fs::write(other.join("notes.txt"), "notes").expect("the disk works");
    assert!(refusal(&other, &model::owner()).contains("has no identity file"));
}

/// Guards against two processes that write one directory.
#[test]
fn a_directory_in_use_is_refused() {
    let parent = tempfile::tempdir().expect("a temporary directory");
    let path = parent.path().join("data");
    let (folder, _) = open(&path);
    assert!(refusal(&path, &model::owner()).starts_with("another process"));
    drop(folder);
    open(&path);
}
