//! Goodput beyond the capacity of the servers.

use sequoiayoke_emulator::load::plan;

use crate::bench;

/// Offered loads among which the peak of goodput is searched, as shares of the nominal capacity.
const LOAD_STEPS: &[f64] = &[0.7, 0.8, 0.9, 1.0, 1.1];
/// Least share of the peak that goodput must keep at twice the capacity.
const TARGET_RATIO: f64 = 0.9;
/// Deadline of the requests: the time that users wait before they abandon one.
const DEADLINE: std::time::Duration = std::time::Duration::from_millis(500);

/// Measures the peak of goodput, and then goodput at twice the capacity.
pub(crate) fn run(bench: &bench::Bench) -> Result<bool, bench::Error> {
    let targets = || [bench.owners(), bench.entry()].concat();
    let mut is_clean = true;
    let mut peak: f64 = 0.0;
    let mut measure = |label: &str, share: f64| {
        let rate = share * bench::CAPACITY;
        let mut plan = bench.plan(plan::Mode::Nodes, targets(), rate);
        plan.deadline = DEADLINE;
        plan.threads = 3;
        let report = bench::run(label, &plan)?;
        is_clean &= report.is_clean();
        Ok::<_, bench::Error>(report.goodput)
    };
    for step in LOAD_STEPS {
        peak = peak.max(measure("step to the peak", *step)?);
    }
    let mut ratios = Vec::new();
    for _ in 0..bench.rounds {
        let goodput = measure("twice the capacity", 2.0)?;
        println!("goodput {goodput:.0}/s against the peak of {peak:.0}/s");
        ratios.push((goodput / peak * 1_000.0) as u64);
    }
    let ratio = bench::median(ratios) as f64 / 1_000.0;
    println!(
        "=== overload: goodput at twice the capacity {ratio:.3} of its peak (target {TARGET_RATIO})"
    );
    Ok(is_clean)
}
