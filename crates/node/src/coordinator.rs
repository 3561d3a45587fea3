//! The control thread of the node.
//!
//! It is the only writer of the view, the lease and the list of owned slices.
//! Its only child is [`session`], which is always restarted (at most [`RESTARTS`]
//! times in [`WINDOW`]). A coordinator that fails ends the process: the lease is
//! lost with it, so the node has to join as a new run in any case.

pub mod event;
pub mod exports;
mod release;
pub mod report;
pub mod session;
pub mod state;

use std::rc;
use std::sync;
use std::time::Duration;

use sequoiayoke_model::clock;
use sequoiayoke_supervise::{Stop, Supervisor, budget, policy, supervisor};
use sequoiayoke_traffic::admission::gate;
use sequoiayoke_wire::session as message;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::task;
use tokio::time;

use crate::published;
use crate::traffic;
use crate::traffic::ids;
use crate::traffic::path;
use crate::traffic::server;
use crate::traffic::server::{command, permit};

/// Maximum number of restarts of the session within [`WINDOW`].
pub const RESTARTS: usize = 5;
/// Time window in which [`RESTARTS`] are counted.
pub const WINDOW: Duration = Duration::from_secs(10);
/// Capacity of the coordinator's event queue.
pub const QUEUE_CAPACITY: usize = 1024;
/// Maximum number of concurrent commands to the backend server.
const MAX_COMMANDS: usize = 8;
/// Delay before a grant that the backend server did not acknowledge is retried.
const GRANT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Interval between reports of load and health.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between probes of the health endpoint.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Time that a shutdown leaves for the last frames to be sent to control.
const LEAVING_FLUSH_TIME: Duration = Duration::from_millis(200);

/// Configuration of the coordinator.
#[derive(Debug)]
pub struct Config {
    /// Configuration of the session with control.
    pub session: session::Config,
    /// Interval between renewals of the lease.
    pub renew: Duration,
    /// Time that a shutdown gives requests in flight to complete.
    pub drain: Duration,
    /// Maximum number of requests queued for the backend server.
    pub queue: u32,
    /// Signs request ids.
    pub signer: ids::Signer,
    /// Token that authenticates commands to the backend server.
    pub token: sync::Arc<str>,
    /// Limit on connections to the backend server, if lower than announced.
    pub max_connections: Option<u32>,
    /// Timeout for opening a connection to the backend server.
    pub connect: Duration,
}

struct Coordinator {
    config: rc::Rc<Config>,
    state: state::State,
    published: sync::Arc<published::Published>,
    path: sync::Arc<traffic::Path>,
    events: mpsc::Sender<event::Event>,
    outgoing: Option<mpsc::Sender<message::FromNode>>,
    commander: Option<rc::Rc<command::Commander>>,
    commands: rc::Rc<Semaphore>,
    // Tasks that belong to the current backend server.
    backend_tasks: task::JoinSet<()>,
    reporter: report::Reporter,
}

/// Runs the coordinator until `stop` is cancelled, then drains for at most `config.drain`.
///
/// # Errors
///
/// Fails if a child is restarted too often.
pub async fn run(
    config: Config,
    state: state::State,
    published: sync::Arc<published::Published>,
    path: sync::Arc<traffic::Path>,
    channel: (mpsc::Sender<event::Event>, mpsc::Receiver<event::Event>),
    signals: (Stop, traffic::Shutdown),
) -> supervisor::Outcome {
    let (events, inbox) = channel;
    let (stop, shutdown) = signals;
    let supervisor = Supervisor::new(
        "coordinator",
        budget::Budget::new(RESTARTS, WINDOW),
        stop.clone(),
    );
    let session_config = config.session.clone();
    let session_events = events.clone();
    let session = supervisor.run("session", policy::Policy::Permanent, || {
        let (config, events) = (session_config.clone(), session_events.clone());
        async move {
            session::run(config, events).await;
            Ok(())
        }
    });
    let coordinator = Coordinator {
        config: rc::Rc::new(config),
        state,
        published,
        path,
        events,
        outgoing: None,
        commander: None,
        commands: rc::Rc::new(Semaphore::new(MAX_COMMANDS)),
        backend_tasks: task::JoinSet::new(),
        reporter: report::Reporter::default(),
    };
    tokio::select! {
        outcome = session => outcome,
        () = coordinator.run(inbox, stop.clone(), shutdown) => Ok(()),
    }
}

impl Coordinator {
    async fn run(
        mut self,
        mut inbox: mpsc::Receiver<event::Event>,
        stop: Stop,
        shutdown: traffic::Shutdown,
    ) {
        let mut renewal = time::interval(self.config.renew);
        renewal.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut reports = time::interval(REPORT_INTERVAL);
        reports.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut drain_deadline = None;
        loop {
            let drain_end =
                drain_deadline.unwrap_or_else(|| time::Instant::now() + Duration::from_secs(3600));
            tokio::select! {
                Some(event) = inbox.recv() => self.handle(event),
                _ = renewal.tick() => {
                    let now = clock::Instant::now();
                    self.path.evidence().record_alive(now);
                    self.state.tick(now);
                    self.state.renew(now);
                }
                _ = reports.tick() => {
                    let now = clock::Instant::now();
                    self.path.evidence().record_alive(now);
                    self.path.observe_unresponsive();
                    let report = self.reporter.report(now, self.path.evidence());
                    self.state.set_report(report);
                }
                () = stop.cancelled(), if drain_deadline.is_none() => {
                    tracing::info!(drain_ms = self.config.drain.as_millis() as u64, "draining");
                    drain_deadline = Some(time::Instant::now() + self.config.drain);
                    self.state.stop();
                }
                () = shutdown.ended.cancelled(), if drain_deadline.is_some() => break,
                () = time::sleep_until(drain_end), if drain_deadline.is_some() => {
                    self.log_busy_slices();
                    break;
                }
            }
            self.run_effects();
            self.published.store(self.state.snapshot());
            if self.state.is_release_complete(clock::Instant::now()) {
                // The listeners stay open until the slices are released: forwarded requests
                // in flight complete here, and requests from callers can still be forwarded
                // to the new owners, for which new views are still applied.
                shutdown.close.cancel();
            }
        }
        self.send_leaving().await;
    }

    fn log_busy_slices(&self) {
        for slice in self.state.busy_slices() {
            tracing::error!(
                service = %slice.service(),
                first = %slice.range().first,
                in_flight = slice.in_flight(),
                "requests in flight did not end within the drain time"
            );
        }
    }

    async fn send_leaving(&mut self) {
        self.state.send_leaving();
        self.run_effects();
        // The session child sends the queued frames during this sleep.
        time::sleep(LEAVING_FLUSH_TIME).await;
    }

    fn handle(&mut self, event: event::Event) {
        let now = clock::Instant::now();
        match event {
            event::Event::Announced(backend) => self.state.handle_announcement(now, backend),
            event::Event::SessionUp(outgoing) => {
                self.outgoing = Some(outgoing);
                self.reporter.reset();
                self.state.handle_session_up();
            }
            event::Event::SessionDown => {
                self.outgoing = None;
                self.state.handle_session_down();
            }
            event::Event::Frame(frame) => self.state.handle_frame(now, frame),
            event::Event::Granted(grant, result) => self.state.handle_grant_result(grant, result),
            event::Event::Idle(grant, export) => self.state.handle_idle(grant, export),
        }
    }

    fn run_effects(&mut self) {
        for effect in self.state.take_effects() {
            match effect {
                state::Effect::Send(frame) => self.send(frame),
                state::Effect::Disconnect => self.outgoing = None,
                state::Effect::UseBackend(backend) => self.use_backend(backend),
                state::Effect::DropBackend => {
                    self.backend_tasks.abort_all();
                    self.path.set_target(None);
                }
                state::Effect::Prepare(service, range) => {
                    self.command(move |commander, _| async move {
                        if let Err(error) = commander.prepare(&service, range).await {
                            tracing::warn!(%error, "prepare command failed");
                        }
                    });
                }
                state::Effect::Grant(grant, service, range) => {
                    let until = self.state.lease_until();
                    self.command(move |commander, events| async move {
                        let result = commander.grant(&service, range, grant.epoch, until).await;
                        if result.is_err() {
                            time::sleep(GRANT_RETRY_DELAY).await;
                        }
                        let _ = events.send(event::Event::Granted(grant, result)).await;
                    });
                }
                state::Effect::Release(grant, service, slice) => {
                    let until = self.state.lease_until();
                    let (commander, events) = (self.commander.clone(), self.events.clone());
                    task::spawn_local(async move {
                        release::wait_released(&slice, &service, commander.as_deref(), until).await;
                        let export = slice.export();
                        let _ = events.send(event::Event::Idle(grant, export)).await;
                    });
                }
            }
        }
    }

    fn send(&mut self, frame: message::FromNode) {
        let Some(outgoing) = &self.outgoing else {
            return;
        };
        // A full queue means that the connection is dead, so a new session is started.
        if outgoing.try_send(frame).is_err() {
            self.outgoing = None;
        }
    }

    fn command<F, R>(&self, run: F)
    where
        F: FnOnce(rc::Rc<command::Commander>, mpsc::Sender<event::Event>) -> R + 'static,
        R: Future<Output = ()> + 'static,
    {
        let Some(commander) = self.commander.clone() else {
            return;
        };
        let events = self.events.clone();
        let commands = rc::Rc::clone(&self.commands);
        task::spawn_local(async move {
            let permit = commands.acquire().await;
            run(commander, events).await;
            drop(permit);
        });
    }

    fn use_backend(&mut self, backend: sync::Arc<server::Backend>) {
        let max = self.config.max_connections.unwrap_or(u32::MAX);
        let connections = backend.connections.min(max);
        let client = match server::client(connections, self.config.connect) {
            Ok(client) => client,
            Err(error) => {
                tracing::error!(%error, "cannot create the HTTP client for the backend server");
                return;
            }
        };
        let limits = gate::Limits {
            slots: backend.slots,
            queue: self.config.queue,
        };
        let evidence = sync::Arc::clone(self.path.evidence());
        let admission = sync::Arc::new(permit::Admission::new(limits, evidence));
        self.commander = Some(rc::Rc::new(command::Commander::new(
            client,
            sync::Arc::clone(&backend),
            sync::Arc::clone(&self.config.token),
        )));
        self.backend_tasks.abort_all();
        let deadlines = sync::Arc::clone(&admission);
        self.backend_tasks
            .spawn_local(async move { deadlines.run_deadlines().await });
        let (commander, path) = (self.commander.clone(), sync::Arc::clone(&self.path));
        self.backend_tasks.spawn_local(async move {
            while let Some(commander) = &commander {
                let probe = commander.health().await;
                path.evidence().record_probe(clock::Instant::now(), probe);
                time::sleep(PROBE_INTERVAL).await;
            }
        });
        self.path.set_target(Some(sync::Arc::new(path::Target {
            name: backend.name.clone(),
            server: server::Http::new(backend, self.config.connect, self.config.signer.clone()),
            admission,
        })));
    }
}
