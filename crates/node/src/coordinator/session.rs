//! Session with the control leader.
//!
//! This child only transfers frames: it connects, authenticates, and passes
//! received frames to the coordinator. When the connection ends, it connects to
//! the next replica, or to the one that a redirect named. It runs until the
//! coordinator drops its event queue.

use std::io;
use std::net;
use std::sync;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use sequoiayoke_wire::auth;
use sequoiayoke_wire::frame;
use sequoiayoke_wire::session;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time;
use tokio_util::codec;

use super::event;

type Codec = frame::Codec<session::FromNode, session::FromControl>;

/// Capacity of the queue of frames to send.
const QUEUE_CAPACITY: usize = 64;
/// Initial delay before the next replica is tried; it doubles with each consecutive failure.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
/// Maximum delay before the next replica is tried.
const MAX_BACKOFF: Duration = Duration::from_millis(160);
/// Time without a frame from control after which the connection is closed.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(600);

/// Configuration of the session.
#[derive(Clone, Debug)]
pub struct Config {
    /// Addresses on which the control replicas accept sessions of nodes.
    pub control: Vec<net::SocketAddr>,
    /// Shared secret of the region's processes.
    pub secret: sync::Arc<[u8]>,
    /// Timeout for opening and authenticating a connection.
    pub connect: Duration,
}

/// Maintains a session until the coordinator has stopped.
pub async fn run(config: Config, events: mpsc::Sender<event::Event>) {
    let mut next = 0;
    let mut redirect = None;
    let mut backoff = MIN_BACKOFF;
    loop {
        let address = match redirect.take() {
            Some(address) => address,
            None => {
                next = (next + 1) % config.control.len();
                config.control[next]
            }
        };
        let started = time::Instant::now();
        let result = run_once(&config, address, &events, &mut redirect).await;
        if started.elapsed() >= RECEIVE_TIMEOUT {
            backoff = MIN_BACKOFF;
        }
        if let Err(error) = result {
            tracing::debug!(%address, %error, "session with control ended");
        }
        if events.send(event::Event::SessionDown).await.is_err() {
            return;
        }
        if redirect.is_none() {
            // Jitter prevents thousands of nodes from connecting at the same time.
            time::sleep(backoff.mul_f64(rand::random_range(0.5..1.0))).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }
}

async fn run_once(
    config: &Config,
    address: net::SocketAddr,
    events: &mpsc::Sender<event::Event>,
    redirect: &mut Option<net::SocketAddr>,
) -> io::Result<()> {
    let connecting = time::timeout(config.connect, connect(address, &config.secret));
    let mut frames = codec::Framed::new(connecting.await??, Codec::new());
    let (sender, mut queue) = mpsc::channel(QUEUE_CAPACITY);
    let up = event::Event::SessionUp(sender);
    events.send(up).await.map_err(io::Error::other)?;
    // Only received frames reset the timeout. Sent ones must not: the kernel of a suspended
    // leader still accepts renewals into its socket buffer.
    let receive_timeout = time::sleep(RECEIVE_TIMEOUT);
    tokio::pin!(receive_timeout);
    loop {
        tokio::select! {
            () = &mut receive_timeout => return Err(io::ErrorKind::TimedOut.into()),
            received = frames.next() => {
                receive_timeout.as_mut().reset(time::Instant::now() + RECEIVE_TIMEOUT);
                let Some(received) = received else {
                    return Ok(());
                };
                let received = received?;
                if let Some(session::ControlBody::Redirect(to)) = &received.body {
                    *redirect = to.leader.parse().ok();
                    return Ok(());
                }
                let frame = event::Event::Frame(received);
                events.send(frame).await.map_err(io::Error::other)?;
            }
            frame = queue.recv() => {
                // The coordinator closes the session by dropping the sending end.
                let Some(frame) = frame else {
                    return Ok(());
                };
                frames.send(&frame).await?;
            }
        }
    }
}

async fn connect(address: net::SocketAddr, secret: &[u8]) -> io::Result<TcpStream> {
    let io = TcpStream::connect(address).await?;
    io.set_nodelay(true)?;
    auth::connect(io, auth::Kind::Session, secret).await
}
