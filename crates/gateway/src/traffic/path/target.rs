//! Choice of the backend server, from what the node has seen of it.

use std::hash::{self, Hash, Hasher};
use std::time::Duration;

use bytes::Bytes;
use sequoiayoke_catalog::server;
use sequoiayoke_dispatch::{admission, choice, transfer};
use sequoiayoke_link::peer;
use sequoiayoke_model::{clock, id};

use super::{DOWN, Journey};
use crate::traffic::Context;
use crate::view;

/// Age of a load of which nothing is known.
const NEVER: Duration = Duration::from_secs(3_600);
/// Time that a request is taken to run while nothing is known of its backend server, in
/// seconds.
const UNKNOWN_SERVICE_S: f64 = 0.1;
/// Weight of a new outcome in the share of failures.
const FAILURE_WEIGHT: f64 = 0.1;

/// What a node has seen of a backend server.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::traffic) struct Seen {
    load: admission::Load,
    link: transfer::Load,
    at: clock::Instant,
    outstanding: u32,
    down_until: clock::Instant,
    failing: f64,
}

/// A backend server that a request goes to.
#[derive(Clone, Debug)]
pub(super) struct Chosen {
    /// The backend server.
    pub(super) server: server::Server,
    /// Whether no other one will be asked if this one is full.
    pub(super) is_last: bool,
}

/// Returns the backend server to send to now.
///
/// A request without a key asks a few that seem the least busy for a free slot, and
/// waits at the best of all only if none has one.
pub(super) fn choose<Frontend>(
    context: &Context<Frontend>,
    view: &view::View,
    journey: &Journey<'_>,
    now: clock::Instant,
) -> Option<Chosen> {
    let seen = context.seen.borrow();
    let is_down = |server: &server::Server| {
        seen.get(&server.id)
            .is_some_and(|seen| now < seen.down_until)
    };
    if let Some(key) = journey.key {
        let owner = view.owner(&journey.service, key);
        let owner = owner.filter(|owner| !is_down(owner))?;
        return Some(Chosen {
            server: owner.clone(),
            is_last: true,
        });
    }
    let own = view.own.as_ref().and_then(|own| own.id);
    let open: Vec<_> = view
        .servers_of(&journey.service)
        .filter(|server| !server.announcement.is_draining && !is_down(server))
        .filter(|server| !journey.tried.contains(&server.id))
        .collect();
    let fresh = |server: &&server::Server| !journey.full.contains(&server.id);
    let unasked: Vec<_> = open.iter().copied().filter(fresh).collect();
    let is_last = journey.full.len() >= journey.probes as usize || unasked.len() <= 1;
    let open = if is_last { open } else { unasked };
    let candidates: Vec<_> = open
        .iter()
        .map(|server| {
            let known = seen.get(&server.id).copied().unwrap_or_default();
            let (load, age) = if own == Some(server.id) {
                (context.backend.load(), Duration::ZERO)
            } else if known.load.slots > 0 {
                (known.load, now.saturating_since(known.at))
            } else {
                let load = admission::Load {
                    slots: server.announcement.slots,
                    service_s: UNKNOWN_SERVICE_S,
                    ..admission::Load::default()
                };
                (load, NEVER)
            };
            let link = match own == Some(server.id) {
                true => transfer::Load::default(),
                false => known.link,
            };
            choice::Candidate {
                load,
                link,
                age,
                outstanding: known.outstanding,
                is_same_domain: server.announcement.domain == context.settings.domain,
                failure_rate: known.failing,
            }
        })
        .collect();
    let bytes = journey.body.as_ref().map_or(0, Bytes::len);
    let best = choice::best(&candidates, bytes, seed(journey))?;
    Some(Chosen {
        server: open[best].clone(),
        is_last,
    })
}

/// Returns a number that differs between requests and between the turns of one.
fn seed(journey: &Journey<'_>) -> u64 {
    let mut hasher = hash::DefaultHasher::new();
    journey.id.hash(&mut hasher);
    journey.full.len().hash(&mut hasher);
    journey.tried.len().hash(&mut hasher);
    hasher.finish()
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
        (seen.load, seen.link, seen.at) = (load.into(), load.into(), now);
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
