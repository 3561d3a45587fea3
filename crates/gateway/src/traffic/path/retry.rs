//! Decisions on retries, after a refusal or a failure, and on probes for a free slot.

use std::time::Duration;

use sequoiayoke_dispatch::{budget, probe};
use sequoiayoke_link::peer;
use sequoiayoke_model::clock;

use super::Delivery;
use crate::traffic::Context;

/// Delay after a node has reported that its backend server does not hold a key yet.
const NOT_OWNER_RETRY_DELAY: Duration = Duration::from_millis(40);
/// Shortest time before the deadline in which a request is still retried.
const MIN_TIME_LEFT: Duration = Duration::from_millis(30);

/// Decides whether a request that did not run is retried, and waits for the retry delay if there is
/// one.
pub(super) async fn prepare_retry<Frontend>(
    context: &Context<Frontend>,
    delivery: &mut Delivery<'_>,
    reason: peer::Reason,
    was_sent: bool,
) -> bool {
    tracing::debug!(id = delivery.id, ?reason, was_sent, "a request did not run");
    let service = &delivery.service;
    context.measure.record_not_run(service, reason_str(reason));
    if was_sent && !decide_retry(context, delivery, reason) {
        return false;
    }
    match reason {
        // The server is the owner of the key, or the least busy of the backend servers.
        peer::Reason::Busy | peer::Reason::Deadline => false,
        peer::Reason::NotOwner => {
            delivery.tried.clear();
            tokio::time::sleep(NOT_OWNER_RETRY_DELAY).await;
            true
        }
        // The operator's order goes first, also if nobody can take the keys.
        peer::Reason::Evacuated
            if delivery.key.is_some() && !has_other_domain(context, service) =>
        {
            false
        }
        _ if delivery.key.is_some() => {
            delivery.tried.clear();
            tokio::time::sleep(NOT_OWNER_RETRY_DELAY).await;
            true
        }
        _ => true,
    }
}

/// Returns whether a service has backend servers in a failure domain that is not evacuated.
fn has_other_domain<Frontend>(context: &Context<Frontend>, service: &str) -> bool {
    let view = context.view();
    let mut servers = view.servers_of(service).map(|server| &server.announcement);
    servers.any(|announced| !announced.is_draining && !view.is_evacuated(&announced.domain))
}

/// Decides whether a request may be sent to a backend server once more, and charges the retry
/// budget if so.
pub(super) fn decide_retry<Frontend>(
    context: &Context<Frontend>,
    delivery: &Delivery<'_>,
    reason: peer::Reason,
) -> bool {
    let now = clock::Instant::now();
    if delivery.sent >= delivery.max_attempts || now + MIN_TIME_LEFT >= delivery.deadline {
        return false;
    }
    let nodes = context.view().servers.len();
    let mut budgets = context.budgets.borrow_mut();
    let is_allowed = budgets
        .get_mut(&delivery.service)
        .is_some_and(|budget| budget.spend(now, nodes));
    context
        .measure
        .record_retry_decision(&delivery.service, is_allowed);
    if context.may_log() {
        tracing::info!(
            id = delivery.id,
            service = delivery.service,
            ?reason,
            sent = delivery.sent,
            allowed = is_allowed,
            "decided whether to retry a request"
        );
    }
    is_allowed
}

/// Returns the metrics label of a reason.
pub(super) const fn reason_str(reason: peer::Reason) -> &'static str {
    match reason {
        peer::Reason::Busy => "busy",
        peer::Reason::OtherInstance => "other-instance",
        peer::Reason::Draining => "draining",
        peer::Reason::Evacuated => "evacuated",
        peer::Reason::NotOwner => "not-owner",
        peer::Reason::Unreachable => "unreachable",
        peer::Reason::RefusedByServer => "refused-by-server",
        peer::Reason::Deadline => "deadline",
        peer::Reason::Broken => "broken",
        peer::Reason::Malformed => "malformed",
        peer::Reason::LinkLost => "link-lost",
        peer::Reason::Stopping => "stopping",
        peer::Reason::Withdrawn => "withdrawn",
    }
}

/// Returns whether a request may probe for a free slot.
pub(super) fn is_probe_allowed<Frontend>(context: &Context<Frontend>, service: &str) -> bool {
    let mut probes = context.probes.borrow_mut();
    probes
        .get_mut(service)
        .is_none_or(probe::Probes::allow_probe)
}

/// Returns whether a backend server had no free slot in time.
pub(super) const fn is_full(outcome: &peer::Outcome) -> bool {
    matches!(
        outcome,
        peer::Outcome::NotRun {
            reason: peer::Reason::Busy,
            ..
        }
    )
}

pub(super) fn earn_retry<Frontend>(context: &Context<Frontend>, service: &str) {
    let mut budgets = context.budgets.borrow_mut();
    match budgets.get_mut(service) {
        Some(budget) => budget.earn(),
        None => {
            let budget = budget::Budget::new(context.reloads.borrow().budget);
            budgets.insert(service.to_owned(), budget);
        }
    }
}
