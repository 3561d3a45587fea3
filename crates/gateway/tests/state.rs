//! Tests of the control state of a node (lease, grants and releases) without a network.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use sequoiayoke_catalog::{config, server, slice};
use sequoiayoke_gateway::coordinator::state::{Config, Effect, State};
use sequoiayoke_link::session;
use sequoiayoke_model::{clock, id};

const LEASE: Duration = Duration::from_secs(7);

fn at(ms: u64) -> clock::Instant {
    clock::Instant::from_micros(1_000_000 + ms * 1_000)
}

fn announcement(name: &str, born_ms: u64) -> server::Announcement {
    server::Announcement {
        instance: server::Instance {
            name: name.to_owned(),
            born_ms,
        },
        service: "status".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        node: ([127, 0, 0, 1], 2).into(),
        domain: "a".to_owned(),
        slots: 4,
        is_draining: false,
    }
}

fn table(slices: &[(u16, u16, u64, u32)]) -> BTreeMap<String, slice::Table> {
    let mut table = slice::Table::new();
    for (first, last, fence, owner) in slices {
        let range = slice::Range::new(*first, *last);
        let current = table.find(*first).clone();
        let change = slice::Move {
            service: "status".to_owned(),
            range,
            expected: current.fence,
            from: current.owner,
            to: id::Server(*owner),
            handover: None,
        };
        assert!(table.assign(&change, slice::Fence(*fence)));
    }
    BTreeMap::from([("status".to_owned(), table)])
}

fn learned(index: u64, slices: &[(u16, u16, u64, u32)]) -> session::State {
    let server = server::Server {
        id: id::Server(1),
        incarnation: id::Incarnation(3),
        announcement: announcement("i-1", 10),
    };
    session::State {
        index,
        config: None,
        servers: vec![server],
        tables: table(slices),
        evacuated: BTreeSet::new(),
    }
}

/// Creates a node whose backend server owns all keys under fence 5 and has a lease that was renewed
/// at `at(0)`.
fn owner() -> State {
    let mut state = State::new(Config {
        domain: "a".to_owned(),
        service: "status".to_owned(),
        lease: LEASE,
        backend: ([127, 0, 0, 1], 1).into(),
        max_hold: Duration::from_secs(10),
        started_ms: 0,
    });
    assert!(state.record_announcement(at(0), announcement("i-1", 10), 1));
    // No earlier process of the node has granted keys: its backend server joins later.
    let before = session::State {
        index: 2,
        ..session::State::default()
    };
    state.apply_state(at(0), before);
    state.apply_state(at(0), learned(5, &[(0, 65_535, 5, 1)]));
    let sequence = last_renewal(&mut state);
    state.record_renewed(at(1), sequence, id::Server(1));
    state
}

fn last_renewal(state: &mut State) -> u64 {
    let effects = state.take_effects();
    let sequence = |effect: &Effect| match effect {
        Effect::Renew(renewal) => Some(renewal.sequence),
        _ => None,
    };
    let newest = effects.iter().rev().find_map(sequence);
    newest.expect("a renewal was sent")
}

fn grants(effects: &[Effect]) -> Vec<(slice::Range, Duration)> {
    let grants = effects.iter().filter_map(|effect| match effect {
        Effect::Grant { range, hold, .. } => Some((*range, *hold)),
        _ => None,
    });
    grants.collect()
}

fn releases(effects: &[Effect]) -> usize {
    let is_release = |effect: &&Effect| matches!(effect, Effect::Release { .. });
    effects.iter().filter(is_release).count()
}

/// Guards against an owner that outlives its lease: no grant may outlast the lease under which it
/// was made, even at a backend server whose clock runs 2 % slow.
#[test]
fn a_grant_ends_before_the_lease() {
    let mut state = owner();
    let granted = grants(&state.take_effects());
    assert_eq!(granted.len(), 1);
    assert!(granted[0].1.mul_f64(1.02) < LEASE);
}

/// Guards against grants by a node whose lease has expired because the control replicas are
/// unreachable.
#[test]
fn an_expired_lease_grants_nothing() {
    let mut state = owner();
    let range = grants(&state.take_effects())[0].0;
    state.record_grant_completed(at(2), range, slice::Fence(5), None);
    state.tick(at(7_100));
    assert_eq!(grants(&state.take_effects()), []);
}

/// Guards against a release that overtakes a grant in flight: the backend server would apply the
/// older grant after the release and hold keys that another server owns.
#[test]
fn a_release_waits_for_a_grant_in_flight() {
    let mut state = owner();
    let range = grants(&state.take_effects())[0].0;
    let part = slice::Range::new(100, 199);
    state.begin_release(at(3), "status", part, slice::Fence(5));
    assert_eq!(releases(&state.take_effects()), 0);
    state.record_grant_completed(at(4), range, slice::Fence(5), None);
    assert_eq!(releases(&state.take_effects()), 1);
}

/// Guards against a grant of keys that are being released.
#[test]
fn keys_that_are_being_released_are_not_granted_again() {
    let mut state = owner();
    let range = grants(&state.take_effects())[0].0;
    state.record_grant_confirmed(range, slice::Fence(5), at(6_600));
    state.record_grant_completed(at(4), range, slice::Fence(5), None);
    let part = slice::Range::new(100, 199);
    state.begin_release(at(5), "status", part, slice::Fence(5));
    state.tick(at(600));
    let sequence = last_renewal(&mut state);
    state.record_renewed(at(3_000), sequence, id::Server(1));
    state.tick(at(3_000));
    for (granted, _) in grants(&state.take_effects()) {
        assert!(!granted.overlaps(part), "{granted:?}");
    }
    let view = state.take_view().expect("the view has changed");
    let backend = view.backend.expect("a backend server is known");
    assert!(!backend.holds(150, at(3_000)));
    assert!(backend.holds(200, at(3_000)));
}

/// Guards against a lost release: each renewal reports it until the view shows another grant.
#[test]
fn a_release_is_reported_until_the_keys_have_a_new_grant() {
    let mut state = owner();
    let range = grants(&state.take_effects())[0].0;
    state.record_grant_completed(at(2), range, slice::Fence(5), None);
    let part = slice::Range::new(100, 199);
    state.begin_release(at(3), "status", part, slice::Fence(5));
    state.record_keys_released(part, slice::Fence(5), Some("value".to_owned()));
    state.tick(at(4));
    let reported = |state: &mut State| {
        let effects = state.take_effects();
        effects.iter().rev().find_map(|effect| match effect {
            Effect::Renew(renewal) => Some(renewal.released.len()),
            _ => None,
        })
    };
    assert_eq!(reported(&mut state), Some(1));
    state.tick(at(700));
    assert_eq!(reported(&mut state), Some(1));
    state.apply_state(at(800), learned(9, &[(0, 65_535, 5, 1), (100, 199, 9, 2)]));
    state.tick(at(1_400));
    assert_eq!(reported(&mut state), Some(0));
}

/// Guards against new work for a backend server whose leaving was acknowledged by a node that had
/// just started and did not know it yet, and against a later run under the same name that gets none.
#[test]
fn an_instance_that_leaves_before_it_is_known_stays_draining() {
    for (born_ms, is_draining) in [(10, true), (2_000, false)] {
        let mut state = State::new(Config {
            domain: "a".to_owned(),
            service: "status".to_owned(),
            lease: LEASE,
            backend: ([127, 0, 0, 1], 1).into(),
            max_hold: Duration::from_secs(10),
            started_ms: 0,
        });
        state.record_leaving(at(0), "i-1", None, 1_000);
        assert!(state.record_announcement(at(10), announcement("i-1", born_ms), 1));
        let view = state.take_view().expect("the view has changed");
        let backend = view.backend.expect("a backend server is known");
        assert_eq!(backend.draining_since.is_some(), is_draining);
        assert_eq!(backend.announcement.is_draining, is_draining);
    }
}

/// Guards against renewals that grow with the square of the ranges that a backend server releases:
/// ranges that are released together are reported together.
#[test]
fn ranges_that_are_released_together_take_one_renewal() {
    let mut state = owner();
    let range = grants(&state.take_effects())[0].0;
    state.record_grant_completed(at(2), range, slice::Fence(5), None);
    let parts = [0, 100, 200].map(|first| slice::Range::new(first, first + 99));
    for part in parts {
        state.begin_release(at(3), "status", part, slice::Fence(5));
    }
    state.take_effects();
    for part in parts {
        state.record_keys_released(part, slice::Fence(5), None);
    }
    state.tick(at(4));
    let effects = state.take_effects().into_iter();
    let reported = effects.filter_map(|effect| match effect {
        Effect::Renew(renewal) => Some(renewal.released.len()),
        _ => None,
    });
    assert_eq!(reported.collect::<Vec<_>>(), [3]);
}

/// Guards against an outdated replica that moves a node back to an older state.
#[test]
fn an_older_state_is_ignored() {
    let mut state = owner();
    state.apply_state(at(10), learned(4, &[(0, 65_535, 4, 2)]));
    let view = state.take_view().expect("the view has changed");
    assert_eq!(view.index, 5);
    assert_eq!(view.tables["status"].find(0).owner, Some(id::Server(1)));
}

/// Guards against a late announcement that brings back an ended instance.
#[test]
fn an_ended_instance_is_not_accepted_again() {
    let mut state = owner();
    let first = announcement("i-1", 10);
    state.record_ended(at(20), &first.instance);
    assert!(!state.record_announcement(at(30), first, 7));
    assert!(state.record_announcement(at(40), announcement("i-2", 30), 1));
    assert!(!state.record_announcement(at(50), announcement("i-1", 10), 8));
}

/// Guards against new work for a backend server that is leaving: a later announcement must not end
/// its draining.
#[test]
fn a_leaving_backend_server_stays_draining() {
    let mut state = owner();
    assert!(state.record_leaving(at(10), "i-1", None, 1_000));
    assert!(state.record_announcement(at(20), announcement("i-1", 10), 9));
    let view = state.take_view().expect("the view has changed");
    let backend = view.backend.expect("a backend server is known");
    assert_eq!(backend.draining_since, Some(at(10)));
    assert!(backend.announcement.is_draining);
}

fn refences(effects: &[Effect]) -> usize {
    let renewals = effects.iter().filter_map(|effect| match effect {
        Effect::Renew(renewal) => Some(renewal.refences.len()),
        _ => None,
    });
    renewals.sum()
}

/// Guards against a late grant that takes effect after the backend server has released the keys:
/// such keys get a higher fence first, so that the late grant is refused.
#[test]
fn keys_with_an_unanswered_grant_get_a_new_fence_before_their_release() {
    let mut state = owner();
    let range = grants(&state.take_effects())[0].0;
    let lost = Some(at(7_000));
    state.record_grant_completed(at(2), range, slice::Fence(5), lost);
    let part = slice::Range::new(100, 199);
    state.begin_release(at(3), "status", part, slice::Fence(5));
    let effects = state.take_effects();
    assert_eq!((releases(&effects), refences(&effects)), (0, 1));
    // The new fence alone does not suffice: the backend server must have confirmed it.
    state.apply_state(at(20), learned(9, &[(0, 65_535, 5, 1), (100, 199, 9, 1)]));
    state.begin_release(at(21), "status", part, slice::Fence(9));
    assert_eq!(releases(&state.take_effects()), 0);
    state.record_grant_confirmed(part, slice::Fence(9), at(6_000));
    state.record_grant_completed(at(22), part, slice::Fence(9), None);
    state.begin_release(at(23), "status", part, slice::Fence(9));
    // The grant of all keys that was sent again when the first release was abandoned is in flight.
    assert_eq!(releases(&state.take_effects()), 0);
    state.record_grant_completed(at(24), range, slice::Fence(5), lost);
    assert_eq!(releases(&state.take_effects()), 1);
}

/// Guards against a release that waits forever: an unanswered grant holds it back only until the
/// time after which the grant can no longer take effect.
#[test]
fn an_unanswered_grant_stops_blocking_a_release_when_it_expires() {
    let mut state = owner();
    let range = grants(&state.take_effects())[0].0;
    state.record_grant_completed(at(2), range, slice::Fence(5), Some(at(1_000)));
    state.begin_release(
        at(1_001),
        "status",
        slice::Range::new(0, 9),
        slice::Fence(5),
    );
    assert_eq!(releases(&state.take_effects()), 1);
}

/// Guards against the same late grant when the grant turns out to be unanswered only after the
/// release was requested.
#[test]
fn a_waiting_release_is_abandoned_when_its_grant_gets_no_answer() {
    let mut state = owner();
    let range = grants(&state.take_effects())[0].0;
    let part = slice::Range::new(100, 199);
    state.begin_release(at(3), "status", part, slice::Fence(5));
    assert_eq!(releases(&state.take_effects()), 0);
    state.record_grant_completed(at(500), range, slice::Fence(5), Some(at(15_000)));
    let effects = state.take_effects();
    assert_eq!((releases(&effects), refences(&effects)), (0, 1));
}

/// Guards against a restarted node that serves nothing until its backend server announces itself
/// again, and against one that claims the keys of an instance it has not heard from.
#[test]
fn a_restarted_node_identifies_the_instance_known_to_the_leader() {
    for is_keyed in [false, true] {
        let mut state = State::new(Config {
            domain: "a".to_owned(),
            service: "status".to_owned(),
            lease: LEASE,
            backend: ([127, 0, 0, 1], 1).into(),
            max_hold: Duration::from_secs(10),
            started_ms: 0,
        });
        let service = config::Service {
            name: "status".to_owned(),
            health_path: "/health".to_owned(),
            max_connections: 10,
            is_keyed,
            warm_up_ms: 0,
            cold_start: None,
        };
        let known = session::State {
            config: Some(config::Config {
                version: config::Version(1),
                services: vec![service],
                ..config::Config::default()
            }),
            ..learned(5, &[])
        };
        state.apply_state(at(0), known.clone());
        state.apply_state(at(1), known);
        let effects = state.take_effects().into_iter();
        let asked = effects.filter(|effect| matches!(effect, Effect::Identify(_)));
        assert_eq!(asked.count(), usize::from(!is_keyed));
    }
}

/// Guards against a second owner beside a draining backend server that has closed its port but
/// still works: its keys may move only once its grants have expired.
#[test]
fn the_keys_of_a_draining_backend_server_stay_until_its_grants_expire() {
    let mut state = owner();
    let (range, _) = grants(&state.take_effects())[0];
    state.record_grant_confirmed(range, slice::Fence(5), at(6_600));
    state.record_grant_completed(at(2), range, slice::Fence(5), None);
    assert!(state.record_leaving(at(100), "i-1", None, 1_000));
    // This release gets no answer.
    state.begin_release(at(200), "status", slice::Range::ALL, slice::Fence(5));
    let instance = announcement("i-1", 10).instance;
    let reported = |state: &mut State| {
        let effects = state.take_effects().into_iter();
        let mut ended = effects.filter_map(|effect| match effect {
            Effect::Renew(renewal) => Some(renewal.ended.is_some()),
            _ => None,
        });
        ended.next_back()
    };
    state.record_ended(at(300), &instance);
    state.tick(at(6_900));
    assert_eq!(reported(&mut state), Some(false));
    state.tick(at(7_100));
    assert_eq!(reported(&mut state), Some(true));
}

/// Returns whether the latest renewal tells the leader of an end, if one was sent.
fn reports_end(state: &mut State) -> Option<bool> {
    let effects = state.take_effects().into_iter();
    let mut ended = effects.filter_map(|effect| match effect {
        Effect::Renew(renewal) => Some(renewal.ended.is_some()),
        _ => None,
    });
    ended.next_back()
}

/// Guards against a second owner of the keys of a backend server that has crashed: a grant in flight
/// may reach the instance that follows at its address, which takes it. Only a grant that nobody has
/// taken lets the leader give the keys to others at once.
#[test]
fn the_end_of_an_instance_is_reported_once_no_grant_can_reach_the_next_one() {
    let instance = announcement("i-1", 10).instance;
    for (answer, is_reported) in [
        ((false, None), true),
        ((true, None), false),
        ((false, Some(at(15_000))), false),
    ] {
        let (is_confirmed, unanswered_until) = answer;
        let mut state = owner();
        let (range, _) = grants(&state.take_effects())[0];
        state.record_ended(at(20), &instance);
        assert_eq!(reports_end(&mut state), Some(false));
        if is_confirmed {
            state.record_grant_confirmed(range, slice::Fence(5), at(6_600));
        }
        state.record_grant_completed(at(30), range, slice::Fence(5), unanswered_until);
        state.tick(at(700));
        assert_eq!(reports_end(&mut state), Some(is_reported), "{answer:?}");
    }
}

/// Guards against keys that are released at a restarted backend server while a grant for the former
/// instance is on its way there: the grant would take effect after the release.
#[test]
fn a_restarted_instance_confirms_its_grant_before_a_release() {
    let mut state = owner();
    let (range, _) = grants(&state.take_effects())[0];
    assert!(state.record_announcement(at(20), announcement("i-1", 30), 1));
    let server = server::Server {
        id: id::Server(2),
        incarnation: id::Incarnation(9),
        announcement: announcement("i-1", 30),
    };
    state.apply_state(
        at(30),
        session::State {
            servers: vec![server],
            ..learned(9, &[(0, 65_535, 9, 2)])
        },
    );
    let part = slice::Range::new(100, 199);
    state.begin_release(at(40), "status", part, slice::Fence(9));
    let effects = state.take_effects();
    assert_eq!((releases(&effects), refences(&effects)), (0, 0));
    // The former instance's grant gets no answer.
    state.record_grant_completed(at(500), range, slice::Fence(5), Some(at(15_000)));
    let effects = state.take_effects();
    assert_eq!((releases(&effects), refences(&effects)), (0, 1));
}

/// Guards against a release that overtakes a grant under an earlier fence: the backend server has not
/// seen the later fence, and would apply the earlier grant after the release.
#[test]
fn a_release_waits_for_a_grant_under_an_earlier_fence() {
    let mut state = owner();
    let (range, _) = grants(&state.take_effects())[0];
    let part = slice::Range::new(100, 199);
    state.apply_state(at(10), learned(9, &[(0, 65_535, 5, 1), (100, 199, 9, 1)]));
    state.begin_release(at(11), "status", part, slice::Fence(9));
    state.record_grant_completed(at(12), part, slice::Fence(9), None);
    assert_eq!(releases(&state.take_effects()), 0);
    state.record_grant_completed(at(13), range, slice::Fence(5), None);
    assert_eq!(releases(&state.take_effects()), 1);
}

/// Guards against new work for a backend server that has left: a restarted node hears from it late, in
/// an announcement from before its leaving, before or after it hears from the leader.
#[test]
fn a_late_announcement_does_not_end_the_draining_that_the_leader_knows() {
    for is_leader_first in [true, false] {
        let mut state = State::new(Config {
            domain: "a".to_owned(),
            service: "status".to_owned(),
            lease: LEASE,
            backend: ([127, 0, 0, 1], 1).into(),
            max_hold: Duration::from_secs(10),
            started_ms: 0,
        });
        let mut known = learned(5, &[(0, 65_535, 5, 1)]);
        known.servers[0].announcement.is_draining = true;
        if is_leader_first {
            state.apply_state(at(0), known.clone());
        }
        assert!(state.record_announcement(at(10), announcement("i-1", 10), 7));
        if !is_leader_first {
            state.apply_state(at(20), known);
        }
        let view = state.take_view().expect("the view has changed");
        let backend = view.backend.expect("a backend server is known");
        assert!(backend.draining_since.is_some());
        assert!(backend.announcement.is_draining);
    }
}

/// Guards against a backend server that gets no more work because an earlier run under its name has
/// left: that run's message arrives after the present one has announced itself.
#[test]
fn a_late_message_of_an_earlier_run_does_not_drain_the_present_one() {
    let mut state = owner();
    assert!(!state.record_leaving(at(10), "i-1", Some(9), 1_000));
    let view = state.take_view().expect("the view has changed");
    let backend = view.backend.expect("a backend server is known");
    assert_eq!(backend.draining_since, None);
}

/// Guards against an acknowledged leaving that is forgotten since another instance is the present one:
/// the announcement of the instance that has left arrives later.
#[test]
fn an_instance_that_leaves_before_it_replaces_another_one_stays_draining() {
    let mut state = owner();
    assert!(!state.record_leaving(at(10), "i-2", None, 2_000));
    // One that comes between them has not left.
    assert!(state.record_announcement(at(15), announcement("i-3", 500), 1));
    assert!(state.record_announcement(at(20), announcement("i-2", 1_000), 1));
    let view = state.take_view().expect("the view has changed");
    let backend = view.backend.expect("a backend server is known");
    assert_eq!(backend.draining_since, Some(at(20)));
}

/// Returns the state `learned` with a configuration.
fn configured(is_keyed: bool) -> session::State {
    session::State {
        config: Some(config::Config {
            version: config::Version(1),
            services: vec![config::Service {
                name: "status".to_owned(),
                health_path: "/health".to_owned(),
                max_connections: 10,
                is_keyed,
                warm_up_ms: 0,
                cold_start: None,
            }],
            ..config::Config::default()
        }),
        ..learned(5, &[(0, 65_535, 5, 1)])
    }
}

/// Returns the instances that the backend server is asked about.
fn questions(state: &mut State) -> Vec<server::Announcement> {
    let effects = state.take_effects().into_iter();
    let questions = effects.filter_map(|effect| match effect {
        Effect::Identify(known) => Some(known),
        _ => None,
    });
    questions.collect()
}

fn backend(state: &mut State) -> Option<server::Announcement> {
    let view = state.take_view().expect("the view has changed");
    view.backend.map(|backend| backend.announcement)
}

/// Guards against requests for a backend server that has left: a former process of the node has
/// acknowledged that and ended before it could tell the leader, and an announcement from before the
/// leaving arrives late at the new process.
#[test]
fn a_restarted_node_asks_an_instance_known_to_the_leader_before_it_is_in_use() {
    for (is_in_use, expected) in [(true, Some(announcement("i-1", 10))), (false, None)] {
        let mut state = State::new(Config {
            domain: "a".to_owned(),
            service: "status".to_owned(),
            lease: LEASE,
            backend: ([127, 0, 0, 1], 1).into(),
            max_hold: Duration::from_secs(10),
            started_ms: 50,
        });
        assert!(state.record_announcement(at(0), announcement("i-1", 10), 7));
        state.apply_state(at(5), configured(true));
        assert_eq!(backend(&mut state), None);
        let asked = questions(&mut state);
        assert_eq!(asked, [announcement("i-1", 10)]);
        state.record_identified(at(10), asked[0].clone(), Some(is_in_use));
        state.tick(at(20));
        assert_eq!(
            state
                .take_view()
                .and_then(|view| view.backend)
                .map(|backend| backend.announcement),
            expected
        );
    }
}

/// Guards against a backend server that stays out of use since it is too busy to answer its node: one
/// that goes on announcing itself has not left. Repeated announcements show nothing, nor do those of a
/// backend server that says that it is not in use.
#[test]
fn an_instance_that_goes_on_announcing_itself_is_in_use_without_an_answer() {
    for (answer, expected) in [(None, Some(announcement("i-1", 10))), (Some(false), None)] {
        let mut state = State::new(Config {
            domain: "a".to_owned(),
            service: "status".to_owned(),
            lease: LEASE,
            backend: ([127, 0, 0, 1], 1).into(),
            max_hold: Duration::from_secs(10),
            started_ms: 50,
        });
        state.apply_state(at(0), configured(true));
        for sequence in [7, 7, 8, 9, 10] {
            state.record_announcement(at(10), announcement("i-1", 10), sequence);
            for asked in questions(&mut state) {
                state.record_identified(at(11), asked, answer);
            }
            let view = state.take_view();
            assert!(view.is_none_or(|view| view.backend.is_none()));
        }
        state.record_announcement(at(1_800), announcement("i-1", 10), 11);
        let view = state.take_view();
        let backend = view.and_then(|view| view.backend);
        assert_eq!(backend.map(|backend| backend.announcement), expected);
    }
}

/// Creates a node that has restarted, without a view.
fn restarted() -> State {
    State::new(Config {
        domain: "a".to_owned(),
        service: "status".to_owned(),
        lease: LEASE,
        backend: ([127, 0, 0, 1], 1).into(),
        max_hold: Duration::from_secs(10),
        started_ms: 50,
    })
}

/// Guards against a leaving that is ignored since the number of its announcement is high: a restarted
/// node has asked a backend server who it is, and knows no number of it.
#[test]
fn a_backend_server_that_was_asked_is_heard_whatever_its_number_is() {
    let mut state = restarted();
    state.apply_state(at(0), configured(false));
    let asked = questions(&mut state);
    state.record_identified(at(10), asked[0].clone(), Some(true));
    let leaving = server::Announcement {
        is_draining: true,
        ..announcement("i-1", 10)
    };
    assert!(state.record_announcement(at(20), leaving.clone(), 1_390_000));
    assert_eq!(backend(&mut state), Some(leaving.clone()));
    assert!(!state.record_announcement(at(30), leaving, 1_390_000_000));
}

/// Guards against another writer that takes the place of the backend server while no configuration is
/// known, which says which services there are.
#[test]
fn an_announcement_of_another_service_is_ignored_without_a_configuration() {
    let mut state = restarted();
    let other = server::Announcement {
        service: "other".to_owned(),
        ..announcement("i-9", 60)
    };
    assert!(!state.record_announcement(at(0), other, 1));
    assert!(state.record_announcement(at(5), announcement("i-1", 10), 7));
    state.apply_state(at(10), configured(true));
    assert_eq!(questions(&mut state), [announcement("i-1", 10)]);
}

/// Guards against a leaving that only the process which acknowledged it knows: the leader is told of the
/// instance that it knows at the address, although that does not announce itself any more.
#[test]
fn a_restarted_node_tells_the_leader_that_the_known_instance_leaves() {
    for is_leader_first in [true, false] {
        let mut state = State::new(Config {
            domain: "a".to_owned(),
            service: "status".to_owned(),
            lease: LEASE,
            backend: ([127, 0, 0, 1], 1).into(),
            max_hold: Duration::from_secs(10),
            started_ms: 50,
        });
        let known = configured(false);
        if is_leader_first {
            state.apply_state(at(0), known.clone());
        }
        state.record_leaving(at(10), "i-1", None, 1_000);
        if !is_leader_first {
            state.apply_state(at(20), known);
        }
        let effects = state.take_effects().into_iter();
        let mut told = effects.filter_map(|effect| match effect {
            Effect::Renew(renewal) => renewal.server,
            _ => None,
        });
        assert!(told.next_back().is_some_and(|server| server.is_draining));
    }
}
