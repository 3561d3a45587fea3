//! The published view of the control state.
//!
//! The control thread is the only writer; traffic threads load the present
//! view for each request and may wait for the next one.

use std::sync;

use arc_swap::ArcSwap;
use tokio::sync::watch;

use sequoiayoke_model::clock;

use crate::standin::coordinator::fault;
use crate::standin::coordinator::grants;

/// Everything that requests depend on, at one moment.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Ranges that were granted or revoked.
    pub grants: grants::Grants,
    /// Whether new work is refused.
    pub draining: bool,
    /// Faults that last until they are cleared.
    pub faults: fault::Faults,
}

/// Publishes views from the control thread to the traffic threads.
#[derive(Debug)]
pub struct Board {
    view: ArcSwap<View>,
    version: watch::Sender<u64>,
}

impl Default for Board {
    fn default() -> Self {
        Self::new()
    }
}

impl Board {
    /// Publishes an empty view.
    pub fn new() -> Self {
        Self {
            view: ArcSwap::from_pointee(View::default()),
            version: watch::Sender::new(0),
        }
    }

    /// Returns the present view.
    pub fn view(&self) -> sync::Arc<View> {
        self.view.load_full()
    }

    /// Replaces the view and wakes those who wait for a change.
    pub fn publish(&self, view: View) {
        self.view.store(sync::Arc::new(view));
        self.version.send_modify(|version| *version += 1);
    }

    /// Waits while the server is frozen.
    pub async fn thawed(&self) {
        let mut versions = self.version.subscribe();
        loop {
            let until = self.view.load().faults.frozen_until;
            let left = clock::Instant::now().saturating_until(until);
            if left.is_zero() {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(left) => {}
                // The sender lives in `self`, so this cannot fail.
                _ = versions.changed() => {}
            }
        }
    }
}
