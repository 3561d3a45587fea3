//! Requests that other nodes send to the backend server of this node.

mod bodies;

use std::cell;
use std::collections;
use std::io;
use std::rc;
use std::time::Duration;

use futures_util::StreamExt;
use sequoiayoke_link::{codec, peer};
use sequoiayoke_model::clock;
use tokio::net::{TcpListener, TcpStream, tcp};
use tokio::sync::oneshot;
use tokio::task;
use tokio_util::codec::FramedRead;

use super::{Context, backend, peers};
use crate::frontend;

pub(super) use bodies::Pull;

/// Delay after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

type Cancels = rc::Rc<cell::RefCell<collections::HashMap<u64, oneshot::Sender<()>>>>;

/// Accepts connections of other nodes.
pub(super) async fn accept<Frontend>(listener: TcpListener, context: rc::Rc<Context<Frontend>>)
where
    Frontend: frontend::Frontend,
{
    loop {
        match listener.accept().await {
            Ok((io, address)) => {
                let context = rc::Rc::clone(&context);
                task::spawn_local(async move {
                    if let Err(error) = serve(io, &context).await {
                        tracing::debug!(%address, %error, "the connection from a node ended");
                    }
                });
            }
            Err(error) => {
                tracing::warn!(%error, "no connection could be accepted");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve<Frontend>(io: TcpStream, context: &rc::Rc<Context<Frontend>>) -> io::Result<()>
where
    Frontend: frontend::Frontend,
{
    peers::set_socket_options(&io)?;
    let (reader, writer) = io.into_split();
    let outbox = rc::Rc::new(peers::Outbox::default());
    let cancels = Cancels::default();
    let bodies = rc::Rc::new(bodies::Bodies::default());
    let ended = tokio::select! {
        ended = outbox.write(writer) => ended,
        ended = read(reader, &outbox, &bodies, &cancels, context) => ended,
    };
    outbox.close();
    bodies.clear();
    // Dropping the senders cancels the requests that may be cancelled.
    cancels.borrow_mut().clear();
    ended
}

async fn read<Frontend>(
    reader: tcp::OwnedReadHalf,
    outbox: &rc::Rc<peers::Outbox>,
    bodies: &rc::Rc<bodies::Bodies>,
    cancels: &Cancels,
    context: &rc::Rc<Context<Frontend>>,
) -> io::Result<()>
where
    Frontend: frontend::Frontend,
{
    let mut frames = FramedRead::new(reader, codec::Codec::<peer::ToEntry, peer::ToServer>::new());
    while let Some(frame) = frames.next().await {
        match frame? {
            peer::ToServer::Open(open) => {
                let (cancel, cancelled) = oneshot::channel();
                cancels.borrow_mut().insert(open.stream, cancel);
                let (outbox, cancels) = (rc::Rc::clone(outbox), rc::Rc::clone(cancels));
                let context = rc::Rc::clone(context);
                let pull = Pull::new(open.stream, rc::Rc::clone(&outbox), rc::Rc::clone(bodies));
                task::spawn_local(async move {
                    let outcome = run_request(&open, Some(&pull), cancelled, &context).await;
                    cancels.borrow_mut().remove(&open.stream);
                    if let Some(outcome) = outcome {
                        let load = context.backend.load_report();
                        let stream = open.stream;
                        let reply = peer::ToEntry::Reply {
                            stream,
                            outcome,
                            load,
                        };
                        if !outbox.push(&reply) {
                            tracing::info!(id = open.id, "the requesting node has disconnected");
                        }
                    }
                });
            }
            peer::ToServer::Part { stream, bytes } => {
                if let Some(took) = bodies.receive_part(stream, &bytes)? {
                    let delay = context.backend.record_body_part(took);
                    if delay.is_zero() {
                        bodies.request_part(stream, outbox);
                    } else {
                        let (outbox, bodies) = (rc::Rc::clone(outbox), rc::Rc::clone(bodies));
                        task::spawn_local(async move {
                            tokio::time::sleep(delay).await;
                            bodies.request_part(stream, &outbox);
                        });
                    }
                }
            }
            peer::ToServer::Cancel(stream) => {
                // Dropping the sender cancels the request.
                cancels.borrow_mut().remove(&stream);
            }
            peer::ToServer::Ping(number) => {
                outbox.push(&peer::ToEntry::Pong(number));
            }
        }
    }
    Ok(())
}

/// Runs a request; returns `None` if it was cancelled.
///
/// A non-idempotent request that is running is not cancelled: its work is done anyway, and
/// cancelling would only hide the outcome.
pub(super) async fn run_request<Frontend>(
    open: &peer::Open,
    pull: Option<&Pull>,
    cancelled: oneshot::Receiver<()>,
    context: &rc::Rc<Context<Frontend>>,
) -> Option<peer::Outcome>
where
    Frontend: frontend::Frontend,
{
    if context.is_closed.get() {
        return Some(peer::Outcome::NotRun {
            reason: peer::Reason::Stopping,
            retry_after_ms: 0,
            was_sent: false,
        });
    }
    let arrived = clock::Instant::now();
    let stage = cell::Cell::new(backend::Stage::Checking);
    let request = context.backend.run(context, open, pull, &stage);
    tokio::pin!(request);
    tokio::select! {
        outcome = &mut request => return Some(outcome),
        // The error means that the sender was dropped, which is how a request is cancelled.
        _ = cancelled => {}
    }
    if stage.get() == backend::Stage::Running && !open.is_idempotent {
        return Some(request.await);
    }
    context.measure.record_cancelled(stage.get().as_str());
    if context.may_log() {
        let waited = clock::Instant::now().saturating_since(arrived);
        tracing::info!(
            id = open.id,
            stage = stage.get().as_str(),
            waited_ms = waited.as_millis() as u64,
            body_bytes = open.body.len(),
            received_bytes = pull.map_or(0, Pull::received),
            "cancelled a request"
        );
    }
    None
}
