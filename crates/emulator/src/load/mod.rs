//! Open-loop load tool.
//!
//! A pacing thread starts each request at its scheduled time whatever the state
//! of the earlier ones, so a slow server shows as latency and not as a lower
//! rate. The traffic threads send; the calling thread owns the tally.

pub mod arrival;
pub mod audit;
mod client;
pub mod judge;
pub mod mix;
pub mod outage;
pub mod payload;
pub mod plan;
pub mod process;
pub mod program;
pub mod report;
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

/// A run could not be made.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The plan breaks a bound.
    #[error("the plan cannot be run: {0}")]
    Plan(&'static str),
    /// A thread, a runtime or a client could not be created.
    #[error("could not start the threads of the load tool")]
    Thread,
    /// The trace file could not be opened.
    #[error("could not open the trace file")]
    Open,
    /// The trace is damaged.
    #[error("line {line} of the trace: {detail}")]
    Trace {
        /// Number of the line, from 1.
        line: u64,
        /// What is wrong with it.
        detail: String,
    },
}

/// Requests that the tool could not send.
#[derive(Clone, Copy, Debug, Default)]
struct Paced {
    offered: u64,
    dropped: u64,
}

/// A run of the load tool.
#[derive(Debug)]
pub struct Load {
    plan: sync::Arc<plan::Plan>,
}

impl Load {
    /// Makes a run of a plan.
    ///
    /// # Errors
    ///
    /// Fails if the plan breaks a bound.
    pub fn new(plan: plan::Plan) -> Result<Self, error_stack::Report<Error>> {
        plan.check()?;
        Ok(Self {
            plan: sync::Arc::new(plan),
        })
    }

    /// Sends all requests, waits for their ends and reports.
    ///
    /// Blocks the calling thread; it must not be a thread of an async runtime.
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
        let (samples, mut finished) = mpsc::channel(self.plan.max_in_flight);
        let pacer = Pacer {
            plan: self.plan.clone(),
            client: sync::Arc::new(client),
            runtime: runtime.handle().clone(),
            samples,
            start,
        };
        let pacer = thread::Builder::new()
            .name("load-pacer".into())
            .spawn(move || pacer.run())
            .change_context(Error::Thread)?;
        let mut tally = tally::Tally::new(self.plan.warmup);
        while let Some(sample) = finished.blocking_recv() {
            tally.add(sample);
        }
        let seconds = start.elapsed().as_secs_f64();
        let processes = process::Usage::compare(&processes, seconds, tally.finished());
        let paced = pacer.join().expect("the pacer does not panic")?;
        let audit = runtime.block_on(audit.finish(tally.fates()));
        Ok(tally.into_report(report::Frame {
            mode: self.plan.mode,
            seed: self.plan.seed,
            targets: self.plan.targets.len(),
            seconds,
            offered: paced.offered,
            dropped: paced.dropped,
            processes,
            audit,
        }))
    }
}

/// Starts each request at its time.
struct Pacer {
    plan: sync::Arc<plan::Plan>,
    client: sync::Arc<client::Client>,
    runtime: runtime::Handle,
    samples: mpsc::Sender<tally::Sample>,
    start: time::Instant,
}

impl Pacer {
    fn run(self) -> Result<Paced, error_stack::Report<Error>> {
        let Some(path) = &self.plan.trace else {
            return self.pace(schedule::Schedule::new(&self.plan));
        };
        let file = fs::File::open(path).change_context(Error::Open)?;
        let lines = io::BufReader::new(file);
        let (seed, limit) = (self.plan.seed, self.plan.duration);
        self.pace(trace::Trace::new(lines, seed, limit, self.plan.hot_ranks))
    }

    fn pace<S>(&self, mut source: S) -> Result<Paced, error_stack::Report<Error>>
    where
        S: arrival::Source,
    {
        let room = sync::Arc::new(tokio::sync::Semaphore::new(self.plan.max_in_flight));
        let mut paced = Paced::default();
        while let Some(arrival) = source.next()? {
            if paced.offered >= plan::MAX_REQUESTS {
                return Err(Error::Plan("the trace has more requests than can be audited").into());
            }
            let due = self.start + arrival.at;
            thread::sleep(due.saturating_duration_since(time::Instant::now()));
            paced.offered += 1;
            let Ok(permit) = room.clone().try_acquire_owned() else {
                paced.dropped += 1;
                continue;
            };
            let (client, samples) = (self.client.clone(), self.samples.clone());
            self.runtime.spawn(async move {
                let sample = client.run(&arrival, due).await;
                // The receiver lives until every sender is dropped.
                let _ = samples.send(sample).await;
                drop(permit);
            });
        }
        Ok(paced)
    }
}
