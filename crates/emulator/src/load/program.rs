//! Command line of the load tool.

use std::net;
use std::path;
use std::process;
use std::time::Duration;

use clap::Parser;

use crate::load;
use crate::load::mix;
use crate::load::plan;

/// Exit code if a response was wrong or lost, or the audit found a fault.
const EXIT_NOT_CLEAN: u8 = 1;

/// Exit code if the run failed.
const EXIT_FAILED: u8 = 2;

#[derive(Clone, Copy, Debug, clap::ValueEnum)]
enum Deployment {
    Ankesor,
    ChaoPhraya,
}

/// Load tool for nodes and stand-ins.
#[derive(Debug, Parser)]
#[command(name = "sequoiayoke-load", version)]
struct Arguments {
    /// Address of a node, or of a stand-in with --straight; may be repeated.
    #[arg(long = "target", required = true)]
    targets: Vec<net::SocketAddr>,
    /// Send directly to stand-ins, as the baseline of a comparison.
    #[arg(long)]
    straight: bool,
    /// Stand-in whose executions are compared with the responses; may be repeated.
    #[arg(long = "standin")]
    standins: Vec<net::SocketAddr>,
    /// Seed of the schedule; random and printed if not given.
    #[arg(long)]
    seed: Option<u64>,
    /// Arrivals per second.
    #[arg(long, default_value_t = 100.0)]
    rate: f64,
    /// Time over which requests arrive, in milliseconds.
    #[arg(long, default_value_t = 10_000)]
    duration_ms: u64,
    /// Time at the start whose latencies are excluded, in milliseconds.
    #[arg(long, default_value_t = 0)]
    warmup_ms: u64,
    /// Known deployment whose services and kinds of requests are used.
    #[arg(long, value_enum, default_value = "ankesor")]
    deployment: Deployment,
    /// Share as service:weight:reads:writes:uploads, instead of a deployment; may be repeated.
    #[arg(long = "mix")]
    mix: Vec<mix::Share>,
    /// Number of keys of each service.
    #[arg(long, default_value_t = 100_000)]
    keys: u64,
    /// Exponent of the Zipf distribution of the keys; 0 is uniform.
    #[arg(long, default_value_t = 0.99)]
    zipf: f64,
    /// Number of keys that are reported as hot.
    #[arg(long, default_value_t = 62)]
    hot_ranks: u64,
    /// Time after which the hottest keys change, in milliseconds.
    #[arg(long)]
    shift_every_ms: Option<u64>,
    /// Time from which requests for storm keys arrive, in milliseconds.
    #[arg(long)]
    storm_at_ms: Option<u64>,
    /// Share of all requests that go to storm keys.
    #[arg(long, default_value_t = 0.5)]
    storm_share: f64,
    /// Number of storm keys.
    #[arg(long, default_value_t = 1)]
    storm_keys: u64,
    /// Body size of a write, in bytes.
    #[arg(long, default_value_t = 128)]
    write_bytes: u64,
    /// Body size of an upload, in bytes.
    #[arg(long, default_value_t = 256 * 1024)]
    upload_bytes: u64,
    /// Pause between the 16 KiB chunks of an upload, in milliseconds.
    #[arg(long, default_value_t = 0)]
    upload_pause_ms: u64,
    /// Deadline of each attempt, in milliseconds.
    #[arg(long, default_value_t = 2_000)]
    deadline_ms: u64,
    /// Retries of a request whose outcome is unknown or whose response was lost.
    #[arg(long, default_value_t = 3)]
    resends: u32,
    /// Send to the owner that the last response for a key named.
    #[arg(long)]
    follow_owner: bool,
    /// Largest number of requests in flight; further arrivals are dropped and reported.
    #[arg(long, default_value_t = 10_000)]
    max_in_flight: usize,
    /// Largest number of requests in flight to each target; further ones wait.
    #[arg(long)]
    connections: Option<usize>,
    /// Traffic threads of the tool.
    #[arg(long, default_value_t = 2)]
    threads: usize,
    /// Token of a caller, or TOKEN@SCOPE to check the scope of responses; may be repeated.
    #[arg(long = "token", value_parser = parse_caller)]
    callers: Vec<plan::Caller>,
    /// Process whose processor time is measured; may be repeated.
    #[arg(long = "pid")]
    pids: Vec<u32>,
    /// Trace file to replay, with one JSON object per line.
    #[arg(long)]
    trace: Option<path::PathBuf>,
    /// Print the report in JSON.
    #[arg(long)]
    json: bool,
}

fn parse_caller(argument: &str) -> Result<plan::Caller, String> {
    let (token, scope) = match argument.split_once('@') {
        Some((token, scope)) => (token, Some(scope.to_owned())),
        None => (argument, None),
    };
    if token.is_empty() {
        return Err("the token is empty".into());
    }
    Ok(plan::Caller {
        token: token.to_owned(),
        scope,
    })
}

impl Arguments {
    fn into_plan(self) -> plan::Plan {
        let mode = match self.straight {
            true => plan::Mode::Straight,
            false => plan::Mode::Nodes,
        };
        let mix = match (self.mix.is_empty(), self.deployment) {
            (false, _) => mix::Mix { shares: self.mix },
            (true, Deployment::Ankesor) => mix::Mix::ankesor(),
            (true, Deployment::ChaoPhraya) => mix::Mix::chao_phraya(),
        };
        let storm = self.storm_at_ms.map(|start_ms| plan::Storm {
            start: Duration::from_millis(start_ms),
            share: self.storm_share,
            keys: self.storm_keys,
        });
        plan::Plan {
            standins: self.standins,
            seed: self.seed.unwrap_or_else(rand::random),
            rate: self.rate,
            duration: Duration::from_millis(self.duration_ms),
            warmup: Duration::from_millis(self.warmup_ms),
            mix,
            keys: self.keys,
            zipf: self.zipf,
            hot_ranks: self.hot_ranks,
            shift_interval: self.shift_every_ms.map(Duration::from_millis),
            storm,
            write_bytes: self.write_bytes,
            upload_bytes: self.upload_bytes,
            upload_pause: Duration::from_millis(self.upload_pause_ms),
            deadline: Duration::from_millis(self.deadline_ms),
            max_retries: self.resends,
            follow_owner: self.follow_owner,
            max_in_flight: self.max_in_flight,
            connections: self.connections,
            threads: self.threads,
            callers: self.callers,
            pids: self.pids,
            trace: self.trace,
            ..plan::Plan::new(mode, self.targets)
        }
    }
}

/// Runs the load tool; exits with 1 if a response was wrong or lost, or the audit found a fault.
pub fn main() -> process::ExitCode {
    let arguments = Arguments::parse();
    tracing_subscriber::fmt()
        .with_env_filter(tracing_subscriber::EnvFilter::from_default_env())
        .with_writer(std::io::stderr)
        .init();
    let json = arguments.json;
    let plan = arguments.into_plan();
    eprintln!("seed {}", plan.seed);
    let report = match load::Load::new(plan).and_then(|load| load.run()) {
        Ok(report) => report,
        Err(report) => {
            eprintln!("{report:?}");
            return process::ExitCode::from(EXIT_FAILED);
        }
    };
    match json {
        true => println!("{}", report.to_json()),
        false => print!("{report}"),
    }
    match report.is_clean() {
        true => process::ExitCode::SUCCESS,
        false => process::ExitCode::from(EXIT_NOT_CLEAN),
    }
}
