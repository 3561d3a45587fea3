//! Decisions of the leader: leases, members and owners.
//!
//! The leader does no I/O. Its inputs are messages from nodes and applied commands; its outputs are
//! proposals for the log and messages to nodes. All of its state can be lost: nodes state what they
//! hold with each renewal, and a new leader treats every lease as granted when it was elected.

mod changes;
mod plan;
mod releases;

use std::collections;
use std::time::Duration;

use sequoiayoke_balance::{outlier, planner};
use sequoiayoke_catalog::{machine, server, slice};
use sequoiayoke_dispatch::usage;
use sequoiayoke_lease::registry;
use sequoiayoke_link::session;
use sequoiayoke_model::clock;
use sequoiayoke_model::id;

slotmap::new_key_type! {
    /// A connection of a node.
    pub struct Session;
}

/// Interval between rounds of planning.
const PLAN_INTERVAL: Duration = Duration::from_millis(300);
/// Time after a move for which reports still show the load from before it: two load reports and one
/// renewal.
const STALE_LOAD_TIME: Duration = Duration::from_millis(1_600);
/// Time after which a proposal or move without a result is retried.
const RETRY_DELAY: Duration = Duration::from_secs(2);
/// Time without a join for which a mostly vacant service waits for more backend servers, so that
/// its keys are not all assigned to the first one.
const JOIN_WAIT: Duration = Duration::from_millis(600);
/// Maximum time for which a mostly vacant service waits for more backend servers.
const JOIN_WAIT_MAX: Duration = Duration::from_secs(3);
/// Maximum number of nodes that are connected at the same time.
const MAX_SESSIONS: usize = 12_288;

/// A message to a node.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Sends this message.
    Send(Session, session::FromControl),
    /// Sends the whole state.
    State(Session),
    /// Sends the same message to these nodes.
    Broadcast(Vec<Session>, session::FromControl),
}

/// A connected node.
#[derive(Debug)]
struct Node {
    server: Option<server::Instance>,
    /// Whether the node has been sent the whole state.
    has_state: bool,
    /// Whether a later session of the same node has been established. What still arrives on this one
    /// was sent before, perhaps by a process that has ended.
    is_replaced: bool,
}

/// Reason why a backend server cannot receive keys because of its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Absence {
    /// The node is about to stop, and can still release keys.
    Stopping,
    /// The node has no session.
    Disconnected,
}

/// Measurements from the latest renewal of a node.
#[derive(Debug)]
struct Report {
    parts: Vec<usage::Part>,
    service_s: f64,
    failing: f64,
}

/// A move whose keys the owner was asked to release.
#[derive(Debug)]
struct PendingMove {
    service: String,
    change: planner::Move,
    since: clock::Instant,
}

/// State of a leader.
#[derive(Debug)]
pub struct Leader {
    nodes: slotmap::SlotMap<Session, Node>,
    leases: registry::Registry,
    reports: collections::BTreeMap<id::Server, Report>,
    planners: collections::BTreeMap<String, planner::Planner>,
    pending_moves: Vec<PendingMove>,
    /// When each join was last proposed.
    proposed_joins: collections::BTreeMap<server::Announcement, clock::Instant>,
    /// When the assignment of each released range was last proposed, by the owner that released it.
    proposed_moves: collections::BTreeMap<(id::Server, slice::Range, slice::Fence), clock::Instant>,
    /// When each removal was last proposed.
    proposed_leaves: collections::BTreeMap<id::Server, clock::Instant>,
    /// When a backend server last joined each service.
    last_joined: collections::BTreeMap<String, clock::Instant>,
    /// Since when each service has had vacant keys.
    vacant_since: collections::BTreeMap<String, clock::Instant>,
    /// When an assignment of vacant keys was last proposed, until an assignment is applied.
    assigned_at: Option<clock::Instant>,
    /// Backend servers whose nodes are about to stop or have disconnected.
    absent: collections::BTreeMap<server::Instance, Absence>,
    /// Backend servers that fail requests while the others of their service do not.
    failing: collections::BTreeSet<id::Server>,
    /// When each backend server was last part of a pending move.
    last_moved: collections::BTreeMap<id::Server, clock::Instant>,
    /// When the last round of planning began.
    planned_at: clock::Instant,
    proposals: Vec<machine::Command>,
    effects: Vec<Effect>,
    changes: changes::Changes,
}

impl Leader {
    /// Creates the state of a new leader, which assumes that every backend server was granted a
    /// lease at `now`.
    pub fn new(lease: Duration, machine: &machine::Machine, now: clock::Instant) -> Self {
        let mut leases = registry::Registry::new(registry::Config {
            lease,
            ..registry::Config::default()
        });
        let members = machine.servers().values().map(server::Server::member);
        leases.become_leader(now, members);
        Self {
            nodes: slotmap::SlotMap::with_key(),
            leases,
            reports: collections::BTreeMap::new(),
            planners: collections::BTreeMap::new(),
            pending_moves: Vec::new(),
            proposed_joins: collections::BTreeMap::new(),
            proposed_moves: collections::BTreeMap::new(),
            proposed_leaves: collections::BTreeMap::new(),
            last_joined: collections::BTreeMap::new(),
            vacant_since: collections::BTreeMap::new(),
            assigned_at: None,
            absent: collections::BTreeMap::new(),
            failing: collections::BTreeSet::new(),
            last_moved: collections::BTreeMap::new(),
            planned_at: now,
            proposals: Vec::new(),
            effects: Vec::new(),
            changes: changes::Changes::new(machine),
        }
    }

    /// Adds the connection of a node; returns `None` if there are too many.
    pub fn node_up(&mut self) -> Option<Session> {
        if self.nodes.len() >= MAX_SESSIONS {
            return None;
        }
        Some(self.nodes.insert(Node {
            server: None,
            has_state: false,
            is_replaced: false,
        }))
    }

    /// Removes the connection of a node. The lease of its backend server is valid until it lapses.
    pub fn node_down(&mut self, session: Session) {
        let node = self.nodes.remove(session);
        if let Some(instance) = node.and_then(|node| node.server) {
            self.absent.insert(instance, Absence::Disconnected);
        }
    }

    /// Removes and returns the commands to propose.
    pub fn take_proposals(&mut self) -> Vec<machine::Command> {
        std::mem::take(&mut self.proposals)
    }

    /// Removes and returns the messages to send; the first ones give the nodes the state of `machine`,
    /// so that no node takes a renewed lease for keys that have moved.
    pub fn take_effects(&mut self, machine: &machine::Machine) -> Vec<Effect> {
        let others = std::mem::take(&mut self.effects);
        if let Some(changes) = self.changes.take(machine) {
            let nodes = self.nodes.iter().filter(|(_, node)| node.has_state);
            let sessions: Vec<_> = nodes.map(|(session, _)| session).collect();
            let message = session::FromControl::Changes(changes);
            self.effects.push(Effect::Broadcast(sessions, message));
        }
        for (session, node) in &mut self.nodes {
            if !std::mem::replace(&mut node.has_state, true) {
                self.effects.push(Effect::State(session));
            }
        }
        self.effects.extend(others);
        std::mem::take(&mut self.effects)
    }

    /// Handles a renewal from a node.
    pub fn renew(
        &mut self,
        now: clock::Instant,
        machine: &machine::Machine,
        session: Session,
        renewal: session::Renewal,
    ) {
        let Some(node) = self.nodes.get_mut(session) else {
            return;
        };
        if node.is_replaced {
            tracing::warn!("ignoring a renewal on a replaced session of a node");
            return;
        }
        let instance = renewal
            .server
            .as_ref()
            .map(|announcement| &announcement.instance);
        if node.server.as_ref() != instance {
            node.server = instance.cloned();
            self.detach_previous_session(session, instance);
        }
        match instance {
            Some(instance) if renewal.is_leaving => {
                if self.absent.get(instance) != Some(&Absence::Stopping) {
                    tracing::info!(
                        instance = instance.name,
                        "a node stops; its keys are handed over"
                    );
                }
                self.absent.insert(instance.clone(), Absence::Stopping);
            }
            Some(instance) => {
                self.absent.remove(instance);
            }
            None => {}
        }
        if let Some(ended) = renewal
            .ended
            .as_ref()
            .and_then(|instance| machine.find_server(instance))
        {
            self.leave(now, ended, "the backend server has ended");
        }
        let Some(announcement) = &renewal.server else {
            return;
        };
        let registered = machine.find_server(&announcement.instance);
        let is_known = match registered {
            Some(registered) => registered.announcement == *announcement,
            None => machine.has_departed(&announcement.instance),
        };
        if !is_known {
            self.join(now, announcement);
        }
        let Some(registered) = registered else {
            return;
        };
        if self.has_unreported_release(now, registered.id, &renewal.released) {
            tracing::info!(
                server = registered.id.0,
                "a lease is not renewed before the keys that an earlier process of the node has released are assigned"
            );
            return;
        }
        let version = id::Version(renewal.applied);
        match self.leases.renew(now, registered.member(), version) {
            Ok(()) => {
                let renewed = session::FromControl::Renewed {
                    sequence: renewal.sequence,
                    server: registered.id,
                };
                self.effects.push(Effect::Send(session, renewed));
            }
            Err(refusal) => {
                tracing::info!(server = registered.id.0, ?refusal, "a lease is not renewed");
            }
        }
        let report = Report {
            parts: renewal.parts,
            service_s: renewal.service_s,
            failing: renewal.failing,
        };
        self.reports.insert(registered.id, report);
        for refence in renewal.refences {
            let (service, range) = (refence.service, refence.range);
            let (first, last) = (range.first, range.last);
            tracing::info!(
                service,
                first,
                last,
                owner = registered.id.0,
                "assigning a new fence to keys"
            );
            self.proposals
                .push(machine::Command::Assign(vec![slice::Move {
                    service,
                    range,
                    expected: refence.fence,
                    from: Some(registered.id),
                    to: registered.id,
                    handover: None,
                }]));
        }
        let released = renewal.released.into_iter();
        let moves: Vec<_> = released
            .filter_map(|released| self.assign_released(now, machine, registered, released))
            .collect();
        if !moves.is_empty() {
            self.proposals.push(machine::Command::Assign(moves));
        }
    }

    /// Detaches the backend server from an earlier session of the same node, whose connection may
    /// have failed without being closed.
    fn detach_previous_session(&mut self, session: Session, instance: Option<&server::Instance>) {
        for (other_session, node) in &mut self.nodes {
            if other_session != session && node.server.is_some() && node.server.as_ref() == instance
            {
                node.server = None;
                node.is_replaced = true;
            }
        }
    }

    /// Proposes that a backend server joins, unless that was proposed recently.
    fn join(&mut self, now: clock::Instant, announcement: &server::Announcement) {
        let is_recent = self
            .proposed_joins
            .get(announcement)
            .is_some_and(|proposed_at| now.saturating_since(*proposed_at) < RETRY_DELAY);
        if !is_recent {
            self.proposed_joins
                .retain(|_, proposed_at| now.saturating_since(*proposed_at) < RETRY_DELAY);
            self.proposed_joins.insert(announcement.clone(), now);
            let command = machine::Command::Join(announcement.clone());
            self.proposals.push(command);
        }
    }

    /// Proposes the removal of a backend server, unless that was proposed recently.
    fn leave(&mut self, now: clock::Instant, server: &server::Server, cause: &'static str) {
        let is_recent = self
            .proposed_leaves
            .get(&server.id)
            .is_some_and(|proposed_at| now.saturating_since(*proposed_at) < RETRY_DELAY);
        if is_recent {
            return;
        }
        self.proposed_leaves.insert(server.id, now);
        // A lease that is renewed until the removal is applied would outlast it.
        self.leases.release(server.member());
        let instance = &server.announcement.instance.name;
        tracing::info!(
            server = server.id.0,
            instance,
            cause,
            "removing a backend server"
        );
        self.proposals.push(machine::Command::Leave {
            server: server.id,
            incarnation: server.incarnation,
        });
    }

    /// Handles a command that was applied.
    pub fn applied(
        &mut self,
        now: clock::Instant,
        machine: &machine::Machine,
        command: &machine::Command,
        output: &machine::Output,
    ) {
        self.changes.record(command, output);
        match (command, output) {
            (machine::Command::Join(announcement), machine::Output::Joined(id)) => {
                self.proposed_joins.remove(announcement);
                self.last_joined.insert(announcement.service.clone(), now);
                if let Some(server) = machine.servers().get(id)
                    && let Err(refusal) = self.leases.add(now, server.member())
                {
                    tracing::warn!(server = id.0, ?refusal, "a lease could not be granted");
                }
                self.remove_stale_state(machine);
            }
            (
                machine::Command::Leave {
                    server,
                    incarnation,
                },
                machine::Output::Left(true),
            ) => {
                let member = registry::Member::new(*server, *incarnation);
                self.leases.remove(member);
                self.remove_stale_state(machine);
            }
            (machine::Command::Assign(moves), machine::Output::Assigned(_)) => {
                self.pending_moves.retain(|pending| {
                    let is_done = moves.iter().any(|assigned| {
                        assigned.service == pending.service
                            && assigned.range == pending.change.range
                    });
                    !is_done
                });
                self.proposed_moves.retain(|(_, range, _), _| {
                    !moves.iter().any(|assigned| assigned.range == *range)
                });
                self.assigned_at = None;
            }
            (_, machine::Output::Refused(refusal)) => {
                tracing::info!(%refusal, "a command was refused");
            }
            _ => {}
        }
    }

    /// Drops the state of backend servers that were removed.
    fn remove_stale_state(&mut self, machine: &machine::Machine) {
        let servers = machine.servers();
        self.reports.retain(|id, _| servers.contains_key(id));
        self.last_moved.retain(|id, _| servers.contains_key(id));
        self.failing.retain(|id| servers.contains_key(id));
        self.absent
            .retain(|instance, _| machine.find_server(instance).is_some());
        self.proposed_leaves
            .retain(|id, _| servers.contains_key(id));
    }

    /// Updates which backend servers of a service fail requests while the others do not.
    fn update_outliers(&mut self, machine: &machine::Machine, service: &str) {
        let servers = machine.servers().values();
        let ids = servers.filter(|server| server.announcement.service == service);
        // A server without a report, for example of a node that has just started, says nothing about
        // the others.
        let (ids, shares): (Vec<_>, Vec<_>) = ids
            .filter_map(|server| Some((server.id, self.reports.get(&server.id)?.failing)))
            .unzip();
        let outliers = outlier::detect(&shares);
        for ((server, share), is_outlier) in ids.into_iter().zip(shares).zip(outliers) {
            let is_changed = match is_outlier {
                true => self.failing.insert(server),
                false => self.failing.remove(&server),
            };
            if is_changed {
                let server = server.0;
                tracing::info!(
                    server,
                    share,
                    is_outlier,
                    "judged a backend server by its failures"
                );
            }
        }
    }

    /// Returns the backend servers of a service as inputs of the planner.
    fn owners(
        &self,
        now: clock::Instant,
        machine: &machine::Machine,
        service: &str,
    ) -> Vec<planner::Owner> {
        let servers = machine.servers().values();
        let servers: Vec<_> = servers
            .filter(|server| server.announcement.service == service)
            .collect();
        let service_times = servers
            .iter()
            .filter_map(|server| self.reports.get(&server.id));
        let service_times: Vec<f64> = service_times
            .map(|report| report.service_s.max(0.001))
            .collect();
        let mean_s = service_times.iter().sum::<f64>() / service_times.len().max(1) as f64;
        servers
            .into_iter()
            .map(|server| {
                let is_failing = self.failing.contains(&server.id);
                let report = self.reports.get(&server.id);
                let absence = self.absent.get(&server.announcement.instance);
                // Until its domain is taken back, it gets nothing, and its keys move away.
                let is_evacuated = machine.evacuated().contains(&server.announcement.domain);
                let is_draining = server.announcement.is_draining || is_evacuated;
                let last_moved = self.last_moved.get(&server.id);
                planner::Owner {
                    id: server.id,
                    slots: f64::from(server.announcement.slots),
                    is_eligible: !is_draining && !is_failing && absence.is_none(),
                    is_leaving: is_draining || is_failing || absence == Some(&Absence::Stopping),
                    slowdown: report.map_or(1.0, |report| report.service_s.max(0.001) / mean_s),
                    parts: report.map_or_else(Vec::new, |report| report.parts.clone()),
                    has_stale_load: last_moved
                        .is_some_and(|moved_at| now.saturating_since(*moved_at) < STALE_LOAD_TIME),
                }
            })
            .collect()
    }
}
