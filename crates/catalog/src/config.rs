//! Configuration of routes, services and limits, and its validation.

use std::collections;

use serde::{Deserialize, Serialize};

/// Longest timeout of a route, in milliseconds.
pub const MAX_TIMEOUT_MS: u64 = 600_000;

/// Version of a configuration; versions increase, but need not be consecutive.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version(pub u64);

/// The complete configuration of a deployment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Version of the configuration.
    pub version: Version,
    /// Services, by name.
    pub services: Vec<Service>,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
    /// Routes of all hosts.
    pub routes: Vec<Route>,
}

/// A group of backend servers that provide the same service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Path of the health check.
    pub health_path: String,
    /// Connections that one backend server accepts from all nodes together.
    pub max_connections: u32,
    /// Whether each key has a single owner.
    pub is_keyed: bool,
    /// Time for which keys that are assigned without a handover are served slowly, in milliseconds.
    pub warm_up_ms: u64,
    /// What a backend server bears after its start, if it bears less than later.
    pub cold_start: Option<ColdStart>,
}

/// What a backend server bears while it is cold: after its start, or whenever it says so.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdStart {
    /// Time for which a backend server is cold after its start, in milliseconds.
    pub duration_ms: u64,
    /// Requests that it bears in a second.
    pub rate_per_s: f64,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub max_header_bytes: u64,
    /// Largest request body, in bytes.
    pub max_body_bytes: u64,
    /// Longest time in which a request head must arrive, in milliseconds.
    pub header_timeout_ms: u64,
    /// Longest time for which a connection may stay idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    /// Returns the limits that apply until the first configuration arrives.
    fn default() -> Self {
        Self {
            max_header_bytes: 16 * 1024,
            max_body_bytes: 64 * 1024 * 1024,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once.
    NonIdempotent,
    /// The request runs at most once and has a large body.
    Upload,
}

impl Kind {
    /// Returns whether a request of this kind may run more than once.
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent)
    }
}

/// Rule for forwarding the requests of one host and path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host in the request.
    pub host: String,
    /// Path prefix, which begins and ends with a slash.
    pub prefix: String,
    /// Whether a request may run more than once.
    pub kind: Kind,
    /// Longest time that a request may wait for its response, in milliseconds.
    pub timeout_ms: u64,
    /// Response time up to which a response has its full value, in milliseconds.
    pub target_ms: u64,
    /// Priority; zero is the highest.
    pub priority: u32,
    /// Maximum number of backend servers to which one request may be sent.
    pub max_attempts: u32,
    /// Services among which the requests are split by weight.
    pub shares: Vec<Share>,
}

/// Share of a route's requests that one service receives.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// Service that receives the requests.
    pub service: String,
    /// Weight relative to the other shares of the route.
    pub weight: f64,
}

/// Reason why a configuration is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A route refers to a service that the configuration does not define.
    #[error("route {route} names the unknown service {service}")]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the service.
        service: String,
    },
    /// A weight is negative or not finite, or no weight is positive.
    #[error("route {0} has no usable weights")]
    Weight(String),
    /// A timeout is zero or too long.
    #[error("route {route} has a timeout of {timeout_ms} ms; it must be 1 to {MAX_TIMEOUT_MS} ms")]
    Timeout {
        /// Name of the route.
        route: String,
        /// The timeout.
        timeout_ms: u64,
    },
    /// A path prefix does not begin and end with a slash.
    #[error("route {0} has a prefix that does not begin and end with a slash")]
    Prefix(String),
    /// Two routes have the same host and prefix.
    #[error("route {0} repeats the host and prefix of another route")]
    Repeated(String),
    /// Two services have the same name.
    #[error("service {0} is defined twice")]
    RepeatedService(String),
}

impl Config {
    /// Validates the configuration on its own, without regard to the current one.
    ///
    /// # Errors
    ///
    /// Returns the first of [`Config::errors`].
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_catalog::config;
    ///
    /// assert_eq!(config::Config::default().check(), Ok(()));
    /// ```
    pub fn check(&self) -> Result<(), Error> {
        self.errors().into_iter().next().map_or(Ok(()), Err)
    }

    /// Returns all reasons why the configuration is invalid on its own.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_catalog::config;
    ///
    /// assert_eq!(config::Config::default().errors(), []);
    /// ```
    pub fn errors(&self) -> Vec<Error> {
        let mut errors = Vec::new();
        let mut names = collections::BTreeSet::new();
        for service in &self.services {
            if !names.insert(service.name.as_str()) {
                errors.push(Error::RepeatedService(service.name.clone()));
            }
        }
        let mut prefixes = collections::BTreeSet::new();
        for route in &self.routes {
            errors.extend(route.check(&names).err());
            if !prefixes.insert((route.host.as_str(), route.prefix.as_str())) {
                errors.push(Error::Repeated(route.name.clone()));
            }
        }
        errors
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}

impl Route {
    fn check(&self, services: &collections::BTreeSet<&str>) -> Result<(), Error> {
        if self.timeout_ms == 0 || self.timeout_ms > MAX_TIMEOUT_MS {
            return Err(Error::Timeout {
                route: self.name.clone(),
                timeout_ms: self.timeout_ms,
            });
        }
        if !self.prefix.starts_with('/') || !self.prefix.ends_with('/') {
            return Err(Error::Prefix(self.name.clone()));
        }
        let unknown = self
            .shares
            .iter()
            .find(|share| !services.contains(share.service.as_str()));
        if let Some(share) = unknown {
            return Err(Error::UnknownService {
                route: self.name.clone(),
                service: share.service.clone(),
            });
        }
        let is_valid = self
            .shares
            .iter()
            .all(|share| share.weight.is_finite() && share.weight >= 0.0);
        let total: f64 = self.shares.iter().map(|share| share.weight).sum();
        if !is_valid || total <= 0.0 {
            return Err(Error::Weight(self.name.clone()));
        }
        Ok(())
    }
}
