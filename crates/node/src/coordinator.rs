//! The control thread of the node.
//!
//! It is the only writer of the view, the lease and the list of owned slices.
//! Children: [`session`], restarted always (at most [`RESTARTS`] times in
//! [`WINDOW`]). A coordinator that fails ends the node: its lease is lost with
//! it, so a new run has to join in any case.

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

/// Restarts of the session within [`WINDOW`].
pub const RESTARTS: usize = 5;
/// Window of [`RESTARTS`].
pub const WINDOW: Duration = Duration::from_secs(10);
/// Events that may wait for the coordinator.
pub const QUEUE: usize = 1024;
/// Commands to the backend server at the same time.
const COMMANDS: usize = 8;
/// Pause before a grant that the backend server did not take is sent again.
const GRANT_PAUSE: Duration = Duration::from_millis(50);
/// Time between two reports of load and health.
const REPORT: Duration = Duration::from_secs(1);
/// Time between two looks at the health endpoint.
const PROBE: Duration = Duration::from_secs(1);
/// Time for the last frames to reach control at a shutdown.
const FAREWELL: Duration = Duration::from_millis(200);

/// What the coordinator needs.
#[derive(Debug)]
pub struct Config {
    /// Settings of the session.
    pub session: session::Config,
    /// Time between two renewals.
    pub renew: Duration,
    /// Time for requests in flight to end at a shutdown.
    pub drain: Duration,
    /// Requests that may wait for the backend server.
    pub queue: u32,
    /// Signs request ids.
    pub signer: ids::Signer,
    /// Token that proves to the backend server who sends a command.
    pub token: sync::Arc<str>,
    /// Connections to the backend server, if fewer than announced.
    pub max_connections: Option<u32>,
    /// Time to open a connection.
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
    // Tasks that serve the present backend server.
    helpers: task::JoinSet<()>,
    reporter: report::Reporter,
}

/// Runs the coordinator until `stop`; then it drains, bounded by the settings.
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
        commands: rc::Rc::new(Semaphore::new(COMMANDS)),
        helpers: task::JoinSet::new(),
        reporter: report::Reporter::default(),
    };
    tokio::select! {
        ended = session => ended,
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
        let mut reports = time::interval(REPORT);
        reports.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut drain_ends = None;
        loop {
            let drained =
                drain_ends.unwrap_or_else(|| time::Instant::now() + Duration::from_secs(3600));
            tokio::select! {
                Some(event) = inbox.recv() => self.handle(event),
                _ = renewal.tick() => {
                    let now = clock::Instant::now();
                    self.path.evidence().alive(now);
                    self.state.tick(now);
                    self.state.renew(now);
                }
                _ = reports.tick() => {
                    let now = clock::Instant::now();
                    self.path.evidence().alive(now);
                    self.path.observe_silence();
                    let report = self.reporter.report(now, self.path.evidence());
                    self.state.report(report);
                }
                () = stop.cancelled(), if drain_ends.is_none() => {
                    tracing::info!(drain_ms = self.config.drain.as_millis() as u64, "draining");
                    drain_ends = Some(time::Instant::now() + self.config.drain);
                    self.state.stop();
                }
                () = shutdown.ended.cancelled(), if drain_ends.is_some() => break,
                () = time::sleep_until(drained), if drain_ends.is_some() => {
                    self.report_busy();
                    break;
                }
            }
            self.carry_out();
            self.published.store(self.state.snapshot());
            if self.state.is_released(clock::Instant::now()) {
                // Only now, so that forwarded requests in flight end here and callers'
                // requests can still go to other owners. Views go on arriving meanwhile.
                shutdown.close.cancel();
            }
        }
        self.say_leaving().await;
    }

    fn report_busy(&self) {
        for slice in self.state.busy() {
            tracing::error!(
                service = %slice.service(),
                first = %slice.range().first,
                in_flight = slice.in_flight(),
                "requests in flight did not end within the drain time"
            );
        }
    }

    async fn say_leaving(&mut self) {
        self.state.say_leaving();
        self.carry_out();
        // The session child sends what is queued while this one waits.
        time::sleep(FAREWELL).await;
    }

    fn handle(&mut self, event: event::Event) {
        let now = clock::Instant::now();
        match event {
            event::Event::Announced(backend) => self.state.announced(now, backend),
            event::Event::SessionUp(outgoing) => {
                self.outgoing = Some(outgoing);
                self.reporter.reset();
                self.state.session_up();
            }
            event::Event::SessionDown => {
                self.outgoing = None;
                self.state.session_down();
            }
            event::Event::Frame(frame) => self.state.received(now, frame),
            event::Event::Granted(grant, taken) => self.state.granted(grant, taken),
            event::Event::Idle(grant, export) => self.state.idle(grant, export),
        }
    }

    fn carry_out(&mut self) {
        for effect in self.state.take_effects() {
            match effect {
                state::Effect::Send(frame) => self.send(frame),
                state::Effect::Disconnect => self.outgoing = None,
                state::Effect::Use(backend) => self.use_backend(backend),
                state::Effect::Prepare(service, range) => {
                    self.command(move |commander, _| async move {
                        if let Err(error) = commander.prepare(&service, range).await {
                            tracing::warn!(%error, "the backend server was not prepared");
                        }
                    });
                }
                state::Effect::Grant(grant, service, range) => {
                    let until = self.state.lease_until();
                    self.command(move |commander, events| async move {
                        let taken = commander.grant(&service, range, grant.epoch, until).await;
                        if taken.is_err() {
                            time::sleep(GRANT_PAUSE).await;
                        }
                        let _ = events.send(event::Event::Granted(grant, taken)).await;
                    });
                }
                state::Effect::Release(grant, service, slice) => {
                    let until = self.state.lease_until();
                    let (commander, events) = (self.commander.clone(), self.events.clone());
                    task::spawn_local(async move {
                        release::settled(&slice, &service, commander.as_deref(), until).await;
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
        // A full queue means a dead connection; a new session starts over.
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
                tracing::error!(%error, "the backend server cannot be used");
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
        self.helpers.abort_all();
        let deadlines = sync::Arc::clone(&admission);
        self.helpers
            .spawn_local(async move { deadlines.run_deadlines().await });
        let (prober, path) = (self.commander.clone(), sync::Arc::clone(&self.path));
        self.helpers.spawn_local(async move {
            while let Some(commander) = &prober {
                let probe = commander.health().await;
                path.evidence().probed(clock::Instant::now(), probe);
                time::sleep(PROBE).await;
            }
        });
        self.path.set_target(Some(sync::Arc::new(path::Target {
            name: backend.name.clone(),
            server: server::Http::new(backend, self.config.connect, self.config.signer.clone()),
            admission,
        })));
    }
}
