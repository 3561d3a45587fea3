//! At most one run per request id.
//!
//! Guards against a second run of an id, and against "not run" for a sending that
//! ran, through resends, moves, losses, restarts, splits, merges and evictions.

mod rules;
mod world;

use world::World;

const SEEDS: u64 = 10_000;
const STEPS: u32 = 400;

#[test]
fn no_id_runs_twice_and_not_run_is_true() {
    let mut reached = world::Reached::new();
    for seed in 0..SEEDS {
        let mut world = World::new(seed);
        for _ in 0..STEPS {
            world.step();
        }
        world.settle();
        for (situation, count) in world.reached {
            *reached.entry(situation).or_default() += count;
        }
    }
    println!("seeds 0..{SEEDS}, reached {reached:?}");
    // An exploration that avoids a situation proves nothing about it.
    assert_eq!(reached.len(), 16, "a situation was not reached");
    assert!(
        reached.values().all(|count| *count >= 100),
        "rarely reached"
    );
}
