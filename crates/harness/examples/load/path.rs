//! Cost of the request path at half load.

use sequoiayoke_emulator::load::plan;

use crate::bench;

/// Largest p99 that one hop may add, in microseconds.
const TARGET_US: i64 = 1_000;

/// Measures straight, through the owner's node and with one hop, in turns.
pub(crate) fn run(bench: &bench::Bench) -> Result<bool, bench::Error> {
    let rate = bench::CAPACITY / 2.0;
    let mut clean = true;
    let (mut straight, mut owner, mut hop) = (Vec::new(), Vec::new(), Vec::new());
    for round in 0..bench.rounds {
        let seed = bench.seed + round;
        let plan = bench.plan(plan::Mode::Straight, bench.standins(), rate);
        let report = bench::run("straight to the stand-ins", &plan.with_seed(seed))?;
        straight.push(bench::reads(&report));
        clean &= report.is_clean();

        let mut plan = bench.plan(plan::Mode::Nodes, bench.owners(), rate);
        plan.follow_owner = true;
        let report = bench::run("through the owner's node", &plan.with_seed(seed))?;
        owner.push(bench::reads(&report));
        clean &= report.is_clean();

        let plan = bench.plan(plan::Mode::Nodes, bench.entry(), rate);
        let report = bench::run("through another node, one hop", &plan.with_seed(seed))?;
        hop.push(bench::reads(&report));
        clean &= report.is_clean();
    }
    println!("=== path: reads at half load, {rate:.0} requests/s, medians of the rounds, us");
    let mut p99 = Vec::new();
    for (name, latencies) in [("straight", &straight), ("owner", &owner), ("hop", &hop)] {
        let of = |value: fn(&sequoiayoke_emulator::load::report::Latency) -> u64| {
            bench::median(latencies.iter().map(value).collect())
        };
        let (half, high, highest) = (of(|l| l.p50_us), of(|l| l.p99_us), of(|l| l.p999_us));
        println!("{name:<10} p50 {half:>7} p99 {high:>7} p99.9 {highest:>7}");
        p99.push(high);
    }
    let added = p99[2] as i64 - p99[1] as i64;
    println!("added p99 of one hop: {added} us (target under {TARGET_US} us)");
    Ok(clean)
}
