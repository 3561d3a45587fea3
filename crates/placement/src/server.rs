//! Backend servers as the planner sees them.

use sequoiayoke_model::clock;
use sequoiayoke_model::id;

/// Phase in the life of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Started at this time and still cold.
    ///
    /// It takes a growing part of its slots over [`crate::config::Config::ramp`].
    Joining {
        /// When it joined.
        since: clock::Instant,
    },
    /// Warm.
    Serving,
    /// Leaving: it gets no new slices and its slices are moved away.
    Draining,
}

/// Health of a backend server: its own word and what its callers observe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Health {
    /// What its health endpoint reports; may lag and may be wrong.
    pub reported: bool,
    /// Observed speed over that of the other servers of its services, in
    /// thousandths: 1,000 if it answers as fast as they do, 500 if it takes
    /// twice as long, 0 if it does not answer.
    pub speed: u32,
}

impl Health {
    /// A server without any fault.
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
    /// Its number.
    pub id: id::Server,
    /// Run of its node.
    pub incarnation: id::Incarnation,
    /// Services that it offers.
    pub services: &'a [id::Service],
    /// What it shares with the servers that fail together with it.
    pub failure_domain: &'a str,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Phase in its life.
    pub state: State,
    /// Its health.
    pub health: Health,
}
