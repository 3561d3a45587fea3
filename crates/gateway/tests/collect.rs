//! Backend servers that collect their grants with their announcements, without a network.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sequoiayoke_catalog::{server, slice};
use sequoiayoke_gateway::coordinator::state::{Config, Effect, State};
use sequoiayoke_gateway::holdings;
use sequoiayoke_link::session;
use sequoiayoke_model::{clock, id};

const LEASE: Duration = Duration::from_millis(4_500);
const OWN: id::Server = id::Server(1);
const FENCE: slice::Fence = slice::Fence(5);

fn at(ms: u64) -> clock::Instant {
    clock::Instant::from_micros(1_000_000 + ms * 1_000)
}

fn announcement() -> server::Announcement {
    server::Announcement {
        instance: server::Instance {
            name: "i-1".to_owned(),
            born_ms: 10,
        },
        service: "status".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        node: ([127, 0, 0, 1], 2).into(),
        domain: "a".to_owned(),
        slots: 4,
        is_draining: false,
    }
}

/// Returns a state in which the backend server owns these ranges, with these fences.
fn owned(index: u64, slices: &[(u16, u16, u64)]) -> session::State {
    let mut table = slice::Table::new();
    for (first, last, fence) in slices {
        table.replace(slice::Slice {
            range: slice::Range::new(*first, *last),
            fence: slice::Fence(*fence),
            owner: Some(OWN),
            handover: None,
        });
    }
    session::State {
        index,
        config: None,
        servers: vec![server::Server {
            id: OWN,
            incarnation: id::Incarnation(3),
            announcement: announcement(),
        }],
        tables: BTreeMap::from([("status".to_owned(), table)]),
        evacuated: BTreeSet::new(),
    }
}

fn report(held: &[(u16, u16, u64)], released: &[(u16, u16, &str)]) -> holdings::Report {
    let held = held.iter().map(|(first, last, fence)| holdings::Holding {
        range: slice::Range::new(*first, *last),
        fence: slice::Fence(*fence),
    });
    let released = released
        .iter()
        .map(|(first, last, handover)| holdings::Released {
            range: slice::Range::new(*first, *last),
            handover: Some((*handover).to_owned()),
        });
    holdings::Report {
        held: held.collect(),
        released: released.collect(),
    }
}

/// Announces the backend server with this sequence number; returns the keys of the response.
fn announce(
    state: &mut State,
    ms: u64,
    sequence: u64,
    report: &holdings::Report,
) -> Option<holdings::Assignment> {
    let announced = announcement();
    let instance = announced.instance.clone();
    assert!(state.record_announcement(at(ms), announced, sequence));
    let may_assign = state.record_report(at(ms), &instance, sequence, report);
    may_assign.then(|| state.assign(at(ms), at(ms))).flatten()
}

fn renewals(state: &mut State) -> Vec<session::Renewal> {
    let effects = state.take_effects().into_iter();
    let renewals = effects.filter_map(|effect| match effect {
        Effect::Renew(renewal) => Some(renewal),
        _ => None,
    });
    renewals.collect()
}

fn renew(state: &mut State, ms: u64) {
    let sequence = renewals(state).last().expect("a renewal").sequence;
    state.record_renewed(at(ms), sequence, OWN);
}

fn unassigned() -> State {
    State::new(Config {
        domain: "a".to_owned(),
        service: "status".to_owned(),
        lease: LEASE,
        backend: ([127, 0, 0, 1], 1).into(),
        max_hold: Duration::from_secs(10),
        started_ms: 0,
    })
}

/// Returns a node whose backend server holds all keys since its second announcement.
fn owner() -> State {
    let mut state = unassigned();
    assert_eq!(announce(&mut state, 0, 1, &report(&[], &[])), None);
    state.apply_state(at(0), owned(5, &[(0, 65_535, 5)]));
    renew(&mut state, 1);
    let first = announce(&mut state, 10, 2, &report(&[], &[]));
    assert_eq!(first.expect("the node has a lease").grants.len(), 1);
    let second = announce(&mut state, 20, 3, &report(&[(0, 65_535, 5)], &[]));
    assert!(second.is_some());
    state
}

fn ranges(assignment: &holdings::Assignment) -> Vec<(u16, u16)> {
    let grants = assignment.grants.iter();
    let mut ranges: Vec<_> = grants
        .map(|grant| (grant.range.first, grant.range.last))
        .collect();
    ranges.sort_unstable();
    ranges
}

fn reported(state: &mut State, ms: u64) -> Vec<session::Released> {
    state.tick(at(ms));
    let last = renewals(state).pop();
    last.map_or_else(Vec::new, |renewal| renewal.released)
}

/// Guards against a node that does not know what its backend server is to hold, after its start or
/// without a lease, and tells it to hold nothing.
#[test]
fn a_node_without_a_view_or_a_lease_assigns_nothing_rather_than_no_keys() {
    let mut state = unassigned();
    let held = report(&[(0, 65_535, 5)], &[]);
    assert_eq!(announce(&mut state, 0, 8, &held), None);
    state.apply_state(at(5), owned(5, &[(0, 65_535, 5)]));
    assert_eq!(announce(&mut state, 10, 9, &held), None);
    renew(&mut state, 11);
    let assignment = announce(&mut state, 20, 10, &held).expect("a lease");
    assert_eq!(ranges(&assignment), [(0, 65_535)]);
    assert_eq!(announce(&mut state, 4_400, 11, &held), None);
}

/// Guards against keys that are held after the lease, by a backend server whose clock runs 2 % slow.
#[test]
fn an_assignment_ends_before_the_lease() {
    let mut state = owner();
    let held = report(&[(0, 65_535, 5)], &[]);
    let assignment = announce(&mut state, 1_000, 4, &held).expect("a lease");
    let end = Duration::from_millis(1_000) + assignment.hold.mul_f64(1.02);
    assert!(end < LEASE, "{end:?}");
}

/// Guards against a late announcement that is taken for the present state.
#[test]
fn a_late_announcement_assigns_and_releases_nothing() {
    let mut state = owner();
    let part = slice::Range::new(100, 199);
    state.begin_release(at(30), "status", part, FENCE);
    let held = report(&[(0, 65_535, 5)], &[]);
    let assignment = announce(&mut state, 40, 5, &held).expect("a lease");
    assert_eq!(ranges(&assignment), [(0, 99), (200, 65_535)]);
    assert_eq!(announce(&mut state, 50, 4, &report(&[], &[])), None);
    assert_eq!(reported(&mut state, 51), []);
}

/// Guards against keys that get a new owner while the former one still works on them, and against a
/// lost handover value.
#[test]
fn keys_are_released_once_they_are_no_longer_reported() {
    let mut state = owner();
    let part = slice::Range::new(100, 199);
    state.begin_release(at(30), "status", part, FENCE);
    assert!(state.is_assignment_due());
    let held = report(&[(0, 65_535, 5)], &[]);
    announce(&mut state, 40, 4, &held).expect("a lease");
    assert!(!state.is_assignment_due());
    let working = report(&[(0, 99, 5), (100, 199, 5), (200, 65_535, 5)], &[]);
    announce(&mut state, 140, 5, &working).expect("a lease");
    assert_eq!(reported(&mut state, 141), []);
    let done = report(&[(0, 99, 5), (200, 65_535, 5)], &[(100, 199, "value")]);
    announce(&mut state, 240, 6, &done).expect("a lease");
    let released = reported(&mut state, 241);
    assert_eq!(released.len(), 1);
    assert_eq!((released[0].range, released[0].fence), (part, FENCE));
    assert_eq!(released[0].handover.as_deref(), Some("value"));
}

/// Guards against keys that are taken as released because the response with their grant was lost: it
/// may still arrive.
#[test]
fn keys_of_an_unconfirmed_response_get_a_new_fence_before_their_release() {
    let mut state = unassigned();
    announce(&mut state, 0, 1, &report(&[], &[]));
    state.apply_state(at(0), owned(5, &[(0, 65_535, 5)]));
    renew(&mut state, 1);
    announce(&mut state, 10, 2, &report(&[], &[])).expect("a lease");
    announce(&mut state, 880, 3, &report(&[], &[])).expect("a lease");
    state.begin_release(at(890), "status", slice::Range::new(100, 199), FENCE);
    announce(&mut state, 1_750, 4, &report(&[], &[])).expect("a lease");
    let renewals = renewals(&mut state);
    assert!(renewals.iter().any(|renewal| !renewal.refences.is_empty()));
    assert!(renewals.iter().all(|renewal| renewal.released.is_empty()));
}

/// Guards against keys without an owner at a backend server that has seen a later fence, and silently
/// does not take the grant.
#[test]
fn a_grant_that_is_never_taken_gets_a_new_fence() {
    let mut state = unassigned();
    announce(&mut state, 0, 1, &report(&[], &[]));
    state.apply_state(at(0), owned(5, &[(0, 65_535, 5)]));
    renew(&mut state, 1);
    for sequence in 2..6 {
        announce(&mut state, sequence * 100, sequence, &report(&[], &[])).expect("a lease");
    }
    state.tick(at(600));
    let renewals = renewals(&mut state);
    let refences = renewals.iter().flat_map(|renewal| &renewal.refences);
    assert_eq!(
        refences.map(|refence| refence.fence).collect::<Vec<_>>(),
        [FENCE]
    );
}

/// Guards against requests that are refused for up to one interval between two announcements,
/// although the backend server already has its keys.
#[test]
fn keys_count_as_held_from_the_response_on() {
    let mut state = unassigned();
    announce(&mut state, 0, 1, &report(&[], &[]));
    state.apply_state(at(0), owned(5, &[(0, 65_535, 5)]));
    renew(&mut state, 1);
    announce(&mut state, 10, 2, &report(&[], &[])).expect("a lease");
    let view = state.take_view().expect("the view has changed");
    assert!(view.backend.expect("announced").holds(7, at(11)));
    assert!(view.tables["status"].find(7).owner.is_some());
}

/// Guards against a warm state that is lost when the node restarts between the release and the
/// report of it: the keys go back to the same backend server with their value.
#[test]
fn released_keys_that_no_process_asked_for_are_granted_again_with_their_value() {
    let mut state = unassigned();
    announce(&mut state, 0, 7, &report(&[], &[]));
    state.apply_state(at(0), owned(5, &[(0, 65_535, 5)]));
    renew(&mut state, 1);
    let returned = report(&[], &[(0, 65_535, "value")]);
    let assignment = announce(&mut state, 10, 8, &returned).expect("a lease");
    assert_eq!(assignment.grants[0].handover.as_deref(), Some("value"));
}

/// Guards against the state of an earlier owner that is handed over with keys which another one has
/// owned since.
#[test]
fn keys_that_come_back_from_another_owner_get_no_earlier_value() {
    let mut state = unassigned();
    announce(&mut state, 0, 7, &report(&[], &[]));
    state.apply_state(at(0), owned(5, &[(0, 99, 5)]));
    renew(&mut state, 1);
    let returned = report(&[], &[(200, 299, "value")]);
    announce(&mut state, 10, 8, &returned).expect("a lease");
    state.apply_state(at(20), owned(9, &[(0, 99, 5), (200, 299, 9)]));
    let next = report(&[(0, 99, 5)], &[]);
    let assignment = announce(&mut state, 880, 9, &next).expect("a lease");
    let mut grants = assignment.grants.iter();
    let grant = grants.find(|grant| grant.range.first == 200);
    assert_eq!(grant.expect("it is assigned").handover, None);
}

/// Guards against a new fence for keys whose responses were lost now and then.
#[test]
fn only_responses_in_a_row_that_are_not_taken_lead_to_a_new_fence() {
    let mut state = owner();
    let held = report(&[(0, 65_535, 5)], &[]);
    let lost = report(&[], &[]);
    let mut sequence = 3;
    for _ in 0..4 {
        for reported in [&lost, &lost, &held] {
            sequence += 1;
            announce(&mut state, sequence * 10, sequence, reported).expect("a lease");
        }
    }
    state.tick(at(sequence * 10 + 700));
    let renewals = renewals(&mut state);
    assert!(renewals.iter().all(|renewal| renewal.refences.is_empty()));
}

/// Guards against a response beyond 4 KiB, which the backend server would not read.
#[test]
fn a_response_has_a_bounded_number_of_grants() {
    let mut state = unassigned();
    announce(&mut state, 0, 1, &report(&[], &[]));
    let slices: Vec<_> = (0..200)
        .map(|number| (number * 300, number * 300 + 9, 5))
        .collect();
    state.apply_state(at(0), owned(5, &slices));
    renew(&mut state, 1);
    let first = announce(&mut state, 10, 2, &report(&[], &[])).expect("a lease");
    assert!(first.grants.len() < 100);
    let held = first
        .grants
        .iter()
        .map(|grant| (grant.range.first, grant.range.last, 5));
    let held: Vec<_> = held.collect();
    let second = announce(&mut state, 880, 3, &report(&held, &[])).expect("a lease");
    assert_eq!(ranges(&second), ranges(&first));
}

/// Guards against commands to a backend server that collects its grants: a restarted node asks it which
/// instance it is, and has a lease before its next announcement.
#[test]
fn an_instance_that_a_restarted_node_asks_first_gets_no_commands() {
    let mut state = State::new(Config {
        domain: "a".to_owned(),
        service: "status".to_owned(),
        lease: LEASE,
        backend: ([127, 0, 0, 1], 1).into(),
        max_hold: Duration::from_secs(10),
        started_ms: 1_000,
    });
    let held = report(&[(0, 65_535, 5)], &[]);
    assert_eq!(announce(&mut state, 0, 8, &held), None);
    state.apply_state(at(5), owned(5, &[(0, 65_535, 5)]));
    state.record_identified(at(6), announcement(), Some(true));
    renew(&mut state, 7);
    state.tick(at(8));
    let effects = state.take_effects();
    let is_grant = |effect: &Effect| matches!(effect, Effect::Grant { .. });
    assert!(!effects.iter().any(is_grant), "{effects:?}");
    assert!(announce(&mut state, 20, 9, &held).is_some());
}
