//! Choice of the backend server, from what the node has seen of it.

use std::time::Duration;

use bytes::Bytes;
use sequoiayoke_catalog::server;
use sequoiayoke_dispatch::{admission, choice};
use sequoiayoke_link::peer;
use sequoiayoke_model::{clock, id};

use super::{DOWN, Journey};
use crate::traffic::Context;
use crate::view;

/// Time for which a load report counts.
const LOAD_AGE: Duration = Duration::from_millis(1_500);
/// Weight of a new outcome in the share of failures.
const FAILURE_WEIGHT: f64 = 0.1;

/// What a node has seen of a backend server.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::traffic) struct Seen {
    load: admission::Load,
    at: clock::Instant,
    outstanding: u32,
    down_until: clock::Instant,
    failing: f64,
}

/// Returns the backend server to send to now.
pub(super) fn choose<Frontend>(
    context: &Context<Frontend>,
    view: &view::View,
    journey: &Journey<'_>,
    now: clock::Instant,
) -> Option<server::Server> {
    let seen = context.seen.borrow();
    let is_down = |server: &server::Server| {
        seen.get(&server.id)
            .is_some_and(|seen| now < seen.down_until)
    };
    if let Some(key) = journey.key {
        let owner = view.owner(&journey.service, key);
        return owner.filter(|owner| !is_down(owner)).cloned();
    }
    let own = view.own.as_ref().and_then(|own| own.id);
    let open: Vec<_> = view
        .servers_of(&journey.service)
        .filter(|server| !server.announcement.is_draining && !is_down(server))
        .filter(|server| !journey.tried.contains(&server.id))
        .collect();
    let candidates = open.iter().map(|server| {
        let slots = server.announcement.slots;
        let known = seen.get(&server.id).copied().unwrap_or_default();
        let is_fresh = now.saturating_since(known.at) < LOAD_AGE && known.load.slots > 0;
        let load = if own == Some(server.id) {
            context.backend.load()
        } else if is_fresh {
            known.load
        } else {
            admission::Load {
                slots,
                service_s: known.load.service_s.max(0.01),
                ..admission::Load::default()
            }
        };
        choice::Candidate {
            load,
            outstanding: known.outstanding,
            is_near: server.announcement.domain == context.settings.domain,
            failing: known.failing,
        }
    });
    let bytes = journey.body.as_ref().map_or(0, Bytes::len);
    let best = choice::best(candidates, bytes)?;
    Some(open[best].clone())
}

/// Counts a request at a backend server for as long as it is there.
pub(super) struct Outstanding<'a, Frontend> {
    context: &'a Context<Frontend>,
    server: id::Server,
}

impl<'a, Frontend> Outstanding<'a, Frontend> {
    pub(super) fn new(context: &'a Context<Frontend>, server: id::Server) -> Self {
        let mut seen = context.seen.borrow_mut();
        seen.entry(server).or_default().outstanding += 1;
        drop(seen);
        Self { context, server }
    }
}

impl<Frontend> Drop for Outstanding<'_, Frontend> {
    fn drop(&mut self) {
        let mut seen = self.context.seen.borrow_mut();
        if let Some(seen) = seen.get_mut(&self.server) {
            seen.outstanding = seen.outstanding.saturating_sub(1);
        }
    }
}

/// Learns from an outcome for later choices.
pub(super) fn record<Frontend>(
    context: &Context<Frontend>,
    target: &server::Server,
    outcome: &peer::Outcome,
    load: peer::Load,
) {
    let now = clock::Instant::now();
    let mut all = context.seen.borrow_mut();
    let view_servers = &context.shared.view.load().servers;
    if all.len() > view_servers.len() * 2 {
        all.retain(|id, _| view_servers.contains_key(id));
    }
    let seen = all.entry(target.id).or_default();
    if load.slots > 0 {
        (seen.load, seen.at) = (load.into(), now);
    }
    let failed = match outcome {
        peer::Outcome::Answered { status, .. } => *status >= 500,
        peer::Outcome::NotRun { reason, .. } => {
            if matches!(
                reason,
                peer::Reason::Unreachable | peer::Reason::OtherInstance | peer::Reason::Stopping
            ) {
                seen.down_until = now + DOWN;
            }
            matches!(reason, peer::Reason::RefusedByServer)
        }
        peer::Outcome::Unknown(reason) => {
            if matches!(reason, peer::Reason::LinkLost) {
                seen.down_until = now + DOWN;
            }
            true
        }
    };
    let failed = f64::from(u8::from(failed));
    seen.failing += FAILURE_WEIGHT * (failed - seen.failing);
}
