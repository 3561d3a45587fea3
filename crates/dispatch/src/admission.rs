//! Admission control for one backend server: which requests run, wait or are refused.
//!
//! The node beside a backend server receives all requests for it, so it can limit how many
//! run concurrently. A request that cannot finish in time is refused on arrival instead of
//! after its deadline.

use std::collections;
use std::time::Duration;

use sequoiayoke_model::clock;

/// Weight of a new observation in the exponential moving averages.
const SMOOTHING_FACTOR: f64 = 0.1;
/// Number of first observations that are averaged with equal weight, so that a node that has
/// just started learns the service time of a cold backend server quickly.
const WARM_UP_OBSERVATIONS: u32 = 10;
/// Service time assumed before the first observation, in seconds.
const INITIAL_SERVICE_TIME_S: f64 = 0.1;
/// Largest service time that is assumed before the first observation of a class, as a fraction of its
/// target: a target leaves room for some wait.
const TARGET_FRACTION: f64 = 0.5;
/// Number of offers at which the counts are halved, so that recent offers weigh more.
const MAX_COUNTED_OFFERS: f64 = 60.0;
/// Admission ratio of a class, relative to that of all classes, below which its requests are
/// queued ahead of all other requests except calls between services.
const STARVED_RATIO: f64 = 0.4;
/// Relative admission ratio below which the requests of a class are queued ahead of calls too.
const SEVERELY_STARVED_RATIO: f64 = 0.25;
/// Minimum number of offers of a class before its ratio is reliable enough for that.
const MIN_RATIO_OFFERS: f64 = 12.0;
/// Lowest rank of a request that is not a call between services. Calls are queued first, also
/// ahead of starved classes, because a waiting call occupies a slot of another backend server.
pub const MIN_REQUEST_RANK: u32 = 1 << 31;
/// Bit set in the rank of a request that will miss its target.
const LATE_BIT: u32 = 1;
/// Time limit of a request that will miss its target, in multiples of its expected service time.
const LATE_SERVICE_TIMES: u32 = 2;
/// Shortest time limit of a request that can meet its target when it runs at once. A call with a
/// short target is part of another request, which fails as a whole when the call is refused.
const MIN_TIME_LIMIT: Duration = Duration::from_millis(400);
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
    /// Mean service time of a request, in seconds.
    pub service_s: f64,
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
    overall_service_time: MovingAverage,
    class_service_times: collections::HashMap<u64, MovingAverage>,
    overall_count: AdmissionCount,
    class_counts: collections::HashMap<u64, AdmissionCount>,
}

/// Decaying counts of the requests that were offered and admitted.
#[derive(Clone, Copy, Debug, Default)]
struct AdmissionCount {
    offered: f64,
    admitted: f64,
}

impl AdmissionCount {
    fn record_offer(&mut self) {
        if self.offered >= MAX_COUNTED_OFFERS {
            self.offered /= 2.0;
            self.admitted /= 2.0;
        }
        self.offered += 1.0;
    }

    /// Returns the ratio of admitted to offered requests, or 1 before the first offer.
    fn ratio(&self) -> f64 {
        if self.offered < 1.0 {
            return 1.0;
        }
        self.admitted / self.offered
    }
}

/// Exponential moving average in seconds, with the mean absolute deviation from it.
#[derive(Clone, Copy, Debug, Default)]
struct MovingAverage {
    value_s: f64,
    deviation_s: f64,
    count: u32,
}

impl MovingAverage {
    fn add(&mut self, seconds: f64) {
        self.count = (self.count + 1).min(WARM_UP_OBSERVATIONS);
        let weight = SMOOTHING_FACTOR.max(1.0 / f64::from(self.count));
        let distance = (seconds - self.value_s).abs();
        self.value_s += weight * (seconds - self.value_s);
        // The first observation becomes the mean, so it has no deviation.
        if self.count > 1 {
            self.deviation_s += weight * (distance - self.deviation_s);
        }
    }
}

impl Gate {
    /// Creates a gate for a backend server that runs up to `slots` requests concurrently.
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots.max(1),
            running: 0,
            next_ticket: 0,
            waiting: collections::BTreeMap::new(),
            overall_service_time: MovingAverage {
                value_s: INITIAL_SERVICE_TIME_S,
                deviation_s: 0.0,
                count: 0,
            },
            class_service_times: collections::HashMap::new(),
            overall_count: AdmissionCount::default(),
            class_counts: collections::HashMap::new(),
        }
    }

    /// Sets the number of slots, which is at least 1.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    /// Returns the load of the backend server.
    pub fn load(&self) -> Load {
        Load {
            running: self.running,
            waiting: self.waiting.len() as u32,
            slots: self.slots,
            service_s: self.overall_service_time.value_s,
        }
    }

    /// Starts, queues or refuses a request that has arrived.
    pub fn offer(&mut self, now: clock::Instant, offer: Offer) -> Decision {
        self.estimate_service_time(now, &offer);
        // This refusal does not count against the admission ratio of the class: the request is
        // sent to another backend server first, and offered here again if that one is full too.
        if let Some(after) = self.retry_after_long_wait(&offer) {
            return Decision::Refuse(after);
        }
        let overall_ratio = self.overall_count.ratio();
        let count = self.class_counts.entry(offer.class).or_default();
        // Ordering by rank alone would starve the lowest class of a full backend server.
        let rank = match count.ratio() / overall_ratio {
            relative if relative < SEVERELY_STARVED_RATIO && count.offered >= MIN_RATIO_OFFERS => 0,
            relative if relative < STARVED_RATIO => offer.rank.min(MIN_REQUEST_RANK),
            _ => offer.rank,
        };
        count.record_offer();
        self.overall_count.record_offer();
        let decision = self.admit(now, Offer { rank, ..offer });
        if !matches!(decision, Decision::Refuse(_)) {
            self.overall_count.admitted += 1.0;
            let count = self.class_counts.entry(offer.class).or_default();
            count.admitted += 1.0;
        }
        decision
    }

    /// Estimates the service time of a class without an observation: the overall mean, or less if the
    /// target of the request is short.
    ///
    /// A backend server that is full of long requests would refuse all short ones otherwise, and never
    /// observe how long they run.
    fn estimate_service_time(&mut self, now: clock::Instant, offer: &Offer) {
        let target_s = now.saturating_until(offer.useful_until).as_secs_f64();
        let estimate_s = self
            .overall_service_time
            .value_s
            .min(target_s * TARGET_FRACTION);
        self.class_service_times
            .entry(offer.class)
            .or_insert(MovingAverage {
                value_s: estimate_s,
                ..MovingAverage::default()
            });
    }

    /// Returns the retry delay of a request if it would be refused now.
    ///
    /// Unlike [`Gate::offer`], this changes no state.
    pub fn refusal(&self, now: clock::Instant, offer: &Offer) -> Option<Duration> {
        if self.running < self.slots && self.waiting.is_empty() {
            return None;
        }
        let ahead = self.count_ahead(offer.rank);
        self.retry_after_long_wait(offer)
            .or_else(|| self.retry_after_late_end(now, offer, ahead))
    }

    /// Returns the retry delay if the expected wait is longer than the request accepts.
    fn retry_after_long_wait(&self, offer: &Offer) -> Option<Duration> {
        let wait = self.wait_behind(self.count_ahead(offer.rank));
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
        if now + self.service_time(offer.class) > offer.useful_until {
            offer.rank |= LATE_BIT;
        }
        if self.running < self.slots && self.waiting.is_empty() {
            if self.is_hopeless(now, &offer) {
                return Decision::Refuse(MIN_RETRY_AFTER);
            }
            self.running += 1;
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
        let service = self.service_time(offer.class);
        let mut end = now + self.wait_behind(ahead) + service;
        let limit = if now + service <= offer.useful_until {
            // With the mean alone, half of the requests at the end of the queue would be late.
            end = end + self.service_time_deviation(offer.class);
            offer.useful_until.max(now + MIN_TIME_LIMIT)
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
                self.uncount_admitted(offer.class);
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
            self.uncount_admitted(offer.class);
        }
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Offer> {
        let mut places = self.waiting.keys();
        let place = *places.find(|(_, queued)| *queued == ticket)?;
        self.waiting.remove(&place)
    }

    /// Takes a request that was refused after all out of the admission ratio of its class.
    fn uncount_admitted(&mut self, class: u64) {
        let count = self.class_counts.entry(class).or_default();
        count.admitted = (count.admitted - 1.0).max(0.0);
        self.overall_count.admitted = (self.overall_count.admitted - 1.0).max(0.0);
    }

    /// Records the service time of a request of `class`.
    pub fn observe(&mut self, class: u64, run_time: Duration) {
        let run_time = run_time.as_secs_f64();
        self.overall_service_time.add(run_time);
        self.class_service_times
            .entry(class)
            .or_default()
            .add(run_time);
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
        while self.running < self.slots
            && let Some(((_, ticket), offer)) = self.waiting.pop_first()
        {
            if now >= self.latest_start(&offer) {
                self.uncount_admitted(offer.class);
                releases.push(Release::Refuse(ticket, MIN_RETRY_AFTER));
            } else {
                self.running += 1;
                releases.push(Release::Start(ticket));
            }
        }
        releases
    }

    /// Returns the time from which a request is expected to be answered after its deadline.
    pub fn latest_start(&self, offer: &Offer) -> clock::Instant {
        offer.deadline - self.service_time(offer.class) - DELIVERY_TIME
    }

    /// Returns whether a request would hardly end before its deadline if it started now: its work would
    /// be lost, and a request that is not idempotent could not be sent again.
    fn is_hopeless(&self, now: clock::Instant, offer: &Offer) -> bool {
        let service = self.service_time(offer.class);
        let shortest = service.saturating_sub(self.service_time_deviation(offer.class));
        now + shortest > offer.deadline
    }

    /// Returns the expected time until a request with `ahead` others before it starts.
    fn wait_behind(&self, ahead: usize) -> Duration {
        let busy = f64::from(self.running) + ahead as f64 + 1.0 - f64::from(self.slots);
        Duration::from_secs_f64(
            busy.max(0.0) * self.overall_service_time.value_s / f64::from(self.slots),
        )
    }

    /// Returns the mean absolute deviation of the service time of `class`.
    fn service_time_deviation(&self, class: u64) -> Duration {
        let average = self
            .class_service_times
            .get(&class)
            .copied()
            .unwrap_or(self.overall_service_time);
        Duration::from_secs_f64(average.deviation_s)
    }

    /// Returns the expected service time of a request of `class`.
    pub fn service_time(&self, class: u64) -> Duration {
        let average = self
            .class_service_times
            .get(&class)
            .copied()
            .unwrap_or(self.overall_service_time);
        Duration::from_secs_f64(average.value_s)
    }
}

fn retry_after(end: clock::Instant, limit: clock::Instant) -> Duration {
    end.saturating_since(limit).max(MIN_RETRY_AFTER)
}
