//! Whether a request may be sent to the backend server.
//!
//! The checks are made beside the backend server, so an old view at the node that the caller uses does
//! no harm.

use sequoiayoke_link::peer;
use sequoiayoke_model::clock;

use crate::traffic::Context;

/// Percentage of the drain time for which a draining backend server still accepts requests for its
/// keys.
const DRAIN_PERCENT: u32 = 60;
/// The same percentage of the time in which an evacuation takes effect.
const EVACUATE_PERCENT: u32 = 60;

/// Checks whether a request may be sent to the backend server now.
pub(super) fn check<Frontend>(
    context: &Context<Frontend>,
    open: &peer::Open,
    now: clock::Instant,
) -> Result<(), peer::Reason> {
    let view = context.view();
    let settings = &context.settings;
    let backend = view.backend.as_ref().ok_or(peer::Reason::OtherInstance)?;
    let announced = &backend.announcement;
    if announced.instance != open.instance || announced.service != open.service {
        return Err(peer::Reason::OtherInstance);
    }
    if let Some(since) = backend.draining_since {
        let limit = settings.drain * DRAIN_PERCENT / 100;
        if open.key.is_none() || now.saturating_since(since) >= limit {
            return Err(peer::Reason::Draining);
        }
    }
    if let Some(since) = backend.evacuated_since {
        // Keys are served until they have moved.
        let limit = settings.evacuate * EVACUATE_PERCENT / 100;
        if open.key.is_none() || now.saturating_since(since) >= limit {
            return Err(peer::Reason::Evacuated);
        }
    }
    match open.key {
        Some(key) if !backend.holds(key, now) => Err(peer::Reason::NotOwner),
        _ => Ok(()),
    }
}
