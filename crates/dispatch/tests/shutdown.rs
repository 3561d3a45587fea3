//! Phases of a graceful stop, without a network.

use std::time::Duration;

use sequoiayoke_dispatch::shutdown::{Phase, Schedule};
use sequoiayoke_model::clock;

/// Resolution with which the tests go through a stop.
const STEP: Duration = Duration::from_millis(10);

fn phases(grace: Duration) -> Vec<(Duration, Phase)> {
    let start = clock::Instant::from_micros(7_000_000);
    let schedule = Schedule::new(start, grace);
    let steps = (grace.as_millis() / STEP.as_millis()) as u32;
    let elapsed = (0..=steps).map(|step| STEP * step);
    elapsed
        .map(|elapsed| (elapsed, schedule.phase(start + elapsed)))
        .collect()
}

/// Guards against a process that is killed with requests that have no outcome: whatever the grace
/// period is, waiting requests are refused first, then running ones are given up, and the process
/// exits before the period is over.
#[test]
fn every_grace_period_leaves_time_for_outcomes_and_answers() {
    // Shortest time for running requests, both in milliseconds.
    let expected = [
        (0, 0),
        (500, 0),
        (1_000, 60),
        (2_000, 400),
        (6_000, 1_500),
        (30_000, 1_500),
    ];
    for (grace_ms, run_ms) in expected {
        let grace = Duration::from_millis(grace_ms);
        let phases = phases(grace);
        assert!(phases.is_sorted_by_key(|(_, phase)| *phase), "{grace:?}");
        assert_eq!(phases.last().map(|(_, phase)| *phase), Some(Phase::Exit));
        let start_of = |phase| {
            let found = phases.iter().find(|(_, found)| *found >= phase);
            found.expect("each phase begins").0
        };
        let run_time = start_of(Phase::Ending) - start_of(Phase::Withdrawing);
        assert!(
            run_time >= Duration::from_millis(run_ms),
            "{grace:?}: {run_time:?}"
        );
    }
}

/// Guards against a request that arrives while the node stops and whose outcome comes after its
/// end.
#[test]
fn an_outcome_is_due_before_the_end() {
    let start = clock::Instant::from_micros(0);
    let schedule = Schedule::new(start, Duration::from_secs(6));
    let latest = schedule.latest_outcome();
    assert!(schedule.phase(latest) < Phase::Ending);
    assert_eq!(
        schedule.phase(latest + Duration::from_millis(100)),
        Phase::Ending
    );
}

/// Guards against a driver that sleeps past a change of the phase, or wakes up without one.
#[test]
fn each_change_of_the_phase_is_announced() {
    let start = clock::Instant::from_micros(0);
    let schedule = Schedule::new(start, Duration::from_secs(6));
    let mut now = start;
    let mut seen = vec![schedule.phase(now)];
    while let Some(next) = schedule.next_change(now) {
        assert!(schedule.phase(next) > schedule.phase(now));
        now = next;
        seen.push(schedule.phase(now));
    }
    let all = [
        Phase::Leaving,
        Phase::Closed,
        Phase::Withdrawing,
        Phase::Ending,
        Phase::Exit,
    ];
    assert_eq!(seen, all);
}
