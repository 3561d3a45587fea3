//! Delivery to a backend server that collects its grants with its announcements.
//!
//! An announcement answers the response to the one before it: keys that it reports are granted, and
//! keys that the response left out are released once it no longer reports them. The time of a grant
//! counts from when the announcement was sent, so it ends no later than one that counts from its
//! arrival, even if the announcement or its response is delayed.

use std::time::Duration;

use sequoiayoke_catalog::{server, slice};
use sequoiayoke_link::session;
use sequoiayoke_model::clock;

use super::delivery::{Collect, Delivery, Way};
use super::{HOLD_PERCENT, MIN_HOLD, State};
use crate::holdings;

/// Number of responses in a row with a grant that the backend server does not take, after which it
/// is taken to have seen a later fence.
const MAX_MISSES: u32 = 3;

/// The latest response with keys.
#[derive(Debug)]
pub(super) struct Offer {
    grants: Vec<(slice::Range, slice::Fence)>,
    until: clock::Instant,
    /// Latest time at which the grants end, also by a slow clock.
    latest_end: clock::Instant,
}

/// Progress of a backend server that collects its grants.
#[derive(Debug, Default)]
pub(super) struct Collection {
    /// Sequence number of the latest announcement.
    sequence: Option<u64>,
    /// The response that the next announcement answers.
    offer: Option<Offer>,
    /// Keys that the backend server reported as released without a release of this process, which
    /// replaced the one that had released them.
    returned: Vec<holdings::Released>,
    /// Latest fence that their grants may have. A later grant follows another owner, whose state
    /// counts.
    returned_fence: slice::Fence,
}

impl Delivery for Collect {
    fn send_grants(_state: &mut State, _now: clock::Instant) {}

    fn send_releases(_state: &mut State, _now: clock::Instant) {}
}

impl State {
    /// Records what the backend server reports about its keys with an announcement; returns whether
    /// the response may assign keys.
    ///
    /// Only the response to the latest announcement may: an earlier one that arrives late shows an
    /// earlier state, and the backend server no longer waits for its response.
    pub fn record_report(
        &mut self,
        now: clock::Instant,
        instance: &server::Instance,
        sequence: u64,
        report: &holdings::Report,
    ) -> bool {
        let backend = self.backend.as_ref();
        if backend.is_none_or(|backend| backend.announcement.instance != *instance) {
            self.follow_collecting(instance);
            return false;
        }
        if self.collection.sequence >= Some(sequence) {
            return false;
        }
        self.collection.sequence = Some(sequence);
        self.way = Way::Collect;
        self.unanswered.retain(|grant| now < grant.until);
        self.complete_offer(now, report);
        self.complete_releases(report);
        self.record_returned(report);
        self.send_releases(now);
        true
    }

    /// Records which grants of the previous response the backend server has taken.
    fn complete_offer(&mut self, now: clock::Instant, report: &holdings::Report) {
        let Some(offer) = self.collection.offer.take() else {
            return;
        };
        for (range, fence) in offer.grants {
            let is_held = report.holds(range, fence);
            let unanswered_until = (!is_held).then_some(offer.latest_end);
            if is_held {
                self.record_grant_confirmed(range, fence, offer.until);
            }
            self.record_grant_completed(now, range, fence, unanswered_until);
            if !is_held {
                self.record_grant_missed(range, fence);
            }
        }
    }

    /// Records that the backend server has not taken a grant: the response was lost, or the backend
    /// server has seen a later fence.
    fn record_grant_missed(&mut self, range: slice::Range, fence: slice::Fence) {
        let Some(backend) = &self.backend else {
            return;
        };
        let mut grants = self.grants.iter_mut();
        let Some(grant) = grants.find(|grant| grant.range == range && grant.fence == fence) else {
            return;
        };
        grant.until = None;
        grant.misses += 1;
        self.is_changed = true;
        tracing::info!(
            first = range.first,
            last = range.last,
            fence = fence.0,
            misses = grant.misses,
            "the backend server does not hold keys that the last response assigned to it"
        );
        if grant.misses >= MAX_MISSES {
            grant.misses = 0;
            self.refences.push(session::Refence {
                service: backend.announcement.service.clone(),
                range,
                fence,
            });
            self.is_renewal_due = true;
        }
    }

    /// Records the releases that the backend server has completed: it no longer reports keys that a
    /// response has left out.
    fn complete_releases(&mut self, report: &holdings::Report) {
        let completed: Vec<_> = self
            .releases
            .iter()
            .filter(|release| release.last_sent.is_some() && release.handover.is_none())
            .filter(|release| !report.overlaps(release.range))
            .map(|release| (release.range, release.fence))
            .collect();
        for (range, fence) in completed {
            let handover = report.handover(range).map(str::to_owned);
            let has_handover = handover.is_some();
            tracing::info!(
                first = range.first,
                last = range.last,
                fence = fence.0,
                has_handover,
                "released keys"
            );
            self.record_keys_released(range, fence, handover);
        }
    }

    /// Stores the handover values of keys that are granted to the backend server again.
    fn record_returned(&mut self, report: &holdings::Report) {
        let releases = &self.releases;
        let is_unexpected = |released: &&holdings::Released| {
            let range = released.range;
            released.handover.is_some()
                && !releases.iter().any(|release| release.range.overlaps(range))
        };
        let returned: Vec<_> = report.released.iter().filter(is_unexpected).collect();
        if !returned.is_empty() {
            self.collection.returned = returned.into_iter().cloned().collect();
            self.collection.returned_fence = slice::Fence(self.view.index);
        }
    }

    /// Returns all keys that the backend server is to hold, for the response to its latest
    /// announcement, which arrived at `arrived`.
    ///
    /// Returns `None` if this node cannot tell, because it has no view or no lease: such a response
    /// changes nothing, while an empty assignment would release all keys.
    pub fn assign(
        &mut self,
        now: clock::Instant,
        arrived: clock::Instant,
    ) -> Option<holdings::Assignment> {
        self.backend_id()?;
        if self.grants_expire_at.is_some() || !self.is_keyed() {
            return None;
        }
        let hold = self.hold(arrived);
        if hold < MIN_HOLD {
            return None;
        }
        let until = arrived + hold;
        if self.collection.offer.is_some() {
            // Only one response at a time can be answered by the next announcement.
            return None;
        }
        self.grants
            .sort_by_key(|grant| (!grant.is_confirmed, grant.range));
        let (count, limit) = (self.grants.len(), holdings::MAX_GRANTS);
        if count > limit {
            tracing::warn!(count, limit, "too many ranges for one response");
        }
        let (returned, last_fence) = (&self.collection.returned, self.collection.returned_fence);
        let mut offer = Offer {
            grants: Vec::new(),
            until,
            latest_end: arrived + hold * 100 / HOLD_PERCENT,
        };
        let mut grants = Vec::new();
        for grant in self.grants.iter_mut().take(holdings::MAX_GRANTS) {
            let handover = || {
                let mut returned = returned.iter().filter(|_| grant.fence <= last_fence);
                let returned = returned.find(|returned| returned.range.covers(grant.range))?;
                returned.handover.clone()
            };
            let is_new = !grant.is_confirmed;
            let handover = grant.handover.clone().or_else(handover);
            grants.push(holdings::Grant {
                range: grant.range,
                fence: grant.fence,
                handover: handover.filter(|_| is_new),
            });
            offer.grants.push((grant.range, grant.fence));
            self.in_flight.push((grant.range, grant.fence));
            // The backend server checks ownership too, so a request that arrives before the response
            // does no harm.
            grant.until = grant.until.max(Some(until));
            grant.last_sent = Some(now);
        }
        for release in &mut self.releases {
            release.last_sent = Some(now);
        }
        self.collection.offer = Some(offer);
        self.is_changed = true;
        self.is_assignment_due = false;
        Some(holdings::Assignment { grants, hold })
    }

    /// Returns whether the next response changes the keys that the backend server holds.
    pub const fn is_assignment_due(&self) -> bool {
        self.is_assignment_due
    }

    fn is_keyed(&self) -> bool {
        let backend = self.backend.as_ref();
        backend.is_some_and(|backend| self.view.tables.contains_key(&backend.announcement.service))
    }

    /// Returns how long a grant that is made now may last.
    pub(super) fn hold(&self, now: clock::Instant) -> Duration {
        let hold = self.lease.remaining(now).min(self.config.max_hold);
        hold * HOLD_PERCENT / 100
    }
}
