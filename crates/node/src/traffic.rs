//! Traffic threads: sockets and requests.
//!
//! Children: [`callers`] (HTTP from callers), [`peers`] (frames from and to
//! other nodes), [`server`] (the backend server of this VM) and, if an address is
//! set for it, [`scrape`] (the collector of metrics). A listener that
//! fails is restarted at once, at most [`RESTARTS`] times in [`WINDOW`]; then the
//! traffic ends, and with it the node, since a node that takes no requests is
//! better replaced. Requests are tasks of their connections and end with them.

pub mod answer;
pub mod callers;
pub mod evidence;
pub mod flights;
pub mod ids;
pub mod owned;
pub mod path;
pub mod peers;
pub mod request;
pub mod scrape;
pub mod server;

use std::io;
use std::net;
use std::sync;
use std::time::Duration;

use poem::listener;
use sequoiayoke_model::clock;
use sequoiayoke_supervise::{Stop, Supervisor, budget, policy, supervisor};
use tokio::net::TcpListener;

/// Restarts of listeners within [`WINDOW`].
pub const RESTARTS: usize = 5;
/// Window of [`RESTARTS`].
pub const WINDOW: Duration = Duration::from_secs(10);

/// The path as the node's own process uses it.
pub type Path = path::Path<clock::Boot, server::Http>;

/// Listeners, bound before anything starts, so that a taken address is an early error.
#[derive(Debug)]
pub struct Listeners {
    /// For callers.
    pub caller: net::TcpListener,
    /// For other nodes.
    pub peer: net::TcpListener,
    /// For the backend server.
    pub backend: net::TcpListener,
    /// For the collector of metrics, if any.
    pub metrics: Option<net::TcpListener>,
}

/// What the traffic needs.
#[derive(Debug)]
pub struct Config {
    /// Bounds of what callers may send.
    pub callers: callers::Limits,
    /// Signs request ids.
    pub signer: ids::Signer,
    /// Bounds of the connections of callers.
    pub connections: callers::connection::Limits,
    /// Connections from other nodes.
    pub serve: peers::serve::Config,
}

/// Signals of a shutdown.
#[derive(Clone, Debug, Default)]
pub struct Shutdown {
    /// Nothing is owned any more: the listeners close, and answers in flight end.
    pub close: Stop,
    /// The time for answers in flight is over.
    pub over: Stop,
    /// The traffic has ended.
    pub ended: Stop,
}

/// Runs the listeners until the shutdown; requests that are then still in flight are logged.
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
    // Kept over restarts of the listener, so that its connections stay counted.
    let connections = callers::connection::Connections::new(config.connections);
    let connections = sync::Arc::new(connections);
    let caller = || async {
        let listener = clone(&listeners.caller)?;
        let acceptor = callers::connection::Acceptor::new(listener, connections.clone());
        let endpoint = callers::Callers::new(
            path.clone(),
            config.callers,
            config.signer.clone(),
            connections.clone(),
        );
        serve_http(acceptor, endpoint, stop.clone()).await
    };
    let backend = || async {
        let acceptor = accept(&listeners.backend)?;
        serve_http(acceptor, announce.clone(), stop.clone()).await
    };
    let peer = || async {
        let listener = clone(&listeners.peer)?;
        peers::serve::run(listener, config.serve.clone(), path.clone(), stop.clone()).await;
        Ok(())
    };
    let metrics = async {
        let Some(listener) = &listeners.metrics else {
            return Ok(());
        };
        let serve = || async {
            let endpoint = scrape::Scrape::new(path.clone());
            serve_http(accept(listener)?, endpoint, stop.clone()).await
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
    let over = async {
        shutdown.over.cancelled().await;
        // Before the other branch is dropped, which ends the requests.
        report(&path);
    };
    tokio::select! {
        ended = running => ended.map(|_| ()),
        () = over => Ok(()),
    }
}

/// Logs the requests that a shutdown interrupts.
fn report(path: &Path) {
    let snapshot = path.published().load();
    for record in path.flights().list() {
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

fn clone(
    listener: &net::TcpListener,
) -> Result<TcpListener, error_stack::Report<supervisor::Error>> {
    let cloned = listener.try_clone().and_then(|listener| {
        listener.set_nonblocking(true)?;
        TcpListener::from_std(listener)
    });
    cloned.map_err(failed)
}

fn accept(
    listener: &net::TcpListener,
) -> Result<listener::TcpAcceptor, error_stack::Report<supervisor::Error>> {
    listener::TcpAcceptor::from_tokio(clone(listener)?).map_err(failed)
}

fn failed(error: io::Error) -> error_stack::Report<supervisor::Error> {
    error_stack::Report::new(error).change_context(supervisor::Error::Child("listener"))
}

async fn serve_http<A, E>(acceptor: A, endpoint: E, stop: Stop) -> supervisor::Outcome
where
    A: listener::Acceptor + 'static,
    E: poem::Endpoint<Output = poem::Response> + 'static,
{
    poem::Server::new_with_acceptor(acceptor)
        .run_with_graceful_shutdown(endpoint, stop.cancelled_owned(), None)
        .await
        .map_err(failed)
}
