//! What the traffic thread reads of the control thread's state.

use std::collections;
use std::sync;

use sequoiayoke_catalog::{config, server, slice};
use sequoiayoke_model::clock;
use sequoiayoke_model::id;

/// A snapshot; it never changes once it is published.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Log index of the state.
    pub index: u64,
    /// The configuration, once one is known.
    pub config: Option<sync::Arc<config::Config>>,
    /// Backend servers.
    pub servers: sync::Arc<collections::BTreeMap<id::Server, server::Server>>,
    /// Slices of keyed services.
    pub tables: sync::Arc<collections::BTreeMap<String, slice::Table>>,
    /// The backend server beside this node.
    pub own: Option<Own>,
    /// Whether the node is stopping.
    pub is_stopping: bool,
}

/// The backend server beside the node.
#[derive(Clone, Debug)]
pub struct Own {
    /// What was announced of it.
    pub announcement: server::Announcement,
    /// Number, once it has joined.
    pub id: Option<id::Server>,
    /// Time since which it is leaving.
    pub draining_since: Option<clock::Instant>,
    /// Keys that it holds, and until when.
    pub held: Vec<Held>,
}

/// Keys that the backend server has confirmed to hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    /// The keys.
    pub range: slice::Range,
    /// Number of the grant.
    pub fence: slice::Fence,
    /// Time until which they are held.
    pub until: clock::Instant,
}

impl View {
    /// Returns the service of this name.
    pub fn service(&self, name: &str) -> Option<&config::Service> {
        self.config.as_ref()?.service(name)
    }

    /// Returns the owner of a key.
    pub fn owner(&self, service: &str, key: slice::Key) -> Option<&server::Server> {
        let owner = self.tables.get(service)?.find(key).owner?;
        self.servers.get(&owner)
    }

    /// Returns the backend servers of a service.
    pub fn servers_of<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a server::Server> + 'a {
        self.servers
            .values()
            .filter(move |server| server.announcement.service == service)
    }
}

impl Own {
    /// Returns whether the backend server holds `key` at `now`.
    pub fn holds(&self, key: slice::Key, now: clock::Instant) -> bool {
        self.held
            .iter()
            .any(|held| held.range.contains(key) && now < held.until)
    }
}
