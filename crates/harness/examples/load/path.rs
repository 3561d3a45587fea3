//! Cost of the request path at half load.

use sequoiayoke_emulator::load::plan;

use crate::bench;

/// Limit of the p99 that a hop may add, in microseconds.
const TARGET_US: i64 = 1_000;

/// Measures straight to the stand-ins, through the owner's node and with one hop, alternately.
pub(crate) fn run(bench: &bench::Bench) -> Result<bool, bench::Error> {
    let rate = bench::CAPACITY / 2.0;
    let mut is_clean = true;
    let (mut straight, mut owner, mut hop) = (Vec::new(), Vec::new(), Vec::new());
    for round in 0..bench.rounds {
        let seed = bench.seed + round;
        let plan = bench.plan(plan::Mode::Straight, bench.standins(), rate);
        let report = bench::run("straight to the stand-ins", &plan.with_seed(seed))?;
        straight.push(bench::read_latency(&report));
        is_clean &= report.is_clean();

        let mut plan = bench.plan(plan::Mode::Nodes, bench.owners(), rate);
        plan.follow_owner = true;
        let report = bench::run("through the owner's node", &plan.with_seed(seed))?;
        owner.push(bench::read_latency(&report));
        is_clean &= report.is_clean();

        let plan = bench.plan(plan::Mode::Nodes, bench.entry(), rate);
        let report = bench::run("through another node, one hop", &plan.with_seed(seed))?;
        hop.push(bench::read_latency(&report));
        is_clean &= report.is_clean();
    }
    println!("=== path: reads at half load, {rate:.0} requests/s, medians of the rounds, us");
    let mut p99s = Vec::new();
    for (name, latencies) in [("straight", &straight), ("owner", &owner), ("hop", &hop)] {
        let median = |value: fn(&sequoiayoke_emulator::load::report::Latency) -> u64| {
            bench::median(latencies.iter().map(value).collect())
        };
        let (p50, p99, p999) = (
            median(|l| l.p50_us),
            median(|l| l.p99_us),
            median(|l| l.p999_us),
        );
        println!("{name:<10} p50 {p50:>7} p99 {p99:>7} p99.9 {p999:>7}");
        p99s.push(p99);
    }
    let added = p99s[2] as i64 - p99s[1] as i64;
    println!("added p99 of one hop: {added} us (target under {TARGET_US} us)");
    Ok(is_clean)
}
