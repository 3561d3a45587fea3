//! The published view of the control state.
//!
//! The control thread is the only writer. Traffic threads load the current view for each
//! request and can wait for the next one.

use std::sync;

use arc_swap::ArcSwap;
use tokio::sync::watch;

use sequoiayoke_model::clock;

use crate::standin::coordinator::fault;
use crate::standin::coordinator::grants;

/// Immutable snapshot of the control state that requests depend on.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Ranges that were granted, revoked or prepared.
    pub grants: grants::Grants,
    /// Whether new work is refused.
    pub draining: bool,
    /// Faults that are active until they are cleared.
    pub faults: fault::Faults,
}

/// Publishes views from the control thread to the traffic threads.
#[derive(Debug)]
pub struct Publisher {
    view: ArcSwap<View>,
    version: watch::Sender<u64>,
}

impl Default for Publisher {
    fn default() -> Self {
        Self::new()
    }
}

impl Publisher {
    /// Creates a publisher with an empty view.
    pub fn new() -> Self {
        Self {
            view: ArcSwap::from_pointee(View::default()),
            version: watch::Sender::new(0),
        }
    }

    /// Returns the current view.
    pub fn current(&self) -> sync::Arc<View> {
        self.view.load_full()
    }

    /// Replaces the view and wakes the tasks that wait for a change.
    pub fn publish(&self, view: View) {
        self.view.store(sync::Arc::new(view));
        self.version.send_modify(|version| *version += 1);
    }

    /// Waits until the server is not frozen.
    pub async fn wait_while_frozen(&self) {
        let mut versions = self.version.subscribe();
        loop {
            let frozen_until = self.view.load().faults.frozen_until;
            let remaining = clock::Instant::now().saturating_until(frozen_until);
            if remaining.is_zero() {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(remaining) => {}
                // `self` owns the sender, so this cannot fail.
                _ = versions.changed() => {}
            }
        }
    }
}
