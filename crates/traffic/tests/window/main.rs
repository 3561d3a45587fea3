//! The record of request ids under random sequences of events.
//!
//! Guards against a second run of an id, and against reporting "not run" for an attempt
//! that ran. The causes explored are retries, moves and losses of slices, restarts of
//! nodes, splits, merges and evictions.

mod rules;
mod simulation;

use simulation::Simulation;

const SEEDS: u64 = 10_000;
const STEPS: u32 = 400;

#[test]
fn no_id_runs_twice_and_no_run_is_reported_as_not_run() {
    let mut reached = simulation::Reached::new();
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed);
        for _ in 0..STEPS {
            simulation.step();
        }
        simulation.run_to_completion();
        for (situation, count) in simulation.reached {
            *reached.entry(situation).or_default() += count;
        }
    }
    println!("seeds 0..{SEEDS}, reached {reached:?}");
    // The result covers only the situations that were reached.
    assert_eq!(reached.len(), 16, "a situation was not reached");
    assert!(
        reached.values().all(|count| *count >= 100),
        "rarely reached"
    );
}
