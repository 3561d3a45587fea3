//! The control thread: owns the state and publishes the view.
//!
//! The coordinator has no child tasks. It ends only with the process, so nothing restarts it.

pub mod state;

use std::net;
use std::sync;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwap;
use sequoiayoke_catalog::{server, slice};
use sequoiayoke_dispatch::usage;
use sequoiayoke_link::session;
use sequoiayoke_model::clock;
use sequoiayoke_supervise::{Stop, supervisor};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time;

use crate::{holdings, view};

/// Capacity of the queues of events and commands.
pub const QUEUE_CAPACITY: usize = 1_024;
/// Time without an announcement after which the backend server is probed.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_millis(2_600);
/// Largest difference between the clocks of this VM and of a backend server. An instance that claims
/// to have started later would make all later instances at its address count as outdated.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(3_600);
/// Longest time for which the reply to a backend server that collects its grants waits for keys to
/// assign. Keys that change while it waits are delivered at once, instead of with the next
/// announcement; the reply must arrive within a second.
const COLLECT_WAIT: Duration = Duration::from_millis(400);

/// An event for the coordinator.
#[derive(Debug)]
pub enum Event {
    /// The backend server has announced itself.
    Announced {
        /// The announcement.
        announcement: server::Announcement,
        /// Sequence number of the announcement.
        sequence: u64,
        /// Keys that it reports, if it collects its grants with its announcements.
        report: Option<holdings::Report>,
        /// Receives the reply, once the view shows the announcement.
        reply: oneshot::Sender<Reply>,
    },
    /// The backend server is leaving.
    Leaving {
        /// Name of the instance.
        name: String,
        /// Start time of the instance, in milliseconds since the Unix epoch, if it is stated.
        born_ms: Option<u64>,
        /// Receives the reply, once the view shows it.
        reply: oneshot::Sender<Reply>,
    },
    /// The backend server was asked which instance it is.
    Identified {
        /// The instance that the leader knows.
        known: server::Announcement,
        /// Whether it is this instance, and in use; `None` if it gave no answer.
        is_in_use: Option<bool>,
    },
    /// An instance of the backend server has ended.
    Ended(server::Instance),
    /// A connection to a control replica was opened.
    Connected,
    /// A message from a control replica.
    Control(session::FromControl),
    /// A grant was answered, or the node no longer waits for an answer.
    GrantCompleted {
        /// The keys.
        range: slice::Range,
        /// Fence of the grant.
        fence: slice::Fence,
        /// Time until which the grant may still take effect, if it was not answered.
        unanswered_until: Option<clock::Instant>,
    },
    /// The backend server has confirmed a grant.
    GrantConfirmed {
        /// The keys.
        range: slice::Range,
        /// Fence of the grant.
        fence: slice::Fence,
        /// Time until which they are held.
        until: clock::Instant,
    },
    /// The backend server has refused a grant because it has seen a later one.
    GrantRefused {
        /// The keys.
        range: slice::Range,
        /// Fence of the grant.
        fence: slice::Fence,
    },
    /// The backend server has released keys.
    KeysReleased {
        /// The keys.
        range: slice::Range,
        /// Fence of the grant.
        fence: slice::Fence,
        /// State that it handed over.
        handover: Option<String>,
    },
    /// Load that requests have caused.
    UsageReported {
        /// Load by range of keys.
        parts: Vec<usage::Part>,
        /// Mean run time of a request, in seconds.
        service_s: f64,
        /// Fraction of requests that fail, from 0 to 1.
        failure_rate: f64,
    },
}

/// Reply to a message of the backend server.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    /// Whether the message was accepted.
    pub is_accepted: bool,
    /// All keys that a backend server which collects its grants is to hold, if the node can tell.
    pub assignment: Option<holdings::Assignment>,
}

/// An announcement whose reply may wait for keys to assign.
#[derive(Debug)]
struct Collector {
    reply: oneshot::Sender<Reply>,
    arrived: clock::Instant,
}

/// The published view and the signal that it has changed.
#[derive(Clone, Debug)]
pub struct Shared {
    /// The view.
    pub view: sync::Arc<ArcSwap<view::View>>,
    /// Number of views published so far.
    pub changes: watch::Receiver<u64>,
}

/// The coordinator, which runs on the control thread.
#[derive(Debug)]
pub struct Coordinator {
    state: state::State,
    view: sync::Arc<ArcSwap<view::View>>,
    changes: watch::Sender<u64>,
    commands: mpsc::Sender<Command>,
    replies: Vec<(oneshot::Sender<Reply>, Reply)>,
    collector: Option<Collector>,
    last_probe: clock::Instant,
    /// The replica to connect to next, if the session must end; `None` within if it is not known.
    redirect: Option<Option<net::SocketAddr>>,
}

/// A command from the control thread to the traffic thread.
#[derive(Clone, Debug)]
pub enum Command {
    /// Carries out an effect.
    Effect(state::Effect),
    /// Connects to another control replica, the leader if it is known.
    Redirect(Option<net::SocketAddr>),
    /// Stores the addresses of the control replicas.
    Replicas(Vec<std::net::SocketAddr>),
    /// Checks whether the backend server has ended.
    Probe(server::Announcement),
}

impl Coordinator {
    /// Creates a coordinator and the handle that shares its view.
    pub fn new(config: state::Config, commands: mpsc::Sender<Command>) -> (Self, Shared) {
        let view = sync::Arc::new(ArcSwap::from_pointee(view::View::default()));
        let (changes, changes_receiver) = watch::channel(0);
        let shared = Shared {
            view: sync::Arc::clone(&view),
            changes: changes_receiver,
        };
        let coordinator = Self {
            state: state::State::new(config),
            view,
            changes,
            commands,
            replies: Vec::new(),
            collector: None,
            last_probe: clock::Instant::default(),
            redirect: None,
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
            let collector = self.collector.as_ref();
            let overdue = collector.map(|collector| collector.arrived + COLLECT_WAIT);
            let deadline = self.state.next_deadline(now);
            let delay = now.saturating_until(overdue.map_or(deadline, |at| at.min(deadline)));
            tokio::select! {
                event = inbox.recv() => match event {
                    Some(event) => self.handle(event),
                    None => return Ok(()),
                },
                () = time::sleep(delay) => {}
                () = stop.cancelled(), if !is_stopping => {
                    is_stopping = true;
                    tracing::info!("stopping");
                    self.state.record_stopping(clock::Instant::now());
                }
            }
            while let Ok(event) = inbox.try_recv() {
                self.handle(event);
            }
            let now = clock::Instant::now();
            self.state.tick(now);
            let is_in_cooldown = now.saturating_since(self.last_probe) < ANNOUNCEMENT_TIMEOUT / 2;
            if let Some(announcement) = self
                .state
                .unresponsive(now, ANNOUNCEMENT_TIMEOUT)
                .filter(|_| !is_in_cooldown)
            {
                self.last_probe = now;
                let probe = Command::Probe(announcement.clone());
                self.send_command(probe);
            }
            self.reply_to_collector(now);
            self.publish();
            for effect in self.state.take_effects() {
                self.send_effect(now, effect);
            }
            if let Some(leader) = self.redirect
                && self.send_command(Command::Redirect(leader))
            {
                self.redirect = None;
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let now = clock::Instant::now();
        match event {
            Event::Announced {
                announcement,
                sequence,
                report,
                reply,
            } => self.handle_announced(now, announcement, sequence, report, reply),
            Event::Leaving {
                name,
                born_ms,
                reply,
            } => {
                let is_accepted = self.state.record_leaving(now, &name, born_ms, unix_ms());
                tracing::info!(
                    instance = name,
                    counts = is_accepted,
                    "the backend server is leaving"
                );
                self.push_reply(reply, is_accepted, None);
            }
            Event::Identified { known, is_in_use } => {
                self.state.record_identified(now, known, is_in_use);
            }
            Event::Ended(instance) => self.state.record_ended(now, &instance),
            Event::Connected => self.state.record_connected(now),
            Event::Control(message) => self.handle_control(now, message),
            Event::GrantConfirmed {
                range,
                fence,
                until,
            } => self.state.record_grant_confirmed(range, fence, until),
            Event::GrantCompleted {
                range,
                fence,
                unanswered_until,
            } => self
                .state
                .record_grant_completed(now, range, fence, unanswered_until),
            Event::GrantRefused { range, fence } => self.state.record_grant_refused(range, fence),
            Event::KeysReleased {
                range,
                fence,
                handover,
            } => self.state.record_keys_released(range, fence, handover),
            Event::UsageReported {
                parts,
                service_s,
                failure_rate,
            } => self.state.record_usage(parts, service_s, failure_rate),
        }
    }

    fn handle_announced(
        &mut self,
        now: clock::Instant,
        announcement: server::Announcement,
        sequence: u64,
        report: Option<holdings::Report>,
        reply: oneshot::Sender<Reply>,
    ) {
        let instance = announcement.instance.clone();
        let latest_born_ms = unix_ms() + MAX_CLOCK_SKEW.as_millis() as u64;
        let is_plausible = instance.born_ms <= latest_born_ms;
        if !is_plausible {
            let (instance, born_ms) = (&instance.name, instance.born_ms);
            tracing::warn!(
                instance,
                born_ms,
                "ignoring an announcement from the future"
            );
        }
        let is_accepted =
            is_plausible && self.state.record_announcement(now, announcement, sequence);
        let may_assign = report
            .filter(|_| is_accepted)
            .is_some_and(|report| self.state.record_report(now, &instance, sequence, &report));
        if !may_assign {
            self.push_reply(reply, is_accepted, None);
            return;
        }
        let arrived = now;
        if let Some(previous) = self.collector.replace(Collector { reply, arrived }) {
            self.push_reply(previous.reply, true, None);
        }
    }

    fn push_reply(
        &mut self,
        reply: oneshot::Sender<Reply>,
        is_accepted: bool,
        assignment: Option<holdings::Assignment>,
    ) {
        self.replies.push((
            reply,
            Reply {
                is_accepted,
                assignment,
            },
        ));
    }

    /// Replies to the backend server that collects its grants, once its keys change or it has waited
    /// for long enough.
    fn reply_to_collector(&mut self, now: clock::Instant) {
        let Some(collector) = self.collector.take() else {
            return;
        };
        let is_overdue = now >= collector.arrived + COLLECT_WAIT;
        let assignment = match is_overdue || self.state.is_assignment_due() {
            true => self.state.assign(now, collector.arrived),
            false => None,
        };
        match assignment.is_some() || is_overdue {
            true => self.push_reply(collector.reply, true, assignment),
            false => self.collector = Some(collector),
        }
    }

    fn handle_control(&mut self, now: clock::Instant, message: session::FromControl) {
        match message {
            session::FromControl::Redirect(leader) => self.redirect = Some(leader),
            session::FromControl::Replicas(replicas) => {
                self.send_command(Command::Replicas(replicas));
            }
            session::FromControl::State(state) => self.state.apply_state(now, state),
            session::FromControl::Changes(changes) => {
                let since = changes.since;
                if !self.state.apply_changes(now, changes) {
                    tracing::error!(since, "changes of an unknown state; reconnecting");
                    self.redirect = Some(None);
                }
            }
            session::FromControl::Renewed { sequence, server } => {
                self.state.record_renewed(now, sequence, server);
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
                self.state.begin_release(now, &service, range, fence);
            }
        }
    }

    /// Publishes the view, then sends the replies that depend on it.
    fn publish(&mut self) {
        if let Some(view) = self.state.take_view() {
            self.view.store(sync::Arc::new(view));
            self.changes.send_modify(|count| *count += 1);
        }
        for (sender, reply) in self.replies.drain(..) {
            if sender.send(reply).is_err() {
                tracing::debug!("a backend server has disconnected before the answer");
            }
        }
    }

    fn send_effect(&mut self, now: clock::Instant, effect: state::Effect) {
        let grant = match &effect {
            state::Effect::Grant { range, fence, .. } => Some((*range, *fence)),
            _ => None,
        };
        if !self.send_command(Command::Effect(effect))
            && let Some((range, fence)) = grant
        {
            // The grant was not sent. It would count as in flight, and its keys would be granted
            // and released no more.
            self.state.record_grant_completed(now, range, fence, None);
        }
    }

    /// Queues a command for the traffic thread; returns whether there was room. Apart from grants,
    /// the state issues a command again later.
    fn send_command(&self, command: Command) -> bool {
        let is_queued = self.commands.try_send(command).is_ok();
        if !is_queued {
            tracing::warn!("a command for the traffic thread was dropped");
        }
        is_queued
    }
}

/// Returns the time of day in milliseconds since the Unix epoch, as backend servers state the time
/// of their start.
pub(crate) fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
