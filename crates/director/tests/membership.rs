//! Members of a group whose VMs are lost, return, lose their disks, and are replaced at other addresses,
//! in any order and at the same time.
//!
//! `MEMBERSHIP_SEED` selects a single seed of the exploration, `MEMBERSHIP_SEEDS` the number of seeds for
//! each size of the group; a failure message has its seed and, for a single one, the events of the run.

#[path = "membership/world.rs"]
mod world;

use std::env;

/// Number of explored seeds for each size of the group.
const SEEDS: u64 = 12;
/// Number of VMs, and how many of them may be lost at the same time.
const GROUPS: [(usize, usize); 6] = [(3, 1), (5, 1), (6, 2), (7, 2), (8, 2), (10, 2)];
/// Number of losses in an explored run.
const LOSSES: usize = 14;

fn number_of(variable: &str) -> Option<u64> {
    env::var(variable).ok()?.parse().ok()
}

/// Plays losses on a group that has formed, then lets all VMs return.
fn play<Losses>(vms: usize, tolerated: usize, seed: u64, losses: Losses) -> Result<(), String>
where
    Losses: Fn(&mut world::World) -> Result<(), String>,
{
    let mut world = world::World::new(vms, tolerated, seed);
    let result = world.run(12_000).and_then(|()| losses(&mut world));
    let result = result.and_then(|()| world.recover());
    result.map_err(|violation| format!("{vms} VMs: {violation}\n{}", world.trace()))
}

/// Guards against silent voters that are removed so that the group no longer bears the loss of disks:
/// as many voters as tolerated are down, and as many others lose their disks.
#[test]
fn voters_that_are_down_vote_when_they_return() {
    for (vms, tolerated) in [(3, 1), (5, 1), (6, 2), (7, 2), (8, 2), (8, 3), (10, 2)] {
        for down_ms in [3_000, 10_000, 30_000, 60_000] {
            let result = play(vms, tolerated, 0, |world| {
                for vm in vms - tolerated..vms {
                    world.kill(vm, None);
                }
                world.run(down_ms)?;
                for vm in 0..tolerated {
                    world.wipe(vm, 500);
                }
                world.run(1_000)
            });
            assert_eq!(result, Ok(()), "down for {down_ms} ms");
        }
    }
}

/// Guards against the removal of a voter that is down in place of one whose VM was removed for good.
#[test]
fn a_voter_that_is_down_stays_beside_one_that_was_replaced() {
    for (vms, tolerated) in [(6, 2), (7, 2), (8, 2), (10, 2)] {
        for down_ms in [0, 1_000, 10_000, 30_000] {
            let result = play(vms, tolerated, 0, |world| {
                world.kill(vms - 1, None);
                world.run(down_ms)?;
                world.replace(vms - 2, 1_000);
                world.run(30_000)?;
                world.wipe(3, 500);
                world.wipe(0, 500);
                world.run(1_000)
            });
            assert_eq!(result, Ok(()), "down for {down_ms} ms before");
        }
    }
}

/// Guards against a newcomer that is never added, because it introduced itself while no replica led.
#[test]
fn a_newcomer_that_came_before_the_leader_joins() {
    for seed in 0..6 {
        let result = play(3, 1, seed, |world| {
            let successor = world.replace(2, 1_000);
            world.kill(0, Some(12_000));
            world.run(20_000)?;
            match world.is_voter(successor) {
                true => Ok(()),
                false => Err(format!("vm {successor} is no voter")),
            }
        });
        assert_eq!(result, Ok(()), "seed {seed}");
    }
}

/// Guards against a voter that stays for seconds after its VM was replaced as planned, so that the group
/// does not bear the loss of another disk.
#[test]
fn a_voter_that_stops_leaves_at_once_if_another_has_joined() {
    for (vms, tolerated) in [(3, 1), (6, 2)] {
        for seed in 0..6 {
            let result = play(vms, tolerated, seed, |world| {
                world.replace_as_planned(vms - 1, 6_000)?;
                world.run(1_000)?;
                world.wipe(1, 500);
                world.run(1_000)
            });
            assert_eq!(result, Ok(()), "seed {seed}");
        }
    }
}

/// Guards against a voter that is gone and stays for longer than its VM counts as lost, if the leader
/// has changed meanwhile.
#[test]
fn a_voter_that_is_gone_has_left_when_its_successor_has_caught_up() {
    for seed in 0..8 {
        let result = play(3, 1, seed, |world| {
            world.replace(2, 1_000);
            world.run(2_500)?;
            let leader = world.leader().ok_or("there is no leader")?;
            world.kill(leader, Some(500));
            world.run(500 + world::CATCH_UP_MS)?;
            world.wipe(1 - leader, 500);
            world.run(1_000)
        });
        assert_eq!(result, Ok(()), "seed {seed}");
    }
}

/// Guards against a group that has no leader for good, or a leader that lacks an acknowledged order,
/// though no more disks were lost at the same time than the deployment tolerates.
#[test]
fn a_group_recovers_from_all_tolerated_losses() {
    let seed = number_of("MEMBERSHIP_SEED");
    let count = number_of("MEMBERSHIP_SEEDS").unwrap_or(SEEDS);
    let mut failures = Vec::new();
    for (vms, tolerated) in GROUPS {
        for number in seed.map_or(0..count, |seed| seed..seed + 1) {
            let mut world = world::World::new(vms, tolerated, number);
            if let Err(violation) = world.play(LOSSES) {
                let trace = seed.map_or(String::new(), |_| world.trace());
                failures.push(format!("{vms} VMs, seed {number}: {violation}\n{trace}"));
            }
        }
    }
    assert!(
        failures.is_empty(),
        "{}: {}",
        failures.len(),
        failures.join("\n")
    );
}
