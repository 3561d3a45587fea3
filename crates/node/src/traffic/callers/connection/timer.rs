//! Timeouts of the waits of a connection.

use std::pin::Pin;
use std::task;
use std::time::Duration;

use tokio::time;

/// Timeout of one wait, armed at its start.
#[derive(Debug, Default)]
pub(super) struct Timer {
    sleep: Option<Pin<Box<time::Sleep>>>,
    pub(super) armed: bool,
}

impl Timer {
    /// Starts a wait of `limit`.
    pub(super) fn arm(&mut self, limit: Duration) {
        let end = time::Instant::now() + limit;
        match &mut self.sleep {
            Some(sleep) => sleep.as_mut().reset(end),
            None => self.sleep = Some(Box::pin(time::sleep_until(end))),
        }
        self.armed = true;
    }

    /// Ends the wait.
    pub(super) const fn disarm(&mut self) {
        self.armed = false;
    }

    /// Returns whether the wait has timed out.
    pub(super) fn has_ended(&mut self, context: &mut task::Context<'_>) -> bool {
        let sleep = self.sleep.as_mut().filter(|_| self.armed);
        sleep.is_some_and(|sleep| sleep.as_mut().poll(context).is_ready())
    }
}
