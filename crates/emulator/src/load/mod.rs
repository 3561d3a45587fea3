//! Open-loop load tool.
//!
//! A pacing thread starts each request at its scheduled time even if earlier requests
//! are still in flight, so a slow server shows as latency and not as a lower rate.
//! The traffic threads send the requests; the calling thread owns the tally.

pub mod arrival;
pub mod audit;
mod client;
pub mod mix;
pub mod outage;
pub mod payload;
pub mod plan;
pub mod process;
pub mod program;
pub mod report;
pub mod response;
pub mod schedule;
pub mod tally;
pub mod trace;
pub mod zipf;

use std::fs;
use std::io;
use std::sync;
use std::thread;
use std::time;

use error_stack::ResultExt as _;
use tokio::runtime;
use tokio::sync::mpsc;

/// Failure of a run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The plan exceeds a limit.
    #[error("invalid plan: {0}")]
    Plan(&'static str),
    /// A thread, a runtime or a client could not be created.
    #[error("failed to start the threads or the HTTP client of the load tool")]
    Thread,
    /// The trace file could not be opened.
    #[error("failed to open the trace file")]
    Open,
    /// A line of the trace is invalid.
    #[error("line {line} of the trace: {detail}")]
    Trace {
        /// Number of the line, counted from 1.
        line: u64,
        /// What is wrong with it.
        detail: String,
    },
}

/// Numbers of requests that were due and that were not sent.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    offered: u64,
    dropped: u64,
}

/// A run of the load tool.
#[derive(Debug)]
pub struct Load {
    plan: sync::Arc<plan::Plan>,
}

impl Load {
    /// Creates a run from a plan.
    ///
    /// # Errors
    ///
    /// Fails if the plan exceeds a limit.
    pub fn new(plan: plan::Plan) -> Result<Self, error_stack::Report<Error>> {
        plan.validate()?;
        Ok(Self {
            plan: sync::Arc::new(plan),
        })
    }

    /// Sends all requests, waits until they have finished and returns the report.
    ///
    /// Blocks the calling thread, which must not be a thread of an async runtime.
    ///
    /// # Errors
    ///
    /// Fails if threads cannot be created or the trace cannot be read.
    pub fn run(&self) -> Result<report::Report, error_stack::Report<Error>> {
        let runtime = runtime::Builder::new_multi_thread()
            .worker_threads(self.plan.threads)
            .thread_name("load-worker")
            .enable_all()
            .build()
            .change_context(Error::Thread)?;
        let client = client::Client::new(self.plan.clone()).change_context(Error::Thread)?;
        let audit = runtime.block_on(audit::Audit::start(&self.plan.standins));
        let processes = process::Usage::read_all(&self.plan.pids);

        let start = time::Instant::now();
        let (sample_sender, mut finished_samples) = mpsc::channel(self.plan.max_in_flight);
        let pacer = Pacer {
            plan: self.plan.clone(),
            client: sync::Arc::new(client),
            runtime: runtime.handle().clone(),
            sample_sender,
            start,
        };
        let pacer = thread::Builder::new()
            .name("load-pacer".into())
            .spawn(move || pacer.run())
            .change_context(Error::Thread)?;
        let mut tally = tally::Tally::new(self.plan.warmup);
        while let Some(sample) = finished_samples.blocking_recv() {
            tally.add(sample);
        }
        let seconds = start.elapsed().as_secs_f64();
        let processes = process::Usage::compare(&processes, seconds, tally.finished());
        let totals = pacer.join().expect("the pacer does not panic")?;
        let audit = runtime.block_on(audit.finish(tally.statuses()));
        Ok(tally.into_report(report::Frame {
            mode: self.plan.mode,
            seed: self.plan.seed,
            targets: self.plan.targets.len(),
            seconds,
            offered: totals.offered,
            dropped: totals.dropped,
            processes,
            audit,
        }))
    }
}

/// Starts each request when it is due.
struct Pacer {
    plan: sync::Arc<plan::Plan>,
    client: sync::Arc<client::Client>,
    runtime: runtime::Handle,
    sample_sender: mpsc::Sender<tally::Sample>,
    start: time::Instant,
}

impl Pacer {
    fn run(self) -> Result<Totals, error_stack::Report<Error>> {
        let Some(path) = &self.plan.trace else {
            return self.pace(schedule::Schedule::new(&self.plan));
        };
        let file = fs::File::open(path).change_context(Error::Open)?;
        let lines = io::BufReader::new(file);
        let (seed, limit) = (self.plan.seed, self.plan.duration);
        self.pace(trace::Trace::new(lines, seed, limit, self.plan.hot_ranks))
    }

    fn pace<S>(&self, mut source: S) -> Result<Totals, error_stack::Report<Error>>
    where
        S: arrival::Source,
    {
        let permits = sync::Arc::new(tokio::sync::Semaphore::new(self.plan.max_in_flight));
        let mut totals = Totals::default();
        while let Some(arrival) = source.next()? {
            if totals.offered >= plan::MAX_REQUESTS {
                return Err(
                    Error::Plan("the trace has more requests than the tool can audit").into(),
                );
            }
            let due = self.start + arrival.due;
            thread::sleep(due.saturating_duration_since(time::Instant::now()));
            totals.offered += 1;
            let Ok(permit) = permits.clone().try_acquire_owned() else {
                totals.dropped += 1;
                continue;
            };
            let (client, sample_sender) = (self.client.clone(), self.sample_sender.clone());
            self.runtime.spawn(async move {
                let sample = client.run(&arrival, due).await;
                // The receiver is open until every sender is dropped, so this cannot fail.
                let _ = sample_sender.send(sample).await;
                drop(permit);
            });
        }
        Ok(totals)
    }
}
