//! The servers of one service, ordered by load.

use std::collections;

use sequoiayoke_model::clock;
use sequoiayoke_model::id;

use crate::cause;

/// Number of a failure domain; equal names have equal numbers.
pub(super) type Domain = u32;

/// Scores are loads over capacities with this many binary places.
const PLACES: u32 = 20;

/// Servers looked at in each failure domain to find a target. The least
/// loaded one may be a cold server for which the slice is too much.
const CANDIDATES: usize = 4;

/// Targets whose load differs by less than the mean over this are equal, and
/// the less loaded failure domain decides.
const EQUAL: u64 = 16;

/// Load and capacity of a server or of several.
///
/// The load is that of the server plus that of the service on it, so that
/// neither the servers nor the parts of any one service become uneven.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Stand {
    pub(super) load: u64,
    pub(super) capacity: u64,
}

impl Stand {
    pub(super) fn score(&self) -> u64 {
        let score = (u128::from(self.load) << PLACES) / u128::from(self.capacity.max(1));
        u64::try_from(score).unwrap_or(u64::MAX)
    }

    /// Returns the stand after a slice of this weight came.
    pub(super) const fn with(self, weight: u64) -> Self {
        Self {
            load: self.load.saturating_add(weight.saturating_mul(2)),
            ..self
        }
    }

    /// Returns the stand after a slice of this weight left.
    pub(super) const fn without(self, weight: u64) -> Self {
        Self {
            load: self.load.saturating_sub(weight.saturating_mul(2)),
            ..self
        }
    }

    const fn add(&mut self, other: Self) {
        self.load += other.load;
        self.capacity += other.capacity;
    }

    const fn subtract(&mut self, other: Self) {
        self.load -= other.load;
        self.capacity -= other.capacity;
    }
}

/// Which observations count for the choice of targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Trust {
    /// All of them.
    #[default]
    Full,
    /// Not the health endpoints, since most servers would be out.
    Observed,
    /// Neither, since no server answers in time.
    Nothing,
}

/// How a server counts for the choice of [`Trust`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Vote {
    pub(super) answers: bool,
    pub(super) healthy: bool,
}

#[derive(Debug, Default)]
struct Ring {
    order: collections::BTreeSet<(u64, id::Server)>,
    sum: Stand,
}

/// The servers of one service.
#[derive(Debug, Default)]
pub(super) struct Pool {
    rings: collections::BTreeMap<Domain, Ring>,
    sum: Stand,
    ready: usize,
    votes: collections::BTreeMap<id::Server, Vote>,
    answering: usize,
    healthy: usize,
    /// Load of all keys without a request together.
    pub(super) base: u64,
    /// Whether the pool is being balanced; see `config::Config::tolerance`.
    pub(super) is_active: bool,
    /// Whether anything changed since balance was last considered.
    pub(super) is_touched: bool,
    /// No move paid a short time ago, so none is looked for before this.
    pub(super) idle_until: clock::Instant,
}

impl Pool {
    /// Returns the servers that may receive slices.
    pub(super) const fn ready(&self) -> usize {
        self.ready
    }

    pub(super) fn members(&self) -> impl Iterator<Item = id::Server> {
        self.votes.keys().copied()
    }

    pub(super) fn set_vote(&mut self, server: id::Server, vote: Option<Vote>) {
        if let Some(old) = self.votes.remove(&server) {
            self.answering -= usize::from(old.answers);
            self.healthy -= usize::from(old.healthy);
        }
        if let Some(new) = vote {
            self.votes.insert(server, new);
            self.answering += usize::from(new.answers);
            self.healthy += usize::from(new.healthy);
        }
    }

    /// Returns what to trust: a health endpoint may take out a server only
    /// while at least half of those that answer remain.
    pub(super) const fn trust(&self) -> Trust {
        if self.answering == 0 {
            Trust::Nothing
        } else if self.healthy * 2 < self.answering {
            Trust::Observed
        } else {
            Trust::Full
        }
    }

    pub(super) fn insert(&mut self, domain: Domain, server: id::Server, stand: Stand) {
        let ring = self.rings.entry(domain).or_default();
        ring.order.insert((stand.score(), server));
        ring.sum.add(stand);
        self.sum.add(stand);
        self.ready += 1;
        self.is_touched = true;
    }

    pub(super) fn remove(&mut self, domain: Domain, server: id::Server, stand: Stand) {
        let Some(ring) = self.rings.get_mut(&domain) else {
            return;
        };
        if ring.order.remove(&(stand.score(), server)) {
            ring.sum.subtract(stand);
            self.sum.subtract(stand);
            self.ready -= 1;
        }
        if ring.order.is_empty() {
            self.rings.remove(&domain);
        }
        self.is_touched = true;
    }

    /// Returns the mean load of a server that may receive slices, counted
    /// like the load of a slice.
    pub(super) const fn mean(&self) -> u64 {
        let servers = if self.ready == 0 { 1 } else { self.ready };
        self.sum.load / 2 / servers as u64
    }

    pub(super) fn relative(&self, score: u64) -> cause::Relative {
        let mean = u128::from(self.sum.score().max(1));
        let relative = u128::from(score) * 1_000 / mean;
        cause::Relative(u64::try_from(relative).unwrap_or(u64::MAX))
    }

    /// Returns up to `count` servers, the most loaded first.
    pub(super) fn most_loaded(&self, count: usize) -> Vec<(u64, id::Server)> {
        let rings = self.rings.values();
        let mut found: Vec<_> = rings
            .flat_map(|ring| ring.order.iter().rev().take(count).copied())
            .collect();
        found.sort_by(|a, b| b.cmp(a));
        found.truncate(count);
        found
    }

    /// Returns the servers among which the target of a slice is to be
    /// chosen, with the score of their failure domain.
    pub(super) fn candidates(&self) -> impl Iterator<Item = (u64, id::Server)> {
        self.rings.values().flat_map(|ring| {
            let score = ring.sum.score();
            let first = ring.order.iter().take(CANDIDATES);
            first.map(move |(_, server)| (score, *server))
        })
    }

    /// Reduces a score to steps within which servers are equally good.
    pub(super) fn step(&self, score: u64) -> u64 {
        score / (self.sum.score() / EQUAL + 1)
    }
}
