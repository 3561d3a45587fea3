//! Grants: which keys the backend server holds, and until when.

use std::sync;
use std::time::Duration;

use sequoiayoke_catalog::slice;
use sequoiayoke_model::clock;

use super::{Effect, GRANT_RETRY, Grant, HOLD_PERCENT, MIN_HOLD, State, Uncertain};

impl State {
    /// Brings the grants in line with the slices of the view.
    pub(super) fn reconcile(&mut self, now: clock::Instant) {
        let (Some(own), Some(id)) = (&self.own, self.own_id()) else {
            return;
        };
        let tables = sync::Arc::clone(&self.view.tables);
        let own_slices: Vec<_> = tables
            .get(&own.announcement.service)
            .map(slice::Table::slices)
            .unwrap_or_default()
            .iter()
            .filter(|slice| slice.owner == Some(id))
            .collect();
        self.releases.retain(|release| {
            own_slices
                .iter()
                .any(|slice| slice.fence == release.fence && slice.range.overlaps(release.range))
        });
        let wanted: Vec<_> = own_slices
            .iter()
            .flat_map(|slice| self.unreleased(slice))
            .collect();
        let mut former = std::mem::take(&mut self.grants);
        for (range, slice) in wanted {
            let same = former
                .iter()
                .position(|grant| grant.range == range && grant.fence == slice.fence);
            let grant = match same {
                Some(at) => former.swap_remove(at),
                None => {
                    // What was held stays held under a new fence of the same owner, and
                    // a part of a confirmed grant is confirmed too.
                    let whole = former.iter().find(|grant| grant.range.covers(range));
                    let same = whole.filter(|grant| grant.fence == slice.fence);
                    Grant {
                        range,
                        fence: slice.fence,
                        handover: slice.handover.clone(),
                        until: whole.and_then(|grant| grant.until),
                        asked: same.and_then(|grant| grant.asked),
                        is_refused: false,
                        is_confirmed: same.is_some_and(|grant| grant.is_confirmed),
                    }
                }
            };
            self.grants.push(grant);
        }
        self.is_changed = true;
        self.grant(now);
    }

    /// Returns the parts of a slice that are not being released.
    pub(super) fn unreleased<'a>(
        &self,
        slice: &'a slice::Slice,
    ) -> Vec<(slice::Range, &'a slice::Slice)> {
        let mut taken: Vec<_> = self
            .releases
            .iter()
            .filter(|release| release.fence == slice.fence && slice.range.overlaps(release.range))
            .map(|release| release.range)
            .collect();
        taken.sort();
        let mut parts = Vec::new();
        let mut first = u32::from(slice.range.first);
        for range in taken {
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

    /// Sends grants that are due.
    pub(super) fn grant(&mut self, now: clock::Instant) {
        let Some(own) = self.own.as_ref().filter(|_| self.closes.is_none()) else {
            return;
        };
        let left = self.lease.remaining(now) * HOLD_PERCENT / 100;
        let hold = left.min(self.config.max_hold * HOLD_PERCENT / 100);
        if hold < MIN_HOLD {
            return;
        }
        for grant in &mut self.grants {
            let held = grant
                .until
                .map_or(Duration::ZERO, |until| now.saturating_until(until));
            let asked = grant
                .asked
                .is_some_and(|asked| now.saturating_since(asked) < GRANT_RETRY)
                || self.open.contains(&(grant.range, grant.fence));
            // Renewing at two thirds leaves time for several commands that get lost.
            let is_short = held < self.config.lease * 2 / 3 && held + MIN_HOLD < hold;
            let is_due = is_short || !grant.is_confirmed;
            if asked || grant.is_refused || !is_due {
                continue;
            }
            grant.asked = Some(now);
            self.open.push((grant.range, grant.fence));
            self.effects.push(Effect::Grant {
                instance: own.announcement.instance.clone(),
                range: grant.range,
                fence: grant.fence,
                hold,
                at: now,
                handover: grant.handover.clone(),
            });
        }
    }

    /// Records that a grant has got its answer, or that none is waited for; such
    /// a grant may still be taken until the given time.
    pub fn settled(
        &mut self,
        now: clock::Instant,
        range: slice::Range,
        fence: slice::Fence,
        unanswered_until: Option<clock::Instant>,
    ) {
        if let Some(at) = self.open.iter().position(|one| *one == (range, fence)) {
            self.open.swap_remove(at);
        }
        if let Some(until) = unanswered_until {
            self.uncertain.push(Uncertain {
                range,
                fence,
                until,
            });
        }
        self.ask_releases(now);
    }

    /// Takes the backend server's confirmation of a grant.
    pub fn granted(&mut self, range: slice::Range, fence: slice::Fence, until: clock::Instant) {
        for release in &mut self.releases {
            release.is_confirmed |= release.fence == fence && range.covers(release.range);
        }
        for grant in &mut self.grants {
            if grant.fence == fence && range.covers(grant.range) {
                grant.is_confirmed = true;
                grant.until = grant.until.max(Some(until));
                self.is_changed = true;
            }
        }
    }

    /// Takes the backend server's refusal of a grant: it has seen a later one.
    pub fn refused(&mut self, range: slice::Range, fence: slice::Fence) {
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
