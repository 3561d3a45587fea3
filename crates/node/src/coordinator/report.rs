//! What the node reports to control about load and health.
//!
//! A report holds only what has changed, and a bounded number of slices, so that
//! it stays within the budget of 2 KB/s for control.

use std::collections;

use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_traffic::health;
use sequoiayoke_traffic::hot;
use sequoiayoke_wire::session;

use crate::traffic::evidence;

/// Slices in one report; 24 of them take about 750 bytes.
const MAX_SLICES: usize = 24;
/// Keys that are looked at for the hottest of each slice.
const KEYS: usize = 64;
/// Change of a rate that is reported, as a part of the rate.
const RATE_CHANGE: f64 = 0.1;
/// Change of a rate below which nothing is reported, in requests a second.
const RATE_FLOOR: f64 = 1.0;

/// What was reported last.
#[derive(Debug, Default)]
pub struct Reporter {
    rates: collections::BTreeMap<(id::Service, key::Hash), f64>,
}

/// A report on its way to control.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Load of slices that changed.
    pub load: Vec<session::Load>,
    /// Health of the backend server.
    pub health: Option<session::Health>,
}

impl Reporter {
    /// Makes the report for `now`.
    pub fn report(&mut self, now: clock::Instant, evidence: &evidence::Evidence) -> Report {
        let load = evidence.load(now, KEYS);
        let mut changed: Vec<_> = load
            .slices
            .iter()
            .filter(|slice| self.has_changed(slice))
            .collect();
        // The largest rates matter most if not all fit.
        changed.sort_by(|one, other| other.rate.total_cmp(&one.rate));
        changed.truncate(MAX_SLICES);
        let slices = changed.into_iter().map(|slice| {
            self.rates.insert((slice.service, slice.start), slice.rate);
            encode(slice, &load)
        });
        Report {
            load: slices.collect(),
            health: Some(encode_health(&evidence.health(now))),
        }
    }

    /// Forgets what was reported, since a new leader knows nothing of it.
    pub fn reset(&mut self) {
        self.rates.clear();
    }

    fn has_changed(&self, slice: &hot::Slice) -> bool {
        let last = self.rates.get(&(slice.service, slice.start));
        let last = last.copied().unwrap_or(0.0);
        let change = (slice.rate - last).abs();
        change >= RATE_FLOOR && change >= last * RATE_CHANGE
    }
}

fn encode(slice: &hot::Slice, load: &evidence::Load) -> session::Load {
    // The slice of a key is the last one that starts at or before it.
    let slice_of = |hot: &hot::Key| {
        let starts = load.slices.iter();
        let before = starts.filter(|one| one.service == hot.service && one.start <= hot.hash);
        before.map(|one| one.start).max()
    };
    let mut keys = load.keys.iter();
    let hottest =
        keys.find(|hot| hot.service == slice.service && slice_of(hot) == Some(slice.start));
    session::Load {
        service: slice.service.0,
        start: slice.start.0,
        rate: slice.rate as f32,
        hot: hottest.map_or(0, |hot| hot.hash.0),
        // The lower bound of the estimate, so that no cold key passes for a hot one.
        hot_rate: hottest.map_or(0.0, |hot| (hot.rate - hot.excess) as f32),
    }
}

fn encode_health(report: &health::Report) -> session::Health {
    session::Health {
        reported: report.probe != Some(health::Probe::Unhealthy),
        state: match report.state {
            health::State::Healthy => 0,
            health::State::Suspect => 1,
            health::State::Failing => 2,
        },
        latency_us: u32::try_from(report.latency.as_micros()).unwrap_or(u32::MAX),
    }
}
