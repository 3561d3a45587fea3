//! The control thread: the replicated log, its state machine and the leader's work.
//!
//! Children are values, not tasks: [`bootstrap`], the log's [`driver`] and, while this
//! replica leads, [`leader`]. None is restarted on its own. A replica that cannot write
//! its log must stop, so the coordinator returns an error and the whole process restarts
//! from the state on disk.

pub mod bootstrap;
pub mod documents;
pub mod event;
mod figures;
mod handover;
pub mod leader;
mod overview;
pub mod publish;

use std::collections;
use std::net;
use std::time::Duration;

use bytes::Bytes;
use error_stack::ResultExt;
use sequoiayoke_api::error;
use sequoiayoke_consensus::config;
use sequoiayoke_consensus::event as log;
use sequoiayoke_consensus::members;
use sequoiayoke_consensus::stored;
use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_replication::driver;
use sequoiayoke_state::machine;
use sequoiayoke_storage::folder;
use sequoiayoke_storage::medium;
use sequoiayoke_supervise::{Stop, supervisor};
use sequoiayoke_wire::frame;
use sequoiayoke_wire::replica as message;
use sequoiayoke_wire::session;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time;

/// Capacity of the coordinator's event queue.
pub const QUEUE_CAPACITY: usize = 16_384;
/// Most events that share one sync of the log.
const MAX_BATCH: usize = 512;
/// Most nodes that may wait until a leader is known.
const MAX_WAITING: usize = 12_288;
/// Shortest time between two publications of changes.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between checks for replicas that have to be added or removed.
const MEMBERS_CHECK_INTERVAL: Duration = Duration::from_millis(500);

type Disk = folder::Folder<medium::Disk>;
type Driver = driver::Driver<Disk, machine::Machine>;

/// Addresses of a replica, and the queue of frames to it.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Name of the replica.
    pub name: String,
    /// Address for nodes.
    pub node: net::SocketAddr,
    /// Address for operators.
    pub operator: net::SocketAddr,
    /// Queue of frames to the replica; `None` for this replica itself.
    pub outgoing: Option<mpsc::Sender<message::Frame>>,
}

/// Configuration of the coordinator.
#[derive(Debug)]
pub struct Config {
    /// Configuration of the leader.
    pub leader: leader::Config,
    /// Configuration of the replicated log; the identities are set when the replica starts.
    pub log: config::Config,
    /// All configured replicas, including this one.
    pub peers: Vec<Peer>,
}

/// The control thread's state.
#[derive(Debug)]
pub struct Coordinator {
    config: Config,
    bootstrap: bootstrap::Bootstrap,
    hello: watch::Sender<message::Hello>,
    // Storage of the log until the replica starts.
    pending_log: Option<(Disk, stored::Stored<Bytes>)>,
    driver: Option<Driver>,
    publisher: publish::Publisher,
    leader: Option<leader::Leader>,
    // Identity that each other replica announced last, by name.
    announced: collections::BTreeMap<String, id::Replica>,
    members_checked: clock::Instant,
    // Queues to nodes that wait until a leader is known.
    waiting_nodes: Vec<mpsc::Sender<Bytes>>,
    published: clock::Instant,
}

type Failed = error_stack::Report<supervisor::Error>;

fn failed<E>(error: E) -> Failed
where
    E: std::error::Error + Send + Sync + 'static,
{
    error_stack::Report::new(error).change_context(supervisor::Error::Child("replica"))
}

/// Longest time that the control thread may be busy without checking the log's deadlines.
///
/// It is half the interval between heartbeats; a leader that is busy for longer risks losing
/// its quorum.
const MAX_BUSY: Duration = Duration::from_millis(30);

fn warn_if_slow(part: &'static str, start: clock::Instant, items: usize) {
    let elapsed = clock::Instant::now().saturating_since(start);
    if elapsed >= MAX_BUSY {
        let elapsed_ms = elapsed.as_millis() as u64;
        tracing::warn!(part, items, elapsed_ms, "the control thread was busy");
    }
}

impl Coordinator {
    /// Creates a coordinator that starts its replica once the group has formed.
    pub fn new(
        config: Config,
        bootstrap: bootstrap::Bootstrap,
        hello: watch::Sender<message::Hello>,
        disk: Disk,
        stored: stored::Stored<Bytes>,
    ) -> Self {
        Self {
            config,
            bootstrap,
            hello,
            pending_log: Some((disk, stored)),
            driver: None,
            publisher: publish::Publisher::default(),
            leader: None,
            announced: collections::BTreeMap::new(),
            members_checked: clock::Instant::from_micros(0),
            waiting_nodes: Vec::new(),
            published: clock::Instant::from_micros(0),
        }
    }

    /// Runs until `stop` is cancelled; a leader then transfers its leadership before it returns.
    ///
    /// # Errors
    ///
    /// Fails if the log cannot be written.
    pub async fn run(
        mut self,
        mut inbox: mpsc::Receiver<event::Event>,
        stop: Stop,
    ) -> supervisor::Outcome {
        self.start_replica()?;
        loop {
            let pause = clock::Instant::now().saturating_until(self.next_deadline());
            tokio::select! {
                Some(event) = inbox.recv() => self.handle(event)?,
                () = time::sleep(pause) => {}
                () = stop.cancelled() => break,
            }
            let start = clock::Instant::now();
            let mut events = 1;
            while events < MAX_BATCH
                && let Ok(event) = inbox.try_recv()
            {
                self.handle(event)?;
                events += 1;
            }
            self.advance()?;
            warn_if_slow("round", start, events);
        }
        self.transfer_leadership(&mut inbox).await
    }

    fn next_deadline(&self) -> clock::Instant {
        let now = clock::Instant::now();
        // On the leader, a change waits at most `PUBLISH_INTERVAL` before it is published.
        let latest = match &self.leader {
            Some(leader) if leader.has_unpublished() => now + PUBLISH_INTERVAL,
            _ => now + Duration::from_secs(1),
        };
        let replica = self
            .driver
            .as_ref()
            .map(|driver| driver.replica().next_deadline());
        let leader = self.leader.as_ref().map(|leader| leader.next_deadline(now));
        [replica, leader]
            .into_iter()
            .flatten()
            .fold(latest, Ord::min)
    }

    fn handle(&mut self, event: event::Event) -> supervisor::Outcome {
        match event {
            event::Event::ReplicaHello(hello) => self.receive_hello(&hello)?,
            event::Event::ReplicaLog(from, message) => self.receive_log_message(from, message),
            event::Event::NodeUp(outgoing, reply) => self.node_up(outgoing, reply),
            event::Event::NodeFrame(key, frame) => self.node_frame(key, frame),
            event::Event::NodeDown(key) => {
                if let Some(leader) = &mut self.leader {
                    leader.node_down(key);
                }
            }
            event::Event::Operator(request) => self.answer_operator(request),
            // The requester may have stopped waiting.
            event::Event::Figures(reply) => drop(reply.send(self.figures())),
        }
        Ok(())
    }

    fn receive_hello(&mut self, hello: &message::Hello) -> supervisor::Outcome {
        self.announced
            .insert(hello.name.clone(), id::Replica(hello.id));
        self.bootstrap.receive_hello(hello).map_err(failed)?;
        self.start_replica()
    }

    /// Announces what is known about the group, and starts the replica if the group has formed.
    fn start_replica(&mut self) -> supervisor::Outcome {
        let step = self.bootstrap.next_step().map_err(failed)?;
        self.hello.send_if_modified(|hello| {
            let next = self.bootstrap.to_hello(&self.config.leader.region);
            let changed = *hello != next;
            *hello = next;
            changed
        });
        let voters = match step {
            bootstrap::Step::Wait => return Ok(()),
            bootstrap::Step::Vote(voters) => voters,
            bootstrap::Step::Learn => Vec::new(),
        };
        let Some((disk, stored)) = self.pending_log.take() else {
            return Ok(());
        };
        let mut config = self.config.log.clone().with_voters(voters);
        config.id = disk.id();
        config.seed = disk.id().0;
        let now = clock::Instant::now();
        let driver = Driver::new(disk, config, stored, now)
            .change_context(supervisor::Error::Child("replica"))?;
        self.publisher = publish::Publisher::new(driver.machine().view().version());
        self.driver = Some(driver);
        tracing::info!("the group has formed and the replica has started");
        Ok(())
    }

    fn receive_log_message(&mut self, from: id::Replica, message: message::Log) {
        let Some(driver) = &mut self.driver else {
            return;
        };
        match message::decode(message) {
            Ok(message) => {
                let received = log::Event::Received { from, message };
                driver.step(clock::Instant::now(), received);
            }
            Err(error) => tracing::error!(%from, %error, "a replica sent a malformed message"),
        }
    }

    fn node_up(
        &mut self,
        outgoing: mpsc::Sender<Bytes>,
        reply: tokio::sync::oneshot::Sender<event::Session>,
    ) {
        match &mut self.leader {
            Some(leader) => {
                if let Some(key) = leader.node_up(outgoing) {
                    let _ = reply.send(key);
                }
            }
            // Nodes rejected during an election would reconnect at once; thousands of them
            // would take the processor time that the election needs.
            None if self.waiting_nodes.len() < MAX_WAITING => self.waiting_nodes.push(outgoing),
            None => {}
        }
    }

    /// Redirects the waiting nodes to the leader, once a leader is known.
    fn redirect_waiting_nodes(&mut self) {
        if self.waiting_nodes.is_empty() {
            return;
        }
        let Some(leader) = self.leader_peer().map(|peer| peer.node.to_string()) else {
            return;
        };
        let redirect = session::FromControl::from(session::Redirect { leader });
        if let Ok(bytes) = frame::encode(&redirect) {
            for outgoing in self.waiting_nodes.drain(..) {
                let _ = outgoing.try_send(bytes.clone());
            }
        }
    }

    fn node_frame(&mut self, key: event::Session, frame: session::FromNode) {
        let now = clock::Instant::now();
        let (Some(leader), Some(driver)) = (&mut self.leader, &self.driver) else {
            return;
        };
        // A leader that was suspended must not renew a lease from outdated state.
        if driver.replica().is_authoritative(now) {
            leader.node_frame(now, driver.machine(), key, frame);
        }
    }

    fn answer_operator(&mut self, request: event::Request) {
        let now = clock::Instant::now();
        let address = self.leader_peer().map(|peer| peer.operator.to_string());
        let base = self.status();
        if let (Some(leader), Some(driver)) = (&mut self.leader, &self.driver)
            && driver.replica().is_authoritative(now)
        {
            leader.answer_operator(now, driver.machine(), request, || base);
            return;
        }
        // A replica that is not the leader may hold outdated state, so it does not answer.
        let error = error::Error::NotLeader { leader: address };
        match request {
            event::Request::Submit(_, reply) => drop(reply.send(Err(error))),
            event::Request::Check(_, reply) => drop(reply.send(Err(error))),
            event::Request::List(reply) => drop(reply.send(Err(error))),
            event::Request::Show(_, reply) => drop(reply.send(Err(error))),
            event::Request::Status(reply) => drop(reply.send(Err(error))),
            event::Request::Explain { reply, .. } => drop(reply.send(Err(error))),
        }
    }

    /// Advances the log's clock, then proposes, writes, sends and applies what is pending.
    fn advance(&mut self) -> supervisor::Outcome {
        let now = clock::Instant::now();
        if let Some(driver) = &mut self.driver {
            driver.step(now, log::Event::Tick);
        }
        self.flush(now)?;
        self.check_leadership(now);
        self.redirect_waiting_nodes();
        self.propose(now);
        self.flush(now)?;
        self.check_members(now)?;
        self.publish(now);
        Ok(())
    }

    /// Sends changes to the nodes, batched over [`PUBLISH_INTERVAL`].
    ///
    /// When thousands of nodes join at once, one frame for each join and node
    /// would be tens of millions of frames.
    fn publish(&mut self, now: clock::Instant) {
        let (Some(leader), Some(driver)) = (&mut self.leader, &self.driver) else {
            return;
        };
        if now.saturating_since(self.published) < PUBLISH_INTERVAL {
            return;
        }
        let start = clock::Instant::now();
        if leader.publish(&self.publisher, driver.machine().view()) {
            self.published = now;
        }
        warn_if_slow("publish", start, 1);
    }

    fn propose(&mut self, now: clock::Instant) {
        let start = clock::Instant::now();
        let (Some(leader), Some(driver)) = (&mut self.leader, &mut self.driver) else {
            return;
        };
        leader.tick(now, driver.machine());
        let proposals = leader.take_proposals();
        warn_if_slow("plan", start, proposals.len());
        for proposal in proposals {
            let position = driver.propose(now, &proposal.command);
            leader.proposed(now, proposal, position);
        }
    }

    fn flush(&mut self, now: clock::Instant) -> supervisor::Outcome {
        let Some(driver) = &mut self.driver else {
            return Ok(());
        };
        let start = clock::Instant::now();
        let outcome = driver
            .flush(now)
            .change_context(supervisor::Error::Child("replica"))?;
        warn_if_slow("log", start, outcome.applied.len());
        if outcome.installed {
            self.publisher = publish::Publisher::new(driver.machine().view().version());
        }
        for (to, message) in outcome.messages {
            let name = self.bootstrap.name_of(to);
            let peer = self
                .config
                .peers
                .iter()
                .find(|peer| Some(peer.name.as_str()) == name);
            if let Some(outgoing) = peer.and_then(|peer| peer.outgoing.as_ref()) {
                // The log tolerates lost messages, so a full queue drops the newest.
                let _ = outgoing.try_send(message::encode(message));
            }
        }
        for applied in &outcome.applied {
            let index = applied.position.index.0;
            let changes = applied
                .result
                .as_ref()
                .map_or(&[][..], |done| &done.changes);
            let accepted = applied.result.as_ref().ok().and_then(|done| done.accepted);
            if !changes.is_empty() || accepted == Some(id::Version(index)) {
                self.publisher.push(id::Version(index), changes.to_vec());
            }
            if let Some(leader) = &mut self.leader {
                leader.applied(now, driver.machine(), applied);
            }
        }
        Ok(())
    }

    fn check_leadership(&mut self, now: clock::Instant) {
        let Some(driver) = &self.driver else {
            return;
        };
        let leads = driver.replica().is_authoritative(now);
        match (leads, self.leader.is_some()) {
            (true, false) => {
                tracing::info!(term = %driver.replica().role().term, "this replica leads");
                let config = self.config.leader.clone();
                self.leader = Some(leader::Leader::new(config, driver.machine(), now));
            }
            (false, true) => {
                tracing::warn!("this replica no longer leads");
                if let Some(leader) = self.leader.take() {
                    leader.step_down();
                }
            }
            _ => {}
        }
    }

    /// Replaces the identity of a replica that lost its disk.
    ///
    /// Members change one at a time: the new identity is added as a learner, then promoted,
    /// and only then is the old one removed, so that no voter is missing in between.
    fn check_members(&mut self, now: clock::Instant) -> supervisor::Outcome {
        let (Some(_), Some(driver)) = (&self.leader, &mut self.driver) else {
            return Ok(());
        };
        if now.saturating_since(self.members_checked) < MEMBERS_CHECK_INTERVAL {
            return Ok(());
        }
        self.members_checked = now;
        let current = driver.replica().members().clone();
        let change = self.announced.iter().find_map(|(name, id)| {
            if !current.contains(*id) {
                return Some(members::Change::AddLearner(*id));
            }
            if !current.is_voter(*id) {
                return Some(members::Change::Promote(*id));
            }
            let mut former = current.all().filter(|other| other != id);
            let former = former.find(|other| self.bootstrap.name_of(*other) == Some(name))?;
            Some(members::Change::Remove(former))
        });
        if let Some(change) = change {
            tracing::info!(?change, "changing the members of the group");
            driver.step(now, log::Event::ChangeMember(change));
        }
        self.flush(now)
    }

    fn leader_peer(&self) -> Option<&Peer> {
        let role = self.driver.as_ref()?.replica().role();
        let name = self.bootstrap.name_of(role.leader?)?;
        self.config.peers.iter().find(|peer| peer.name == name)
    }
}
