//! Choice of the backend server from the observations of this node.

use std::hash::{self, Hash, Hasher};
use std::time::Duration;

use bytes::Bytes;
use sequoiayoke_catalog::server;
use sequoiayoke_dispatch::{admission, choice, transfer};
use sequoiayoke_link::peer;
use sequoiayoke_model::{clock, id};

use super::{DOWN_DURATION, Delivery};
use crate::traffic::Context;
use crate::view;

/// Age of the load of a server that was never observed.
const UNKNOWN_LOAD_AGE: Duration = Duration::from_secs(3_600);
/// Assumed run time of a request at a server that was never observed, in seconds.
const DEFAULT_SERVICE_S: f64 = 0.1;
/// Weight of a new outcome in the moving average of the failure rate.
const FAILURE_WEIGHT: f64 = 0.1;

/// Observations of a backend server.
#[derive(Clone, Copy, Debug, Default)]
pub(in crate::traffic) struct Observation {
    load: admission::Load,
    link: transfer::Load,
    received_at: clock::Instant,
    outstanding: u32,
    down_until: clock::Instant,
    failure_rate: f64,
}

/// The backend server chosen for a request.
#[derive(Clone, Debug)]
pub(super) struct Choice {
    /// The backend server.
    pub(super) server: server::Server,
    /// Whether the request waits at this server, without probing others if it is full.
    pub(super) is_last: bool,
}

/// Returns the backend server to send to now.
///
/// A request without a key probes a few of the least busy servers for a free slot, and waits at the
/// best of all only if none has one.
pub(super) fn choose<Frontend>(
    context: &Context<Frontend>,
    view: &view::View,
    delivery: &Delivery<'_>,
    now: clock::Instant,
) -> Option<Choice> {
    let observations = context.observations.borrow();
    let is_down = |server: &server::Server| {
        observations
            .get(&server.id)
            .is_some_and(|observation| now < observation.down_until)
    };
    if let Some(key) = delivery.key {
        let owner = view.owner(&delivery.service, key);
        let owner = owner.filter(|owner| !is_down(owner))?;
        return Some(Choice {
            server: owner.clone(),
            is_last: true,
        });
    }
    let own_id = view.backend.as_ref().and_then(|backend| backend.id);
    let available: Vec<_> = view
        .servers_of(&delivery.service)
        .filter(|server| !server.announcement.is_draining && !is_down(server))
        .filter(|server| !view.is_evacuated(&server.announcement.domain))
        .filter(|server| !delivery.tried.contains(&server.id))
        .collect();
    let is_unprobed = |server: &&server::Server| !delivery.full.contains(&server.id);
    let unprobed: Vec<_> = available.iter().copied().filter(is_unprobed).collect();
    let is_last = delivery.full.len() >= delivery.probes as usize || unprobed.len() <= 1;
    let available = if is_last { available } else { unprobed };
    let candidates: Vec<_> = available
        .iter()
        .map(|server| {
            let known = observations.get(&server.id).copied().unwrap_or_default();
            let (load, age) = if own_id == Some(server.id) {
                (context.backend.load(), Duration::ZERO)
            } else if known.load.slots > 0 {
                (known.load, now.saturating_since(known.received_at))
            } else {
                let load = admission::Load {
                    slots: server.announcement.slots,
                    service_s: DEFAULT_SERVICE_S,
                    usual_s: DEFAULT_SERVICE_S,
                    ..admission::Load::default()
                };
                (load, UNKNOWN_LOAD_AGE)
            };
            let link = match own_id == Some(server.id) {
                true => transfer::Load::default(),
                false => known.link,
            };
            choice::Candidate {
                load,
                link,
                age,
                outstanding: known.outstanding,
                is_same_domain: server.announcement.domain == context.settings.domain,
                failure_rate: known.failure_rate,
            }
        })
        .collect();
    let request = choice::Request {
        bytes: delivery.body.as_ref().map_or(0, Bytes::len),
        response_bytes: context.response_size(delivery.class),
        useful: now.saturating_until(delivery.useful_until),
    };
    let best = choice::best(&candidates, &request, seed(delivery))?;
    Some(Choice {
        server: available[best].clone(),
        is_last,
    })
}

/// Returns a seed that differs between requests and between the rounds of one request.
fn seed(delivery: &Delivery<'_>) -> u64 {
    let mut hasher = hash::DefaultHasher::new();
    delivery.id.hash(&mut hasher);
    delivery.full.len().hash(&mut hasher);
    delivery.tried.len().hash(&mut hasher);
    hasher.finish()
}

/// Counts a request as outstanding at a backend server until it is dropped.
pub(super) struct Outstanding<'a, Frontend> {
    context: &'a Context<Frontend>,
    server: id::Server,
}

impl<'a, Frontend> Outstanding<'a, Frontend> {
    pub(super) fn new(context: &'a Context<Frontend>, server: id::Server) -> Self {
        let mut observations = context.observations.borrow_mut();
        observations.entry(server).or_default().outstanding += 1;
        drop(observations);
        Self { context, server }
    }
}

impl<Frontend> Drop for Outstanding<'_, Frontend> {
    fn drop(&mut self) {
        let mut observations = self.context.observations.borrow_mut();
        if let Some(observation) = observations.get_mut(&self.server) {
            observation.outstanding = observation.outstanding.saturating_sub(1);
        }
    }
}

/// Records the outcome of an attempt for later choices.
pub(super) fn record_outcome<Frontend>(
    context: &Context<Frontend>,
    target: &server::Server,
    outcome: &peer::Outcome,
    load: peer::Load,
) {
    let now = clock::Instant::now();
    let mut observations = context.observations.borrow_mut();
    let view_servers = &context.shared.view.load().servers;
    if observations.len() > view_servers.len() * 2 {
        observations.retain(|id, _| view_servers.contains_key(id));
    }
    let observation = observations.entry(target.id).or_default();
    if load.slots > 0 {
        (observation.load, observation.link, observation.received_at) =
            (load.into(), load.into(), now);
    }
    let failed = match outcome {
        peer::Outcome::Answered { status, .. } => *status >= 500,
        peer::Outcome::NotRun { reason, .. } => {
            if matches!(
                reason,
                peer::Reason::Unreachable | peer::Reason::OtherInstance | peer::Reason::Stopping
            ) {
                observation.down_until = now + DOWN_DURATION;
            }
            matches!(reason, peer::Reason::RefusedByServer)
        }
        peer::Outcome::Unknown(reason) => {
            if matches!(reason, peer::Reason::LinkLost) {
                observation.down_until = now + DOWN_DURATION;
            }
            true
        }
    };
    let failed = f64::from(u8::from(failed));
    observation.failure_rate += FAILURE_WEIGHT * (failed - observation.failure_rate);
}
