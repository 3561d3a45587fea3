//! Tests of the state machine: orders, backend servers and owners of slices.

use sequoiayoke_catalog::{config, machine, server, slice};
use sequoiayoke_model::{id, replicated::Replicated};

fn order(base: u64, version: u64, digest: u64) -> machine::Order {
    machine::Order {
        base: config::Version(base),
        config: config::Config {
            version: config::Version(version),
            services: vec![config::Service {
                name: "status".to_owned(),
                health_path: "/health".to_owned(),
                max_connections: 10,
                is_keyed: true,
                warm_up_ms: 1_000,
                cold_start: None,
            }],
            routes: vec![config::Route {
                name: "r".to_owned(),
                host: "h".to_owned(),
                prefix: "/a/".to_owned(),
                kind: config::Kind::Idempotent,
                timeout_ms: 1_000,
                target_ms: 100,
                priority: 1,
                max_attempts: 2,
                shares: vec![config::Share {
                    service: "status".to_owned(),
                    weight: 1.0,
                }],
            }],
            ..config::Config::default()
        },
        document: digest.to_string().into_bytes(),
        digest,
    }
}

fn announcement(name: &str, born_ms: u64, port: u16) -> server::Announcement {
    server::Announcement {
        instance: server::Instance {
            name: name.to_owned(),
            born_ms,
        },
        service: "status".to_owned(),
        address: ([127, 0, 0, 1], port).into(),
        node: ([127, 0, 0, 1], port + 1_000).into(),
        domain: "a".to_owned(),
        slots: 4,
        is_draining: false,
    }
}

fn join(
    machine: &mut machine::Machine,
    index: u64,
    announcement: server::Announcement,
) -> id::Server {
    match machine.apply(index, &machine::Command::Join(announcement)) {
        machine::Output::Joined(id) => id,
        output => panic!("the backend server did not join: {output:?}"),
    }
}

fn assign_all_vacant(to: id::Server) -> slice::Move {
    slice::Move {
        service: "status".to_owned(),
        range: slice::Range::ALL,
        expected: slice::Fence(0),
        from: None,
        to,
        handover: None,
    }
}

/// Guards against accepting two orders that are based on the same version.
#[test]
fn only_the_first_of_two_orders_on_the_same_base_is_accepted() {
    let mut machine = machine::Machine::new();
    let first = machine.apply(1, &machine::Command::Configure(order(0, 3, 30)));
    assert_eq!(first, machine::Output::Configured);
    let second = machine.apply(2, &machine::Command::Configure(order(0, 5, 50)));
    assert!(matches!(
        second,
        machine::Output::Refused(machine::Refusal::Conflict { .. })
    ));
    assert_eq!(machine.version(), config::Version(3));
}

/// Guards against refusing the retry of an accepted order whose response was lost,
/// also when later orders were accepted in the meantime.
#[test]
fn a_retried_order_is_accepted_again() {
    let mut machine = machine::Machine::new();
    machine.apply(1, &machine::Command::Configure(order(0, 3, 30)));
    machine.apply(2, &machine::Command::Configure(order(3, 7, 70)));
    let retried = machine.apply(3, &machine::Command::Configure(order(0, 3, 30)));
    assert_eq!(retried, machine::Output::Configured);
    assert_eq!(machine.version(), config::Version(7));
}

/// Guards against accepting different content under the current version.
#[test]
fn the_current_version_is_refused_for_other_content() {
    let mut machine = machine::Machine::new();
    machine.apply(1, &machine::Command::Configure(order(0, 3, 30)));
    let reused = machine.apply(2, &machine::Command::Configure(order(3, 3, 31)));
    assert!(matches!(reused, machine::Output::Refused(_)));
}

/// Guards against accepting an invalid configuration.
#[test]
fn invalid_configurations_are_refused() {
    let machine = machine::Machine::new();
    let edits: [fn(&mut config::Config); 6] = [
        |config| config.routes[0].timeout_ms = 0,
        |config| config.routes[0].timeout_ms = 600_001,
        |config| config.routes[0].shares[0].weight = -1.0,
        |config| config.routes[0].shares[0].service = "unknown".to_owned(),
        |config| config.routes[0].prefix = "a".to_owned(),
        |config| config.routes.push(config.routes[0].clone()),
    ];
    for (number, edit) in edits.into_iter().enumerate() {
        let mut order = order(0, 3, 30);
        edit(&mut order.config);
        let result = machine.check(&order);
        assert!(
            matches!(result, Err(machine::Refusal::Invalid(_))),
            "edit {number}: {result:?}"
        );
    }
}

/// Guards against a second owner of the keys of an earlier instance at an address: its node may have
/// renewed grants since that one ended, and the later instance has taken them.
#[test]
fn a_later_instance_at_an_address_owns_the_keys_of_the_earlier_one_under_a_new_fence() {
    let mut machine = machine::Machine::new();
    machine.apply(1, &machine::Command::Configure(order(0, 3, 30)));
    let earlier = join(&mut machine, 2, announcement("i-1", 10, 1));
    machine.apply(
        3,
        &machine::Command::Assign(vec![assign_all_vacant(earlier)]),
    );
    let later = join(&mut machine, 4, announcement("i-2", 20, 1));
    assert_ne!(earlier, later);
    let expected = slice::Slice {
        range: slice::Range::ALL,
        fence: slice::Fence(4),
        owner: Some(later),
        handover: None,
    };
    assert_eq!(machine.tables()["status"].slices(), [expected]);
    assert!(!machine.servers().contains_key(&earlier));
}

/// Guards against keys that stay with an instance that has ended: a backend server of another service
/// at its address holds none of them.
#[test]
fn an_instance_of_another_service_at_an_address_vacates_the_keys_of_the_earlier_one() {
    let mut machine = machine::Machine::new();
    machine.apply(1, &machine::Command::Configure(order(0, 3, 30)));
    let earlier = join(&mut machine, 2, announcement("i-1", 10, 1));
    machine.apply(
        3,
        &machine::Command::Assign(vec![assign_all_vacant(earlier)]),
    );
    let other = server::Announcement {
        service: "refunds".to_owned(),
        ..announcement("i-2", 20, 1)
    };
    join(&mut machine, 4, other);
    assert_eq!(machine.tables()["status"].find(9).owner, None);
}

/// Guards against a delayed announcement of an instance that has ended.
#[test]
fn an_earlier_instance_does_not_replace_a_later_one() {
    let mut machine = machine::Machine::new();
    join(&mut machine, 1, announcement("i-2", 20, 1));
    let late = machine.apply(2, &machine::Command::Join(announcement("i-1", 10, 1)));
    assert_eq!(late, machine::Output::Refused(machine::Refusal::Outdated));
}

/// Guards against a backend server that restarts under the same name and keeps its grants although
/// it has lost their state: it needs new ones, and no handover value of an earlier owner is valid.
#[test]
fn a_restarted_instance_with_the_same_name_needs_new_grants() {
    let mut machine = machine::Machine::new();
    machine.apply(1, &machine::Command::Configure(order(0, 3, 30)));
    let first = join(&mut machine, 2, announcement("i-1", 10, 1));
    let assigned = slice::Move {
        handover: Some("value".to_owned()),
        ..assign_all_vacant(first)
    };
    machine.apply(3, &machine::Command::Assign(vec![assigned]));
    let second = join(&mut machine, 4, announcement("i-1", 11, 1));
    assert_ne!(first, second);
    let slice = machine.tables()["status"].find(0);
    assert_eq!((slice.owner, slice.fence), (Some(second), slice::Fence(4)));
    assert_eq!(slice.handover, None);
}

/// Guards against two owners of a key: a move that was planned on an outdated grant
/// must have no effect.
#[test]
fn a_move_requires_the_current_grant() {
    let mut machine = machine::Machine::new();
    machine.apply(1, &machine::Command::Configure(order(0, 3, 30)));
    let first_server = join(&mut machine, 2, announcement("i-1", 10, 1));
    let second_server = join(&mut machine, 3, announcement("i-2", 10, 2));
    machine.apply(
        4,
        &machine::Command::Assign(vec![assign_all_vacant(first_server)]),
    );
    let stale = machine.apply(
        5,
        &machine::Command::Assign(vec![assign_all_vacant(second_server)]),
    );
    assert_eq!(stale, machine::Output::Assigned(0));
    assert_eq!(machine.tables()["status"].find(0).owner, Some(first_server));
}

/// Guards against gaps or overlaps between slices after a sequence of moves.
#[test]
fn slices_cover_all_keys_after_moves() {
    let mut machine = machine::Machine::new();
    machine.apply(1, &machine::Command::Configure(order(0, 3, 30)));
    let first_server = join(&mut machine, 2, announcement("i-1", 10, 1));
    let second_server = join(&mut machine, 3, announcement("i-2", 10, 2));
    machine.apply(
        4,
        &machine::Command::Assign(vec![assign_all_vacant(first_server)]),
    );
    let ranges = [(0, 9), (100, 199), (65_000, 65_535), (150, 150)];
    for (index, (first, last)) in (5..).zip(ranges) {
        let slice = machine.tables()["status"].find(first).clone();
        let to = if slice.owner == Some(first_server) {
            second_server
        } else {
            first_server
        };
        let change = slice::Move {
            service: "status".to_owned(),
            range: slice::Range::new(first, last),
            expected: slice.fence,
            from: slice.owner,
            to,
            handover: Some("value".to_owned()),
        };
        let output = machine.apply(index, &machine::Command::Assign(vec![change]));
        assert_eq!(output, machine::Output::Assigned(1));
    }
    let mut next = 0;
    for slice in machine.tables()["status"].slices() {
        assert_eq!(u32::from(slice.range.first), next);
        next = u32::from(slice.range.last) + 1;
    }
    assert_eq!(next, 65_536);
}

/// Guards against replicas that diverge because a snapshot omits part of the state.
#[test]
fn a_snapshot_contains_the_whole_state() {
    let mut machine = machine::Machine::new();
    machine.apply(1, &machine::Command::Configure(order(0, 3, 30)));
    join(&mut machine, 2, announcement("i-1", 10, 1));
    let bytes = postcard::to_stdvec(&machine.to_snapshot()).expect("the state can be encoded");
    let copy = postcard::from_bytes(&bytes).expect("the state can be decoded");
    assert_eq!(machine::Machine::with_snapshot(copy), machine);
}

/// Guards against an instance that has left and is given keys and requests anew: an announcement from
/// before its leaving arrives late, at a node that has restarted and does not know of it.
#[test]
fn an_instance_that_leaves_does_not_come_back() {
    let ready = announcement("i-1", 10, 1);
    let draining = server::Announcement {
        is_draining: true,
        ..ready.clone()
    };
    let mut machine = machine::Machine::new();
    let id = join(&mut machine, 1, ready.clone());
    join(&mut machine, 2, draining);
    join(&mut machine, 3, ready.clone());
    assert!(machine.servers()[&id].announcement.is_draining);
    let leave = machine::Command::Leave {
        server: id,
        incarnation: machine.servers()[&id].incarnation,
    };
    machine.apply(4, &leave);
    let late = machine.apply(5, &machine::Command::Join(ready.clone()));
    assert_eq!(late, machine::Output::Refused(machine::Refusal::Departed));
    let snapshot = postcard::to_stdvec(&machine.to_snapshot()).expect("it can be encoded");
    let restored = postcard::from_bytes(&snapshot).expect("it can be decoded");
    let mut restored = machine::Machine::with_snapshot(restored);
    assert_eq!(restored, machine);
    let late = restored.apply(6, &machine::Command::Join(ready));
    assert_eq!(late, machine::Output::Refused(machine::Refusal::Departed));
    // A later run under the same name is another instance.
    join(&mut restored, 7, announcement("i-1", 20, 1));
}

/// Guards against a backend server that stays out of use after its node was cut off: it was not
/// leaving when its lease lapsed.
#[test]
fn an_instance_whose_lease_has_lapsed_joins_again() {
    let mut machine = machine::Machine::new();
    let id = join(&mut machine, 1, announcement("i-1", 10, 1));
    let leave = machine::Command::Leave {
        server: id,
        incarnation: machine.servers()[&id].incarnation,
    };
    machine.apply(2, &leave);
    join(&mut machine, 3, announcement("i-1", 10, 1));
}

/// Guards against a replica that cannot read the snapshot of an earlier version, which had no list of
/// instances that have left.
#[test]
fn a_snapshot_without_departed_instances_can_be_read() {
    let mut machine = machine::Machine::new();
    machine.apply(1, &machine::Command::Configure(order(0, 3, 30)));
    join(&mut machine, 2, announcement("i-1", 10, 1));
    let mut snapshot = postcard::to_stdvec(&machine.to_snapshot()).expect("it can be encoded");
    assert_eq!(snapshot.pop(), Some(0), "the length of the empty list");
    let restored = postcard::from_bytes(&snapshot).expect("it can be decoded");
    assert_eq!(machine::Machine::with_snapshot(restored), machine);
}

/// Guards against an evacuation that is lost with a restart, and against an order that fails when
/// it is sent again.
#[test]
fn evacuations_are_idempotent_and_part_of_the_snapshot() {
    let mut machine = machine::Machine::new();
    let evacuate = |domain: &str, is_evacuated| {
        machine::Command::Evacuate(machine::Evacuation {
            domain: domain.to_owned(),
            is_evacuated,
        })
    };
    let orders = [
        ("a", true),
        ("b", true),
        ("a", true),
        ("b", false),
        ("b", false),
    ];
    for (index, (domain, is_evacuated)) in (1..).zip(orders) {
        let output = machine.apply(index, &evacuate(domain, is_evacuated));
        assert_eq!(output, machine::Output::Evacuated);
    }
    let snapshot = postcard::to_stdvec(&machine.to_snapshot()).expect("it can be encoded");
    let restored = postcard::from_bytes(&snapshot).expect("it can be decoded");
    let restored = machine::Machine::with_snapshot(restored);
    assert_eq!(restored.evacuated().iter().collect::<Vec<_>>(), ["a"]);
}

/// Guards against a state that grows without bound by evacuations.
#[test]
fn the_number_of_evacuated_domains_is_bounded() {
    let mut machine = machine::Machine::new();
    let evacuate = |number: usize| {
        machine::Command::Evacuate(machine::Evacuation {
            domain: format!("domain-{number}"),
            is_evacuated: true,
        })
    };
    for number in 0..machine::MAX_EVACUATED {
        machine.apply(1, &evacuate(number));
    }
    let refused = machine::Output::Refused(machine::Refusal::TooManyDomains);
    assert_eq!(machine.apply(2, &evacuate(machine::MAX_EVACUATED)), refused);
    assert_eq!(machine.apply(3, &evacuate(0)), machine::Output::Evacuated);
}
