//! Releases: keys that go to another owner.
//!
//! A release is sent only when no earlier grant of its keys can be taken after it.

use sequoiayoke_catalog::slice;
use sequoiayoke_link::session;
use sequoiayoke_model::clock;

use super::{Effect, RELEASE_RETRY, Release, State};

impl State {
    /// Returns whether keys that are released now stay released: no earlier grant
    /// of them can still be taken.
    pub(super) fn is_release_final(
        &mut self,
        now: clock::Instant,
        range: slice::Range,
        fence: slice::Fence,
    ) -> bool {
        self.uncertain.retain(|one| now < one.until);
        let mut overlapping = self
            .uncertain
            .iter()
            .filter(|one| one.range.overlaps(range));
        let mut releases = self.releases.iter();
        let is_confirmed =
            releases.any(|one| one.fence == fence && one.range == range && one.is_confirmed);
        overlapping.all(|one| one.fence < fence && is_confirmed)
    }

    /// Takes the leader's wish that keys are released.
    pub fn release(
        &mut self,
        now: clock::Instant,
        service: &str,
        range: slice::Range,
        fence: slice::Fence,
    ) {
        if self.own.is_none() {
            return;
        }
        let known = self.releases.iter().any(|one| one.range.overlaps(range));
        let mut grants = self.grants.iter();
        let held = grants.find(|grant| grant.fence == fence && grant.range.covers(range));
        let Some(held) = held.filter(|_| !known) else {
            return;
        };
        let is_confirmed = held.is_confirmed;
        self.releases.push(Release {
            service: service.to_owned(),
            range,
            fence,
            asked: None,
            is_confirmed,
            handover: None,
        });
        self.reconcile(now);
        self.ask_releases(now);
    }

    /// Gives up releases that would not be final, before they are sent, and asks
    /// for a new fence instead.
    pub(super) fn refence(&mut self, now: clock::Instant) {
        let unsent: Vec<_> = self
            .releases
            .iter()
            .filter(|one| one.asked.is_none() && !self.is_open(one.range, one.fence))
            .map(|one| (one.service.clone(), one.range, one.fence))
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
                "a grant without an answer may still be taken; asking for a new fence"
            );
            self.releases
                .retain(|one| (one.range, one.fence) != (refence.range, refence.fence));
        }
        self.refences.extend(refences);
        self.reconcile(now);
        self.renew(now);
    }

    /// Returns whether a grant of these keys is on its way.
    pub(super) fn is_open(&self, range: slice::Range, fence: slice::Fence) -> bool {
        let mut open = self.open.iter();
        open.any(|(other, number)| *number == fence && other.overlaps(range))
    }

    /// Sends the releases that are due.
    pub(super) fn ask_releases(&mut self, now: clock::Instant) {
        self.refence(now);
        let Some(own) = &self.own else {
            return;
        };
        for release in &mut self.releases {
            let is_asked = release
                .asked
                .is_some_and(|asked| now.saturating_since(asked) < RELEASE_RETRY);
            let waits = self
                .open
                .iter()
                .any(|(range, fence)| *fence == release.fence && range.overlaps(release.range));
            if release.handover.is_some() || is_asked || waits {
                continue;
            }
            release.asked = Some(now);
            self.effects.push(Effect::Release {
                instance: own.announcement.instance.clone(),
                service: release.service.clone(),
                range: release.range,
                fence: release.fence,
            });
        }
    }

    /// Takes the backend server's confirmation of a release.
    pub fn released(
        &mut self,
        now: clock::Instant,
        range: slice::Range,
        fence: slice::Fence,
        handover: Option<String>,
    ) {
        let found = self
            .releases
            .iter_mut()
            .find(|one| one.range == range && one.fence == fence && one.handover.is_none());
        if let Some(release) = found {
            release.handover = Some(handover);
            self.renew(now);
        }
    }
}
