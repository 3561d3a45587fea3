//! Releases: keys that move to another owner.
//!
//! A release is sent only when no earlier grant of its keys can take effect after it.

use sequoiayoke_catalog::slice;
use sequoiayoke_link::session;
use sequoiayoke_model::clock;

use super::delivery::Way;
use super::{Release, State};

impl State {
    /// Returns whether keys that are released now stay released, because no earlier grant of them
    /// can still take effect.
    pub(super) fn is_release_final(
        &mut self,
        now: clock::Instant,
        range: slice::Range,
        fence: slice::Fence,
    ) -> bool {
        self.unanswered.retain(|grant| now < grant.until);
        // A backend server that collects its grants has no command of an earlier process.
        let inherited = self.inherited.iter().filter(|_| self.way == Way::Push);
        let mut overlapping = self
            .unanswered
            .iter()
            .chain(inherited.filter(|grant| now < grant.until))
            .filter(|grant| grant.range.overlaps(range));
        let mut releases = self.releases.iter();
        let is_confirmed = releases.any(|release| {
            release.fence == fence && release.range == range && release.is_confirmed
        });
        overlapping.all(|grant| grant.fence < fence && is_confirmed)
    }

    /// Begins to release keys at the leader's request.
    pub fn begin_release(
        &mut self,
        now: clock::Instant,
        service: &str,
        range: slice::Range,
        fence: slice::Fence,
    ) {
        if self.backend.is_none() {
            return;
        }
        let is_releasing = self
            .releases
            .iter()
            .any(|release| release.range.overlaps(range));
        let mut grants = self.grants.iter();
        let grant = grants.find(|grant| grant.fence == fence && grant.range.covers(range));
        let Some(grant) = grant.filter(|_| !is_releasing) else {
            return;
        };
        let is_confirmed = grant.is_confirmed;
        self.releases.push(Release {
            service: service.to_owned(),
            range,
            fence,
            last_sent: None,
            is_confirmed,
            handover: None,
        });
        self.is_assignment_due = true;
        self.reconcile_grants(now);
        self.send_releases(now);
    }

    /// Abandons unsent releases that would not be final and requests a new fence for their keys.
    pub(super) fn refence_releases(&mut self, now: clock::Instant) {
        let unsent: Vec<_> = self
            .releases
            .iter()
            .filter(|release| {
                release.last_sent.is_none() && !self.is_grant_in_flight(release.range)
            })
            .map(|release| (release.service.clone(), release.range, release.fence))
            .collect();
        let mut refences = Vec::new();
        for (service, range, fence) in unsent {
            if !self.is_release_final(now, range, fence) {
                refences.push(session::Refence {
                    service,
                    range,
                    fence,
                });
            }
        }
        if refences.is_empty() {
            return;
        }
        for refence in &refences {
            tracing::info!(
                first = refence.range.first,
                fence = refence.fence.0,
                "an unanswered grant may still take effect; requesting a new fence"
            );
            self.releases
                .retain(|release| (release.range, release.fence) != (refence.range, refence.fence));
        }
        self.refences.extend(refences);
        self.reconcile_grants(now);
        self.renew(now);
    }

    /// Returns whether a grant of these keys is in flight, under whichever fence: the backend server
    /// may not have seen a later one.
    pub(super) fn is_grant_in_flight(&self, range: slice::Range) -> bool {
        let mut in_flight = self.in_flight.iter();
        in_flight.any(|(granted, _)| granted.overlaps(range))
    }

    /// Records that the backend server has confirmed a release.
    pub fn record_keys_released(
        &mut self,
        range: slice::Range,
        fence: slice::Fence,
        handover: Option<String>,
    ) {
        let release = self.releases.iter_mut().find(|release| {
            release.range == range && release.fence == fence && release.handover.is_none()
        });
        if let Some(release) = release {
            release.handover = Some(handover);
            // Ranges that are released together are reported together.
            self.is_renewal_due = true;
        }
    }
}
