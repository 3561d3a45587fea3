//! The control thread: the replicated log, its state machine and the leader's decisions.
//!
//! Its children are values, not tasks: [`directory`], the log's driver and, while this replica is
//! the leader, [`leader`]. A replica that cannot write its log must not continue, so the
//! coordinator returns an error and the process restarts from its disk.

pub mod directory;
pub mod leader;
pub mod members;
mod orders;
pub mod pending;
mod stopping;

use std::collections;
use std::net;
use std::sync;
use std::time::Duration;

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use sequoiayoke_catalog::machine;
use sequoiayoke_consensus::{config, event as log, stored};
use sequoiayoke_link::{codec, session};
use sequoiayoke_model::{clock, id};
use sequoiayoke_replication::driver;
use sequoiayoke_storage::{folder, medium};
use sequoiayoke_supervise::{Stop, supervisor};
use sequoiayoke_wire::replica as message;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time;

use crate::measure;
use crate::operator;
use crate::root;

/// Maximum number of events or outgoing frames that are queued between the two threads.
pub const QUEUE_CAPACITY: usize = 4_096;
/// Minimum election timeout. Replicas run on a fraction of a core, so heartbeats may be late.
pub const ELECTION_MIN: Duration = Duration::from_millis(600);
/// Maximum election timeout.
pub const ELECTION_MAX: Duration = Duration::from_millis(1_000);
/// Interval between heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);
/// Interval between two introductions of a replica that knows no leader.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time that the control thread waits for an event.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Maximum number of events that share one sync of the log.
const MAX_BATCH: usize = 256;

type Disk = folder::Folder<medium::Disk>;
type Driver = driver::Driver<Disk, machine::Machine>;
type Failure = Report<supervisor::Error>;

/// An event for the coordinator.
#[derive(Debug)]
pub enum Event {
    /// A replica has introduced itself.
    ReplicaHello(message::Hello),
    /// A message of the replicated log.
    ReplicaLog(id::Replica, message::Log),
    /// A node has connected. Encoded frames for it go to the queue; the session goes to the reply.
    NodeUp(mpsc::Sender<Bytes>, oneshot::Sender<leader::Session>),
    /// A message from a node.
    NodeFrame(leader::Session, session::FromNode),
    /// The connection of a node has closed.
    NodeDown(leader::Session),
    /// A call from an operator.
    Operator(operator::Call, oneshot::Sender<operator::Answer>),
}

/// A frame for another replica.
pub type Outgoing = (net::SocketAddr, message::Frame);

/// State that the control thread publishes to the traffic thread.
#[derive(Clone, Debug, Default)]
pub struct Published {
    /// Message with which this replica introduces itself to others.
    pub hello: message::Hello,
    /// Operator addresses of the replicas to stay connected to.
    pub replicas: Vec<net::SocketAddr>,
}

/// Destinations of the control thread's results.
#[derive(Debug)]
pub struct Outputs {
    /// Frames for other replicas.
    pub frames: mpsc::Sender<Outgoing>,
    /// State for the traffic thread.
    pub published: watch::Sender<Published>,
    /// Metrics.
    pub(crate) measure: sync::Arc<measure::Measure>,
}

/// Signals between the root supervisor and the two threads.
#[derive(Clone, Debug, Default)]
pub struct Signals {
    /// Asks the replica to stop.
    pub stop: Stop,
    /// The replica has given up its leadership, or the control thread has ended.
    pub resigned: Stop,
    /// The traffic thread has closed its connections and ended.
    pub closed: Stop,
}

/// State of the control thread.
#[derive(Debug)]
pub struct Coordinator {
    region: String,
    /// Failure domains that the settings list.
    domains: Vec<String>,
    tolerance: members::Tolerance,
    lease: Duration,
    session_port: u16,
    /// Replicas that the settings list, in their latest version.
    seeds: watch::Receiver<Vec<net::SocketAddr>>,
    /// Address for operators, which also identifies this replica.
    own_address: net::SocketAddr,
    directory: directory::Directory,
    driver: Driver,
    leader: Option<leader::Leader>,
    node_queues: slotmap::SecondaryMap<leader::Session, mpsc::Sender<Bytes>>,
    pending_orders: pending::Queue<oneshot::Sender<operator::Answer>>,
    contacts: members::Contacts,
    members_check_at: clock::Instant,
    announced_at: clock::Instant,
    stage: stopping::Stage,
    outputs: Outputs,
}

fn log_failure<E>(error: E) -> Failure
where
    E: std::error::Error + Send + Sync + 'static,
{
    Report::new(error).change_context(supervisor::Error::Child("log"))
}

impl Coordinator {
    /// Creates a coordinator from the durable state.
    ///
    /// # Errors
    ///
    /// Fails if the snapshot cannot be decoded.
    pub fn new(
        settings: &root::Settings,
        seeds: watch::Receiver<Vec<net::SocketAddr>>,
        log: config::Config,
        disk: Disk,
        stored: stored::Stored<Bytes>,
        directory: directory::Directory,
        outputs: Outputs,
    ) -> Result<Self, Failure> {
        let now = clock::Instant::now();
        let driver =
            Driver::new(disk, log, stored, now).change_context(supervisor::Error::Child("log"))?;
        Ok(Self {
            region: settings.region.clone(),
            domains: settings.domains.clone(),
            tolerance: settings.tolerance,
            lease: settings.lease,
            session_port: settings.session_port,
            seeds,
            own_address: settings.operator,
            directory,
            driver,
            leader: None,
            node_queues: slotmap::SecondaryMap::new(),
            pending_orders: pending::Queue::new(),
            contacts: members::Contacts::new(now),
            members_check_at: now,
            announced_at: now,
            stage: stopping::Stage::Running,
            outputs,
        })
    }

    /// Runs until the traffic thread has ended.
    ///
    /// Once `signals.stop` is cancelled, a leader transfers its leadership; then
    /// `signals.resigned` is cancelled.
    ///
    /// # Errors
    ///
    /// Fails if the log cannot be written.
    pub async fn run(
        mut self,
        mut inbox: mpsc::Receiver<Event>,
        signals: Signals,
    ) -> supervisor::Outcome {
        self.announce();
        loop {
            let timeout = clock::Instant::now().saturating_until(self.next_deadline());
            let is_running = self.stage == stopping::Stage::Running;
            tokio::select! {
                Some(event) = inbox.recv() => self.handle(event)?,
                Ok(()) = self.seeds.changed() => self.apply_seeds(),
                () = time::sleep(timeout) => {}
                () = signals.stop.cancelled(), if is_running => self.stop(),
                () = signals.closed.cancelled() => return Ok(()),
            }
            let mut events = 1;
            while events < MAX_BATCH
                && let Ok(event) = inbox.try_recv()
            {
                self.handle(event)?;
                events += 1;
            }
            self.advance()?;
            if self.stage == stopping::Stage::Resigned {
                signals.resigned.cancel();
            }
        }
    }

    fn next_deadline(&self) -> clock::Instant {
        let log = self
            .has_timers()
            .then(|| self.driver.replica().next_deadline());
        let leader = self.leader.as_ref().map(leader::Leader::next_deadline);
        let order = self.pending_orders.next_deadline();
        let stop = self.stage.deadline();
        let deadlines = [log, leader, order, stop].into_iter().flatten();
        let latest = clock::Instant::now() + MAX_WAIT;
        deadlines.fold(latest, clock::Instant::min)
    }

    fn handle(&mut self, event: Event) -> supervisor::Outcome {
        let now = clock::Instant::now();
        match event {
            Event::ReplicaHello(hello) => {
                let id = id::Replica(hello.id);
                self.contacts.introduce(id, hello.is_stopping, now);
                if hello.is_stopping {
                    self.members_check_at = now;
                }
                if self.directory.apply_hello(&hello) {
                    tracing::info!(
                        replica = hello.id,
                        address = hello.name,
                        "discovered a replica"
                    );
                    self.directory.store().map_err(log_failure)?;
                    self.announce();
                }
            }
            Event::ReplicaLog(from, message) => {
                self.contacts.hear(from, now);
                match message::decode(message) {
                    Ok(message) => self
                        .driver
                        .step(now, log::Event::Received { from, message }),
                    Err(error) => {
                        tracing::error!(%from, %error, "a replica sent a malformed message")
                    }
                }
            }
            Event::NodeUp(queue, reply) => self.node_up(queue, reply),
            Event::NodeFrame(session, session::FromNode::Renew(renewal)) => {
                // A leader that was suspended must not renew a lease from its outdated state.
                if self.driver.replica().is_authoritative(now)
                    && let Some(leader) = &mut self.leader
                {
                    self.outputs.measure.record_renewal();
                    leader.renew(now, self.driver.machine(), session, renewal);
                }
            }
            Event::NodeDown(session) => {
                self.node_queues.remove(session);
                if let Some(leader) = &mut self.leader {
                    leader.node_down(session);
                }
            }
            Event::Operator(call, reply) => self.handle_operator(now, call, reply),
        }
        Ok(())
    }

    fn apply_seeds(&mut self) {
        let seeds = self.seeds.borrow_and_update().clone();
        tracing::info!(?seeds, "changed settings are in force");
        self.announce();
    }

    /// Publishes this replica's introduction and the replicas to connect to.
    fn announce(&self) {
        let members = self.driver.replica().members();
        let mut replicas: collections::BTreeSet<_> = self.seeds.borrow().iter().copied().collect();
        replicas.extend(members.all().filter_map(|id| self.directory.address(id)));
        replicas.extend(self.directory.current().keys());
        replicas.extend(self.directory.listed());
        replicas.remove(&self.own_address);
        let mut hello = self.directory.to_hello(&self.region, members.all());
        hello.is_stopping = self.stage == stopping::Stage::Resigned;
        self.outputs.published.send_replace(Published {
            hello,
            replicas: replicas.into_iter().collect(),
        });
    }

    /// Announces this replica again while it knows no leader.
    ///
    /// A replica that is no member sends nothing else, so a leader that is elected later, or that
    /// could not add it at once, would take it for one that is gone.
    fn repeat_announcement(&mut self, now: clock::Instant) {
        let is_due = now.saturating_since(self.announced_at) >= ANNOUNCE_INTERVAL;
        if is_due && self.driver.replica().role().leader.is_none() {
            self.announced_at = now;
            self.announce();
        }
    }

    fn node_up(&mut self, queue: mpsc::Sender<Bytes>, reply: oneshot::Sender<leader::Session>) {
        let replicas = self.session_addresses();
        send(&queue, &session::FromControl::Replicas(replicas));
        let session = self.leader.as_mut().and_then(leader::Leader::node_up);
        let Some(session) = session else {
            let address = self.to_session_address(self.leader_address());
            send(&queue, &session::FromControl::Redirect(address));
            return;
        };
        self.node_queues.insert(session, queue);
        if reply.send(session).is_err() {
            tracing::debug!("a node disconnected before its session started");
        }
    }

    fn session_addresses(&self) -> Vec<net::SocketAddr> {
        let members = self.driver.replica().members().all();
        members
            .filter_map(|id| self.directory.address(id))
            .map(|address| net::SocketAddr::new(address.ip(), self.session_port))
            .collect()
    }

    /// Returns the address for nodes of the replica with this address for operators.
    fn to_session_address(&self, operator: Option<net::SocketAddr>) -> Option<net::SocketAddr> {
        operator.map(|address| net::SocketAddr::new(address.ip(), self.session_port))
    }

    /// Returns the address of the leader, if it is known and not this replica.
    fn other_leader_address(&self) -> Option<net::SocketAddr> {
        let address = self.leader_address()?;
        (address != self.own_address).then_some(address)
    }

    fn leader_address(&self) -> Option<net::SocketAddr> {
        let leader = self.driver.replica().role().leader?;
        self.directory.address(leader)
    }

    /// Advances the timers, then persists, sends and applies what the log and the leader have
    /// produced.
    fn advance(&mut self) -> supervisor::Outcome {
        let now = clock::Instant::now();
        if self.has_timers() {
            self.driver.step(now, log::Event::Tick);
        }
        self.transfer_leadership(now);
        self.flush(now)?;
        self.check_leadership(now);
        self.repeat_announcement(now);
        if self.stage == stopping::Stage::Running {
            self.make_decisions(now)?;
        }
        self.send_effects();
        for order in self.pending_orders.take_expired(now) {
            // The order may still be committed, so its outcome is unknown; the operator retries it.
            tracing::warn!(position = %order.position, "an order is not committed in time");
            send_answer(order.reply, operator::Answer::Unavailable);
        }
        self.check_resignation(now);
        Ok(())
    }

    /// Proposes what the leader has decided, and changes the members of the group.
    fn make_decisions(&mut self, now: clock::Instant) -> supervisor::Outcome {
        if let Some(leader) = &mut self.leader {
            leader.tick(now, self.driver.machine());
            for command in leader.take_proposals() {
                if self.driver.propose(now, &command).is_none() {
                    tracing::warn!("the log did not accept a command");
                }
            }
        }
        self.flush(now)?;
        self.check_members(now)
    }

    fn flush(&mut self, now: clock::Instant) -> supervisor::Outcome {
        let outcome = self
            .driver
            .flush(now)
            .change_context(supervisor::Error::Child("log"))?;
        for (to, message) in outcome.messages {
            let Some(address) = self.directory.address(to) else {
                tracing::debug!(%to, "dropping a message to a replica; its address is unknown");
                continue;
            };
            // The log tolerates lost messages, so a message is dropped if the queue is full.
            if self
                .outputs
                .frames
                .try_send((address, message::encode(message)))
                .is_err()
            {
                tracing::debug!(%to, "dropping a message to a replica; the queue is full");
            }
        }
        self.outputs.measure.record_commands(outcome.applied.len());
        for applied in &outcome.applied {
            orders::log_applied(applied);
            if let Some(leader) = &mut self.leader {
                let machine = self.driver.machine();
                leader.applied(now, machine, &applied.command, &applied.result);
            }
            self.answer_order(applied.position, &applied.result);
        }
        Ok(())
    }

    fn check_leadership(&mut self, now: clock::Instant) {
        let role = self.driver.replica().role();
        let is_leader = self.driver.replica().is_authoritative(now);
        let is_running = self.stage == stopping::Stage::Running;
        match (is_leader, self.leader.is_some()) {
            (true, false) if is_running => {
                tracing::info!(term = %role.term, "this replica leads");
                let leader = leader::Leader::new(self.lease, self.driver.machine(), now);
                self.leader = Some(leader);
                self.contacts.lead(now);
            }
            (false, true) => {
                tracing::warn!(term = %role.term, "this replica no longer leads");
                self.leader = None;
                if is_running {
                    self.close_sessions();
                }
                self.give_up_orders();
            }
            _ => {}
        }
    }

    /// Sends the leader's messages to the nodes, encoding each message once.
    fn send_effects(&mut self) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let machine = self.driver.machine();
        let mut state = None;
        for effect in leader.take_effects(machine) {
            let (sessions, bytes) = match effect {
                leader::Effect::Send(session, message) => {
                    let is_move = matches!(message, session::FromControl::Release { .. });
                    self.outputs.measure.record_moves(usize::from(is_move));
                    (vec![session], encode(&message))
                }
                leader::Effect::Broadcast(sessions, message) => (sessions, encode(&message)),
                leader::Effect::State(session) => {
                    let bytes = state.get_or_insert_with(|| encode(&state_message(machine)));
                    (vec![session], bytes.clone())
                }
            };
            let Some(bytes) = bytes else {
                continue;
            };
            for session in sessions {
                let Some(queue) = self.node_queues.get(session) else {
                    continue;
                };
                // A node that reads too slowly reconnects and receives the whole state.
                if queue.try_send(bytes.clone()).is_err() {
                    tracing::warn!("the queue to a node is full or closed; ending its session");
                    self.node_queues.remove(session);
                    leader.node_down(session);
                }
            }
        }
    }
}

fn state_message(machine: &machine::Machine) -> session::FromControl {
    session::FromControl::State(session::State {
        index: machine.index(),
        config: machine.order().map(|order| order.config.clone()),
        servers: machine.servers().values().cloned().collect(),
        tables: machine.tables().clone(),
        evacuated: machine.evacuated().clone(),
    })
}

fn encode(message: &session::FromControl) -> Option<Bytes> {
    codec::encode(message)
        .inspect_err(|error| tracing::error!(%error, "a message to a node cannot be encoded"))
        .ok()
}

fn send(queue: &mpsc::Sender<Bytes>, message: &session::FromControl) {
    if let Some(bytes) = encode(message)
        && queue.try_send(bytes).is_err()
    {
        tracing::debug!("dropping a message to a node; its queue is full or closed");
    }
}

fn send_answer(reply: oneshot::Sender<operator::Answer>, answer: operator::Answer) {
    if reply.send(answer).is_err() {
        tracing::debug!("an operator disconnected before the answer");
    }
}
