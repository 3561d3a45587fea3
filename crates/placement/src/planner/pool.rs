//! The servers of one service, ordered by load.

use std::collections;

use sequoiayoke_model::clock;
use sequoiayoke_model::id;

use crate::cause;

/// Number of a failure domain; equal names have equal numbers.
pub(super) type Domain = u32;

/// Fractional bits of a score, which is a load divided by a capacity.
const SCORE_FRACTION_BITS: u32 = 20;

/// Least loaded servers of each failure domain that are candidates for a target.
/// The least loaded one may be a cold server without the capacity for the slice.
const CANDIDATES_PER_DOMAIN: usize = 4;

/// Buckets into which the mean score is divided. Targets in the same bucket
/// count as equal, and the one in the less loaded failure domain is chosen.
const SCORE_BUCKETS: u64 = 16;

/// Load and capacity of one or several servers of a service.
///
/// The load is the total load of the server plus the load of the service on it,
/// so that both the servers and the slices of each service are balanced.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Utilization {
    pub(super) load: u64,
    pub(super) capacity: u64,
}

impl Utilization {
    pub(super) fn score(&self) -> u64 {
        let score =
            (u128::from(self.load) << SCORE_FRACTION_BITS) / u128::from(self.capacity.max(1));
        u64::try_from(score).unwrap_or(u64::MAX)
    }

    /// Returns the utilization with a slice of this load added.
    pub(super) const fn with(self, slice_load: u64) -> Self {
        Self {
            load: self.load.saturating_add(slice_load.saturating_mul(2)),
            ..self
        }
    }

    /// Returns the utilization with a slice of this load removed.
    pub(super) const fn without(self, slice_load: u64) -> Self {
        Self {
            load: self.load.saturating_sub(slice_load.saturating_mul(2)),
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

/// Which health signals decide whether a server may receive slices.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Trust {
    /// Observed speeds and health endpoints.
    #[default]
    Full,
    /// Only observed speeds, since the health endpoints would exclude most servers.
    Observed,
    /// Neither, since every server is stalled.
    Nothing,
}

/// Health of a member of the pool, from which [`Trust`] is derived.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Member {
    pub(super) is_responsive: bool,
    pub(super) is_healthy: bool,
}

#[derive(Debug, Default)]
struct Group {
    order: collections::BTreeSet<(u64, id::Server)>,
    sum: Utilization,
}

/// The servers of one service.
#[derive(Debug, Default)]
pub(super) struct Pool {
    groups: collections::BTreeMap<Domain, Group>,
    sum: Utilization,
    ready: usize,
    members: collections::BTreeMap<id::Server, Member>,
    responsive: usize,
    healthy: usize,
    /// Rate attributed to all keys without requests together.
    pub(super) idle_rate: u64,
    /// Whether the pool is being balanced; see `config::Config::tolerance`.
    pub(super) is_balancing: bool,
    /// Whether anything changed since the last balancing.
    pub(super) is_changed: bool,
    /// Time before which no search for a move starts; set after a search
    /// without a result.
    pub(super) no_search_before: clock::Instant,
}

impl Pool {
    /// Returns the number of servers that may receive slices.
    pub(super) const fn ready(&self) -> usize {
        self.ready
    }

    pub(super) fn members(&self) -> impl Iterator<Item = id::Server> {
        self.members.keys().copied()
    }

    pub(super) fn set_member(&mut self, server: id::Server, member: Option<Member>) {
        if let Some(old) = self.members.remove(&server) {
            self.responsive -= usize::from(old.is_responsive);
            self.healthy -= usize::from(old.is_healthy);
        }
        if let Some(new) = member {
            self.members.insert(server, new);
            self.responsive += usize::from(new.is_responsive);
            self.healthy += usize::from(new.is_healthy);
        }
    }

    /// Returns which health signals to use: the health endpoints may exclude
    /// servers only while at least half of the responsive servers remain.
    pub(super) const fn trust(&self) -> Trust {
        if self.responsive == 0 {
            Trust::Nothing
        } else if self.healthy * 2 < self.responsive {
            Trust::Observed
        } else {
            Trust::Full
        }
    }

    pub(super) fn insert(&mut self, domain: Domain, server: id::Server, utilization: Utilization) {
        let group = self.groups.entry(domain).or_default();
        group.order.insert((utilization.score(), server));
        group.sum.add(utilization);
        self.sum.add(utilization);
        self.ready += 1;
        self.is_changed = true;
    }

    pub(super) fn remove(&mut self, domain: Domain, server: id::Server, utilization: Utilization) {
        let Some(group) = self.groups.get_mut(&domain) else {
            return;
        };
        if group.order.remove(&(utilization.score(), server)) {
            group.sum.subtract(utilization);
            self.sum.subtract(utilization);
            self.ready -= 1;
        }
        if group.order.is_empty() {
            self.groups.remove(&domain);
        }
        self.is_changed = true;
    }

    /// Returns the mean load of the servers that may receive slices, on the
    /// scale of the load of a slice.
    pub(super) const fn mean(&self) -> u64 {
        let servers = if self.ready == 0 { 1 } else { self.ready };
        self.sum.load / 2 / servers as u64
    }

    pub(super) fn relative(&self, score: u64) -> cause::Relative {
        let mean = u128::from(self.sum.score().max(1));
        let relative = u128::from(score) * 1_000 / mean;
        cause::Relative(u64::try_from(relative).unwrap_or(u64::MAX))
    }

    /// Returns up to `count` servers with their scores, the most loaded first.
    pub(super) fn most_loaded(&self, count: usize) -> Vec<(u64, id::Server)> {
        let groups = self.groups.values();
        let mut servers: Vec<_> = groups
            .flat_map(|group| group.order.iter().rev().take(count).copied())
            .collect();
        servers.sort_by(|a, b| b.cmp(a));
        servers.truncate(count);
        servers
    }

    /// Returns the candidates for the target of a slice, each with the score of
    /// its failure domain.
    pub(super) fn candidates(&self) -> impl Iterator<Item = (u64, id::Server)> {
        self.groups.values().flat_map(|group| {
            let score = group.sum.score();
            let least_loaded = group.order.iter().take(CANDIDATES_PER_DOMAIN);
            least_loaded.map(move |(_, server)| (score, *server))
        })
    }

    /// Returns the bucket of a score; servers in one bucket count as equal.
    pub(super) fn bucket(&self, score: u64) -> u64 {
        score / (self.sum.score() / SCORE_BUCKETS + 1)
    }
}
