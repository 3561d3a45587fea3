//! The end of a slice's time with this node.
//!
//! A request whose answer nobody waits for any more may still lie unread in a
//! socket of the backend server, for example while that is paused. It carries
//! a lease that has not ended, so the slice must not be handed on before the
//! server has taken the revocation or that lease has ended.

use sequoiayoke_model::clock;
use tokio::time;

use crate::traffic::owned;
use crate::traffic::server::command;

/// Waits until the backend server starts no request of the closed slice any more.
///
/// `lease_until` is the end of the lease when the slice was closed; no request
/// that was dispatched under the slice carries a later one.
pub(super) async fn settled(
    slice: &owned::Slice,
    service: &str,
    commander: Option<&command::Commander>,
    lease_until: clock::Instant,
) {
    slice.wait_idle().await;
    let left = clock::Instant::now().saturating_until(lease_until);
    let lease = time::sleep(left);
    tokio::pin!(lease);
    let Some(commander) = commander else {
        return lease.await;
    };
    tokio::select! {
        () = &mut lease => {}
        revoked = commander.revoke(service, slice.range(), slice.epoch()) => {
            if let Err(error) = revoked {
                tracing::warn!(%error, "a slice was not revoked");
                lease.await;
            }
        }
    }
}
