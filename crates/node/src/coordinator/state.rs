//! State machine of the coordinator.
//!
//! Events change the state and queue effects, which the coordinator's loop
//! executes; nothing here blocks or performs I/O.

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

/// Time without an announcement after which the backend server is considered stopped.
pub const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of replaced runs of the backend server that are remembered; far more than can
/// start within [`ANNOUNCE_TIMEOUT`].
const MAX_REPLACED: usize = 16;

/// Time for which a shutdown waits until control has assigned idle slices to new owners.
pub const HANDOVER: Duration = Duration::from_secs(1);

/// What the node announces to control in addition to its backend server's announcement.
#[derive(Clone, Debug)]
pub struct Profile {
    /// Region of the node.
    pub region: String,
    /// Failure domain of the VM.
    pub failure_domain: String,
    /// Address on which the node accepts connections from other nodes.
    pub peer_address: std::net::SocketAddr,
    /// Address on which the node accepts callers.
    pub caller_address: std::net::SocketAddr,
    /// Limit on slots, if lower than announced.
    pub max_slots: Option<u32>,
}

/// An action for the coordinator's loop to execute.
#[derive(Debug)]
pub enum Effect {
    /// Send a frame to the control leader.
    Send(session::FromNode),
    /// Close the session, so that the next one starts with a new `Hello`.
    Disconnect,
    /// Replace the backend server that requests are dispatched to.
    UseBackend(sync::Arc<server::Backend>),
    /// Dispatch no more requests to the backend server, which is gone.
    DropBackend,
    /// Ask the backend server to warm up for a range.
    Prepare(String, range::Range),
    /// Grant a slice to the backend server.
    Grant(event::Grant, String, range::Range),
    /// Wait until the closed slice is idle, revoke it at the backend server, then report it idle.
    Release(event::Grant, String, sync::Arc<owned::Slice>),
}

/// State of the coordinator.
#[derive(Debug)]
pub struct State {
    profile: Profile,
    limits: window::Limits,
    nonce: u64,
    lease: holder::Holder,
    sequence: u64,
    view: sync::Arc<view::View>,
    // Changes of a delta whose last frame has not arrived yet.
    pending_changes: Vec<view::Change>,
    identity: Option<route::Identity>,
    backend: Option<(sync::Arc<server::Backend>, clock::Instant)>,
    // Instances that the current one has replaced. A replaced run that was only suspended
    // announces itself again when it resumes, and must not take the keys from its successor.
    replaced_instances: collections::VecDeque<String>,
    connected: bool,
    owned: sync::Arc<published::Owned>,
    granting: collections::BTreeSet<event::Grant>,
    releasing: collections::BTreeMap<event::Grant, Option<window::Export>>,
    prepared: collections::BTreeMap<(id::Service, sequoiayoke_model::key::Hash), window::Export>,
    stopping: bool,
    report: report::Report,
    // When a shutdown began to wait only for the assignment of new owners.
    idle_since: Option<clock::Instant>,
    effects: Vec<Effect>,
}

impl State {
    /// Creates the state of a node that has not joined.
    pub fn new(profile: Profile, lease: holder::Config, limits: window::Limits) -> Self {
        Self {
            profile,
            limits,
            nonce: rand::random(),
            lease: holder::Holder::new(lease),
            sequence: 0,
            view: sync::Arc::default(),
            pending_changes: Vec::new(),
            identity: None,
            backend: None,
            replaced_instances: collections::VecDeque::new(),
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

    /// Removes and returns the effects queued since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns the snapshot to publish to the traffic threads.
    pub fn snapshot(&self) -> published::Snapshot {
        let view_until = self.lease.view_until(self.view.version());
        published::Snapshot {
            view: sync::Arc::clone(&self.view),
            identity: self.identity,
            lease_until: self.lease.valid_until().unwrap_or_default(),
            view_until: view_until.unwrap_or_default(),
            owned: sync::Arc::clone(&self.owned),
            stopping: self.stopping,
        }
    }

    /// Returns the end of the current lease.
    pub fn lease_until(&self) -> clock::Instant {
        self.lease.valid_until().unwrap_or_default()
    }

    /// Returns whether a shutdown no longer has to wait for slices.
    ///
    /// After all slices are idle, the shutdown still waits up to [`HANDOVER`] for the
    /// assignment of new owners: leaving at once would make the slices vacant and lose
    /// their records of request ids.
    pub fn is_release_complete(&mut self, now: clock::Instant) -> bool {
        let is_idle = self.owned.is_empty() && self.releasing.values().all(Option::is_some);
        if !self.stopping || !is_idle {
            return false;
        }
        let since = *self.idle_since.get_or_insert(now);
        self.held().is_empty() || now.saturating_since(since) >= HANDOVER
    }

    /// Returns the slices that still have requests in flight.
    pub fn busy_slices(&self) -> impl Iterator<Item = &sync::Arc<owned::Slice>> {
        self.owned.values().filter(|slice| slice.in_flight() > 0)
    }

    /// Handles an announcement of the backend server.
    pub fn handle_announcement(&mut self, now: clock::Instant, backend: server::Backend) {
        let current = self.backend.as_ref().map(|(backend, _)| backend);
        if current.is_some_and(|current| **current == backend) {
            if let Some((_, seen)) = &mut self.backend {
                *seen = now;
            }
            return;
        }
        if self.replaced_instances.contains(&backend.instance) {
            tracing::warn!(
                server = backend.name,
                instance = backend.instance,
                "ignoring the announcement of a replaced run of the backend server"
            );
            return;
        }
        if let Some(replaced) = current.filter(|current| current.instance != backend.instance) {
            self.replaced_instances.truncate(MAX_REPLACED - 1);
            self.replaced_instances
                .push_front(replaced.instance.clone());
        }
        tracing::info!(
            server = backend.name,
            address = %backend.address,
            checks_fencing = backend.checks_fencing,
            "backend server announced itself"
        );
        let has_predecessor = current.is_some();
        let backend = sync::Arc::new(backend);
        self.backend = Some((sync::Arc::clone(&backend), now));
        self.effects.push(Effect::UseBackend(backend));
        // A new run of the backend server holds no grants, so the node joins as a new run.
        if has_predecessor {
            self.abandon_run("the backend server has restarted");
        } else {
            self.send_hello();
        }
    }

    /// Checks whether the announcements of the backend server have stopped.
    pub fn tick(&mut self, now: clock::Instant) {
        let is_stopped = self
            .backend
            .as_ref()
            .is_some_and(|(_, seen)| now.saturating_since(*seen) >= ANNOUNCE_TIMEOUT);
        if is_stopped {
            self.backend = None;
            self.effects.push(Effect::DropBackend);
            // Without a successor, a replaced run may serve again.
            self.replaced_instances.clear();
            self.abandon_run("the backend server no longer announces itself");
        }
    }

    /// Drops the lease and all slices and disconnects; the node joins later as a new run.
    ///
    /// Control is not notified, so that the lease has to expire before the slices move: a
    /// backend server that is only unresponsive, or was replaced while it was suspended, may
    /// still start a request that carries this lease.
    fn abandon_run(&mut self, cause: &'static str) {
        tracing::warn!(cause, "node drops its lease and all slices");
        self.reset_run();
        self.effects.push(Effect::Disconnect);
    }

    /// Drops the lease and all slices; the next `Hello` starts a new run.
    fn reset_run(&mut self) {
        self.nonce = rand::random();
        self.lease.drop_lease();
        self.identity = None;
        for slice in self.owned.values() {
            slice.close();
        }
        self.owned = sync::Arc::default();
        self.granting.clear();
        self.releasing.clear();
        self.prepared.clear();
    }

    /// Handles a new session with control.
    pub fn handle_session_up(&mut self) {
        self.connected = true;
        self.pending_changes.clear();
        self.send_hello();
    }

    /// Handles the end of the session.
    pub fn handle_session_down(&mut self) {
        self.connected = false;
    }

    fn send_hello(&mut self) {
        let Some((backend, _)) = self.backend.as_ref().filter(|_| self.connected) else {
            return;
        };
        if self.stopping && self.identity.is_none() {
            return;
        }
        let slots = backend.slots;
        let announcement = member::Announcement {
            name: backend.name.clone(),
            nonce: self.nonce,
            services: backend.services.clone(),
            failure_domain: self.profile.failure_domain.clone(),
            peer_address: self.profile.peer_address,
            caller_address: self.profile.caller_address,
            slots: self.profile.max_slots.map_or(slots, |max| max.min(slots)),
            checks_fencing: backend.checks_fencing,
            checks_sender: backend.checks_sender,
        };
        let hello = session::Hello {
            region: self.profile.region.clone(),
            announcement: Some(convert::encode_announcement(&announcement)),
            incarnation: self.identity.map_or(0, |identity| identity.incarnation.0),
            version: self.view.version().0,
        };
        self.effects.push(Effect::Send(hello.into()));
    }

    /// Sets the report that the next renewal carries.
    pub fn set_report(&mut self, report: report::Report) {
        self.report = report;
    }

    /// Sends a renewal of the lease.
    pub fn renew(&mut self, now: clock::Instant) {
        if !self.connected || self.identity.is_none() {
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

    /// Handles a frame from the control leader.
    pub fn handle_frame(&mut self, now: clock::Instant, frame: session::FromControl) {
        match frame.body {
            Some(session::ControlBody::Welcome(welcome)) => self.handle_welcome(now, &welcome),
            Some(session::ControlBody::Renewed(renewed)) => {
                let version = id::Version(renewed.version);
                self.lease.acknowledge(renewed.sequence, version);
            }
            Some(session::ControlBody::Delta(delta)) => self.apply_delta(delta),
            Some(session::ControlBody::Prepare(prepare)) => self.prepare(prepare),
            Some(session::ControlBody::Release(release)) => self.release(&release),
            Some(session::ControlBody::Refused(refused)) => {
                tracing::warn!(reason = refused.reason, "control refused the node");
                self.reset_run();
                self.effects.push(Effect::Disconnect);
            }
            Some(session::ControlBody::Redirect(_)) | None => {}
        }
    }

    fn handle_welcome(&mut self, now: clock::Instant, welcome: &session::Welcome) {
        let identity = route::Identity {
            server: id::Server(welcome.server),
            incarnation: id::Incarnation(welcome.incarnation),
        };
        if self.identity != Some(identity) {
            tracing::info!(
                server = %identity.server,
                incarnation = %identity.incarnation,
                "node has joined"
            );
            self.identity = Some(identity);
        }
        self.renew(now);
        // A newly elected leader does not know of earlier releases.
        self.repeat_releases();
        self.sync_owned();
    }

    fn apply_delta(&mut self, delta: session::Delta) {
        for change in delta.changes {
            match convert::decode_change(change) {
                Ok(change) => self.pending_changes.push(change),
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
        let pending_changes = std::mem::take(&mut self.pending_changes);
        let (from, to) = (id::Version(delta.from), id::Version(delta.to));
        let mut view = match from {
            id::Version(0) => view::View::new(),
            from if from == self.view.version() => view::View::clone(&self.view),
            from => {
                let have = self.view.version();
                tracing::error!(
                    %from,
                    %have,
                    "control sent changes for another version of the view"
                );
                self.effects.push(Effect::Disconnect);
                return;
            }
        };
        self.drop_outdated(from, &pending_changes);
        view.apply(to, pending_changes);
        self.view = sync::Arc::new(view);
        self.sync_owned();
    }
}
