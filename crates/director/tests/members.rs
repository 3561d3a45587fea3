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

/// What the first of a group of replicas knows about the others.
struct Group {
    members: Members,
    tolerance: members::Tolerance,
    contacts: members::Contacts,
}

impl Group {
    /// Creates a group of `count` voters, none of which was heard since `leads_since`.
    fn new(count: u64, tolerated: usize, leads_since: clock::Instant) -> Self {
        Self {
            members: Members::new((1..=count).map(id::Replica), []),
            tolerance: members::Tolerance::new(tolerated),
            contacts: members::Contacts::new(leads_since),
        }
    }

    /// Records when the last `silent` voters were heard, and that the others are heard at `now`.
    fn hear(&mut self, silent: usize, last_heard: Option<clock::Instant>, now: clock::Instant) {
        let voters: Vec<_> = self.members.voters().collect();
        let (heard, silent) = voters.split_at(voters.len() - silent);
        for id in heard {
            self.contacts.hear(*id, now);
        }
        if let Some(last_heard) = last_heard {
            for id in silent {
                self.contacts.hear(*id, last_heard);
            }
        }
    }

    fn next_change(&self, now: clock::Instant) -> Option<Change> {
        let ids: Vec<_> = self.members.all().collect();
        let view = members::View {
            own: id::Replica(1),
            members: &self.members,
            addresses: &ids.iter().map(|id| (*id, address(*id))).collect(),
            current: &ids.iter().map(|id| (address(*id), *id)).collect(),
            contacts: &self.contacts,
            tolerance: self.tolerance,
        };
        view.next_change(now)
    }

    /// Carries out the changes that are due at `now`; returns how many voters were removed.
    fn remove_all(&mut self, now: clock::Instant) -> usize {
        let mut count = 0;
        while let Some(change) = self.next_change(now) {
            assert!(matches!(change, Change::Remove(_)), "{change:?}");
            let members = self.members.with_change(change);
            self.members = members.expect("the change fits the members");
            count += 1;
        }
        count
    }
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
            let mut group = Group::new(count, 1, elected_at);
            group.hear(count as usize, last_heard, start);
            let change = group.next_change(now);
            assert_eq!(change, None, "{count} voters, heard at {last_heard:?}");
        }
    }
}

/// Guards against a lost voter that a leader never removes, so that the loss of others leaves no
/// majority.
#[test]
fn a_leader_removes_a_voter_that_it_has_not_heard_for_a_long_time() {
    let start = clock::Instant::from_micros(0);
    for last_heard in [None, Some(start)] {
        for (count, tolerated) in [(4, 1), (6, 2)] {
            let mut group = Group::new(count, tolerated, start);
            group.hear(1, last_heard, start + LONG);
            let change = group.next_change(start + LONG);
            assert_eq!(change, Some(Change::Remove(id::Replica(count))));
        }
    }
}

/// Guards against a group that does not bear the losses that the deployment tolerates, whichever of
/// the silent voters have lost their disks, and against the removal of one that may be needed later.
#[test]
fn silent_voters_leave_only_if_the_others_bear_the_tolerated_losses_without_them() {
    let start = clock::Instant::from_micros(0);
    let now = start + LONG;
    for count in 1..=15 {
        for silent in 0..count as usize {
            for tolerated in 0..=4 {
                let mut group = Group::new(count, tolerated, start);
                group.hear(silent, Some(start), now);
                let heard = count as usize - silent;
                let removed = group.remove_all(now);
                let case = format!("{silent} of {count} silent, {tolerated} losses: -{removed}");
                let voters = count as usize - removed;
                let losses = tolerated.min((voters - 1) / 2);
                if heard > 2 * losses {
                    assert!(heard - losses >= group.members.majority(), "{case}");
                } else {
                    assert_eq!(removed, 0, "{case}");
                }
            }
        }
    }
}

/// Guards against the removal of a running voter in place of its former identity, whose introduction was
/// on its way when the disk was lost and is heard late.
#[test]
fn a_late_introduction_of_a_former_identity_removes_no_running_voter() {
    let start = clock::Instant::from_micros(0);
    let now = start + LONG;
    let (former, running) = (id::Replica(3), id::Replica(4));
    let mut group = Group::new(4, 1, start);
    let mut addresses: collections::BTreeMap<_, _> = (1..=4)
        .map(|id| (id::Replica(id), address(id::Replica(id))))
        .collect();
    addresses.insert(former, address(running));
    let mut current: collections::BTreeMap<_, _> = addresses
        .iter()
        .map(|(id, address)| (*address, *id))
        .collect();
    current.insert(address(running), former);
    let next_change = |group: &Group, now| {
        let view = members::View {
            own: id::Replica(1),
            members: &group.members,
            addresses: &addresses,
            current: &current,
            contacts: &group.contacts,
            tolerance: group.tolerance,
        };
        view.next_change(now)
    };
    group.hear(0, None, now);
    assert_eq!(next_change(&group, now), None);
    let later = now + Duration::from_secs(3);
    for id in [id::Replica(2), running] {
        group.contacts.hear(id, later);
    }
    assert_eq!(next_change(&group, later), Some(Change::Remove(former)));
}
