//! Requests that other nodes send for the backend server here.

mod bodies;

use std::cell;
use std::collections;
use std::io;
use std::rc;
use std::time::Duration;

use futures_util::StreamExt;
use sequoiayoke_link::{codec, peer};
use tokio::net::{TcpListener, TcpStream, tcp};
use tokio::sync::oneshot;
use tokio::task;
use tokio_util::codec::FramedRead;

use super::{Context, peers};
use crate::frontend;

pub(super) use bodies::Pull;

/// Pause after a connection could not be accepted.
const PAUSE: Duration = Duration::from_millis(50);

type Cancels = rc::Rc<cell::RefCell<collections::HashMap<u64, oneshot::Sender<()>>>>;

/// Accepts other nodes.
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
                        tracing::debug!(%address, %error, "the connection of a node ended");
                    }
                });
            }
            Err(error) => {
                tracing::warn!(%error, "no connection could be accepted");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

async fn serve<Frontend>(io: TcpStream, context: &rc::Rc<Context<Frontend>>) -> io::Result<()>
where
    Frontend: frontend::Frontend,
{
    peers::prepare(&io)?;
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
    // Dropped senders cancel what may be cancelled.
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
                    let outcome = run(&open, Some(&pull), cancelled, &context).await;
                    cancels.borrow_mut().remove(&open.stream);
                    if let Some(outcome) = outcome {
                        let load = context.backend.report();
                        let stream = open.stream;
                        let reply = peer::ToEntry::Reply {
                            stream,
                            outcome,
                            load,
                        };
                        if !outbox.push(&reply) {
                            tracing::info!(id = open.id, "the node that asked has gone");
                        }
                    }
                });
            }
            peer::ToServer::Part { stream, bytes } => {
                if let Some(took) = bodies.take(stream, &bytes)? {
                    let pause = context.backend.part_came(took);
                    if pause.is_zero() {
                        bodies.ask(stream, outbox);
                    } else {
                        let (outbox, bodies) = (rc::Rc::clone(outbox), rc::Rc::clone(bodies));
                        task::spawn_local(async move {
                            tokio::time::sleep(pause).await;
                            bodies.ask(stream, &outbox);
                        });
                    }
                }
            }
            peer::ToServer::Cancel(stream) => {
                // Dropping the sender is the signal.
                cancels.borrow_mut().remove(&stream);
            }
            peer::ToServer::Ping(number) => {
                outbox.push(&peer::ToEntry::Pong(number));
            }
        }
    }
    Ok(())
}

/// Runs a request; returns `None` if its caller has gone.
///
/// A request that runs and must not run again is not broken off: its work is
/// done, and breaking off would only hide that.
pub(super) async fn run<Frontend>(
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
    let is_running = cell::Cell::new(false);
    let request = context.backend.run(context, open, pull, &is_running);
    tokio::pin!(request);
    tokio::select! {
        outcome = &mut request => return Some(outcome),
        // An error means a dropped sender, which is how a cancellation looks.
        _ = cancelled => {}
    }
    if is_running.get() && !open.is_idempotent {
        return Some(request.await);
    }
    tracing::debug!(
        id = open.id,
        is_running = is_running.get(),
        "cancelled a request"
    );
    None
}
