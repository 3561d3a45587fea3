//! Connections between replicas.
//!
//! Each replica sends over the connection that it opened and receives over
//! those that it accepted, so a lost connection breaks one direction only.

use std::io;
use std::net;
use std::rc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use sequoiayoke_model::id;
use sequoiayoke_wire::frame;
use sequoiayoke_wire::replica;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_util::codec;

use super::Config;
use crate::coordinator;

type Framed = codec::Framed<TcpStream, frame::Codec<replica::Frame, replica::Frame>>;

/// Pause before a lost connection is opened again.
const PAUSE: Duration = Duration::from_millis(100);
/// Longest pause between two attempts to reach a replica that does not answer.
const PAUSE_MAX: Duration = Duration::from_millis(800);
/// Time to open a connection.
const CONNECT: Duration = Duration::from_millis(500);
/// Time after which bytes without an acknowledgement end a connection. A
/// connection can fall silent without a reset, while new ones work.
pub(super) const SILENCE: Duration = Duration::from_millis(800);

/// Keeps a connection to another replica open.
pub(super) async fn dial(
    address: net::SocketAddr,
    mut frames: mpsc::Receiver<replica::Frame>,
    config: rc::Rc<Config>,
) {
    let mut pause = PAUSE;
    loop {
        match one_dial(address, &mut frames, &config).await {
            Ok(()) => pause = PAUSE,
            Err(error) => {
                tracing::debug!(%address, %error, "no connection to a replica");
                pause = (pause * 2).min(PAUSE_MAX);
            }
        }
        // Frames that waited meanwhile are out of date.
        while frames.try_recv().is_ok() {}
        tokio::time::sleep(pause).await;
    }
}

async fn one_dial(
    address: net::SocketAddr,
    queue: &mut mpsc::Receiver<replica::Frame>,
    config: &Config,
) -> io::Result<()> {
    let io = tokio::time::timeout(CONNECT, TcpStream::connect(address)).await??;
    prepare(&io)?;
    tracing::info!(%address, "connected to a replica");
    let ended = send_all(Framed::new(io, frame::Codec::new()), queue, config).await;
    tracing::info!(%address, ?ended, "the connection to a replica ended");
    Ok(())
}

async fn send_all(
    mut frames: Framed,
    queue: &mut mpsc::Receiver<replica::Frame>,
    config: &Config,
) -> io::Result<()> {
    let mut published = config.published.clone();
    published.mark_changed();
    loop {
        tokio::select! {
            changed = published.changed() => {
                changed.map_err(io::Error::other)?;
                let hello = published.borrow_and_update().hello.clone();
                if !hello.name.is_empty() {
                    let body = replica::Body::Hello(hello);
                    frames.send(&replica::Frame { body: Some(body) }).await?;
                }
            }
            Some(frame) = queue.recv() => {
                frames.feed(&frame).await?;
                while let Ok(frame) = queue.try_recv() {
                    frames.feed(&frame).await?;
                }
                SinkExt::<&replica::Frame>::flush(&mut frames).await?;
            }
            // The other side sends nothing here; this only notices its end.
            ended = frames.next() => return ended.map_or(Ok(()), |frame| frame.map(|_| ())),
        }
    }
}

/// Sets the options of a connection between VMs of the deployment.
pub(super) fn prepare(io: &TcpStream) -> io::Result<()> {
    io.set_nodelay(true)?;
    let silence = u32::try_from(SILENCE.as_millis()).unwrap_or(u32::MAX);
    rustix::net::sockopt::set_tcp_user_timeout(io, silence)?;
    Ok(())
}

/// Accepts connections of other replicas.
pub(super) async fn accept(listener: TcpListener, config: rc::Rc<Config>) {
    loop {
        match listener.accept().await {
            Ok((io, address)) => {
                let config = rc::Rc::clone(&config);
                tokio::task::spawn_local(async move {
                    if let Err(error) = receive(io, &config).await {
                        tracing::debug!(%address, %error, "connection of a replica ended");
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

async fn receive(io: TcpStream, config: &Config) -> io::Result<()> {
    prepare(&io)?;
    let mut frames = Framed::new(io, frame::Codec::new());
    let mut from = None;
    while let Some(frame) = frames.next().await {
        let event = match (frame?.body, from) {
            (Some(replica::Body::Hello(hello)), _) => {
                from = Some(id::Replica(hello.id));
                coordinator::Event::ReplicaHello(hello)
            }
            (Some(replica::Body::Log(log)), Some(from)) => {
                coordinator::Event::ReplicaLog(from, log)
            }
            _ => {
                return Err(io::Error::new(
                    io::ErrorKind::InvalidData,
                    "unexpected frame",
                ));
            }
        };
        let sent = config.events.send(event).await;
        sent.map_err(io::Error::other)?;
    }
    Ok(())
}
