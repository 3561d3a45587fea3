//! A bounded number of running requests and a bounded queue before them.

use std::sync::atomic;

use tokio::sync;
use tokio::time;

/// The queue was full, or the deadline passed in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overload;

/// Slots in which requests run.
#[derive(Debug)]
pub struct Slots {
    running: sync::Semaphore,
    size: usize,
    queued: atomic::AtomicUsize,
    queue: usize,
}

/// A request's place in the queue; left on drop, also by a cancelled request.
#[derive(Debug)]
struct Place<'a>(&'a atomic::AtomicUsize);

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::AcqRel);
    }
}

impl Slots {
    /// Makes `size` slots with room for `queue` requests before them.
    pub fn new(size: usize, queue: usize) -> Self {
        Self {
            running: sync::Semaphore::new(size),
            size,
            queued: atomic::AtomicUsize::new(0),
            queue,
        }
    }

    /// Waits for a slot until `deadline`.
    ///
    /// # Errors
    ///
    /// Fails at once if the queue is full, else at the deadline.
    pub async fn acquire(
        &self,
        deadline: time::Instant,
    ) -> Result<sync::SemaphorePermit<'_>, Overload> {
        if let Ok(permit) = self.running.try_acquire() {
            return Ok(permit);
        }
        let before = self.queued.fetch_add(1, atomic::Ordering::AcqRel);
        let _place = Place(&self.queued);
        if before >= self.queue {
            return Err(Overload);
        }
        match time::timeout_at(deadline, self.running.acquire()).await {
            Ok(Ok(permit)) => Ok(permit),
            Ok(Err(_)) | Err(_) => Err(Overload),
        }
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.size.saturating_sub(self.running.available_permits())
    }

    /// Returns the number of waiting requests.
    pub fn queued(&self) -> usize {
        self.queued.load(atomic::Ordering::Acquire)
    }
}
