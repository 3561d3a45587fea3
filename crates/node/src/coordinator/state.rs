//! What the coordinator knows and decides.
//!
//! Events change the state and leave effects, which the coordinator's loop
//! carries out; nothing here waits.

mod grants;

use std::collections;
use std::sync;
use std::time::Duration;

use sequoiayoke_lease::holder;
use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_model::range;
use sequoiayoke_model::view;
use sequoiayoke_state::member;
use sequoiayoke_traffic::route;
use sequoiayoke_traffic::window;
use sequoiayoke_wire::convert;
use sequoiayoke_wire::session;

use super::event;
use super::report;
use crate::published;
use crate::traffic::owned;
use crate::traffic::server;

/// Time without an announcement after which the backend server counts as gone.
pub const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Former runs of the backend server that are remembered; far more than start within
/// [`ANNOUNCE_TIMEOUT`].
const MAX_FORMER: usize = 16;

/// Time that a shutdown gives idle slices to reach their next owners.
pub const HANDOVER: Duration = Duration::from_secs(1);

/// What the node says about itself, besides its backend server's announcement.
#[derive(Clone, Debug)]
pub struct Place {
    /// Region of the node.
    pub region: String,
    /// Failure domain of the VM.
    pub failure_domain: String,
    /// Address for frames from other nodes.
    pub peer_address: std::net::SocketAddr,
    /// Address for callers.
    pub caller_address: std::net::SocketAddr,
    /// Slots to use at most, if fewer than announced.
    pub max_slots: Option<u32>,
}

/// Something that the coordinator's loop has to do.
#[derive(Debug)]
pub enum Effect {
    /// Send a frame to the control leader.
    Send(session::FromNode),
    /// Close the session, so that the next one starts with a new `Hello`.
    Disconnect,
    /// Use this backend server from now on.
    Use(sync::Arc<server::Backend>),
    /// Ask the backend server to warm up.
    Prepare(String, range::Range),
    /// Grant a slice to the backend server.
    Grant(event::Grant, String, range::Range),
    /// Wait until the closed slice is idle, revoke it from the backend server, then report it.
    Release(event::Grant, String, sync::Arc<owned::Slice>),
}

/// State of the coordinator.
#[derive(Debug)]
pub struct State {
    place: Place,
    limits: window::Limits,
    nonce: u64,
    lease: holder::Holder,
    sequence: u64,
    view: sync::Arc<view::View>,
    // Parts of a delta that has not ended yet.
    parts: Vec<view::Change>,
    me: Option<route::Identity>,
    backend: Option<(sync::Arc<server::Backend>, clock::Instant)>,
    // Runs that the present one has replaced. One that was only paused announces itself
    // again when it resumes, and must not take the keys back from its successor.
    former: collections::VecDeque<String>,
    connected: bool,
    owned: sync::Arc<published::Owned>,
    granting: collections::BTreeSet<event::Grant>,
    releasing: collections::BTreeMap<event::Grant, Option<window::Export>>,
    prepared: collections::BTreeMap<(id::Service, sequoiayoke_model::key::Hash), window::Export>,
    stopping: bool,
    report: report::Report,
    // Since when a shutdown has only waited for the next owners.
    idle_since: Option<clock::Instant>,
    effects: Vec<Effect>,
}

impl State {
    /// Makes the state of a node that has not joined.
    pub fn new(place: Place, lease: holder::Config, limits: window::Limits) -> Self {
        Self {
            place,
            limits,
            nonce: rand::random(),
            lease: holder::Holder::new(lease),
            sequence: 0,
            view: sync::Arc::default(),
            parts: Vec::new(),
            me: None,
            backend: None,
            former: collections::VecDeque::new(),
            connected: false,
            owned: sync::Arc::default(),
            granting: collections::BTreeSet::new(),
            releasing: collections::BTreeMap::new(),
            prepared: collections::BTreeMap::new(),
            stopping: false,
            report: report::Report::default(),
            idle_since: None,
            effects: Vec::new(),
        }
    }

    /// Takes the effects of the events since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns what traffic threads are to see.
    pub fn snapshot(&self) -> published::Snapshot {
        let view_until = self.lease.view_until(self.view.version());
        published::Snapshot {
            view: sync::Arc::clone(&self.view),
            me: self.me,
            lease_until: self.lease.valid_until().unwrap_or_default(),
            view_until: view_until.unwrap_or_default(),
            owned: sync::Arc::clone(&self.owned),
            stopping: self.stopping,
        }
    }

    /// Returns the end of the present lease.
    pub fn lease_until(&self) -> clock::Instant {
        self.lease.valid_until().unwrap_or_default()
    }

    /// Tells whether a shutdown need not wait for slices any more.
    ///
    /// Idle slices get some time to reach their next owners: leaving at once would
    /// make them vacant, and their records of request ids would be lost.
    pub fn is_released(&mut self, now: clock::Instant) -> bool {
        let idle = self.owned.is_empty() && self.releasing.values().all(Option::is_some);
        if !self.stopping || !idle {
            return false;
        }
        let since = *self.idle_since.get_or_insert(now);
        self.held().is_empty() || now.saturating_since(since) >= HANDOVER
    }

    /// Lists the slices that still have requests in flight.
    pub fn busy(&self) -> impl Iterator<Item = &sync::Arc<owned::Slice>> {
        self.owned.values().filter(|slice| slice.in_flight() > 0)
    }

    /// The backend server has announced itself.
    pub fn announced(&mut self, now: clock::Instant, backend: server::Backend) {
        let known = self.backend.as_ref().map(|(known, _)| known);
        if known.is_some_and(|known| **known == backend) {
            if let Some((_, seen)) = &mut self.backend {
                *seen = now;
            }
            return;
        }
        if self.former.contains(&backend.instance) {
            tracing::warn!(
                server = backend.name,
                instance = backend.instance,
                "ignoring a run of the backend server that another run has replaced"
            );
            return;
        }
        if let Some(known) = known.filter(|known| known.instance != backend.instance) {
            self.former.truncate(MAX_FORMER - 1);
            self.former.push_front(known.instance.clone());
        }
        tracing::info!(
            server = backend.name,
            address = %backend.address,
            checks_fencing = backend.checks_fencing,
            "backend server announced itself"
        );
        let changed = known.is_some();
        let backend = sync::Arc::new(backend);
        self.backend = Some((sync::Arc::clone(&backend), now));
        self.effects.push(Effect::Use(backend));
        // A new run of the backend server holds no grant, so the node joins anew.
        if changed {
            self.leave("the backend server has restarted");
        } else {
            self.hello();
        }
    }

    /// Time passes: the backend server may be gone.
    pub fn tick(&mut self, now: clock::Instant) {
        let gone = self
            .backend
            .as_ref()
            .is_some_and(|(_, seen)| now.saturating_since(*seen) >= ANNOUNCE_TIMEOUT);
        if gone {
            self.backend = None;
            // With no successor left, a former run may serve again.
            self.former.clear();
            self.leave("the backend server no longer announces itself");
        }
    }

    /// Gives everything up and joins as a new run later.
    ///
    /// Control is not told, so that the lease has to end before the slices move: a backend
    /// server that is only silent, or replaced while it was paused, may still start a
    /// request that carries this lease.
    fn leave(&mut self, cause: &'static str) {
        tracing::warn!(cause, "node gives up its slices");
        self.forget_run();
        self.effects.push(Effect::Disconnect);
    }

    /// Drops the lease and all slices; the next `Hello` starts a new run.
    fn forget_run(&mut self) {
        self.nonce = rand::random();
        self.lease.drop_lease();
        self.me = None;
        for slice in self.owned.values() {
            slice.close();
        }
        self.owned = sync::Arc::default();
        self.granting.clear();
        self.releasing.clear();
        self.prepared.clear();
    }

    /// A session with control is up.
    pub fn session_up(&mut self) {
        self.connected = true;
        self.parts.clear();
        self.hello();
    }

    /// The session has ended.
    pub fn session_down(&mut self) {
        self.connected = false;
    }

    fn hello(&mut self) {
        let Some((backend, _)) = self.backend.as_ref().filter(|_| self.connected) else {
            return;
        };
        if self.stopping && self.me.is_none() {
            return;
        }
        let slots = backend.slots;
        let announcement = member::Announcement {
            name: backend.name.clone(),
            nonce: self.nonce,
            services: backend.services.clone(),
            failure_domain: self.place.failure_domain.clone(),
            peer_address: self.place.peer_address,
            caller_address: self.place.caller_address,
            slots: self.place.max_slots.map_or(slots, |max| max.min(slots)),
            checks_fencing: backend.checks_fencing,
            checks_sender: backend.checks_sender,
        };
        let hello = session::Hello {
            region: self.place.region.clone(),
            announcement: Some(convert::announcement(&announcement)),
            incarnation: self.me.map_or(0, |me| me.incarnation.0),
            version: self.view.version().0,
        };
        self.effects.push(Effect::Send(hello.into()));
    }

    /// The next renewal carries this report.
    pub fn report(&mut self, report: report::Report) {
        self.report = report;
    }

    /// A renewal of the lease is due.
    pub fn renew(&mut self, now: clock::Instant) {
        if !self.connected || self.me.is_none() {
            return;
        }
        self.sequence += 1;
        self.lease.record_sent(now, self.sequence);
        let report = std::mem::take(&mut self.report);
        let renew = session::Renew {
            sequence: self.sequence,
            version: self.view.version().0,
            load: report.load,
            health: report.health,
        };
        self.effects.push(Effect::Send(renew.into()));
    }

    /// A frame from the control leader.
    pub fn received(&mut self, now: clock::Instant, frame: session::FromControl) {
        match frame.body {
            Some(session::ControlBody::Welcome(welcome)) => self.welcomed(now, &welcome),
            Some(session::ControlBody::Renewed(renewed)) => {
                let version = id::Version(renewed.version);
                self.lease.acknowledge(renewed.sequence, version);
            }
            Some(session::ControlBody::Delta(delta)) => self.changed(delta),
            Some(session::ControlBody::Prepare(prepare)) => self.prepare(prepare),
            Some(session::ControlBody::Release(release)) => self.release(&release),
            Some(session::ControlBody::Refused(refused)) => {
                tracing::warn!(reason = refused.reason, "control refused the node");
                self.forget_run();
                self.effects.push(Effect::Disconnect);
            }
            Some(session::ControlBody::Redirect(_)) | None => {}
        }
    }

    fn welcomed(&mut self, now: clock::Instant, welcome: &session::Welcome) {
        let me = route::Identity {
            server: id::Server(welcome.server),
            incarnation: id::Incarnation(welcome.incarnation),
        };
        if self.me != Some(me) {
            tracing::info!(server = %me.server, incarnation = %me.incarnation, "node has joined");
            self.me = Some(me);
        }
        self.renew(now);
        // A leader that was elected meanwhile does not know of earlier releases.
        self.repeat_releases();
        self.sync_owned();
    }

    fn changed(&mut self, delta: session::Delta) {
        for change in delta.changes {
            match convert::to_change(change) {
                Ok(change) => self.parts.push(change),
                Err(error) => {
                    tracing::error!(%error, "control sent a malformed change");
                    self.effects.push(Effect::Disconnect);
                    return;
                }
            }
        }
        if delta.more {
            return;
        }
        let parts = std::mem::take(&mut self.parts);
        let (from, to) = (id::Version(delta.from), id::Version(delta.to));
        let mut view = match from {
            id::Version(0) => view::View::new(),
            from if from == self.view.version() => view::View::clone(&self.view),
            from => {
                let have = self.view.version();
                tracing::error!(%from, %have, "control sent changes of another version");
                self.effects.push(Effect::Disconnect);
                return;
            }
        };
        self.drop_outdated(from, &parts);
        view.apply(to, parts);
        self.view = sync::Arc::new(view);
        self.sync_owned();
    }
}
