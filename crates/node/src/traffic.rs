//! Traffic threads: sockets and requests.
//!
//! Children: [`callers`] (HTTP from callers), [`peers`] (frames from and to
//! other nodes), [`server`] (the backend server of this VM) and, if an address is
//! set for it, [`scrape`] (the collector of metrics). A listener that
//! fails is restarted at once, at most [`RESTARTS`] times in [`WINDOW`]; then the
//! traffic ends, and with it the node, since a node that takes no requests is
//! better replaced. Requests are tasks of their connections and end with them.

pub mod accept;
pub mod answer;
pub mod callers;
pub mod evidence;
pub mod owned;
pub mod path;
pub mod peers;
pub mod request;
pub mod scrape;
pub mod server;

use std::net;
use std::sync;
use std::time::Duration;

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
    /// Connections from other nodes.
    pub serve: peers::serve::Config,
    /// Time for connections to end at a shutdown.
    pub drain: Duration,
}

/// Runs the listeners until `stop`.
///
/// # Errors
///
/// Fails if a listener is restarted too often.
pub async fn run(
    listeners: Listeners,
    config: Config,
    path: sync::Arc<Path>,
    announce: server::announce::Announce,
    stop: Stop,
) -> supervisor::Outcome {
    let supervisor = Supervisor::new(
        "traffic",
        budget::Budget::new(RESTARTS, WINDOW),
        stop.clone(),
    );
    let caller = || {
        let endpoint = callers::Callers::new(path.clone(), config.callers);
        serve_http(&listeners.caller, endpoint, config.drain, stop.clone())
    };
    let backend = || {
        serve_http(
            &listeners.backend,
            announce.clone(),
            Duration::ZERO,
            stop.clone(),
        )
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
        let serve = || {
            let endpoint = scrape::Scrape::new(path.clone());
            serve_http(listener, endpoint, Duration::ZERO, stop.clone())
        };
        supervisor
            .run("metrics", policy::Policy::Permanent, serve)
            .await
    };
    tokio::try_join!(
        metrics,
        supervisor.run("callers", policy::Policy::Permanent, caller),
        supervisor.run("backend", policy::Policy::Permanent, backend),
        supervisor.run("peers", policy::Policy::Permanent, peer),
    )?;
    Ok(())
}

fn clone(
    listener: &net::TcpListener,
) -> Result<TcpListener, error_stack::Report<supervisor::Error>> {
    let cloned = listener.try_clone().and_then(|listener| {
        listener.set_nonblocking(true)?;
        TcpListener::from_std(listener)
    });
    cloned.map_err(|error| {
        error_stack::Report::new(error).change_context(supervisor::Error::Child("listener"))
    })
}

async fn serve_http<E>(
    listener: &net::TcpListener,
    endpoint: E,
    drain: Duration,
    stop: Stop,
) -> supervisor::Outcome
where
    E: poem::Endpoint<Output = poem::Response> + 'static,
{
    let acceptor = accept::Acceptor::new(clone(listener)?);
    poem::Server::new_with_acceptor(acceptor)
        .run_with_graceful_shutdown(endpoint, stop.cancelled_owned(), Some(drain))
        .await
        .map_err(|error| {
            error_stack::Report::new(error).change_context(supervisor::Error::Child("listener"))
        })
}
