//! How a group of replicas forms, and what a lost disk means.

use sequoiayoke_control::coordinator::formation;
use sequoiayoke_model::id;
use sequoiayoke_wire::replica;

const REGION: &str = "anatolia";

fn open(directory: &std::path::Path, name: &str, id: u64) -> formation::Formation {
    let listed = ["a", "b", "c"].map(str::to_owned).to_vec();
    formation::Formation::open(directory, name, id::Replica(id), listed).expect("it opens")
}

fn hello(name: &str, id: u64) -> replica::Hello {
    replica::Hello {
        region: REGION.to_owned(),
        name: name.to_owned(),
        id,
        members: Vec::new(),
    }
}

fn formed(directory: &std::path::Path) -> formation::Formation {
    let mut a = open(directory, "a", 1);
    a.hello(&hello("b", 2)).expect("it is stored");
    a.hello(&hello("c", 3)).expect("it is stored");
    a
}

/// Guards against a group that forms without having heard of each listed replica: two
/// halves could then form one group each.
#[test]
fn a_group_forms_only_when_all_are_there() {
    let directory = tempfile::tempdir().expect("a directory");
    let mut a = open(directory.path(), "a", 1);
    a.hello(&hello("b", 2)).expect("it is stored");
    assert_eq!(a.step().expect("it can tell"), formation::Step::Wait);
    a.hello(&hello("c", 3)).expect("it is stored");
    let voters = [1, 2, 3].map(id::Replica).to_vec();
    assert_eq!(
        a.step().expect("it can tell"),
        formation::Step::Vote(voters)
    );
}

/// Guards against a replica that forgets its group at a restart and forms another one.
#[test]
fn a_formed_group_survives_a_restart() {
    let directory = tempfile::tempdir().expect("a directory");
    drop(formed(directory.path()));
    let mut again = open(directory.path(), "a", 1);
    let voters = [1, 2, 3].map(id::Replica).to_vec();
    assert_eq!(
        again.step().expect("it can tell"),
        formation::Step::Vote(voters)
    );
}

/// Guards against a replica whose disk was lost voting as its former identity.
#[test]
fn a_replica_with_a_new_identity_only_learns() {
    let directories = [(); 2].map(|()| tempfile::tempdir().expect("a directory"));
    let a = formed(directories[0].path());
    let mut c = open(directories[1].path(), "c", 33);
    c.hello(&a.to_hello(REGION)).expect("it is stored");
    assert_eq!(c.step().expect("it can tell"), formation::Step::Learn);
    assert_eq!(
        c.name_of(id::Replica(3)),
        Some("c"),
        "the former identity is known by name"
    );
}

/// Guards against a replica that heard of a formed group forming another one when it
/// meets the last replica without a group.
#[test]
fn a_formed_group_is_not_formed_again() {
    let directories = [(); 2].map(|()| tempfile::tempdir().expect("a directory"));
    let a = formed(directories[0].path());
    let mut b = open(directories[1].path(), "b", 2);
    b.hello(&a.to_hello(REGION)).expect("it is stored");
    b.hello(&hello("c", 33)).expect("it is stored");
    let voters = [1, 2, 3].map(id::Replica).to_vec();
    assert_eq!(
        b.step().expect("it can tell"),
        formation::Step::Vote(voters)
    );
}
