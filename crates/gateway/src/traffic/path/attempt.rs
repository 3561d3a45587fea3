//! One sending of a request, to the backend server of this node or to another node.

use std::time::Duration;

use sequoiayoke_dispatch::shutdown;
use sequoiayoke_link::peer;

use crate::traffic::{Context, peers};

/// A request that was sent to the node of a backend server; dropping it cancels the request.
pub(in crate::traffic) trait Attempt {
    /// Waits for the outcome.
    async fn reply(&mut self) -> peers::Reply;

    /// Asks that the request does not begin to run any more; the outcome tells whether it has.
    fn withdraw(&mut self);
}

/// Waits for the outcome of a request for at most `timeout`.
///
/// A node that stops withdraws the request, and waits for its outcome as long as the stop allows.
pub(super) async fn wait_for_reply<Frontend, A>(
    context: &Context<Frontend>,
    mut attempt: A,
    timeout: Duration,
) -> peers::Reply
where
    A: Attempt,
{
    let reply = async {
        tokio::select! {
            biased;
            reply = attempt.reply() => return reply,
            () = context.reached(shutdown::Phase::Withdrawing) => {}
        }
        attempt.withdraw();
        tokio::select! {
            biased;
            reply = attempt.reply() => reply,
            () = context.reached(shutdown::Phase::Ending) => unknown(peer::Reason::Stopping),
        }
    };
    let reply = tokio::time::timeout(timeout, reply).await;
    reply.unwrap_or_else(|_| unknown(peer::Reason::Deadline))
}

fn unknown(reason: peer::Reason) -> peers::Reply {
    (peer::Outcome::Unknown(reason), peer::Load::default())
}
