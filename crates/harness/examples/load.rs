//! Measures the request path under load against real processes.
//!
//! `cargo run --release -p sequoiayoke-harness --example load -- --bin target/release`
//!
//! One measurement runs at a time. The machine may be shared, so each report shows its load
//! average, and variants that are compared run alternately.

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

/// A measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
enum Section {
    /// Latency at half load: straight to the stand-ins, through the owner's node, and with one hop.
    Path,
    /// Goodput at twice the capacity, compared with its peak.
    Overload,
    /// Latency of other keys while one key is hot.
    Storm,
    /// Freezes, kills and a drain under load.
    Faults,
}

/// Measures the request path under load.
#[derive(Debug, Parser)]
struct Arguments {
    /// Directory of the programs to run.
    #[arg(long, default_value_os_t = sequoiayoke_harness::release_folder())]
    bin: std::path::PathBuf,
    /// Log level of control replicas and nodes.
    #[arg(long, default_value = "info")]
    level: String,
    /// Length of each run, in seconds.
    #[arg(long, default_value_t = 5)]
    seconds: u64,
    /// Rounds of each measurement, of which the median counts.
    #[arg(long, default_value_t = 3)]
    rounds: u64,
    /// Seed of the schedules.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Serve metrics on the nodes, which makes them measure.
    #[arg(long)]
    metrics: bool,
    /// Measurements to run; all if none is given.
    sections: Vec<Section>,
}

fn main() -> process::ExitCode {
    let arguments = Arguments::parse();
    match measure(&arguments) {
        Ok(true) => process::ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!("an answer was wrong, duplicated or lost");
            process::ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("the measurement failed: {error:?}");
            process::ExitCode::FAILURE
        }
    }
}

/// Runs the selected sections; returns whether no answer was wrong, duplicated or lost.
fn measure(arguments: &Arguments) -> Result<bool, bench::Error> {
    println!(
        "seed {}, log level {}, metrics {}",
        arguments.seed, arguments.level, arguments.metrics
    );
    let is_selected =
        |section| arguments.sections.is_empty() || arguments.sections.contains(&section);
    let mut is_clean = true;
    // Requests straight to a stand-in carry no fencing token, so the stand-ins must not check it.
    if is_selected(Section::Path) || is_selected(Section::Overload) || is_selected(Section::Storm) {
        let bench = bench::Bench::start(arguments, bench::OWNERS, false)?;
        if is_selected(Section::Path) {
            is_clean &= path::run(&bench)?;
        }
        if is_selected(Section::Storm) {
            is_clean &= storm::run(&bench)?;
        }
        if is_selected(Section::Overload) {
            is_clean &= overload::run(&bench)?;
        }
    }
    if is_selected(Section::Faults) {
        is_clean &= faults::run(bench::Bench::start(arguments, faults::OWNERS, true)?)?;
    }
    Ok(is_clean)
}
