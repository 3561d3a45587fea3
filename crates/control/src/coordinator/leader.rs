//! Work of the leader: leases, placement, sessions with nodes and answers to operators.
//!
//! None of this state is durable. A new leader treats every lease as just renewed and
//! learns the rest from the nodes that connect to it.

mod members;
mod moves;
mod operators;
mod renewals;
mod reports;
mod sessions;
mod vacancy;

use std::collections;
use std::sync;
use std::time::Duration;

use bytes::Bytes;
use sequoiayoke_consensus::position;
use sequoiayoke_lease::registry;
use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_model::view;
use sequoiayoke_placement::action;
use sequoiayoke_placement::config as placement;
use sequoiayoke_placement::planner;
use sequoiayoke_replication::driver;
use sequoiayoke_state::command;
use sequoiayoke_state::machine;
use sequoiayoke_wire::frame;
use sequoiayoke_wire::session;
use tokio::sync::mpsc;

use super::event;
use crate::measure;

/// A command at its position in the log, and its result.
type Applied = driver::Applied<command::Command, Result<machine::Applied, machine::Refusal>>;

/// Time after an election for which slices are not assigned, so that nodes can connect.
///
/// Without it the first node to connect would get every vacant slice.
const JOIN_WAIT: Duration = Duration::from_millis(300);

/// Shortest time between two plans, so that a burst of changes is planned for together.
const PLAN_INTERVAL: Duration = Duration::from_millis(20);

/// Configuration of a leader.
#[derive(Clone, Debug)]
pub struct Config {
    /// Region of the group.
    pub region: String,
    /// Configuration of leases.
    pub lease: registry::Config,
    /// Longest time after its last renewal for which a node may serve from its view; it includes
    /// the drift of clocks.
    pub view_bound: Duration,
    /// Configuration of placement.
    pub placement: placement::Config,
    /// Metrics of this replica.
    pub measure: sync::Arc<measure::Measure>,
}

/// Recipient of the result of a command.
#[derive(Debug)]
pub enum Waiter {
    /// No recipient.
    Nobody,
    /// The session of a node that joins.
    Join(event::Session),
    /// The operator who submitted a ticket.
    Ticket(
        id::Ticket,
        event::Reply<sequoiayoke_api::accepted::Accepted>,
    ),
}

/// A command to propose.
#[derive(Debug)]
pub struct Proposal {
    /// The command.
    pub command: command::Command,
    /// Recipient of its result.
    pub waiter: Waiter,
}

/// A session with a node.
#[derive(Debug)]
struct Node {
    outgoing: mpsc::Sender<Bytes>,
    // Run of the node, once it has joined.
    member: Option<registry::Member>,
    // Version that the node has after the frames sent so far.
    sent: id::Version,
    // Version that the node announced in its `Hello`.
    hello_version: id::Version,
}

/// A slice, by its service and the start of its range.
type SliceId = (id::Service, key::Hash);

/// The leader of a term.
#[derive(Debug)]
pub struct Leader {
    config: Config,
    leases: registry::Registry,
    renewals: renewals::Renewals,
    planner: planner::Planner,
    plan_from: clock::Instant,
    plan_due: bool,
    unpublished: bool,
    sessions: slotmap::SlotMap<event::Session, Node>,
    members: collections::BTreeMap<registry::Member, event::Session>,
    joined_at: collections::BTreeMap<id::Server, clock::Instant>,
    leaving: collections::BTreeSet<id::Server>,
    health: collections::BTreeMap<id::Server, reports::Health>,
    // Runs whose end is proposed but not applied yet.
    ending: collections::BTreeSet<registry::Member>,
    // Actions of the planner that have not taken effect yet.
    actions: collections::BTreeMap<SliceId, action::Action>,
    transfers: collections::BTreeMap<SliceId, moves::Transfer>,
    released: collections::BTreeMap<SliceId, moves::Released>,
    // Recipients by the index of their command, with the term in which it was proposed.
    waiters: collections::BTreeMap<position::Index, (position::Term, Waiter)>,
    proposals: Vec<Proposal>,
    vacancy: vacancy::Vacancy,
}

impl Leader {
    /// Creates the leader of a term; `machine` has applied the commands of all earlier terms.
    pub fn new(config: Config, machine: &machine::Machine, now: clock::Instant) -> Self {
        let mut leases = registry::Registry::new(config.lease);
        leases.become_leader(now, members::runs(machine));
        let had_nodes = machine.servers().next().is_some();
        let renewals = renewals::Renewals::new(config.view_bound, now, had_nodes);
        let planner = planner::Planner::new(config.placement);
        let mut leader = Self {
            config,
            leases,
            renewals,
            planner,
            plan_from: now + JOIN_WAIT,
            plan_due: true,
            unpublished: true,
            sessions: slotmap::SlotMap::with_key(),
            members: collections::BTreeMap::new(),
            joined_at: collections::BTreeMap::new(),
            leaving: collections::BTreeSet::new(),
            health: collections::BTreeMap::new(),
            ending: collections::BTreeSet::new(),
            actions: collections::BTreeMap::new(),
            transfers: collections::BTreeMap::new(),
            released: collections::BTreeMap::new(),
            waiters: collections::BTreeMap::new(),
            proposals: Vec::new(),
            vacancy: vacancy::Vacancy::new(now, machine.view()),
        };
        leader.load_planner(machine, now);
        leader
    }

    /// Removes and returns the commands to propose.
    pub fn take_proposals(&mut self) -> Vec<Proposal> {
        std::mem::take(&mut self.proposals)
    }

    /// Records the position of a proposal in the log; `None` means that the log rejected it.
    pub fn proposed(
        &mut self,
        now: clock::Instant,
        proposal: Proposal,
        position: Option<position::Position>,
    ) {
        match position {
            Some(position) => {
                let waiter = (position.term, proposal.waiter);
                self.waiters.insert(position.index, waiter);
            }
            None => self.fail_proposal(now, proposal),
        }
    }

    /// Records that a command took effect or was refused at its position in the log.
    pub fn applied(&mut self, now: clock::Instant, machine: &machine::Machine, applied: &Applied) {
        let expected = self.waiters.remove(&applied.position.index);
        // An entry of another term at this index means that the proposal was lost.
        let waiter = match expected {
            Some((term, waiter)) if term == applied.position.term => waiter,
            Some((_, waiter)) => {
                self.fail_waiter(waiter);
                Waiter::Nobody
            }
            None => Waiter::Nobody,
        };
        self.unpublished = true;
        if let Ok(done) = &applied.result {
            for change in &done.changes {
                self.note_change(now, machine, change);
            }
            self.count_assigned(machine, &done.changes);
            if let Some((server, incarnation)) = done.joined {
                let member = registry::Member::new(server, incarnation);
                self.note_join(now, member, done.repeated);
            }
        }
        self.note_command(now, machine, applied);
        self.answer(now, machine, waiter, applied);
    }

    /// Ends lapsed leases, retries late releases, and plans if a plan is due.
    pub fn tick(&mut self, now: clock::Instant, machine: &machine::Machine) {
        self.end_lapsed(now, machine);
        self.retry_late_releases(now);
        let due = self.planner.next_deadline().is_some_and(|at| at <= now);
        if now >= self.plan_from && (self.plan_due || due) {
            self.plan_due = false;
            self.plan_from = now + PLAN_INTERVAL;
            self.plan(now, machine);
        }
    }

    /// Returns when [`Leader::tick`] is due.
    pub fn next_deadline(&self, now: clock::Instant) -> clock::Instant {
        let plan = match self.plan_due {
            true => Some(self.plan_from),
            false => self.planner.next_deadline(),
        };
        let latest = now + Duration::from_secs(1);
        // The registry reports a lapsed lease until its end is committed, so its deadline is that
        // of the leases that have not lapsed yet.
        let lease = self.leases.next_deadline();
        let release = self.next_release_retry();
        let due = [lease, plan, release];
        due.into_iter().flatten().fold(latest, Ord::min)
    }

    /// Steps down: nodes reconnect to the next leader, and operators have to submit again.
    pub fn step_down(mut self) {
        for (_, waiter) in std::mem::take(&mut self.waiters).into_values() {
            self.fail_waiter(waiter);
        }
        for proposal in std::mem::take(&mut self.proposals) {
            self.fail_waiter(proposal.waiter);
        }
    }

    /// Sends each node the changes that it lacks, and returns whether there were any.
    pub fn publish(&mut self, publisher: &super::publish::Publisher, view: &view::View) -> bool {
        self.unpublished = false;
        let mut frames: collections::BTreeMap<id::Version, Vec<Bytes>> =
            collections::BTreeMap::new();
        let mut unwritable = Vec::new();
        for (key, node) in &mut self.sessions {
            if node.member.is_none() || node.sent == view.version() {
                continue;
            }
            // Nodes at the same version share the encoded frames.
            let parts = frames
                .entry(node.sent)
                .or_insert_with(|| publisher.frames(node.sent, view));
            let sent = parts
                .iter()
                .all(|part| node.outgoing.try_send(part.clone()).is_ok());
            match sent {
                true => node.sent = view.version(),
                false => unwritable.push(key),
            }
        }
        let has_changes = !frames.is_empty();
        for key in unwritable {
            // A node that stopped reading its connection has to reconnect.
            self.close(key);
        }
        has_changes
    }

    /// Returns whether nodes may lack changes.
    pub const fn has_unpublished(&self) -> bool {
        self.unpublished
    }

    fn propose(&mut self, command: command::Command) {
        self.propose_for(command, Waiter::Nobody);
    }

    fn propose_for(&mut self, command: command::Command, waiter: Waiter) {
        self.proposals.push(Proposal { command, waiter });
    }

    fn send(&mut self, key: event::Session, message: impl Into<session::FromControl>) {
        let Some(node) = self.sessions.get(key) else {
            return;
        };
        let sent = match frame::encode(&message.into()) {
            Ok(bytes) => node.outgoing.try_send(bytes).is_ok(),
            Err(error) => {
                tracing::error!(%error, "a message to a node cannot be encoded");
                false
            }
        };
        if !sent {
            self.close(key);
        }
    }

    fn close(&mut self, key: event::Session) {
        if let Some(node) = self.sessions.remove(key)
            && let Some(member) = node.member
            && self.members.get(&member) == Some(&key)
        {
            self.members.remove(&member);
        }
    }
}
