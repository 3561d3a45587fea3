//! Slots for requests that run at the backend server, and the queue for them.

use std::cell;
use std::rc;
use std::time::Duration;

use sequoiayoke_catalog::slice;
use sequoiayoke_dispatch::admission;
use sequoiayoke_model::clock;
use tokio::sync::oneshot;
use tokio::time;

use super::Backend;

/// Retry delay of a request that could not start in time: its caller has little time left.
const LATE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Sender for the admission of a queued request, and whether it was admitted.
pub(super) type Waiter = (oneshot::Sender<Admission>, rc::Rc<cell::Cell<bool>>);

#[derive(Debug)]
pub(super) enum Admission {
    Start,
    Refuse(Duration),
}

/// A slot for a running request; it is freed when dropped.
pub(super) struct Slot<'a> {
    backend: &'a Backend,
    key: Option<slice::Key>,
    class: u64,
    start: clock::Instant,
    /// Slowness of the backend server at the start.
    slowness: f64,
    pub(super) is_observed: bool,
}

impl Slot<'_> {
    /// Records that the request is sent now.
    pub(super) fn start(&mut self, now: clock::Instant) {
        self.start = now;
        self.slowness = self.backend.gate.borrow().speed().slowness(now);
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        let now = clock::Instant::now();
        let ran = now.saturating_since(self.start);
        if self.is_observed {
            let mut gate = self.backend.gate.borrow_mut();
            let slowness = (self.slowness + gate.speed().slowness(now)) / 2.0;
            gate.observe(self.class, ran, slowness);
        }
        if let Some(key) = self.key {
            let mut usage = self.backend.usage.borrow_mut();
            usage.add(key, ran.as_secs_f64());
        }
        let releases = self.backend.gate.borrow_mut().finish(now);
        self.backend.apply_releases(releases);
    }
}

/// A place in the queue; it is released when dropped.
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
            // The request was admitted but dropped before it could run.
            let releases = self.backend.gate.borrow_mut().finish(clock::Instant::now());
            self.backend.apply_releases(releases);
        }
    }
}

impl Backend {
    pub(super) fn apply_releases(&self, releases: Vec<admission::Release>) {
        for release in releases {
            let (ticket, admission) = match release {
                admission::Release::Start(ticket) => (ticket, Admission::Start),
                admission::Release::Refuse(ticket, retry_after) => {
                    (ticket, Admission::Refuse(retry_after))
                }
            };
            let waiter = self.waiting.borrow_mut().remove(&ticket);
            let Some((sender, has_started)) = waiter else {
                continue;
            };
            has_started.set(matches!(admission, Admission::Start));
            if sender.send(admission).is_err() {
                // Dropping the request's `Waiting` frees the slot.
                tracing::trace!("a request was dropped as it was admitted");
            }
        }
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// Returns the retry delay if the request is refused.
    pub(super) async fn acquire_slot(
        &self,
        now: clock::Instant,
        offer: admission::Offer,
        key: Option<slice::Key>,
    ) -> Result<Slot<'_>, Duration> {
        let decision = self.gate.borrow_mut().offer(now, offer);
        match decision {
            admission::Decision::Start => {}
            admission::Decision::Refuse(retry_after) => return Err(retry_after),
            admission::Decision::Wait(ticket) => {
                let mut waiting = std::pin::pin!(self.wait(ticket));
                let evicted = self.gate.borrow_mut().evict(now);
                self.apply_releases(evicted);
                // No slot may become free: the backend server may not answer any request.
                let latest_start = self.gate.borrow().latest_start(now, &offer);
                let max_wait = now.saturating_until(latest_start);
                match time::timeout(max_wait, waiting.as_mut()).await {
                    Ok(admitted) => admitted?,
                    Err(_) => {
                        self.gate.borrow_mut().expire(ticket);
                        return Err(LATE_RETRY_DELAY);
                    }
                }
            }
        }
        Ok(Slot {
            backend: self,
            key,
            class: offer.class,
            start: clock::Instant::now(),
            slowness: 1.0,
            is_observed: false,
        })
    }

    /// Waits until the gate admits or refuses `ticket`.
    fn wait(
        &self,
        ticket: admission::Ticket,
    ) -> impl Future<Output = Result<(), Duration>> + use<'_> {
        let (sender, admission) = oneshot::channel();
        let has_started = rc::Rc::new(cell::Cell::new(false));
        let waiter = (sender, rc::Rc::clone(&has_started));
        self.waiting.borrow_mut().insert(ticket, waiter);
        let waiting = Waiting {
            backend: self,
            ticket: Some(ticket),
            has_started,
        };
        async move {
            // Moves the whole value into the future, so that dropping the future releases the
            // place.
            let mut waiting = waiting;
            let admission = admission.await;
            waiting.ticket = None;
            match admission {
                Ok(Admission::Start) => Ok(()),
                Ok(Admission::Refuse(retry_after)) => Err(retry_after),
                Err(_) => Err(Duration::ZERO),
            }
        }
    }
}
