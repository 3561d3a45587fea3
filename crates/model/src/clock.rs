//! Clock that also advances while the VM is suspended.
//!
//! Leases depend on this: a process that was suspended must see that its lease has expired.
//! `std::time::Instant` does not guarantee that on Linux.

use std::ops;
use std::time::Duration;

/// Point in time, in microseconds since boot.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use sequoiayoke_model::clock;
///
/// let start = clock::Instant::from_micros(10);
/// let later = start + Duration::from_micros(5);
/// assert_eq!(later.saturating_since(start), Duration::from_micros(5));
/// assert_eq!(start.saturating_since(later), Duration::ZERO);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(u64);

impl Instant {
    /// Returns the current time of the boot-time clock.
    pub fn now() -> Self {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        let micros = time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000;
        Self(micros)
    }

    /// Creates a point in time from microseconds since boot.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Returns the microseconds since boot.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later.
    pub const fn saturating_since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time until `later`, or zero if it has passed.
    pub const fn saturating_until(self, later: Self) -> Duration {
        later.saturating_since(self)
    }
}

impl ops::Add<Duration> for Instant {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration.as_micros() as u64))
    }
}

impl ops::Sub<Duration> for Instant {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration.as_micros() as u64))
    }
}

/// Source of the current time, replaced by a fake in tests.
pub trait Clock {
    /// Returns the current time.
    fn now(&self) -> Instant;
}

/// Boot-time clock of this VM (`CLOCK_BOOTTIME`).
#[derive(Clone, Copy, Debug, Default)]
pub struct Boot;

impl Clock for Boot {
    fn now(&self) -> Instant {
        Instant::now()
    }
}
