//! Connections between replicas.
//!
//! Each replica sends on the connections that it opened and receives on those that it accepted, so
//! a lost connection interrupts one direction only.

use std::io;
use std::net;
use std::rc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use sequoiayoke_link::{account, receive};
use sequoiayoke_model::id;
use sequoiayoke_wire::frame;
use sequoiayoke_wire::replica;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_util::codec;

use super::Config;
use crate::coordinator;

type Framed = codec::Framed<TcpStream, frame::Codec<replica::Frame, replica::Frame>>;

/// Delay before a lost connection is reopened or a failed accept is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum delay between attempts to connect to an unreachable replica.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(800);
/// Timeout of an attempt to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which sent bytes may stay unacknowledged before the connection is closed. A connection
/// can stop delivering without a reset, while new connections work.
pub(super) const USER_TIMEOUT: Duration = Duration::from_millis(800);

/// Percentage of the memory of the process that the connections of other replicas may hold.
const MEMORY_PERCENT: usize = 20;
/// Percentage of the descriptors of the process that they may take.
const DESCRIPTORS_PERCENT: usize = 15;

/// Keeps a connection to another replica open.
pub(super) async fn dial(
    address: net::SocketAddr,
    mut frames: mpsc::Receiver<replica::Frame>,
    config: rc::Rc<Config>,
) {
    let mut delay = RETRY_DELAY;
    loop {
        match run_connection(address, &mut frames, &config).await {
            Ok(()) => delay = RETRY_DELAY,
            Err(error) => {
                tracing::debug!(%address, %error, "cannot connect to a replica");
                delay = (delay * 2).min(RETRY_DELAY_MAX);
            }
        }
        // Frames that were queued before the reconnect are outdated.
        while frames.try_recv().is_ok() {}
        tokio::time::sleep(delay).await;
    }
}

async fn run_connection(
    address: net::SocketAddr,
    queue: &mut mpsc::Receiver<replica::Frame>,
    config: &Config,
) -> io::Result<()> {
    let io = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    set_socket_options(&io)?;
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
            // The peer sends nothing on this connection; reading only detects that it was closed.
            ended = frames.next() => return ended.map_or(Ok(()), |frame| frame.map(|_| ())),
        }
    }
}

/// Sets the options of a connection between VMs of the deployment.
pub(super) fn set_socket_options(io: &TcpStream) -> io::Result<()> {
    io.set_nodelay(true)?;
    let timeout_ms = u32::try_from(USER_TIMEOUT.as_millis()).unwrap_or(u32::MAX);
    rustix::net::sockopt::set_tcp_user_timeout(io, timeout_ms)?;
    Ok(())
}

/// Accepts the connections of other replicas.
pub(super) async fn accept(listener: TcpListener, config: rc::Rc<Config>) {
    let limits = config.limits.part(MEMORY_PERCENT, DESCRIPTORS_PERCENT);
    let account = rc::Rc::new(account::Account::new(limits));
    loop {
        account.wait_for_connection().await;
        match listener.accept().await {
            Ok((io, address)) => {
                let config = rc::Rc::clone(&config);
                let holding = rc::Rc::new(account::Holding::new(&account));
                tokio::task::spawn_local(async move {
                    let received = tokio::select! {
                        received = receive(io, &holding, &config) => received,
                        () = holding.must_close() => {
                            config.measure.record_closed("replicas");
                            Err(receive::no_room())
                        }
                    };
                    if let Err(error) = received {
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

async fn receive(
    io: TcpStream,
    holding: &rc::Rc<account::Holding>,
    config: &Config,
) -> io::Result<()> {
    set_socket_options(&io)?;
    let codec = frame::Codec::<replica::Frame, replica::Frame>::new();
    let mut messages = receive::Messages::new(io, codec, rc::Rc::clone(holding));
    let mut from = None;
    while let Some(frame) = messages.next().await? {
        let event = match (frame.body, from) {
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
