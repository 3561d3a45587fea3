//! How grants and releases reach the backend server.
//!
//! Which keys are granted and released, under which fence and until when is decided once, for both
//! ways; a way only delivers what was decided.

use sequoiayoke_model::clock;

use super::State;

/// A way to deliver grants and releases.
pub(super) trait Delivery {
    /// Delivers the grants that are due.
    fn send_grants(state: &mut State, now: clock::Instant);

    /// Delivers the releases that are due.
    fn send_releases(state: &mut State, now: clock::Instant);
}

/// Sends commands to the backend server.
pub(super) struct Push;

/// Waits until the backend server announces itself, and answers with all keys that it is to hold.
pub(super) struct Collect;

/// The way that the backend server has chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Way {
    /// See [`Push`].
    #[default]
    Push,
    /// See [`Collect`].
    Collect,
}

impl State {
    /// Delivers the grants that are due.
    pub(super) fn send_grants(&mut self, now: clock::Instant) {
        match self.way {
            Way::Push => Push::send_grants(self, now),
            Way::Collect => Collect::send_grants(self, now),
        }
    }

    /// Delivers the releases that are due.
    pub(super) fn send_releases(&mut self, now: clock::Instant) {
        self.refence_releases(now);
        match self.way {
            Way::Push => Push::send_releases(self, now),
            Way::Collect => Collect::send_releases(self, now),
        }
    }
}
