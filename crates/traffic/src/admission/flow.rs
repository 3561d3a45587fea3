//! Fair queue between flows: start-time fair queueing by slot time.
//!
//! A flow is the requests of one caller for one service in one class. Each flow
//! has a tag that advances by the slot time that it uses; the waiting flow with
//! the smallest tag is next. A flow that was idle starts at the tag served
//! last, so it gets ahead of busy flows but saves up no credit. Within a flow,
//! keys take turns (see [`super::lane`]).

use std::collections;
use std::time::Duration;

use sequoiayoke_model::{clock, id, key};

use super::{gate, lane};

slotmap::new_key_type! {
    pub(super) struct Key;
}

/// Idle flows that are kept for their latency.
const IDLE_FLOWS: usize = 64;
/// Latency of an interactive request before the first response.
const LATENCY_INTERACTIVE: Duration = Duration::from_millis(10);
/// Latency of a bulk request before the first response.
const LATENCY_BULK: Duration = Duration::from_secs(1);
/// Largest distance of a tag from the tag served last. It bounds how long a
/// flow waits for the others after a slow request of its own.
const DEBT_MAX: u64 = 1_000_000;
/// Responses count as slow above this multiple of the long-term mean ...
const SLOW_FACTOR: f64 = 2.0;
/// ... and this much, so that jitter of short requests is no evidence.
const SLOW_SLACK: f64 = 5_000.0;
/// Weight of a response in the short-term mean; several kinds of request
/// share a flow, so a single one says little.
const SHORT_WEIGHT: f64 = 1.0 / 8.0;
/// Weight of a response in the long-term mean.
const LONG_WEIGHT: f64 = 1.0 / 256.0;

/// What tells flows apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Name {
    pub(super) caller: id::Caller,
    pub(super) service: id::Service,
    pub(super) class: gate::Class,
}

impl Name {
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
        // The minimum rises slowly, so that it follows a lasting change.
        self.fastest = sample.min(self.fastest * (1.0 + LONG_WEIGHT));
    }
}

#[derive(Clone, Debug)]
struct Flow {
    name: Name,
    tag: u64,
    used: clock::Instant,
    in_flight: u32,
    queue: lane::Lanes,
    latency: Latency,
    sampled: bool,
}

impl Flow {
    fn cost(&self) -> u64 {
        (self.latency.short as u64).clamp(1, DEBT_MAX)
    }
}

/// The flows of one gate.
#[derive(Clone, Debug)]
pub(super) struct Fair {
    flows: slotmap::SlotMap<Key, Flow>,
    names: collections::HashMap<Name, Key>,
    // Flows with a queue, by tag.
    ready: collections::BTreeSet<(u64, Key)>,
    served: u64,
    waiting: usize,
}

impl Fair {
    pub(super) fn new() -> Self {
        Self {
            flows: slotmap::SlotMap::with_key(),
            names: collections::HashMap::new(),
            ready: collections::BTreeSet::new(),
            served: 0,
            waiting: 0,
        }
    }

    /// Number of waiting requests.
    pub(super) const fn waiting(&self) -> usize {
        self.waiting
    }

    /// Finds the flow or makes it; `active` bounds the flows that are in use.
    pub(super) fn find(&mut self, now: clock::Instant, name: Name, active: usize) -> Key {
        if let Some(key) = self.names.get(&name) {
            self.flows[*key].used = now;
            return *key;
        }
        if self.flows.len() >= active + IDLE_FLOWS {
            self.drop_idle();
        }
        let mean = match name.class {
            gate::Class::Interactive => LATENCY_INTERACTIVE,
            gate::Class::Bulk => LATENCY_BULK,
        };
        let mean = mean.as_micros() as f64;
        let key = self.flows.insert(Flow {
            name,
            tag: self.served,
            used: now,
            in_flight: 0,
            queue: lane::Lanes::default(),
            latency: Latency {
                short: mean,
                long: mean,
                fastest: 0.0,
            },
            sampled: false,
        });
        self.names.insert(name, key);
        key
    }

    fn drop_idle(&mut self) {
        let idle = |flow: &Flow| flow.in_flight == 0 && flow.queue.is_empty();
        let candidates = self.flows.iter().filter(|(_, flow)| idle(flow));
        let oldest = candidates.min_by_key(|(_, flow)| flow.used);
        if let Some((key, name)) = oldest.map(|(key, flow)| (key, flow.name)) {
            self.flows.remove(key);
            self.names.remove(&name);
        }
    }

    /// Places of the queue that one flow may still take: no more than are left
    /// for all others, so that no flow can fill the queue alone; and likewise for
    /// one key among the places of its flow.
    pub(super) fn has_room(&self, key: Key, hash: key::Hash, places: usize) -> bool {
        let queue = &self.flows[key].queue;
        let places = places.saturating_sub(self.waiting);
        queue.len_of(hash) < places.saturating_sub(queue.len())
    }

    /// Shortest latency seen lately; zero before the first response.
    pub(super) fn fastest(&self, key: Key) -> Duration {
        Duration::from_micros(self.flows[key].latency.fastest as u64)
    }

    /// Expected time until a request with this deadline has been answered, if
    /// it is queued now and `limit` requests run at once.
    pub(super) fn expected(
        &self,
        key: Key,
        hash: key::Hash,
        deadline: clock::Instant,
        limit: u32,
    ) -> Duration {
        let flow = &self.flows[key];
        let ahead = flow.queue.ahead(hash, deadline) as u64;
        let own = ahead.saturating_mul(flow.cost());
        let tag = self.start(flow).saturating_add(own);
        let others = self.ready.iter().filter(|(_, other)| *other != key);
        let before: u64 = others
            .map(|(start, other)| {
                let other = &self.flows[*other];
                let queued = other.cost().saturating_mul(other.queue.len() as u64);
                queued.min(tag.saturating_sub(*start) + other.cost())
            })
            .sum();
        let wait = (own + before) / u64::from(limit);
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
        let start = self.start(&self.flows[key]);
        let flow = &mut self.flows[key];
        if flow.queue.is_empty() {
            flow.tag = start;
            self.ready.insert((start, key));
        }
        flow.queue.push(hash, deadline, request);
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
        if flow.queue.remove(hash, deadline, request) {
            self.waiting -= 1;
            if flow.queue.is_empty() {
                self.ready.remove(&(flow.tag, key));
            }
        }
    }

    /// Returns the waiting request that is next; `bulk` if one of that class may be.
    pub(super) fn next(&self, bulk: bool) -> Option<gate::Key> {
        let allowed = |key: &Key| bulk || self.flows[*key].name.class != gate::Class::Bulk;
        let (_, key) = self.ready.iter().find(|(_, key)| allowed(key))?;
        self.flows[*key].queue.first()
    }

    /// Charges a request that starts now and returns the charge.
    pub(super) fn start_one(&mut self, key: Key, hash: key::Hash) -> u64 {
        let start = self.start(&self.flows[key]);
        self.served = self.served.max(start);
        let cost = self.flows[key].cost();
        self.flows[key].queue.started(hash);
        self.flows[key].in_flight += 1;
        self.set_tag(key, start.saturating_add(cost));
        cost
    }

    /// Ends a request that was charged `charged` and held a slot for `held`.
    pub(super) fn end_one(&mut self, key: Key, charged: u64, held: Duration) {
        let held = (held.as_micros() as u64).min(DEBT_MAX);
        let flow = &mut self.flows[key];
        flow.in_flight = flow.in_flight.saturating_sub(1);
        let tag = flow.tag.saturating_sub(charged).saturating_add(held);
        // What was charged too much is no credit: flows that wait at the tag served
        // last go first.
        let tag = tag.max(self.served + 1);
        self.set_tag(key, tag);
    }

    /// Takes the latency of a response and tells whether responses became slow.
    pub(super) fn answered(&mut self, key: Key, latency: Duration) -> bool {
        let flow = &mut self.flows[key];
        flow.latency.add(latency.as_micros() as f64, !flow.sampled);
        flow.sampled = true;
        let Latency { short, long, .. } = flow.latency;
        // The length of a bulk request depends on its body, not on the load.
        flow.name.class == gate::Class::Interactive && short > long * SLOW_FACTOR + SLOW_SLACK
    }

    /// Usual latency of the flow.
    pub(super) fn mean(&self, key: Key) -> Duration {
        Duration::from_micros(self.flows[key].latency.long as u64)
    }

    fn start(&self, flow: &Flow) -> u64 {
        flow.tag.clamp(self.served, self.served + DEBT_MAX)
    }

    fn set_tag(&mut self, key: Key, tag: u64) {
        let flow = &mut self.flows[key];
        let waits = !flow.queue.is_empty();
        if waits {
            self.ready.remove(&(flow.tag, key));
        }
        flow.tag = tag;
        if waits {
            self.ready.insert((tag, key));
        }
    }
}
