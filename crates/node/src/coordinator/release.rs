//! Release of a slice by this node.
//!
//! A request whose answer is no longer awaited may still be unread in a socket
//! buffer of the backend server, for example while the server is suspended. It
//! carries a lease that has not ended, so the slice must not be released before
//! the server has acknowledged the revocation or that lease has ended.

use sequoiayoke_model::clock;
use tokio::time;

use crate::traffic::owned;
use crate::traffic::server::command;

/// Waits until the backend server can no longer start a request of the closed slice.
///
/// `lease_until` is the end of the lease at the time when the slice was closed; no
/// request that was dispatched for the slice carries a later one.
pub(super) async fn wait_released(
    slice: &owned::Slice,
    service: &str,
    commander: Option<&command::Commander>,
    lease_until: clock::Instant,
) {
    slice.wait_idle().await;
    let lease_left = clock::Instant::now().saturating_until(lease_until);
    let lease_end = time::sleep(lease_left);
    tokio::pin!(lease_end);
    let Some(commander) = commander else {
        return lease_end.await;
    };
    tokio::select! {
        () = &mut lease_end => {}
        revoked = commander.revoke(service, slice.range(), slice.epoch()) => {
            if let Err(error) = revoked {
                tracing::warn!(%error, "slice was not revoked; waiting for the end of the lease");
                lease_end.await;
            }
        }
    }
}
