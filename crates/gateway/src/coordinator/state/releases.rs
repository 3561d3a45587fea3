//! Releases: keys that move to another owner.
//!
//! A release is sent only when no earlier grant of its keys can take effect after it.

use sequoiayoke_catalog::slice;
use sequoiayoke_link::session;
use sequoiayoke_model::clock;

use super::{Effect, RELEASE_RETRY_INTERVAL, Release, State};

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
        let mut overlapping = self
            .unanswered
            .iter()
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
        self.reconcile_grants(now);
        self.send_releases(now);
    }

    /// Abandons unsent releases that would not be final and requests a new fence for their keys.
    pub(super) fn refence_releases(&mut self, now: clock::Instant) {
        let unsent: Vec<_> = self
            .releases
            .iter()
            .filter(|release| {
                release.last_sent.is_none()
                    && !self.is_grant_in_flight(release.range, release.fence)
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

    /// Returns whether a grant of these keys is in flight.
    pub(super) fn is_grant_in_flight(&self, range: slice::Range, fence: slice::Fence) -> bool {
        let mut in_flight = self.in_flight.iter();
        in_flight.any(|(granted, granted_fence)| *granted_fence == fence && granted.overlaps(range))
    }

    /// Sends the releases that are due.
    pub(super) fn send_releases(&mut self, now: clock::Instant) {
        self.refence_releases(now);
        let Some(backend) = &self.backend else {
            return;
        };
        for release in &mut self.releases {
            let is_sent = release
                .last_sent
                .is_some_and(|sent| now.saturating_since(sent) < RELEASE_RETRY_INTERVAL);
            let is_waiting = self
                .in_flight
                .iter()
                .any(|(range, fence)| *fence == release.fence && range.overlaps(release.range));
            if release.handover.is_some() || is_sent || is_waiting {
                continue;
            }
            release.last_sent = Some(now);
            self.effects.push(Effect::Release {
                instance: backend.announcement.instance.clone(),
                service: release.service.clone(),
                range: release.range,
                fence: release.fence,
            });
        }
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
