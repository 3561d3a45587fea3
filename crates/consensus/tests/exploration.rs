//! Seeded random runs: any order of messages, crashes, pauses, partitions, lost
//! disks and membership changes. The laws are checked at every step.

mod group;

use std::time::Duration;

use rand::RngExt;
use sequoiayoke_consensus::{effect, event, members};
use sequoiayoke_model::id;

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
        for node in group.nodes.values_mut() {
            // Two rates differ by less than the drift margin of 5 %.
            node.rate = group.random.random_range(976_000..=1_024_000);
        }
        // The clocks changed under the replicas, so they start afresh.
        for id in 1..=size {
            group.crash(id);
            group.restart(id);
        }
        group.network.delay = (200, 20_000);
        group.network.drop = [0, 5, 20][seed as usize % 3];
        group.network.duplicate = 10;
        group.network.late = 3;
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

    /// Returns after how many effects a replica crashes, if it does.
    fn kill_point(&mut self) -> Option<usize> {
        let crashes = self.group.chance(15);
        crashes.then(|| self.group.random.random_range(0..6))
    }

    fn act(&mut self) {
        let span = self.group.random.random_range(0..150_000);
        self.group.run(Duration::from_micros(span));
        let id = self.any();
        match self.group.random.random_range(0..100) {
            0..40 => self.propose(),
            40..45 => self.group.crash(id),
            45..65 => self.group.restart(id),
            65..70 => self.set_paused(id, true),
            70..80 => self.set_paused(id, false),
            80..84 => self.partition(),
            84..89 => self.group.network.cut.clear(),
            89..94 => {
                let kill = self.kill_point();
                self.group.compact(id, kill);
            }
            94..96 => {
                let kill = self.kill_point();
                self.group.step(id, event::Event::Transfer, kill);
            }
            96..97 => self.lose_disk(id),
            _ => self.tick(id),
        }
        self.continue_repair();
    }

    fn propose(&mut self) {
        let leader = self.group.authority();
        let id = leader.unwrap_or_else(|| self.any());
        for _ in 0..self.group.random.random_range(1..6) {
            self.proposals += 1;
            let payload = format!("payload-{}", self.proposals);
            let kill = self.kill_point();
            self.group.step(id, event::Event::Propose(payload), kill);
        }
    }

    /// An early tick, with a crash at one of its effects.
    fn tick(&mut self, id: u64) {
        let kill = self.kill_point();
        self.group.step(id, event::Event::Tick, kill);
    }

    fn set_paused(&mut self, id: u64, paused: bool) {
        let node = self.group.nodes.get_mut(&id).expect("the node exists");
        node.paused = paused && node.replica.is_some();
    }

    fn partition(&mut self) {
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
        let kill = self.kill_point();
        self.group
            .step(leader, event::Event::ChangeMember(change), kill);
    }

    /// Heals everything, and checks that the group commits a new proposal on
    /// every replica and that all have applied the same.
    fn finish(&mut self) {
        self.group.network.cut.clear();
        self.group.network.drop = 0;
        self.group.network.late = 0;
        let ids: Vec<_> = self.group.nodes.keys().copied().collect();
        for _ in 0..100 {
            // A step of the repair can crash the leader again.
            for id in &ids {
                self.set_paused(*id, false);
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
        let response = self.group.step(leader, last, None);
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
fn random_runs_keep_the_laws_first() {
    explore(0..100);
}

#[test]
fn random_runs_keep_the_laws_second() {
    explore(100..200);
}
