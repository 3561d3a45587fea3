//! Directories on a real disk: owners, copies, locks.

use std::fs;
use std::path::Path;

use sequoiayoke_storage::{fault, folder, identity};

use crate::model;

fn copy(from: &Path, to: &Path) {
    fs::create_dir(to).expect("a new directory");
    for entry in fs::read_dir(from).expect("the directory exists") {
        let entry = entry.expect("the directory is readable");
        fs::copy(entry.path(), to.join(entry.file_name())).expect("the file is readable");
    }
}

fn refusal(path: &Path, owner: &identity::Owner) -> fault::Fault {
    let result = folder::Folder::open_path(path, owner);
    let report = result.expect_err("the directory must be refused");
    let text = format!("{report:?}");
    assert!(text.contains("data directory"), "no path in {text}");
    match report.current_context() {
        fault::Fault::Foreign { expected, found } => fault::Fault::Foreign {
            expected: expected.clone(),
            found: found.clone(),
        },
        fault::Fault::Copied { name } => fault::Fault::Copied { name: name.clone() },
        fault::Fault::NotEmpty { file } => fault::Fault::NotEmpty { file: file.clone() },
        fault::Fault::Locked => fault::Fault::Locked,
        other => panic!("unexpected {other}"),
    }
}

/// Guards against a write that does not reach the disk, and a restart that
/// does not find it.
#[test]
fn a_whole_life_is_read_back_from_disk() {
    let parent = tempfile::tempdir().expect("a temporary directory");
    let path = parent.path().join("data");
    let mut expected = model::Stored::default();
    for writes in model::life() {
        let (mut folder, found) =
            folder::Folder::open_path(&path, &model::owner()).expect("the directory opens");
        assert_eq!(found, expected);
        folder.persist(&writes).expect("the disk works");
        for write in &writes {
            model::apply(&mut expected, write);
        }
    }
    let (_, found) = folder::Folder::open_path(&path, &model::owner()).expect("it opens");
    assert_eq!(found, expected);
}

/// Guards against two replicas that vote under one identity.
#[test]
fn a_foreign_or_copied_directory_is_refused() {
    let parent = tempfile::tempdir().expect("a temporary directory");
    let path = parent.path().join("data");
    let (folder, _) = folder::Folder::open_path(&path, &model::owner()).expect("a new one");
    drop(folder);
    let other = identity::Owner::new("control-2", "north");
    let message = refusal(&path, &other).to_string();
    assert_eq!(
        message,
        "the data directory belongs to replica control-1 of region north, \
         not to control-2 of region north"
    );
    let region = identity::Owner::new("control-1", "south");
    assert!(matches!(
        refusal(&path, &region),
        fault::Fault::Foreign { .. }
    ));
    let twin = parent.path().join("copy");
    copy(&path, &twin);
    assert!(matches!(
        refusal(&twin, &other),
        fault::Fault::Foreign { .. }
    ));
    assert!(matches!(
        refusal(&twin, &model::owner()),
        fault::Fault::Copied { .. }
    ));
    // A directory that was only moved is still the same one.
    let moved = parent.path().join("moved");
    fs::rename(&path, &moved).expect("a rename on one file system");
    folder::Folder::open_path(&moved, &model::owner()).expect("it was only moved");
}

/// Guards against a replica whose disk was lost that goes on under its old
/// identity.
#[test]
fn a_lost_disk_comes_back_with_a_new_identity() {
    let parent = tempfile::tempdir().expect("a temporary directory");
    let path = parent.path().join("data");
    let (mut folder, _) = folder::Folder::open_path(&path, &model::owner()).expect("a new one");
    let id = folder.id();
    folder
        .persist(&[model::hard(3, Some(1))])
        .expect("the disk works");
    drop(folder);
    fs::remove_dir_all(&path).expect("the directory is lost");
    let (folder, found) = folder::Folder::open_path(&path, &model::owner()).expect("a new one");
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
    let (mut folder, _) = folder::Folder::open_path(&path, &model::owner()).expect("a new one");
    folder
        .persist(&[model::hard(3, Some(1))])
        .expect("the disk works");
    drop(folder);
    fs::remove_file(path.join("identity")).expect("the identity exists");
    assert!(matches!(
        refusal(&path, &model::owner()),
        fault::Fault::NotEmpty { .. }
    ));
    let other = parent.path().join("other");
    fs::create_dir(&other).expect("a new directory");
    fs::write(other.join("notes.txt"), "notes").expect("the disk works");
    assert!(matches!(
        refusal(&other, &model::owner()),
        fault::Fault::NotEmpty { .. }
    ));
}

/// Guards against two processes that write one directory.
#[test]
fn a_directory_in_use_is_refused() {
    let parent = tempfile::tempdir().expect("a temporary directory");
    let path = parent.path().join("data");
    let (folder, _) = folder::Folder::open_path(&path, &model::owner()).expect("a new one");
    assert!(matches!(
        refusal(&path, &model::owner()),
        fault::Fault::Locked
    ));
    drop(folder);
    folder::Folder::open_path(&path, &model::owner()).expect("the lock is free again");
}
