//! Seeded random runs with any order of messages, crashes, pauses, partitions,
//! lost disks and membership changes. The invariants are checked at every step.

use std::time::Duration;

use rand::RngExt;
use sequoiayoke_consensus::{effect, event, members};
use sequoiayoke_model::id;

use crate::group;

/// Number of random actions in a run.
const ACTIONS_PER_RUN: usize = 500;

/// Stepwise replacement of a replica that lost its disk.
#[derive(Clone, Copy, Debug)]
struct Replacement {
    old: u64,
    new: u64,
}

struct Run {
    group: group::Group,
    size: u64,
    proposals: u64,
    next_id: u64,
    replacement: Option<Replacement>,
    replacements: usize,
}

impl Run {
    fn new(seed: u64) -> Self {
        let size = [3, 5, 3, 1][seed as usize % 4];
        let mut group = group::Group::new(size, seed);
        for id in 1..=size {
            // Any two rates differ by less than the drift margin of 5 %.
            let rate = group.rng.random_range(976_000..=1_024_000);
            group.set_clock_rate(id, rate);
        }
        group.network.delay = (200, 20_000);
        group.network.drop = [0, 5, 20][seed as usize % 3];
        group.network.duplicate = 10;
        group.network.late = 3;
        group.crash_percent = [0, 1, 3][seed as usize / 3 % 3];
        Self {
            group,
            size,
            proposals: 0,
            next_id: size + 1,
            replacement: None,
            replacements: 0,
        }
    }

    fn random_node_id(&mut self) -> u64 {
        let number = self.group.rng.random_range(0..self.group.nodes.len());
        let id = self.group.nodes.keys().nth(number);
        *id.expect("the number is in range")
    }

    fn perform_random_action(&mut self) {
        let micros = self.group.rng.random_range(0..150_000);
        self.group.run(Duration::from_micros(micros));
        let id = self.random_node_id();
        match self.group.rng.random_range(0..100) {
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
        self.continue_replacement();
    }

    fn propose(&mut self) {
        let leader = self.group.authoritative_leader();
        let id = leader.unwrap_or_else(|| self.random_node_id());
        for _ in 0..self.group.rng.random_range(1..6) {
            self.proposals += 1;
            let payload = format!("payload-{}", self.proposals);
            self.group.step(id, event::Event::Propose(payload));
        }
    }

    fn partition(&mut self) {
        if self.group.chance(50) {
            let (a, b) = (self.random_node_id(), self.random_node_id());
            self.group.cut([&[a], &[b]]);
            return;
        }
        let ids: Vec<_> = self.group.nodes.keys().copied().collect();
        let (a, b): (Vec<_>, Vec<_>) = ids.into_iter().partition(|_| self.group.chance(40));
        self.group.cut([&a, &b]);
        if self.group.chance(30) {
            // Only one direction of the links is cut.
            self.group.network.cut.retain(|(from, _)| a.contains(from));
        }
    }

    /// Loses a disk, unless the replacement after an earlier loss is incomplete: a
    /// group of three tolerates a single loss at a time.
    fn lose_disk(&mut self, old: u64) {
        if self.replacement.is_some() || self.size < 3 || self.replacements >= 4 {
            return;
        }
        let new = self.next_id;
        self.next_id += 1;
        self.group.nodes.remove(&old);
        self.group.add(new, Vec::new(), 11);
        self.replacement = Some(Replacement { old, new });
    }

    fn continue_replacement(&mut self) {
        let (Some(replacement), Some(leader)) =
            (self.replacement, self.group.authoritative_leader())
        else {
            return;
        };
        let replica = self.group.nodes[&leader].replica.as_ref();
        let members = replica.expect("a leader runs").members().clone();
        let (old, new) = (id::Replica(replacement.old), id::Replica(replacement.new));
        let change = if members.contains(old) {
            members::Change::Remove(old)
        } else if !members.contains(new) {
            members::Change::AddLearner(new)
        } else if !members.is_voter(new) {
            members::Change::Promote(new)
        } else {
            // The group tolerates the next loss only once this membership is committed.
            let applied = self.group.nodes[&leader].applied_to;
            if replica.expect("a leader runs").last().index.0 == applied {
                self.replacement = None;
                self.replacements += 1;
            }
            return;
        };
        self.group.step(leader, event::Event::ChangeMember(change));
    }

    /// Removes all faults, and checks that the group commits a new proposal and
    /// that all replicas have applied the same entries.
    fn check_recovery(&mut self) {
        self.group.network.cut.clear();
        self.group.network.drop = 0;
        self.group.network.late = 0;
        self.group.crash_percent = 0;
        let ids: Vec<_> = self.group.nodes.keys().copied().collect();
        for _ in 0..100 {
            // A step of the replacement can crash the leader again.
            for id in &ids {
                self.group.set_paused(*id, false);
                self.group.restart(*id);
            }
            self.group.run(Duration::from_millis(100));
            self.continue_replacement();
        }
        assert!(self.group.nodes.values().all(|node| node.replica.is_some()));
        assert!(
            self.replacement.is_none(),
            "the replacement did not complete: {:?}",
            self.replacement
        );
        let leader = self
            .group
            .authoritative_leader()
            .expect("a group without faults has a leader");
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

/// Guards against any order of events that violates `group::invariants`, or
/// after which the group does not recover.
fn explore(seeds: std::ops::Range<u64>) {
    let (mut committed, mut replacements, mut chunks) = (0, 0, 0);
    for seed in seeds.clone() {
        println!("seed {seed}");
        let mut run = Run::new(seed);
        for _ in 0..ACTIONS_PER_RUN {
            run.perform_random_action();
        }
        run.check_recovery();
        committed += run.group.invariants.committed.len();
        replacements += run.replacements;
        chunks += run.group.chunks;
    }
    println!(
        "seeds {seeds:?}: {committed} committed, {replacements} replacements, {chunks} chunks"
    );
    // Runs that commit or replace nothing would not test anything.
    assert!(committed > 50 * seeds.count());
    assert!(replacements > 0 && chunks > 0);
}

#[test]
fn random_runs_preserve_the_invariants() {
    explore(0..150);
}

/// Returns a group, its leader, whose clock is slow, and its two followers, whose
/// clocks are fast.
fn group_with_leader(seed: u64) -> (group::Group, u64, Vec<u64>) {
    println!("seed {seed}");
    let mut group = group::Group::new(3, seed);
    group.network.delay = (10, 10);
    group.run(Duration::from_secs(1));
    let leader = group.authoritative_leader().expect("a leader");
    for id in 1..=3 {
        let rate = if id == leader { 976_000 } else { 1_024_000 };
        group.set_clock_rate(id, rate);
    }
    group.run(Duration::from_secs(1));
    let leader = group.authoritative_leader().expect("a leader");
    let followers = (1..=3).filter(|id| *id != leader).collect();
    (group, leader, followers)
}

/// Guards against two authoritative leaders: the authority of a partitioned leader
/// with a slow clock must end before the followers, whose clocks are fast, elect
/// another.
#[test]
fn a_partitioned_leader_loses_authority_before_the_next_one_gains_it() {
    for seed in 0..100 {
        let (mut group, leader, followers) = group_with_leader(seed);
        group.cut([&[leader], &followers]);
        group.run(Duration::from_secs(1));
        assert!(
            group
                .authoritative_leader()
                .is_some_and(|next| next != leader)
        );
    }
}

/// Guards against a vote granted right after a restart: the replica no longer
/// knows that it acknowledged a heartbeat on which the leader's authority depends.
#[test]
fn a_vote_after_a_restart_does_not_allow_two_authoritative_leaders() {
    for seed in 0..100 {
        let (mut group, leader, followers) = group_with_leader(seed);
        group.cut([&[leader], &followers[..1]]);
        group.run(Duration::from_secs(1));
        assert_eq!(group.authoritative_leader(), Some(leader));
        group.crash(followers[1]);
        group.restart(followers[1]);
        group.cut([&[leader], &followers]);
        group.run(Duration::from_secs(1));
        assert!(
            group
                .authoritative_leader()
                .is_some_and(|next| next != leader)
        );
    }
}
