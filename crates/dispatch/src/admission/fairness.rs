//! Shares of the requests that a backend server admits, by class.

use std::collections;

/// Number of offers at which the counts are halved, so that recent offers weigh more.
const MAX_COUNTED_OFFERS: f64 = 60.0;
/// Admission ratio of a class, relative to that of all classes, below which its requests are
/// queued ahead of all other requests except calls between services.
const STARVED_RATIO: f64 = 0.4;
/// Relative admission ratio below which the requests of a class are queued ahead of calls too.
const SEVERELY_STARVED_RATIO: f64 = 0.25;
/// Minimum number of offers of a class before its ratio is reliable enough for that.
const MIN_RATIO_OFFERS: f64 = 12.0;

/// Decaying counts of the requests that were offered and admitted.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    offered: f64,
    admitted: f64,
}

impl Count {
    fn record_offer(&mut self) {
        if self.offered >= MAX_COUNTED_OFFERS {
            self.offered /= 2.0;
            self.admitted /= 2.0;
        }
        self.offered += 1.0;
    }

    /// Returns the ratio of admitted to offered requests, or 1 before the first offer.
    fn ratio(&self) -> f64 {
        if self.offered < 1.0 {
            return 1.0;
        }
        self.admitted / self.offered
    }
}

/// Weight of a new request in the moving average of the admitted part.
const TIMELY_WEIGHT: f64 = 0.03;

/// Part of the requests in time for their target that were admitted lately.
#[derive(Clone, Copy, Debug)]
pub(super) struct Timely(f64);

impl Timely {
    pub(super) const fn new() -> Self {
        Self(1.0)
    }

    pub(super) fn record(&mut self, is_admitted: bool) {
        self.0 += TIMELY_WEIGHT * (f64::from(u8::from(is_admitted)) - self.0);
    }

    pub(super) const fn ratio(self) -> f64 {
        self.0
    }
}

/// How far a class gets less than its share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Share {
    /// Its requests are queued by rank.
    Sufficient,
    /// Its requests are queued ahead of all others except calls.
    Starved,
    /// Its requests are queued ahead of calls too.
    SeverelyStarved,
}

/// Counts of all classes.
#[derive(Debug, Default)]
pub(super) struct Shares {
    overall: Count,
    classes: collections::HashMap<u64, Count>,
}

impl Shares {
    /// Returns the share of a class before its next request, which is counted as offered.
    pub(super) fn offer(&mut self, class: u64) -> Share {
        let overall_ratio = self.overall.ratio();
        let count = self.classes.entry(class).or_default();
        let share = match count.ratio() / overall_ratio {
            relative if relative < SEVERELY_STARVED_RATIO && count.offered >= MIN_RATIO_OFFERS => {
                Share::SeverelyStarved
            }
            relative if relative < STARVED_RATIO => Share::Starved,
            _ => Share::Sufficient,
        };
        count.record_offer();
        self.overall.record_offer();
        share
    }

    /// Counts a request as admitted.
    pub(super) fn admit(&mut self, class: u64) {
        self.overall.admitted += 1.0;
        self.classes.entry(class).or_default().admitted += 1.0;
    }

    /// Takes back the admission of a request that was refused after all.
    pub(super) fn revoke(&mut self, class: u64) {
        let count = self.classes.entry(class).or_default();
        count.admitted = (count.admitted - 1.0).max(0.0);
        self.overall.admitted = (self.overall.admitted - 1.0).max(0.0);
    }
}
