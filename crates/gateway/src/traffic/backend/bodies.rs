//! Bodies of requests: there from the start, or fetched once they are worth it.

use std::cell;
use std::time::Duration;

use bytes::Bytes;
use sequoiayoke_dispatch::{admission, transfer};
use sequoiayoke_link::peer;
use sequoiayoke_model::clock;
use tokio::sync::Semaphore;

use super::Backend;
use crate::traffic::serving;

/// Transfers of bodies to this node.
#[derive(Debug)]
pub(super) struct Transfers {
    link: cell::RefCell<transfer::Link>,
    places: Semaphore,
}

impl Default for Transfers {
    fn default() -> Self {
        Self {
            link: cell::RefCell::default(),
            places: Semaphore::new(transfer::MAX_RUNNING),
        }
    }
}

impl Transfers {
    /// Takes the time for a part of a body; returns the pause before the next one.
    pub(super) fn part(&self, took: Duration) -> Duration {
        self.link.borrow_mut().record_part(took)
    }

    /// Returns what other nodes are told about the link.
    pub(super) fn load(&self) -> transfer::Load {
        self.link.borrow().load()
    }
}

/// A body that waits for its transfer or is on its way; it counts until it is dropped.
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

/// Why a request has no body.
pub(super) enum Refusal {
    /// The request would be refused after it.
    Full(Duration),
    /// It would arrive too late.
    LinkFull(Duration),
    /// It has not arrived in time, or the connection has ended.
    Missing,
}

impl Backend {
    /// Returns the body of a request, which is fetched only if the request may run then.
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
        let service = self.gate.borrow().service_time(offer.class);
        let link = &self.transfers.link;
        if let Some(after) = self.gate.borrow().refusal(now, offer) {
            return Err(Refusal::Full(after));
        }
        let (useful_until, deadline) = (offer.useful_until, offer.deadline);
        let late = link
            .borrow()
            .refusal(now + service, useful_until, deadline, length);
        if let Some(after) = late {
            return Err(Refusal::LinkFull(after));
        }
        link.borrow_mut().begin(length);
        let mut transfer = Transfer {
            link,
            bytes: length,
            took: None,
        };
        let fetched = async {
            let place = self.transfers.places.acquire().await.ok()?;
            let start = clock::Instant::now();
            let body = pull.fetch(length).await?;
            let took = clock::Instant::now().saturating_since(start);
            let free = self.transfers.places.available_permits();
            transfer.took = Some((took, transfer::MAX_RUNNING - free));
            drop(place);
            Some(body)
        };
        let left = now.saturating_until(offer.deadline);
        let body = tokio::time::timeout(left, fetched).await;
        body.ok().flatten().map(Some).ok_or(Refusal::Missing)
    }
}
