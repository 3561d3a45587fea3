//! Root supervisor: one control thread and one traffic thread.
//!
//! Neither child is restarted: a replica whose log failed has to start again
//! from its disk, so the process ends with an error and is started anew.

use std::net;
use std::path;
use std::sync;
use std::thread;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use sequoiayoke_consensus::{config, effect, members, snapshot};
use sequoiayoke_model::id;
use sequoiayoke_storage::{folder, identity};
use sequoiayoke_supervise::{Stop, supervisor};
use tokio::runtime;
use tokio::sync::{mpsc, watch};

use crate::coordinator;
use crate::coordinator::directory;
use crate::measure;
use crate::operator;
use crate::traffic;

/// Settings of a control replica.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the VM, for logs and the identity of the data directory.
    pub name: String,
    /// Region, part of the identity of the data directory.
    pub region: String,
    /// Directory of the replica's state.
    pub data: path::PathBuf,
    /// Address for operators; it also names the replica to the others.
    pub operator: net::SocketAddr,
    /// Address for the collector of metrics, if any.
    pub metrics: Option<net::SocketAddr>,
    /// Port for other replicas, the same on all VMs.
    pub replica_port: u16,
    /// Port for nodes, the same on all VMs.
    pub session_port: u16,
    /// Addresses for operators of replicas that may be running.
    pub seeds: Vec<net::SocketAddr>,
    /// Whether the whole deployment starts for the first time.
    pub is_first_start: bool,
    /// Whether the volume of the data directory numbers its files anew at each start.
    pub inodes_change: bool,
    /// Length of a lease.
    pub lease: Duration,
}

/// Errors of a control replica.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address cannot be listened on.
    #[error("cannot listen on {0}")]
    Listen(net::SocketAddr),
    /// The data directory cannot be used.
    #[error("the data directory cannot be used")]
    Data,
    /// A thread could not be started.
    #[error("the threads could not be started")]
    Start,
    /// A part of the replica has failed for good.
    #[error("the {0} has failed")]
    Child(&'static str),
}

/// Puts changed settings into force.
#[derive(Clone, Debug)]
pub struct Reloader(mpsc::Sender<coordinator::Event>);

impl Reloader {
    /// Connects to these replicas from now on, besides the members of the group.
    pub fn reload(&self, seeds: Vec<net::SocketAddr>) {
        if self.0.try_send(coordinator::Event::Seeds(seeds)).is_err() {
            tracing::warn!("the control thread takes no changed settings");
        }
    }
}

/// A running control replica.
#[derive(Debug)]
pub struct Director {
    stop: Stop,
    reloader: Reloader,
    coordinator: thread::JoinHandle<supervisor::Outcome>,
    traffic: thread::JoinHandle<supervisor::Outcome>,
}

impl Director {
    /// Starts a control replica that serves operators through `frontend`.
    ///
    /// # Errors
    ///
    /// Fails if an address is taken, the data directory is unusable, or a
    /// thread cannot be started.
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
        let stop = Stop::new();
        let (events, inbox) = mpsc::channel(coordinator::QUEUE);
        let (outgoing, frames) = mpsc::channel(coordinator::QUEUE);
        let (shared, published) = watch::channel(coordinator::Published::default());
        let measure = sync::Arc::new(measure::Measure::new().change_context(Error::Start)?);
        let scraped = sync::Arc::clone(&measure);
        let coordinator = {
            let (settings, stop) = (settings.clone(), stop.clone());
            spawn("coordinator", stop.clone(), async move || {
                let outputs = coordinator::Outputs {
                    frames: outgoing,
                    published: shared,
                    measure,
                };
                let coordinator = open(&settings, outputs)?;
                coordinator.run(inbox, stop).await
            })?
        };
        let reloader = Reloader(events.clone());
        let config = traffic::Config {
            events,
            published,
            measure: scraped,
            replica_port: settings.replica_port,
        };
        let traffic = spawn("traffic", stop.clone(), async move || {
            traffic::run(listeners, config, frames, frontend).await
        })?;
        Ok(Self {
            stop,
            reloader,
            coordinator,
            traffic,
        })
    }

    /// Returns the token that asks the replica to hand over and end.
    pub const fn stop(&self) -> &Stop {
        &self.stop
    }

    /// Returns what puts changed settings into force.
    pub const fn reloader(&self) -> &Reloader {
        &self.reloader
    }

    /// Waits until the replica has ended.
    ///
    /// # Errors
    ///
    /// Fails if a part of the replica has failed for good.
    pub fn wait(self) -> Result<(), Report<Error>> {
        let coordinator = join("coordinator", self.coordinator);
        coordinator.and(join("traffic", self.traffic))
    }
}

/// Runs a child on a thread of its own; its end asks the others to end.
fn spawn<Run>(
    name: &'static str,
    stop: Stop,
    run: Run,
) -> Result<thread::JoinHandle<supervisor::Outcome>, Report<Error>>
where
    Run: AsyncFnOnce() -> supervisor::Outcome + Send + 'static,
{
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(Error::Start)?;
    let body = move || {
        let local = tokio::task::LocalSet::new();
        let ended = local.block_on(&runtime, async {
            let until = stop.clone();
            let child = run();
            if name == "traffic" {
                tokio::select! {
                    ended = child => ended,
                    () = until.cancelled() => Ok(()),
                }
            } else {
                child.await
            }
        });
        stop.cancel();
        ended
    };
    let thread = thread::Builder::new().name(name.to_owned());
    thread.spawn(body).change_context(Error::Start)
}

fn join(
    name: &'static str,
    child: thread::JoinHandle<supervisor::Outcome>,
) -> Result<(), Report<Error>> {
    match child.join() {
        Ok(ended) => ended.change_context(Error::Child(name)),
        Err(_) => Err(Report::new(Error::Child(name))),
    }
}

fn bind(address: net::SocketAddr) -> Result<net::TcpListener, Report<Error>> {
    let listener = net::TcpListener::bind(address).change_context(Error::Listen(address))?;
    let shared = listener.set_nonblocking(true);
    shared.change_context(Error::Listen(address))?;
    Ok(listener)
}

/// Opens the data directory and makes the coordinator on top of it.
///
/// The group is founded by the replicas that the settings name as seeds, all of
/// which see the same list at the first start. A founder's identity follows from
/// its address, so the founders agree on the first members without a message. A
/// replica that lost its disk gets a random identity and joins.
fn open(
    settings: &Settings,
    outputs: coordinator::Outputs,
) -> Result<coordinator::Coordinator, Report<supervisor::Error>> {
    let failed = supervisor::Error::Child("log");
    let founds = settings.is_first_start && settings.seeds.contains(&settings.operator);
    let mut owner = identity::Owner::new(&settings.name, &settings.region);
    if settings.inodes_change {
        owner = owner.with_changing_inodes();
    }
    if founds {
        owner = owner.with_founder(founder(settings.operator));
    }
    let log = settings.data.join("log");
    std::fs::create_dir_all(&settings.data).change_context(failed)?;
    let failed = || supervisor::Error::Child("log");
    let (mut disk, mut stored) =
        folder::Folder::open_path(&log, &owner).change_context_lazy(failed)?;
    let is_blank = stored == Default::default();
    if founds && is_blank && disk.id() == founder(settings.operator) {
        let voters = settings.seeds.iter().map(|seed| founder(*seed));
        let first = snapshot::Snapshot::new(members::Members::new(voters, []));
        let write = effect::Persist::Snapshot(first);
        disk.persist([&write]).change_context_lazy(failed)?;
        stored.apply(&write);
        tracing::info!(replica = %disk.id(), "founding the group");
    }
    let mut directory = directory::Directory::open(&settings.data, disk.id(), settings.operator)
        .change_context_lazy(failed)?;
    if founds {
        for seed in &settings.seeds {
            directory.learn(founder(*seed), *seed);
        }
    }
    let mut log = config::Config::new(disk.id());
    log.election_min = coordinator::ELECTION_MIN;
    log.election_max = coordinator::ELECTION_MAX;
    log.heartbeat = coordinator::HEARTBEAT;
    coordinator::Coordinator::new(settings, log, disk, stored, directory, outputs)
}

/// Returns the identity of a founder with this address.
fn founder(address: net::SocketAddr) -> id::Replica {
    let text = format!("founder {address}");
    id::Replica(xxhash_rust::xxh3::xxh3_64(text.as_bytes()))
}
