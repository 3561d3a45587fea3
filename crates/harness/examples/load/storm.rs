//! Other keys while one key is hot.

use std::time::Duration;

use sequoiayoke_emulator::load::plan;

use crate::bench;

/// Share of all requests that goes to the hot key.
const SHARE: f64 = 0.5;
/// Load of the other keys, as a share of the nominal capacity.
const CALM: f64 = 0.4;
/// Factor within which the other keys' p99 must stay.
const TARGET: f64 = 2.0;

/// Measures the other keys without and with a hot key, in turns.
pub(crate) fn run(bench: &bench::Bench) -> Result<bool, bench::Error> {
    let targets = || [bench.owners(), bench.entry()].concat();
    let rate = CALM * bench::CAPACITY;
    let mut clean = true;
    let (mut calm, mut storm) = (Vec::new(), Vec::new());
    for round in 0..bench.rounds {
        let seed = bench.seed + round;
        let plan = bench.plan(plan::Mode::Nodes, targets(), rate);
        let report = bench::run("calm", &plan.with_seed(seed))?;
        calm.push(bench::reads(&report));
        clean &= report.is_clean();

        // The other keys keep their rate; the hot key comes on top.
        let mut plan = bench.plan(plan::Mode::Nodes, targets(), rate / (1.0 - SHARE));
        plan.storm = Some(plan::Storm {
            start: Duration::ZERO,
            share: SHARE,
            keys: 1,
        });
        let report = bench::run("one hot key", &plan.with_seed(seed))?;
        storm.push(bench::reads(&report));
        clean &= report.is_clean();
    }
    let p99 = |list: &[sequoiayoke_emulator::load::report::Latency]| {
        bench::median(list.iter().map(|one| one.p99_us).collect())
    };
    let answered = |list: &[sequoiayoke_emulator::load::report::Latency]| {
        bench::median(list.iter().map(|one| one.count).collect())
    };
    let (before, after) = (p99(&calm), p99(&storm));
    println!(
        "=== storm: other keys' p99 {before} us calm, {after} us with a hot key: {:.2} times \
         (target {TARGET}); reads of them answered: {} and {}",
        after as f64 / before.max(1) as f64,
        answered(&calm),
        answered(&storm),
    );
    Ok(clean)
}
