//! What the node decides apart from single requests: its lease, the grants of its
//! backend server, and the view that requests are routed by.
//!
//! The state is pure. Authority to grant keys comes from the lease alone: a
//! grant never lasts longer than the lease that it was made under.

mod grants;
mod releases;

use std::net;
use std::sync;
use std::time::Duration;

use sequoiayoke_catalog::{server, slice};
use sequoiayoke_dispatch::usage;
use sequoiayoke_lease::holder;
use sequoiayoke_link::session;
use sequoiayoke_model::{clock, id};

use crate::view;

/// Time between two renewals of the lease.
pub const RENEW_PAUSE: Duration = Duration::from_millis(600);
/// Part of the lease that a grant uses; a backend server's clock may run 2 %
/// slow, and the command takes some time.
const HOLD_PERCENT: u32 = 95;
/// Shortest grant that is worth a command.
const MIN_HOLD: Duration = Duration::from_millis(400);
/// Time after which a grant without an answer is sent again.
const GRANT_RETRY: Duration = Duration::from_millis(400);
/// Time after which a release without an answer is sent again.
const RELEASE_RETRY: Duration = Duration::from_millis(1_000);

/// Settings of the state.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// Length of a lease.
    pub lease: Duration,
    /// Longest grant that a backend server takes.
    pub max_hold: Duration,
    /// Address of the backend server.
    pub backend: net::SocketAddr,
}

/// What the coordinator has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Sends a renewal to the leader.
    Renew(session::Renewal),
    /// Finds out whether this run, which the leader knows, is still there.
    Identify(server::Announcement),
    /// Sends a grant to the backend server.
    Grant {
        /// The run that is meant.
        instance: server::Instance,
        /// The keys.
        range: slice::Range,
        /// Number of the grant.
        fence: slice::Fence,
        /// Time for which they are held, from `at`.
        hold: Duration,
        /// Time at which the grant was made.
        at: clock::Instant,
        /// What the last owner handed over.
        handover: Option<String>,
    },
    /// Sends a release to the backend server.
    Release {
        /// The run that is meant.
        instance: server::Instance,
        /// Service of the keys.
        service: String,
        /// The keys.
        range: slice::Range,
        /// Number of the grant.
        fence: slice::Fence,
    },
}

#[derive(Debug)]
struct Grant {
    range: slice::Range,
    fence: slice::Fence,
    handover: Option<String>,
    until: Option<clock::Instant>,
    asked: Option<clock::Instant>,
    is_refused: bool,
    /// Whether the backend server has answered a grant with this fence, so that
    /// it refuses earlier ones that arrive late.
    is_confirmed: bool,
}

/// A grant without an answer. The backend server may still take it, even after it
/// has released the keys.
#[derive(Debug)]
struct Uncertain {
    range: slice::Range,
    fence: slice::Fence,
    /// Time after which the backend server no longer takes it.
    until: clock::Instant,
}

#[derive(Debug)]
struct Release {
    service: String,
    range: slice::Range,
    fence: slice::Fence,
    /// When it was sent last; a release waits for grants of its keys that are
    /// on their way, since the backend server could take one after it.
    asked: Option<clock::Instant>,
    /// Whether the backend server has answered a grant with this fence.
    is_confirmed: bool,
    handover: Option<Option<String>>,
}

#[derive(Debug)]
struct Own {
    announcement: server::Announcement,
    sequence: u64,
    heard: clock::Instant,
    draining_since: Option<clock::Instant>,
}

/// The state.
#[derive(Debug)]
pub struct State {
    config: Config,
    view: view::View,
    own: Option<Own>,
    ended: Option<server::Instance>,
    /// The run that was asked for last, while none has announced itself.
    identified: Option<server::Instance>,
    /// When the grants of a backend server that takes no connection have run out.
    closes: Option<clock::Instant>,
    lease: holder::Holder,
    sequence: u64,
    renewed: Option<clock::Instant>,
    grants: Vec<Grant>,
    releases: Vec<Release>,
    /// Grants that the backend server has not answered.
    open: Vec<(slice::Range, slice::Fence)>,
    uncertain: Vec<Uncertain>,
    /// Keys that need a new fence before they can be released.
    refences: Vec<session::Refence>,
    parts: Vec<usage::Part>,
    service_s: f64,
    failing: f64,
    effects: Vec<Effect>,
    is_changed: bool,
}

impl State {
    /// Makes the state of a node that knows nothing yet.
    pub fn new(config: Config) -> Self {
        Self {
            lease: holder::Holder::new(holder::Config {
                lease: config.lease,
                ..holder::Config::default()
            }),
            config,
            view: view::View::default(),
            own: None,
            ended: None,
            identified: None,
            closes: None,
            sequence: 0,
            renewed: None,
            grants: Vec::new(),
            releases: Vec::new(),
            open: Vec::new(),
            uncertain: Vec::new(),
            refences: Vec::new(),
            parts: Vec::new(),
            service_s: 0.0,
            failing: 0.0,
            effects: Vec::new(),
            is_changed: true,
        }
    }

    /// Takes the effects since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns the view, if it has changed since the last call.
    pub fn take_view(&mut self) -> Option<view::View> {
        if !std::mem::take(&mut self.is_changed) {
            return None;
        }
        self.view.own = self.own.as_ref().map(|own| view::Own {
            announcement: own.announcement.clone(),
            id: self.own_id(),
            draining_since: own.draining_since,
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

    fn own_id(&self) -> Option<id::Server> {
        let own = self.own.as_ref()?;
        let mut servers = self.view.servers.values();
        let found = servers.find(|one| one.announcement.instance == own.announcement.instance)?;
        Some(found.id)
    }

    /// Takes an announcement of the backend server; returns whether it counts.
    pub fn announced(
        &mut self,
        now: clock::Instant,
        new: server::Announcement,
        sequence: u64,
    ) -> bool {
        if let Some(own) = &mut self.own {
            let known = &own.announcement.instance;
            if *known == new.instance {
                if sequence < own.sequence {
                    return true;
                }
                own.sequence = sequence;
                own.heard = now;
                if own.draining_since.is_some() || own.announcement == new {
                    return true;
                }
                if new.is_draining {
                    own.draining_since = Some(now);
                }
                own.announcement = new;
                self.is_changed = true;
                self.renew(now);
                return true;
            }
            // A late announcement of a run that has ended must not replace a later one.
            if known.born_ms > new.instance.born_ms {
                return false;
            }
        }
        if self.ended.as_ref() == Some(&new.instance) {
            return false;
        }
        tracing::info!(
            instance = new.instance.name,
            born_ms = new.instance.born_ms,
            service = new.service,
            "the backend server has announced itself"
        );
        self.reset();
        self.own = Some(Own {
            draining_since: new.is_draining.then_some(now),
            announcement: new,
            sequence,
            heard: now,
        });
        self.renew(now);
        true
    }

    /// Asks the backend server whether it is the run that the leader knows at its
    /// address, so that a node that has restarted need not wait for an announcement.
    ///
    /// Only for services without keys: a run that has started again under its name holds
    /// no keys, and only its announcement tells that it has.
    fn identify(&mut self) {
        if self.own.is_some() {
            return;
        }
        let mut servers = self.view.servers.values();
        let known = servers.find(|one| one.announcement.address == self.config.backend);
        let Some(known) = known.map(|one| &one.announcement) else {
            return;
        };
        let service = self.view.service(&known.service);
        let is_keyed = service.is_none_or(|service| service.is_keyed);
        let run = Some(&known.instance);
        if is_keyed || self.ended.as_ref() == run || self.identified.as_ref() == run {
            return;
        }
        self.identified = Some(known.instance.clone());
        self.effects.push(Effect::Identify(known.clone()));
    }

    /// Takes the news that the backend server leaves; returns whether it is the one.
    pub fn leaving(&mut self, now: clock::Instant, name: &str) -> bool {
        let Some(own) = &mut self.own else {
            return false;
        };
        if own.announcement.instance.name != name {
            return false;
        }
        if own.draining_since.is_none() {
            own.draining_since = Some(now);
            own.announcement.is_draining = true;
            self.is_changed = true;
            self.renew(now);
        }
        true
    }

    /// Takes the news that a run of the backend server takes no connection.
    ///
    /// One that was leaving may have closed its port with work still running, so its keys
    /// stay with it until its grants have run out. Any other has ended.
    pub fn ended(&mut self, now: clock::Instant, instance: &server::Instance) {
        let own = self.own.as_ref();
        let Some(own) = own.filter(|own| own.announcement.instance == *instance) else {
            return;
        };
        let holds = !self.grants.is_empty() || !self.releases.is_empty();
        if own.draining_since.is_some() && holds {
            // No grant outlasts the lease, also one whose release got no answer.
            let until = match self.closes {
                Some(until) => until,
                None => {
                    tracing::info!(
                        instance = instance.name,
                        "a leaving backend server takes no connection; its grants run out"
                    );
                    now + self.lease.remaining(now)
                }
            };
            self.closes = Some(until);
            if now < until {
                return;
            }
        }
        tracing::warn!(instance = instance.name, "the backend server has ended");
        self.ended = Some(instance.clone());
        self.own = None;
        self.reset();
        self.renew(now);
    }

    /// Forgets what one run of the backend server held.
    fn reset(&mut self) {
        self.grants.clear();
        self.releases.clear();
        self.open.clear();
        self.uncertain.clear();
        self.refences.clear();
        self.parts.clear();
        self.closes = None;
        self.lease.drop_lease();
        self.is_changed = true;
    }

    /// Takes the load that requests have caused.
    pub fn used(&mut self, parts: Vec<usage::Part>, service_s: f64, failing: f64) {
        self.failing = failing;
        self.parts = parts;
        self.service_s = service_s;
    }

    /// Renews at once over a new connection.
    pub fn connected(&mut self, now: clock::Instant) {
        self.renew(now);
    }

    /// Records that the node is about to stop.
    pub fn stopping(&mut self, now: clock::Instant) {
        self.view.is_stopping = true;
        self.is_changed = true;
        self.renew(now);
    }

    fn renew(&mut self, now: clock::Instant) {
        self.sequence += 1;
        self.renewed = Some(now);
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
            server: self.own.as_ref().map(|own| own.announcement.clone()),
            ended: self.ended.clone(),
            released: released.collect(),
            refences: std::mem::take(&mut self.refences),
            parts: self.parts.clone(),
            service_s: self.service_s,
            failing: self.failing,
            is_leaving: self.view.is_stopping,
        };
        self.effects.push(Effect::Renew(renewal));
    }

    /// Takes a section of the state.
    pub fn learned(&mut self, now: clock::Instant, state: session::State) {
        // A replica that is behind must not take the node back.
        if state.index < self.view.index {
            return;
        }
        self.view.index = state.index;
        if let Some(config) = state.config {
            let current = self.view.config.as_ref().map(|config| config.version);
            if current.is_none_or(|current| current < config.version) {
                tracing::info!(
                    version = config.version.0,
                    index = state.index,
                    "configuration in force"
                );
                self.view.config = Some(sync::Arc::new(config));
            }
        }
        if let Some(servers) = state.servers {
            let before = self.own_id();
            let servers = servers.into_iter().map(|server| (server.id, server));
            self.view.servers = sync::Arc::new(servers.collect());
            // A lease belongs to one number; the next renewal asks for a new one.
            if before.is_some() && self.own_id() != before {
                self.lease.drop_lease();
                self.grants.clear();
                self.releases.clear();
            }
            if before != self.own_id() {
                self.renew(now);
            }
            self.identify();
        }
        if let Some(tables) = state.tables {
            self.view.tables = sync::Arc::new(tables);
        }
        self.is_changed = true;
        self.reconcile(now);
    }

    /// Takes the acknowledgement of a renewal.
    pub fn renewed(&mut self, now: clock::Instant, sequence: u64, server: id::Server) {
        if self.own_id() == Some(server) {
            self.lease
                .acknowledge(sequence, id::Version(self.view.index));
            self.reconcile(now);
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: clock::Instant) {
        if self
            .renewed
            .is_none_or(|at| now.saturating_since(at) >= RENEW_PAUSE)
        {
            self.renew(now);
        }
        if self.closes.is_some() {
            let own = self
                .own
                .as_ref()
                .map(|own| own.announcement.instance.clone());
            if let Some(instance) = own {
                self.ended(now, &instance);
            }
        }
        self.grant(now);
        self.ask_releases(now);
    }

    /// Returns the run that has not announced itself for `span`, if there is one.
    pub fn silent(&self, now: clock::Instant, span: Duration) -> Option<&server::Announcement> {
        let own = self.own.as_ref()?;
        let is_silent = now.saturating_since(own.heard) >= span;
        is_silent.then_some(&own.announcement)
    }

    /// Returns when [`State::tick`] has something to do next.
    pub fn next_deadline(&self, now: clock::Instant) -> clock::Instant {
        let renew = self.renewed.map_or(now, |at| at + RENEW_PAUSE);
        let waits =
            !self.releases.is_empty() || self.grants.iter().any(|grant| grant.until.is_none());
        match waits {
            true => renew.min(now + GRANT_RETRY / 2),
            false => renew,
        }
    }
}
