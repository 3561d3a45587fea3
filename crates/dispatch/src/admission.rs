//! Admission control for one backend server: which requests run, wait or are refused.
//!
//! The node beside a backend server receives all requests for it, so it can limit how many
//! run concurrently. A request that cannot finish in time is refused on arrival instead of
//! after its deadline.

mod estimate;
mod fairness;

use std::collections;
use std::time::Duration;

use sequoiayoke_model::clock;

use crate::{pace, speed};

/// Lowest rank of a request that is not a call between services. Calls are queued first, also
/// ahead of starved classes, because a waiting call occupies a slot of another backend server.
pub const MIN_REQUEST_RANK: u32 = 1 << 31;
/// Bit set in the rank of a request that will miss its target.
const LATE_BIT: u32 = 1;
/// Time limit of a request that will miss its target, in multiples of its expected service time.
const LATE_SERVICE_TIMES: u32 = 2;
/// Shortest time limit of a call that can meet its target when it runs at once. A call is part of
/// another request, which fails as a whole when the call is refused.
const MIN_CALL_LIMIT: Duration = Duration::from_millis(400);
/// Assumed value of a late answer, relative to that of an answer in time.
const LATE_VALUE: f64 = 0.3;
/// Time for an answer to reach the caller from the backend server.
const DELIVERY_TIME: Duration = Duration::from_millis(50);
/// Shortest delay before a retry that a refused caller is given.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// A request offered for admission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offer {
    /// Rank; lower ranks start first. The lowest bit must be clear: the gate sets it for
    /// requests that will miss their target.
    pub rank: u32,
    /// Class of requests with similar service times.
    pub class: u64,
    /// Latency target: the time up to which a response has its full value.
    pub useful_until: clock::Instant,
    /// Time after which a response has no value.
    pub deadline: clock::Instant,
    /// Longest acceptable expected wait for a slot; above it, another backend server is the
    /// better choice.
    pub max_wait: Duration,
}

/// Number of a waiting request, increasing in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Admission decision on an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request starts now.
    Start,
    /// The request waits until a [`Release`] names its ticket.
    Wait(Ticket),
    /// The request cannot finish in time; a retry after this delay may succeed.
    Refuse(Duration),
}

/// Decision that ends the wait of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Release {
    /// The request starts now.
    Start(Ticket),
    /// The request can no longer finish in time; a retry after this delay may succeed.
    Refuse(Ticket, Duration),
}

/// Load of a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of requests that may run concurrently.
    pub slots: u32,
    /// Mean service time of a request at the present speed, in seconds.
    pub service_s: f64,
    /// Mean service time of a request at the usual speed, in seconds.
    pub usual_s: f64,
}

/// Admission state of one backend server.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use sequoiayoke_dispatch::admission;
/// use sequoiayoke_model::clock;
///
/// let now = clock::Instant::from_micros(0);
/// let offer = admission::Offer {
///     rank: 0,
///     class: 1,
///     useful_until: now + Duration::from_millis(500),
///     deadline: now + Duration::from_secs(1),
///     max_wait: Duration::MAX,
/// };
/// let mut gate = admission::Gate::new(1);
/// assert_eq!(gate.offer(now, offer), admission::Decision::Start);
/// assert!(matches!(gate.offer(now, offer), admission::Decision::Wait(_)));
/// ```
#[derive(Debug)]
pub struct Gate {
    slots: u32,
    running: u32,
    next_ticket: u64,
    waiting: collections::BTreeMap<(u32, Ticket), Offer>,
    service_times: estimate::ServiceTimes,
    shares: fairness::Shares,
    timely: fairness::Timely,
    /// Latest starts, if the backend server may be cold.
    window: Option<pace::Window>,
    /// Whether the window limits the starts.
    is_paced: bool,
}

impl Gate {
    /// Creates a gate for a backend server that runs up to `slots` requests concurrently.
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots.max(1),
            running: 0,
            next_ticket: 0,
            waiting: collections::BTreeMap::new(),
            service_times: estimate::ServiceTimes::new(),
            shares: fairness::Shares::default(),
            timely: fairness::Timely::new(),
            window: None,
            is_paced: false,
        }
    }

    /// Sets the number of slots, which is at least 1.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    /// Returns the number of slots.
    pub const fn slots(&self) -> u32 {
        self.slots
    }

    /// Sets the window that limits the starts while the backend server is paced.
    pub fn set_window(&mut self, window: Option<pace::Window>) {
        self.is_paced &= window.is_some();
        self.window = window;
    }

    /// Returns the window that limits the starts.
    pub const fn window_mut(&mut self) -> Option<&mut pace::Window> {
        self.window.as_mut()
    }

    /// Sets whether the window limits the starts.
    pub const fn set_paced(&mut self, is_paced: bool) {
        self.is_paced = is_paced && self.window.is_some();
    }

    /// Returns the window if it limits the starts.
    fn pace(&self) -> Option<&pace::Window> {
        self.window.as_ref().filter(|_| self.is_paced)
    }

    /// Returns the speed of the backend server.
    pub const fn speed(&self) -> &speed::Speed {
        self.service_times.speed()
    }

    /// Records how much slower than usual the backend server says that it is.
    pub fn record_slowness(&mut self, now: clock::Instant, slowness: f64) {
        self.service_times.speed_mut().record(now, slowness);
    }

    /// Returns the load of the backend server.
    ///
    /// A paced backend server has only as many slots as its pace can fill.
    pub fn load(&self, now: clock::Instant) -> Load {
        let service_s = self.service_times.mean_s(now);
        let filled = self.pace().map(|window| {
            let starts_per_s = f64::from(window.limit()) / pace::WINDOW.as_secs_f64();
            (starts_per_s * service_s).ceil().max(1.0) as u32
        });
        Load {
            running: self.running,
            waiting: self.waiting.len() as u32,
            slots: filled.map_or(self.slots, |filled| filled.min(self.slots)),
            service_s,
            usual_s: self.service_times.usual_s(),
        }
    }

    /// Starts, queues or refuses a request that has arrived.
    pub fn offer(&mut self, now: clock::Instant, offer: Offer) -> Decision {
        let target = now.saturating_until(offer.useful_until);
        self.service_times.assume(offer.class, target);
        // This refusal does not count against the admission ratio of the class: the request is
        // sent to another backend server first, and offered here again if that one is full too.
        if let Some(after) = self.retry_after_long_wait(now, &offer) {
            return Decision::Refuse(after);
        }
        // Ordering by rank alone would starve the lowest class of a full backend server.
        let rank = match self.shares.offer(offer.class) {
            fairness::Share::SeverelyStarved => 0,
            fairness::Share::Starved => offer.rank.min(MIN_REQUEST_RANK),
            fairness::Share::Sufficient => offer.rank,
        };
        let is_late = self.is_late(now, &offer);
        if is_late && self.must_yield(&offer) {
            return Decision::Refuse(self.service_time(now, offer.class).max(MIN_RETRY_AFTER));
        }
        let decision = self.admit(now, Offer { rank, ..offer });
        let is_admitted = !matches!(decision, Decision::Refuse(_));
        if is_admitted {
            self.shares.admit(offer.class);
        }
        if !is_late {
            self.timely.record(is_admitted);
        }
        decision
    }

    /// Returns whether a request misses its target even if it starts now.
    fn is_late(&self, now: clock::Instant, offer: &Offer) -> bool {
        now + self.service_time(now, offer.class) > offer.useful_until
    }

    /// Returns whether a request that misses its target leaves its slot to others.
    ///
    /// A late request displaces one that could be in time as often as such requests are refused. When
    /// that costs more than its own answer is worth, it may only use the part of the slots that they
    /// leave. A call always may run: the request behind it can be in time.
    fn must_yield(&self, offer: &Offer) -> bool {
        let ratio = self.timely.ratio();
        let left = (f64::from(self.slots) * ratio).ceil();
        let is_displacing = 1.0 - ratio > LATE_VALUE && f64::from(self.running + 1) > left;
        is_displacing && offer.rank >= MIN_REQUEST_RANK
    }

    /// Returns the retry delay of a request if it would be refused now.
    ///
    /// Unlike [`Gate::offer`], this changes no state.
    pub fn refusal(&self, now: clock::Instant, offer: &Offer) -> Option<Duration> {
        if self.has_room(now) && self.waiting.is_empty() {
            return None;
        }
        let ahead = self.count_ahead(offer.rank);
        self.retry_after_long_wait(now, offer)
            .or_else(|| self.retry_after_late_end(now, offer, ahead))
    }

    /// Returns the retry delay if the expected wait is longer than the request accepts.
    fn retry_after_long_wait(&self, now: clock::Instant, offer: &Offer) -> Option<Duration> {
        let wait = self.wait_behind(now, self.count_ahead(offer.rank));
        let excess = wait.saturating_sub(offer.max_wait);
        (!excess.is_zero()).then(|| excess.max(MIN_RETRY_AFTER))
    }

    /// Counts the waiting requests that would start before a new request of `rank`.
    fn count_ahead(&self, rank: u32) -> usize {
        let ahead = self.waiting.range(..=(rank, Ticket(u64::MAX)));
        ahead.count()
    }

    fn admit(&mut self, now: clock::Instant, mut offer: Offer) -> Decision {
        // A response after its target is worth less than one in time, so this request is queued
        // behind those that can still meet theirs.
        if self.is_late(now, &offer) {
            offer.rank |= LATE_BIT;
        }
        if self.has_room(now) && self.waiting.is_empty() {
            if self.is_hopeless(now, &offer) {
                return Decision::Refuse(MIN_RETRY_AFTER);
            }
            self.start(now);
            return Decision::Start;
        }
        if let Some(after) = self.retry_after_late_end(now, &offer, self.count_ahead(offer.rank)) {
            return Decision::Refuse(after);
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.waiting.insert((offer.rank, ticket), offer);
        Decision::Wait(ticket)
    }

    /// Returns the retry delay if a request with `ahead` others before it would finish too late.
    ///
    /// A response after its target still has some value, but a queue of such requests would make
    /// every later request miss its target too.
    fn retry_after_late_end(
        &self,
        now: clock::Instant,
        offer: &Offer,
        ahead: usize,
    ) -> Option<Duration> {
        let service = self.service_time(now, offer.class);
        let mut end = now + self.wait_behind(now, ahead) + service;
        let limit = if now + service <= offer.useful_until {
            // With the mean alone, half of the requests at the end of the queue would be late.
            end = end + self.service_times.deviation(now, offer.class);
            match offer.rank < MIN_REQUEST_RANK {
                true => offer.useful_until.max(now + MIN_CALL_LIMIT),
                false => offer.useful_until,
            }
        } else {
            // A request that misses its target anyway must not wait for long.
            now + service * LATE_SERVICE_TIMES
        };
        let limit = limit.min(offer.deadline);
        (end > limit).then(|| retry_after(end, limit))
    }

    /// Refuses waiting requests that can no longer finish in time, because more urgent requests
    /// were queued ahead of them.
    pub fn evict(&mut self, now: clock::Instant) -> Vec<Release> {
        let mut kept = 0;
        let mut evicted = Vec::new();
        for ((rank, ticket), offer) in &self.waiting {
            match self.retry_after_late_end(now, offer, kept) {
                Some(after) => evicted.push((*rank, *ticket, after)),
                None => kept += 1,
            }
        }
        for (rank, ticket, _) in &evicted {
            if let Some(offer) = self.waiting.remove(&(*rank, *ticket)) {
                self.shares.revoke(offer.class);
            }
        }
        let refuse = |(_, ticket, after)| Release::Refuse(ticket, after);
        evicted.into_iter().map(refuse).collect()
    }

    /// Removes a waiting request whose caller has disconnected.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.remove(ticket);
    }

    /// Refuses a waiting request that can no longer end in time.
    pub fn expire(&mut self, ticket: Ticket) {
        if let Some(offer) = self.remove(ticket) {
            self.shares.revoke(offer.class);
        }
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Offer> {
        let mut places = self.waiting.keys();
        let place = *places.find(|(_, queued)| *queued == ticket)?;
        self.waiting.remove(&place)
    }

    /// Records the service time of a request of `class` that ran while the backend server had this
    /// slowness.
    pub fn observe(&mut self, class: u64, run_time: Duration, slowness: f64) {
        self.service_times.observe(class, run_time, slowness);
    }

    /// Frees the slot of a finished request and starts waiting requests.
    ///
    /// Returns the decisions on waiting requests: refusals, and at most one start for each free
    /// slot.
    pub fn finish(&mut self, now: clock::Instant) -> Vec<Release> {
        self.running = self.running.saturating_sub(1);
        self.release(now)
    }

    /// Starts waiting requests while slots are free, and refuses those that would miss their
    /// deadline.
    pub fn release(&mut self, now: clock::Instant) -> Vec<Release> {
        let mut releases = Vec::new();
        while self.has_room(now)
            && let Some(((_, ticket), offer)) = self.waiting.pop_first()
        {
            if now >= self.latest_start(now, &offer) {
                self.shares.revoke(offer.class);
                releases.push(Release::Refuse(ticket, MIN_RETRY_AFTER));
            } else {
                self.start(now);
                releases.push(Release::Start(ticket));
            }
        }
        releases
    }

    /// Returns the time from which a request is expected to be answered after its deadline.
    pub fn latest_start(&self, now: clock::Instant, offer: &Offer) -> clock::Instant {
        offer.deadline - self.service_time(now, offer.class) - DELIVERY_TIME
    }

    /// Returns whether a request would hardly end before its deadline if it started now: its work would
    /// be lost, and a request that is not idempotent could not be sent again.
    fn is_hopeless(&self, now: clock::Instant, offer: &Offer) -> bool {
        let service = self.service_time(now, offer.class);
        let shortest = service.saturating_sub(self.service_times.deviation(now, offer.class));
        now + shortest > offer.deadline
    }

    /// Returns whether a request may start now: a slot is free, and the pace allows a start.
    fn has_room(&self, now: clock::Instant) -> bool {
        self.running < self.slots && self.pace().is_none_or(|window| window.allows(now))
    }

    fn start(&mut self, now: clock::Instant) {
        self.running += 1;
        if let Some(window) = &mut self.window {
            window.record(now);
        }
    }

    /// Returns when the pace allows the next start, if requests wait for that and for no slot.
    pub fn next_paced_start(&self, now: clock::Instant) -> Option<clock::Instant> {
        let window = self.pace()?;
        let is_waiting = self.running < self.slots && !self.waiting.is_empty();
        is_waiting.then(|| now + window.wait(now, 0))
    }

    /// Returns the expected time until a request with `ahead` others before it starts.
    fn wait_behind(&self, now: clock::Instant, ahead: usize) -> Duration {
        let busy = f64::from(self.running) + ahead as f64 + 1.0 - f64::from(self.slots);
        let for_slot = Duration::from_secs_f64(
            busy.max(0.0) * self.service_times.mean_s(now) / f64::from(self.slots),
        );
        let for_pace = self.pace().map(|window| window.wait(now, ahead));
        for_slot.max(for_pace.unwrap_or_default())
    }

    /// Returns the expected service time of a request of `class` that starts at `now`.
    pub fn service_time(&self, now: clock::Instant, class: u64) -> Duration {
        self.service_times.expected(now, class)
    }
}

fn retry_after(end: clock::Instant, limit: clock::Instant) -> Duration {
    end.saturating_since(limit).max(MIN_RETRY_AFTER)
}
