//! The traffic thread: connections of operators, replicas and nodes.
//!
//! Each listener is a task that runs until the replica stops. Each connection to a replica is a task
//! that reconnects after a failure; these run until all other connections are closed.

mod nodes;
mod operators;
mod replicas;

use std::collections;
use std::convert;
use std::future;
use std::net;
use std::rc;
use std::sync;
use std::time::Duration;

use error_stack::ResultExt;
use sequoiayoke_http1::serve;
use sequoiayoke_supervise::{Stop, supervisor};
use sequoiayoke_telemetry::metrics;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task;
use tokio::time;

use crate::coordinator;
use crate::measure;
use crate::operator;
use crate::root;

/// Maximum number of frames that are queued for one replica.
const LINK_QUEUE_CAPACITY: usize = 512;
/// Time in which this replica stays in the group after it has said that it stops, so that it has left
/// before it ends.
const LEAVE_TIME: Duration = Duration::from_millis(300);
/// Longest time to close the connections of operators and nodes after the replica was asked to stop.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Listeners that were bound at startup.
#[derive(Debug)]
pub struct Listeners {
    /// For operators.
    pub operator: net::TcpListener,
    /// For other replicas.
    pub replica: net::TcpListener,
    /// For nodes.
    pub session: net::TcpListener,
    /// For the collector of metrics, if any.
    pub metrics: Option<net::TcpListener>,
}

/// Settings of the traffic thread and its channels with the control thread.
#[derive(Clone, Debug)]
pub struct Config {
    /// Events for the control thread.
    pub events: mpsc::Sender<coordinator::Event>,
    /// State that the control thread publishes.
    pub published: watch::Receiver<coordinator::Published>,
    /// Metrics.
    pub(crate) measure: sync::Arc<measure::Measure>,
    /// Port on which replicas listen for each other.
    pub replica_port: u16,
    /// Limits of the process.
    pub limits: root::Limits,
    /// Closes the connections of operators and nodes, and ends the thread.
    pub stop: Stop,
}

/// Serves all connections until `config.stop` is cancelled and those of operators and nodes are
/// closed.
///
/// # Errors
///
/// Fails if a listener cannot be used.
pub async fn run<Frontend>(
    listeners: Listeners,
    config: Config,
    mut frames: mpsc::Receiver<coordinator::Outgoing>,
    frontend: Frontend,
) -> supervisor::Outcome
where
    Frontend: operator::Frontend,
{
    let failed = || supervisor::Error::Child("listener");
    let operator = TcpListener::from_std(listeners.operator).change_context_lazy(failed)?;
    let replica = TcpListener::from_std(listeners.replica).change_context_lazy(failed)?;
    let session = TcpListener::from_std(listeners.session).change_context_lazy(failed)?;
    let config = rc::Rc::new(config);
    let mut servers = task::JoinSet::new();
    servers.spawn_local(operators::run(operator, rc::Rc::clone(&config), frontend));
    servers.spawn_local(nodes::accept(session, rc::Rc::clone(&config)));
    if let Some(metrics) = listeners.metrics {
        let metrics = TcpListener::from_std(metrics).change_context_lazy(failed)?;
        servers.spawn_local(serve_metrics(metrics, rc::Rc::clone(&config)));
    }
    task::spawn_local(replicas::accept(replica, rc::Rc::clone(&config)));
    let closed = async {
        config.stop.cancelled().await;
        let closed = async { while servers.join_next().await.is_some() {} };
        let left = time::sleep(LEAVE_TIME);
        if time::timeout(CLOSE_TIMEOUT, closed).await.is_err() {
            tracing::warn!("cutting connections that are still open");
        }
        left.await;
    };
    tokio::select! {
        () = closed => Ok(()),
        never = send_frames(&mut frames, &config) => match never {},
    }
}

/// Passes the frames of the control thread to the connections with other replicas.
async fn send_frames(
    frames: &mut mpsc::Receiver<coordinator::Outgoing>,
    config: &rc::Rc<Config>,
) -> convert::Infallible {
    let mut published = config.published.clone();
    let mut links = collections::BTreeMap::new();
    loop {
        let wanted = published.borrow_and_update().replicas.clone();
        update_links(&mut links, &wanted, config);
        loop {
            tokio::select! {
                changed = published.changed() => {
                    // The control thread has ended, and the root supervisor stops this thread.
                    if changed.is_err() {
                        return future::pending().await;
                    }
                    break;
                }
                Some((address, frame)) = frames.recv() => {
                    let link: Option<&Link> = links.get(&address);
                    if link.is_none_or(|link| link.queue.try_send(frame).is_err()) {
                        tracing::debug!(%address, "dropping a message to a replica");
                    }
                }
            }
        }
    }
}

async fn serve_metrics(listener: TcpListener, config: rc::Rc<Config>) {
    let stop = config.stop.clone();
    let handler = move |_| {
        let reply = render_metrics(&config.measure);
        async move { reply }
    };
    let server = serve::Server::new(handler).with_stop(stop, CLOSE_TIMEOUT);
    if let Err(error) = server.run(listener).await {
        tracing::error!(%error, "the listener for metrics has failed");
    }
}

fn render_metrics(measure: &measure::Measure) -> serve::Reply {
    match measure.render() {
        Ok(text) => serve::Reply::new(200, metrics::Metrics::CONTENT_TYPE, text),
        Err(report) => {
            tracing::error!(?report, "the metrics could not be rendered");
            serve::Reply::new(500, "text/plain", "no metrics")
        }
    }
}

/// A task that stays connected to a replica, and the queue of frames for it.
#[derive(Debug)]
struct Link {
    queue: mpsc::Sender<sequoiayoke_wire::replica::Frame>,
    task: task::JoinHandle<()>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts links to the wanted replicas and stops the links to all others.
fn update_links(
    links: &mut collections::BTreeMap<net::SocketAddr, Link>,
    wanted: &[net::SocketAddr],
    config: &rc::Rc<Config>,
) {
    links.retain(|address, _| wanted.contains(address));
    for address in wanted {
        links.entry(*address).or_insert_with(|| {
            let (queue, frames) = mpsc::channel(LINK_QUEUE_CAPACITY);
            let target = net::SocketAddr::new(address.ip(), config.replica_port);
            let task = task::spawn_local(replicas::dial(target, frames, rc::Rc::clone(config)));
            Link { queue, task }
        });
    }
}
