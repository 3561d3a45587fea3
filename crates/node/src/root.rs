//! Root supervisor: one control thread, one pool of traffic threads.
//!
//! Neither child is restarted: without its coordinator the node has no lease,
//! and without its listeners it receives no requests. The process exits with an
//! error, and the platform restarts it; it then joins as a new run.

use std::net;
use std::sync;
use std::thread;
use std::time::Duration;

use error_stack::ResultExt;
use sequoiayoke_lease::holder;
use sequoiayoke_model::clock;
use sequoiayoke_settings::node;
use sequoiayoke_supervise::{Stop, supervisor};
use sequoiayoke_traffic::window;
use tokio::runtime;
use tokio::sync::mpsc;

use crate::coordinator;
use crate::measure;
use crate::published;
use crate::traffic;
use crate::traffic::{callers, ids, path, peers, server};

/// Errors of the node.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The node cannot listen on an address.
    #[error("listen.{field}: cannot listen on {address}")]
    Listen {
        /// Name of the setting.
        field: &'static str,
        /// The address.
        address: net::SocketAddr,
    },
    /// A runtime or thread could not be started.
    #[error("failed to start the runtimes and threads")]
    Start,
    /// A child of the root supervisor has failed.
    #[error("the {0} has failed")]
    Child(&'static str),
}

/// Addresses that a node listens on.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// For callers.
    pub caller: net::SocketAddr,
    /// For other nodes.
    pub peer: net::SocketAddr,
    /// For the backend server.
    pub backend: net::SocketAddr,
    /// For the metrics endpoint, if any.
    pub metrics: Option<net::SocketAddr>,
}

/// A running node.
#[derive(Debug)]
pub struct Node {
    addresses: Addresses,
    published: sync::Arc<published::Published>,
    stop: Stop,
    coordinator: thread::JoinHandle<supervisor::Outcome>,
    traffic: thread::JoinHandle<supervisor::Outcome>,
}

impl Node {
    /// Starts a node.
    ///
    /// # Errors
    ///
    /// Fails if an address is in use or a thread cannot be started.
    pub fn start(settings: &node::Node) -> Result<Self, error_stack::Report<Error>> {
        let listeners = traffic::Listeners {
            caller: bind("caller", settings.listen.caller)?,
            peer: bind("peer", settings.listen.peer)?,
            backend: bind("backend", settings.listen.backend)?,
            metrics: match settings.listen.metrics {
                Some(address) => Some(bind("metrics", address)?),
                None => None,
            },
        };
        let addresses = Addresses {
            caller: local_address("caller", &listeners.caller)?,
            peer: local_address("peer", &listeners.peer)?,
            backend: local_address("backend", &listeners.backend)?,
            metrics: match &listeners.metrics {
                Some(listener) => Some(local_address("metrics", listener)?),
                None => None,
            },
        };
        let measure = match listeners.metrics {
            Some(_) => Some(measure::Measure::new().change_context(Error::Start)?),
            None => None,
        };
        let published = sync::Arc::new(published::Published::new());
        let limits = path::Limits {
            waiting: settings.limits.queue,
            answer_bytes: settings.limits.answer_bytes,
        };
        let pool = peers::dial::Pool::new(dial_config(settings));
        let path = path::Path::new(clock::Boot, sync::Arc::clone(&published), pool, limits);
        let path = sync::Arc::new(path.with_measure(measure.map(sync::Arc::new)));
        let (events, inbox) = mpsc::channel(coordinator::QUEUE_CAPACITY);
        let stop = Stop::new();
        let shutdown = traffic::Shutdown::default();
        let traffic = start_traffic(
            settings,
            listeners,
            sync::Arc::clone(&path),
            server::announce::Announce::new(events.clone()),
            shutdown.clone(),
            stop.clone(),
        )?;
        let coordinator = start_coordinator(
            settings,
            addresses,
            sync::Arc::clone(&published),
            path,
            (events, inbox),
            stop.clone(),
            shutdown,
        )?;
        Ok(Self {
            addresses,
            published,
            stop,
            coordinator,
            traffic,
        })
    }

    /// Returns the addresses that the node listens on.
    pub const fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Returns what the coordinator has published.
    pub const fn published(&self) -> &sync::Arc<published::Published> {
        &self.published
    }

    /// Returns the token that makes the node drain and exit when it is cancelled.
    pub const fn stop(&self) -> &Stop {
        &self.stop
    }

    /// Waits until the node has stopped.
    ///
    /// # Errors
    ///
    /// Fails if a child of the root supervisor has failed.
    pub fn wait(self) -> Result<(), error_stack::Report<Error>> {
        let coordinator = join("coordinator", self.coordinator);
        let traffic = join("traffic", self.traffic);
        coordinator.and(traffic)
    }
}

fn join(
    name: &'static str,
    child: thread::JoinHandle<supervisor::Outcome>,
) -> Result<(), error_stack::Report<Error>> {
    match child.join() {
        Ok(outcome) => outcome.change_context(Error::Child(name)),
        Err(_) => Err(error_stack::Report::new(Error::Child(name))),
    }
}

fn bind(
    field: &'static str,
    address: net::SocketAddr,
) -> Result<net::TcpListener, error_stack::Report<Error>> {
    net::TcpListener::bind(address).change_context(Error::Listen { field, address })
}

fn local_address(
    field: &'static str,
    listener: &net::TcpListener,
) -> Result<net::SocketAddr, error_stack::Report<Error>> {
    let unknown = net::SocketAddr::from(([0, 0, 0, 0], 0));
    listener.local_addr().change_context(Error::Listen {
        field,
        address: unknown,
    })
}

fn secret(settings: &node::Node) -> sync::Arc<[u8]> {
    sync::Arc::from(settings.secret.reveal().as_bytes())
}

fn dial_config(settings: &node::Node) -> peers::dial::Config {
    peers::dial::Config {
        secret: secret(settings),
        connect: Duration::from_millis(settings.timing.connect_ms),
        streams: settings.limits.streams,
    }
}

fn start_traffic(
    settings: &node::Node,
    listeners: traffic::Listeners,
    path: sync::Arc<traffic::Path>,
    announce: server::announce::Announce,
    shutdown: traffic::Shutdown,
    stop: Stop,
) -> Result<thread::JoinHandle<supervisor::Outcome>, error_stack::Report<Error>> {
    let limits = &settings.limits;
    let config = traffic::Config {
        callers: callers::Limits {
            max_header_bytes: limits.max_header_bytes,
            default_deadline: Duration::from_millis(limits.default_deadline_ms),
            max_deadline: Duration::from_millis(limits.max_deadline_ms),
        },
        signer: ids::Signer::new(settings.secret.reveal().as_bytes()),
        connections: callers::connection::Limits {
            connections: limits.callers,
            head: callers::HEAD_TIMEOUT,
            idle: callers::IDLE_TIMEOUT,
            stall: callers::STALL_TIMEOUT,
        },
        serve: peers::serve::Config {
            secret: secret(settings),
            streams: limits.streams,
        },
    };
    let drain = Duration::from_millis(settings.timing.drain_ms);
    let runtime = runtime::Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .thread_name("traffic")
        .enable_all()
        .build()
        .change_context(Error::Start)?;
    let run = move || {
        runtime.spawn(traffic::run_deadlines(
            sync::Arc::clone(&path),
            stop.clone(),
            drain,
            shutdown.clone(),
        ));
        let running = traffic::run(listeners, config, path, announce, &shutdown);
        let outcome = runtime.block_on(running);
        shutdown.ended.cancel();
        // The coordinator cannot continue without the traffic threads.
        stop.cancel();
        outcome
    };
    let thread = thread::Builder::new().name("traffic-main".to_owned());
    thread.spawn(run).change_context(Error::Start)
}

fn start_coordinator(
    settings: &node::Node,
    addresses: Addresses,
    published: sync::Arc<published::Published>,
    path: sync::Arc<traffic::Path>,
    channel: (
        mpsc::Sender<coordinator::event::Event>,
        mpsc::Receiver<coordinator::event::Event>,
    ),
    stop: Stop,
    shutdown: traffic::Shutdown,
) -> Result<thread::JoinHandle<supervisor::Outcome>, error_stack::Report<Error>> {
    let timing = &settings.timing;
    let config = coordinator::Config {
        session: coordinator::session::Config {
            control: settings.control.clone(),
            secret: secret(settings),
            connect: Duration::from_millis(timing.connect_ms),
        },
        renew: Duration::from_millis(timing.renew_ms),
        drain: Duration::from_millis(timing.drain_ms),
        queue: u32::try_from(settings.limits.queue).unwrap_or(u32::MAX),
        signer: ids::Signer::new(settings.secret.reveal().as_bytes()),
        token: sync::Arc::from(settings.backend.token.reveal()),
        max_connections: settings.backend.connections,
        connect: Duration::from_millis(timing.connect_ms),
    };
    let profile = coordinator::state::Profile {
        region: settings.region.clone(),
        failure_domain: settings.failure_domain.clone(),
        peer_address: addresses.peer,
        caller_address: addresses.caller,
        max_slots: settings.backend.slots,
    };
    let lease = holder::Config {
        lease: Duration::from_millis(timing.lease_ms),
        view_bound: Duration::from_millis(timing.view_bound_ms),
        ..holder::Config::default()
    };
    let windows = window::Limits {
        entries: settings.limits.window_entries,
        ..window::Limits::default()
    };
    let state = coordinator::state::State::new(profile, lease, windows);
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(Error::Start)?;
    let run = move || {
        let tasks = tokio::task::LocalSet::new();
        let signals = (stop, shutdown.clone());
        let running = coordinator::run(config, state, published, path, channel, signals);
        let outcome = tasks.block_on(&runtime, running);
        // A coordinator that has failed releases no slices, so there is nothing to wait for.
        shutdown.close.cancel();
        outcome
    };
    let thread = thread::Builder::new().name("coordinator".to_owned());
    thread.spawn(run).change_context(Error::Start)
}
