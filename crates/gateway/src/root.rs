//! Root supervisor: one control thread and one traffic thread.
//!
//! Neither child is restarted: a node recovers its state within a second of a start, so a failure
//! ends the process and the process is restarted.

use std::net;
use std::thread;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use sequoiayoke_dispatch::budget;
use sequoiayoke_supervise::{Stop, supervisor};
use tokio::runtime;
use tokio::sync::{mpsc, watch};

use crate::coordinator;
use crate::frontend;
use crate::traffic;

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Failure domain of the VM.
    pub domain: String,
    /// Service of the backend server on the VM, which is sent as the origin of requests from its
    /// callers and from the backend server itself.
    pub service: String,
    /// Address of the backend server.
    pub backend: net::SocketAddr,
    /// Address for callers.
    pub callers: net::SocketAddr,
    /// Address for readiness checks.
    pub ready: net::SocketAddr,
    /// Address for announcements of the backend server.
    pub announcements: net::SocketAddr,
    /// Address for other nodes.
    pub peers: net::SocketAddr,
    /// Address for the metrics collector, if any.
    pub metrics: Option<net::SocketAddr>,
    /// Addresses of control replicas to connect to.
    pub replicas: Vec<net::SocketAddr>,
    /// Length of a lease.
    pub lease: Duration,
    /// Longest grant that a backend server accepts.
    pub max_hold: Duration,
    /// Bandwidth of the VM's link, in bits per second.
    pub bandwidth: f64,
    /// Bounds on retries.
    pub budget: budget::Config,
    /// Time for which a draining backend server still accepts requests for its keys.
    pub drain: Duration,
    /// Time between the request to stop and the end of the process.
    pub grace: Duration,
    /// Time from the start of an evacuation until the backend servers of the failure domain get no
    /// requests.
    pub evacuate: Duration,
    /// Backend servers that are cold.
    pub cold_start: ColdStart,
    /// Limits of the process.
    pub limits: Limits,
}

/// Limits of the process.
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
            memory: 160 * 1024 * 1024,
            descriptors: 4_096,
        }
    }
}

/// Pace of backend servers that are cold, in services whose configuration states what they bear.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Requests in a second, in multiples of the rate that the configuration states.
    pub factor: f64,
}

impl Default for ColdStart {
    fn default() -> Self {
        Self { factor: 1.0 }
    }
}

/// Errors of a node.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The node cannot listen on an address.
    #[error("cannot listen on {0}")]
    Listen(net::SocketAddr),
    /// A thread could not be started.
    #[error("failed to start the runtimes and threads")]
    Start,
    /// A child of the root supervisor has failed permanently.
    #[error("the {0} has failed")]
    Child(&'static str),
}

/// Settings that take effect without a restart.
#[derive(Clone, Debug, PartialEq)]
pub struct Reload {
    /// Addresses of control replicas to connect to.
    pub replicas: Vec<net::SocketAddr>,
    /// Bounds on retries.
    pub budget: budget::Config,
}

impl Reload {
    /// Creates the reloadable part of `settings`.
    pub fn new(settings: &Settings) -> Self {
        Self {
            replicas: settings.replicas.clone(),
            budget: settings.budget,
        }
    }
}

/// Applies changed settings.
#[derive(Clone, Debug)]
pub struct Reloader(watch::Sender<Reload>);

impl Reloader {
    /// Applies `reload` if it differs from the current settings.
    pub fn reload(&self, reload: Reload) {
        self.0.send_if_modified(|current| {
            let is_changed = *current != reload;
            *current = reload;
            is_changed
        });
    }
}

/// A running node.
#[derive(Debug)]
pub struct Gateway {
    stop: Stop,
    reloader: Reloader,
    traffic: thread::JoinHandle<supervisor::Outcome>,
}

impl Gateway {
    /// Starts a node that communicates with callers and its backend server through `frontend`.
    ///
    /// # Errors
    ///
    /// Fails if an address is in use or a thread cannot be started.
    pub fn start<Frontend>(settings: Settings, frontend: Frontend) -> Result<Self, Report<Error>>
    where
        Frontend: frontend::Frontend + Send,
    {
        let listeners = traffic::Listeners {
            callers: bind(settings.callers)?,
            ready: bind(settings.ready)?,
            announcements: bind(settings.announcements)?,
            peers: bind(settings.peers)?,
            metrics: settings.metrics.map(bind).transpose()?,
        };
        let stop = Stop::new();
        let (events, inbox) = mpsc::channel(coordinator::QUEUE_CAPACITY);
        let (commands, command_inbox) = mpsc::channel(coordinator::QUEUE_CAPACITY);
        let config = coordinator::state::Config {
            backend: settings.backend,
            service: settings.service.clone(),
            domain: settings.domain.clone(),
            lease: settings.lease,
            max_hold: settings.max_hold,
            started_ms: coordinator::unix_ms(),
        };
        let (coordinator, shared) = coordinator::Coordinator::new(config, commands);
        let until = stop.clone();
        // The control thread ends when the traffic thread drops its event queue.
        spawn("coordinator", async move || {
            coordinator.run(inbox, until).await
        })?;
        let (reload, reloads) = watch::channel(Reload::new(&settings));
        let signals = traffic::Signals {
            stop: stop.clone(),
            reloads,
        };
        let traffic = spawn("traffic", async move || {
            traffic::run(
                settings,
                listeners,
                shared,
                (events, command_inbox),
                frontend,
                signals,
            )
            .await
        })?;
        Ok(Self {
            stop,
            reloader: Reloader(reload),
            traffic,
        })
    }

    /// Returns the handle that applies changed settings.
    pub const fn reloader(&self) -> &Reloader {
        &self.reloader
    }

    /// Returns the token that stops the node.
    pub const fn stop(&self) -> &Stop {
        &self.stop
    }

    /// Waits until the node has ended.
    ///
    /// # Errors
    ///
    /// Fails if a child of the root supervisor has failed permanently.
    pub fn wait(self) -> Result<(), Report<Error>> {
        match self.traffic.join() {
            Ok(ended) => ended.change_context(Error::Child("traffic")),
            Err(_) => Err(Report::new(Error::Child("traffic"))),
        }
    }
}

fn spawn<Run>(
    name: &'static str,
    run: Run,
) -> Result<thread::JoinHandle<supervisor::Outcome>, Report<Error>>
where
    Run: AsyncFnOnce() -> supervisor::Outcome + Send + 'static,
{
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .change_context(Error::Start)?;
    let body = move || tokio::task::LocalSet::new().block_on(&runtime, run());
    let thread = thread::Builder::new().name(name.to_owned());
    thread.spawn(body).change_context(Error::Start)
}

fn bind(address: net::SocketAddr) -> Result<net::TcpListener, Report<Error>> {
    let listener = net::TcpListener::bind(address).change_context(Error::Listen(address))?;
    let shared = listener.set_nonblocking(true);
    shared.change_context(Error::Listen(address))?;
    Ok(listener)
}
