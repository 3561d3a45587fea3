//! Transfers of request bodies to one VM: their concurrency, and whether one finishes in time.
//!
//! All bodies for a VM share its link. Without a limit they would all arrive late, and delay
//! short calls.

use std::time::Duration;

use sequoiayoke_model::clock;

/// Maximum number of concurrent transfers: one uses the link while the next one is requested.
pub const MAX_RUNNING: usize = 2;
/// Bandwidth assumed before the first transfer, in bits per second.
const DEFAULT_BANDWIDTH: f64 = 1e9;
/// Bits of a byte.
const BYTE_BITS: f64 = 8.0;
/// Weight of a new observation in the moving average of the time per byte.
const SMOOTHING_FACTOR: f64 = 0.2;
/// Time limit of a late body, in multiples of its transfer time without others.
const LATE_TRANSFER_TIMES: u32 = 2;
/// Growth of the minimum transfer time of a part with each further part, so that the minimum
/// follows a link that has become slower within a few hundred parts.
const PART_GROWTH: f64 = 1.005;
/// Transfer time of a part, in multiples of the minimum, up to which no other traffic is assumed:
/// concurrent transfers to the same node share the link.
const PART_SLACK: f64 = MAX_RUNNING as f64;
/// Maximum pause between two parts.
const MAX_PAUSE: Duration = Duration::from_millis(250);
/// Minimum size of a body that is used to measure the time per byte; the transfer time of a
/// shorter one is mostly latency.
const MIN_OBSERVED_BYTES: u32 = 16 * 1024;

/// Reported load of the link to a VM.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Expected time until all requested bodies have arrived.
    pub wait: Duration,
    /// Transfer time of a kibibyte.
    pub time_per_kib: Duration,
}

impl Load {
    /// Returns the expected time until a body of `bytes` offered now has arrived.
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

/// State of the transfers to one VM.
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
    /// Bytes of bodies that wait for their transfer or are being transferred.
    pending_bytes: u64,
    /// Time per byte, in seconds, over all concurrent transfers.
    time_per_byte_s: f64,
    /// Recent minimum transfer time of a whole part, in seconds: that of an idle link.
    min_part_s: f64,
}

impl Default for Link {
    fn default() -> Self {
        Self::new()
    }
}

impl Link {
    /// Creates the state of an idle link.
    pub const fn new() -> Self {
        Self {
            pending_bytes: 0,
            time_per_byte_s: BYTE_BITS / DEFAULT_BANDWIDTH,
            min_part_s: f64::INFINITY,
        }
    }

    /// Sets the bandwidth that is assumed before the first transfer, in bits per second.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use sequoiayoke_dispatch::transfer;
    ///
    /// let link = transfer::Link::new().with_bandwidth(8e6);
    /// assert_eq!(link.expected_time(1_000), Duration::from_millis(1));
    /// ```
    pub fn with_bandwidth(self, bandwidth: f64) -> Self {
        Self {
            time_per_byte_s: BYTE_BITS / bandwidth,
            ..self
        }
    }

    /// Returns the load that is reported to other nodes.
    pub fn load(&self) -> Load {
        Load {
            wait: self.expected_time(0),
            time_per_kib: Duration::from_secs_f64(1_024.0 * self.time_per_byte_s),
        }
    }

    /// Returns the expected time until a body of `bytes` requested now has arrived.
    pub fn expected_time(&self, bytes: u32) -> Duration {
        Duration::from_secs_f64(
            (self.pending_bytes + u64::from(bytes)) as f64 * self.time_per_byte_s,
        )
    }

    /// Returns the transfer time of a body of `bytes` without others.
    pub fn transfer_time(&self, bytes: u32) -> Duration {
        Duration::from_secs_f64(f64::from(bytes) * self.time_per_byte_s)
    }

    /// Returns the time by which a body that is requested now must arrive: by `useful_until`, or if
    /// it could not even without others, within `LATE_TRANSFER_TIMES` times its transfer time, and
    /// in any case by `deadline`.
    ///
    /// A body whose response is late anyway must not delay those behind it past their targets.
    pub fn latest_arrival(
        &self,
        now: clock::Instant,
        useful_until: clock::Instant,
        deadline: clock::Instant,
        bytes: u32,
    ) -> clock::Instant {
        let transfer_time = self.transfer_time(bytes);
        let limit = match now + transfer_time <= useful_until {
            true => useful_until,
            false => now + transfer_time * LATE_TRANSFER_TIMES,
        };
        limit.min(deadline)
    }

    /// Returns the retry delay of a body that would arrive too late.
    pub fn refusal(
        &self,
        now: clock::Instant,
        useful_until: clock::Instant,
        deadline: clock::Instant,
        bytes: u32,
    ) -> Option<Duration> {
        let limit = self.latest_arrival(now, useful_until, deadline, bytes);
        let arrival = now + self.expected_time(bytes);
        // An earlier retry would find the link still occupied by the pending bodies.
        (arrival > limit).then(|| {
            let excess = arrival.saturating_since(limit);
            excess.max(self.expected_time(0))
        })
    }

    /// Records the time from the request for a whole part to its arrival, and returns the pause
    /// before the next request.
    ///
    /// Transfers yield to other traffic on the link: the pause is as long as the time that the
    /// part took beyond `PART_SLACK` times that on an idle link, up to `MAX_PAUSE`.
    pub fn record_part(&mut self, took: Duration) -> Duration {
        let took_s = took.as_secs_f64();
        self.min_part_s = (self.min_part_s * PART_GROWTH).min(took_s);
        let excess = took_s - self.min_part_s * PART_SLACK;
        Duration::from_secs_f64(excess.clamp(0.0, MAX_PAUSE.as_secs_f64()))
    }

    /// Records that a body of `bytes` is waiting for its transfer.
    pub const fn begin(&mut self, bytes: u32) {
        self.pending_bytes += bytes as u64;
    }

    /// Records the end of a transfer of `bytes`, one of `running` concurrent transfers.
    ///
    /// `took` is its duration, or `None` if it did not complete.
    pub fn end(&mut self, bytes: u32, took: Option<Duration>, running: usize) {
        self.pending_bytes = self.pending_bytes.saturating_sub(u64::from(bytes));
        let Some(took) = took.filter(|_| bytes >= MIN_OBSERVED_BYTES) else {
            return;
        };
        let time_per_byte_s = took.as_secs_f64() / f64::from(bytes) / running.max(1) as f64;
        self.time_per_byte_s += SMOOTHING_FACTOR * (time_per_byte_s - self.time_per_byte_s);
    }
}
