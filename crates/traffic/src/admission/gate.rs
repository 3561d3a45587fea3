//! Bounded concurrency and a short queue in front of a backend server.

use std::collections;
use std::time::Duration;

use sequoiayoke_model::{clock, id, outcome, request};

slotmap::new_key_type! {
    /// A request inside the gate: waiting or in flight.
    pub struct Key;
}

/// Kind of load that a request puts on a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// A request with a small body.
    Interactive,
    /// An upload or download that holds a slot for long.
    Bulk,
}

/// What the gate needs to know about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// Caller; requests without one share `id::Caller(0)`.
    pub caller: id::Caller,
    /// Service that the request names.
    pub service: id::Service,
    /// Kind of load.
    pub class: Class,
    /// Time after which nobody waits for the response.
    pub deadline: clock::Instant,
    /// Id for reports, if the request has one.
    pub request: Option<request::Id>,
}

/// Decision about an arriving request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// It may be dispatched now.
    Admitted(Key),
    /// It waits; a later [`Turn`] admits or sheds it.
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
    /// The request was withdrawn or never dispatched: no evidence about load.
    Withdrawn,
}

/// Requests whose wait ended.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Turn {
    /// Requests that may be dispatched now.
    pub admitted: Vec<Key>,
    /// Requests that do not run, and why.
    pub shed: Vec<(Key, outcome::Reason)>,
}

/// Size of a gate.
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
    running: bool,
}

/// Admission to one backend server.
#[derive(Clone, Debug)]
pub struct Gate {
    limits: Limits,
    entries: slotmap::SlotMap<Key, Entry>,
    waiting: collections::BTreeSet<(clock::Instant, Key)>,
    in_flight: u32,
    draining: bool,
}

impl Gate {
    /// Makes the gate of a backend server that started at `now` and is cold.
    pub fn new(limits: Limits, now: clock::Instant) -> Self {
        let _ = now;
        Self {
            limits,
            entries: slotmap::SlotMap::with_key(),
            waiting: collections::BTreeSet::new(),
            in_flight: 0,
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
        let running = self.in_flight < self.limits.slots;
        if !running && self.waiting.len() >= self.limits.queue as usize {
            return Arrival::Shed(outcome::Reason::Overload);
        }
        let key = self.entries.insert(Entry {
            ticket: *ticket,
            running,
        });
        if running {
            self.in_flight += 1;
            Arrival::Admitted(key)
        } else {
            self.waiting.insert((ticket.deadline, key));
            Arrival::Queued(key)
        }
    }

    /// Ends a request in flight; `latency` is its time at the backend server.
    ///
    /// A key that is not in flight has no effect.
    pub fn finished(
        &mut self,
        now: clock::Instant,
        key: Key,
        latency: Duration,
        finish: Finish,
    ) -> Turn {
        let _ = (latency, finish);
        if self.entries.get(key).is_some_and(|entry| entry.running) {
            self.entries.remove(key);
            self.in_flight -= 1;
        }
        self.expire(now)
    }

    /// Withdraws a request, waiting or in flight.
    pub fn cancel(&mut self, now: clock::Instant, key: Key) -> Turn {
        if let Some(entry) = self.entries.remove(key) {
            match entry.running {
                true => self.in_flight -= 1,
                false => {
                    self.waiting.remove(&(entry.ticket.deadline, key));
                }
            }
        }
        self.expire(now)
    }

    /// Ends the waits whose deadline has passed.
    pub fn expire(&mut self, now: clock::Instant) -> Turn {
        let mut turn = Turn::default();
        while let Some((deadline, key)) = self.waiting.first().copied() {
            if deadline <= now {
                self.waiting.pop_first();
                self.entries.remove(key);
                turn.shed.push((key, outcome::Reason::Deadline));
            } else if self.in_flight < self.limits.slots {
                self.waiting.pop_first();
                if let Some(entry) = self.entries.get_mut(key) {
                    entry.running = true;
                }
                self.in_flight += 1;
                turn.admitted.push(key);
            } else {
                break;
            }
        }
        turn
    }

    /// Returns when [`Gate::expire`] has to be called next, if ever.
    pub fn next_deadline(&self) -> Option<clock::Instant> {
        self.waiting.first().map(|(deadline, _)| *deadline)
    }

    /// Refuses new requests from now on and sheds the waiting ones.
    pub fn drain(&mut self, now: clock::Instant) -> Turn {
        let _ = now;
        self.draining = true;
        let mut turn = Turn::default();
        for (_, key) in std::mem::take(&mut self.waiting) {
            self.entries.remove(key);
            turn.shed.push((key, outcome::Reason::Draining));
        }
        turn
    }

    /// Ends a drain.
    pub fn resume(&mut self, now: clock::Instant) {
        let _ = now;
        self.draining = false;
    }

    /// Changes the number of slots, for a server that announced itself anew.
    pub fn resize(&mut self, now: clock::Instant, slots: u32) -> Turn {
        self.limits.slots = slots.max(1);
        self.expire(now)
    }

    /// Iterates over the requests in flight, for the report at the end of a drain.
    pub fn in_flight(&self) -> impl Iterator<Item = (Key, &Ticket)> {
        let running = self.entries.iter().filter(|(_, entry)| entry.running);
        running.map(|(key, entry)| (key, &entry.ticket))
    }

    /// Returns the number of requests in flight.
    pub fn running(&self) -> u32 {
        self.in_flight
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Returns the present concurrency limit, from 1 to the number of slots.
    pub fn limit(&self) -> u32 {
        self.limits.slots
    }
}
