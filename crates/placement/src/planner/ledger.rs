//! Actions without an outcome yet, and the budget of moves.

use std::collections;
use std::time::Duration;

use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_model::key;

use crate::action;
use crate::config;

/// Time for which a position rests after its action failed, so that a failure
/// that persists does not repeat with each round.
const BACKOFF: Duration = Duration::from_millis(50);

/// Position of a slice.
pub(super) type Place = (id::Service, key::Hash);

/// What is in progress for a slice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    Assign(action::Target),
    Move {
        from: id::Server,
        to: action::Target,
    },
    /// Ends when a slice starts at `last` or before.
    Split {
        last: key::Hash,
    },
    /// Ends when either slice is gone.
    Merge {
        with: key::Hash,
    },
    /// Failed just now.
    Backoff,
}

impl Kind {
    /// Tells whether this is the progress of `action` for the slice around
    /// its position.
    pub(super) fn fits(&self, action: &action::Action) -> bool {
        match (self, action) {
            (Self::Assign(target), action::Action::Assign { to, .. }) => target == to,
            (
                Self::Move { from, to },
                action::Action::Move {
                    from: old, to: new, ..
                },
            ) => *from == old.server && to == new,
            (Self::Split { last }, action::Action::Split { at, .. }) => last <= at,
            (Self::Merge { .. }, action::Action::Merge { .. }) => true,
            _ => false,
        }
    }

    pub(super) const fn target(&self) -> Option<action::Target> {
        match self {
            Self::Assign(to) | Self::Move { to, .. } => Some(*to),
            Self::Split { .. } | Self::Merge { .. } | Self::Backoff => None,
        }
    }
}

/// Actions in progress by slice; at most one for each.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    entries: collections::BTreeMap<Place, (Kind, clock::Instant)>,
    // Invariant: one entry for each of `entries`.
    deadlines: collections::BTreeSet<(clock::Instant, Place)>,
    moves: usize,
    leaving: collections::BTreeMap<id::Server, usize>,
    // Invariant: at most as many as the budget allows in its window.
    balanced: collections::VecDeque<clock::Instant>,
}

impl Ledger {
    pub(super) fn is_busy(&self, place: Place) -> bool {
        self.entries.contains_key(&place)
    }

    pub(super) fn get(&self, place: Place) -> Option<Kind> {
        self.entries.get(&place).map(|(kind, _)| *kind)
    }

    pub(super) fn insert(&mut self, place: Place, kind: Kind, until: clock::Instant) {
        self.remove(place);
        if let Kind::Move { from, .. } = kind {
            self.moves += 1;
            *self.leaving.entry(from).or_default() += 1;
        }
        self.entries.insert(place, (kind, until));
        self.deadlines.insert((until, place));
    }

    pub(super) fn back_off(&mut self, now: clock::Instant, place: Place) {
        self.insert(place, Kind::Backoff, now + BACKOFF);
    }

    pub(super) fn remove(&mut self, place: Place) -> Option<Kind> {
        let (kind, until) = self.entries.remove(&place)?;
        self.deadlines.remove(&(until, place));
        match kind {
            Kind::Move { from, .. } => {
                self.moves -= 1;
                if let Some(count) = self.leaving.get_mut(&from) {
                    *count -= 1;
                    if *count == 0 {
                        self.leaving.remove(&from);
                    }
                }
            }
            Kind::Merge { with } => {
                self.remove((place.0, with));
            }
            Kind::Assign(_) | Kind::Split { .. } | Kind::Backoff => {}
        }
        Some(kind)
    }

    /// Returns the places whose action has no outcome in time.
    pub(super) fn expired(&self, now: clock::Instant) -> Vec<Place> {
        let due = self.deadlines.iter();
        let due = due.take_while(|(until, _)| *until <= now);
        due.map(|(_, place)| *place).collect()
    }

    /// Returns the places with an action towards another run of `server`
    /// than `incarnation`, or towards any if it is `None`.
    pub(super) fn void(
        &self,
        server: id::Server,
        incarnation: Option<id::Incarnation>,
    ) -> Vec<Place> {
        let is_void = |target: action::Target| {
            target.server == server && Some(target.incarnation) != incarnation
        };
        let entries = self.entries.iter();
        let void = entries.filter(|(_, (kind, _))| kind.target().is_some_and(is_void));
        void.map(|(place, _)| *place).collect()
    }

    pub(super) fn next_deadline(&self) -> Option<clock::Instant> {
        self.deadlines.first().map(|(until, _)| *until)
    }

    /// Tells whether another move may leave `from`.
    pub(super) fn may_move(&self, config: &config::Config, from: id::Server) -> bool {
        let leaving = self.leaving.get(&from).copied().unwrap_or_default();
        self.has_room(config) && leaving < config.max_moves_per_server
    }

    /// Tells whether another move may start at all.
    pub(super) const fn has_room(&self, config: &config::Config) -> bool {
        self.moves < config.max_moves
    }

    /// Tells whether the budget allows another move for the sake of balance.
    pub(super) fn may_balance(&mut self, now: clock::Instant, config: &config::Config) -> bool {
        let is_past = |at: clock::Instant| at + config.budget_window <= now;
        while self.balanced.front().is_some_and(|at| is_past(*at)) {
            self.balanced.pop_front();
        }
        self.balanced.len() < config.budget
    }

    pub(super) fn spend(&mut self, now: clock::Instant) {
        self.balanced.push_back(now);
    }
}
