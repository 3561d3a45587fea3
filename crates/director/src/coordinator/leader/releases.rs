//! New owners of ranges that their owners have released.

use sequoiayoke_catalog::{machine, server, slice};
use sequoiayoke_link::session;
use sequoiayoke_model::{clock, id};

use super::{Leader, RETRY_DELAY};

impl Leader {
    /// Returns whether the assignment of a range that `owner` has released is proposed although its
    /// node does not report the release.
    ///
    /// A node reports each release until it knows the new owner. One that does not has restarted since,
    /// and would grant the keys again while their new owner gets them.
    pub(super) fn has_unreported_release(
        &self,
        now: clock::Instant,
        owner: id::Server,
        released: &[session::Released],
    ) -> bool {
        let mut proposed = self.proposed_moves.iter();
        proposed.any(|((from, range, fence), proposed_at)| {
            *from == owner
                && now.saturating_since(*proposed_at) < RETRY_DELAY
                && !released
                    .iter()
                    .any(|released| released.range == *range && released.fence == *fence)
        })
    }

    /// Returns the move of a released range to its new owner, unless it was proposed recently.
    ///
    /// A node states with each renewal all ranges that it has released and that are not assigned yet.
    pub(super) fn assign_released(
        &mut self,
        now: clock::Instant,
        machine: &machine::Machine,
        from: &server::Server,
        released: session::Released,
    ) -> Option<slice::Move> {
        let table = machine.tables().get(&released.service)?;
        let slice = table.find(released.range.first);
        if slice.owner != Some(from.id) || slice.fence != released.fence {
            return None;
        }
        let key = (from.id, released.range, released.fence);
        let proposed_at = self.proposed_moves.get(&key);
        if proposed_at.is_some_and(|proposed_at| now.saturating_since(*proposed_at) < RETRY_DELAY) {
            return None;
        }
        self.proposed_moves
            .retain(|_, proposed_at| now.saturating_since(*proposed_at) < RETRY_DELAY);
        self.proposed_moves.insert(key, now);
        let owners = self.owners(now, machine, &released.service);
        let planned_move = self.pending_moves.iter_mut().find(|pending| {
            pending.service == released.service && pending.change.range == released.range
        });
        let can_own = |id: id::Server| {
            owners
                .iter()
                .any(|owner| owner.id == id && owner.is_eligible)
        };
        let to = match planned_move {
            Some(pending) => {
                pending.since = now;
                Some(pending.change.to).filter(|to| can_own(*to))
            }
            None => None,
        };
        let to = to.or_else(|| {
            let mut candidates = owners
                .iter()
                .filter(|owner| owner.is_eligible && owner.id != from.id);
            candidates.next().map(|owner| owner.id)
        });
        let to = to.unwrap_or(from.id);
        Some(slice::Move {
            service: released.service,
            range: released.range,
            expected: released.fence,
            from: Some(from.id),
            to,
            handover: released.handover,
        })
    }
}
