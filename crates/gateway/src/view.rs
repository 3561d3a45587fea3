//! The part of the control thread's state that the traffic thread reads.

use std::collections;
use std::sync;

use sequoiayoke_catalog::{config, server, slice};
use sequoiayoke_model::clock;
use sequoiayoke_model::id;

/// An immutable snapshot of the state.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Index in the replicated log.
    pub index: u64,
    /// The configuration, once it has arrived.
    pub config: Option<sync::Arc<config::Config>>,
    /// Backend servers.
    pub servers: sync::Arc<collections::BTreeMap<id::Server, server::Server>>,
    /// Slices of keyed services.
    pub tables: sync::Arc<collections::BTreeMap<String, slice::Table>>,
    /// The backend server beside this node.
    pub backend: Option<Backend>,
    /// Failure domains whose backend servers get no requests.
    pub evacuated: sync::Arc<collections::BTreeSet<String>>,
    /// Whether the node is stopping.
    pub is_stopping: bool,
}

/// The backend server beside the node.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Its announcement.
    pub announcement: server::Announcement,
    /// Id, once it has joined.
    pub id: Option<id::Server>,
    /// Time since which it is draining.
    pub draining_since: Option<clock::Instant>,
    /// Time since which the node knows that the failure domain is evacuated.
    pub evacuated_since: Option<clock::Instant>,
    /// Keys that it holds.
    pub held: Vec<Held>,
}

/// Keys that the backend server has confirmed to hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    /// The keys.
    pub range: slice::Range,
    /// Fence of the grant.
    pub fence: slice::Fence,
    /// Time until which they are held.
    pub until: clock::Instant,
}

impl View {
    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&config::Service> {
        self.config.as_ref()?.service(name)
    }

    /// Returns whether the backend servers of a failure domain get no requests.
    pub fn is_evacuated(&self, domain: &str) -> bool {
        self.evacuated.contains(domain)
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

impl Backend {
    /// Returns whether the backend server holds `key` at `now`.
    pub fn holds(&self, key: slice::Key, now: clock::Instant) -> bool {
        self.held
            .iter()
            .any(|held| held.range.contains(key) && now < held.until)
    }
}
