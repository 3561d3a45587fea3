//! A bounded history of the changes of slices and their causes.

use std::collections;

use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_model::range;

/// Maximum number of events kept; the oldest are dropped first.
pub const MAX_EVENTS: usize = 8_192;

/// One change of a slice.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Event {
    /// Version at which the change took effect.
    pub version: id::Version,
    /// Service of the slice.
    pub service: id::Service,
    /// First position that the slice covered at that version.
    pub first: key::Hash,
    /// Last position that the slice covered at that version.
    pub last: key::Hash,
    /// Description of the change and its cause.
    pub cause: String,
}

/// The latest events of all services.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct History {
    events: collections::VecDeque<Event>,
}

impl History {
    /// Adds an event, dropping the oldest if the history is full.
    pub(crate) fn push(&mut self, event: Event) {
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }

    /// Returns the events whose range contains `hash`, latest first.
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
