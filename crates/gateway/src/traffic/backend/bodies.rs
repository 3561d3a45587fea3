//! Bodies of requests, which arrive with the request or are fetched when it is likely to be
//! admitted.

use std::cell;
use std::time::Duration;

use bytes::Bytes;
use sequoiayoke_dispatch::{admission, transfer};
use sequoiayoke_link::peer;
use sequoiayoke_model::clock;
use tokio::sync::Semaphore;
use tokio::time;

use super::Backend;
use crate::traffic::serving;

/// Transfers of bodies to this node.
#[derive(Debug)]
pub(super) struct Transfers {
    link: cell::RefCell<transfer::Link>,
    permits: Semaphore,
}

impl Transfers {
    /// Creates the state of transfers over a link with this bandwidth, in bits per second.
    pub(super) fn new(bandwidth: f64) -> Self {
        Self {
            link: cell::RefCell::new(transfer::Link::new().with_bandwidth(bandwidth)),
            permits: Semaphore::new(transfer::MAX_RUNNING),
        }
    }

    /// Records the transfer time of one part of a body; returns the delay before the next part.
    pub(super) fn record_part(&self, took: Duration) -> Duration {
        self.link.borrow_mut().record_part(took)
    }

    /// Returns the load of the link.
    pub(super) fn load(&self) -> transfer::Load {
        self.link.borrow().load()
    }
}

/// A body whose transfer is queued or running; it counts as load until it is dropped.
struct Transfer<'a> {
    link: &'a cell::RefCell<transfer::Link>,
    bytes: u32,
    took: Option<(Duration, usize)>,
}

impl Drop for Transfer<'_> {
    fn drop(&mut self) {
        let (took, running) = self.took.unzip();
        let running = running.unwrap_or(1);
        self.link.borrow_mut().end(self.bytes, took, running);
    }
}

/// Reason why a request has no body.
pub(super) enum Refusal {
    /// Admission would refuse the request after the transfer; holds the retry delay.
    Full(Duration),
    /// The body would arrive too late; holds the retry delay.
    LinkFull(Duration),
    /// The body did not arrive in time, or the connection has ended.
    Missing,
}

impl Backend {
    /// Returns the body of a request. A deferred body is fetched only if the request is expected to
    /// run afterwards.
    pub(super) async fn body(
        &self,
        open: &peer::Open,
        pull: Option<&serving::Pull>,
        offer: &admission::Offer,
    ) -> Result<Option<Bytes>, Refusal> {
        let length = match &open.body {
            peer::Body::None => return Ok(None),
            peer::Body::Whole(bytes) => return Ok(Some(bytes.clone())),
            peer::Body::Later(length) => *length,
        };
        let pull = pull.ok_or(Refusal::Missing)?;
        let now = clock::Instant::now();
        let service = self.gate.borrow().service_time(now, offer.class);
        let link = &self.transfers.link;
        if let Some(retry_after) = self.gate.borrow().refusal(now, offer) {
            return Err(Refusal::Full(retry_after));
        }
        let (useful_until, deadline) = (offer.useful_until, offer.deadline);
        let link_refusal = link
            .borrow()
            .refusal(now + service, useful_until, deadline, length);
        if let Some(retry_after) = link_refusal {
            return Err(Refusal::LinkFull(retry_after));
        }
        let latest_begin = {
            let link = link.borrow();
            let latest = link.latest_arrival(now + service, useful_until, deadline, length);
            latest - service - link.transfer_time(length)
        };
        link.borrow_mut().begin(length);
        let mut transfer = Transfer {
            link,
            bytes: length,
            took: None,
        };
        // The transfers ahead may take longer than was expected when the body was accepted.
        let max_wait = now.saturating_until(latest_begin);
        let permit = time::timeout(max_wait, self.transfers.permits.acquire()).await;
        let Ok(Ok(permit)) = permit else {
            return Err(Refusal::LinkFull(link.borrow().expected_time(0)));
        };
        let start = clock::Instant::now();
        let latest_start = self.gate.borrow().latest_start(now, offer);
        let time_left = start.saturating_until(latest_start);
        let body = time::timeout(time_left, pull.fetch(length)).await;
        let body = body.ok().flatten().ok_or(Refusal::Missing)?;
        let took = clock::Instant::now().saturating_since(start);
        let available = self.transfers.permits.available_permits();
        transfer.took = Some((took, transfer::MAX_RUNNING - available));
        drop(permit);
        Ok(Some(body))
    }
}
