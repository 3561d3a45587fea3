//! Admission at one backend server: who runs, who waits, who is refused.
//!
//! The node beside a backend server sees all requests for it, so it can keep
//! the backend server from being given more than it runs at a time. A request
//! that cannot end in time is refused when it arrives, not when its deadline has
//! passed.

use std::collections;
use std::time::Duration;

use sequoiayoke_model::clock;

/// Weight of a new observation in the moving averages.
const SMOOTHING: f64 = 0.1;
/// Observations that count alike, before older ones begin to count less. A node
/// that has just started learns fast how slow a cold backend server is.
const FIRST: u32 = 10;
/// Service time that is assumed before the first observation, in seconds.
const INITIAL_SERVICE_S: f64 = 0.1;
/// Offers after which older ones count half.
const SHARE_MEMORY: f64 = 60.0;
/// Part of the mean share of admitted requests that each class gets at least.
const FAIR_PART: f64 = 0.4;
/// Part of the mean share below which a class goes before calls too.
const LEAST_PART: f64 = 0.25;
/// Offers of a class from which its share is certain enough for that.
const CERTAIN: f64 = 12.0;
/// Lowest rank of a request that is not a call between services. Calls go first, also
/// before starved classes: a call that waits holds a slot of another backend server.
pub const MIN_REQUEST_RANK: u32 = 1 << 31;
/// Bit of the rank of a request whose answer will be late.
const LATE: u32 = 1;
/// Time within which a late request must end, in times that it runs.
const LATE_SERVICES: u32 = 2;
/// Time that a request may take beside its target. A call with a short target is
/// a part of another request, which fails as a whole when the call is refused.
const SHORT_WAIT: Duration = Duration::from_millis(400);
/// Shortest time after which a refused caller is asked to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// A request that wants to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Offer {
    /// Rank; lower ranks go first. The lowest bit is clear:
    /// the gate sets it for requests whose answer will be late.
    pub rank: u32,
    /// Group of requests that take a similar time.
    pub class: u64,
    /// Time until which an answer has its full use.
    pub useful_until: clock::Instant,
    /// Time after which an answer has no use.
    pub deadline: clock::Instant,
    /// Longest expected wait for a slot; with a longer one another backend server is
    /// the better choice.
    pub max_wait: Duration,
}

/// Number of a request that waits; numbers grow in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What becomes of an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Run it now.
    Start,
    /// Keep it until [`Gate::finish`] names it.
    Wait(Ticket),
    /// It cannot end in time; an offer after this time may succeed.
    Refuse(Duration),
}

/// What becomes of a request that waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Release {
    /// Run it now.
    Start(Ticket),
    /// It can no longer end in time; an offer after this time may succeed.
    Refuse(Ticket, Duration),
}

/// How busy a backend server is.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that may run at the same time.
    pub slots: u32,
    /// Mean time that a request runs, in seconds.
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
    next: u64,
    waiting: collections::BTreeMap<(u32, Ticket), Offer>,
    mean: Mean,
    classes: collections::HashMap<u64, Mean>,
    all: Share,
    shares: collections::HashMap<u64, Share>,
}

/// How many requests were offered lately, and how many of them were admitted.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    offered: f64,
    admitted: f64,
}

impl Share {
    fn offer(&mut self) {
        if self.offered >= SHARE_MEMORY {
            self.offered /= 2.0;
            self.admitted /= 2.0;
        }
        self.offered += 1.0;
    }

    /// Returns the part that was admitted; all of it before the first offer.
    fn ratio(&self) -> f64 {
        if self.offered < 1.0 {
            return 1.0;
        }
        self.admitted / self.offered
    }
}

/// A moving average in seconds, and the mean distance from it.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    value_s: f64,
    spread_s: f64,
    count: u32,
}

impl Mean {
    fn add(&mut self, seconds: f64) {
        self.count = (self.count + 1).min(FIRST);
        let weight = SMOOTHING.max(1.0 / f64::from(self.count));
        let distance = (seconds - self.value_s).abs();
        self.value_s += weight * (seconds - self.value_s);
        // The first observation is its own mean.
        if self.count > 1 {
            self.spread_s += weight * (distance - self.spread_s);
        }
    }
}

impl Gate {
    /// Makes a gate for a backend server that runs `slots` requests at a time.
    pub fn new(slots: u32) -> Self {
        Self {
            slots: slots.max(1),
            running: 0,
            next: 0,
            waiting: collections::BTreeMap::new(),
            mean: Mean {
                value_s: INITIAL_SERVICE_S,
                spread_s: 0.0,
                count: 0,
            },
            classes: collections::HashMap::new(),
            all: Share::default(),
            shares: collections::HashMap::new(),
        }
    }

    /// Changes the number of slots.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    /// Returns how busy the backend server is.
    pub fn load(&self) -> Load {
        Load {
            running: self.running,
            waiting: self.waiting.len() as u32,
            slots: self.slots,
            service_s: self.mean.value_s,
        }
    }

    /// Decides on a request that has arrived.
    pub fn offer(&mut self, now: clock::Instant, offer: Offer) -> Decision {
        // Such a refusal says nothing about the share that a class gets: the request goes
        // to another backend server first, and comes back if that is full too.
        if let Some(after) = self.exceeds_patience(&offer) {
            return Decision::Refuse(after);
        }
        let all = self.all.ratio();
        let share = self.shares.entry(offer.class).or_default();
        // Rank alone would leave nothing to the lowest class of a full backend server.
        let rank = match share.ratio() / all {
            part if part < LEAST_PART && share.offered >= CERTAIN => 0,
            part if part < FAIR_PART => offer.rank.min(MIN_REQUEST_RANK),
            _ => offer.rank,
        };
        share.offer();
        self.all.offer();
        let decision = self.admit(now, Offer { rank, ..offer });
        if !matches!(decision, Decision::Refuse(_)) {
            self.all.admitted += 1.0;
            let share = self.shares.entry(offer.class).or_default();
            share.admitted += 1.0;
        }
        decision
    }

    /// Returns the time after which to come back with a request that would be refused
    /// now; unlike [`Gate::offer`] it changes nothing.
    pub fn refusal(&self, now: clock::Instant, offer: &Offer) -> Option<Duration> {
        if self.running < self.slots && self.waiting.is_empty() {
            return None;
        }
        let ahead = self.ahead(offer.rank);
        self.exceeds_patience(offer)
            .or_else(|| self.is_hopeless(now, offer, ahead))
    }

    fn exceeds_patience(&self, offer: &Offer) -> Option<Duration> {
        let wait = self.wait_behind(self.ahead(offer.rank));
        let excess = wait.saturating_sub(offer.max_wait);
        (!excess.is_zero()).then(|| excess.max(MIN_RETRY_AFTER))
    }

    /// Counts the requests that would go before one of `rank` that arrives now.
    fn ahead(&self, rank: u32) -> usize {
        let ahead = self.waiting.range(..=(rank, Ticket(u64::MAX)));
        ahead.count()
    }

    fn admit(&mut self, now: clock::Instant, mut offer: Offer) -> Decision {
        // A late answer is worth less than one in time, so it must not make others late.
        if now + self.service_time(offer.class) > offer.useful_until {
            offer.rank |= LATE;
        }
        if self.running < self.slots && self.waiting.is_empty() {
            self.running += 1;
            return Decision::Start;
        }
        if let Some(after) = self.is_hopeless(now, &offer, self.ahead(offer.rank)) {
            return Decision::Refuse(after);
        }
        let ticket = Ticket(self.next);
        self.next += 1;
        self.waiting.insert((offer.rank, ticket), offer);
        Decision::Wait(ticket)
    }

    /// Returns the time after which to come back, if a request behind `ahead`
    /// others would end too late.
    ///
    /// An answer after its target still has some use, but a queue of such
    /// requests would make every later one late too.
    fn is_hopeless(&self, now: clock::Instant, offer: &Offer, ahead: usize) -> Option<Duration> {
        let service = self.service_time(offer.class);
        let mut end = now + self.wait_behind(ahead) + service;
        let limit = if now + service <= offer.useful_until {
            // With the mean alone, half of those that are admitted last would be late.
            end = end + self.spread(offer.class);
            offer.useful_until.max(now + SHORT_WAIT)
        } else {
            // A long wait of requests that are late already helps nobody.
            now + service * LATE_SERVICES
        };
        let limit = limit.min(offer.deadline);
        (end > limit).then(|| retry_after(end, limit))
    }

    /// Refuses requests that wait and can no longer end in time, because more
    /// urgent ones have come before them.
    pub fn evict(&mut self, now: clock::Instant) -> Vec<Release> {
        let mut kept = 0;
        let mut evicted = Vec::new();
        for ((rank, ticket), offer) in &self.waiting {
            match self.is_hopeless(now, offer, kept) {
                Some(after) => evicted.push((*rank, *ticket, after)),
                None => kept += 1,
            }
        }
        for (rank, ticket, _) in &evicted {
            if let Some(offer) = self.waiting.remove(&(*rank, *ticket)) {
                let share = self.shares.entry(offer.class).or_default();
                share.admitted = (share.admitted - 1.0).max(0.0);
                self.all.admitted = (self.all.admitted - 1.0).max(0.0);
            }
        }
        let refuse = |(_, ticket, after)| Release::Refuse(ticket, after);
        evicted.into_iter().map(refuse).collect()
    }

    /// Forgets a request that waited and whose caller has gone.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.waiting.retain(|(_, other), _| *other != ticket);
    }

    /// Records how long a request of `class` ran.
    pub fn observe(&mut self, class: u64, ran: Duration) {
        let ran = ran.as_secs_f64();
        self.mean.add(ran);
        self.classes.entry(class).or_default().add(ran);
    }

    /// Frees the slot of a request that has ended.
    ///
    /// Returns what becomes of requests that waited: refusals, and at most one
    /// that starts for each free slot.
    pub fn finish(&mut self, now: clock::Instant) -> Vec<Release> {
        self.running = self.running.saturating_sub(1);
        self.release(now)
    }

    /// Refuses all requests that wait, because the backend server takes no more.
    pub fn close(&mut self) -> Vec<Ticket> {
        let waiting = std::mem::take(&mut self.waiting);
        waiting.into_keys().map(|(_, ticket)| ticket).collect()
    }

    /// Starts requests that wait while slots are free.
    pub fn release(&mut self, now: clock::Instant) -> Vec<Release> {
        let mut releases = Vec::new();
        while self.running < self.slots
            && let Some(((_, ticket), offer)) = self.waiting.pop_first()
        {
            let end = now + self.service_time(offer.class) / 2;
            if end > offer.deadline {
                releases.push(Release::Refuse(ticket, MIN_RETRY_AFTER));
            } else {
                self.running += 1;
                releases.push(Release::Start(ticket));
            }
        }
        releases
    }

    /// Returns the expected time until a request starts behind `ahead` others.
    fn wait_behind(&self, ahead: usize) -> Duration {
        let busy = f64::from(self.running) + ahead as f64 + 1.0 - f64::from(self.slots);
        Duration::from_secs_f64(busy.max(0.0) * self.mean.value_s / f64::from(self.slots))
    }

    /// Returns the mean distance from the expected time that a request of `class` runs.
    fn spread(&self, class: u64) -> Duration {
        let mean = self.classes.get(&class).copied().unwrap_or(self.mean);
        Duration::from_secs_f64(mean.spread_s)
    }

    /// Returns the expected time that a request of `class` runs.
    pub fn service_time(&self, class: u64) -> Duration {
        let mean = self.classes.get(&class).copied().unwrap_or(self.mean);
        Duration::from_secs_f64(mean.value_s)
    }
}

fn retry_after(end: clock::Instant, limit: clock::Instant) -> Duration {
    end.saturating_since(limit).max(MIN_RETRY_AFTER)
}
