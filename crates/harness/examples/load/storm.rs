//! Latency of other keys while one key is hot.

use std::time::Duration;

use sequoiayoke_emulator::load::plan;

use crate::bench;

/// Share of all requests that goes to the hot key.
const HOT_SHARE: f64 = 0.5;
/// Load of the other keys, as a share of the nominal capacity.
const BASE_LOAD: f64 = 0.4;
/// Largest factor by which the other keys' p99 may grow.
const TARGET_RATIO: f64 = 2.0;

/// Measures the other keys without and with a hot key, alternately.
pub(crate) fn run(bench: &bench::Bench) -> Result<bool, bench::Error> {
    let targets = || [bench.owners(), bench.entry()].concat();
    let rate = BASE_LOAD * bench::CAPACITY;
    let mut is_clean = true;
    let (mut base, mut storm) = (Vec::new(), Vec::new());
    for round in 0..bench.rounds {
        let seed = bench.seed + round;
        let plan = bench.plan(plan::Mode::Nodes, targets(), rate);
        let report = bench::run("no hot key", &plan.with_seed(seed))?;
        base.push(bench::read_latency(&report));
        is_clean &= report.is_clean();

        // The other keys keep their rate; the load of the hot key is added.
        let mut plan = bench.plan(plan::Mode::Nodes, targets(), rate / (1.0 - HOT_SHARE));
        plan.storm = Some(plan::Storm {
            start: Duration::ZERO,
            share: HOT_SHARE,
            keys: 1,
        });
        let report = bench::run("one hot key", &plan.with_seed(seed))?;
        storm.push(bench::read_latency(&report));
        is_clean &= report.is_clean();
    }
    let p99 = |list: &[sequoiayoke_emulator::load::report::Latency]| {
        bench::median(list.iter().map(|latency| latency.p99_us).collect())
    };
    let answered = |list: &[sequoiayoke_emulator::load::report::Latency]| {
        bench::median(list.iter().map(|latency| latency.count).collect())
    };
    let (before, after) = (p99(&base), p99(&storm));
    println!(
        "=== storm: other keys' p99 {before} us without, {after} us with a hot key: {:.2} times \
         (target {TARGET_RATIO}); reads of them answered: {} and {}",
        after as f64 / before.max(1) as f64,
        answered(&base),
        answered(&storm),
    );
    Ok(is_clean)
}
