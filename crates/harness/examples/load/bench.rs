//! The deployment under test, and runs of the load tool.

use std::fs;
use std::net;
use std::time::Duration;

use sequoiayoke_emulator::load;
use sequoiayoke_emulator::load::{mix, plan, report};
use sequoiayoke_harness::{Deployment, settings};
use tokio::runtime;

use crate::Arguments;

/// Service under test.
pub(crate) const SERVICE: &str = "kiosk-status";
/// Service of the node that only forwards requests for [`SERVICE`].
const ENTRY: &str = "entry";
/// Number of servers of [`SERVICE`].
pub(crate) const OWNERS: usize = 2;
/// Requests that a server runs at the same time.
const SLOTS: u32 = 12;
/// Time that a request takes on a server, in ms.
const DELAY_MS: u64 = 10;
/// Nominal capacity of the servers, in requests a second, without any overhead.
pub(crate) const CAPACITY: f64 = OWNERS as f64 * SLOTS as f64 * 1_000.0 / DELAY_MS as f64;
/// Slices of each service.
const SLICES: u32 = 32;
/// Number of keys; small, so that a caller that follows owners knows all owners after the warm-up.
const KEYS: u64 = 200;
/// Time at the start of each run whose latencies are left out.
const WARMUP: Duration = Duration::from_secs(1);
/// Maximum number of runs until one in which the load tool is not saturated.
const MAX_ATTEMPTS: u32 = 3;

/// Errors of a measurement.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The deployment failed.
    #[error("the deployment failed: {0}")]
    Deployment(#[from] sequoiayoke_harness::Error),
    /// The load tool failed.
    #[error("the load tool failed: {0}")]
    Load(String),
    /// The runtime did not start.
    #[error("failed to start the runtime: {0}")]
    Runtime(#[from] std::io::Error),
}

/// A deployment under test and the parameters of its measurements.
#[derive(Debug)]
pub(crate) struct Bench {
    /// Deployment under test.
    pub(crate) deployment: Deployment,
    /// Runtime for the harness's requests to the deployment.
    pub(crate) runtime: runtime::Runtime,
    /// Length of a run, including the warm-up.
    pub(crate) duration: Duration,
    /// Rounds of each measurement.
    pub(crate) rounds: u64,
    /// Seed of the schedules.
    pub(crate) seed: u64,
}

impl Bench {
    /// Starts a deployment with `owners` servers of [`SERVICE`], and warms it up.
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

    /// Runs load that is not measured, since nodes raise the load of a new server slowly.
    fn warm_up(&self) -> Result<(), Error> {
        let mut plan = self.plan(plan::Mode::Nodes, self.owners(), CAPACITY / 2.0);
        plan.duration = WARMUP * 4;
        run_once("warm-up, not measured", &plan).map(|_| ())
    }

    /// Returns the caller addresses of the nodes of `service`'s servers.
    pub(crate) fn nodes(&self, service: &str) -> Vec<net::SocketAddr> {
        let vms = self.deployment.vms.iter();
        let of_service = vms.filter(|vm| vm.server.services[0] == service);
        of_service
            .filter_map(|vm| vm.caller().parse().ok())
            .collect()
    }

    /// Returns the addresses of the nodes that own keys of [`SERVICE`].
    pub(crate) fn owners(&self) -> Vec<net::SocketAddr> {
        self.nodes(SERVICE)
    }

    /// Returns the address of the node that owns no key of [`SERVICE`], as the only element.
    pub(crate) fn entry(&self) -> Vec<net::SocketAddr> {
        self.nodes(ENTRY)
    }

    /// Returns the addresses of the stand-ins of [`SERVICE`].
    pub(crate) fn standins(&self) -> Vec<net::SocketAddr> {
        let vms = self.deployment.vms.iter();
        let of_service = vms.filter(|vm| vm.server.services[0] == SERVICE);
        of_service
            .filter_map(|vm| vm.standin_address().parse().ok())
            .collect()
    }

    /// Returns the plan of a run with reads and writes of uniform keys at `rate` a second.
    pub(crate) fn plan(
        &self,
        mode: plan::Mode,
        targets: Vec<net::SocketAddr>,
        rate: f64,
    ) -> plan::Plan {
        let shares = vec![mix::Share::new(SERVICE, 1.0, 0.8, 0.2, 0.0)];
        let pids = self.deployment.vms.iter().map(|vm| vm.node.id());
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

/// Runs the load tool and prints each report.
///
/// A run in which the tool itself was saturated says nothing about the nodes, so it is repeated
/// up to [`MAX_ATTEMPTS`] runs in total.
pub(crate) fn run(label: &str, plan: &plan::Plan) -> Result<report::Report, Error> {
    let mut attempts = 1;
    loop {
        let report = run_once(label, plan)?;
        if !report.is_saturated() || attempts >= MAX_ATTEMPTS || !report.is_clean() {
            return Ok(report);
        }
        attempts += 1;
    }
}

/// Runs the load tool once and prints its report.
pub(crate) fn run_once(label: &str, plan: &plan::Plan) -> Result<report::Report, Error> {
    let load_error = |error| Error::Load(format!("{error:?}"));
    let load = load::Load::new(plan.clone()).map_err(load_error)?;
    let report = load.run().map_err(load_error)?;
    println!(
        "--- {label}: {:.0} requests/s, {}",
        plan.rate,
        machine_load()
    );
    print!("{report}");
    if !plan.pids.is_empty() {
        let costs = report.frame.processes.iter();
        let cost: f64 = costs.map(|cost| cost.us_per_request).sum();
        println!("all nodes: {cost:.0} us of processor time per request");
    }
    Ok(report)
}

/// Returns the load average of the machine, which other work may share.
pub(crate) fn machine_load() -> String {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let average = text.split(' ').next().unwrap_or("?");
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    format!("load average {average} on {cores} cores")
}

/// Returns the latencies of reads of keys that are not hot.
pub(crate) fn read_latency(report: &report::Report) -> report::Latency {
    let latency = report.latencies.get("read/other");
    latency.copied().unwrap_or_default()
}

/// Returns the median, or the upper one of the two middle values; 0 if there are none.
pub(crate) fn median(mut values: Vec<u64>) -> u64 {
    values.sort_unstable();
    values.get(values.len() / 2).copied().unwrap_or(0)
}
