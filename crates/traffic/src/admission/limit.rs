//! Adaptive concurrency limit: additive increase, multiplicative decrease.

use std::time::Duration;

use sequoiayoke_model::clock;

/// Share of the slots that a cold server gets at first.
const RAMP_START: f64 = 0.25;
/// Time until a cold server gets all its slots.
const RAMP: Duration = Duration::from_secs(5);
/// Factor on the limit when responses become slow.
const DECREASE_SLOW: f64 = 0.9;
/// Factor on the limit when the server refuses a request because of its load.
const DECREASE_REFUSED: f64 = 0.7;
/// Factor on the limit when a request times out.
const DECREASE_TIMEOUT: f64 = 0.5;
/// Timeouts without a response between them after which the server counts as frozen.
const FROZEN_AFTER: u32 = 3;

/// Number of requests that may run at once, between 1 and the slots.
#[derive(Clone, Debug)]
pub(super) struct Limit {
    slots: u32,
    value: f64,
    started: clock::Instant,
    // Evidence from requests admitted before this time was already acted on.
    decreased: clock::Instant,
    timeouts: u32,
}

impl Limit {
    pub(super) fn new(slots: u32, now: clock::Instant) -> Self {
        let slots = slots.max(1);
        Self {
            slots,
            value: f64::from(slots),
            started: now,
            decreased: now,
            timeouts: 0,
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
        (self.value as u32).min(self.ramp(now)).max(1)
    }

    /// Tells whether only a probe may be sent, since nothing but timeouts came back.
    pub(super) const fn is_frozen(&self) -> bool {
        self.timeouts >= FROZEN_AFTER
    }

    /// Returns when the ramp allows the next slot, if it still restricts.
    pub(super) fn next_step(&self, now: clock::Instant) -> Option<clock::Instant> {
        let allowed = self.ramp(now);
        if allowed >= self.slots || self.value as u32 <= allowed {
            return None;
        }
        let share = f64::from(allowed + 1) / f64::from(self.slots);
        let elapsed = (share - RAMP_START) / (1.0 - RAMP_START) * RAMP.as_secs_f64();
        // One microsecond more makes up for rounding down.
        let elapsed = Duration::from_secs_f64(elapsed.max(0.0)) + Duration::from_micros(1);
        Some(self.started + elapsed)
    }

    /// Takes a response; `busy` if at least half of the limit was in use.
    pub(super) fn answered(
        &mut self,
        now: clock::Instant,
        admitted: clock::Instant,
        slow: bool,
        busy: bool,
    ) {
        self.timeouts = 0;
        if slow {
            self.decrease(now, admitted, DECREASE_SLOW);
        } else if busy {
            let step = 1.0 / self.value;
            self.value = (self.value + step).min(f64::from(self.slots));
        }
    }

    pub(super) fn refused(&mut self, now: clock::Instant, admitted: clock::Instant) {
        self.timeouts = 0;
        self.decrease(now, admitted, DECREASE_REFUSED);
    }

    pub(super) fn timed_out(&mut self, now: clock::Instant, admitted: clock::Instant) {
        self.timeouts = self.timeouts.saturating_add(1);
        if self.is_frozen() {
            self.value = 1.0;
            self.decreased = now;
        } else {
            self.decrease(now, admitted, DECREASE_TIMEOUT);
        }
    }

    /// Decreases once for all requests that were in flight together.
    fn decrease(&mut self, now: clock::Instant, admitted: clock::Instant, factor: f64) {
        if admitted >= self.decreased {
            self.value = (self.value * factor).max(1.0);
            self.decreased = now;
        }
    }

    fn ramp(&self, now: clock::Instant) -> u32 {
        let elapsed = now.saturating_since(self.started).as_secs_f64() / RAMP.as_secs_f64();
        let share = (RAMP_START + (1.0 - RAMP_START) * elapsed).min(1.0);
        ((f64::from(self.slots) * share) as u32).max(1)
    }
}
