//! Goodput beyond the capacity of the servers.

use sequoiayoke_emulator::load::plan;

use crate::bench;

/// Offered load of the steps to the peak, as a share of the nominal capacity.
const STEPS: &[f64] = &[0.7, 0.8, 0.9, 1.0, 1.1];
/// Share of the peak that goodput must keep.
const TARGET: f64 = 0.9;
/// Time that the callers wait; as long as users do not give up.
const DEADLINE: std::time::Duration = std::time::Duration::from_millis(500);

/// Measures the peak, and then goodput at twice the capacity.
pub(crate) fn run(bench: &bench::Bench) -> Result<bool, bench::Error> {
    let targets = || [bench.owners(), bench.entry()].concat();
    let mut clean = true;
    let mut peak: f64 = 0.0;
    let mut at = |what: &str, share: f64| {
        let rate = share * bench::CAPACITY;
        let mut plan = bench.plan(plan::Mode::Nodes, targets(), rate);
        plan.deadline = DEADLINE;
        plan.threads = 3;
        let report = bench::run(what, &plan)?;
        clean &= report.is_clean();
        Ok::<_, bench::Error>(report.goodput)
    };
    for step in STEPS {
        peak = peak.max(at("step to the peak", *step)?);
    }
    let mut ratios = Vec::new();
    for _ in 0..bench.rounds {
        let twice = at("twice the capacity", 2.0)?;
        println!("goodput {twice:.0}/s against the peak of {peak:.0}/s");
        ratios.push((twice / peak * 1_000.0) as u64);
    }
    let ratio = bench::median(ratios) as f64 / 1_000.0;
    println!(
        "=== overload: goodput at twice the capacity {ratio:.3} of its peak (target {TARGET})"
    );
    Ok(clean)
}
