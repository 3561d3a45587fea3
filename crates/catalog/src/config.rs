//! Configuration of routes, services and limits, and the checks that it must pass.

use std::collections;

use serde::{Deserialize, Serialize};

/// Longest time that a route may give a request, in milliseconds.
pub const MAX_TIMEOUT_MS: u64 = 600_000;

/// Number of a configuration; numbers grow in uneven steps.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version(pub u64);

/// The complete configuration of a deployment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Its number.
    pub version: Version,
    /// Services, by name.
    pub services: Vec<Service>,
    /// What callers may send.
    pub limits: Limits,
    /// Routes of all hosts.
    pub routes: Vec<Route>,
}

/// A group of interchangeable backend servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Path of the health check.
    pub health_path: String,
    /// Connections that one backend server accepts from all nodes together.
    pub max_connections: u32,
    /// Whether each key has a single owner.
    pub is_keyed: bool,
    /// Time for which keys that arrive without a handover are slow, in milliseconds.
    pub warm_up_ms: u64,
}

/// Bounds on what callers send.
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
    /// Returns the limits that hold before the first configuration arrives.
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
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Runs at most once and carries a large body.
    Upload,
}

impl Kind {
    /// Returns whether a request of this kind may run again.
    pub const fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent)
    }
}

/// Where requests of one host and path prefix go.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Host that the request names.
    pub host: String,
    /// Prefix of the path; it begins and ends with a slash.
    pub prefix: String,
    /// Whether its requests may run again.
    pub kind: Kind,
    /// Longest time that a request is kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer has its full use, in milliseconds.
    pub target_ms: u64,
    /// Rank; zero is the highest.
    pub priority: u32,
    /// Backend servers to which one request may be sent.
    pub max_attempts: u32,
    /// Services that share the requests, by weight.
    pub shares: Vec<Share>,
}

/// Part of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// Service that takes the part.
    pub service: String,
    /// Size of the part relative to the other weights.
    pub weight: f64,
}

/// Reason why a configuration is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A route names a service that the configuration lacks.
    #[error("route {route} names the unknown service {service}")]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the service.
        service: String,
    },
    /// A weight is negative or not a number, or no weight is positive.
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
    /// A prefix does not begin and end with a slash.
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
    /// Checks what does not depend on the configuration in force.
    ///
    /// # Errors
    ///
    /// Returns the first fault.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_catalog::config;
    ///
    /// assert_eq!(config::Config::default().check(), Ok(()));
    /// ```
    pub fn check(&self) -> Result<(), Error> {
        let mut names = collections::BTreeSet::new();
        for service in &self.services {
            if !names.insert(service.name.as_str()) {
                return Err(Error::RepeatedService(service.name.clone()));
            }
        }
        let mut places = collections::BTreeSet::new();
        for route in &self.routes {
            route.check(&names)?;
            if !places.insert((route.host.as_str(), route.prefix.as_str())) {
                return Err(Error::Repeated(route.name.clone()));
            }
        }
        Ok(())
    }

    /// Returns the service of this name.
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
        let usable = self
            .shares
            .iter()
            .all(|share| share.weight.is_finite() && share.weight >= 0.0);
        let total: f64 = self.shares.iter().map(|share| share.weight).sum();
        if !usable || total <= 0.0 {
            return Err(Error::Weight(self.name.clone()));
        }
        Ok(())
    }
}
