//! Limits of the running requests and of the requests that wait to run.

use std::sync::atomic;

use tokio::sync;
use tokio::time;

/// The queue was full, or the deadline passed while the request waited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Overload;

/// Slots in which requests run.
#[derive(Debug)]
pub struct Slots {
    permits: sync::Semaphore,
    size: usize,
    queued: atomic::AtomicUsize,
    queue_limit: usize,
}

/// A waiting request, which leaves the queue on drop, also when it is cancelled.
#[derive(Debug)]
struct QueueEntry<'a>(&'a atomic::AtomicUsize);

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, atomic::Ordering::AcqRel);
    }
}

impl Slots {
    /// Creates `size` slots and a queue of at most `queue_limit` requests.
    pub fn new(size: usize, queue_limit: usize) -> Self {
        Self {
            permits: sync::Semaphore::new(size),
            size,
            queued: atomic::AtomicUsize::new(0),
            queue_limit,
        }
    }

    /// Waits for a slot until `deadline`.
    ///
    /// # Errors
    ///
    /// Fails immediately if the queue is full, and otherwise at the deadline.
    pub async fn acquire(
        &self,
        deadline: time::Instant,
    ) -> Result<sync::SemaphorePermit<'_>, Overload> {
        if let Ok(permit) = self.permits.try_acquire() {
            return Ok(permit);
        }
        let queued_before = self.queued.fetch_add(1, atomic::Ordering::AcqRel);
        let _queue_entry = QueueEntry(&self.queued);
        if queued_before >= self.queue_limit {
            return Err(Overload);
        }
        match time::timeout_at(deadline, self.permits.acquire()).await {
            Ok(Ok(permit)) => Ok(permit),
            Ok(Err(_)) | Err(_) => Err(Overload),
        }
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.size.saturating_sub(self.permits.available_permits())
    }

    /// Returns the number of waiting requests.
    pub fn queued(&self) -> usize {
        self.queued.load(atomic::Ordering::Acquire)
    }
}
