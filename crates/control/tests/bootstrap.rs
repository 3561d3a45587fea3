//! Bootstrap of a group of replicas, and recovery of a replica that lost its disk.

use sequoiayoke_control::coordinator::bootstrap;
use sequoiayoke_model::id;
use sequoiayoke_wire::replica;

const REGION: &str = "anatolia";

fn open(directory: &std::path::Path, name: &str, id: u64) -> bootstrap::Bootstrap {
    let configured = ["a", "b", "c"].map(str::to_owned).to_vec();
    bootstrap::Bootstrap::open(directory, name, id::Replica(id), configured).expect("it opens")
}

fn hello(name: &str, id: u64) -> replica::Hello {
    replica::Hello {
        region: REGION.to_owned(),
        name: name.to_owned(),
        id,
        is_stopping: false,
        members: Vec::new(),
    }
}

fn formed(directory: &std::path::Path) -> bootstrap::Bootstrap {
    let mut a = open(directory, "a", 1);
    a.receive_hello(&hello("b", 2)).expect("it is stored");
    a.receive_hello(&hello("c", 3)).expect("it is stored");
    a
}

/// Guards against a group that forms before each configured replica has announced itself: two
/// halves could then form a group each.
#[test]
fn a_group_forms_only_when_every_replica_has_announced_itself() {
    let directory = tempfile::tempdir().expect("a directory");
    let mut a = open(directory.path(), "a", 1);
    a.receive_hello(&hello("b", 2)).expect("it is stored");
    assert_eq!(a.next_step().expect("a next step"), bootstrap::Step::Wait);
    a.receive_hello(&hello("c", 3)).expect("it is stored");
    let voters = [1, 2, 3].map(id::Replica).to_vec();
    assert_eq!(
        a.next_step().expect("a next step"),
        bootstrap::Step::Vote(voters)
    );
}

/// Guards against a replica that loses the members of its group at a restart and forms a
/// second group.
#[test]
fn a_formed_group_survives_a_restart() {
    let directory = tempfile::tempdir().expect("a directory");
    drop(formed(directory.path()));
    let mut restarted = open(directory.path(), "a", 1);
    let voters = [1, 2, 3].map(id::Replica).to_vec();
    assert_eq!(
        restarted.next_step().expect("a next step"),
        bootstrap::Step::Vote(voters)
    );
}

/// Guards against a replica that lost its disk and votes as its former identity.
#[test]
fn a_replica_with_a_new_identity_only_learns() {
    let directories = [(); 2].map(|()| tempfile::tempdir().expect("a directory"));
    let a = formed(directories[0].path());
    let mut c = open(directories[1].path(), "c", 33);
    c.receive_hello(&a.to_hello(REGION)).expect("it is stored");
    assert_eq!(c.next_step().expect("a next step"), bootstrap::Step::Learn);
    assert_eq!(
        c.name_of(id::Replica(3)),
        Some("c"),
        "the former identity is known by name"
    );
}

/// Guards against a replica that knows a formed group and forms another one when it
/// discovers the last replica without a group.
#[test]
fn a_formed_group_is_not_formed_again() {
    let directories = [(); 2].map(|()| tempfile::tempdir().expect("a directory"));
    let a = formed(directories[0].path());
    let mut b = open(directories[1].path(), "b", 2);
    b.receive_hello(&a.to_hello(REGION)).expect("it is stored");
    b.receive_hello(&hello("c", 33)).expect("it is stored");
    let voters = [1, 2, 3].map(id::Replica).to_vec();
    assert_eq!(
        b.next_step().expect("a next step"),
        bootstrap::Step::Vote(voters)
    );
}
