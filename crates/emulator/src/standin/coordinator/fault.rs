//! Faults that the server shows on command.

use std::time::Duration;

use serde::Deserialize;

use sequoiayoke_model::clock;

/// Reason of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The epoch, the range or the lease does not admit the request.
    Fencing,
    /// The server takes no new work.
    Draining,
    /// The slots and the queue are full.
    Overload,
}

impl Refusal {
    /// Returns the word of the `sequoiayoke-refused` header.
    pub const fn word(self) -> &'static str {
        match self {
            Self::Fencing => "fencing",
            Self::Draining => "draining",
            Self::Overload => "overload",
        }
    }
}

/// Moment at which connections are reset.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Moment {
    /// As soon as a connection is accepted.
    #[default]
    Accept,
    /// When a request has arrived, before it runs.
    Request,
    /// When a request has run, in place of its answer.
    Answer,
}

/// Load that the server states.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct Load {
    /// Requests said to run.
    pub running: usize,
    /// Requests said to wait.
    pub queued: usize,
}

/// A fault command; its name is the last part of the path and its body the fields.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// Stop answering and announcing, as a paused process does.
    Freeze {
        /// For how long, in milliseconds; 0 ends it.
        for_ms: u64,
    },
    /// Hold back each answer.
    Delay {
        /// For how long, in milliseconds.
        ms: u64,
    },
    /// Cut the next answers half way through the body.
    Truncate {
        /// How many.
        count: u64,
    },
    /// Reset the next connections.
    Reset {
        /// How many.
        count: u64,
        /// At which moment.
        #[serde(default)]
        at: Moment,
    },
    /// Answer the next requests only after their deadline.
    Late {
        /// How many.
        count: u64,
    },
    /// Answer the next requests twice on one connection.
    Twice {
        /// How many.
        count: u64,
    },
    /// State this health; null ends the lie.
    Health {
        /// What to state.
        healthy: Option<bool>,
    },
    /// State this load; null ends the lie.
    Load {
        /// What to state.
        load: Option<Load>,
    },
    /// Admit requests whatever their epoch, range or lease.
    IgnoreFencing {
        /// Whether to do so.
        on: bool,
    },
    /// Stop announcing, but go on answering.
    Silence {
        /// Whether to do so.
        on: bool,
    },
    /// Refuse each request; null ends it.
    Refuse {
        /// With which reason.
        reason: Option<Refusal>,
    },
    /// Take new work again after a drain.
    Undrain,
    /// End every fault.
    Clear,
}

/// Faults that last until they are ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// The server is frozen until then.
    pub frozen_until: clock::Instant,
    /// Each answer is held back for so long.
    pub delay: Duration,
    /// Health to state.
    pub health: Option<bool>,
    /// Load to state.
    pub load: Option<Load>,
    /// Requests are not fenced.
    pub ignore_fencing: bool,
    /// No announcements are sent.
    pub silent: bool,
    /// Each request is refused with this reason.
    pub refuse: Option<Refusal>,
}

impl Faults {
    /// Applies a command; those that count answers concern the traffic threads only.
    pub fn apply(&mut self, command: &Command, now: clock::Instant) {
        match command {
            Command::Freeze { for_ms } => self.frozen_until = now + Duration::from_millis(*for_ms),
            Command::Delay { ms } => self.delay = Duration::from_millis(*ms),
            Command::Health { healthy } => self.health = *healthy,
            Command::Load { load } => self.load = *load,
            Command::IgnoreFencing { on } => self.ignore_fencing = *on,
            Command::Silence { on } => self.silent = *on,
            Command::Refuse { reason } => self.refuse = *reason,
            Command::Clear => *self = Self::default(),
            Command::Truncate { .. }
            | Command::Reset { .. }
            | Command::Late { .. }
            | Command::Twice { .. }
            | Command::Undrain => {}
        }
    }
}
