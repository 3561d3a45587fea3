//! Decisions on the members of the replicated group.

use std::collections;
use std::net;
use std::time::Duration;

use sequoiayoke_consensus::members::{Change, Members};
use sequoiayoke_director::coordinator::members;
use sequoiayoke_model::{clock, id};

/// Long enough for every timeout of a replica that is not heard.
const LONG: Duration = Duration::from_secs(3_600);

fn address(id: id::Replica) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, 0, id.0 as u8], 80))
}

/// Returns the change that the first of `count` replicas makes at `now`. It has led since
/// `leads_since`, and has not heard the others since `last_heard`, if at all.
fn next_change(
    count: u64,
    last_heard: Option<clock::Instant>,
    leads_since: clock::Instant,
    now: clock::Instant,
) -> Option<Change> {
    let ids: Vec<_> = (1..=count).map(id::Replica).collect();
    let heard = ids.iter().filter_map(|id| Some((*id, last_heard?)));
    let view = members::View {
        own: ids[0],
        members: &Members::new(ids.iter().copied(), []),
        addresses: &ids.iter().map(|id| (*id, address(*id))).collect(),
        current: &ids.iter().map(|id| (address(*id), *id)).collect(),
        last_heard: &heard.collect::<collections::BTreeMap<_, _>>(),
        leads_since,
    };
    view.next_change(now)
}

/// Guards against a new leader that removes healthy voters at once, because they had no reason to
/// send it a message while it was not the leader.
#[test]
fn a_new_leader_removes_no_voter_that_it_had_no_time_to_hear() {
    let start = clock::Instant::from_micros(0);
    let elected_at = start + LONG;
    let now = elected_at + Duration::from_millis(100);
    for count in [4, 5] {
        for last_heard in [None, Some(start)] {
            let change = next_change(count, last_heard, elected_at, now);
            assert_eq!(change, None, "{count} voters, heard at {last_heard:?}");
        }
    }
}

/// Guards against a lost voter that a leader never removes.
#[test]
fn a_leader_removes_a_voter_that_it_has_not_heard_for_a_long_time() {
    let start = clock::Instant::from_micros(0);
    for last_heard in [None, Some(start)] {
        let change = next_change(5, last_heard, start, start + LONG);
        assert_eq!(change, Some(Change::Remove(id::Replica(2))));
    }
    assert_eq!(next_change(3, None, start, start + LONG), None);
}
