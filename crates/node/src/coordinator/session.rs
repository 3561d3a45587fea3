//! The connection to the control leader.
//!
//! This child only moves frames: it connects, authenticates, and hands what
//! arrives to the coordinator. When the connection ends it tries the next
//! replica, or the one that a redirect named. It never ends on its own.

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

/// Frames that may wait for the socket.
const QUEUE: usize = 64;
/// Pause before the next replica is tried; it doubles with each failure in a row.
const PAUSE: Duration = Duration::from_millis(20);
/// Longest pause before the next replica is tried.
const MAX_PAUSE: Duration = Duration::from_millis(160);
/// Time without a frame from control after which a connection counts as dead.
const SILENCE: Duration = Duration::from_millis(600);

/// Settings of the session.
#[derive(Clone, Debug)]
pub struct Config {
    /// Node listeners of the control replicas.
    pub control: Vec<net::SocketAddr>,
    /// Secret that the region's processes share.
    pub secret: sync::Arc<[u8]>,
    /// Time to open and authenticate a connection.
    pub connect: Duration,
}

/// Keeps a session up for as long as the coordinator lives.
pub async fn run(config: Config, events: mpsc::Sender<event::Event>) {
    let mut next = 0;
    let mut redirect = None;
    let mut pause = PAUSE;
    loop {
        let address = match redirect.take() {
            Some(address) => address,
            None => {
                next = (next + 1) % config.control.len();
                config.control[next]
            }
        };
        let start = time::Instant::now();
        let ended = one(&config, address, &events, &mut redirect).await;
        if start.elapsed() >= SILENCE {
            pause = PAUSE;
        }
        if let Err(error) = ended {
            tracing::debug!(%address, %error, "session with control ended");
        }
        if events.send(event::Event::SessionDown).await.is_err() {
            return;
        }
        if redirect.is_none() {
            // Jitter keeps thousands of nodes from connecting at the same moment.
            time::sleep(pause.mul_f64(rand::random_range(0.5..1.0))).await;
            pause = (pause * 2).min(MAX_PAUSE);
        }
    }
}

async fn one(
    config: &Config,
    address: net::SocketAddr,
    events: &mpsc::Sender<event::Event>,
    redirect: &mut Option<net::SocketAddr>,
) -> io::Result<()> {
    let connecting = time::timeout(config.connect, connect(address, &config.secret));
    let mut frames = codec::Framed::new(connecting.await??, Codec::new());
    let (sender, mut queue) = mpsc::channel(QUEUE);
    let up = event::Event::SessionUp(sender);
    events.send(up).await.map_err(io::Error::other)?;
    // Renewals leave all the time, so only what arrives may put the end off: the socket
    // of a paused leader goes on taking them.
    let silence = time::sleep(SILENCE);
    tokio::pin!(silence);
    loop {
        tokio::select! {
            () = &mut silence => return Err(io::ErrorKind::TimedOut.into()),
            received = frames.next() => {
                silence.as_mut().reset(time::Instant::now() + SILENCE);
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
            sending = queue.recv() => {
                // The coordinator drops its end to close the session.
                let Some(frame) = sending else {
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
