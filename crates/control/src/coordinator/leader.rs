//! What only the leader does: leases, placement, sessions with nodes, answers to operators.
//!
//! Nothing here is durable. A new leader starts with every lease treated as
//! full and learns the rest from the nodes that connect to it.

mod force;
mod members;
mod moves;
mod operators;
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

/// A command at its place in the log, and what it did.
type Applied = driver::Applied<command::Command, Result<machine::Applied, machine::Refusal>>;

/// Time after an election in which nodes find the leader before slices are assigned.
///
/// Otherwise the first node to connect would get every vacant slice.
const SETTLE: Duration = Duration::from_millis(300);

/// Pause between two plans, so that a storm of changes is planned for together.
const PLAN_PAUSE: Duration = Duration::from_millis(20);

/// Settings of a leader.
#[derive(Clone, Debug)]
pub struct Config {
    /// Region of the group.
    pub region: String,
    /// Leases.
    pub lease: registry::Config,
    /// Time after its last renewal for which a node may serve on its view, drift included.
    pub view_bound: Duration,
    /// Placement.
    pub placement: placement::Config,
    /// Metrics of this replica.
    pub measure: sync::Arc<measure::Measure>,
}

/// Who waits for a command to take effect.
#[derive(Debug)]
pub enum Waiter {
    /// Nobody.
    Nobody,
    /// A node that joins.
    Join(event::Session),
    /// An operator with a ticket.
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
    /// Who waits for it.
    pub waiter: Waiter,
}

/// A session with a node.
#[derive(Debug)]
struct Node {
    outgoing: mpsc::Sender<Bytes>,
    // Set once the node has joined.
    member: Option<registry::Member>,
    // Version that the node has after the frames sent so far.
    sent: id::Version,
    // Version that the node said it had in its `Hello`.
    hello: id::Version,
}

type Place = (id::Service, key::Hash);

/// The leader of a term.
#[derive(Debug)]
pub struct Leader {
    config: Config,
    leases: registry::Registry,
    renewals: force::Renewals,
    planner: planner::Planner,
    plan_from: clock::Instant,
    plan_due: bool,
    unpublished: bool,
    sessions: slotmap::SlotMap<event::Session, Node>,
    members: collections::BTreeMap<registry::Member, event::Session>,
    joined_at: collections::BTreeMap<id::Server, clock::Instant>,
    leaving: collections::BTreeSet<id::Server>,
    health: collections::BTreeMap<id::Server, reports::Health>,
    ending: collections::BTreeSet<registry::Member>,
    // What the planner asked for and has not seen done.
    actions: collections::BTreeMap<Place, action::Action>,
    transfers: collections::BTreeMap<Place, moves::Transfer>,
    released: collections::BTreeMap<Place, moves::Released>,
    waiting: collections::BTreeMap<position::Index, (position::Term, Waiter)>,
    proposals: Vec<Proposal>,
    vacancy: vacancy::Vacancy,
}

impl Leader {
    /// Starts to lead with the state that includes every earlier term.
    pub fn new(config: Config, machine: &machine::Machine, now: clock::Instant) -> Self {
        let mut leases = registry::Registry::new(config.lease);
        leases.become_leader(now, members::all(machine));
        let had_nodes = machine.servers().next().is_some();
        let renewals = force::Renewals::new(config.view_bound, now, had_nodes);
        let planner = planner::Planner::new(config.placement);
        let mut leader = Self {
            config,
            leases,
            renewals,
            planner,
            plan_from: now + SETTLE,
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
            waiting: collections::BTreeMap::new(),
            proposals: Vec::new(),
            vacancy: vacancy::Vacancy::new(now, machine.view()),
        };
        leader.load_plan(machine, now);
        leader
    }

    /// Takes the commands to propose.
    pub fn take_proposals(&mut self) -> Vec<Proposal> {
        std::mem::take(&mut self.proposals)
    }

    /// A proposal stands in the log at this position, or was not accepted.
    pub fn proposed(
        &mut self,
        now: clock::Instant,
        proposal: Proposal,
        position: Option<position::Position>,
    ) {
        match position {
            Some(position) => {
                let waiting = (position.term, proposal.waiter);
                self.waiting.insert(position.index, waiting);
            }
            None => self.not_proposed(now, proposal),
        }
    }

    /// A command took effect or was refused at its place in the log.
    pub fn applied(&mut self, now: clock::Instant, machine: &machine::Machine, applied: &Applied) {
        let waiting = self.waiting.remove(&applied.position.index);
        // An entry of another term at this index means that the proposal was lost.
        let waiter = match waiting {
            Some((term, waiter)) if term == applied.position.term => waiter,
            Some((_, waiter)) => {
                self.lost(waiter);
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

    /// Time passes: leases lapse, slices are planned.
    pub fn tick(&mut self, now: clock::Instant, machine: &machine::Machine) {
        self.end_lapsed(now, machine);
        self.repeat_late_releases(now);
        let due = self.planner.next_deadline().is_some_and(|at| at <= now);
        if now >= self.plan_from && (self.plan_due || due) {
            self.plan_due = false;
            self.plan_from = now + PLAN_PAUSE;
            self.plan(now, machine);
        }
    }

    /// Returns when [`Leader::tick`] is due.
    pub fn next_deadline(&self, now: clock::Instant) -> clock::Instant {
        let plan = match self.plan_due {
            true => Some(self.plan_from),
            false => self.planner.next_deadline(),
        };
        let far = now + Duration::from_secs(1);
        // A lease that lapsed is reported until its end is committed, so only later ones count.
        let lease = self.leases.next_deadline();
        let release = self.next_release();
        let due = [lease, plan, release];
        due.into_iter().flatten().fold(far, Ord::min)
    }

    /// Stops to lead; nodes connect to the next leader, operators have to ask again.
    pub fn step_down(mut self) {
        for (_, waiter) in std::mem::take(&mut self.waiting).into_values() {
            self.lost(waiter);
        }
        for proposal in std::mem::take(&mut self.proposals) {
            self.lost(proposal.waiter);
        }
    }

    /// Sends each node the changes that it lacks; tells whether there were any.
    pub fn publish(&mut self, publisher: &super::publish::Publisher, view: &view::View) -> bool {
        self.unpublished = false;
        let mut frames: collections::BTreeMap<id::Version, Vec<Bytes>> =
            collections::BTreeMap::new();
        let mut broken = Vec::new();
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
                false => broken.push(key),
            }
        }
        let any = !frames.is_empty();
        for key in broken {
            // A node that does not read its connection starts over with a new one.
            self.close(key);
        }
        any
    }

    /// Tells whether nodes may lack changes.
    pub const fn is_behind(&self) -> bool {
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
                tracing::error!(%error, "a message to a node is too long");
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
