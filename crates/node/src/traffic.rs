//! Traffic threads: sockets and requests.
//!
//! Children: [`callers`] (HTTP from callers), [`peers`] (frames from and to
//! other nodes), [`server`] (the backend server of this VM) and, if its address is
//! configured, [`scrape`] (the metrics endpoint). A listener that fails is restarted
//! at once, at most [`RESTARTS`] times in [`WINDOW`]. After that the supervisor
//! stops, and with it the process, since a node that accepts no requests has to be
//! replaced. Requests are tasks of their connections and end with them.

pub mod answer;
pub mod callers;
pub mod evidence;
pub mod ids;
pub mod in_flight;
pub mod owned;
pub mod path;
pub mod peers;
pub mod request;
pub mod scrape;
pub mod server;
mod socket;

use std::future;
use std::io;
use std::net;
use std::sync;
use std::time::Duration;

use poem::listener;
use sequoiayoke_model::clock;
use sequoiayoke_supervise::{Stop, Supervisor, budget, policy, supervisor};
use tokio::time;

/// Maximum number of restarts of the listeners within [`WINDOW`].
pub const RESTARTS: usize = 5;
/// Time window in which [`RESTARTS`] are counted.
pub const WINDOW: Duration = Duration::from_secs(10);
/// Last part of the drain time, in which the requests without an answer get their outcome and
/// all answers are written; at most a quarter of the drain time.
const ANSWER_TIME: Duration = Duration::from_secs(1);

/// The request path with the system clock and the HTTP backend server.
pub type Path = path::Path<clock::Boot, server::Http>;

/// Listeners, bound before any child starts, so that an address in use is an early error.
#[derive(Debug)]
pub struct Listeners {
    /// For callers.
    pub caller: net::TcpListener,
    /// For other nodes.
    pub peer: net::TcpListener,
    /// For the backend server.
    pub backend: net::TcpListener,
    /// For the metrics endpoint, if any.
    pub metrics: Option<net::TcpListener>,
}

/// Configuration of the traffic threads.
#[derive(Debug)]
pub struct Config {
    /// Limits on the requests of callers.
    pub callers: callers::Limits,
    /// Signs request ids.
    pub signer: ids::Signer,
    /// Limits on the connections of callers.
    pub connections: callers::connection::Limits,
    /// Configuration of the connections from other nodes.
    pub serve: peers::serve::Config,
}

/// Tokens that coordinate a shutdown.
#[derive(Clone, Debug, Default)]
pub struct Shutdown {
    /// All slices are released: the listeners close, and requests in flight complete.
    pub close: Stop,
    /// The drain time has passed; answers that are still being written are interrupted.
    pub drain_expired: Stop,
    /// The traffic threads have stopped.
    pub ended: Stop,
}

/// Bounds a shutdown that begins with `stop` by the time `drain`.
///
/// Requests whose deadline is later than the end of the process get their outcome before it.
pub async fn run_deadlines(path: sync::Arc<Path>, stop: Stop, drain: Duration, shutdown: Shutdown) {
    stop.cancelled().await;
    let answer_time = ANSWER_TIME.min(drain / 4);
    time::sleep(drain - answer_time).await;
    log_interrupted(&path);
    path.cutoff().cancel();
    shutdown.close.cancel();
    time::sleep(answer_time).await;
    shutdown.drain_expired.cancel();
}

/// Runs the listeners until the shutdown.
///
/// # Errors
///
/// Fails if a listener is restarted too often.
pub async fn run(
    listeners: Listeners,
    config: Config,
    path: sync::Arc<Path>,
    announce: server::announce::Announce,
    shutdown: &Shutdown,
) -> supervisor::Outcome {
    let stop = shutdown.close.clone();
    let supervisor = Supervisor::new(
        "traffic",
        budget::Budget::new(RESTARTS, WINDOW),
        stop.clone(),
    );
    // Outlives restarts of the listener, so that the limit still counts its connections.
    let closing = stop.clone();
    let connections = callers::connection::Connections::with_closing(config.connections, closing);
    let connections = sync::Arc::new(connections);
    let closed = || {
        let (connections, cutoff) = (connections.clone(), path.cutoff().clone());
        async move {
            let _ = cutoff.run_until_cancelled(connections.closed()).await;
        }
    };
    let listeners = socket::Sockets::new(listeners);
    let caller = || async {
        let listener = listeners.caller.open()?;
        let acceptor = callers::connection::Acceptor::new(listener, connections.clone());
        let endpoint = callers::Callers::new(
            path.clone(),
            config.callers,
            config.signer.clone(),
            connections.clone(),
        );
        serve_http(acceptor, endpoint, closed()).await
    };
    let backend = || async {
        let acceptor = tcp_acceptor(&listeners.backend)?;
        serve_http(acceptor, announce.clone(), stop.clone().cancelled_owned()).await
    };
    let peer = || async {
        let listener = listeners.peer.open()?;
        peers::serve::run(listener, config.serve.clone(), path.clone(), stop.clone()).await;
        Ok(())
    };
    let metrics = async {
        let Some(listener) = &listeners.metrics else {
            return Ok(());
        };
        let serve = || async {
            let endpoint = scrape::Scrape::new(path.clone());
            serve_http(
                tcp_acceptor(listener)?,
                endpoint,
                stop.clone().cancelled_owned(),
            )
            .await
        };
        supervisor
            .run("metrics", policy::Policy::Permanent, serve)
            .await
    };
    let running = async {
        tokio::try_join!(
            metrics,
            supervisor.run("callers", policy::Policy::Permanent, caller),
            supervisor.run("backend", policy::Policy::Permanent, backend),
            supervisor.run("peers", policy::Policy::Permanent, peer),
        )
    };
    let close = async {
        stop.cancelled().await;
        listeners.close();
        future::pending::<()>().await;
    };
    tokio::select! {
        () = close => Ok(()),
        outcome = running => outcome.map(|_| ()),
        () = shutdown.drain_expired.cancelled() => Ok(()),
    }
}

/// Logs the requests that a shutdown interrupts.
fn log_interrupted(path: &Path) {
    let snapshot = path.published().load();
    for record in path.in_flight().list() {
        let service = snapshot.view.service_by_id(record.service);
        tracing::error!(
            service = service.map_or("", |service| service.name.as_str()),
            hash = %record.hash,
            request = record.id.map(tracing::field::display),
            forwarded = record.forwarded,
            "request did not end within the drain time"
        );
    }
}

fn tcp_acceptor(
    socket: &socket::Socket,
) -> Result<listener::TcpAcceptor, error_stack::Report<supervisor::Error>> {
    listener::TcpAcceptor::from_tokio(socket.open()?).map_err(listener_error)
}

fn listener_error(error: io::Error) -> error_stack::Report<supervisor::Error> {
    error_stack::Report::new(error).change_context(supervisor::Error::Child("listener"))
}

async fn serve_http<A, E, F>(acceptor: A, endpoint: E, stop: F) -> supervisor::Outcome
where
    F: future::Future<Output = ()>,
    A: listener::Acceptor + 'static,
    E: poem::Endpoint<Output = poem::Response> + 'static,
{
    poem::Server::new_with_acceptor(acceptor)
        .run_with_graceful_shutdown(endpoint, stop, None)
        .await
        .map_err(listener_error)
}
