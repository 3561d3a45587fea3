//! Grants: which keys the backend server holds, and for how long.

use std::sync;

use sequoiayoke_catalog::slice;
use sequoiayoke_model::clock;

use super::{Grant, State, UnansweredGrant};

impl State {
    /// Updates the grants to match the slices of the view.
    pub(super) fn reconcile_grants(&mut self, now: clock::Instant) {
        let (Some(backend), Some(id)) = (&self.backend, self.backend_id()) else {
            return;
        };
        let tables = sync::Arc::clone(&self.view.tables);
        let owned_slices: Vec<_> = tables
            .get(&backend.announcement.service)
            .map(slice::Table::slices)
            .unwrap_or_default()
            .iter()
            .filter(|slice| slice.owner == Some(id))
            .collect();
        self.releases.retain(|release| {
            owned_slices
                .iter()
                .any(|slice| slice.fence == release.fence && slice.range.overlaps(release.range))
        });
        let required: Vec<_> = owned_slices
            .iter()
            .flat_map(|slice| self.unreleased(slice))
            .collect();
        let mut previous_grants = std::mem::take(&mut self.grants);
        for (range, slice) in required {
            let index = previous_grants
                .iter()
                .position(|grant| grant.range == range && grant.fence == slice.fence);
            let grant = match index {
                Some(index) => previous_grants.swap_remove(index),
                None => {
                    // Keys that are held stay held under a new fence of the same owner, and part of
                    // a confirmed grant is confirmed too.
                    let covering = previous_grants
                        .iter()
                        .find(|grant| grant.range.covers(range));
                    let same_fence = covering.filter(|grant| grant.fence == slice.fence);
                    Grant {
                        range,
                        fence: slice.fence,
                        handover: slice.handover.clone(),
                        until: covering.and_then(|grant| grant.until),
                        last_sent: same_fence.and_then(|grant| grant.last_sent),
                        is_refused: false,
                        is_confirmed: same_fence.is_some_and(|grant| grant.is_confirmed),
                        misses: 0,
                    }
                }
            };
            self.grants.push(grant);
        }
        self.is_assignment_due |= self
            .grants
            .iter()
            .any(|grant| grant.last_sent.is_none() && !grant.is_refused);
        self.is_changed = true;
        self.send_grants(now);
    }

    /// Returns the parts of a slice that are not being released.
    pub(super) fn unreleased<'a>(
        &self,
        slice: &'a slice::Slice,
    ) -> Vec<(slice::Range, &'a slice::Slice)> {
        let mut releasing: Vec<_> = self
            .releases
            .iter()
            .filter(|release| release.fence == slice.fence && slice.range.overlaps(release.range))
            .map(|release| release.range)
            .collect();
        releasing.sort();
        let mut parts = Vec::new();
        let mut first = u32::from(slice.range.first);
        for range in releasing {
            if u32::from(range.first) > first {
                parts.push((slice::Range::new(first as u16, range.first - 1), slice));
            }
            first = u32::from(range.last) + 1;
        }
        if first <= u32::from(slice.range.last) {
            let range = slice::Range::new(first as u16, slice.range.last);
            parts.push((range, slice));
        }
        parts
    }

    /// Records that a grant was answered, or that the node no longer waits for an answer; an
    /// unanswered grant may still take effect until `unanswered_until`.
    pub fn record_grant_completed(
        &mut self,
        now: clock::Instant,
        range: slice::Range,
        fence: slice::Fence,
        unanswered_until: Option<clock::Instant>,
    ) {
        if let Some(index) = self
            .in_flight
            .iter()
            .position(|grant| *grant == (range, fence))
        {
            self.in_flight.swap_remove(index);
        }
        if let Some(until) = unanswered_until {
            self.withhold_notice();
            self.unanswered.push(UnansweredGrant {
                range,
                fence,
                until,
            });
        }
        self.update_notice();
        self.send_releases(now);
    }

    /// Records that the backend server has confirmed a grant.
    pub fn record_grant_confirmed(
        &mut self,
        range: slice::Range,
        fence: slice::Fence,
        until: clock::Instant,
    ) {
        self.withhold_notice();
        for release in &mut self.releases {
            release.is_confirmed |= release.fence == fence && range.covers(release.range);
        }
        for grant in &mut self.grants {
            if grant.fence == fence && range.covers(grant.range) {
                grant.is_confirmed = true;
                grant.misses = 0;
                grant.until = grant.until.max(Some(until));
                self.is_changed = true;
            }
        }
    }

    /// Records that the backend server has refused a grant because it has seen a later one.
    pub fn record_grant_refused(&mut self, range: slice::Range, fence: slice::Fence) {
        for grant in &mut self.grants {
            if grant.fence == fence && grant.range == range {
                tracing::warn!(
                    first = range.first,
                    fence = fence.0,
                    "the backend server has seen a later grant"
                );
                grant.is_refused = true;
                grant.until = None;
                self.is_changed = true;
            }
        }
    }
}
