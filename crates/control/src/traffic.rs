//! Traffic threads of a control replica: they handle sockets and decide nothing.
//!
//! Children: [`peers`] (other replicas), [`nodes`] (sessions of nodes) and [`operators`]
//! (HTTP). A listener that fails is restarted at once, at most [`RESTARTS`] times in
//! [`WINDOW`]; after that the process ends, and the platform restarts it.

pub mod nodes;
pub mod operators;
pub mod peers;

use std::net;
use std::sync;
use std::time::Duration;

use poem::listener;
use sequoiayoke_supervise::{Stop, Supervisor, budget, policy, supervisor};
use sequoiayoke_wire::replica;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task;
use tokio::time;

use crate::coordinator::event;
use crate::measure;

/// Most restarts of listeners within [`WINDOW`].
pub const RESTARTS: usize = 5;
/// Time over which [`RESTARTS`] are counted.
pub const WINDOW: Duration = Duration::from_secs(10);
/// Longest time to send the frames that are queued when the replica stops.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Listeners, bound before any thread starts, so that an address in use fails the start.
#[derive(Debug)]
pub struct Listeners {
    /// Listener for other replicas.
    pub replica: net::TcpListener,
    /// Listener for nodes.
    pub node: net::TcpListener,
    /// Listener for operators.
    pub operator: net::TcpListener,
}

/// Address of another replica, and the queue of frames to it.
#[derive(Debug)]
pub struct Link {
    /// Address of the replica for other replicas.
    pub address: net::SocketAddr,
    /// Queue of frames to the replica.
    pub queue: mpsc::Receiver<replica::Frame>,
}

/// Configuration of the traffic threads.
#[derive(Debug)]
pub struct Config {
    /// Secret that the region's processes share.
    pub secret: sync::Arc<[u8]>,
    /// Region of the group.
    pub region: String,
    /// Names of all configured replicas.
    pub replicas: Vec<String>,
    /// Longest time to open and authenticate a connection.
    pub connect: Duration,
    /// Queue of events for the coordinator.
    pub events: mpsc::Sender<event::Event>,
    /// Latest announcement of this replica.
    pub hello: watch::Receiver<replica::Hello>,
    /// Metrics of this replica.
    pub measure: sync::Arc<measure::Measure>,
    /// Token that stops all children.
    pub stop: Stop,
}

/// Runs listeners and links until `config.stop` is cancelled.
///
/// # Errors
///
/// Fails if a listener is restarted too often.
pub async fn run(listeners: Listeners, links: Vec<Link>, config: Config) -> supervisor::Outcome {
    let supervisor = Supervisor::new(
        "traffic",
        budget::Budget::new(RESTARTS, WINDOW),
        config.stop.clone(),
    );
    let config = sync::Arc::new(config);
    let mut dials = task::JoinSet::new();
    for link in links {
        // A link reconnects until the stop, so it needs no supervision.
        dials.spawn(peers::dial(link, sync::Arc::clone(&config)));
    }
    let replica = || async {
        let listener = clone(&listeners.replica)?;
        peers::accept(listener, sync::Arc::clone(&config)).await;
        Ok(())
    };
    let node = || async {
        let listener = clone(&listeners.node)?;
        nodes::accept(listener, sync::Arc::clone(&config)).await;
        Ok(())
    };
    let operator = || async {
        let listener = clone(&listeners.operator)?;
        serve_http(listener, sync::Arc::clone(&config)).await
    };
    tokio::try_join!(
        supervisor.run("peers", policy::Policy::Permanent, replica),
        supervisor.run("nodes", policy::Policy::Permanent, node),
        supervisor.run("operators", policy::Policy::Permanent, operator),
    )?;
    // The process ends after this, so frames that are still queued must be sent first.
    let _ = time::timeout(FLUSH_TIMEOUT, dials.join_all()).await;
    Ok(())
}

fn failed<E>(error: E) -> error_stack::Report<supervisor::Error>
where
    E: std::error::Error + Send + Sync + 'static,
{
    error_stack::Report::new(error).change_context(supervisor::Error::Child("listener"))
}

fn clone(
    listener: &net::TcpListener,
) -> Result<TcpListener, error_stack::Report<supervisor::Error>> {
    let cloned = listener.try_clone().and_then(|listener| {
        listener.set_nonblocking(true)?;
        TcpListener::from_std(listener)
    });
    cloned.map_err(failed)
}

async fn serve_http(listener: TcpListener, config: sync::Arc<Config>) -> supervisor::Outcome {
    let acceptor = listener::TcpAcceptor::from_tokio(listener).map_err(failed)?;
    let endpoint = operators::Operators::new(config.events.clone(), config.measure.clone());
    let stopped = config.stop.clone().cancelled_owned();
    poem::Server::new_with_acceptor(acceptor)
        .run_with_graceful_shutdown(endpoint, stopped, Some(Duration::from_secs(1)))
        .await
        .map_err(failed)
}
