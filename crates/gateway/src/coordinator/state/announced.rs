//! The backend server beside the node: which instance runs, leaves or has ended.

use sequoiayoke_catalog::server;
use sequoiayoke_model::clock;

use super::{
    Backend, Candidate, Effect, Ended, Left, MAX_GRANT_DELAY, Notice, State, UnansweredGrant,
    collect, delivery,
};

/// Largest difference between the sequence numbers of two announcements that arrive one after the
/// other: more than a backend server sends in a week. An announcement of another writer with a very
/// large number would make all later ones late.
const MAX_SEQUENCE_STEP: u64 = 1_000_000;
/// Number of announcements after which an instance is in use although its backend server gives no
/// answer: one that has left does not go on announcing itself.
const MAX_CONSIDERED: u32 = 5;

impl State {
    /// Records an announcement of the backend server; returns whether it is accepted.
    pub fn record_announcement(
        &mut self,
        now: clock::Instant,
        announced: server::Announcement,
        sequence: u64,
    ) -> bool {
        // Another writer may use the address or the name of the backend server.
        let is_known = match &self.view.config {
            Some(config) => config.service(&announced.service).is_some(),
            None => announced.service == self.config.service,
        };
        if !is_known {
            tracing::warn!(
                service = announced.service,
                "ignoring an announcement of an unknown service"
            );
            return false;
        }
        if let Some(backend) = &mut self.backend {
            let known = &backend.announcement.instance;
            if *known == announced.instance {
                // The first number that is heard may be any.
                let last = backend.sequence.unwrap_or(sequence);
                if sequence < last {
                    return true;
                }
                if sequence - last > MAX_SEQUENCE_STEP {
                    tracing::warn!(
                        sequence,
                        "ignoring an announcement with an implausible number"
                    );
                    return false;
                }
                backend.sequence = Some(sequence);
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
        // Both clocks are those of one VM.
        let is_older = announced.instance.born_ms <= self.config.started_ms;
        if announced.is_draining || !is_older {
            self.accept(now, announced, Some(sequence));
        } else {
            self.consider(now, announced, sequence);
        }
        true
    }

    /// Takes an instance as the backend server.
    fn accept(
        &mut self,
        now: clock::Instant,
        announced: server::Announcement,
        sequence: Option<u64>,
    ) {
        tracing::info!(
            instance = announced.instance.name,
            born_ms = announced.instance.born_ms,
            service = announced.service,
            "the backend server has announced itself"
        );
        self.reset();
        self.abandon_in_flight(now);
        let has_left = self.has_left(&announced.instance);
        let is_draining = announced.is_draining || has_left || self.is_leaving(&announced.instance);
        if has_left {
            self.left = None;
        }
        self.candidate = None;
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
    }

    fn accept_candidate(&mut self, now: clock::Instant, candidate: Candidate) {
        self.accept(now, candidate.announcement, Some(candidate.sequence));
        self.way = candidate.way;
    }

    /// Records that a candidate collects its grants.
    pub(super) fn follow_collecting(&mut self, instance: &server::Instance) {
        if let Some(candidate) = &mut self.candidate
            && candidate.announcement.instance == *instance
        {
            candidate.way = delivery::Way::Collect;
        }
    }

    /// Returns whether an instance has said that it leaves.
    fn has_left(&self, instance: &server::Instance) -> bool {
        self.left.as_ref().is_some_and(|left| left.is(instance))
    }

    /// Considers an older instance that has announced itself to this process for the first time.
    fn consider(&mut self, now: clock::Instant, announced: server::Announcement, sequence: u64) {
        let candidate = self.candidate.take();
        let same = candidate.filter(|known| known.announcement.instance == announced.instance);
        let heard = match &same {
            Some(known) if sequence <= known.sequence => known.heard,
            Some(known) => known.heard + 1,
            None => 1,
        };
        let way = same.as_ref().map(|known| known.way).unwrap_or_default();
        let sequence = same.map_or(sequence, |known| known.sequence.max(sequence));
        self.candidate = Some(Candidate {
            announcement: announced,
            sequence,
            heard,
            way,
        });
        self.last_identified = None;
        self.identify_backend(now);
    }

    /// Records whether the backend server has said that it is the instance `identified` and in use;
    /// `None` if it gave no answer.
    pub fn record_identified(
        &mut self,
        now: clock::Instant,
        identified: server::Announcement,
        is_in_use: Option<bool>,
    ) {
        self.is_identifying = false;
        let instance = &identified.instance;
        let is_same = |candidate: &mut Candidate| candidate.announcement.instance == *instance;
        let candidate = self.candidate.take_if(is_same);
        if self.has_ended(instance) {
            return;
        }
        match (is_in_use, candidate) {
            (Some(true), Some(candidate)) => self.accept_candidate(now, candidate),
            (Some(true), None) if self.backend.is_none() && self.candidate.is_none() => {
                self.accept(now, identified, None);
            }
            // Announcements from before this answer show nothing.
            (Some(false), Some(candidate)) => {
                self.candidate = Some(Candidate {
                    heard: 0,
                    ..candidate
                });
            }
            (None, Some(candidate)) => self.candidate = Some(candidate),
            _ => {}
        }
    }

    /// Decides whether an older backend server is in use, and asks it if an earlier process of the node
    /// may have known more.
    ///
    /// An instance without an announcement is only used for services without keys: one that has
    /// restarted under the same name holds no keys, and only its announcement shows the restart.
    pub(super) fn identify_backend(&mut self, now: clock::Instant) {
        if let Some(candidate) = self.candidate.take() {
            let instance = &candidate.announcement.instance;
            let is_leaving = self.has_left(instance) || self.is_leaving(instance);
            // Without a configuration, no request has been routed.
            let is_unused = self.has_state && self.view.config.is_none();
            if is_leaving || is_unused || candidate.heard >= MAX_CONSIDERED {
                return self.accept_candidate(now, candidate);
            }
            let announcement = candidate.announcement.clone();
            self.candidate = Some(candidate);
            if self.has_state {
                self.identify(announcement);
            }
            return;
        }
        if self.backend.is_some() {
            return;
        }
        let mut servers = self.view.servers.values();
        let known = servers.find(|server| server.announcement.address == self.config.backend);
        let known = known.map(|server| server.announcement.clone());
        let Some(known) = known.filter(|known| !self.has_ended(&known.instance)) else {
            return;
        };
        let service = self.view.service(&known.service);
        if service.is_none_or(|service| service.is_keyed) {
            return;
        }
        match self.has_left(&known.instance) {
            // The leader has yet to be told.
            true => self.accept(now, known, None),
            false => self.identify(known),
        }
    }

    fn identify(&mut self, known: server::Announcement) {
        let is_repeated = self.last_identified.as_ref() == Some(&known.instance);
        if self.is_identifying || is_repeated {
            return;
        }
        self.is_identifying = true;
        self.last_identified = Some(known.instance.clone());
        self.effects.push(Effect::Identify(known));
    }

    /// Records that the instance `name` is leaving, at `unix_ms` of the time of day; returns whether
    /// it is the current instance.
    ///
    /// The message may be from an instance that had the name before or has it since, if it states that
    /// it was born at `born_ms`. A node may also hear that an instance leaves before it hears of the
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
            instance.name == name && born_ms.is_none_or(|born_ms| born_ms == instance.born_ms)
        };
        let Some(backend) = self.backend.as_mut().filter(is_current) else {
            self.left = Some(Left {
                name: name.to_owned(),
                born_ms,
                unix_ms,
            });
            self.identify_backend(now);
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
