//! Sessions of nodes.

use std::io;
use std::sync;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use sequoiayoke_wire::auth;
use sequoiayoke_wire::frame;
use sequoiayoke_wire::session;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio_util::codec;

use super::Config;
use crate::coordinator::event;

type Codec = frame::Codec<session::FromControl, session::FromNode>;

/// Frames that may wait for the socket of one node.
const QUEUE: usize = 256;
/// Time for one frame to leave; a longer one means a dead connection.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without a frame after which the session of a node ends.
const SILENCE: Duration = Duration::from_secs(5);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts sessions until the stop.
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
                    tokio::select! {
                        ended = session(io, &config) => {
                            if let Err(error) = ended {
                                tracing::debug!(%address, %error, "session of a node ended");
                            }
                        }
                        () = config.stop.cancelled() => {}
                    }
                });
            }
            Err(error) => {
                tracing::warn!(%error, "no connection could be accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn session(io: TcpStream, config: &Config) -> io::Result<()> {
    io.set_nodelay(true)?;
    let proof = auth::accept(io, auth::Kind::Session, &config.secret);
    let io = tokio::time::timeout(config.connect, proof).await??;
    let (reader, writer) = io.into_split();
    let (outgoing, queue) = mpsc::channel(QUEUE);
    let (reply, key) = oneshot::channel();
    let up = event::Event::NodeUp(outgoing, reply);
    config.events.send(up).await.map_err(io::Error::other)?;
    let Ok(key) = key.await else {
        // Not the leader: the queue holds a redirect, or nothing.
        return write(writer, queue).await;
    };
    let ended = tokio::select! {
        ended = read(reader, key, config) => ended,
        // The coordinator closes a session by dropping its end of the queue.
        ended = write(writer, queue) => ended,
    };
    let down = event::Event::NodeDown(key);
    config.events.send(down).await.map_err(io::Error::other)?;
    ended
}

async fn read(reader: OwnedReadHalf, key: event::Session, config: &Config) -> io::Result<()> {
    let mut frames = codec::FramedRead::new(reader, Codec::new());
    loop {
        let frame = tokio::time::timeout(SILENCE, frames.next()).await?;
        let Some(frame) = frame else {
            return Ok(());
        };
        let event = event::Event::NodeFrame(key, frame?);
        config.events.send(event).await.map_err(io::Error::other)?;
    }
}

async fn write(mut writer: OwnedWriteHalf, mut queue: mpsc::Receiver<Bytes>) -> io::Result<()> {
    while let Some(frame) = queue.recv().await {
        tokio::time::timeout(SEND_TIMEOUT, writer.write_all(&frame)).await??;
    }
    Ok(())
}
