//! The traffic thread: connections of operators, replicas and nodes.
//!
//! Each listener is a task that runs until the process ends. Each connection to a replica is a task
//! that reconnects after a failure.

mod nodes;
mod operators;
mod replicas;

use std::collections;
use std::net;
use std::rc;
use std::sync;

use error_stack::ResultExt;
use sequoiayoke_http1::serve;
use sequoiayoke_supervise::supervisor;
use sequoiayoke_telemetry::metrics;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task;

use crate::coordinator;
use crate::measure;
use crate::operator;

/// Maximum number of frames that are queued for one replica.
const LINK_QUEUE_CAPACITY: usize = 512;

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
}

/// Serves all connections until the control thread ends.
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
    task::spawn_local(operators::run(operator, rc::Rc::clone(&config), frontend));
    task::spawn_local(replicas::accept(replica, rc::Rc::clone(&config)));
    task::spawn_local(nodes::accept(session, rc::Rc::clone(&config)));
    if let Some(metrics) = listeners.metrics {
        let metrics = TcpListener::from_std(metrics).change_context_lazy(failed)?;
        let measure = sync::Arc::clone(&config.measure);
        task::spawn_local(serve::serve(metrics, move |_| {
            let reply = render_metrics(&measure);
            async move { reply }
        }));
    }
    let mut published = config.published.clone();
    let mut links = collections::BTreeMap::new();
    loop {
        let wanted = published.borrow_and_update().replicas.clone();
        update_links(&mut links, &wanted, &config);
        loop {
            tokio::select! {
                changed = published.changed() => {
                    // The control thread has ended; the root supervisor ends this thread too.
                    if changed.is_err() {
                        return Ok(());
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
