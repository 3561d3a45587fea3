//! Control leader's side of the leases.
//!
//! The registry decides when an incarnation may be removed from the replicated
//! state. It relies on its caller for two things: `now` is never earlier than
//! the receipt of the message that it reports, and [`Registry::become_leader`]
//! is called only once the leader has applied the first entry of its own term.
//! Before that, a `Leave` that an earlier leader proposed may still be in the
//! log, and a renewal acknowledged meanwhile would outlive it.

use std::collections;
use std::time::Duration;

use sequoiayoke_model::clock;
use sequoiayoke_model::id;

/// Settings of a [`Registry`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Length of a lease as the node counts it.
    pub lease: Duration,
    /// Largest difference between the rates of two clocks, in thousandths.
    pub drift_permille: u32,
    /// Time beyond a whole lease for which a new leader waits for nodes to find it.
    pub takeover: Duration,
    /// Most incarnations that are tracked at the same time.
    pub capacity: usize,
}

impl Default for Config {
    /// Returns the settings that the design states, for 5,600 nodes of which
    /// each may be present with a lapsed and a new incarnation.
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
    /// Returns the time from receipt of a renewal to its expiry here.
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

/// One run of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Member {
    /// Backend server of the node.
    pub server: id::Server,
    /// Run of the node.
    pub incarnation: id::Incarnation,
}

impl Member {
    /// Names one run of the node of `server`.
    pub const fn new(server: id::Server, incarnation: id::Incarnation) -> Self {
        Self {
            server,
            incarnation,
        }
    }
}

/// Reason why a lease is not given or renewed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No such incarnation is in the state; the node must join.
    Unknown,
    /// The lease ran out or was given back; the node must join as a new incarnation.
    Lapsed,
    /// The table is full.
    Full,
}

/// How many live nodes there are, and how many of them have applied a version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Confirmation {
    /// Incarnations whose lease has not lapsed.
    pub live: usize,
    /// Those of them that have applied the version or a later one.
    pub confirmed: usize,
}

impl Confirmation {
    /// Tells whether each live node has confirmed the version.
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
    // Lapsed, and not yet removed from the replicated state.
    lapsed: collections::BTreeSet<Member>,
}

impl Registry {
    /// Makes an empty registry.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            live: collections::BTreeMap::new(),
            deadlines: collections::BTreeSet::new(),
            versions: collections::BTreeMap::new(),
            lapsed: collections::BTreeSet::new(),
        }
    }

    /// Forgets everything and treats each member as holding a full lease from now.
    ///
    /// Leases are not durable: an earlier leader may have acknowledged a
    /// renewal just before this one was elected. Members beyond the capacity
    /// are tracked too, since each of them may hold such a lease.
    pub fn become_leader<M>(&mut self, now: clock::Instant, members: M)
    where
        M: IntoIterator<Item = Member>,
    {
        *self = Self::new(self.config);
        // A later expiry is always safe. Thousands of nodes that connect at once
        // would otherwise lapse and join again, one by one.
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

    /// Gives a full lease to an incarnation whose `Join` has been applied.
    ///
    /// A second call for the same incarnation has no effect.
    ///
    /// # Errors
    ///
    /// Fails if the incarnation has lapsed, or if the table is full.
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
        self.insert(now, member);
        Ok(())
    }

    /// Renews a lease; `now` is when the renewal was received.
    ///
    /// # Errors
    ///
    /// Fails if the incarnation is unknown or its lease has lapsed. The
    /// renewal must then not be acknowledged.
    pub fn renew(
        &mut self,
        now: clock::Instant,
        member: Member,
        applied: id::Version,
    ) -> Result<(), Refusal> {
        self.lapse(now);
        if self.lapsed.contains(&member) {
            return Err(Refusal::Lapsed);
        }
        let lease = *self.live.get(&member).ok_or(Refusal::Unknown)?;
        self.remove_live(member);
        // A renewal may be handled out of order, and neither value goes back.
        let renewed = Lease {
            expiry: lease.expiry.max(now + self.config.expiry_delay()),
            applied: lease.applied.max(Some(applied)),
        };
        self.insert_live(member, renewed);
        Ok(())
    }

    /// Returns the members whose lease has lapsed, until they are removed.
    pub fn collect_lapsed(&mut self, now: clock::Instant) -> Vec<Member> {
        self.lapse(now);
        self.lapsed.iter().copied().collect()
    }

    /// Ends the lease of a node that gave it back and dispatches nothing more.
    ///
    /// The member is reported by [`Registry::collect_lapsed`] until it is removed.
    /// Returns `false` if the incarnation is unknown.
    pub fn release(&mut self, member: Member) -> bool {
        if self.remove_live(member).is_some() {
            self.lapsed.insert(member);
        }
        self.lapsed.contains(&member)
    }

    /// Forgets a member whose `Leave` has been applied.
    ///
    /// Returns when the lease ends if it has not lapsed, which happens only if
    /// another leader proposed the `Leave`. The slices must not be assigned
    /// before then.
    pub fn remove(&mut self, member: Member) -> Option<clock::Instant> {
        self.lapsed.remove(&member);
        self.remove_live(member).map(|lease| lease.expiry)
    }

    /// Returns when the next lease ends unless it is renewed.
    pub fn next_deadline(&self) -> Option<clock::Instant> {
        self.deadlines.first().map(|(expiry, _)| *expiry)
    }

    /// Returns the time left of the lease of the server's latest incarnation.
    ///
    /// It is zero if that lease has lapsed, and `None` if the server is unknown.
    pub fn remaining(&self, now: clock::Instant, server: id::Server) -> Option<Duration> {
        let first = Member::new(server, id::Incarnation(u64::MIN));
        let last = Member::new(server, id::Incarnation(u64::MAX));
        let live = self.live.range(first..=last).next_back();
        let lapsed = self.lapsed.range(first..=last).next_back();
        match (live, lapsed) {
            (Some((member, _)), Some(gone)) if gone > member => Some(Duration::ZERO),
            (Some((_, lease)), _) => Some(now.saturating_until(lease.expiry)),
            (None, Some(_)) => Some(Duration::ZERO),
            (None, None) => None,
        }
    }

    /// Tells whether the lease of this incarnation has not lapsed.
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

    fn insert(&mut self, now: clock::Instant, member: Member) {
        let lease = Lease {
            expiry: now + self.config.expiry_delay(),
            applied: None,
        };
        self.insert_live(member, lease);
    }

    fn lapse(&mut self, now: clock::Instant) {
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
