//! Deployments, and the sequences of load and faults that are simulated for them.

use sequoiayoke_placement::service;

/// Deployment of a user.
pub(crate) struct Deployment {
    pub(crate) name: &'static str,
    /// Number of servers of each service.
    pub(crate) servers: [usize; 3],
    pub(crate) slots: u32,
    pub(crate) weights: service::Weights,
}

pub(crate) const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "Ankesör",
        servers: [5, 4, 3],
        slots: 12,
        weights: service::Weights {
            imbalance: 1,
            churn: 2,
            unavailable: 5,
        },
    },
    Deployment {
        name: "Chao Phraya",
        servers: [5, 3, 3],
        slots: 9,
        weights: service::Weights {
            imbalance: 5,
            churn: 2,
            unavailable: 1,
        },
    },
];

/// Kind of a sequence.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Many keys of one district become hot at the same time.
    Storm,
    /// A few keys of one mill become very hot.
    Harvest,
    /// Each server in turn drains, stops and rejoins.
    Rolling,
    /// A failure domain is lost and rejoins.
    Domain,
}

pub(crate) const KINDS: [Kind; 4] = [Kind::Storm, Kind::Harvest, Kind::Rolling, Kind::Domain];

impl Kind {
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Storm => "district storm",
            Self::Harvest => "harvest morning",
            Self::Rolling => "rolling restart",
            Self::Domain => "lost domain",
        }
    }

    /// Returns the share of keys that become hot, in thousandths, and the factor
    /// by which their rate grows.
    pub(crate) const fn hot_keys(self) -> (u32, f64) {
        match self {
            Self::Storm => (50, 20.0),
            Self::Harvest => (2, 200.0),
            Self::Rolling | Self::Domain => (0, 1.0),
        }
    }
}

/// Change of the state of a server.
#[derive(Clone, Copy)]
pub(crate) enum Event {
    Lost(usize),
    Drain(usize),
    Stop(usize),
    Rejoin(usize),
}

/// Events in the order of their times, which are in milliseconds.
pub(crate) struct Sequence {
    pub(crate) events: Vec<(u64, Event)>,
    pub(crate) end: u64,
}

/// Time after which the placement has settled and the measurement begins.
pub(crate) const SETTLED_MS: u64 = 120_000;
const SURGE_START_MS: u64 = SETTLED_MS + 30_000;
const SURGE_END_MS: u64 = SETTLED_MS + 330_000;
/// Time over which a surge rises, and over which it falls.
const SURGE_SLOPE_MS: u64 = 30_000;

impl Sequence {
    pub(crate) fn new(kind: Kind, servers: usize) -> Self {
        let mut events = Vec::new();
        match kind {
            Kind::Storm | Kind::Harvest => {}
            Kind::Rolling => {
                for server in 0..servers {
                    let start = SETTLED_MS + 10_000 + server as u64 * 70_000;
                    events.push((start, Event::Drain(server)));
                    events.push((start + 10_000, Event::Stop(server)));
                    events.push((start + 30_000, Event::Rejoin(server)));
                }
            }
            Kind::Domain => {
                let lost = (0..servers).filter(|server| server % 3 == 0);
                for server in lost {
                    events.push((SETTLED_MS + 30_000, Event::Lost(server)));
                    events.push((SETTLED_MS + 210_000, Event::Rejoin(server)));
                }
                events.sort_by_key(|(at, _)| *at);
            }
        }
        Self {
            events,
            end: SETTLED_MS + 420_000,
        }
    }

    /// Returns the level of the surge, from 0 to 1.
    pub(crate) fn surge_level(&self, now: u64) -> f64 {
        let up =
            now.saturating_sub(SURGE_START_MS).min(SURGE_SLOPE_MS) as f64 / SURGE_SLOPE_MS as f64;
        let down =
            now.saturating_sub(SURGE_END_MS).min(SURGE_SLOPE_MS) as f64 / SURGE_SLOPE_MS as f64;
        up - down
    }
}
