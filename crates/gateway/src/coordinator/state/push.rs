//! Delivery by commands to the backend server, each of which it answers.

use std::time::Duration;

use sequoiayoke_model::clock;

use super::delivery::{Delivery, Push};
use super::{Effect, GRANT_RETRY_INTERVAL, MIN_HOLD, RELEASE_RETRY_INTERVAL, State};

/// Returns the hold to state in a grant that was made at `at` for `hold` and is sent at `now`.
///
/// The backend server counts it from the arrival of the command, so that a grant which was held up in
/// this process, for example while its VM was suspended, would outlast the lease. Returns `None` if
/// too little is left.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use sequoiayoke_gateway::coordinator::state;
/// use sequoiayoke_model::clock;
///
/// let at = clock::Instant::from_micros(0);
/// let late = at + Duration::from_secs(3);
/// let hold = Duration::from_secs(4);
/// assert_eq!(state::remaining_hold(at, hold, late), Some(Duration::from_secs(1)));
/// assert_eq!(state::remaining_hold(at, hold, late + hold), None);
/// ```
pub fn remaining_hold(at: clock::Instant, hold: Duration, now: clock::Instant) -> Option<Duration> {
    let left = now.saturating_until(at + hold);
    (left >= MIN_HOLD).then_some(left)
}

impl Delivery for Push {
    fn send_grants(state: &mut State, now: clock::Instant) {
        let Some(backend) = state
            .backend
            .as_ref()
            .filter(|_| state.grants_expire_at.is_none())
        else {
            return;
        };
        let hold = state.hold(now);
        if hold < MIN_HOLD {
            return;
        }
        for grant in &mut state.grants {
            let remaining = grant
                .until
                .map_or(Duration::ZERO, |until| now.saturating_until(until));
            let is_pending = grant
                .last_sent
                .is_some_and(|sent| now.saturating_since(sent) < GRANT_RETRY_INTERVAL)
                || state.in_flight.contains(&(grant.range, grant.fence));
            // Renewing at two thirds of the lease leaves time for several lost commands.
            let is_short = remaining < state.config.lease * 2 / 3 && remaining + MIN_HOLD < hold;
            let is_due = is_short || !grant.is_confirmed;
            if is_pending || grant.is_refused || !is_due {
                continue;
            }
            grant.last_sent = Some(now);
            state.in_flight.push((grant.range, grant.fence));
            state.effects.push(Effect::Grant {
                instance: backend.announcement.instance.clone(),
                range: grant.range,
                fence: grant.fence,
                hold,
                at: now,
                handover: grant.handover.clone(),
                is_renewal: grant.is_confirmed,
            });
        }
    }

    fn send_releases(state: &mut State, now: clock::Instant) {
        let Some(backend) = &state.backend else {
            return;
        };
        for release in &mut state.releases {
            let is_sent = release
                .last_sent
                .is_some_and(|sent| now.saturating_since(sent) < RELEASE_RETRY_INTERVAL);
            let is_waiting = state
                .in_flight
                .iter()
                .any(|(range, _)| range.overlaps(release.range));
            if release.handover.is_some() || is_sent || is_waiting {
                continue;
            }
            release.last_sent = Some(now);
            state.effects.push(Effect::Release {
                instance: backend.announcement.instance.clone(),
                service: release.service.clone(),
                range: release.range,
                fence: release.fence,
            });
        }
    }
}
