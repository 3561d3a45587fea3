//! Immutable snapshot of all state that routing needs.
//!
//! The control thread builds the next view from the current one and a list of changes, and
//! publishes it; traffic threads read the published view.

use std::collections;
use std::net;
use std::sync;

use crate::id;
use crate::key;
use crate::table;

/// Properties of a service that routing needs.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Service {
    /// Name of the service in requests.
    pub name: String,
    /// HTTP methods that are idempotent, so that a request may be retried after it may have run.
    pub idempotent: Vec<String>,
    /// Whether a caller can access only the keys of its own scope.
    pub scoped: bool,
}

/// A backend server whose node is live.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Server {
    /// Name of the backend server.
    pub name: String,
    /// Incarnation of its node.
    pub incarnation: id::Incarnation,
    /// Address on which its node accepts frames from other nodes.
    pub peer_address: net::SocketAddr,
    /// Address on which its node accepts HTTP requests of callers.
    pub caller_address: net::SocketAddr,
    /// Whether the backend server is being drained.
    pub draining: bool,
}

/// A caller that may send requests.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Caller {
    /// Name of the caller.
    pub name: String,
    /// SHA-256 digest of its token.
    pub token_digest: [u8; 32],
    /// Scope of its keys; empty for the shared scope.
    pub scope: String,
}

/// One change from a view to the next.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Change {
    /// The service was created or changed.
    Service(id::Service, Service),
    /// The node of the backend server joined or changed.
    Server(id::Server, Server),
    /// The run of the backend server's node has ended.
    ServerGone(id::Server),
    /// The caller was registered or changed.
    Caller(id::Caller, Caller),
    /// A slice was created or changed its holder.
    Slice(id::Service, table::Slice),
    /// The slice with this start was merged into the preceding one.
    SliceMerged(id::Service, key::Hash),
}

/// All state that routing needs, at one version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    version: id::Version,
    services: collections::BTreeMap<id::Service, sync::Arc<Service>>,
    tables: collections::BTreeMap<id::Service, sync::Arc<table::Table>>,
    names: collections::HashMap<String, id::Service>,
    servers: collections::BTreeMap<id::Server, sync::Arc<Server>>,
    callers: collections::BTreeMap<id::Caller, sync::Arc<Caller>>,
}

impl View {
    /// Creates an empty view.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the version of this view.
    pub const fn version(&self) -> id::Version {
        self.version
    }

    /// Applies the changes that lead to `version`.
    ///
    /// Tables without a change stay shared with clones of the earlier view.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_model::{id, view};
    ///
    /// let service = view::Service {
    ///     name: "refunds".into(),
    ///     idempotent: vec!["GET".into()],
    ///     scoped: false,
    /// };
    /// let mut view = view::View::new();
    /// view.apply(id::Version(4), [view::Change::Service(id::Service(1), service)]);
    /// assert_eq!(view.service("refunds").map(|(id, _)| id), Some(id::Service(1)));
    /// ```
    pub fn apply<C>(&mut self, version: id::Version, changes: C)
    where
        C: IntoIterator<Item = Change>,
    {
        for change in changes {
            self.apply_change(change);
        }
        self.version = version;
    }

    fn apply_change(&mut self, change: Change) {
        match change {
            Change::Service(id, service) => {
                self.names.insert(service.name.clone(), id);
                self.services.insert(id, sync::Arc::new(service));
                self.tables.entry(id).or_default();
            }
            Change::Server(id, server) => {
                self.servers.insert(id, sync::Arc::new(server));
            }
            Change::ServerGone(id) => {
                self.servers.remove(&id);
            }
            Change::Caller(id, caller) => {
                self.callers.insert(id, sync::Arc::new(caller));
            }
            Change::Slice(service, slice) => {
                let table = self.tables.entry(service).or_default();
                sync::Arc::make_mut(table).put(slice);
            }
            Change::SliceMerged(service, start) => {
                let table = self.tables.entry(service).or_default();
                sync::Arc::make_mut(table).remove(start);
            }
        }
    }

    /// Returns the changes that lead from an empty view to this one.
    pub fn to_changes(&self) -> Vec<Change> {
        let mut changes = Vec::new();
        for (id, service) in &self.services {
            changes.push(Change::Service(*id, Service::clone(service)));
        }
        for (id, server) in &self.servers {
            changes.push(Change::Server(*id, Server::clone(server)));
        }
        for (id, caller) in &self.callers {
            changes.push(Change::Caller(*id, Caller::clone(caller)));
        }
        for (id, table) in &self.tables {
            let slices = table.slices().iter();
            changes.extend(slices.map(|slice| Change::Slice(*id, *slice)));
        }
        changes
    }

    /// Returns the service with this name, and its id.
    pub fn service(&self, name: &str) -> Option<(id::Service, &Service)> {
        let id = *self.names.get(name)?;
        Some((id, self.services.get(&id)?))
    }

    /// Returns the service with this id.
    pub fn service_by_id(&self, id: id::Service) -> Option<&Service> {
        self.services.get(&id).map(sync::Arc::as_ref)
    }

    /// Returns the slices of a service.
    pub fn table(&self, service: id::Service) -> Option<&table::Table> {
        self.tables.get(&service).map(sync::Arc::as_ref)
    }

    /// Iterates over the tables of all services.
    pub fn tables(&self) -> impl Iterator<Item = (id::Service, &table::Table)> {
        self.tables.iter().map(|(id, table)| (*id, table.as_ref()))
    }

    /// Returns the backend server with this id, if its node is live.
    pub fn server(&self, id: id::Server) -> Option<&Server> {
        self.servers.get(&id).map(sync::Arc::as_ref)
    }

    /// Iterates over the backend servers whose nodes are live.
    pub fn servers(&self) -> impl Iterator<Item = (id::Server, &Server)> {
        self.servers
            .iter()
            .map(|(id, server)| (*id, server.as_ref()))
    }

    /// Iterates over the callers.
    pub fn callers(&self) -> impl Iterator<Item = (id::Caller, &Caller)> {
        self.callers
            .iter()
            .map(|(id, caller)| (*id, caller.as_ref()))
    }
}
