//! Metrics of a control replica.

use error_stack::Report;
use sequoiayoke_telemetry::{label, metrics};

/// Instruments; the control thread writes and the traffic thread renders.
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
}

/// State of a replica at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Figures {
    /// Whether it leads.
    pub(crate) leads: bool,
    /// Its term.
    pub(crate) term: u64,
    /// Last committed entry.
    pub(crate) commit: u64,
    /// Nodes in session.
    pub(crate) nodes: usize,
    /// Voters of the group.
    pub(crate) voters: usize,
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
            metrics,
        })
    }

    pub(crate) fn order(&self, outcome: &'static str) {
        let labels = label::Set::new([label::Label::Kind(outcome)]);
        self.orders.add(1, &labels);
    }

    pub(crate) fn renewal(&self) {
        self.renewals.add(1, &label::Set::empty());
    }

    pub(crate) fn applied(&self, commands: usize) {
        self.commands.add(commands as u64, &label::Set::empty());
    }

    pub(crate) fn moved(&self, moves: usize) {
        self.moves.add(moves as u64, &label::Set::empty());
    }

    pub(crate) fn set(&self, figures: Figures) {
        let none = label::Set::empty();
        self.leads.set(f64::from(u8::from(figures.leads)), &none);
        self.term.set(figures.term as f64, &none);
        self.commit.set(figures.commit as f64, &none);
        self.nodes.set(figures.nodes as f64, &none);
        self.voters.set(figures.voters as f64, &none);
    }

    /// Returns the metrics as text.
    pub(crate) fn render(&self) -> Result<String, Report<metrics::Error>> {
        self.metrics.render()
    }
}
