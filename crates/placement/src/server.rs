//! Backend servers, with the properties that the planner uses.

use sequoiayoke_model::clock;
use sequoiayoke_model::id;

/// Phase in the life cycle of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Started at this time and not warmed up yet.
    ///
    /// Its capacity grows to that of all its slots over [`crate::config::Config::ramp`].
    Joining {
        /// When it joined.
        since: clock::Instant,
    },
    /// Warmed up, with its full capacity.
    Serving,
    /// Shutting down: it gets no new slices and its slices are moved away.
    Draining,
}

/// Health of a backend server, as reported by itself and as observed by its callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Health {
    /// Whether its health endpoint reports it as healthy; may be late or wrong.
    pub reported: bool,
    /// Observed speed relative to the other servers of its services, in
    /// thousandths: 1,000 if it responds as fast as they do, 500 if it takes
    /// twice as long, 0 if it does not respond.
    pub speed: u32,
}

impl Health {
    /// Health of a server without any fault.
    pub const GOOD: Self = Self {
        reported: true,
        speed: 1_000,
    };
}

impl Default for Health {
    fn default() -> Self {
        Self::GOOD
    }
}

/// A backend server whose node is alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Server<'a> {
    /// Identifier of the server.
    pub id: id::Server,
    /// Incarnation of its node.
    pub incarnation: id::Incarnation,
    /// Services that it offers.
    pub services: &'a [id::Service],
    /// Failure domain: servers with the same name may fail together.
    pub failure_domain: &'a str,
    /// Maximum number of requests that it executes concurrently.
    pub slots: u32,
    /// Phase in its life cycle.
    pub state: State,
    /// Its health.
    pub health: Health,
}
