//! Places among the requests that run at the backend server.

use std::cell;
use std::rc;
use std::time::Duration;

use sequoiayoke_catalog::slice;
use sequoiayoke_dispatch::admission;
use sequoiayoke_model::clock;
use tokio::sync::oneshot;

use super::Backend;

/// Where the turn of a request goes, and whether it has come.
pub(super) type Waiter = (oneshot::Sender<Turn>, rc::Rc<cell::Cell<bool>>);

#[derive(Debug)]
pub(super) enum Turn {
    Start,
    Refuse(Duration),
}

/// A place among the requests that run; it is freed when dropped.
pub(super) struct Slot<'a> {
    backend: &'a Backend,
    key: Option<slice::Key>,
    class: u64,
    pub(super) start: clock::Instant,
    pub(super) is_observed: bool,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        let now = clock::Instant::now();
        let ran = now.saturating_since(self.start);
        if self.is_observed {
            self.backend.gate.borrow_mut().observe(self.class, ran);
        }
        if let Some(key) = self.key {
            let mut usage = self.backend.usage.borrow_mut();
            usage.add(key, ran.as_secs_f64());
        }
        let releases = self.backend.gate.borrow_mut().finish(now);
        self.backend.carry_out(releases);
    }
}

/// A place among the requests that wait; it is given up when dropped.
struct Waiting<'a> {
    backend: &'a Backend,
    ticket: Option<admission::Ticket>,
    has_started: rc::Rc<cell::Cell<bool>>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket else {
            return;
        };
        self.backend.waiting.borrow_mut().remove(&ticket);
        self.backend.gate.borrow_mut().cancel(ticket);
        if self.has_started.get() {
            // The turn had come and nobody is there to take it.
            let releases = self.backend.gate.borrow_mut().finish(clock::Instant::now());
            self.backend.carry_out(releases);
        }
    }
}

impl Backend {
    pub(super) fn carry_out(&self, releases: Vec<admission::Release>) {
        for release in releases {
            let (ticket, turn) = match release {
                admission::Release::Start(ticket) => (ticket, Turn::Start),
                admission::Release::Refuse(ticket, after) => (ticket, Turn::Refuse(after)),
            };
            let waiter = self.waiting.borrow_mut().remove(&ticket);
            let Some((sender, has_started)) = waiter else {
                continue;
            };
            has_started.set(matches!(turn, Turn::Start));
            if sender.send(turn).is_err() {
                // `Waiting` of the request frees the place.
                tracing::trace!("a request gave up as its turn came");
            }
        }
    }

    /// Waits for a place among the requests that run.
    pub(super) async fn enter(
        &self,
        now: clock::Instant,
        offer: admission::Offer,
        key: Option<slice::Key>,
    ) -> Result<Slot<'_>, Duration> {
        let verdict = self.gate.borrow_mut().offer(now, offer);
        match verdict {
            admission::Decision::Start => {}
            admission::Decision::Refuse(after) => return Err(after),
            admission::Decision::Wait(ticket) => {
                let turn = self.wait(ticket);
                let evicted = self.gate.borrow_mut().evict(now);
                self.carry_out(evicted);
                turn.await?;
            }
        }
        Ok(Slot {
            backend: self,
            key,
            class: offer.class,
            start: clock::Instant::now(),
            is_observed: false,
        })
    }

    /// Waits until the gate names `ticket`.
    fn wait(
        &self,
        ticket: admission::Ticket,
    ) -> impl Future<Output = Result<(), Duration>> + use<'_> {
        let (sender, turn) = oneshot::channel();
        let has_started = rc::Rc::new(cell::Cell::new(false));
        let entry = (sender, rc::Rc::clone(&has_started));
        self.waiting.borrow_mut().insert(ticket, entry);
        let waiting = Waiting {
            backend: self,
            ticket: Some(ticket),
            has_started,
        };
        async move {
            // Moves the whole value, which gives up the place when it is dropped.
            let mut waiting = waiting;
            let turn = turn.await;
            waiting.ticket = None;
            match turn {
                Ok(Turn::Start) => Ok(()),
                Ok(Turn::Refuse(after)) => Err(after),
                Err(_) => Err(Duration::ZERO),
            }
        }
    }
}
