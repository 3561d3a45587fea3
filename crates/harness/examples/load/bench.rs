//! The deployment that is measured, and single runs of the load tool.

use std::fs;
use std::net;
use std::time::Duration;

use sequoiayoke_emulator::load;
use sequoiayoke_emulator::load::{mix, plan, report};
use sequoiayoke_harness::{Deployment, settings};
use tokio::runtime;

use crate::Arguments;

/// Service that is measured.
pub(crate) const SERVICE: &str = "kiosk-status";
/// Service of the node that is only an entry to [`SERVICE`].
const ENTRY: &str = "entry";
/// Servers of [`SERVICE`] whose capacity is measured.
pub(crate) const OWNERS: usize = 2;
/// Requests that a server runs at the same time.
const SLOTS: u32 = 12;
/// Time that a request takes on a server, in ms.
const DELAY_MS: u64 = 10;
/// Requests a second that the servers could take if nothing else took time.
pub(crate) const CAPACITY: f64 = OWNERS as f64 * SLOTS as f64 * 1_000.0 / DELAY_MS as f64;
/// Slices of each service.
const SLICES: u32 = 32;
/// Keys; few, so that a caller that follows owners knows them all after the warm-up.
const KEYS: u64 = 200;
/// Start of each run whose latencies do not count.
const WARMUP: Duration = Duration::from_secs(1);
/// Runs made at most to get one in which the tool was fast enough.
const TRIES: u32 = 3;

/// A measurement could not be made.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// A process of the deployment.
    #[error("the deployment: {0}")]
    Deployment(#[from] sequoiayoke_harness::Error),
    /// The load tool.
    #[error("the load tool: {0}")]
    Load(String),
    /// A runtime.
    #[error("a runtime: {0}")]
    Runtime(#[from] std::io::Error),
}

/// A running deployment.
#[derive(Debug)]
pub(crate) struct Bench {
    /// Its processes.
    pub(crate) deployment: Deployment,
    /// Runtime for what the harness asks the deployment.
    pub(crate) runtime: runtime::Runtime,
    /// Length of a run, warm-up included.
    pub(crate) duration: Duration,
    /// Rounds of measurements that are compared.
    pub(crate) rounds: u64,
    /// Seed of the schedules.
    pub(crate) seed: u64,
}

impl Bench {
    /// Starts a deployment with `owners` servers of [`SERVICE`].
    pub(crate) fn start(
        arguments: &Arguments,
        owners: usize,
        fencing: bool,
    ) -> Result<Self, Error> {
        let mut spec = settings::Spec::new(3)
            .with_service(SERVICE, owners, SLOTS, DELAY_MS)
            .with_service(ENTRY, 1, SLOTS, DELAY_MS)
            .with_fencing(fencing);
        spec.level.clone_from(&arguments.level);
        spec.metrics = arguments.metrics;
        let runtime = runtime::Runtime::new()?;
        let deployment = Deployment::start(&arguments.bin, spec)?;
        runtime.block_on(async {
            deployment.wait_joined().await?;
            deployment.create_services(SLICES).await
        })?;
        let bench = Self {
            deployment,
            runtime,
            duration: Duration::from_secs(arguments.seconds) + WARMUP,
            rounds: arguments.rounds,
            seed: arguments.seed,
        };
        bench.warm_up()?;
        Ok(bench)
    }

    /// Sends requests that do not count: nodes raise the load of a new server slowly.
    fn warm_up(&self) -> Result<(), Error> {
        let mut plan = self.plan(plan::Mode::Nodes, self.owners(), CAPACITY / 2.0);
        plan.duration = WARMUP * 4;
        run_once("warm-up, does not count", &plan).map(|_| ())
    }

    /// Returns the addresses for callers of the nodes of `service`'s servers.
    pub(crate) fn nodes(&self, service: &str) -> Vec<net::SocketAddr> {
        let pairs = self.deployment.vms.iter();
        let of_service = pairs.filter(|pair| pair.server.services[0] == service);
        of_service
            .filter_map(|pair| pair.caller().parse().ok())
            .collect()
    }

    /// Returns the addresses of the nodes that own keys of [`SERVICE`].
    pub(crate) fn owners(&self) -> Vec<net::SocketAddr> {
        self.nodes(SERVICE)
    }

    /// Returns the address of the node that owns no key of [`SERVICE`].
    pub(crate) fn entry(&self) -> Vec<net::SocketAddr> {
        self.nodes(ENTRY)
    }

    /// Returns the addresses of the stand-ins of [`SERVICE`].
    pub(crate) fn standins(&self) -> Vec<net::SocketAddr> {
        let pairs = self.deployment.vms.iter();
        let of_service = pairs.filter(|pair| pair.server.services[0] == SERVICE);
        of_service
            .filter_map(|pair| pair.standin_address().parse().ok())
            .collect()
    }

    /// Makes the plan of a run: reads and writes of uniform keys at `rate` a second.
    pub(crate) fn plan(
        &self,
        mode: plan::Mode,
        targets: Vec<net::SocketAddr>,
        rate: f64,
    ) -> plan::Plan {
        let shares = vec![mix::Share::new(SERVICE, 1.0, 0.8, 0.2, 0.0)];
        let pids = self.deployment.vms.iter().map(|pair| pair.node.id());
        plan::Plan {
            warmup: WARMUP,
            keys: KEYS,
            zipf: 0.0,
            hot_ranks: 0,
            pids: pids.collect(),
            ..plan::Plan::new(mode, targets)
                .with_seed(self.seed)
                .with_load(rate, self.duration)
                .with_mix(mix::Mix { shares })
                .with_standins(self.standins())
        }
    }
}

/// Makes a run and prints its report.
///
/// A run in which the tool itself was too slow says nothing about the nodes, so it
/// is made again, at most [`TRIES`] times in all; every try is printed.
pub(crate) fn run(what: &str, plan: &plan::Plan) -> Result<report::Report, Error> {
    let mut tries = 1;
    loop {
        let report = run_once(what, plan)?;
        if !report.is_saturated() || tries >= TRIES || !report.is_clean() {
            return Ok(report);
        }
        tries += 1;
    }
}

/// Makes a run once, and prints its report.
pub(crate) fn run_once(what: &str, plan: &plan::Plan) -> Result<report::Report, Error> {
    let failed = |report| Error::Load(format!("{report:?}"));
    let load = load::Load::new(plan.clone()).map_err(failed)?;
    let report = load.run().map_err(failed)?;
    println!("--- {what}: {:.0} requests/s, {}", plan.rate, machine());
    print!("{report}");
    if !plan.pids.is_empty() {
        let costs = report.frame.processes.iter();
        let cost: f64 = costs.map(|cost| cost.us_per_request).sum();
        println!("all nodes: {cost:.0} us of processor time per request");
    }
    Ok(report)
}

/// Returns the load average of the machine, which others use too.
pub(crate) fn machine() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let average = text.split(' ').next().unwrap_or("?");
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    format!("load average {average} on {cores} cores")
}

/// Returns the latencies of reads of keys that are not hot.
pub(crate) fn reads(report: &report::Report) -> report::Latency {
    let found = report.latencies.get("read/other");
    found.copied().unwrap_or_default()
}

/// Returns the middle of several values.
pub(crate) fn median(mut values: Vec<u64>) -> u64 {
    values.sort_unstable();
    values.get(values.len() / 2).copied().unwrap_or(0)
}
