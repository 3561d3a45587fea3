//! Root supervisor: one control thread and one traffic thread.
//!
//! Neither child is restarted: a replica whose log failed has to recover from its disk, so the
//! process ends with an error and is restarted. A replica that stops first gives up its leadership
//! on the control thread; then the traffic thread answers the calls that it has read and closes the
//! connections, and the control thread ends last.

use std::convert;
use std::net;
use std::path;
use std::sync;
use std::thread;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use sequoiayoke_consensus::{config, effect, members, snapshot};
use sequoiayoke_dispatch::ledger;
use sequoiayoke_model::id;
use sequoiayoke_storage::{folder, identity};
use sequoiayoke_supervise::{Stop, supervisor};
use tokio::runtime;
use tokio::sync::{mpsc, watch};
use tokio::task;
use tokio::time;

use crate::coordinator;
use crate::coordinator::directory;
use crate::measure;
use crate::operator;
use crate::traffic;

/// Longest time in which the threads end after the replica was asked to stop, or after one of them has
/// ended. A thread may hang in a write to a faulty disk; the process then ends without it.
const STOP_TIMEOUT: Duration = Duration::from_secs(4);

/// Settings of a control replica.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the VM, for logs and the identity of the data directory.
    pub name: String,
    /// Region, part of the identity of the data directory.
    pub region: String,
    /// Failure domains of the deployment, which can be evacuated.
    pub domains: Vec<String>,
    /// Directory of the replica's durable state.
    pub data: path::PathBuf,
    /// Address for operators; it also identifies the replica to the others.
    pub operator: net::SocketAddr,
    /// Address for the collector of metrics, if any.
    pub metrics: Option<net::SocketAddr>,
    /// Port for other replicas, the same on all VMs.
    pub replica_port: u16,
    /// Port for nodes, the same on all VMs.
    pub session_port: u16,
    /// Operator addresses of replicas that may be running.
    pub seeds: Vec<net::SocketAddr>,
    /// Whether this is the first start of the whole deployment.
    pub is_first_start: bool,
    /// Whether the inode numbers on the volume of the data directory change at each start.
    pub inodes_change: bool,
    /// Losses that the deployment has to bear at the same time.
    pub tolerance: coordinator::members::Tolerance,
    /// Length of a lease.
    pub lease: Duration,
    /// Limits of the process.
    pub limits: Limits,
}

/// Limits of the process, of which a part is for the connections of each listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Memory, in bytes.
    pub memory: usize,
    /// Number of descriptors.
    pub descriptors: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            memory: 256 * 1024 * 1024,
            descriptors: 4_096,
        }
    }
}

impl Limits {
    /// Returns the given percentages of memory and descriptors, as what the connections of a listener
    /// hold together.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_director::root;
    ///
    /// let limits = root::Limits { memory: 64_000_000, descriptors: 600 };
    /// let part = limits.part(20, 50);
    /// assert_eq!((part.bytes, part.connections), (12_800_000, 300));
    /// ```
    pub const fn part(&self, memory_percent: usize, descriptors_percent: usize) -> ledger::Limits {
        ledger::Limits {
            bytes: self.memory / 100 * memory_percent,
            connections: self.descriptors * descriptors_percent / 100,
        }
    }
}

/// Errors of a control replica.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The replica cannot listen on an address.
    #[error("cannot listen on {0}")]
    Listen(net::SocketAddr),
    /// The data directory cannot be used.
    #[error("the data directory cannot be used")]
    Data,
    /// A thread could not be started.
    #[error("failed to start the runtimes and threads")]
    Start,
    /// A child thread of the replica has failed.
    #[error("the {0} has failed")]
    Child(&'static str),
    /// A child thread has not ended in time after the replica was asked to stop.
    #[error("a thread has not ended {} s after the request to stop", STOP_TIMEOUT.as_secs())]
    Stop,
}

/// Handle that applies changed settings.
#[derive(Clone, Debug)]
pub struct Reloader(watch::Sender<Vec<net::SocketAddr>>);

impl Reloader {
    /// Replaces the seeds, which the replica connects to besides the members of the group.
    pub fn reload(&self, seeds: Vec<net::SocketAddr>) {
        self.0.send_if_modified(|current| {
            let is_changed = *current != seeds;
            *current = seeds;
            is_changed
        });
    }
}

/// A running control replica.
#[derive(Debug)]
pub struct Director {
    signals: coordinator::Signals,
    /// Closed when both threads have ended.
    threads: mpsc::Receiver<convert::Infallible>,
    reloader: Reloader,
    coordinator: thread::JoinHandle<supervisor::Outcome>,
    traffic: thread::JoinHandle<supervisor::Outcome>,
}

impl Director {
    /// Starts a control replica that serves operators through `frontend`.
    ///
    /// # Errors
    ///
    /// Fails if an address is in use or a thread cannot be started. An unusable data directory is
    /// reported by [`Director::wait`].
    pub fn start<Frontend>(settings: &Settings, frontend: Frontend) -> Result<Self, Report<Error>>
    where
        Frontend: operator::Frontend + Send,
    {
        let ip = settings.operator.ip();
        let listeners = traffic::Listeners {
            operator: bind(settings.operator)?,
            replica: bind(net::SocketAddr::new(ip, settings.replica_port))?,
            session: bind(net::SocketAddr::new(ip, settings.session_port))?,
            metrics: settings.metrics.map(bind).transpose()?,
        };
        let signals = coordinator::Signals::default();
        let (thread, threads) = mpsc::channel(1);
        let (events, inbox) = mpsc::channel(coordinator::QUEUE_CAPACITY);
        let (outgoing, frames) = mpsc::channel(coordinator::QUEUE_CAPACITY);
        let (reload, seeds) = watch::channel(settings.seeds.clone());
        let (publisher, published) = watch::channel(coordinator::Published::default());
        let measure = sync::Arc::new(measure::Measure::new().change_context(Error::Start)?);
        let traffic_measure = sync::Arc::clone(&measure);
        let coordinator = {
            let (settings, signals) = (settings.clone(), signals.clone());
            let ended = (signals.resigned.clone(), thread.clone());
            spawn("coordinator", ended, async move || {
                let outputs = coordinator::Outputs {
                    frames: outgoing,
                    published: publisher,
                    measure,
                };
                let coordinator = open(&settings, seeds, outputs)?;
                coordinator.run(inbox, signals).await
            })?
        };
        let config = traffic::Config {
            events,
            published,
            measure: traffic_measure,
            replica_port: settings.replica_port,
            limits: settings.limits,
            stop: signals.resigned.clone(),
        };
        let ended = (signals.closed.clone(), thread);
        let traffic = spawn("traffic", ended, async move || {
            traffic::run(listeners, config, frames, frontend).await
        })?;
        Ok(Self {
            signals,
            threads,
            reloader: Reloader(reload),
            coordinator,
            traffic,
        })
    }

    /// Returns the token that makes the replica transfer its leadership and stop.
    pub const fn stop(&self) -> &Stop {
        &self.signals.stop
    }

    /// Returns the handle that applies changed settings.
    pub const fn reloader(&self) -> &Reloader {
        &self.reloader
    }

    /// Waits until the replica has stopped.
    ///
    /// # Errors
    ///
    /// Fails if a child thread of the replica has failed, or if one has not ended in time after the
    /// request to stop.
    pub fn wait(mut self) -> Result<(), Report<Error>> {
        let runtime = new_runtime()?;
        let signals = &self.signals;
        let timeout = async {
            tokio::select! {
                () = signals.stop.cancelled() => {}
                () = signals.resigned.cancelled() => {}
                () = signals.closed.cancelled() => {}
            }
            time::sleep(STOP_TIMEOUT).await;
        };
        let threads = &mut self.threads;
        let is_late = runtime.block_on(async {
            tokio::select! {
                _ = threads.recv() => false,
                () = timeout => true,
            }
        });
        if is_late {
            return Err(Report::new(Error::Stop));
        }
        let coordinator = join("coordinator", self.coordinator);
        coordinator.and(join("traffic", self.traffic))
    }
}

/// Runs a child on its own thread. When it has ended, for whatever reason, the token in `ended` is
/// cancelled and the sender dropped.
fn spawn<Run>(
    name: &'static str,
    ended: (Stop, mpsc::Sender<convert::Infallible>),
    run: Run,
) -> Result<thread::JoinHandle<supervisor::Outcome>, Report<Error>>
where
    Run: AsyncFnOnce() -> supervisor::Outcome + Send + 'static,
{
    let runtime = new_runtime()?;
    let body = move || {
        let _ended = (ended.0.drop_guard(), ended.1);
        task::LocalSet::new().block_on(&runtime, run())
    };
    let thread = thread::Builder::new().name(name.to_owned());
    thread.spawn(body).change_context(Error::Start)
}

fn new_runtime() -> Result<runtime::Runtime, Report<Error>> {
    let mut builder = runtime::Builder::new_current_thread();
    builder.enable_all().build().change_context(Error::Start)
}

fn join(
    name: &'static str,
    child: thread::JoinHandle<supervisor::Outcome>,
) -> Result<(), Report<Error>> {
    match child.join() {
        Ok(outcome) => outcome.change_context(Error::Child(name)),
        Err(_) => Err(Report::new(Error::Child(name))),
    }
}

fn bind(address: net::SocketAddr) -> Result<net::TcpListener, Report<Error>> {
    let listener = net::TcpListener::bind(address).change_context(Error::Listen(address))?;
    let result = listener.set_nonblocking(true);
    result.change_context(Error::Listen(address))?;
    Ok(listener)
}

/// Opens the data directory and creates the coordinator from it.
///
/// The replicas that the settings list as seeds bootstrap the group; all of them read the same list
/// at the first start. The identity of a bootstrap replica is derived from its address, so they
/// agree on the initial members without a message. A replica that lost its disk gets a random
/// identity and joins as a new member.
fn open(
    settings: &Settings,
    seeds: watch::Receiver<Vec<net::SocketAddr>>,
    outputs: coordinator::Outputs,
) -> Result<coordinator::Coordinator, Report<supervisor::Error>> {
    let failed = supervisor::Error::Child("log");
    let is_bootstrap = settings.is_first_start && settings.seeds.contains(&settings.operator);
    let mut owner = identity::Owner::new(&settings.name, &settings.region);
    if settings.inodes_change {
        owner = owner.with_changing_inodes();
    }
    if is_bootstrap {
        owner = owner.with_bootstrap_id(bootstrap_id(settings.operator));
    }
    let log = settings.data.join("log");
    std::fs::create_dir_all(&settings.data).change_context(failed)?;
    let failed = || supervisor::Error::Child("log");
    let (mut disk, mut stored) =
        folder::Folder::open_path(&log, &owner).change_context_lazy(failed)?;
    let is_blank = stored == Default::default();
    if is_bootstrap && is_blank && disk.id() == bootstrap_id(settings.operator) {
        let voters = settings.seeds.iter().map(|seed| bootstrap_id(*seed));
        let initial = snapshot::Snapshot::new(members::Members::new(voters, []));
        let write = effect::Persist::Snapshot(initial);
        disk.persist([&write]).change_context_lazy(failed)?;
        stored.apply(&write);
        tracing::info!(replica = %disk.id(), "bootstrapping the group");
    }
    let mut directory = directory::Directory::open(&settings.data, disk.id(), settings.operator)
        .change_context_lazy(failed)?;
    if is_bootstrap {
        for seed in &settings.seeds {
            directory.set_address(bootstrap_id(*seed), *seed);
        }
    }
    let mut log = config::Config::new(disk.id());
    log.election_min = coordinator::ELECTION_MIN;
    log.election_max = coordinator::ELECTION_MAX;
    log.heartbeat = coordinator::HEARTBEAT_INTERVAL;
    coordinator::Coordinator::new(settings, seeds, log, disk, stored, directory, outputs)
}

/// Returns the identity of a bootstrap replica with this address.
fn bootstrap_id(address: net::SocketAddr) -> id::Replica {
    let text = format!("founder {address}");
    id::Replica(xxhash_rust::xxh3::xxh3_64(text.as_bytes()))
}
