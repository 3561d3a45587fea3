//! What the leading replica decides: leases, memberships and owners.
//!
//! The leader is pure. It takes messages of nodes and applied commands, and
//! collects proposals for the log and messages to nodes. All of its state can
//! be lost: nodes state what they hold with each renewal, and a new leader
//! treats every lease as given just before it was elected.

mod plan;

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

/// Pause between two looks at what is to be planned.
const PLAN_PAUSE: Duration = Duration::from_millis(300);
/// Time after a move in which reports still show the load as it was before:
/// two reports of load and one renewal.
const SETTLE: Duration = Duration::from_millis(1_600);
/// Time after which a proposal or move that led to nothing is made again.
const RETRY: Duration = Duration::from_secs(2);
/// Time for which a mostly vacant service waits for more backend servers to
/// join, so that its keys are not all given to the first one.
const GATHER: Duration = Duration::from_millis(600);
/// Longest time for which a service waits for more backend servers.
const GATHER_MAX: Duration = Duration::from_secs(3);
/// Nodes that may be connected at the same time.
const MAX_SESSIONS: usize = 12_288;

/// A message to a node.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Sends the message.
    Send(Session, session::FromControl),
    /// Sends these sections of the state.
    State(Session, Sections),
}

/// Sections of the state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Sections {
    /// The configuration.
    pub config: bool,
    /// The backend servers.
    pub servers: bool,
    /// The slices.
    pub tables: bool,
}

impl Sections {
    const ALL: Self = Self {
        config: true,
        servers: true,
        tables: true,
    };
}

#[derive(Debug)]
struct Node {
    server: Option<server::Instance>,
    due: Sections,
}

/// Why the node of a backend server can take no keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Absence {
    /// It is about to stop, and can still release keys.
    Stops,
    /// It has no session.
    Away,
}

#[derive(Debug)]
struct Report {
    parts: Vec<usage::Part>,
    service_s: f64,
    failing: f64,
}

#[derive(Debug)]
struct Pending {
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
    pending: Vec<Pending>,
    joins: collections::BTreeMap<server::Announcement, clock::Instant>,
    leaves: collections::BTreeMap<id::Server, clock::Instant>,
    joined: collections::BTreeMap<String, clock::Instant>,
    vacant: collections::BTreeMap<String, clock::Instant>,
    assigned: Option<clock::Instant>,
    /// Backend servers whose nodes have said that they stop, or have no session since.
    absent: collections::BTreeMap<server::Instance, Absence>,
    /// Backend servers that fail while the others of their service do not.
    failing: collections::BTreeSet<id::Server>,
    /// When each backend server last took part in a move.
    moved: collections::BTreeMap<id::Server, clock::Instant>,
    planned: clock::Instant,
    proposals: Vec<machine::Command>,
    effects: Vec<Effect>,
}

impl Leader {
    /// Takes over; every backend server may hold a lease from now.
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
            pending: Vec::new(),
            joins: collections::BTreeMap::new(),
            leaves: collections::BTreeMap::new(),
            joined: collections::BTreeMap::new(),
            vacant: collections::BTreeMap::new(),
            assigned: None,
            absent: collections::BTreeMap::new(),
            failing: collections::BTreeSet::new(),
            moved: collections::BTreeMap::new(),
            planned: now,
            proposals: Vec::new(),
            effects: Vec::new(),
        }
    }

    /// Adds a connection; returns `None` if there are too many.
    pub fn node_up(&mut self) -> Option<Session> {
        if self.nodes.len() >= MAX_SESSIONS {
            return None;
        }
        Some(self.nodes.insert(Node {
            server: None,
            due: Sections::ALL,
        }))
    }

    /// Removes a connection; the lease goes on until it lapses.
    pub fn node_down(&mut self, session: Session) {
        let node = self.nodes.remove(session);
        if let Some(instance) = node.and_then(|node| node.server) {
            self.absent.insert(instance, Absence::Away);
        }
    }

    /// Takes the commands to propose.
    pub fn take_proposals(&mut self) -> Vec<machine::Command> {
        std::mem::take(&mut self.proposals)
    }

    /// Takes the messages to send, with the sections that are due last.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        for (session, node) in &mut self.nodes {
            let due = std::mem::take(&mut node.due);
            if due != Sections::default() {
                self.effects.push(Effect::State(session, due));
            }
        }
        std::mem::take(&mut self.effects)
    }

    /// Takes a renewal of a node.
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
        let instance = renewal.server.as_ref().map(|one| &one.instance);
        if node.server.as_ref() != instance {
            node.server = instance.cloned();
            self.end_former(session, instance);
        }
        match instance {
            Some(instance) if renewal.is_leaving => {
                if self.absent.get(instance) != Some(&Absence::Stops) {
                    tracing::info!(
                        instance = instance.name,
                        "a node stops; its keys are handed over"
                    );
                }
                self.absent.insert(instance.clone(), Absence::Stops);
            }
            Some(instance) => {
                self.absent.remove(instance);
            }
            None => {}
        }
        if let Some(ended) = renewal
            .ended
            .as_ref()
            .and_then(|one| machine.find_server(one))
        {
            self.leave(now, ended, "the backend server has ended");
        }
        let Some(announcement) = &renewal.server else {
            return;
        };
        let known = machine.find_server(&announcement.instance);
        if known.is_none_or(|known| known.announcement != *announcement) {
            self.join(now, announcement);
        }
        let Some(known) = known else {
            return;
        };
        let version = id::Version(renewal.applied);
        match self.leases.renew(now, known.member(), version) {
            Ok(()) => {
                let renewed = session::FromControl::Renewed {
                    sequence: renewal.sequence,
                    server: known.id,
                };
                self.effects.push(Effect::Send(session, renewed));
            }
            Err(refusal) => {
                tracing::info!(server = known.id.0, ?refusal, "a lease is not renewed");
            }
        }
        let report = Report {
            parts: renewal.parts,
            service_s: renewal.service_s,
            failing: renewal.failing,
        };
        self.reports.insert(known.id, report);
        for refence in renewal.refences {
            let (service, range) = (refence.service, refence.range);
            let (first, last) = (range.first, range.last);
            tracing::info!(
                service,
                first,
                last,
                owner = known.id.0,
                "giving keys a new fence"
            );
            self.proposals
                .push(machine::Command::Assign(vec![slice::Move {
                    service,
                    range,
                    expected: refence.fence,
                    from: Some(known.id),
                    to: known.id,
                    handover: None,
                }]));
        }
        for released in renewal.released {
            self.released(now, machine, known, released);
        }
    }

    /// Takes the backend server from an earlier session of the same node, which
    /// may be silent without having ended.
    fn end_former(&mut self, session: Session, instance: Option<&server::Instance>) {
        for (other, node) in &mut self.nodes {
            if other != session && node.server.is_some() && node.server.as_ref() == instance {
                node.server = None;
            }
        }
    }

    fn join(&mut self, now: clock::Instant, announcement: &server::Announcement) {
        let recent = self
            .joins
            .get(announcement)
            .is_some_and(|at| now.saturating_since(*at) < RETRY);
        if !recent {
            self.joins.retain(|_, at| now.saturating_since(*at) < RETRY);
            self.joins.insert(announcement.clone(), now);
            let command = machine::Command::Join(announcement.clone());
            self.proposals.push(command);
        }
    }

    fn leave(&mut self, now: clock::Instant, server: &server::Server, cause: &'static str) {
        let recent = self
            .leaves
            .get(&server.id)
            .is_some_and(|at| now.saturating_since(*at) < RETRY);
        if recent {
            return;
        }
        self.leaves.insert(server.id, now);
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

    /// Gives a released range to its new owner.
    fn released(
        &mut self,
        now: clock::Instant,
        machine: &machine::Machine,
        from: &server::Server,
        released: session::Released,
    ) {
        let Some(table) = machine.tables().get(&released.service) else {
            return;
        };
        let slice = table.find(released.range.first);
        if slice.owner != Some(from.id) || slice.fence != released.fence {
            return;
        }
        let owners = self.owners(now, machine, &released.service);
        let planned = self.pending.iter_mut().find(|pending| {
            pending.service == released.service && pending.change.range == released.range
        });
        let open = |id: id::Server| owners.iter().any(|one| one.id == id && one.is_eligible);
        let to = match planned {
            Some(pending) => {
                pending.since = now;
                Some(pending.change.to).filter(|to| open(*to))
            }
            None => None,
        };
        let to = to.or_else(|| {
            let mut others = owners
                .iter()
                .filter(|one| one.is_eligible && one.id != from.id);
            others.next().map(|one| one.id)
        });
        let to = to.unwrap_or(from.id);
        self.proposals
            .push(machine::Command::Assign(vec![slice::Move {
                service: released.service,
                range: released.range,
                expected: released.fence,
                from: Some(from.id),
                to,
                handover: released.handover,
            }]));
    }

    /// Takes a command that has been applied.
    pub fn applied(
        &mut self,
        now: clock::Instant,
        machine: &machine::Machine,
        command: &machine::Command,
        output: &machine::Output,
    ) {
        match (command, output) {
            (machine::Command::Configure(_), machine::Output::Configured) => {
                self.mark(|due| (due.config, due.tables) = (true, true));
            }
            (machine::Command::Join(announcement), machine::Output::Joined(id)) => {
                self.joins.remove(announcement);
                self.joined.insert(announcement.service.clone(), now);
                if let Some(server) = machine.servers().get(id)
                    && let Err(refusal) = self.leases.add(now, server.member())
                {
                    tracing::warn!(server = id.0, ?refusal, "a lease could not be given");
                }
                self.forget_absent(machine);
                self.mark(|due| (due.servers, due.tables) = (true, true));
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
                self.forget_absent(machine);
                self.mark(|due| (due.servers, due.tables) = (true, true));
            }
            (machine::Command::Assign(moves), machine::Output::Assigned(_)) => {
                self.pending.retain(|pending| {
                    let done = moves.iter().any(|one| {
                        one.service == pending.service && one.range == pending.change.range
                    });
                    !done
                });
                self.assigned = None;
                self.mark(|due| due.tables = true);
            }
            (_, machine::Output::Refused(refusal)) => {
                tracing::info!(%refusal, "a command was refused");
            }
            _ => {}
        }
    }

    /// Drops what is known of backend servers that are no longer there.
    fn forget_absent(&mut self, machine: &machine::Machine) {
        let servers = machine.servers();
        self.reports.retain(|id, _| servers.contains_key(id));
        self.moved.retain(|id, _| servers.contains_key(id));
        self.failing.retain(|id| servers.contains_key(id));
        self.absent
            .retain(|instance, _| machine.find_server(instance).is_some());
        self.leaves.retain(|id, _| servers.contains_key(id));
    }

    /// Judges which backend servers of a service fail while the others do not.
    fn judge(&mut self, machine: &machine::Machine, service: &str) {
        let servers = machine.servers().values();
        let own = servers.filter(|server| server.announcement.service == service);
        let own: Vec<_> = own.map(|server| server.id).collect();
        let share = |id: &id::Server| self.reports.get(id).map_or(0.0, |one| one.failing);
        let shares: Vec<_> = own.iter().map(share).collect();
        let outliers = outlier::detect(&shares);
        for ((server, share), is_outlier) in own.into_iter().zip(shares).zip(outliers) {
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

    /// Returns the backend servers of a service as the planner sees them.
    fn owners(
        &self,
        now: clock::Instant,
        machine: &machine::Machine,
        service: &str,
    ) -> Vec<planner::Owner> {
        let servers = machine.servers().values();
        let own: Vec<_> = servers
            .filter(|server| server.announcement.service == service)
            .collect();
        let times = own.iter().filter_map(|server| self.reports.get(&server.id));
        let times: Vec<f64> = times.map(|report| report.service_s.max(0.001)).collect();
        let mean = times.iter().sum::<f64>() / times.len().max(1) as f64;
        own.into_iter()
            .map(|server| {
                let is_failing = self.failing.contains(&server.id);
                let report = self.reports.get(&server.id);
                let absence = self.absent.get(&server.announcement.instance);
                let is_draining = server.announcement.is_draining;
                let moved = self.moved.get(&server.id);
                planner::Owner {
                    id: server.id,
                    slots: f64::from(server.announcement.slots),
                    is_eligible: !is_draining && !is_failing && absence.is_none(),
                    is_leaving: is_draining || is_failing || absence == Some(&Absence::Stops),
                    slowdown: report.map_or(1.0, |one| one.service_s.max(0.001) / mean),
                    parts: report.map_or_else(Vec::new, |one| one.parts.clone()),
                    has_stale_load: moved.is_some_and(|at| now.saturating_since(*at) < SETTLE),
                }
            })
            .collect()
    }

    fn mark<F>(&mut self, change: F)
    where
        F: Fn(&mut Sections),
    {
        for node in self.nodes.values_mut() {
            change(&mut node.due);
        }
    }
}
