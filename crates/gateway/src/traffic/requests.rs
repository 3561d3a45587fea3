//! Requests of callers that the node has read and whose answers it has not written yet.
//!
//! Each request is registered until its answer is written or its caller has disconnected, so that a
//! node that stops can tell which requests it drops, and how far each had come.

use std::cell;
use std::rc;

use sequoiayoke_model::{clock, id};

slotmap::new_key_type! {
    /// A registered request.
    struct Key;
}

// Values of the log field and of the metrics label.
const ROUTING: &str = "routing";
const SENT: &str = "sent";
const ANSWERED: &str = "answered";

/// Progress of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The node chooses a backend server, or waits until there is one to choose.
    Routing,
    /// The request was sent to the node of this backend server, which has not replied.
    Sent(id::Server),
    /// The answer waits to be written.
    Answered,
}

impl Stage {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Routing => ROUTING,
            Self::Sent(_) => SENT,
            Self::Answered => ANSWERED,
        }
    }

    const fn server(self) -> Option<id::Server> {
        match self {
            Self::Sent(server) => Some(server),
            Self::Routing | Self::Answered => None,
        }
    }
}

#[derive(Debug)]
struct Request {
    id: Box<str>,
    service: Box<str>,
    stage: Stage,
    arrived: clock::Instant,
    deadline: Option<clock::Instant>,
}

/// Number of registered requests by stage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Count {
    /// Requests in [`Stage::Routing`].
    pub(crate) routing: usize,
    /// Requests in [`Stage::Sent`].
    pub(crate) sent: usize,
    /// Requests in [`Stage::Answered`].
    pub(crate) answered: usize,
}

impl Count {
    /// Returns the numbers with the values of their metrics label.
    pub(super) const fn by_stage(self) -> [(&'static str, usize); 3] {
        [
            (ROUTING, self.routing),
            (SENT, self.sent),
            (ANSWERED, self.answered),
        ]
    }
}

/// Registered requests.
#[derive(Debug, Default)]
pub(super) struct Requests {
    requests: cell::RefCell<slotmap::SlotMap<Key, Request>>,
}

impl Requests {
    /// Returns the number of requests by stage.
    pub(super) fn count(&self) -> Count {
        let mut count = Count::default();
        for request in self.requests.borrow().values() {
            match request.stage {
                Stage::Routing => count.routing += 1,
                Stage::Sent(_) => count.sent += 1,
                Stage::Answered => count.answered += 1,
            }
        }
        count
    }

    /// Logs up to `limit` registered requests, which the end of the process drops.
    pub(super) fn log_dropped(&self, now: clock::Instant, limit: usize) {
        for request in self.requests.borrow().values().take(limit) {
            let left = request
                .deadline
                .map(|deadline| now.saturating_until(deadline));
            tracing::warn!(
                id = &*request.id,
                service = &*request.service,
                stage = request.stage.as_str(),
                server = request.stage.server().map(|server| server.0),
                took_ms = now.saturating_since(request.arrived).as_millis() as u64,
                left_ms = left.map(|left| left.as_millis() as u64),
                "dropped a request at the end of the process"
            );
        }
    }
}

/// Registration of one request, which ends when it is dropped.
#[derive(Debug)]
pub(super) struct Registration {
    requests: rc::Rc<Requests>,
    key: Key,
}

impl Registration {
    pub(super) fn new(requests: &rc::Rc<Requests>, id: &str, arrived: clock::Instant) -> Self {
        let request = Request {
            id: id.into(),
            service: Box::default(),
            stage: Stage::Routing,
            arrived,
            deadline: None,
        };
        let key = requests.requests.borrow_mut().insert(request);
        Self {
            requests: rc::Rc::clone(requests),
            key,
        }
    }

    /// Records the route of the request.
    pub(super) fn set_route(&self, service: &str, deadline: clock::Instant) {
        if let Some(request) = self.requests.requests.borrow_mut().get_mut(self.key) {
            request.service = service.into();
            request.deadline = Some(deadline);
        }
    }

    pub(super) fn set_stage(&self, stage: Stage) {
        if let Some(request) = self.requests.requests.borrow_mut().get_mut(self.key) {
            request.stage = stage;
        }
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.requests.requests.borrow_mut().remove(self.key);
    }
}
