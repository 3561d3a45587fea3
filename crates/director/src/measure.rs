//! Metrics of a control replica.

use error_stack::Report;
use sequoiayoke_telemetry::{label, metrics};

/// Instruments, which the control thread updates and the traffic thread renders.
#[derive(Debug)]
pub(crate) struct Measure {
    metrics: metrics::Metrics,
    orders: metrics::Counter,
    renewals: metrics::Counter,
    commands: metrics::Counter,
    moves: metrics::Counter,
    leads: metrics::Gauge,
    term: metrics::Gauge,
    commit: metrics::Gauge,
    nodes: metrics::Gauge,
    voters: metrics::Gauge,
    silent_voters: metrics::Gauge,
    evacuated: metrics::Gauge,
    closed: metrics::Counter,
}

/// Current status of a replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Status {
    /// Whether it is the leader.
    pub(crate) is_leader: bool,
    /// Its current term.
    pub(crate) term: u64,
    /// Index of the last committed entry.
    pub(crate) commit: u64,
    /// Number of connected nodes.
    pub(crate) nodes: usize,
    /// Number of voters in the group.
    pub(crate) voters: usize,
    /// Number of voters that this leader has not heard for too long.
    pub(crate) silent_voters: usize,
    /// Number of evacuated failure domains.
    pub(crate) evacuated: usize,
}

impl Measure {
    pub(crate) fn new() -> Result<Self, Report<metrics::Error>> {
        let metrics = metrics::Metrics::new()?;
        Ok(Self {
            orders: metrics.counter("orders", "Orders of operators by outcome."),
            renewals: metrics.counter("renewals", "Renewals of leases that were taken."),
            commands: metrics.counter("commands", "Commands that were applied."),
            moves: metrics.counter("moves", "Moves of key ranges that were planned."),
            leads: metrics.gauge("leads", "Whether this replica leads."),
            term: metrics.gauge("term", "Term of the replica."),
            commit: metrics.gauge("commit_index", "Last committed entry."),
            nodes: metrics.gauge("nodes", "Nodes in session."),
            voters: metrics.gauge("voters", "Voters of the group."),
            silent_voters: metrics.gauge(
                "silent_voters",
                "Voters that this leader has not heard for too long.",
            ),
            evacuated: metrics.gauge("evacuated_domains", "Evacuated failure domains."),
            closed: metrics.counter(
                "connections_closed",
                "Connections that were closed for lack of room, by who had opened them.",
            ),
            metrics,
        })
    }

    pub(crate) fn record_order(&self, outcome: &'static str) {
        let labels = label::Set::new([label::Label::Kind(outcome)]);
        self.orders.add(1, &labels);
    }

    pub(crate) fn record_closed(&self, opener: &'static str) {
        let labels = label::Set::new([label::Label::Kind(opener)]);
        self.closed.add(1, &labels);
    }

    pub(crate) fn record_renewal(&self) {
        self.renewals.add(1, &label::Set::empty());
    }

    pub(crate) fn record_commands(&self, commands: usize) {
        self.commands.add(commands as u64, &label::Set::empty());
    }

    pub(crate) fn record_moves(&self, moves: usize) {
        self.moves.add(moves as u64, &label::Set::empty());
    }

    pub(crate) fn set_status(&self, status: Status) {
        let labels = label::Set::empty();
        self.leads
            .set(f64::from(u8::from(status.is_leader)), &labels);
        self.term.set(status.term as f64, &labels);
        self.commit.set(status.commit as f64, &labels);
        self.nodes.set(status.nodes as f64, &labels);
        self.voters.set(status.voters as f64, &labels);
        self.silent_voters.set(status.silent_voters as f64, &labels);
        self.evacuated.set(status.evacuated as f64, &labels);
    }

    /// Returns the metrics in the Prometheus text format.
    pub(crate) fn render(&self) -> Result<String, Report<metrics::Error>> {
        self.metrics.render()
    }
}
