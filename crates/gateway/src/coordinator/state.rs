//! Decisions of the node that are not about single requests: its lease, the grants of its backend
//! server, and the view that requests are routed by.
//!
//! The state does no I/O. Authority to grant keys comes only from the lease: a grant never lasts
//! longer than the lease under which it was made.

mod announced;
mod collect;
mod delivery;
mod grants;
mod push;
mod releases;
mod replicated;

use std::net;
use std::time::Duration;

use sequoiayoke_catalog::{server, slice};
use sequoiayoke_dispatch::usage;
use sequoiayoke_lease::holder;
use sequoiayoke_link::session;
use sequoiayoke_model::{clock, id};

use crate::view;

pub use push::remaining_hold;

/// Time between two renewals of the lease.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(600);
/// Percentage of the remaining lease that a grant lasts. The margin covers a backend server clock
/// that runs up to 2 % slow and the delivery of the command.
const HOLD_PERCENT: u32 = 95;
/// Shortest grant that is worth sending.
const MIN_HOLD: Duration = Duration::from_millis(400);
/// Time after which an unanswered grant is sent again.
const GRANT_RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// Longest time after which an unanswered grant may still take effect at a backend server that gets
/// commands; delays of 12 s have been seen.
pub const MAX_GRANT_DELAY: Duration = Duration::from_secs(15);
/// Time after which an unanswered release is sent again.
const RELEASE_RETRY_INTERVAL: Duration = Duration::from_millis(1_000);

/// Settings of the state.
#[derive(Clone, Debug)]
pub struct Config {
    /// Length of a lease.
    pub lease: Duration,
    /// Longest grant that a backend server accepts.
    pub max_hold: Duration,
    /// Address of the backend server.
    pub backend: net::SocketAddr,
    /// Service of the backend server.
    pub service: String,
    /// Failure domain of the VM.
    pub domain: String,
    /// Start of this process, in milliseconds since the Unix epoch.
    pub started_ms: u64,
}

/// An action that the coordinator has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Sends a renewal to the leader.
    Renew(session::Renewal),
    /// Asks the backend server whether it is this instance, which the leader knows, and in use.
    Identify(server::Announcement),
    /// Sends a grant to the backend server.
    Grant {
        /// The instance that the command is for.
        instance: server::Instance,
        /// The keys.
        range: slice::Range,
        /// Fence of the grant.
        fence: slice::Fence,
        /// Time for which they are held, counted from `at`.
        hold: Duration,
        /// Time at which the grant was made.
        at: clock::Instant,
        /// State that the previous owner handed over.
        handover: Option<String>,
        /// Whether the backend server has confirmed the grant before.
        is_renewal: bool,
    },
    /// Sends a release to the backend server.
    Release {
        /// The instance that the command is for.
        instance: server::Instance,
        /// Service of the keys.
        service: String,
        /// The keys.
        range: slice::Range,
        /// Fence of the grant.
        fence: slice::Fence,
    },
}

#[derive(Debug)]
struct Grant {
    range: slice::Range,
    fence: slice::Fence,
    handover: Option<String>,
    until: Option<clock::Instant>,
    last_sent: Option<clock::Instant>,
    is_refused: bool,
    /// Whether the backend server has answered a grant with this fence, so that it refuses earlier
    /// ones that arrive late.
    is_confirmed: bool,
    /// Number of responses in a row with this grant that the backend server did not take, if it
    /// collects its grants.
    misses: u32,
}

/// A grant without an answer. It may still take effect at the backend server, even after the keys
/// were released.
#[derive(Debug)]
struct UnansweredGrant {
    range: slice::Range,
    fence: slice::Fence,
    /// Time after which the grant can no longer take effect.
    until: clock::Instant,
}

#[derive(Debug)]
struct Release {
    service: String,
    range: slice::Range,
    fence: slice::Fence,
    /// When it was last sent. A release is held back while grants of its keys are in flight, since
    /// the backend server could apply one of them after the release.
    last_sent: Option<clock::Instant>,
    /// Whether the backend server has answered a grant with this fence.
    is_confirmed: bool,
    handover: Option<Option<String>>,
}

#[derive(Debug)]
struct Backend {
    announcement: server::Announcement,
    /// Number of its last announcement; `None` if it has not announced itself to this process.
    sequence: Option<u64>,
    last_announced: clock::Instant,
    draining_since: Option<clock::Instant>,
}

/// An instance of the backend server that has ended.
#[derive(Debug)]
struct Ended {
    instance: server::Instance,
    notice: Notice,
}

/// Whether the leader is told that an instance has ended, upon which its keys are vacant at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Notice {
    /// Not while a grant is in flight, which may reach the next instance at the address.
    Pending,
    /// Never, since the next instance may have taken a grant: it knows no fence. The keys stay until
    /// it has announced itself or the lease has lapsed.
    Withheld,
    /// In each renewal.
    Given,
}

/// An instance that left before it announced itself. Times are in milliseconds since the Unix epoch.
#[derive(Debug)]
struct Left {
    name: String,
    /// Start of the instance, if it has stated that.
    born_ms: Option<u64>,
    /// When it said that it leaves. A later instance has the name only after that.
    unix_ms: u64,
}

impl Left {
    fn is(&self, instance: &server::Instance) -> bool {
        let is_born = match self.born_ms {
            Some(born_ms) => instance.born_ms == born_ms,
            None => instance.born_ms <= self.unix_ms,
        };
        self.name == instance.name && is_born
    }
}

/// An instance that is older than this process and has announced itself to it.
///
/// The announcement may be late, and an earlier process of this node may have acknowledged that the
/// instance leaves. So it is in use only once the backend server has said that it is, or has gone on
/// announcing itself.
#[derive(Debug)]
struct Candidate {
    announcement: server::Announcement,
    sequence: u64,
    /// Number of its announcements.
    heard: u32,
    way: delivery::Way,
}

/// Control state of the node.
#[derive(Debug)]
pub struct State {
    config: Config,
    view: view::View,
    backend: Option<Backend>,
    ended: Option<Ended>,
    left: Option<Left>,
    candidate: Option<Candidate>,
    /// The instance that was last checked, while no instance has announced itself.
    last_identified: Option<server::Instance>,
    /// Whether a check has no result yet.
    is_identifying: bool,
    /// Time since which the failure domain is evacuated.
    evacuated_since: Option<clock::Instant>,
    /// When the grants expire of a draining backend server that refuses connections.
    grants_expire_at: Option<clock::Instant>,
    lease: holder::Holder,
    sequence: u64,
    last_renewal: Option<clock::Instant>,
    grants: Vec<Grant>,
    releases: Vec<Release>,
    /// Grants in flight, which the backend server has not answered.
    in_flight: Vec<(slice::Range, slice::Fence)>,
    unanswered: Vec<UnansweredGrant>,
    /// Whether a replica has sent its state to this process.
    has_state: bool,
    /// All grants that an earlier process of this node may have sent.
    inherited: Option<UnansweredGrant>,
    /// Keys that need a new fence before they can be released.
    refences: Vec<session::Refence>,
    parts: Vec<usage::Part>,
    service_s: f64,
    failure_rate: f64,
    effects: Vec<Effect>,
    is_changed: bool,
    /// Whether the next tick renews the lease to report what has changed.
    is_renewal_due: bool,
    way: delivery::Way,
    collection: collect::Collection,
    /// Whether a backend server that collects its grants is to hold other keys than the last
    /// response stated.
    is_assignment_due: bool,
}

impl State {
    /// Creates the state of a node without a view, a backend server or a lease.
    pub fn new(config: Config) -> Self {
        Self {
            lease: holder::Holder::new(holder::Config {
                lease: config.lease,
                ..holder::Config::default()
            }),
            config,
            view: view::View::default(),
            backend: None,
            ended: None,
            left: None,
            candidate: None,
            last_identified: None,
            is_identifying: false,
            evacuated_since: None,
            grants_expire_at: None,
            sequence: 0,
            last_renewal: None,
            grants: Vec::new(),
            releases: Vec::new(),
            in_flight: Vec::new(),
            unanswered: Vec::new(),
            has_state: false,
            inherited: None,
            refences: Vec::new(),
            parts: Vec::new(),
            service_s: 0.0,
            failure_rate: 0.0,
            effects: Vec::new(),
            is_changed: true,
            is_renewal_due: false,
            way: delivery::Way::default(),
            collection: collect::Collection::default(),
            is_assignment_due: false,
        }
    }

    /// Returns the effects since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns the view if it has changed since the last call.
    pub fn take_view(&mut self) -> Option<view::View> {
        if !std::mem::take(&mut self.is_changed) {
            return None;
        }
        self.view.backend = self.backend.as_ref().map(|backend| view::Backend {
            announcement: backend.announcement.clone(),
            id: self.backend_id(),
            draining_since: backend.draining_since,
            evacuated_since: self.evacuated_since,
            held: self
                .grants
                .iter()
                .filter_map(|grant| {
                    let until = grant.until?;
                    let (range, fence) = (grant.range, grant.fence);
                    Some(view::Held {
                        range,
                        fence,
                        until,
                    })
                })
                .collect(),
        });
        Some(self.view.clone())
    }

    fn backend_id(&self) -> Option<id::Server> {
        let backend = self.backend.as_ref()?;
        let mut servers = self.view.servers.values();
        let server =
            servers.find(|server| server.announcement.instance == backend.announcement.instance)?;
        Some(server.id)
    }

    /// Records the load that requests have caused.
    pub fn record_usage(&mut self, parts: Vec<usage::Part>, service_s: f64, failure_rate: f64) {
        self.failure_rate = failure_rate;
        self.parts = parts;
        self.service_s = service_s;
    }

    /// Renews the lease at once over a new connection.
    pub fn record_connected(&mut self, now: clock::Instant) {
        self.renew(now);
    }

    /// Records that the node is stopping.
    pub fn record_stopping(&mut self, now: clock::Instant) {
        self.view.is_stopping = true;
        self.is_changed = true;
        self.renew(now);
    }

    fn renew(&mut self, now: clock::Instant) {
        self.is_renewal_due = false;
        self.sequence += 1;
        self.last_renewal = Some(now);
        self.lease.record_sent(now, self.sequence);
        let released = self.releases.iter().filter_map(|release| {
            Some(session::Released {
                service: release.service.clone(),
                range: release.range,
                fence: release.fence,
                handover: release.handover.clone()?,
            })
        });
        let renewal = session::Renewal {
            sequence: self.sequence,
            applied: self.view.index,
            server: self
                .backend
                .as_ref()
                .map(|backend| backend.announcement.clone()),
            ended: self.given_end().cloned(),
            released: released.collect(),
            refences: std::mem::take(&mut self.refences),
            parts: self.parts.clone(),
            service_s: self.service_s,
            failing: self.failure_rate,
            is_leaving: self.view.is_stopping,
        };
        self.effects.push(Effect::Renew(renewal));
    }

    /// Records the acknowledgement of a renewal.
    pub fn record_renewed(&mut self, now: clock::Instant, sequence: u64, server: id::Server) {
        if self.backend_id() == Some(server) {
            self.lease
                .acknowledge(sequence, id::Version(self.view.index));
            self.reconcile_grants(now);
        }
    }

    /// Performs the actions that are due at `now`.
    pub fn tick(&mut self, now: clock::Instant) {
        if self.is_renewal_due
            || self
                .last_renewal
                .is_none_or(|at| now.saturating_since(at) >= RENEW_INTERVAL)
        {
            self.renew(now);
        }
        if self.grants_expire_at.is_some() {
            let instance = self
                .backend
                .as_ref()
                .map(|backend| backend.announcement.instance.clone());
            if let Some(instance) = instance {
                self.record_ended(now, &instance);
            }
        }
        self.send_grants(now);
        self.send_releases(now);
    }

    /// Returns the announcement of the backend server if it has not announced itself for `timeout`.
    pub fn unresponsive(
        &self,
        now: clock::Instant,
        timeout: Duration,
    ) -> Option<&server::Announcement> {
        let backend = self.backend.as_ref()?;
        let is_unresponsive = now.saturating_since(backend.last_announced) >= timeout;
        is_unresponsive.then_some(&backend.announcement)
    }

    /// Returns when [`State::tick`] next has something to do.
    pub fn next_deadline(&self, now: clock::Instant) -> clock::Instant {
        let renew = self.last_renewal.map_or(now, |at| at + RENEW_INTERVAL);
        let is_waiting =
            !self.releases.is_empty() || self.grants.iter().any(|grant| grant.until.is_none());
        match is_waiting {
            true => renew.min(now + GRANT_RETRY_INTERVAL / 2),
            false => renew,
        }
    }
}
