//! The replicated state as the node knows it, and its changes.

use std::collections;
use std::sync;

use sequoiayoke_catalog::{config, server, slice};
use sequoiayoke_link::session;
use sequoiayoke_model::{clock, id};

use super::{MAX_GRANT_DELAY, State, UnansweredGrant};

impl State {
    /// Applies the whole replicated state.
    pub fn apply_state(&mut self, now: clock::Instant, state: session::State) {
        // A replica that lags behind must not move the node back to an older state.
        if state.index < self.view.index {
            return;
        }
        let is_first = !std::mem::replace(&mut self.has_state, true);
        let mut servers = state.servers.iter();
        if is_first && servers.any(|server| server.announcement.address == self.config.backend) {
            self.inherited = Some(UnansweredGrant {
                range: slice::Range::ALL,
                fence: slice::Fence(state.index),
                until: now + MAX_GRANT_DELAY,
            });
        }
        self.view.index = state.index;
        self.apply_config(state.config);
        let servers = state.servers.into_iter().map(|server| (server.id, server));
        self.apply_servers(now, servers.collect());
        self.view.tables = sync::Arc::new(state.tables);
        // A process that has just started does not know for how long its domain is evacuated.
        let since = match is_first {
            true => clock::Instant::default(),
            false => now,
        };
        self.apply_evacuated(since, state.evacuated);
        self.is_changed = true;
        self.reconcile_grants(now);
    }

    /// Applies changes of the replicated state; returns whether the node knows the state that they
    /// build on.
    pub fn apply_changes(&mut self, now: clock::Instant, changes: session::Changes) -> bool {
        if changes.since > self.view.index {
            return false;
        }
        // The values are those of the state at `index`, so that changes which the node already
        // knows in part apply too.
        if changes.index <= self.view.index {
            return true;
        }
        self.view.index = changes.index;
        self.apply_config(changes.config);
        if !changes.joined.is_empty() || !changes.left.is_empty() {
            let mut servers = collections::BTreeMap::clone(&self.view.servers);
            servers.retain(|id, _| !changes.left.contains(id));
            servers.extend(changes.joined.into_iter().map(|server| (server.id, server)));
            self.apply_servers(now, servers);
        }
        let tables = sync::Arc::make_mut(&mut self.view.tables);
        for table in tables.values_mut() {
            for server in &changes.left {
                table.vacate(*server);
            }
        }
        for (service, slices) in changes.slices {
            let table = tables.entry(service).or_default();
            slices.into_iter().for_each(|slice| table.replace(slice));
        }
        if let Some(evacuated) = changes.evacuated {
            self.apply_evacuated(now, evacuated);
        }
        self.is_changed = true;
        self.reconcile_grants(now);
        true
    }

    fn apply_evacuated(&mut self, since: clock::Instant, evacuated: collections::BTreeSet<String>) {
        if *self.view.evacuated == evacuated {
            return;
        }
        tracing::info!(?evacuated, index = self.view.index, "evacuations in force");
        let is_evacuated = evacuated.contains(&self.config.domain);
        self.evacuated_since = match is_evacuated {
            true => self.evacuated_since.or(Some(since)),
            false => None,
        };
        self.view.evacuated = sync::Arc::new(evacuated);
    }

    fn apply_config(&mut self, config: Option<config::Config>) {
        let Some(config) = config else {
            return;
        };
        let current = self.view.config.as_ref().map(|config| config.version);
        if current.is_none_or(|current| current < config.version) {
            tracing::info!(
                version = config.version.0,
                index = self.view.index,
                "configuration in force"
            );
            self.view.config = Some(sync::Arc::new(config));
        }
    }

    fn apply_servers(
        &mut self,
        now: clock::Instant,
        servers: collections::BTreeMap<id::Server, server::Server>,
    ) {
        let before = self.backend_id();
        self.view.servers = sync::Arc::new(servers);
        // A lease belongs to one server id; the next renewal requests a new lease.
        if before.is_some() && self.backend_id() != before {
            self.lease.drop_lease();
            self.grants.clear();
            self.releases.clear();
        }
        if before != self.backend_id() {
            self.renew(now);
        }
        self.identify_backend(now);
        self.follow_leaving(now);
    }
}
