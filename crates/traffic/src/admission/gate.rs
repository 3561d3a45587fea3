//! Bounded concurrency and a short queue in front of a backend server.
//!
//! A request that the gate sheds did not run. The gate sheds as early as it can:
//! when the response is expected after the deadline, when the queue is full, or
//! when the backend server has stopped responding.

use std::collections;
use std::time::Duration;

use sequoiayoke_model::{clock, id, key, outcome, request};

use super::{flow, limit};

/// Shortest time without any response, while all slots are in use, after which
/// requests are shed instead of queued.
const STALL_MIN: Duration = Duration::from_secs(1);
/// Multiple of the usual latency that replaces `STALL_MIN` for slow requests.
const STALL_FACTOR: u32 = 8;
/// Overdue requests from which the server counts as unresponsive. A single slow
/// request does not show that the server is frozen.
const UNRESPONSIVE_MIN: usize = 3;
/// Time after the last start of a request or response during which earlier timeouts count.
const TIMEOUT_AGE_MAX: Duration = Duration::from_secs(15);
/// One in this many slots, and at least one, is reserved for interactive requests.
const INTERACTIVE_SLOT_RATIO: u32 = 4;

slotmap::new_key_type! {
    /// A request inside the gate: waiting or in flight.
    pub struct Key;
}

/// How long a request is expected to occupy a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// A request with a small body.
    Interactive,
    /// An upload or download that occupies a slot for a long time.
    Bulk,
}

/// What the gate needs to know about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// Caller; requests without one share `id::Caller(0)`.
    pub caller: id::Caller,
    /// Service that the request names.
    pub service: id::Service,
    /// Hash of the key; the waiting requests of one key do not delay those of other keys.
    pub hash: key::Hash,
    /// How long the request is expected to occupy a slot.
    pub class: Class,
    /// Time after which the caller no longer waits for the response.
    pub deadline: clock::Instant,
    /// Id for reports, if the request has one.
    pub request: Option<request::Id>,
}

/// Decision about an arriving request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// It may be dispatched now.
    Admitted(Key),
    /// It waits; a later [`Update`] admits or sheds it.
    Queued(Key),
    /// It does not run.
    Shed(outcome::Reason),
}

/// How a request in flight ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Finish {
    /// The backend server responded.
    Completed,
    /// The backend server refused the request because of its load.
    Refused,
    /// The backend server did not respond in time.
    TimedOut,
    /// The connection to the backend server failed.
    Failed,
    /// The request was withdrawn or never dispatched.
    Withdrawn,
}

/// Requests that left the queue in one call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Update {
    /// Requests that may be dispatched now.
    pub admitted: Vec<Key>,
    /// Requests that do not run, and why.
    pub shed: Vec<(Key, outcome::Reason)>,
}

/// Bounds of a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Requests that the backend server handles at once; at least 1.
    pub slots: u32,
    /// Requests that may wait.
    pub queue: u32,
}

#[derive(Clone, Debug)]
struct Entry {
    ticket: Ticket,
    flow: flow::Key,
    phase: Phase,
}

#[derive(Clone, Copy, Debug)]
enum Phase {
    /// The request is shed at this time, since it could no longer be answered by its deadline.
    Waiting { start_by: clock::Instant },
    Running {
        admitted: clock::Instant,
        charged: u64,
    },
}

/// Admission to one backend server.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use sequoiayoke_model::{clock, id, key};
/// use sequoiayoke_traffic::admission::gate;
///
/// let now = clock::Instant::from_micros(0);
/// let mut gate = gate::Gate::new(gate::Limits { slots: 1, queue: 8 }, now);
/// let ticket = gate::Ticket {
///     caller: id::Caller(1),
///     service: id::Service(1),
///     hash: key::Hash::new("", "kiosk-17"),
///     class: gate::Class::Interactive,
///     deadline: now + Duration::from_secs(1),
///     request: None,
/// };
/// let gate::Arrival::Admitted(first) = gate.arrive(now, &ticket) else {
///     panic!("a slot is free");
/// };
/// let gate::Arrival::Queued(second) = gate.arrive(now, &ticket) else {
///     panic!("the slot is taken");
/// };
/// let latency = Duration::from_millis(2);
/// let update = gate.finish(now + latency, first, latency, gate::Finish::Completed);
/// assert_eq!(update.admitted, [second]);
/// ```
#[derive(Clone, Debug)]
pub struct Gate {
    queue: usize,
    limit: limit::Limit,
    scheduler: flow::Scheduler,
    entries: slotmap::SlotMap<Key, Entry>,
    // The waiting requests, ordered by the time at which they are shed.
    expiry: collections::BTreeSet<(clock::Instant, Key)>,
    in_flight: u32,
    bulk_in_flight: u32,
    // Last time at which a request started or the server responded.
    last_progress: clock::Instant,
    // Last time at which the server responded.
    last_response: clock::Instant,
    // Last call of `expire`.
    last_expiry: clock::Instant,
    draining: bool,
}

impl Gate {
    /// Creates the gate of a backend server that started at `now` and is cold.
    pub fn new(limits: Limits, now: clock::Instant) -> Self {
        Self {
            queue: limits.queue as usize,
            limit: limit::Limit::new(limits.slots, now),
            scheduler: flow::Scheduler::new(),
            entries: slotmap::SlotMap::with_key(),
            expiry: collections::BTreeSet::new(),
            in_flight: 0,
            bulk_in_flight: 0,
            last_progress: now,
            last_response: now,
            last_expiry: now,
            draining: false,
        }
    }

    /// Decides about an arriving request.
    pub fn arrive(&mut self, now: clock::Instant, ticket: &Ticket) -> Arrival {
        if self.draining {
            return Arrival::Shed(outcome::Reason::Draining);
        }
        if ticket.deadline <= now {
            return Arrival::Shed(outcome::Reason::Deadline);
        }
        let active = self.queue + self.limit.slots() as usize;
        let flow = self
            .scheduler
            .find_or_insert(now, flow::Id::new(ticket), active);
        let bulk = self.bulk_allowed(now);
        let allowed = bulk || ticket.class != Class::Bulk;
        if self.has_slot(now) && allowed && self.scheduler.next(bulk).is_none() {
            return Arrival::Admitted(self.insert_running(now, ticket, flow));
        }
        if !self.may_queue(now, ticket, flow) {
            return Arrival::Shed(outcome::Reason::Overload);
        }
        Arrival::Queued(self.insert_waiting(ticket, flow))
    }

    fn may_queue(&self, now: clock::Instant, ticket: &Ticket, flow: flow::Key) -> bool {
        if self.is_blocked(now) {
            return false;
        }
        let limit = match ticket.class {
            Class::Interactive => self.limit.current(now),
            Class::Bulk => self.bulk_limit(now),
        };
        let expected = self
            .scheduler
            .expected(flow, ticket.hash, ticket.deadline, limit);
        self.scheduler.has_room(flow, ticket.hash, self.queue) && now + expected <= ticket.deadline
    }

    fn insert_running(&mut self, now: clock::Instant, ticket: &Ticket, flow: flow::Key) -> Key {
        let key = self.entries.insert(Entry {
            ticket: *ticket,
            flow,
            phase: Phase::Waiting { start_by: now },
        });
        self.start(now, key);
        key
    }

    fn insert_waiting(&mut self, ticket: &Ticket, flow: flow::Key) -> Key {
        let fastest = self.scheduler.fastest(flow).as_micros() as u64;
        let start_by = ticket.deadline.as_micros().saturating_sub(fastest);
        let start_by = clock::Instant::from_micros(start_by);
        let key = self.entries.insert(Entry {
            ticket: *ticket,
            flow,
            phase: Phase::Waiting { start_by },
        });
        self.scheduler.push(flow, ticket.hash, ticket.deadline, key);
        self.expiry.insert((start_by, key));
        key
    }

    /// Ends a request in flight; `latency` is its time at the backend server.
    ///
    /// A key that is not in flight has no effect.
    pub fn finish(
        &mut self,
        now: clock::Instant,
        key: Key,
        latency: Duration,
        finish: Finish,
    ) -> Update {
        if let Some(entry) = self.entries.get(key)
            && let Phase::Running { admitted, charged } = entry.phase
        {
            let (flow, class) = (entry.flow, entry.ticket.class);
            self.adapt_limit(now, flow, admitted, latency, finish);
            self.entries.remove(key);
            self.in_flight -= 1;
            self.bulk_in_flight -= u32::from(class == Class::Bulk);
            let held = now.saturating_since(admitted);
            self.scheduler.finish_request(flow, charged, held);
        }
        self.expire(now)
    }

    /// Adapts the limit to how a request ended.
    fn adapt_limit(
        &mut self,
        now: clock::Instant,
        flow: flow::Key,
        admitted: clock::Instant,
        latency: Duration,
        finish: Finish,
    ) {
        match finish {
            Finish::Completed => {
                let busy = self.in_flight * 2 >= self.limit.current(now);
                let slow = self.scheduler.record_response(flow, latency);
                self.limit.record_response(now, admitted, slow, busy);
                self.mark_responsive(now);
            }
            Finish::Refused => {
                self.limit.record_refusal(now, admitted);
                self.mark_responsive(now);
            }
            // A timeout before the usual latency may be due to a short deadline alone.
            Finish::TimedOut if latency >= self.scheduler.mean(flow) => {
                self.limit.record_timeout(now, admitted);
            }
            // Callers that stop waiting for a frozen server withdraw their requests.
            Finish::Withdrawn if latency >= self.max_wait(flow) => {
                self.limit.record_timeout(now, admitted);
            }
            Finish::TimedOut | Finish::Withdrawn | Finish::Failed => {}
        }
    }

    /// Withdraws a request, waiting or in flight.
    pub fn cancel(&mut self, now: clock::Instant, key: Key) -> Update {
        match self.entries.get(key).map(|entry| entry.phase) {
            Some(Phase::Running { admitted, .. }) => {
                let held = now.saturating_since(admitted);
                self.finish(now, key, held, Finish::Withdrawn)
            }
            Some(Phase::Waiting { .. }) => {
                self.remove_waiting(key);
                self.expire(now)
            }
            None => self.expire(now),
        }
    }

    /// Sheds the waiting requests whose time has passed and starts those that may start.
    pub fn expire(&mut self, now: clock::Instant) -> Update {
        let mut update = Update::default();
        while let Some((start_by, key)) = self.expiry.first().copied() {
            if start_by > now {
                break;
            }
            self.remove_waiting(key);
            update.shed.push((key, outcome::Reason::Deadline));
        }
        while self.has_slot(now)
            && let Some(key) = self.scheduler.next(self.bulk_allowed(now))
        {
            self.start(now, key);
            update.admitted.push(key);
        }
        self.last_expiry = now;
        if self.is_blocked(now) {
            self.shed_waiting(outcome::Reason::Overload, &mut update);
        }
        update
    }

    /// Returns when [`Gate::expire`] has to be called next, or `None` if nothing waits.
    pub fn next_deadline(&self) -> Option<clock::Instant> {
        let (start_by, _) = *self.expiry.first()?;
        let now = self.last_expiry;
        let step = self.limit.next_ramp_step(now).unwrap_or(start_by);
        let stall = self.next_stall(now).unwrap_or(start_by);
        Some(start_by.min(step).min(stall))
    }

    /// Returns when a stall can be detected next. The time is after `now` unless the server
    /// is stalled now.
    fn next_stall(&self, now: clock::Instant) -> Option<clock::Instant> {
        let earliest = self.last_progress + STALL_MIN;
        if self.has_slot(now) {
            None
        } else if earliest > now {
            Some(earliest)
        } else {
            Some(self.last_progress + self.stall_after())
        }
    }

    /// Sheds the waiting requests, and new ones from now on.
    pub fn drain(&mut self) -> Update {
        self.draining = true;
        let mut update = Update::default();
        self.shed_waiting(outcome::Reason::Draining, &mut update);
        update
    }

    /// Ends a drain.
    pub fn resume(&mut self) {
        self.draining = false;
    }

    /// Changes the number of slots, for a server that has announced itself again.
    pub fn resize(&mut self, now: clock::Instant, slots: u32) -> Update {
        self.limit.resize(slots);
        self.expire(now)
    }

    /// Iterates over the requests in flight, for the report at the end of a drain.
    pub fn in_flight(&self) -> impl Iterator<Item = (Key, &Ticket)> {
        let running = |entry: &Entry| matches!(entry.phase, Phase::Running { .. });
        let entries = self.entries.iter();
        entries.filter_map(move |(key, entry)| running(entry).then_some((key, &entry.ticket)))
    }

    /// Returns the number of requests in flight.
    pub const fn running(&self) -> u32 {
        self.in_flight
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> u32 {
        self.scheduler.waiting() as u32
    }

    /// Returns the concurrency limit at `now`, from 1 to the number of slots.
    pub fn limit(&self, now: clock::Instant) -> u32 {
        self.limit.current(now)
    }

    /// Returns whether the backend server has stopped responding, so that nothing is queued.
    pub fn is_blocked(&self, now: clock::Instant) -> bool {
        self.limit.is_frozen() || self.is_stalled(now)
    }

    /// Returns whether requests are overdue or timed out recently, and none was answered
    /// since they started.
    ///
    /// Unlike [`Gate::is_blocked`] this does not require all slots to be in use, so it
    /// also detects a frozen server under low load. It visits every request in the
    /// gate, so it is meant for periodic reports and not for each request.
    pub fn is_unresponsive(&self, now: clock::Instant) -> bool {
        let recent = now.saturating_since(self.last_progress) < TIMEOUT_AGE_MAX;
        if self.limit.is_frozen() && recent {
            return true;
        }
        let overdue = |entry: &&Entry| match entry.phase {
            Phase::Running { admitted, .. } => {
                let waited = now.saturating_since(admitted);
                admitted >= self.last_response && waited >= self.max_wait(entry.flow)
            }
            Phase::Waiting { .. } => false,
        };
        let count = self.entries.values().filter(overdue).count();
        count >= UNRESPONSIVE_MIN.min(self.limit.slots() as usize)
    }

    fn mark_responsive(&mut self, now: clock::Instant) {
        self.last_progress = now;
        self.last_response = now;
    }

    fn has_slot(&self, now: clock::Instant) -> bool {
        self.in_flight < self.limit.current(now)
    }

    fn bulk_allowed(&self, now: clock::Instant) -> bool {
        self.bulk_in_flight < self.bulk_limit(now)
    }

    /// Returns the slots that bulk requests may use; the rest stay free for interactive ones.
    fn bulk_limit(&self, now: clock::Instant) -> u32 {
        let limit = self.limit.current(now);
        let reserved = limit.div_ceil(INTERACTIVE_SLOT_RATIO);
        limit.saturating_sub(reserved).max(1)
    }

    fn is_stalled(&self, now: clock::Instant) -> bool {
        let idle = now.saturating_since(self.last_progress);
        idle >= STALL_MIN && !self.has_slot(now) && idle >= self.stall_after()
    }

    /// Returns the time without a response after which a request in flight is overdue.
    fn stall_after(&self) -> Duration {
        let running = self.in_flight();
        let max_wait = running.map(|(key, _)| self.max_wait(self.entries[key].flow));
        max_wait.min().unwrap_or(STALL_MIN)
    }

    /// Returns the time after which a request of the flow is overdue.
    fn max_wait(&self, flow: flow::Key) -> Duration {
        STALL_MIN.max(self.scheduler.mean(flow).saturating_mul(STALL_FACTOR))
    }

    fn start(&mut self, now: clock::Instant, key: Key) {
        self.remove_from_queue(key);
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        let charged = self.scheduler.start_request(entry.flow, entry.ticket.hash);
        let admitted = now;
        entry.phase = Phase::Running { admitted, charged };
        self.in_flight += 1;
        self.bulk_in_flight += u32::from(entry.ticket.class == Class::Bulk);
        self.last_progress = now;
    }

    fn remove_from_queue(&mut self, key: Key) {
        if let Some(entry) = self.entries.get(key)
            && let Phase::Waiting { start_by } = entry.phase
        {
            let ticket = &entry.ticket;
            self.scheduler
                .remove(entry.flow, ticket.hash, ticket.deadline, key);
            self.expiry.remove(&(start_by, key));
        }
    }

    fn remove_waiting(&mut self, key: Key) {
        self.remove_from_queue(key);
        self.entries.remove(key);
    }

    fn shed_waiting(&mut self, reason: outcome::Reason, update: &mut Update) {
        while let Some((_, key)) = self.expiry.first().copied() {
            self.remove_waiting(key);
            update.shed.push((key, reason));
        }
    }
}
