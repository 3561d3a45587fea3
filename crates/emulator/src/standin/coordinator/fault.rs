//! Faults that are injected on command.

use std::time::Duration;

use serde::Deserialize;

use sequoiayoke_model::clock;

/// Reason of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The epoch, the range or the lease does not admit the request.
    Fencing,
    /// The server does not accept new requests.
    Draining,
    /// The slots and the queue are full.
    Overload,
}

impl Refusal {
    /// Returns the value of the `sequoiayoke-refused` header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Fencing => "fencing",
            Self::Draining => "draining",
            Self::Overload => "overload",
        }
    }
}

/// Stage at which connections are reset.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// As soon as a connection is accepted.
    #[default]
    Accept,
    /// When a request has been received, before it runs.
    Request,
    /// When a request has run, instead of its response.
    Answer,
}

/// Load that the server reports instead of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct Load {
    /// Number of running requests to report.
    pub running: usize,
    /// Number of waiting requests to report.
    pub queued: usize,
}

/// A fault command; the last segment of the path is its name, and the body has its fields.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// Stop responding and announcing, like a suspended process.
    Freeze {
        /// Duration in milliseconds; 0 ends the fault.
        for_ms: u64,
    },
    /// Delay each response.
    Delay {
        /// Delay in milliseconds.
        ms: u64,
    },
    /// Truncate the next responses in the middle of the body.
    Truncate {
        /// Number of responses.
        count: u64,
    },
    /// Reset the next connections.
    Reset {
        /// Number of connections.
        count: u64,
        /// Stage at which they are reset.
        #[serde(default)]
        at: Stage,
    },
    /// Respond to the next requests only after their deadline.
    Late {
        /// Number of requests.
        count: u64,
    },
    /// Send the response to the next requests twice on the same connection.
    Twice {
        /// Number of requests.
        count: u64,
    },
    /// Report this health; null restores the actual one.
    Health {
        /// Health to report.
        healthy: Option<bool>,
    },
    /// Report this load; null restores the actual one.
    Load {
        /// Load to report.
        load: Option<Load>,
    },
    /// Admit requests regardless of their epoch, range and lease.
    IgnoreFencing {
        /// Whether the fault is active.
        on: bool,
    },
    /// Stop announcing, but keep responding.
    Silence {
        /// Whether the fault is active.
        on: bool,
    },
    /// Refuse each request; null ends the fault.
    Refuse {
        /// Reason of the refusals.
        reason: Option<Refusal>,
    },
    /// Accept new requests again after a drain.
    Undrain,
    /// End all faults.
    Clear,
}

/// Faults that are active until they are ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Time until which the server is frozen.
    pub frozen_until: clock::Instant,
    /// Delay of each response.
    pub delay: Duration,
    /// Health to report instead of the actual one.
    pub health_override: Option<bool>,
    /// Load to report instead of the actual one.
    pub load_override: Option<Load>,
    /// Whether requests are admitted without fencing.
    pub ignore_fencing: bool,
    /// Whether no announcements are sent.
    pub announcements_paused: bool,
    /// Reason with which each request is refused, if any.
    pub refusal: Option<Refusal>,
}

impl Faults {
    /// Applies a command. The traffic threads apply those with a count, and the coordinator
    /// applies `Undrain`.
    pub fn apply(&mut self, command: &Command, now: clock::Instant) {
        match command {
            Command::Freeze { for_ms } => self.frozen_until = now + Duration::from_millis(*for_ms),
            Command::Delay { ms } => self.delay = Duration::from_millis(*ms),
            Command::Health { healthy } => self.health_override = *healthy,
            Command::Load { load } => self.load_override = *load,
            Command::IgnoreFencing { on } => self.ignore_fencing = *on,
            Command::Silence { on } => self.announcements_paused = *on,
            Command::Refuse { reason } => self.refusal = *reason,
            Command::Clear => *self = Self::default(),
            Command::Truncate { .. }
            | Command::Reset { .. }
            | Command::Late { .. }
            | Command::Twice { .. }
            | Command::Undrain => {}
        }
    }
}
