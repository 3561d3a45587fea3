//! Actions in progress, and the budget for balancing moves.

use std::collections;
use std::time::Duration;

use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_model::key;

use crate::action;
use crate::config;

/// Time for which a slice gets no action after one failed, so that a persistent
/// failure does not repeat in each round.
const BACKOFF: Duration = Duration::from_millis(50);

/// Service and start of a slice.
pub(super) type Place = (id::Service, key::Hash);

/// Action in progress for a slice.
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
    /// Ends when either slice has been merged into another.
    Merge {
        with: key::Hash,
    },
    /// Waits after a failed action; see [`BACKOFF`].
    Backoff,
}

impl Kind {
    /// Returns whether this is the entry for `action`, given that it belongs to
    /// the slice that contains the action's position.
    pub(super) fn is_for(&self, action: &action::Action) -> bool {
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

/// Actions in progress, at most one for each slice.
#[derive(Debug, Default)]
pub(super) struct Actions {
    entries: collections::BTreeMap<Place, (Kind, clock::Instant)>,
    // Invariant: one entry for each of `entries`.
    deadlines: collections::BTreeSet<(clock::Instant, Place)>,
    moves: usize,
    moves_from: collections::BTreeMap<id::Server, usize>,
    // Starts of balancing moves. Invariant: at most `budget` of them within `budget_window`.
    balance_moves: collections::VecDeque<clock::Instant>,
}

impl Actions {
    pub(super) fn is_busy(&self, place: Place) -> bool {
        self.entries.contains_key(&place)
    }

    pub(super) fn get(&self, place: Place) -> Option<Kind> {
        self.entries.get(&place).map(|(kind, _)| *kind)
    }

    pub(super) fn insert(&mut self, place: Place, kind: Kind, deadline: clock::Instant) {
        self.remove(place);
        if let Kind::Move { from, .. } = kind {
            self.moves += 1;
            *self.moves_from.entry(from).or_default() += 1;
        }
        self.entries.insert(place, (kind, deadline));
        self.deadlines.insert((deadline, place));
    }

    pub(super) fn back_off(&mut self, now: clock::Instant, place: Place) {
        self.insert(place, Kind::Backoff, now + BACKOFF);
    }

    pub(super) fn remove(&mut self, place: Place) -> Option<Kind> {
        let (kind, deadline) = self.entries.remove(&place)?;
        self.deadlines.remove(&(deadline, place));
        match kind {
            Kind::Move { from, .. } => {
                self.moves -= 1;
                if let Some(count) = self.moves_from.get_mut(&from) {
                    *count -= 1;
                    if *count == 0 {
                        self.moves_from.remove(&from);
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

    /// Returns the slices whose action has timed out.
    pub(super) fn expired(&self, now: clock::Instant) -> Vec<Place> {
        let due = self.deadlines.iter();
        let due = due.take_while(|(deadline, _)| *deadline <= now);
        due.map(|(_, place)| *place).collect()
    }

    /// Returns the slices whose action has another incarnation of `server` than
    /// `incarnation` as its target, or any incarnation if it is `None`.
    pub(super) fn with_stale_target(
        &self,
        server: id::Server,
        incarnation: Option<id::Incarnation>,
    ) -> Vec<Place> {
        let is_stale = |target: action::Target| {
            target.server == server && Some(target.incarnation) != incarnation
        };
        let entries = self.entries.iter();
        let stale = entries.filter(|(_, (kind, _))| kind.target().is_some_and(is_stale));
        stale.map(|(place, _)| *place).collect()
    }

    pub(super) fn next_deadline(&self) -> Option<clock::Instant> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Returns whether another move from `from` may start.
    pub(super) fn has_move_capacity_from(&self, config: &config::Config, from: id::Server) -> bool {
        let moves = self.moves_from.get(&from).copied().unwrap_or_default();
        self.has_move_capacity(config) && moves < config.max_moves_per_server
    }

    /// Returns whether another move may start, from any server.
    pub(super) const fn has_move_capacity(&self, config: &config::Config) -> bool {
        self.moves < config.max_moves
    }

    /// Returns whether the budget allows another balancing move.
    pub(super) fn has_balance_budget(
        &mut self,
        now: clock::Instant,
        config: &config::Config,
    ) -> bool {
        let is_expired = |at: clock::Instant| at + config.budget_window <= now;
        while self.balance_moves.front().is_some_and(|at| is_expired(*at)) {
            self.balance_moves.pop_front();
        }
        self.balance_moves.len() < config.budget
    }

    pub(super) fn record_balance_move(&mut self, now: clock::Instant) {
        self.balance_moves.push_back(now);
    }
}
