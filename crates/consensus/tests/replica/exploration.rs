//! Seeded random runs: any order of messages, crashes, pauses, partitions, lost
//! disks and membership changes. The laws are checked at every step.

use std::time::Duration;

use rand::RngExt;
use sequoiayoke_consensus::{effect, event, members};
use sequoiayoke_model::id;

use crate::group;

/// Disturbances in one run.
const ACTIONS: usize = 500;

/// Replacement of a lost disk's replica, one step after the other.
#[derive(Clone, Copy, Debug)]
struct Repair {
    old: u64,
    new: u64,
}

struct Run {
    group: group::Group,
    size: u64,
    proposals: u64,
    next_id: u64,
    repair: Option<Repair>,
    repairs: usize,
}

impl Run {
    fn new(seed: u64) -> Self {
        let size = [3, 5, 3, 1][seed as usize % 4];
        let mut group = group::Group::new(size, seed);
        for id in 1..=size {
            // Two rates differ by less than the drift margin of 5 %.
            let rate = group.random.random_range(976_000..=1_024_000);
            group.set_rate(id, rate);
        }
        group.network.delay = (200, 20_000);
        group.network.drop = [0, 5, 20][seed as usize % 3];
        group.network.duplicate = 10;
        group.network.late = 3;
        group.kills = [0, 1, 3][seed as usize / 3 % 3];
        Self {
            group,
            size,
            proposals: 0,
            next_id: size + 1,
            repair: None,
            repairs: 0,
        }
    }

    fn any(&mut self) -> u64 {
        let number = self.group.random.random_range(0..self.group.nodes.len());
        let id = self.group.nodes.keys().nth(number);
        *id.expect("the number is in range")
    }

    fn act(&mut self) {
        let span = self.group.random.random_range(0..150_000);
        self.group.run(Duration::from_micros(span));
        let id = self.any();
        match self.group.random.random_range(0..100) {
            0..40 => self.propose(),
            40..45 => self.group.crash(id),
            45..65 => self.group.restart(id),
            65..70 => self.group.set_paused(id, true),
            70..80 => self.group.set_paused(id, false),
            80..84 => self.partition(),
            84..89 => self.group.network.cut.clear(),
            89..94 => self.group.compact(id),
            94..96 => drop(self.group.step(id, event::Event::Transfer)),
            96..97 => self.lose_disk(id),
            _ => drop(self.group.step(id, event::Event::Tick)),
        }
        self.continue_repair();
    }

    fn propose(&mut self) {
        let leader = self.group.authority();
        let id = leader.unwrap_or_else(|| self.any());
        for _ in 0..self.group.random.random_range(1..6) {
            self.proposals += 1;
            let payload = format!("payload-{}", self.proposals);
            self.group.step(id, event::Event::Propose(payload));
        }
    }

    fn partition(&mut self) {
        if self.group.chance(50) {
            let (a, b) = (self.any(), self.any());
            self.group.cut([&[a], &[b]]);
            return;
        }
        let ids: Vec<_> = self.group.nodes.keys().copied().collect();
        let (a, b): (Vec<_>, Vec<_>) = ids.into_iter().partition(|_| self.group.chance(40));
        self.group.cut([&a, &b]);
        if self.group.chance(30) {
            // The links work in one direction only.
            self.group.network.cut.retain(|(from, _)| a.contains(from));
        }
    }

    /// Loses a disk, unless an earlier loss is not repaired yet: a group of
    /// three survives one loss at a time.
    fn lose_disk(&mut self, old: u64) {
        if self.repair.is_some() || self.size < 3 || self.repairs >= 4 {
            return;
        }
        let new = self.next_id;
        self.next_id += 1;
        self.group.nodes.remove(&old);
        self.group.add(new, Vec::new(), 11);
        self.repair = Some(Repair { old, new });
    }

    fn continue_repair(&mut self) {
        let (Some(repair), Some(leader)) = (self.repair, self.group.authority()) else {
            return;
        };
        let replica = self.group.nodes[&leader].replica.as_ref();
        let members = replica.expect("a leader runs").members().clone();
        let (old, new) = (id::Replica(repair.old), id::Replica(repair.new));
        let change = if members.contains(old) {
            members::Change::Remove(old)
        } else if !members.contains(new) {
            members::Change::AddLearner(new)
        } else if !members.is_voter(new) {
            members::Change::Promote(new)
        } else {
            // Only a committed membership tolerates the next loss.
            let applied = self.group.nodes[&leader].applied_to;
            if replica.expect("a leader runs").last().index.0 == applied {
                self.repair = None;
                self.repairs += 1;
            }
            return;
        };
        self.group.step(leader, event::Event::ChangeMember(change));
    }

    /// Heals everything, and checks that the group commits a new proposal on
    /// every replica and that all have applied the same.
    fn finish(&mut self) {
        self.group.network.cut.clear();
        self.group.network.drop = 0;
        self.group.network.late = 0;
        self.group.kills = 0;
        let ids: Vec<_> = self.group.nodes.keys().copied().collect();
        for _ in 0..100 {
            // A step of the repair can crash the leader again.
            for id in &ids {
                self.group.set_paused(*id, false);
                self.group.restart(*id);
            }
            self.group.run(Duration::from_millis(100));
            self.continue_repair();
        }
        assert!(self.group.nodes.values().all(|node| node.replica.is_some()));
        assert!(
            self.repair.is_none(),
            "the repair did not complete: {:?}",
            self.repair
        );
        let leader = self.group.authority().expect("a healed group has a leader");
        let last = event::Event::Propose("last".to_owned());
        let response = self.group.step(leader, last);
        assert!(
            matches!(response, Some(effect::Effect::Accepted(_))),
            "{response:?}"
        );
        self.group.run(Duration::from_secs(1));
        let expected = self.group.nodes[&leader].applied.clone();
        assert!(
            expected.ends_with("last\n"),
            "the last proposal was not committed"
        );
        for id in &ids {
            assert_eq!(self.group.nodes[id].applied, expected, "state of {id}");
        }
    }
}

/// Guards against any order of events that breaks the laws of `group::laws`, or
/// after which the group does not recover.
fn explore(seeds: std::ops::Range<u64>) {
    let (mut committed, mut repairs, mut chunks) = (0, 0, 0);
    for seed in seeds.clone() {
        println!("seed {seed}");
        let mut run = Run::new(seed);
        for _ in 0..ACTIONS {
            run.act();
        }
        run.finish();
        committed += run.group.laws.committed.len();
        repairs += run.repairs;
        chunks += run.group.chunks;
    }
    println!("seeds {seeds:?}: {committed} committed, {repairs} repairs, {chunks} chunks");
    // A run that commits and repairs nothing would prove nothing.
    assert!(committed > 50 * seeds.count());
    assert!(repairs > 0 && chunks > 0);
}

#[test]
fn random_runs_keep_the_laws() {
    explore(0..150);
}

/// Returns a group with a leader, whose clock is slow, and two followers, whose
/// clocks are fast.
fn lead(seed: u64) -> (group::Group, u64, Vec<u64>) {
    println!("seed {seed}");
    let mut group = group::Group::new(3, seed);
    group.network.delay = (10, 10);
    group.run(Duration::from_secs(1));
    let leader = group.authority().expect("a leader");
    for id in 1..=3 {
        let rate = if id == leader { 976_000 } else { 1_024_000 };
        group.set_rate(id, rate);
    }
    group.run(Duration::from_secs(1));
    let leader = group.authority().expect("a leader");
    let others = (1..=3).filter(|id| *id != leader).collect();
    (group, leader, others)
}

/// Guards against an authority that outlasts the others' refusal to vote.
#[test]
fn a_leader_that_is_cut_off_stops_before_the_next_starts() {
    for seed in 0..100 {
        let (mut group, leader, others) = lead(seed);
        group.cut([&[leader], &others]);
        group.run(Duration::from_secs(1));
        assert!(group.authority().is_some_and(|next| next != leader));
    }
}

/// Guards against a vote of a replica that has forgotten in a restart that the
/// leader counts on its acknowledgement.
#[test]
fn a_restarted_replica_does_not_vote_at_once() {
    for seed in 0..100 {
        let (mut group, leader, others) = lead(seed);
        group.cut([&[leader], &others[..1]]);
        group.run(Duration::from_secs(1));
        assert_eq!(group.authority(), Some(leader));
        group.crash(others[1]);
        group.restart(others[1]);
        group.cut([&[leader], &others]);
        group.run(Duration::from_secs(1));
        assert!(group.authority().is_some_and(|next| next != leader));
    }
}
