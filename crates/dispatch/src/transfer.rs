//! Bodies on their way to one VM: how many at a time, and whether one arrives in time.
//!
//! All bodies for a VM share its link. Without a bound they all arrive late
//! together, and calls with a few bytes wait behind them.

use std::time::Duration;

use sequoiayoke_model::clock;

/// Bodies that are on their way at the same time: one fills the link while the next one
/// is asked for.
pub const MAX_RUNNING: usize = 2;
/// Time for a byte that is assumed before the first transfer, in seconds: a link of
/// 1 Gbit/s.
const INITIAL_BYTE_S: f64 = 8e-9;
/// Weight of a new observation in the time for a byte.
const SMOOTHING: f64 = 0.2;
/// Time within which a late body must arrive, in times that it takes alone.
const LATE_TRANSFERS: u32 = 2;
/// Growth of the shortest time for a part with each further one, so that a link that has
/// become slower is noticed within some hundred parts.
const PART_FADE: f64 = 1.005;
/// Times for a part, in those of an idle link, that are no sign of other traffic: the
/// other transfers to the node take turns with it.
const PART_SLACK: f64 = MAX_RUNNING as f64;
/// Longest pause between two parts.
const MAX_PAUSE: Duration = Duration::from_millis(250);
/// Body that tells enough about the rate, in bytes; a shorter one shows the delay.
const MIN_OBSERVED: u32 = 16 * 1024;

/// What a VM says about bodies on their way to it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Time until those that were asked for are there.
    pub wait: Duration,
    /// Time for a kibibyte.
    pub time_per_kib: Duration,
}

impl Load {
    /// Returns the expected time until a body of `bytes` that is offered now is there.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use sequoiayoke_dispatch::transfer;
    ///
    /// let load = transfer::Load {
    ///     wait: Duration::from_millis(80),
    ///     time_per_kib: Duration::from_millis(1),
    /// };
    /// assert_eq!(load.expected_time(10 * 1024), Duration::from_millis(90));
    /// ```
    pub fn expected_time(&self, bytes: usize) -> Duration {
        self.wait + self.time_per_kib.mul_f64(bytes as f64 / 1_024.0)
    }
}

/// Transfers to one VM.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use sequoiayoke_dispatch::transfer;
///
/// let mut link = transfer::Link::new();
/// link.begin(60_000);
/// link.end(60_000, Some(Duration::from_millis(160)), 1);
/// assert!(link.expected_time(60_000) > Duration::from_millis(1));
/// ```
#[derive(Clone, Debug)]
pub struct Link {
    /// Bytes that are on their way or wait for it.
    ahead: u64,
    /// Time for a byte, in seconds, of all transfers together.
    byte_s: f64,
    /// Shortest time for a whole part lately, in seconds: that of an idle link.
    part_s: f64,
}

impl Default for Link {
    fn default() -> Self {
        Self::new()
    }
}

impl Link {
    /// Makes the state of a link without transfers.
    pub const fn new() -> Self {
        Self {
            ahead: 0,
            byte_s: INITIAL_BYTE_S,
            part_s: f64::INFINITY,
        }
    }

    /// Returns what other nodes are told.
    pub fn load(&self) -> Load {
        Load {
            wait: self.expected_time(0),
            time_per_kib: Duration::from_secs_f64(1_024.0 * self.byte_s),
        }
    }

    /// Returns the expected time until a body of `bytes` that is asked for now is there.
    pub fn expected_time(&self, bytes: u32) -> Duration {
        Duration::from_secs_f64((self.ahead + u64::from(bytes)) as f64 * self.byte_s)
    }

    /// Returns the time after which to come back with a body that would arrive too late:
    /// after `useful_until` or, if it cannot arrive by then even alone, behind others.
    ///
    /// A body whose answer is late in any case must not make those behind it late too.
    pub fn refusal(
        &self,
        now: clock::Instant,
        useful_until: clock::Instant,
        deadline: clock::Instant,
        bytes: u32,
    ) -> Option<Duration> {
        let alone = Duration::from_secs_f64(f64::from(bytes) * self.byte_s);
        let limit = match now + alone <= useful_until {
            true => useful_until,
            false => now + alone * LATE_TRANSFERS,
        };
        let (arrival, limit) = (now + self.expected_time(bytes), limit.min(deadline));
        // An earlier attempt would press on the link again before it has room.
        (arrival > limit).then(|| {
            let excess = arrival.saturating_since(limit);
            excess.max(self.expected_time(0))
        })
    }

    /// Takes the time from asking for a whole part to its arrival; returns the pause
    /// before the next one is asked for.
    ///
    /// Bodies give way: the time beyond that of an idle link was spent behind other
    /// traffic, to which the link is left for as long.
    pub fn record_part(&mut self, took: Duration) -> Duration {
        let took_s = took.as_secs_f64();
        self.part_s = (self.part_s * PART_FADE).min(took_s);
        let excess = took_s - self.part_s * PART_SLACK;
        Duration::from_secs_f64(excess.clamp(0.0, MAX_PAUSE.as_secs_f64()))
    }

    /// Records that a body of `bytes` waits for its transfer.
    pub const fn begin(&mut self, bytes: u32) {
        self.ahead += bytes as u64;
    }

    /// Records the end of a transfer, one of `running`, that took this long or did not
    /// come to its end.
    pub fn end(&mut self, bytes: u32, took: Option<Duration>, running: usize) {
        self.ahead = self.ahead.saturating_sub(u64::from(bytes));
        let Some(took) = took.filter(|_| bytes >= MIN_OBSERVED) else {
            return;
        };
        let byte_s = took.as_secs_f64() / f64::from(bytes) / running.max(1) as f64;
        self.byte_s += SMOOTHING * (byte_s - self.byte_s);
    }
}
