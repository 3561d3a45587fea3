//! Adaptive concurrency limit: additive increase, multiplicative decrease.

use std::time::Duration;

use sequoiayoke_model::clock;

/// Share of the slots that a cold server may use at first.
const RAMP_START: f64 = 0.25;
/// Time until a cold server may use all its slots.
const RAMP_TIME: Duration = Duration::from_secs(5);
/// Factor on the limit when responses become slow.
const DECREASE_SLOW: f64 = 0.9;
/// Factor on the limit when the server refuses a request because of its load.
const DECREASE_REFUSED: f64 = 0.7;
/// Factor on the limit when a request times out.
const DECREASE_TIMEOUT: f64 = 0.5;
/// Consecutive timeouts, without a response between them, after which the server counts
/// as frozen.
const FROZEN_TIMEOUTS: u32 = 3;

/// Number of requests that may run at once, from 1 to the number of slots.
#[derive(Clone, Debug)]
pub(super) struct Limit {
    slots: u32,
    value: f64,
    started: clock::Instant,
    // Requests admitted before this time do not decrease the limit again.
    last_decrease: clock::Instant,
    consecutive_timeouts: u32,
}

impl Limit {
    pub(super) fn new(slots: u32, now: clock::Instant) -> Self {
        let slots = slots.max(1);
        Self {
            slots,
            value: f64::from(slots),
            started: now,
            last_decrease: now,
            consecutive_timeouts: 0,
        }
    }

    pub(super) fn resize(&mut self, slots: u32) {
        self.slots = slots.max(1);
        self.value = self.value.min(f64::from(self.slots));
    }

    pub(super) const fn slots(&self) -> u32 {
        self.slots
    }

    pub(super) fn current(&self, now: clock::Instant) -> u32 {
        (self.value as u32).min(self.ramp_limit(now)).max(1)
    }

    /// Returns whether only one request at a time may be sent as a probe, because the last
    /// requests all timed out.
    pub(super) const fn is_frozen(&self) -> bool {
        self.consecutive_timeouts >= FROZEN_TIMEOUTS
    }

    /// Returns when the ramp allows the next slot, or `None` if it is not what limits.
    pub(super) fn next_ramp_step(&self, now: clock::Instant) -> Option<clock::Instant> {
        let allowed = self.ramp_limit(now);
        if allowed >= self.slots || self.value as u32 <= allowed {
            return None;
        }
        let share = f64::from(allowed + 1) / f64::from(self.slots);
        let elapsed = (share - RAMP_START) / (1.0 - RAMP_START) * RAMP_TIME.as_secs_f64();
        // The extra microsecond compensates for rounding down.
        let elapsed = Duration::from_secs_f64(elapsed.max(0.0)) + Duration::from_micros(1);
        Some(self.started + elapsed)
    }

    /// Records a response; `busy` if at least half of the limit was in use.
    pub(super) fn record_response(
        &mut self,
        now: clock::Instant,
        admitted: clock::Instant,
        slow: bool,
        busy: bool,
    ) {
        self.consecutive_timeouts = 0;
        if slow {
            self.decrease(now, admitted, DECREASE_SLOW);
        } else if busy {
            let step = 1.0 / self.value;
            self.value = (self.value + step).min(f64::from(self.slots));
        }
    }

    pub(super) fn record_refusal(&mut self, now: clock::Instant, admitted: clock::Instant) {
        self.consecutive_timeouts = 0;
        self.decrease(now, admitted, DECREASE_REFUSED);
    }

    pub(super) fn record_timeout(&mut self, now: clock::Instant, admitted: clock::Instant) {
        self.consecutive_timeouts = self.consecutive_timeouts.saturating_add(1);
        if self.is_frozen() {
            self.value = 1.0;
            self.last_decrease = now;
        } else {
            self.decrease(now, admitted, DECREASE_TIMEOUT);
        }
    }

    /// Decreases once for all requests that were in flight together.
    fn decrease(&mut self, now: clock::Instant, admitted: clock::Instant, factor: f64) {
        if admitted >= self.last_decrease {
            self.value = (self.value * factor).max(1.0);
            self.last_decrease = now;
        }
    }

    fn ramp_limit(&self, now: clock::Instant) -> u32 {
        let elapsed = now.saturating_since(self.started).as_secs_f64() / RAMP_TIME.as_secs_f64();
        let share = (RAMP_START + (1.0 - RAMP_START) * elapsed).min(1.0);
        ((f64::from(self.slots) * share) as u32).max(1)
    }
}
