//! Node's side of the lease.
//!
//! Everything is counted from when a renewal was sent, since the control side
//! received it at that time or later. Whatever is forgotten because a table
//! is full only makes the lease or the view end earlier.

use std::collections;
use std::time::Duration;

use sequoiayoke_model::clock;
use sequoiayoke_model::id;

/// Settings of a [`Holder`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Length of a lease, counted from when its renewal was sent.
    pub lease: Duration,
    /// Longest time for which a view may be used without being confirmed.
    pub view_bound: Duration,
    /// Most renewals that wait for an acknowledgement, and most
    /// acknowledgements that are remembered for views not yet applied.
    pub capacity: usize,
}

impl Default for Config {
    /// Returns the settings that the design states. At one renewal every
    /// 150 ms, 32 of them cover 4.8 s, longer than either bound.
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

/// The lease of one node and the currency of its view.
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
    // Invariant: increasing sequences, at most `config.capacity` entries.
    outstanding: collections::VecDeque<(u64, clock::Instant)>,
    valid_until: Option<clock::Instant>,
    // Invariant: increasing in both fields, at most `config.capacity` entries.
    confirmations: collections::VecDeque<Confirmation>,
}

impl Holder {
    /// Makes a holder without a lease.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            last_sequence: None,
            outstanding: collections::VecDeque::new(),
            valid_until: None,
            confirmations: collections::VecDeque::new(),
        }
    }

    /// Records that a renewal was handed to the connection; call it before sending.
    ///
    /// Sequences must increase, over all incarnations of the process; returns
    /// `false` and records nothing otherwise, since an acknowledgement of the
    /// earlier renewal could be taken for one of the later. If the table is
    /// full, the oldest renewal is forgotten and its acknowledgement ignored.
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

    /// Takes the acknowledgement of a renewal and the leader's version in it.
    ///
    /// Returns `false` if the renewal is unknown or already acknowledged.
    pub fn acknowledge(&mut self, sequence: u64, version: id::Version) -> bool {
        let found = self
            .outstanding
            .binary_search_by_key(&sequence, |(sequence, _)| *sequence);
        let Some((_, sent)) = found.ok().and_then(|index| self.outstanding.remove(index)) else {
            return false;
        };
        self.valid_until = self.valid_until.max(Some(sent + self.config.lease));
        self.confirm(Confirmation { sent, version });
        true
    }

    /// Drops the lease and all outstanding renewals, before joining as a new
    /// incarnation or when leaving.
    ///
    /// Acknowledgements of the former incarnation are ignored from now on.
    pub fn drop_lease(&mut self) {
        self.outstanding.clear();
        self.valid_until = None;
    }

    /// Returns when the lease ends; `None` if there was none.
    pub const fn valid_until(&self) -> Option<clock::Instant> {
        self.valid_until
    }

    /// Tells whether the node may act as the owner of its slices.
    pub fn is_valid(&self, now: clock::Instant) -> bool {
        self.valid_until.is_some_and(|until| now < until)
    }

    /// Returns the time left of the lease, zero if it has ended.
    pub fn remaining(&self, now: clock::Instant) -> Duration {
        self.valid_until
            .map_or(Duration::ZERO, |until| now.saturating_until(until))
    }

    /// Tells whether the view at version `applied` may be used for new work.
    pub fn is_view_confirmed(&self, now: clock::Instant, applied: id::Version) -> bool {
        self.view_until(applied).is_some_and(|until| now < until)
    }

    /// Returns until when the view at version `applied` may be used.
    ///
    /// The view was current when the last renewal was sent whose
    /// acknowledgement named no later version than the applied one.
    pub fn view_until(&self, applied: id::Version) -> Option<clock::Instant> {
        let count = self
            .confirmations
            .partition_point(|confirmation| confirmation.version <= applied);
        let last = self.confirmations.get(count.checked_sub(1)?)?;
        Some(last.sent + self.config.view_bound)
    }

    // An entry is of no use once a later renewal was answered with no later
    // version, so only the entries that increase in both fields are kept.
    fn confirm(&mut self, new: Confirmation) {
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
