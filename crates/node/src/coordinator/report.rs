//! Reports of load and health from the node to control.
//!
//! A report contains only changes and a bounded number of slices, which keeps it
//! within the budget of 2 KB/s for traffic to control.

use std::collections;

use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_traffic::health;
use sequoiayoke_traffic::hot;
use sequoiayoke_wire::session;

use crate::traffic::evidence;

/// Maximum number of slices in one report; 24 slices take about 750 bytes.
const MAX_SLICES: usize = 24;
/// Number of tracked keys that are searched for the hottest key of each slice.
const MAX_KEYS: usize = 64;
/// Smallest change of a rate that is reported, as a fraction of the last reported rate.
const MIN_RELATIVE_CHANGE: f64 = 0.1;
/// Smallest change of a rate that is reported, in requests per second.
const MIN_RATE_CHANGE: f64 = 1.0;

/// Builds reports of what has changed since the last report.
#[derive(Debug, Default)]
pub struct Reporter {
    rates: collections::BTreeMap<(id::Service, key::Hash), f64>,
}

/// A report to control.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Load of the slices whose rate changed.
    pub load: Vec<session::Load>,
    /// Health of the backend server.
    pub health: Option<session::Health>,
}

impl Reporter {
    /// Returns the report for `now`.
    pub fn report(&mut self, now: clock::Instant, evidence: &evidence::Evidence) -> Report {
        let load = evidence.load(now, MAX_KEYS);
        let mut changed: Vec<_> = load
            .slices
            .iter()
            .filter(|slice| self.has_changed(slice))
            .collect();
        // If not all slices fit, those with the highest rates are reported.
        changed.sort_by(|left, right| right.rate.total_cmp(&left.rate));
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

    /// Discards the last reported values, so that a new leader gets all of them.
    pub fn reset(&mut self) {
        self.rates.clear();
    }

    fn has_changed(&self, slice: &hot::Slice) -> bool {
        let last = self.rates.get(&(slice.service, slice.start));
        let last = last.copied().unwrap_or(0.0);
        let change = (slice.rate - last).abs();
        change >= MIN_RATE_CHANGE && change >= last * MIN_RELATIVE_CHANGE
    }
}

fn encode(slice: &hot::Slice, load: &evidence::Load) -> session::Load {
    // A key lies in the last slice that starts at or before it.
    let slice_of = |hot: &hot::Key| {
        let starts = load.slices.iter();
        let before = starts.filter(|slice| slice.service == hot.service && slice.start <= hot.hash);
        before.map(|slice| slice.start).max()
    };
    let mut keys = load.keys.iter();
    let hottest =
        keys.find(|hot| hot.service == slice.service && slice_of(hot) == Some(slice.start));
    session::Load {
        service: slice.service.0,
        start: slice.start.0,
        rate: slice.rate as f32,
        hot: hottest.map_or(0, |hot| hot.hash.0),
        // Uses the lower bound of the estimate, so that a cold key is not reported as hot.
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
