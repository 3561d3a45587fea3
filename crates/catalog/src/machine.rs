//! The replicated state machine of the director.

use std::collections;

use sequoiayoke_model::id;
use sequoiayoke_model::replicated;
use serde::{Deserialize, Serialize};

use crate::config;
use crate::departed;
use crate::server;
use crate::slice;

/// Maximum number of accepted orders that are kept, so that a retry of one gets the
/// same answer. Some thousands of orders are accepted per day.
const MAX_HISTORY: usize = 4_096;
/// Maximum number of failure domains that are evacuated at the same time.
pub const MAX_EVACUATED: usize = 64;

/// An operator's request to replace the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// Version on which the configuration is based; zero for the first.
    pub base: config::Version,
    /// The new configuration.
    pub config: config::Config,
    /// The document as the operator sent it, returned when the configuration is read.
    pub document: Vec<u8>,
    /// Hash of the document and the base version, which identifies a retry.
    pub digest: u64,
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the configuration.
    Configure(Order),
    /// Adds a backend server or updates its announcement.
    Join(server::Announcement),
    /// Removes a backend server and vacates its slices.
    Leave {
        /// The backend server.
        server: id::Server,
        /// The incarnation to remove.
        incarnation: id::Incarnation,
    },
    /// Changes the owners of key ranges; each move succeeds or fails on its own.
    Assign(Vec<slice::Move>),
    /// Begins or ends the evacuation of a failure domain.
    Evacuate(Evacuation),
}

/// An operator's request about the evacuation of a failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// The failure domain.
    pub domain: String,
    /// Whether its backend servers are to get no requests from now on, or requests again.
    pub is_evacuated: bool,
}

/// Result of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// The configuration is now the current one, or was accepted before.
    Configured,
    /// The backend server joined under this identifier.
    Joined(id::Server),
    /// Whether the backend server was present and has been removed.
    Left(bool),
    /// Number of moves that took effect.
    Assigned(usize),
    /// The evacuation is as it was requested.
    Evacuated,
    /// The command was refused.
    Refused(Refusal),
}

/// Reason why a command was refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The order is not based on the current version.
    #[error("version {} is in place, the order builds on {}", current.0, base.0)]
    Conflict {
        /// Current version.
        current: config::Version,
        /// Version on which the order is based.
        base: config::Version,
    },
    /// The version is not higher than the current one.
    #[error("version {} is not above version {}, which is in place", version.0, current.0)]
    NotAbove {
        /// Current version.
        current: config::Version,
        /// Version of the order.
        version: config::Version,
    },
    /// The configuration is invalid.
    #[error(transparent)]
    Invalid(#[from] config::Error),
    /// A later instance has joined at the same address.
    #[error("a later run of a backend server is known at the address")]
    Outdated,
    /// The instance has left.
    #[error("the run of the backend server has left")]
    Departed,
    /// Neither the settings nor a backend server names the failure domain.
    #[error("the failure domain {0} is unknown")]
    UnknownDomain(String),
    /// Too many failure domains are evacuated.
    #[error("no more than {MAX_EVACUATED} failure domains can be evacuated at the same time")]
    TooManyDomains,
}

/// Replicated configuration, backend servers and slices.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    index: u64,
    config: Option<Order>,
    history: collections::VecDeque<(config::Version, u64)>,
    next_server: u32,
    servers: collections::BTreeMap<id::Server, server::Server>,
    tables: collections::BTreeMap<String, slice::Table>,
    evacuated: collections::BTreeSet<String>,
    // Must stay the last field; see `departed::Departed::deserialize`.
    departed: departed::Departed,
}

impl Machine {
    /// Returns the index of the last applied log entry.
    pub const fn index(&self) -> u64 {
        self.index
    }

    /// Returns the order with the current configuration.
    pub const fn order(&self) -> Option<&Order> {
        self.config.as_ref()
    }

    /// Returns the version of the current configuration, or zero if there is none.
    pub fn version(&self) -> config::Version {
        self.config
            .as_ref()
            .map_or_else(config::Version::default, |order| order.config.version)
    }

    /// Returns the backend servers.
    pub const fn servers(&self) -> &collections::BTreeMap<id::Server, server::Server> {
        &self.servers
    }

    /// Returns the tables of slices by keyed service.
    pub const fn tables(&self) -> &collections::BTreeMap<String, slice::Table> {
        &self.tables
    }

    /// Returns the failure domains whose backend servers get no requests.
    pub const fn evacuated(&self) -> &collections::BTreeSet<String> {
        &self.evacuated
    }

    /// Returns the backend server that announced this instance.
    pub fn find_server(&self, instance: &server::Instance) -> Option<&server::Server> {
        self.servers
            .values()
            .find(|server| server.announcement.instance == *instance)
    }

    /// Returns whether this instance has left, so that it cannot join again.
    pub fn has_departed(&self, instance: &server::Instance) -> bool {
        self.departed.contains(instance)
    }

    /// Checks whether an order would be accepted in the current state.
    ///
    /// # Errors
    ///
    /// Returns why the order would be refused.
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

    /// Returns whether an order with the same version and digest was accepted before.
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
        for service in order
            .config
            .services
            .iter()
            .filter(|service| service.is_keyed)
        {
            self.tables.entry(service.name.clone()).or_default();
        }
        self.config = Some(order.clone());
        Ok(Output::Configured)
    }

    fn join(&mut self, index: u64, new: &server::Announcement) -> Result<Output, Refusal> {
        if self.has_departed(&new.instance) {
            return Err(Refusal::Departed);
        }
        // Two instances cannot listen on the same address at the same time.
        let former = self
            .servers
            .values()
            .find(|server| server.announcement.address == new.address);
        if let Some(former) = former {
            let known = &former.announcement.instance;
            if *known == new.instance {
                let id = former.id;
                if let Some(server) = self.servers.get_mut(&id) {
                    // A restarted node may hear of an instance that leaves from a late announcement.
                    let is_draining = server.announcement.is_draining || new.is_draining;
                    server.announcement = server::Announcement {
                        is_draining,
                        ..new.clone()
                    };
                }
                return Ok(Output::Joined(id));
            }
            if known.born_ms > new.instance.born_ms {
                return Err(Refusal::Outdated);
            }
        }
        let former = former.map(|former| (former.id, former.announcement.service == new.service));
        let id = id::Server(self.next_server);
        self.next_server += 1;
        if let Some((former, has_same_service)) = former {
            // The node may have renewed grants of the former instance at the address, and the new
            // instance takes them: it knows no fence. So the keys are not vacant, but its own.
            if has_same_service && let Some(table) = self.tables.get_mut(&new.service) {
                table.transfer(former, id, slice::Fence(index));
            }
            self.remove(former);
        }
        let server = server::Server {
            id,
            incarnation: id::Incarnation(index),
            announcement: new.clone(),
        };
        self.servers.insert(id, server);
        Ok(Output::Joined(id))
    }

    fn leave(&mut self, server: id::Server, incarnation: id::Incarnation) -> Output {
        let current = self.servers.get(&server);
        let matches = current.is_some_and(|known| known.incarnation == incarnation);
        if matches {
            self.remove(server);
        }
        Output::Left(matches)
    }

    fn remove(&mut self, server: id::Server) {
        let removed = self.servers.remove(&server);
        // One that was not leaving may have been cut off, and joins again.
        if let Some(removed) = removed.filter(|removed| removed.announcement.is_draining) {
            self.departed.add(&removed.announcement.instance);
        }
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

impl Machine {
    /// Begins or ends an evacuation. An order that is repeated changes nothing.
    fn evacuate(&mut self, evacuation: &Evacuation) -> Result<Output, Refusal> {
        let domain = &evacuation.domain;
        if !evacuation.is_evacuated {
            self.evacuated.remove(domain);
            return Ok(Output::Evacuated);
        }
        if !self.evacuated.contains(domain) {
            if self.evacuated.len() >= MAX_EVACUATED {
                return Err(Refusal::TooManyDomains);
            }
            self.evacuated.insert(domain.clone());
        }
        Ok(Output::Evacuated)
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
        let result = match command {
            Command::Configure(order) => self.configure(order),
            Command::Join(announcement) => self.join(index, announcement),
            Command::Leave {
                server,
                incarnation,
            } => Ok(self.leave(*server, *incarnation)),
            Command::Assign(moves) => Ok(self.assign(index, moves)),
            Command::Evacuate(evacuation) => self.evacuate(evacuation),
        };
        result.unwrap_or_else(Output::Refused)
    }

    fn to_snapshot(&self) -> Self {
        self.clone()
    }

    fn with_snapshot(snapshot: Self) -> Self {
        snapshot
    }
}
