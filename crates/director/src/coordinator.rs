//! The control thread: the replicated log, its state and the leader's work.
//!
//! Children are values, not tasks: [`directory`], the log's driver and, while
//! this replica leads, [`leader`]. A replica that cannot write its log must not
//! go on, so the coordinator ends with an error and the process starts again
//! from its disk.

pub mod directory;
pub mod leader;
mod members;
mod orders;

use std::collections;
use std::net;
use std::sync;
use std::time::Duration;

use bytes::Bytes;
use error_stack::{Report, ResultExt};
use sequoiayoke_catalog::machine;
use sequoiayoke_consensus::{config, event as log, position, stored};
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

/// Events that may wait for the coordinator.
pub const QUEUE: usize = 4_096;
/// Shortest time without a leader before an election. Replicas have a small part
/// of a core, so heartbeats may come late.
pub const ELECTION_MIN: Duration = Duration::from_millis(600);
/// Longest time without a leader before an election.
pub const ELECTION_MAX: Duration = Duration::from_millis(1_000);
/// Time between two heartbeats.
pub const HEARTBEAT: Duration = Duration::from_millis(150);
/// Events that share one sync of the log.
const BATCH: usize = 256;
/// Longest time that an operator's order waits for the log.
const ORDER_TIMEOUT: Duration = Duration::from_millis(900);

type Disk = folder::Folder<medium::Disk>;
type Driver = driver::Driver<Disk, machine::Machine>;
type Failed = Report<supervisor::Error>;

/// An event for the coordinator.
#[derive(Debug)]
pub enum Event {
    /// A replica said who it is.
    ReplicaHello(message::Hello),
    /// A message of the replicated log.
    ReplicaLog(id::Replica, message::Log),
    /// A node has connected; encoded frames for it go to the queue.
    NodeUp(mpsc::Sender<Bytes>, oneshot::Sender<leader::Session>),
    /// A message of a node.
    NodeFrame(leader::Session, session::FromNode),
    /// The connection of a node has ended.
    NodeDown(leader::Session),
    /// The settings name these replicas now.
    Seeds(Vec<net::SocketAddr>),
    /// An operator asks.
    Operator(operator::Call, oneshot::Sender<operator::Answer>),
}

/// A frame for another replica.
pub type Outgoing = (net::SocketAddr, message::Frame);

/// What the traffic thread reads.
#[derive(Clone, Debug, Default)]
pub struct Published {
    /// What this replica says about itself.
    pub hello: message::Hello,
    /// Addresses for operators of the replicas to keep a connection to.
    pub replicas: Vec<net::SocketAddr>,
}

/// Where the control thread's results go.
#[derive(Debug)]
pub struct Outputs {
    /// Frames for other replicas.
    pub frames: mpsc::Sender<Outgoing>,
    /// What the traffic thread reads.
    pub published: watch::Sender<Published>,
    /// Metrics.
    pub(crate) measure: sync::Arc<measure::Measure>,
}

#[derive(Debug)]
struct Order {
    position: position::Position,
    since: clock::Instant,
    reply: oneshot::Sender<operator::Answer>,
}

/// The control thread's state.
#[derive(Debug)]
pub struct Coordinator {
    region: String,
    lease: Duration,
    session_port: u16,
    seeds: Vec<net::SocketAddr>,
    operator: net::SocketAddr,
    directory: directory::Directory,
    driver: Driver,
    leader: Option<leader::Leader>,
    queues: slotmap::SecondaryMap<leader::Session, mpsc::Sender<Bytes>>,
    orders: Vec<Order>,
    heard: collections::BTreeMap<id::Replica, clock::Instant>,
    members_checked: clock::Instant,
    outputs: Outputs,
}

fn failed<E>(error: E) -> Failed
where
    E: std::error::Error + Send + Sync + 'static,
{
    Report::new(error).change_context(supervisor::Error::Child("log"))
}

impl Coordinator {
    /// Makes a coordinator from the durable state.
    ///
    /// # Errors
    ///
    /// Fails if the snapshot cannot be decoded.
    pub fn new(
        settings: &root::Settings,
        log: config::Config,
        disk: Disk,
        stored: stored::Stored<Bytes>,
        directory: directory::Directory,
        outputs: Outputs,
    ) -> Result<Self, Failed> {
        let now = clock::Instant::now();
        let driver =
            Driver::new(disk, log, stored, now).change_context(supervisor::Error::Child("log"))?;
        Ok(Self {
            region: settings.region.clone(),
            lease: settings.lease,
            session_port: settings.session_port,
            seeds: settings.seeds.clone(),
            operator: settings.operator,
            directory,
            driver,
            leader: None,
            queues: slotmap::SecondaryMap::new(),
            orders: Vec::new(),
            heard: collections::BTreeMap::new(),
            members_checked: now,
            outputs,
        })
    }

    /// Runs until `stop`; a leader hands over first.
    ///
    /// # Errors
    ///
    /// Fails if the log cannot be written.
    pub async fn run(
        mut self,
        mut inbox: mpsc::Receiver<Event>,
        stop: Stop,
    ) -> supervisor::Outcome {
        self.announce();
        loop {
            let pause = clock::Instant::now().saturating_until(self.next_deadline());
            tokio::select! {
                Some(event) = inbox.recv() => self.handle(event)?,
                () = time::sleep(pause) => {}
                () = stop.cancelled() => break,
            }
            let mut events = 1;
            while events < BATCH
                && let Ok(event) = inbox.try_recv()
            {
                self.handle(event)?;
                events += 1;
            }
            self.advance()?;
        }
        if self.leader.take().is_some() {
            tracing::info!("handing leadership over");
            let now = clock::Instant::now();
            self.driver.step(now, log::Event::Transfer);
            self.flush(now)?;
        }
        Ok(())
    }

    fn next_deadline(&self) -> clock::Instant {
        let replica = self.driver.replica().next_deadline();
        let leader = self.leader.as_ref().map(leader::Leader::next_deadline);
        leader.map_or(replica, |leader| leader.min(replica))
    }

    fn handle(&mut self, event: Event) -> supervisor::Outcome {
        let now = clock::Instant::now();
        match event {
            Event::ReplicaHello(hello) => {
                self.heard.insert(id::Replica(hello.id), now);
                if self.directory.hello(&hello) {
                    tracing::info!(replica = hello.id, address = hello.name, "met a replica");
                    self.directory.store().map_err(failed)?;
                    self.announce();
                }
            }
            Event::ReplicaLog(from, message) => {
                self.heard.insert(from, now);
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
            Event::NodeFrame(key, session::FromNode::Renew(renewal)) => {
                // A leader that was suspended must not renew a lease on what it knew before.
                if self.driver.replica().is_authoritative(now)
                    && let Some(leader) = &mut self.leader
                {
                    self.outputs.measure.renewal();
                    leader.renew(now, self.driver.machine(), key, renewal);
                }
            }
            Event::NodeDown(key) => {
                self.queues.remove(key);
                if let Some(leader) = &mut self.leader {
                    leader.node_down(key);
                }
            }
            Event::Seeds(seeds) => {
                if self.seeds != seeds {
                    tracing::info!(?seeds, "changed settings are in force");
                    self.seeds = seeds;
                    self.announce();
                }
            }
            Event::Operator(call, reply) => self.operator(now, call, reply),
        }
        Ok(())
    }

    /// Publishes what this replica says about itself and whom it connects to.
    fn announce(&self) {
        let members = self.driver.replica().members();
        let mut replicas: collections::BTreeSet<_> = self.seeds.iter().copied().collect();
        replicas.extend(members.all().filter_map(|id| self.directory.address(id)));
        replicas.extend(self.directory.current().keys());
        replicas.remove(&self.operator);
        let hello = self.directory.to_hello(&self.region, members.all());
        self.outputs.published.send_replace(Published {
            hello,
            replicas: replicas.into_iter().collect(),
        });
    }

    fn node_up(&mut self, queue: mpsc::Sender<Bytes>, reply: oneshot::Sender<leader::Session>) {
        let replicas = self.session_addresses();
        send(&queue, &session::FromControl::Replicas(replicas));
        let key = self.leader.as_mut().and_then(leader::Leader::node_up);
        let Some(key) = key else {
            let leader = self.leader_address();
            let address = leader.map(|one| net::SocketAddr::new(one.ip(), self.session_port));
            send(&queue, &session::FromControl::Redirect(address));
            return;
        };
        self.queues.insert(key, queue);
        if reply.send(key).is_err() {
            tracing::debug!("a node disconnected before its session began");
        }
    }

    fn session_addresses(&self) -> Vec<net::SocketAddr> {
        let members = self.driver.replica().members().all();
        members
            .filter_map(|id| self.directory.address(id))
            .map(|one| net::SocketAddr::new(one.ip(), self.session_port))
            .collect()
    }

    fn leader_address(&self) -> Option<net::SocketAddr> {
        let leader = self.driver.replica().role().leader?;
        self.directory.address(leader)
    }

    /// Lets time pass, proposes, writes, sends and applies until nothing is left.
    fn advance(&mut self) -> supervisor::Outcome {
        let now = clock::Instant::now();
        self.driver.step(now, log::Event::Tick);
        self.flush(now)?;
        self.check_leadership(now);
        if let Some(leader) = &mut self.leader {
            leader.tick(now, self.driver.machine());
            for command in leader.take_proposals() {
                if self.driver.propose(now, &command).is_none() {
                    tracing::warn!("the log took no command");
                }
            }
        }
        self.flush(now)?;
        self.check_members(now)?;
        self.publish();
        let waiting = self
            .orders
            .iter()
            .position(|order| now.saturating_since(order.since) >= ORDER_TIMEOUT);
        if let Some(at) = waiting {
            // The order may still be committed; the caller asks again.
            let order = self.orders.remove(at);
            tracing::warn!(position = %order.position, "an order is not committed in time");
            answer_to(order.reply, operator::Answer::Unavailable);
        }
        Ok(())
    }

    fn flush(&mut self, now: clock::Instant) -> supervisor::Outcome {
        let outcome = self
            .driver
            .flush(now)
            .change_context(supervisor::Error::Child("log"))?;
        for (to, message) in outcome.messages {
            let Some(address) = self.directory.address(to) else {
                tracing::debug!(%to, "the address of a replica is not known");
                continue;
            };
            // The log tolerates lost messages, so a full queue loses the newest.
            if self
                .outputs
                .frames
                .try_send((address, message::encode(message)))
                .is_err()
            {
                tracing::debug!(%to, "dropping a message to a replica, the queue is full");
            }
        }
        self.outputs.measure.applied(outcome.applied.len());
        for applied in &outcome.applied {
            if let machine::Command::Configure(order) = &applied.command {
                let version = order.config.version.0;
                let position = applied.position;
                let outcome = &applied.result;
                tracing::info!(version, %position, ?outcome, "an order was applied");
            }
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
        let leads = self.driver.replica().is_authoritative(now);
        match (leads, self.leader.is_some()) {
            (true, false) => {
                tracing::info!(term = %role.term, "this replica leads");
                let leader = leader::Leader::new(self.lease, self.driver.machine(), now);
                self.leader = Some(leader);
            }
            (false, true) => {
                tracing::warn!(term = %role.term, "this replica no longer leads");
                self.leader = None;
                // A closed queue ends the session, and the node looks for the leader.
                self.queues.clear();
                for order in self.orders.drain(..) {
                    answer_to(order.reply, operator::Answer::Unavailable);
                }
            }
            _ => {}
        }
    }

    /// Sends nodes what has changed.
    fn publish(&mut self) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let mut encoded = collections::BTreeMap::new();
        for effect in leader.take_effects() {
            let (session, bytes) = match effect {
                leader::Effect::Send(session, message) => {
                    let is_move = matches!(message, session::FromControl::Release { .. });
                    self.outputs.measure.moved(usize::from(is_move));
                    (session, encode(&message))
                }
                leader::Effect::State(session, sections) => {
                    let machine = self.driver.machine();
                    let bytes = encoded
                        .entry(sections)
                        .or_insert_with(|| encode(&state(machine, sections)));
                    (session, bytes.clone())
                }
            };
            let (Some(queue), Some(bytes)) = (self.queues.get(session), bytes) else {
                continue;
            };
            // A node that reads too slowly connects again and gets the whole state.
            if queue.try_send(bytes).is_err() {
                tracing::warn!("the queue to a node is full, ending its session");
                self.queues.remove(session);
                leader.node_down(session);
            }
        }
    }
}

fn state(machine: &machine::Machine, sections: leader::Sections) -> session::FromControl {
    let order = machine.order().filter(|_| sections.config);
    session::FromControl::State(session::State {
        index: machine.index(),
        config: order.map(|order| order.config.clone()),
        servers: sections
            .servers
            .then(|| machine.servers().values().cloned().collect()),
        tables: sections.tables.then(|| machine.tables().clone()),
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
        tracing::debug!("a node has disconnected");
    }
}

fn answer_to(reply: oneshot::Sender<operator::Answer>, answer: operator::Answer) {
    if reply.send(answer).is_err() {
        tracing::debug!("an operator has disconnected before the answer");
    }
}
