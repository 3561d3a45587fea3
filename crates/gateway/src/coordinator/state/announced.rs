//! The backend server beside the node: which instance runs, leaves or has ended.

use sequoiayoke_catalog::server;
use sequoiayoke_model::clock;

use super::{
    Backend, Effect, Ended, MAX_GRANT_DELAY, Notice, State, UnansweredGrant, collect, delivery,
};

/// Largest difference between the sequence numbers of two announcements that arrive one after the
/// other: more than a backend server sends in a week. An announcement of another writer with a very
/// large number would make all later ones late.
const MAX_SEQUENCE_STEP: u64 = 1_000_000;

impl State {
    /// Records an announcement of the backend server; returns whether it is accepted.
    pub fn record_announcement(
        &mut self,
        now: clock::Instant,
        announced: server::Announcement,
        sequence: u64,
    ) -> bool {
        // Another writer may use the address or the name of the backend server.
        let config = self.view.config.as_ref();
        if config.is_some_and(|config| config.service(&announced.service).is_none()) {
            tracing::warn!(
                service = announced.service,
                "ignoring an announcement of an unknown service"
            );
            return false;
        }
        if let Some(backend) = &mut self.backend {
            let known = &backend.announcement.instance;
            if *known == announced.instance {
                if sequence < backend.sequence {
                    return true;
                }
                if sequence - backend.sequence > MAX_SEQUENCE_STEP {
                    tracing::warn!(
                        sequence,
                        "ignoring an announcement with an implausible number"
                    );
                    return false;
                }
                backend.sequence = sequence;
                backend.last_announced = now;
                if backend.draining_since.is_some() || backend.announcement == announced {
                    return true;
                }
                if announced.is_draining {
                    backend.draining_since = Some(now);
                }
                backend.announcement = announced;
                self.is_changed = true;
                self.renew(now);
                return true;
            }
            // A late announcement of an ended instance must not replace a later instance.
            if known.born_ms > announced.instance.born_ms {
                return false;
            }
        }
        if self.has_ended(&announced.instance) {
            return false;
        }
        tracing::info!(
            instance = announced.instance.name,
            born_ms = announced.instance.born_ms,
            service = announced.service,
            "the backend server has announced itself"
        );
        self.reset();
        self.abandon_in_flight(now);
        let left = self.left.take();
        // An instance that was born later has started again under the same name.
        let has_left = left.is_some_and(|(name, latest_born_ms)| {
            name == announced.instance.name && announced.instance.born_ms <= latest_born_ms
        });
        let is_draining = announced.is_draining || has_left || self.is_leaving(&announced.instance);
        self.backend = Some(Backend {
            draining_since: is_draining.then_some(now),
            announcement: server::Announcement {
                is_draining,
                ..announced
            },
            sequence,
            last_announced: now,
        });
        self.renew(now);
        true
    }

    /// Asks the backend server whether it is the instance that the leader knows at its address, so
    /// that a restarted node need not wait for an announcement.
    ///
    /// Only for services without keys: an instance that has restarted under the same name holds no
    /// keys, and only its announcement shows the restart.
    pub(super) fn identify_backend(&mut self) {
        if self.backend.is_some() {
            return;
        }
        let mut servers = self.view.servers.values();
        let known = servers.find(|server| server.announcement.address == self.config.backend);
        let Some(known) = known.map(|server| &server.announcement) else {
            return;
        };
        let service = self.view.service(&known.service);
        let is_keyed = service.is_none_or(|service| service.is_keyed);
        let instance = Some(&known.instance);
        if is_keyed || self.has_ended(&known.instance) || self.last_identified.as_ref() == instance
        {
            return;
        }
        self.last_identified = Some(known.instance.clone());
        self.effects.push(Effect::Identify(known.clone()));
    }

    /// Records that the instance `name` is leaving, at `unix_ms` of the time of day; returns whether
    /// it is the current instance.
    ///
    /// The message may be late, from an instance that had the name before, if it states that it was
    /// born at `born_ms`. A node may also hear that an instance leaves before it hears of the
    /// instance, and acknowledges that as well.
    pub fn record_leaving(
        &mut self,
        now: clock::Instant,
        name: &str,
        born_ms: Option<u64>,
        unix_ms: u64,
    ) -> bool {
        let is_current = |backend: &&mut Backend| {
            let instance = &backend.announcement.instance;
            instance.name == name && born_ms.is_none_or(|born_ms| born_ms >= instance.born_ms)
        };
        let Some(backend) = self.backend.as_mut().filter(is_current) else {
            self.left = Some((name.to_owned(), born_ms.unwrap_or(unix_ms)));
            return false;
        };
        if backend.draining_since.is_none() {
            backend.draining_since = Some(now);
            backend.announcement.is_draining = true;
            self.is_changed = true;
            self.renew(now);
        }
        true
    }

    /// Records that an instance of the backend server refuses connections.
    ///
    /// A draining instance may have closed its port with work still running, so it keeps its keys
    /// until its grants have expired. Any other instance has ended.
    pub fn record_ended(&mut self, now: clock::Instant, instance: &server::Instance) {
        let backend = self.backend.as_ref();
        let Some(backend) = backend.filter(|backend| backend.announcement.instance == *instance)
        else {
            return;
        };
        let has_keys = !self.grants.is_empty() || !self.releases.is_empty();
        if backend.draining_since.is_some() && has_keys {
            // No grant outlasts the lease, even one whose release was not answered.
            let until = match self.grants_expire_at {
                Some(until) => until,
                None => {
                    tracing::info!(
                        instance = instance.name,
                        "a draining backend server refuses connections; waiting for its grants to expire"
                    );
                    now + self.lease.remaining(now)
                }
            };
            self.grants_expire_at = Some(until);
            if now < until {
                return;
            }
        }
        tracing::warn!(instance = instance.name, "the backend server has ended");
        self.ended = Some(Ended {
            instance: instance.clone(),
            notice: Notice::Pending,
        });
        self.backend = None;
        self.reset();
        self.update_notice();
        self.renew(now);
    }

    /// Returns whether the leader knows that an instance is leaving.
    fn is_leaving(&self, instance: &server::Instance) -> bool {
        let mut servers = self.view.servers.values();
        servers.any(|server| {
            server.announcement.instance == *instance && server.announcement.is_draining
        })
    }

    /// Begins to drain a backend server of which the leader knows that it is leaving, while this
    /// process has heard from it late.
    pub(super) fn follow_leaving(&mut self, now: clock::Instant) {
        let announced = self.backend.as_ref().map(|backend| &backend.announcement);
        let instance = announced.filter(|announced| !announced.is_draining);
        if instance.is_none_or(|announced| !self.is_leaving(&announced.instance)) {
            return;
        }
        if let Some(backend) = &mut self.backend {
            let instance = &backend.announcement.instance.name;
            tracing::info!(
                instance,
                "the leader knows that the backend server is leaving"
            );
            backend.draining_since = Some(now);
            backend.announcement.is_draining = true;
            self.is_changed = true;
        }
    }

    fn has_ended(&self, instance: &server::Instance) -> bool {
        let ended = self.ended.as_ref();
        ended.is_some_and(|ended| ended.instance == *instance)
    }

    /// Returns the instance that has ended, if the leader is told.
    pub(super) fn given_end(&self) -> Option<&server::Instance> {
        let ended = self.ended.as_ref()?;
        (ended.notice == Notice::Given).then_some(&ended.instance)
    }

    /// Gives notice of an end once no grant is in flight.
    pub(super) fn update_notice(&mut self) {
        let is_pending = self.backend.is_none() && self.in_flight.is_empty();
        if let Some(ended) = self.ended.as_mut().filter(|_| is_pending)
            && ended.notice == Notice::Pending
        {
            ended.notice = Notice::Given;
            self.is_renewal_due = true;
        }
    }

    /// Withholds the notice of an end, since a grant may have been taken after it.
    pub(super) fn withhold_notice(&mut self) {
        if let Some(ended) = &mut self.ended
            && ended.notice == Notice::Pending
        {
            ended.notice = Notice::Withheld;
        }
    }

    /// Counts the grants in flight as unanswered: the new instance at the address may take them.
    fn abandon_in_flight(&mut self, now: clock::Instant) {
        self.withhold_notice();
        let until = now + MAX_GRANT_DELAY;
        let in_flight = self.in_flight.iter();
        self.unanswered
            .extend(in_flight.map(|(range, fence)| UnansweredGrant {
                range: *range,
                fence: *fence,
                until,
            }));
    }

    /// Drops what is to be granted to one instance of the backend server and released by it. Its
    /// grants without an answer are kept.
    fn reset(&mut self) {
        self.grants.clear();
        self.releases.clear();
        self.refences.clear();
        self.parts.clear();
        self.grants_expire_at = None;
        self.lease.drop_lease();
        self.way = delivery::Way::default();
        self.collection = collect::Collection::default();
        self.is_changed = true;
    }
}
