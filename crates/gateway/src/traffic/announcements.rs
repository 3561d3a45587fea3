//! Announcements of the backend server.

use std::rc;
use std::time::Duration;

use sequoiayoke_catalog::server;
use sequoiayoke_http1::{request, serve};
use tokio::net::TcpListener;
use tokio::sync::oneshot;

use super::{Context, serving};
use crate::coordinator;
use crate::frontend;

/// Longest time for which an announcement waits for the control thread.
const REPLY_TIMEOUT: Duration = Duration::from_millis(800);

/// Largest size of an announcement, in bytes, with more ranges of keys than a response assigns.
const MAX_BODY_BYTES: u64 = 256 * 1024;
/// Largest number of requests that a backend server may announce to run concurrently.
const MAX_SLOTS: u32 = 65_536;

/// Serves the listener for announcements until the node has nothing left to do, and answers those
/// that have arrived.
pub(super) async fn run<Frontend>(listener: TcpListener, context: rc::Rc<Context<Frontend>>)
where
    Frontend: frontend::Frontend,
{
    let handler_context = rc::Rc::clone(&context);
    let handler = move |request: request::Request| {
        let context = rc::Rc::clone(&handler_context);
        async move { handle(&request, &context).await }
    };
    let stop = context.drained.clone();
    let server = serve::Server::new(handler)
        .with_stop(stop, serving::CLOSE_TIMEOUT)
        .with_max_body(MAX_BODY_BYTES);
    if let Err(error) = server.run(listener).await {
        tracing::error!(%error, "the listener for announcements has failed");
    }
}

async fn handle<Frontend>(request: &request::Request, context: &Context<Frontend>) -> serve::Reply
where
    Frontend: frontend::Frontend,
{
    let announcement = match context.frontend.announcement(request) {
        Ok(announcement) => announcement,
        Err(reply) => {
            let (target, status) = (&request.head.target, reply.status);
            tracing::warn!(target, status, "rejected an invalid announcement");
            return reply;
        }
    };
    let (reply, replied) = oneshot::channel();
    let mut cold_left = Duration::ZERO;
    let event = match announcement {
        frontend::Announcement::Running {
            instance,
            service,
            address,
            domain,
            slots,
            is_draining,
            cold_left: left,
            sequence,
            report,
        } => {
            cold_left = left;
            if address != context.settings.backend {
                tracing::warn!(%address, "rejected an announcement with another address");
                return serve::Reply::new(400, "text/plain", "another address");
            }
            if !(1..=MAX_SLOTS).contains(&slots) {
                tracing::warn!(
                    slots,
                    "rejected an announcement with an invalid number of slots"
                );
                return serve::Reply::new(400, "text/plain", "an invalid number of slots");
            }
            coordinator::Event::Announced {
                announcement: server::Announcement {
                    instance,
                    service,
                    address,
                    node: context.settings.peers,
                    domain,
                    slots,
                    is_draining,
                },
                sequence,
                report,
                reply,
            }
        }
        frontend::Announcement::Leaving { name, born_ms } => coordinator::Event::Leaving {
            name,
            born_ms,
            reply,
        },
    };
    context.send_event(event);
    match tokio::time::timeout(REPLY_TIMEOUT, replied).await {
        Ok(Ok(reply)) => {
            if reply.is_accepted {
                context.backend.record_announced_cold(cold_left);
            }
            let assignment = reply.assignment.as_ref();
            context.frontend.acknowledgement(assignment)
        }
        Ok(Err(_)) | Err(_) => {
            tracing::warn!("the control thread did not process an announcement in time");
            serve::Reply::new(503, "text/plain", "try again")
        }
    }
}
