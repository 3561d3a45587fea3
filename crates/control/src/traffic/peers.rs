//! Connections between replicas.
//!
//! Each replica sends over the connection that it opened and receives over
//! those that it accepted, so a lost connection breaks one direction only.

use std::io;
use std::sync;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use sequoiayoke_model::id;
use sequoiayoke_wire::auth;
use sequoiayoke_wire::frame;
use sequoiayoke_wire::replica;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec;

use super::{Config, Link};
use crate::coordinator::event;

type Framed = codec::Framed<TcpStream, frame::Codec<replica::Frame, replica::Frame>>;

/// Pause before a retry to connect or to accept.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Longest time to write one frame; a connection that takes longer counts as broken.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Keeps a connection to another replica open until the stop.
pub(super) async fn dial(mut link: Link, config: sync::Arc<Config>) {
    while !config.stop.is_cancelled() {
        if let Err(error) = one_dial(&mut link, &config).await {
            tracing::debug!(address = %link.address, %error, "the connection to a replica ended");
        }
        // Frames that waited during the failure are outdated.
        while link.queue.try_recv().is_ok() {}
        tokio::select! {
            () = tokio::time::sleep(RETRY_DELAY) => {}
            () = config.stop.cancelled() => return,
        }
    }
}

async fn one_dial(link: &mut Link, config: &Config) -> io::Result<()> {
    let mut hello = config.hello.clone();
    // The announcement is empty until the coordinator has started, and the peer would reject its
    // empty region.
    let announced = hello.wait_for(|hello| !hello.name.is_empty()).await;
    drop(announced.map_err(io::Error::other)?);
    let connecting = async {
        let io = TcpStream::connect(link.address).await?;
        io.set_nodelay(true)?;
        auth::connect(io, auth::Kind::Replica, &config.secret).await
    };
    let io = tokio::time::timeout(config.connect, connecting).await??;
    let mut frames = Framed::new(io, frame::Codec::new());
    let mut is_hello_due = true;
    loop {
        if is_hello_due {
            let body = replica::Body::Hello(hello.borrow_and_update().clone());
            send(&mut frames, &replica::Frame { body: Some(body) }).await?;
            is_hello_due = false;
        }
        tokio::select! {
            // Queued frames are sent before a stop: the last one may ask the peer to take over.
            biased;
            frame = link.queue.recv() => match frame {
                Some(frame) => send(&mut frames, &frame).await?,
                None => return Ok(()),
            },
            changed = hello.changed() => {
                changed.map_err(io::Error::other)?;
                is_hello_due = true;
            }
            // The peer sends nothing on this connection; reading only detects its end.
            ended = frames.next() => {
                return ended.map_or(Ok(()), |frame| frame.map(|_| ()));
            }
            () = config.stop.cancelled() => return Ok(()),
        }
    }
}

async fn send(frames: &mut Framed, frame: &replica::Frame) -> io::Result<()> {
    tokio::time::timeout(SEND_TIMEOUT, frames.send(frame)).await?
}

/// Accepts connections from other replicas until the stop.
pub(super) async fn accept(listener: TcpListener, config: sync::Arc<Config>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = config.stop.cancelled() => return,
        };
        match accepted {
            Ok((io, address)) => {
                let config = sync::Arc::clone(&config);
                tokio::spawn(async move {
                    if let Err(error) = receive(io, &config).await {
                        tracing::debug!(%address, %error, "the connection of a replica ended");
                    }
                });
            }
            Err(error) => {
                tracing::warn!(%error, "no connection could be accepted");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn receive(io: TcpStream, config: &Config) -> io::Result<()> {
    io.set_nodelay(true)?;
    let proof = auth::accept(io, auth::Kind::Replica, &config.secret);
    let io = tokio::time::timeout(config.connect, proof).await??;
    let mut frames = Framed::new(io, frame::Codec::new());
    let mut from = None;
    loop {
        let frame = tokio::select! {
            frame = frames.next() => frame,
            () = config.stop.cancelled() => return Ok(()),
        };
        let Some(frame) = frame else {
            return Ok(());
        };
        let event = match frame?.body {
            Some(replica::Body::Hello(hello)) => {
                if hello.region != config.region || !config.replicas.contains(&hello.name) {
                    let (region, name) = (&hello.region, &hello.name);
                    tracing::error!(region, name, "rejected a replica that is not in this group");
                    return Err(unexpected_frame());
                }
                from = Some(id::Replica(hello.id));
                event::Event::ReplicaHello(hello)
            }
            Some(replica::Body::Log(log)) => match from {
                Some(from) => event::Event::ReplicaLog(from, log),
                None => return Err(unexpected_frame()),
            },
            None => return Err(unexpected_frame()),
        };
        let sent = config.events.send(event).await;
        sent.map_err(io::Error::other)?;
    }
}

fn unexpected_frame() -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, "unexpected frame")
}
