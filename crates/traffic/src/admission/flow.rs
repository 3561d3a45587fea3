//! Fair queue between flows: start-time fair queueing by slot time.
//!
//! A flow is the requests of one caller for one service in one class. Each flow
//! has a tag that advances by the slot time that it uses; the waiting flow with
//! the smallest tag is served next. A flow that was idle starts at the virtual
//! time, the largest tag served so far, so it precedes busy flows but accumulates no
//! credit. Within a flow, its keys share the slots (see [`super::key_queue`]).

use std::collections;
use std::time::Duration;

use sequoiayoke_model::{clock, id, key};

use super::{gate, key_queue};

slotmap::new_key_type! {
    pub(super) struct Key;
}

/// Idle flows that are kept so that their latency is known when they return.
const IDLE_FLOWS: usize = 64;
/// Assumed latency of an interactive request before the first response.
const LATENCY_INTERACTIVE: Duration = Duration::from_millis(10);
/// Assumed latency of a bulk request before the first response.
const LATENCY_BULK: Duration = Duration::from_secs(1);
/// Largest distance of a tag from the virtual time, in microseconds of slot time. It
/// bounds how long a flow waits for the others after a slow request of its own.
const DEBT_MAX: u64 = 1_000_000;
/// Responses count as slow above this multiple of the long-term mean plus `SLOW_SLACK`.
const SLOW_FACTOR: f64 = 2.0;
/// Slack in microseconds, so that jitter of short requests does not count as slow.
const SLOW_SLACK: f64 = 5_000.0;
/// Weight of a response in the short-term mean. It is low because several kinds of
/// request with different latencies share a flow.
const SHORT_WEIGHT: f64 = 1.0 / 8.0;
/// Weight of a response in the long-term mean.
const LONG_WEIGHT: f64 = 1.0 / 256.0;

/// Identity of a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Id {
    pub(super) caller: id::Caller,
    pub(super) service: id::Service,
    pub(super) class: gate::Class,
}

impl Id {
    pub(super) const fn new(ticket: &gate::Ticket) -> Self {
        Self {
            caller: ticket.caller,
            service: ticket.service,
            class: ticket.class,
        }
    }
}

/// Latency of a flow, in microseconds.
#[derive(Clone, Copy, Debug)]
struct Latency {
    short: f64,
    long: f64,
    fastest: f64,
}

impl Latency {
    fn add(&mut self, sample: f64, first: bool) {
        if first {
            *self = Self {
                short: sample,
                long: sample,
                fastest: sample,
            };
            return;
        }
        self.short += (sample - self.short) * SHORT_WEIGHT;
        self.long += (sample - self.long) * LONG_WEIGHT;
        // The minimum rises slowly, so that it follows a lasting increase.
        self.fastest = sample.min(self.fastest * (1.0 + LONG_WEIGHT));
    }
}

#[derive(Clone, Debug)]
struct Flow {
    id: Id,
    tag: u64,
    last_used: clock::Instant,
    in_flight: u32,
    queues: key_queue::Queues,
    latency: Latency,
    has_sample: bool,
}

impl Flow {
    fn cost(&self) -> u64 {
        (self.latency.short as u64).clamp(1, DEBT_MAX)
    }
}

/// The flows of one gate.
#[derive(Clone, Debug)]
pub(super) struct Scheduler {
    flows: slotmap::SlotMap<Key, Flow>,
    keys: collections::HashMap<Id, Key>,
    // Flows with a queue, by tag.
    ready: collections::BTreeSet<(u64, Key)>,
    virtual_time: u64,
    waiting: usize,
}

impl Scheduler {
    pub(super) fn new() -> Self {
        Self {
            flows: slotmap::SlotMap::with_key(),
            keys: collections::HashMap::new(),
            ready: collections::BTreeSet::new(),
            virtual_time: 0,
            waiting: 0,
        }
    }

    /// Returns the number of waiting requests.
    pub(super) const fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the flow, and adds it if it is new; `active` bounds the flows in use.
    pub(super) fn find_or_insert(&mut self, now: clock::Instant, id: Id, active: usize) -> Key {
        if let Some(key) = self.keys.get(&id) {
            self.flows[*key].last_used = now;
            return *key;
        }
        if self.flows.len() >= active + IDLE_FLOWS {
            self.evict_idle();
        }
        let mean = match id.class {
            gate::Class::Interactive => LATENCY_INTERACTIVE,
            gate::Class::Bulk => LATENCY_BULK,
        };
        let mean = mean.as_micros() as f64;
        let key = self.flows.insert(Flow {
            id,
            tag: self.virtual_time,
            last_used: now,
            in_flight: 0,
            queues: key_queue::Queues::default(),
            latency: Latency {
                short: mean,
                long: mean,
                fastest: 0.0,
            },
            has_sample: false,
        });
        self.keys.insert(id, key);
        key
    }

    fn evict_idle(&mut self) {
        let is_idle = |flow: &Flow| flow.in_flight == 0 && flow.queues.is_empty();
        let candidates = self.flows.iter().filter(|(_, flow)| is_idle(flow));
        let oldest = candidates.min_by_key(|(_, flow)| flow.last_used);
        if let Some((key, id)) = oldest.map(|(key, flow)| (key, flow.id)) {
            self.flows.remove(key);
            self.keys.remove(&id);
        }
    }

    /// Returns whether a request of this flow and key may still be queued.
    ///
    /// A flow may use no more places of the queue than remain for all others, so that
    /// no flow can fill the queue alone. The same holds for one key among the places
    /// of its flow.
    pub(super) fn has_room(&self, key: Key, hash: key::Hash, places: usize) -> bool {
        let queues = &self.flows[key].queues;
        let places = places.saturating_sub(self.waiting);
        queues.key_len(hash) < places.saturating_sub(queues.len())
    }

    /// Returns the shortest recent latency; zero before the first response.
    pub(super) fn fastest(&self, key: Key) -> Duration {
        Duration::from_micros(self.flows[key].latency.fastest as u64)
    }

    /// Estimates the time until a request with this deadline has been answered, if
    /// it is queued now and `limit` requests run at once.
    pub(super) fn expected(
        &self,
        key: Key,
        hash: key::Hash,
        deadline: clock::Instant,
        limit: u32,
    ) -> Duration {
        let flow = &self.flows[key];
        let ahead = flow.queues.ahead(hash, deadline) as u64;
        let own_work = ahead.saturating_mul(flow.cost());
        let tag = self.start_tag(flow).saturating_add(own_work);
        let other_flows = self.ready.iter().filter(|(_, other)| *other != key);
        let other_work: u64 = other_flows
            .map(|(start_tag, other)| {
                let other = &self.flows[*other];
                let queued = other.cost().saturating_mul(other.queues.len() as u64);
                queued.min(tag.saturating_sub(*start_tag) + other.cost())
            })
            .sum();
        let wait = (own_work + other_work) / u64::from(limit);
        Duration::from_micros(wait + flow.latency.short as u64)
    }

    /// Adds a waiting request.
    pub(super) fn push(
        &mut self,
        key: Key,
        hash: key::Hash,
        deadline: clock::Instant,
        request: gate::Key,
    ) {
        let start_tag = self.start_tag(&self.flows[key]);
        let flow = &mut self.flows[key];
        if flow.queues.is_empty() {
            flow.tag = start_tag;
            self.ready.insert((start_tag, key));
        }
        flow.queues.push(hash, deadline, request);
        self.waiting += 1;
    }

    /// Removes a waiting request.
    pub(super) fn remove(
        &mut self,
        key: Key,
        hash: key::Hash,
        deadline: clock::Instant,
        request: gate::Key,
    ) {
        let flow = &mut self.flows[key];
        if flow.queues.remove(hash, deadline, request) {
            self.waiting -= 1;
            if flow.queues.is_empty() {
                self.ready.remove(&(flow.tag, key));
            }
        }
    }

    /// Returns the waiting request that is served next; `bulk` if it may be a bulk request.
    pub(super) fn next(&self, bulk: bool) -> Option<gate::Key> {
        let allowed = |key: &Key| bulk || self.flows[*key].id.class != gate::Class::Bulk;
        let (_, key) = self.ready.iter().find(|(_, key)| allowed(key))?;
        self.flows[*key].queues.first()
    }

    /// Charges a request that starts now and returns the charge.
    pub(super) fn start_request(&mut self, key: Key, hash: key::Hash) -> u64 {
        let start_tag = self.start_tag(&self.flows[key]);
        self.virtual_time = self.virtual_time.max(start_tag);
        let cost = self.flows[key].cost();
        self.flows[key].queues.advance(hash);
        self.flows[key].in_flight += 1;
        self.set_tag(key, start_tag.saturating_add(cost));
        cost
    }

    /// Replaces the charge of a request that has ended by the time that it held a slot.
    pub(super) fn finish_request(&mut self, key: Key, charged: u64, held: Duration) {
        let held = (held.as_micros() as u64).min(DEBT_MAX);
        let flow = &mut self.flows[key];
        flow.in_flight = flow.in_flight.saturating_sub(1);
        let tag = flow.tag.saturating_sub(charged).saturating_add(held);
        // A charge that was too high gives no credit: flows that wait at the virtual
        // time are served first.
        let tag = tag.max(self.virtual_time + 1);
        self.set_tag(key, tag);
    }

    /// Records the latency of a response and returns whether responses became slow.
    pub(super) fn record_response(&mut self, key: Key, latency: Duration) -> bool {
        let flow = &mut self.flows[key];
        flow.latency
            .add(latency.as_micros() as f64, !flow.has_sample);
        flow.has_sample = true;
        let Latency { short, long, .. } = flow.latency;
        // The latency of a bulk request depends on its body more than on the load.
        flow.id.class == gate::Class::Interactive && short > long * SLOW_FACTOR + SLOW_SLACK
    }

    /// Returns the long-term mean latency of the flow.
    pub(super) fn mean(&self, key: Key) -> Duration {
        Duration::from_micros(self.flows[key].latency.long as u64)
    }

    fn start_tag(&self, flow: &Flow) -> u64 {
        flow.tag
            .clamp(self.virtual_time, self.virtual_time + DEBT_MAX)
    }

    fn set_tag(&mut self, key: Key, tag: u64) {
        let flow = &mut self.flows[key];
        let is_waiting = !flow.queues.is_empty();
        if is_waiting {
            self.ready.remove(&(flow.tag, key));
        }
        flow.tag = tag;
        if is_waiting {
            self.ready.insert((tag, key));
        }
    }
}
