//! The control thread: owns the state and publishes the view.
//!
//! The coordinator has no tasks below it. It ends only with the process, so
//! nothing restarts it.

pub mod state;

use std::sync;
use std::time::Duration;

use arc_swap::ArcSwap;
use sequoiayoke_catalog::{server, slice};
use sequoiayoke_dispatch::usage;
use sequoiayoke_link::session;
use sequoiayoke_model::clock;
use sequoiayoke_supervise::{Stop, supervisor};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time;

use crate::view;

/// Events that may wait for the coordinator.
pub const QUEUE: usize = 1_024;
/// Time without an announcement after which the backend server is looked for.
const SILENCE: Duration = Duration::from_millis(2_600);

/// An event for the coordinator.
#[derive(Debug)]
pub enum Event {
    /// The backend server has announced itself.
    Announced {
        /// What it said.
        announcement: server::Announcement,
        /// Number of the announcement.
        sequence: u64,
        /// Told whether it counts, once the view shows it.
        reply: oneshot::Sender<bool>,
    },
    /// The backend server leaves.
    Leaving {
        /// Name of the run.
        name: String,
        /// Told whether it counts, once the view shows it.
        reply: oneshot::Sender<bool>,
    },
    /// A run of the backend server has ended.
    Ended(server::Instance),
    /// A session with the leader has begun.
    Connected,
    /// A message of a control replica.
    Control(session::FromControl),
    /// A grant has got its answer, or none is waited for.
    Settled {
        /// The keys.
        range: slice::Range,
        /// Number of the grant.
        fence: slice::Fence,
        /// Time until which it could hold, if it got no answer.
        unanswered_until: Option<clock::Instant>,
    },
    /// The backend server has confirmed a grant.
    Granted {
        /// The keys.
        range: slice::Range,
        /// Number of the grant.
        fence: slice::Fence,
        /// Time until which they are held.
        until: clock::Instant,
    },
    /// The backend server has seen a later grant.
    Refused {
        /// The keys.
        range: slice::Range,
        /// Number of the grant.
        fence: slice::Fence,
    },
    /// The backend server has released keys.
    Released {
        /// The keys.
        range: slice::Range,
        /// Number of the grant.
        fence: slice::Fence,
        /// What it handed over.
        handover: Option<String>,
    },
    /// Load that requests have caused.
    Used {
        /// Load by keys.
        parts: Vec<usage::Part>,
        /// Mean time that a request runs, in seconds.
        service_s: f64,
        /// Share of requests that fail, from 0 to 1.
        failing: f64,
    },
}

/// The view, and its index as a signal of change.
#[derive(Clone, Debug)]
pub struct Shared {
    /// The view.
    pub view: sync::Arc<ArcSwap<view::View>>,
    /// Counts the views.
    pub changes: watch::Receiver<u64>,
}

/// The control thread's state.
#[derive(Debug)]
pub struct Coordinator {
    state: state::State,
    view: sync::Arc<ArcSwap<view::View>>,
    changes: watch::Sender<u64>,
    commands: mpsc::Sender<Command>,
    replies: Vec<(oneshot::Sender<bool>, bool)>,
    probed: clock::Instant,
}

/// What the traffic thread has to do for the control thread.
#[derive(Clone, Debug)]
pub enum Command {
    /// Carries out an effect.
    Effect(state::Effect),
    /// Connects to another control replica.
    Redirect(Option<std::net::SocketAddr>),
    /// Remembers the addresses of the control replicas.
    Replicas(Vec<std::net::SocketAddr>),
    /// Finds out whether the backend server at this address has ended.
    Probe(server::Announcement),
}

impl Coordinator {
    /// Makes a coordinator.
    pub fn new(config: state::Config, commands: mpsc::Sender<Command>) -> (Self, Shared) {
        let view = sync::Arc::new(ArcSwap::from_pointee(view::View::default()));
        let (changes, changed) = watch::channel(0);
        let shared = Shared {
            view: sync::Arc::clone(&view),
            changes: changed,
        };
        let coordinator = Self {
            state: state::State::new(config),
            view,
            changes,
            commands,
            replies: Vec::new(),
            probed: clock::Instant::default(),
        };
        (coordinator, shared)
    }

    /// Runs until the event queue closes; `stop` only changes the view.
    ///
    /// # Errors
    ///
    /// Never fails.
    pub async fn run(
        mut self,
        mut inbox: mpsc::Receiver<Event>,
        stop: Stop,
    ) -> supervisor::Outcome {
        let mut is_stopping = false;
        loop {
            let now = clock::Instant::now();
            let pause = now.saturating_until(self.state.next_deadline(now));
            tokio::select! {
                event = inbox.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return Ok(()),
                },
                () = time::sleep(pause) => {}
                () = stop.cancelled(), if !is_stopping => {
                    is_stopping = true;
                    tracing::info!("stopping");
                    self.state.stopping(clock::Instant::now());
                }
            }
            while let Ok(event) = inbox.try_recv() {
                self.handle(event);
            }
            let now = clock::Instant::now();
            self.state.tick(now);
            let rests = now.saturating_since(self.probed) < SILENCE / 2;
            if let Some(silent) = self.state.silent(now, SILENCE).filter(|_| !rests) {
                self.probed = now;
                let probe = Command::Probe(silent.clone());
                self.command(probe);
            }
            self.publish();
            for effect in self.state.take_effects() {
                self.command(Command::Effect(effect));
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let now = clock::Instant::now();
        match event {
            Event::Announced {
                announcement,
                sequence,
                reply,
            } => {
                let counts = self.state.announced(now, announcement, sequence);
                self.replies.push((reply, counts));
            }
            Event::Leaving { name, reply } => {
                let counts = self.state.leaving(now, &name);
                tracing::info!(instance = name, counts, "the backend server leaves");
                self.replies.push((reply, counts));
            }
            Event::Ended(instance) => self.state.ended(now, &instance),
            Event::Connected => self.state.connected(now),
            Event::Control(message) => self.control(now, message),
            Event::Granted {
                range,
                fence,
                until,
            } => self.state.granted(range, fence, until),
            Event::Settled {
                range,
                fence,
                unanswered_until,
            } => self.state.settled(now, range, fence, unanswered_until),
            Event::Refused { range, fence } => self.state.refused(range, fence),
            Event::Released {
                range,
                fence,
                handover,
            } => self.state.released(now, range, fence, handover),
            Event::Used {
                parts,
                service_s,
                failing,
            } => self.state.used(parts, service_s, failing),
        }
    }

    fn control(&mut self, now: clock::Instant, message: session::FromControl) {
        match message {
            session::FromControl::Redirect(leader) => self.command(Command::Redirect(leader)),
            session::FromControl::Replicas(replicas) => {
                self.command(Command::Replicas(replicas));
            }
            session::FromControl::State(state) => self.state.learned(now, state),
            session::FromControl::Renewed { sequence, server } => {
                self.state.renewed(now, sequence, server);
            }
            session::FromControl::Release {
                service,
                range,
                fence,
            } => {
                tracing::info!(
                    service,
                    first = range.first,
                    last = range.last,
                    fence = fence.0,
                    "releasing keys"
                );
                self.state.release(now, &service, range, fence);
            }
        }
    }

    /// Publishes the view, and only then answers what the view now shows.
    fn publish(&mut self) {
        if let Some(view) = self.state.take_view() {
            self.view.store(sync::Arc::new(view));
            self.changes.send_modify(|count| *count += 1);
        }
        for (reply, counts) in self.replies.drain(..) {
            if reply.send(counts).is_err() {
                tracing::debug!("a backend server has disconnected before the answer");
            }
        }
    }

    fn command(&self, command: Command) {
        // Everything that a command asks for is asked for again later.
        if self.commands.try_send(command).is_err() {
            tracing::warn!("the traffic thread takes no command");
        }
    }
}
