//! A bounded record of why slices changed hands.

use std::collections;

use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_model::range;

/// Events kept; the oldest are dropped first.
pub const MAX_EVENTS: usize = 8_192;

/// One change of a slice.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Event {
    /// Version at which it took effect.
    pub version: id::Version,
    /// Service of the slice.
    pub service: id::Service,
    /// Positions that the slice covered then.
    pub first: key::Hash,
    /// Last of these positions.
    pub last: key::Hash,
    /// What happened and why.
    pub cause: String,
}

/// The latest events of all services.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct History {
    events: collections::VecDeque<Event>,
}

impl History {
    /// Adds an event, and drops the oldest if the record is full.
    pub(crate) fn push(&mut self, event: Event) {
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }

    /// Iterates over the events of the slice around `hash`, latest first.
    pub fn events_of(&self, service: id::Service, hash: key::Hash) -> impl Iterator<Item = &Event> {
        self.events.iter().rev().filter(move |event| {
            let range = range::Range {
                first: event.first,
                last: event.last,
            };
            event.service == service && range.contains(hash)
        })
    }
}
