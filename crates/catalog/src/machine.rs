//! The replicated state machine.

use std::collections;

use sequoiayoke_model::id;
use sequoiayoke_model::replicated;
use serde::{Deserialize, Serialize};

use crate::config;
use crate::server;
use crate::slice;

/// Accepted configurations that are remembered, so that a repeated order gets
/// the same answer. A day brings some thousands.
const MAX_HISTORY: usize = 4_096;

/// A configuration as an operator ordered it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// Version that it builds on; zero for the first.
    pub base: config::Version,
    /// The configuration.
    pub config: config::Config,
    /// The operator's own text, returned when the configuration is read.
    pub document: Vec<u8>,
    /// Hash of the text and the base, by which a repetition is recognised.
    pub digest: u64,
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the configuration.
    Configure(Order),
    /// Adds a backend server or changes what is known of it.
    Join(server::Announcement),
    /// Removes a backend server; its slices become vacant.
    Leave {
        /// The backend server.
        server: id::Server,
        /// The run that is meant.
        incarnation: id::Incarnation,
    },
    /// Changes owners of key ranges; each move takes effect on its own.
    Assign(Vec<slice::Move>),
}

/// What a command did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// The configuration is in place, or was accepted before.
    Configured,
    /// The backend server has this number.
    Joined(id::Server),
    /// Whether there was such a backend server.
    Left(bool),
    /// Number of moves that took effect.
    Assigned(usize),
    /// The command was refused.
    Refused(Refusal),
}

/// Reason why a command was refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// Another version is in place than the order builds on.
    #[error("version {} is in place, the order builds on {}", current.0, base.0)]
    Conflict {
        /// Version in place.
        current: config::Version,
        /// Version that the order builds on.
        base: config::Version,
    },
    /// The number is not above that in place.
    #[error("version {} is not above version {}, which is in place", version.0, current.0)]
    NotAbove {
        /// Version in place.
        current: config::Version,
        /// Version of the order.
        version: config::Version,
    },
    /// The configuration is invalid.
    #[error(transparent)]
    Invalid(#[from] config::Error),
    /// A later run is known at the same address.
    #[error("a later run of a backend server is known at the address")]
    Outdated,
}

/// The state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    index: u64,
    config: Option<Order>,
    history: collections::VecDeque<(config::Version, u64)>,
    next_server: u32,
    servers: collections::BTreeMap<id::Server, server::Server>,
    tables: collections::BTreeMap<String, slice::Table>,
}

impl Machine {
    /// Returns the index of the last entry.
    pub const fn index(&self) -> u64 {
        self.index
    }

    /// Returns the configuration in place.
    pub const fn order(&self) -> Option<&Order> {
        self.config.as_ref()
    }

    /// Returns the number of the configuration in place, or zero.
    pub fn version(&self) -> config::Version {
        self.config
            .as_ref()
            .map_or_else(config::Version::default, |order| order.config.version)
    }

    /// Returns the backend servers.
    pub const fn servers(&self) -> &collections::BTreeMap<id::Server, server::Server> {
        &self.servers
    }

    /// Returns the slices of the keyed services.
    pub const fn tables(&self) -> &collections::BTreeMap<String, slice::Table> {
        &self.tables
    }

    /// Returns the backend server of this run.
    pub fn find_server(&self, instance: &server::Instance) -> Option<&server::Server> {
        self.servers
            .values()
            .find(|server| server.announcement.instance == *instance)
    }

    /// Tells whether an order could take effect on the present state.
    ///
    /// # Errors
    ///
    /// Returns why it would be refused.
    pub fn check(&self, order: &Order) -> Result<(), Refusal> {
        if self.is_accepted(order) {
            return Ok(());
        }
        order.config.check()?;
        let (current, version) = (self.version(), order.config.version);
        if order.base != current {
            let base = order.base;
            return Err(Refusal::Conflict { current, base });
        }
        if version <= current {
            return Err(Refusal::NotAbove { current, version });
        }
        Ok(())
    }

    /// Returns whether exactly this order took effect before.
    pub fn is_accepted(&self, order: &Order) -> bool {
        self.history.contains(&(order.config.version, order.digest))
    }

    fn configure(&mut self, order: &Order) -> Result<Output, Refusal> {
        self.check(order)?;
        if self.is_accepted(order) {
            return Ok(Output::Configured);
        }
        if self.history.len() >= MAX_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back((order.config.version, order.digest));
        for service in order.config.services.iter().filter(|one| one.is_keyed) {
            self.tables.entry(service.name.clone()).or_default();
        }
        self.config = Some(order.clone());
        Ok(Output::Configured)
    }

    fn join(&mut self, index: u64, new: &server::Announcement) -> Result<Output, Refusal> {
        // Two runs cannot listen on one address at the same time.
        let former = self
            .servers
            .values()
            .find(|one| one.announcement.address == new.address);
        if let Some(former) = former {
            let known = &former.announcement.instance;
            if *known == new.instance {
                let id = former.id;
                if let Some(server) = self.servers.get_mut(&id) {
                    server.announcement = new.clone();
                }
                return Ok(Output::Joined(id));
            }
            if known.born_ms > new.instance.born_ms {
                return Err(Refusal::Outdated);
            }
            let id = former.id;
            self.remove(id);
        }
        let id = id::Server(self.next_server);
        self.next_server += 1;
        let server = server::Server {
            id,
            incarnation: id::Incarnation(index),
            announcement: new.clone(),
        };
        self.servers.insert(id, server);
        Ok(Output::Joined(id))
    }

    fn leave(&mut self, server: id::Server, incarnation: id::Incarnation) -> Output {
        let known = self.servers.get(&server);
        let matches = known.is_some_and(|one| one.incarnation == incarnation);
        if matches {
            self.remove(server);
        }
        Output::Left(matches)
    }

    fn remove(&mut self, server: id::Server) {
        self.servers.remove(&server);
        for table in self.tables.values_mut() {
            table.vacate(server);
        }
    }

    fn assign(&mut self, index: u64, moves: &[slice::Move]) -> Output {
        let fence = slice::Fence(index);
        let mut count = 0;
        for change in moves {
            if !self.servers.contains_key(&change.to) {
                continue;
            }
            if let Some(table) = self.tables.get_mut(&change.service) {
                count += usize::from(table.assign(change, fence));
            }
        }
        Output::Assigned(count)
    }
}

impl replicated::Replicated for Machine {
    type Command = Command;
    type Snapshot = Self;
    type Output = Output;

    fn new() -> Self {
        Self::default()
    }

    fn apply(&mut self, index: u64, command: &Command) -> Output {
        self.index = index;
        let done = match command {
            Command::Configure(order) => self.configure(order),
            Command::Join(announcement) => self.join(index, announcement),
            Command::Leave {
                server,
                incarnation,
            } => Ok(self.leave(*server, *incarnation)),
            Command::Assign(moves) => Ok(self.assign(index, moves)),
        };
        done.unwrap_or_else(Output::Refused)
    }

    fn to_snapshot(&self) -> Self {
        self.clone()
    }

    fn with_snapshot(snapshot: Self) -> Self {
        snapshot
    }
}
