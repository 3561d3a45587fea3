//! The control leader's side of the leases.
//!
//! The registry decides when an incarnation may be removed from the replicated
//! state. The caller must ensure two things: `now` is never earlier than the
//! receipt of the message being handled, and [`Registry::become_leader`] is called
//! only after the leader has applied the first entry of its own term. Before that,
//! the log may still hold a `Leave` that an earlier leader proposed, and a lease
//! renewed in the meantime would remain valid after that `Leave` is applied.

use std::collections;
use std::time::Duration;

use sequoiayoke_model::clock;
use sequoiayoke_model::id;

/// Settings of a [`Registry`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Duration of a lease as the node measures it.
    pub lease: Duration,
    /// Largest difference between the rates of two clocks, in parts per thousand.
    pub drift_permille: u32,
    /// Time beyond a full lease that a new leader gives nodes to connect to it.
    pub takeover: Duration,
    /// Maximum number of incarnations that are tracked at the same time.
    pub capacity: usize,
}

impl Default for Config {
    /// Returns the settings of the design. The capacity allows for 5,600 nodes,
    /// each of which may be tracked with a lapsed and a new incarnation.
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(700),
            drift_permille: 50,
            takeover: Duration::ZERO,
            capacity: 16_384,
        }
    }
}

impl Config {
    /// Returns the time from receipt of a renewal to the expiry of the lease in the registry.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use sequoiayoke_lease::registry;
    ///
    /// assert_eq!(registry::Config::default().expiry_delay(), Duration::from_millis(735));
    /// ```
    pub fn expiry_delay(&self) -> Duration {
        self.lease + self.lease * self.drift_permille / 1_000
    }
}

/// One incarnation of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Member {
    /// Backend server of the node.
    pub server: id::Server,
    /// Incarnation of the node.
    pub incarnation: id::Incarnation,
}

impl Member {
    /// Identifies one incarnation of the node of `server`.
    pub const fn new(server: id::Server, incarnation: id::Incarnation) -> Self {
        Self {
            server,
            incarnation,
        }
    }
}

/// Reason why a lease is not granted or renewed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The incarnation is not tracked; the node must join.
    Unknown,
    /// The lease ended or was released; the node must join as a new incarnation.
    Lapsed,
    /// The table is full.
    Full,
}

/// The number of live nodes, and how many of them have applied a version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Confirmation {
    /// Incarnations whose lease has not lapsed.
    pub live: usize,
    /// Live incarnations that have applied the version or a later one.
    pub confirmed: usize,
}

impl Confirmation {
    /// Returns whether every live node has confirmed the version.
    pub const fn is_complete(&self) -> bool {
        self.confirmed == self.live
    }
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    expiry: clock::Instant,
    applied: Option<id::Version>,
}

/// The leases of all incarnations in the replicated state.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use sequoiayoke_lease::registry;
/// use sequoiayoke_model::{clock, id};
///
/// let mut leases = registry::Registry::new(registry::Config::default());
/// let member = registry::Member::new(id::Server(1), id::Incarnation(7));
/// let start = clock::Instant::from_micros(0);
/// leases.become_leader(start, [member]);
/// assert_eq!(leases.renew(start, member, id::Version(9)), Ok(()));
/// assert!(leases.collect_lapsed(start + Duration::from_millis(734)).is_empty());
/// assert_eq!(leases.collect_lapsed(start + Duration::from_millis(735)), [member]);
/// ```
#[derive(Debug)]
pub struct Registry {
    config: Config,
    live: collections::BTreeMap<Member, Lease>,
    // Invariant: one entry for each lease in `live`.
    deadlines: collections::BTreeSet<(clock::Instant, Member)>,
    // Invariant: counts the leases in `live` by their applied version.
    versions: collections::BTreeMap<id::Version, usize>,
    // Members whose lease has lapsed and that are not yet removed from the replicated state.
    lapsed: collections::BTreeSet<Member>,
}

impl Registry {
    /// Creates an empty registry.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            live: collections::BTreeMap::new(),
            deadlines: collections::BTreeSet::new(),
            versions: collections::BTreeMap::new(),
            lapsed: collections::BTreeSet::new(),
        }
    }

    /// Resets the registry and gives each member a full lease from now.
    ///
    /// Leases are not durable, and an earlier leader may have acknowledged a
    /// renewal just before this one was elected. Members beyond the capacity are
    /// tracked too, because each of them may hold such a lease.
    pub fn become_leader<M>(&mut self, now: clock::Instant, members: M)
    where
        M: IntoIterator<Item = Member>,
    {
        *self = Self::new(self.config);
        // A later expiry is always safe. Without the extra time, the leases of thousands
        // of nodes that reconnect at once would lapse, and each node would have to rejoin.
        let expiry = now + self.config.expiry_delay() + self.config.takeover;
        for member in members {
            self.insert_live(
                member,
                Lease {
                    expiry,
                    applied: None,
                },
            );
        }
    }

    /// Grants a full lease to an incarnation whose `Join` has been applied.
    ///
    /// A second call for the same incarnation has no effect.
    ///
    /// # Errors
    ///
    /// Returns an error if the lease of the incarnation has lapsed or the table is full.
    pub fn add(&mut self, now: clock::Instant, member: Member) -> Result<(), Refusal> {
        if self.lapsed.contains(&member) {
            return Err(Refusal::Lapsed);
        }
        if self.live.contains_key(&member) {
            return Ok(());
        }
        if self.live.len() + self.lapsed.len() >= self.config.capacity {
            return Err(Refusal::Full);
        }
        self.grant(now, member);
        Ok(())
    }

    /// Renews a lease; `now` is when the renewal was received.
    ///
    /// # Errors
    ///
    /// Returns an error if the incarnation is unknown or its lease has lapsed.
    /// The renewal must not be acknowledged in that case.
    pub fn renew(
        &mut self,
        now: clock::Instant,
        member: Member,
        applied: id::Version,
    ) -> Result<(), Refusal> {
        self.mark_lapsed(now);
        if self.lapsed.contains(&member) {
            return Err(Refusal::Lapsed);
        }
        let lease = *self.live.get(&member).ok_or(Refusal::Unknown)?;
        self.remove_live(member);
        // Renewals may be handled out of order, so neither value may decrease.
        let renewed = Lease {
            expiry: lease.expiry.max(now + self.config.expiry_delay()),
            applied: lease.applied.max(Some(applied)),
        };
        self.insert_live(member, renewed);
        Ok(())
    }

    /// Returns the members whose lease has lapsed and that have not been removed.
    pub fn collect_lapsed(&mut self, now: clock::Instant) -> Vec<Member> {
        self.mark_lapsed(now);
        self.lapsed.iter().copied().collect()
    }

    /// Ends the lease of a node that has released it and dispatches no more requests.
    ///
    /// The member is returned by [`Registry::collect_lapsed`] until it is removed.
    /// Returns `false` if the incarnation is unknown.
    pub fn release(&mut self, member: Member) -> bool {
        if self.remove_live(member).is_some() {
            self.lapsed.insert(member);
        }
        self.lapsed.contains(&member)
    }

    /// Removes a member whose `Leave` has been applied.
    ///
    /// If the lease has not lapsed, returns when it ends, before which the slices
    /// must not be assigned. This happens only if another leader proposed the `Leave`.
    pub fn remove(&mut self, member: Member) -> Option<clock::Instant> {
        self.lapsed.remove(&member);
        self.remove_live(member).map(|lease| lease.expiry)
    }

    /// Returns when the next lease ends unless it is renewed.
    pub fn next_deadline(&self) -> Option<clock::Instant> {
        self.deadlines.first().map(|(expiry, _)| *expiry)
    }

    /// Returns the remaining time of the lease of the server's latest incarnation.
    ///
    /// It is zero if that lease has lapsed, and `None` if the server is unknown.
    pub fn remaining(&self, now: clock::Instant, server: id::Server) -> Option<Duration> {
        let first = Member::new(server, id::Incarnation(u64::MIN));
        let last = Member::new(server, id::Incarnation(u64::MAX));
        let live = self.live.range(first..=last).next_back();
        let lapsed = self.lapsed.range(first..=last).next_back();
        match (live, lapsed) {
            (Some((member, _)), Some(latest)) if latest > member => Some(Duration::ZERO),
            (Some((_, lease)), _) => Some(now.saturating_until(lease.expiry)),
            (None, Some(_)) => Some(Duration::ZERO),
            (None, None) => None,
        }
    }

    /// Returns whether the incarnation holds a lease that has not lapsed.
    pub fn is_live(&self, now: clock::Instant, member: Member) -> bool {
        self.live
            .get(&member)
            .is_some_and(|lease| now < lease.expiry)
    }

    /// Counts the live nodes and those that have applied `version`.
    ///
    /// A node counts as live until [`Registry::collect_lapsed`] or
    /// [`Registry::renew`] was called at or after the end of its lease.
    pub fn confirmation(&self, version: id::Version) -> Confirmation {
        Confirmation {
            live: self.live.len(),
            confirmed: self.versions.range(version..).map(|(_, count)| count).sum(),
        }
    }

    fn grant(&mut self, now: clock::Instant, member: Member) {
        let lease = Lease {
            expiry: now + self.config.expiry_delay(),
            applied: None,
        };
        self.insert_live(member, lease);
    }

    fn mark_lapsed(&mut self, now: clock::Instant) {
        while let Some((expiry, member)) = self.deadlines.first().copied() {
            if now < expiry {
                break;
            }
            self.remove_live(member);
            self.lapsed.insert(member);
        }
    }

    fn insert_live(&mut self, member: Member, lease: Lease) {
        self.remove_live(member);
        self.live.insert(member, lease);
        self.deadlines.insert((lease.expiry, member));
        if let Some(version) = lease.applied {
            *self.versions.entry(version).or_default() += 1;
        }
    }

    fn remove_live(&mut self, member: Member) -> Option<Lease> {
        let lease = self.live.remove(&member)?;
        self.deadlines.remove(&(lease.expiry, member));
        if let Some(version) = lease.applied
            && let Some(count) = self.versions.get_mut(&version)
        {
            *count -= 1;
            if *count == 0 {
                self.versions.remove(&version);
            }
        }
        Some(lease)
    }
}
