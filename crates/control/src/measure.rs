//! Metrics of a control replica.
//!
//! The coordinator counts only rare events when they happen: placements, tickets and assigned
//! slices. All other values are in a [`Figures`] that it collects when the metrics are
//! rendered, so that they add no cost to each event.

use sequoiayoke_telemetry::{label, metrics};

/// State of one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Number of slices.
    pub slices: u64,
    /// Number of slices without a holder.
    pub vacant: u64,
    /// Largest share of the hash space of any server over the mean share.
    pub imbalance: f64,
    /// Time for which slices had no holder since the values were last collected, in milliseconds.
    pub unavailable_ms: u64,
}

/// State of a replica at one moment; values that only a leader knows are 0 on a follower.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    /// Whether this replica leads.
    pub leads: bool,
    /// Term of the replicated log.
    pub term: u64,
    /// Last committed position.
    pub commit: u64,
    /// Version of the view.
    pub version: u64,
    /// Nodes with a valid lease.
    pub live: usize,
    /// Live nodes that have not confirmed the current version.
    pub behind: usize,
    /// Sessions with nodes.
    pub sessions: usize,
    /// State of each service.
    pub services: Vec<Service>,
}

/// Metrics of a control replica.
#[derive(Debug)]
pub struct Measure {
    metrics: metrics::Metrics,
    leads: metrics::Gauge,
    term: metrics::Gauge,
    commit: metrics::Gauge,
    version: metrics::Gauge,
    live: metrics::Gauge,
    behind: metrics::Gauge,
    sessions: metrics::Gauge,
    slices: metrics::Gauge,
    vacant: metrics::Gauge,
    imbalance: metrics::Gauge,
    unavailable: metrics::Counter,
    placements: metrics::Counter,
    assigned: metrics::Counter,
    tickets: metrics::Counter,
}

impl Measure {
    /// Creates the metrics of a replica.
    ///
    /// # Errors
    ///
    /// Fails if the exporter cannot be set up.
    pub fn new() -> Result<Self, error_stack::Report<metrics::Error>> {
        let registry = metrics::Metrics::new()?;
        Ok(Self {
            leads: registry.gauge("leads", "1 if this replica leads, else 0."),
            term: registry.gauge("term", "Term of the replicated log."),
            commit: registry.gauge("commit", "Last committed position of the replicated log."),
            version: registry.gauge("version", "Version of the view that this replica has."),
            live: registry.gauge("live_nodes", "Nodes whose lease holds; 0 on a follower."),
            behind: registry.gauge(
                "nodes_behind",
                "Live nodes that have not confirmed the present version.",
            ),
            sessions: registry.gauge("sessions", "Sessions with nodes."),
            slices: registry.gauge("slices", "Slices, by service."),
            vacant: registry.gauge("vacant_slices", "Slices without a holder, by service."),
            imbalance: registry.gauge(
                "imbalance",
                "Largest share of any server over the mean share, by service; 1 is even.",
            ),
            unavailable: registry.counter(
                "unavailable_slice_ms",
                "Milliseconds for which slices had no holder, summed over slices, by service.",
            ),
            placements: registry
                .counter("placements", "Decisions of the planner, by kind and cause."),
            assigned: registry.counter("assigned_slices", "Slices that got a holder, by service."),
            tickets: registry.counter("tickets", "Decided tickets, by kind of decision."),
            metrics: registry,
        })
    }

    /// Counts a decision of the planner.
    pub fn placed(&self, kind: &'static str, cause: &'static str) {
        let labels = [label::Label::Kind(kind), label::Label::Cause(cause)];
        self.placements.add(1, &label::Set::new(labels));
    }

    /// Counts slices of `service` that got a holder.
    pub fn assigned(&self, service: &str, slices: u64) {
        let labels = label::Set::new([label::Label::Service(service)]);
        self.assigned.add(slices, &labels);
    }

    /// Counts a ticket; `kind` is `accepted`, `repeated` or `refused`.
    pub fn ticket(&self, kind: &'static str) {
        self.tickets
            .add(1, &label::Set::new([label::Label::Kind(kind)]));
    }

    /// Returns the metrics as Prometheus text.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be written as text.
    pub fn render(&self, figures: &Figures) -> Result<String, error_stack::Report<metrics::Error>> {
        let unlabelled = label::Set::empty();
        self.leads
            .set(f64::from(u8::from(figures.leads)), &unlabelled);
        let numbers = [(&self.term, figures.term), (&self.commit, figures.commit)];
        for (gauge, number) in numbers
            .into_iter()
            .chain([(&self.version, figures.version)])
        {
            gauge.set(number as f64, &unlabelled);
        }
        let (live, behind) = (figures.live, figures.behind);
        let counts = [(&self.live, live), (&self.behind, behind)];
        for (gauge, count) in counts
            .into_iter()
            .chain([(&self.sessions, figures.sessions)])
        {
            gauge.set(count as f64, &unlabelled);
        }
        for service in &figures.services {
            let labels = label::Set::new([label::Label::Service(&service.name)]);
            self.slices.set(service.slices as f64, &labels);
            self.vacant.set(service.vacant as f64, &labels);
            self.imbalance.set(service.imbalance, &labels);
            self.unavailable.add(service.unavailable_ms, &labels);
        }
        self.metrics.render()
    }
}
