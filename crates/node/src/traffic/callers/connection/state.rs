//! State that a connection shares with its requests.

use std::sync;
use std::sync::atomic;

use tokio_util::sync::CancellationToken;

/// State that a connection shares with its requests.
#[derive(Debug, Default)]
pub(in crate::traffic::callers) struct State {
    disconnected: CancellationToken,
    aborted: atomic::AtomicBool,
    started: atomic::AtomicU64,
    running: atomic::AtomicUsize,
    multiplexed: atomic::AtomicBool,
}

/// Counts a request as running on a connection until it is dropped.
#[derive(Debug)]
pub(in crate::traffic::callers) struct Running(sync::Arc<State>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, atomic::Ordering::AcqRel);
    }
}

impl State {
    /// Records that a request has started.
    pub(in crate::traffic::callers) fn start(self: &sync::Arc<Self>) -> Running {
        self.running.fetch_add(1, atomic::Ordering::AcqRel);
        self.started.fetch_add(1, atomic::Ordering::AcqRel);
        Running(sync::Arc::clone(self))
    }

    /// Records that the connection carries several requests at a time.
    pub(in crate::traffic::callers) fn set_multiplexed(&self) {
        self.multiplexed.store(true, atomic::Ordering::Release);
    }

    /// Requests a reset of the connection, without writing more of an answer.
    pub(in crate::traffic::callers) fn abort(&self) {
        self.aborted.store(true, atomic::Ordering::Release);
    }

    /// Returns the token that is cancelled when the caller has disconnected.
    pub(in crate::traffic::callers) const fn disconnected(&self) -> &CancellationToken {
        &self.disconnected
    }

    /// Returns whether the connection has to be reset.
    pub(super) fn is_aborted(&self) -> bool {
        self.aborted.load(atomic::Ordering::Acquire)
    }

    /// Returns whether the connection carries several requests at a time.
    pub(super) fn is_multiplexed(&self) -> bool {
        self.multiplexed.load(atomic::Ordering::Acquire)
    }

    /// Returns whether a request runs.
    pub(super) fn is_running(&self) -> bool {
        self.running.load(atomic::Ordering::Acquire) > 0
    }

    /// Returns the number of requests that have started so far.
    pub(super) fn started(&self) -> u64 {
        self.started.load(atomic::Ordering::Acquire)
    }
}
