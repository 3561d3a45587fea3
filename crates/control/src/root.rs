//! Root supervisor: one control thread, one pool of traffic threads.
//!
//! Neither child is restarted: a replica whose log failed has to restart from the state on
//! disk. The process ends with an error, and the platform restarts it.

use std::net;
use std::sync;
use std::thread;
use std::time::Duration;

use error_stack::ResultExt;
use sequoiayoke_consensus::config;
use sequoiayoke_lease::registry;
use sequoiayoke_model::id;
use sequoiayoke_placement::config as placement;
use sequoiayoke_settings::control;
use sequoiayoke_storage::folder;
use sequoiayoke_storage::identity;
use sequoiayoke_supervise::{Stop, supervisor};
use sequoiayoke_wire::replica;
use tokio::runtime;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::coordinator;
use crate::coordinator::{bootstrap, event, leader};
use crate::measure;
use crate::traffic;

/// Capacity of the queue of frames to one replica.
const LINK_QUEUE_CAPACITY: usize = 1_024;
/// Longest time to open and authenticate a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Errors of a control replica.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address cannot be listened on.
    #[error("listen.{field}: cannot listen on {address}")]
    Listen {
        /// Name of the setting.
        field: &'static str,
        /// The address.
        address: net::SocketAddr,
    },
    /// The data directory cannot be used.
    #[error("data: cannot use {0}")]
    Data(String),
    /// A runtime or thread could not be started.
    #[error("failed to start the runtimes and threads")]
    Start,
    /// A child has failed and is not restarted.
    #[error("the {0} has failed")]
    Child(&'static str),
}

/// Addresses that a control replica listens on.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Address for other replicas.
    pub replica: net::SocketAddr,
    /// Address for nodes.
    pub node: net::SocketAddr,
    /// Address for operators.
    pub operator: net::SocketAddr,
}

/// A running control replica.
#[derive(Debug)]
pub struct Control {
    addresses: Addresses,
    stop: Stop,
    coordinator: thread::JoinHandle<supervisor::Outcome>,
    traffic: thread::JoinHandle<supervisor::Outcome>,
}

type Result<T> = std::result::Result<T, error_stack::Report<Error>>;

impl Control {
    /// Starts a control replica.
    ///
    /// # Errors
    ///
    /// Fails if an address is in use, if the data directory belongs to another
    /// replica or is damaged, or if a thread cannot be started.
    pub fn start(settings: &control::Control) -> Result<Self> {
        let listeners = traffic::Listeners {
            replica: bind("replica", settings.listen.replica)?,
            node: bind("node", settings.listen.node)?,
            operator: bind("operator", settings.listen.operator)?,
        };
        let addresses = Addresses {
            replica: local_address("replica", &listeners.replica)?,
            node: local_address("node", &listeners.node)?,
            operator: local_address("operator", &listeners.operator)?,
        };
        let (events, inbox) = mpsc::channel(coordinator::QUEUE_CAPACITY);
        let (hello, announcement) = watch::channel(replica::Hello::default());
        let (peers, links) = create_peers(settings);
        let measure = sync::Arc::new(measure::Measure::new().change_context(Error::Start)?);
        let stop = Stop::new();
        let traffic_stop = Stop::new();
        let coordinator = start_coordinator(
            settings,
            peers,
            hello,
            inbox,
            sync::Arc::clone(&measure),
            stop.clone(),
            traffic_stop.clone(),
        )?;
        let config = traffic::Config {
            secret: sync::Arc::from(settings.secret.reveal().as_bytes()),
            region: settings.region.clone(),
            replicas: settings
                .replicas
                .iter()
                .map(|replica| replica.name.clone())
                .collect(),
            connect: CONNECT_TIMEOUT,
            events,
            hello: announcement,
            measure,
            stop: traffic_stop,
        };
        let traffic = start_traffic(settings, listeners, links, config, stop.clone())?;
        Ok(Self {
            addresses,
            stop,
            coordinator,
            traffic,
        })
    }

    /// Returns the addresses that the replica listens on.
    pub const fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns the token that asks the replica to transfer its leadership and end.
    pub const fn stop(&self) -> &Stop {
        &self.stop
    }

    /// Waits until the replica has ended.
    ///
    /// # Errors
    ///
    /// Fails if a child of the replica has failed.
    pub fn wait(self) -> Result<()> {
        let coordinator = join("coordinator", self.coordinator);
        let traffic = join("traffic", self.traffic);
        coordinator.and(traffic)
    }
}

fn join(name: &'static str, child: thread::JoinHandle<supervisor::Outcome>) -> Result<()> {
    match child.join() {
        Ok(outcome) => outcome.change_context(Error::Child(name)),
        Err(_) => Err(error_stack::Report::new(Error::Child(name))),
    }
}

fn bind(field: &'static str, address: net::SocketAddr) -> Result<net::TcpListener> {
    net::TcpListener::bind(address).change_context(Error::Listen { field, address })
}

fn local_address(field: &'static str, listener: &net::TcpListener) -> Result<net::SocketAddr> {
    let address = net::SocketAddr::from(([0, 0, 0, 0], 0));
    listener
        .local_addr()
        .change_context(Error::Listen { field, address })
}

fn create_peers(settings: &control::Control) -> (Vec<coordinator::Peer>, Vec<traffic::Link>) {
    let mut peers = Vec::new();
    let mut links = Vec::new();
    for replica in &settings.replicas {
        let mut outgoing = None;
        if replica.name != settings.replica {
            let (sender, queue) = mpsc::channel(LINK_QUEUE_CAPACITY);
            outgoing = Some(sender);
            links.push(traffic::Link {
                address: replica.replica,
                queue,
            });
        }
        peers.push(coordinator::Peer {
            name: replica.name.clone(),
            node: replica.node,
            operator: replica.operator,
            outgoing,
        });
    }
    (peers, links)
}

fn log_config(settings: &control::Control) -> config::Config {
    let timing = &settings.timing;
    config::Config {
        election_min: Duration::from_millis(timing.election_min_ms),
        election_max: Duration::from_millis(timing.election_max_ms),
        heartbeat: Duration::from_millis(timing.heartbeat_ms),
        drift_percent: u32::try_from(timing.drift_percent).unwrap_or(u32::MAX),
        // The coordinator sets the identity of the data directory when it starts the replica.
        ..config::Config::new(id::Replica(0))
    }
}

fn leader_config(
    settings: &control::Control,
    measure: sync::Arc<measure::Measure>,
) -> leader::Config {
    let (timing, moves) = (&settings.timing, &settings.placement);
    let view_bound = Duration::from_millis(timing.view_bound_ms);
    let drift = u32::try_from(timing.drift_percent).unwrap_or(u32::MAX);
    leader::Config {
        region: settings.region.clone(),
        view_bound: view_bound + view_bound.saturating_mul(drift) / 100,
        lease: registry::Config {
            lease: Duration::from_millis(timing.lease_ms),
            drift_permille: u32::try_from(timing.drift_percent * 10).unwrap_or(u32::MAX),
            takeover: Duration::from_millis(timing.takeover_ms),
            ..registry::Config::default()
        },
        placement: placement::Config {
            min_slices_per_server: moves.min_slices_per_server,
            max_slices_per_server: moves.max_slices_per_server,
            max_assignments: moves.max_assignments,
            max_moves: moves.max_moves,
            max_moves_per_server: moves.max_moves_per_server,
            budget: moves.move_budget,
            budget_window: Duration::from_millis(moves.move_window_ms),
            action_timeout: Duration::from_millis(moves.move_timeout_ms),
            cooldown: Duration::from_millis(moves.rest_ms),
            ramp: Duration::from_millis(moves.ramp_ms),
            tolerance: moves.tolerance_permille,
            hot_key: moves.hot_key_permille,
            horizon: Duration::from_millis(moves.horizon_ms),
            move_time: Duration::from_millis(moves.move_time_ms),
            warm_up: Duration::from_millis(moves.warm_up_ms),
            unhealthy_time: Duration::from_millis(moves.ill_ms),
        },
        measure,
    }
}

fn start_coordinator(
    settings: &control::Control,
    peers: Vec<coordinator::Peer>,
    hello: watch::Sender<replica::Hello>,
    inbox: mpsc::Receiver<event::Event>,
    measure: sync::Arc<measure::Measure>,
    stop: Stop,
    traffic_stop: Stop,
) -> Result<thread::JoinHandle<supervisor::Outcome>> {
    let unusable = || Error::Data(settings.data.display().to_string());
    let owner = identity::Owner::new(&settings.replica, &settings.region);
    let log = settings.data.join("log");
    std::fs::create_dir_all(&settings.data).change_context_lazy(unusable)?;
    let (disk, stored) = folder::Folder::open_path(&log, &owner).change_context_lazy(unusable)?;
    let configured = settings.replicas.iter().map(|replica| replica.name.clone());
    let bootstrap = bootstrap::Bootstrap::open(
        &settings.data,
        &settings.replica,
        disk.id(),
        configured.collect(),
    )
    .change_context_lazy(unusable)?;
    let config = coordinator::Config {
        leader: leader_config(settings, measure),
        log: log_config(settings),
        peers,
    };
    let coordinator = coordinator::Coordinator::new(config, bootstrap, hello, disk, stored);
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(Error::Start)?;
    let run = move || {
        let outcome = runtime.block_on(coordinator.run(inbox, stop));
        traffic_stop.cancel();
        outcome
    };
    let thread = thread::Builder::new().name("coordinator".to_owned());
    thread.spawn(run).change_context(Error::Start)
}

fn start_traffic(
    settings: &control::Control,
    listeners: traffic::Listeners,
    links: Vec<traffic::Link>,
    config: traffic::Config,
    replica_stop: Stop,
) -> Result<thread::JoinHandle<supervisor::Outcome>> {
    let runtime = runtime::Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .change_context(Error::Start)?;
    let run = move || {
        let outcome = runtime.block_on(traffic::run(listeners, links, config));
        // The coordinator cannot work without traffic.
        replica_stop.cancel();
        outcome
    };
    let thread = thread::Builder::new().name("traffic-main".to_owned());
    thread.spawn(run).change_context(Error::Start)
}
