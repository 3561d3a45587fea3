//! Whether a request is offered again: after a refusal, a failure, or to ask around.

use std::time::Duration;

use sequoiayoke_dispatch::{budget, probe};
use sequoiayoke_link::peer;
use sequoiayoke_model::clock;

use super::Journey;
use crate::traffic::Context;

/// Wait after a node has said that its backend server does not hold a key yet.
const NOT_OWNER_PAUSE: Duration = Duration::from_millis(40);
/// Shortest time before the deadline in which a request is still sent again.
const MIN_LEFT: Duration = Duration::from_millis(30);

/// Decides whether a request that did not run is offered again.
pub(super) async fn goes_on<Frontend>(
    context: &Context<Frontend>,
    journey: &mut Journey<'_>,
    reason: peer::Reason,
    was_sent: bool,
) -> bool {
    tracing::debug!(id = journey.id, ?reason, was_sent, "a request did not run");
    let service = &journey.service;
    context.measure.not_run(service, word(reason));
    if was_sent && !may_send_again(context, journey, reason) {
        return false;
    }
    match reason {
        // The owner of a key is full, or the least busy of the backend servers.
        peer::Reason::Busy | peer::Reason::Deadline => false,
        peer::Reason::NotOwner => {
            journey.tried.clear();
            tokio::time::sleep(NOT_OWNER_PAUSE).await;
            true
        }
        _ if journey.key.is_some() => {
            journey.tried.clear();
            tokio::time::sleep(NOT_OWNER_PAUSE).await;
            true
        }
        _ => true,
    }
}

/// Decides whether a request may be sent to a backend server once more.
pub(super) fn may_send_again<Frontend>(
    context: &Context<Frontend>,
    journey: &Journey<'_>,
    reason: peer::Reason,
) -> bool {
    let now = clock::Instant::now();
    if journey.sent >= journey.max_attempts || now + MIN_LEFT >= journey.deadline {
        return false;
    }
    let nodes = context.view().servers.len();
    let mut budgets = context.budgets.borrow_mut();
    let budget = budgets
        .get_mut(&journey.service)
        .is_some_and(|budget| budget.spend(now, nodes));
    context.measure.second_sending(&journey.service, budget);
    if context.may_log() {
        tracing::info!(
            id = journey.id,
            service = journey.service,
            ?reason,
            sent = journey.sent,
            allowed = budget,
            "decided on a second sending"
        );
    }
    budget
}

/// Returns the word for a reason in metrics.
pub(super) const fn word(reason: peer::Reason) -> &'static str {
    match reason {
        peer::Reason::Busy => "busy",
        peer::Reason::OtherInstance => "other-instance",
        peer::Reason::Draining => "draining",
        peer::Reason::NotOwner => "not-owner",
        peer::Reason::Unreachable => "unreachable",
        peer::Reason::RefusedByServer => "refused-by-server",
        peer::Reason::Deadline => "deadline",
        peer::Reason::Broken => "broken",
        peer::Reason::Malformed => "malformed",
        peer::Reason::LinkLost => "link-lost",
        peer::Reason::Stopping => "stopping",
    }
}

/// Decides whether a request asks around for a free slot.
pub(super) fn is_probing<Frontend>(context: &Context<Frontend>, service: &str) -> bool {
    let mut probes = context.probes.borrow_mut();
    probes
        .get_mut(service)
        .is_none_or(probe::Probes::allow_probe)
}

/// Returns whether a backend server had no slot in time.
pub(super) const fn is_full(outcome: &peer::Outcome) -> bool {
    matches!(
        outcome,
        peer::Outcome::NotRun {
            reason: peer::Reason::Busy,
            ..
        }
    )
}

pub(super) fn earn<Frontend>(context: &Context<Frontend>, service: &str) {
    let mut budgets = context.budgets.borrow_mut();
    match budgets.get_mut(service) {
        Some(budget) => budget.earn(),
        None => {
            let budget = budget::Budget::new(context.reloads.borrow().budget);
            budgets.insert(service.to_owned(), budget);
        }
    }
}
