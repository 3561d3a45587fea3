//! Measures the request path under load against real processes.
//!
//! `cargo run --release -p sequoiayoke-harness --example load -- --bin target/release`
//!
//! One measurement runs at a time. The machine may be shared, so its load average
//! stands beside the figures, and what is compared is measured in turns.

#[path = "load/bench.rs"]
mod bench;
#[path = "load/faults.rs"]
mod faults;
#[path = "load/overload.rs"]
mod overload;
#[path = "load/path.rs"]
mod path;
#[path = "load/storm.rs"]
mod storm;

use std::process;

use clap::Parser;

/// What is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
enum Section {
    /// Straight, through the owner's node, and with one hop, at half load.
    Path,
    /// Goodput at twice the capacity against its peak.
    Overload,
    /// Other keys' latency while one key is hot.
    Storm,
    /// Freezes, kills and a drain in the midst of load.
    Faults,
}

/// Measures the request path under load.
#[derive(Debug, Parser)]
struct Arguments {
    /// Directory of the programs.
    #[arg(long, default_value = "target/release")]
    bin: std::path::PathBuf,
    /// Level of the log of all processes.
    #[arg(long, default_value = "info")]
    level: String,
    /// Length of each run, in seconds.
    #[arg(long, default_value_t = 5)]
    seconds: u64,
    /// Rounds of measurements that are compared.
    #[arg(long, default_value_t = 3)]
    rounds: u64,
    /// Seed of the schedules.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Let nodes render metrics, and so measure.
    #[arg(long)]
    metrics: bool,
    /// What to measure; everything if none is named.
    sections: Vec<Section>,
}

fn main() -> process::ExitCode {
    let arguments = Arguments::parse();
    match measure(&arguments) {
        Ok(true) => process::ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!("an answer was wrong, doubled or lost");
            process::ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("the measurement failed: {error:?}");
            process::ExitCode::FAILURE
        }
    }
}

/// Runs the sections; tells whether every answer was right.
fn measure(arguments: &Arguments) -> Result<bool, bench::Error> {
    println!(
        "seed {}, log level {}, metrics {}",
        arguments.seed, arguments.level, arguments.metrics
    );
    let wanted = |section| arguments.sections.is_empty() || arguments.sections.contains(&section);
    let mut clean = true;
    // Straight to a stand-in there is no fencing token, so it must not be checked.
    if wanted(Section::Path) || wanted(Section::Overload) || wanted(Section::Storm) {
        let bench = bench::Bench::start(arguments, bench::OWNERS, false)?;
        if wanted(Section::Path) {
            clean &= path::run(&bench)?;
        }
        if wanted(Section::Storm) {
            clean &= storm::run(&bench)?;
        }
        if wanted(Section::Overload) {
            clean &= overload::run(&bench)?;
        }
    }
    if wanted(Section::Faults) {
        clean &= faults::run(bench::Bench::start(arguments, faults::OWNERS, true)?)?;
    }
    Ok(clean)
}
