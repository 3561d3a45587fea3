//! The node's side of the lease.
//!
//! Every duration is measured from when a renewal was sent, because the control
//! leader received it at that time or later. An entry that is evicted from a full
//! table can only make the lease or the validity of the view end earlier.

use std::collections;
use std::time::Duration;

use sequoiayoke_model::clock;
use sequoiayoke_model::id;

/// Settings of a [`Holder`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Duration of a lease, measured from when its renewal was sent.
    pub lease: Duration,
    /// Longest time for which a view may be used without a confirmation.
    pub view_bound: Duration,
    /// Maximum number of renewals that await an acknowledgement, and of
    /// acknowledgements that are kept for views not yet applied.
    pub capacity: usize,
}

impl Default for Config {
    /// Returns the settings of the design. At one renewal every 150 ms, a
    /// capacity of 32 covers 4.8 s, longer than the lease and the view bound.
    fn default() -> Self {
        Self {
            lease: Duration::from_millis(700),
            view_bound: Duration::from_secs(2),
            capacity: 32,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Confirmation {
    sent: clock::Instant,
    version: id::Version,
}

/// The lease of one node, and how long its view counts as current.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use sequoiayoke_lease::holder;
/// use sequoiayoke_model::{clock, id};
///
/// let mut lease = holder::Holder::new(holder::Config::default());
/// let sent = clock::Instant::from_micros(0);
/// lease.record_sent(sent, 1);
/// assert!(!lease.is_valid(sent));
/// lease.acknowledge(1, id::Version(5));
/// assert!(lease.is_valid(sent + Duration::from_millis(699)));
/// assert!(!lease.is_valid(sent + Duration::from_millis(700)));
/// assert!(lease.is_view_confirmed(sent, id::Version(5)));
/// assert!(!lease.is_view_confirmed(sent, id::Version(4)));
/// ```
#[derive(Debug)]
pub struct Holder {
    config: Config,
    last_sequence: Option<u64>,
    // Invariant: sequences increase; at most `config.capacity` entries.
    outstanding: collections::VecDeque<(u64, clock::Instant)>,
    valid_until: Option<clock::Instant>,
    // Invariant: both fields increase; at most `config.capacity` entries.
    confirmations: collections::VecDeque<Confirmation>,
}

impl Holder {
    /// Creates a holder without a lease.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            last_sequence: None,
            outstanding: collections::VecDeque::new(),
            valid_until: None,
            confirmations: collections::VecDeque::new(),
        }
    }

    /// Records that a renewal is about to be sent; call it before sending.
    ///
    /// Sequence numbers must increase across all incarnations of the process.
    /// Otherwise the method returns `false` and records nothing, because the
    /// acknowledgement of an earlier renewal could be mistaken for that of a later
    /// one. If the table is full, the oldest renewal is evicted, and its
    /// acknowledgement will be ignored.
    pub fn record_sent(&mut self, now: clock::Instant, sequence: u64) -> bool {
        if self.last_sequence >= Some(sequence) {
            return false;
        }
        self.last_sequence = Some(sequence);
        if self.outstanding.len() >= self.config.capacity {
            self.outstanding.pop_front();
        }
        self.outstanding.push_back((sequence, now));
        true
    }

    /// Handles the acknowledgement of a renewal, which carries the leader's version.
    ///
    /// Returns `false` if the renewal is unknown or already acknowledged.
    pub fn acknowledge(&mut self, sequence: u64, version: id::Version) -> bool {
        let position = self
            .outstanding
            .binary_search_by_key(&sequence, |(sequence, _)| *sequence);
        let Some((_, sent)) = position
            .ok()
            .and_then(|index| self.outstanding.remove(index))
        else {
            return false;
        };
        self.valid_until = self.valid_until.max(Some(sent + self.config.lease));
        self.record_confirmation(Confirmation { sent, version });
        true
    }

    /// Drops the lease and all outstanding renewals.
    ///
    /// Call it before joining as a new incarnation and when leaving.
    /// Acknowledgements for the previous incarnation are ignored afterwards.
    pub fn drop_lease(&mut self) {
        self.outstanding.clear();
        self.valid_until = None;
    }

    /// Returns when the lease ends, or `None` if there is none.
    pub const fn valid_until(&self) -> Option<clock::Instant> {
        self.valid_until
    }

    /// Returns whether the node may act as the owner of its slices.
    pub fn is_valid(&self, now: clock::Instant) -> bool {
        self.valid_until.is_some_and(|until| now < until)
    }

    /// Returns the remaining time of the lease, which is zero if it has ended.
    pub fn remaining(&self, now: clock::Instant) -> Duration {
        self.valid_until
            .map_or(Duration::ZERO, |until| now.saturating_until(until))
    }

    /// Returns whether the view at version `applied` may be used for new requests.
    pub fn is_view_confirmed(&self, now: clock::Instant, applied: id::Version) -> bool {
        self.view_until(applied).is_some_and(|until| now < until)
    }

    /// Returns until when the view at version `applied` may be used.
    ///
    /// The view is known to have been current when the last renewal was sent
    /// whose acknowledgement carried no later version than the applied one.
    pub fn view_until(&self, applied: id::Version) -> Option<clock::Instant> {
        let count = self
            .confirmations
            .partition_point(|confirmation| confirmation.version <= applied);
        let last = self.confirmations.get(count.checked_sub(1)?)?;
        Some(last.sent + self.config.view_bound)
    }

    // A later renewal that was acknowledged with the same or an earlier version
    // makes an entry redundant, so only entries that increase in both fields are kept.
    fn record_confirmation(&mut self, new: Confirmation) {
        let position = self
            .confirmations
            .partition_point(|confirmation| confirmation.sent < new.sent);
        let later = self.confirmations.get(position);
        if later.is_some_and(|later| later.version <= new.version) {
            return;
        }
        let keep = self
            .confirmations
            .iter()
            .take(position)
            .take_while(|earlier| earlier.version < new.version)
            .count();
        self.confirmations.drain(keep..position);
        self.confirmations.insert(keep, new);
        if self.confirmations.len() > self.config.capacity {
            self.confirmations.pop_front();
        }
    }
}
