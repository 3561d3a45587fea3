//! Whether a backend server counts as cold.
//!
//! A backend server states for how long it stays cold, but the statement may be late, and it may
//! turn cold again at any moment, for example when it comes back after a loss of power. From an
//! event after which it may be cold until it has answered a health check that was sent later, it is
//! in doubt, which counts as cold.

use std::time::Duration;

use sequoiayoke_model::clock;

/// Time without an answer after which a backend server may have been down and have come back.
pub const MAX_SILENCE: Duration = Duration::from_secs(1);

/// Reason why a backend server may be cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doubt {
    /// The node has started, or another instance runs at the address.
    Started,
    /// The evacuation of its failure domain has ended.
    Returned,
    /// It did not answer, or refused a connection.
    Silent,
}

impl Doubt {
    /// Returns the value of the log field.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Started => "started",
            Self::Returned => "returned",
            Self::Silent => "silent",
        }
    }
}

/// What is known of the warmth of a backend server.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use sequoiayoke_dispatch::warmth;
/// use sequoiayoke_model::clock;
///
/// let now = clock::Instant::from_micros(0);
/// let mut warmth = warmth::Warmth::new(now);
/// assert!(warmth.is_cold(now));
/// warmth.record_check(now, now, Duration::ZERO);
/// assert!(!warmth.is_cold(now));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Warmth {
    cold_until: clock::Instant,
    /// The latest event after which it may be cold, while no later health check was answered.
    doubt: Option<(Doubt, clock::Instant)>,
    last_answer: clock::Instant,
}

impl Warmth {
    /// Creates the state of a backend server of which nothing is known yet.
    pub const fn new(now: clock::Instant) -> Self {
        Self {
            cold_until: now,
            doubt: Some((Doubt::Started, now)),
            last_answer: now,
        }
    }

    /// Records an event after which the backend server may be cold; returns whether it was not in
    /// doubt before.
    pub fn record_doubt(&mut self, now: clock::Instant, doubt: Doubt) -> bool {
        self.doubt.replace((doubt, now)).is_none()
    }

    /// Records any answer of the backend server.
    pub const fn record_answer(&mut self, now: clock::Instant) {
        self.last_answer = now;
    }

    /// Returns whether it has been silent for so long that it may have come back cold. A
    /// backend server that had nothing to answer is silent, too.
    pub fn is_silent(&self, now: clock::Instant) -> bool {
        now.saturating_since(self.last_answer) >= MAX_SILENCE
    }

    /// Records a statement of the backend server that it stays cold for `left`. A statement without
    /// time left proves nothing: it may be late.
    pub fn record_announced(&mut self, now: clock::Instant, left: Duration) {
        self.cold_until = self.cold_until.max(now + left);
    }

    /// Records the answer to a health check that was sent at `sent`, which states that the backend
    /// server stays cold for `left`.
    pub fn record_check(&mut self, now: clock::Instant, sent: clock::Instant, left: Duration) {
        self.last_answer = now;
        if self.doubt.is_some_and(|(_, since)| since <= sent) {
            self.doubt = None;
        }
        self.cold_until = match left.is_zero() {
            // Asked now, it knows better than from an earlier statement.
            true => now,
            false => now + left,
        };
    }

    /// Returns the reason of the doubt, if the backend server is in doubt.
    pub fn doubt(&self) -> Option<Doubt> {
        self.doubt.map(|(doubt, _)| doubt)
    }

    /// Returns whether the backend server counts as cold.
    pub fn is_cold(&self, now: clock::Instant) -> bool {
        self.doubt.is_some() || now < self.cold_until
    }
}
