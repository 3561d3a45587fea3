//! Connections of nodes.

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

/// Capacity of the queue of frames to one node.
const QUEUE_CAPACITY: usize = 256;
/// Longest time to write one frame; a connection that takes longer counts as broken.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time without a frame from a node; after it the session ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections of nodes until the stop.
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
                        ended = serve(io, &config) => {
                            if let Err(error) = ended {
                                tracing::debug!(%address, %error, "the session of a node ended");
                            }
                        }
                        () = config.stop.cancelled() => {}
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

async fn serve(io: TcpStream, config: &Config) -> io::Result<()> {
    io.set_nodelay(true)?;
    let proof = auth::accept(io, auth::Kind::Session, &config.secret);
    let io = tokio::time::timeout(config.connect, proof).await??;
    let (reader, writer) = io.into_split();
    let (outgoing, queue) = mpsc::channel(QUEUE_CAPACITY);
    let (reply, key) = oneshot::channel();
    let up = event::Event::NodeUp(outgoing, reply);
    config.events.send(up).await.map_err(io::Error::other)?;
    let Ok(key) = key.await else {
        // This replica has no session for the node: the queue holds at most a redirect.
        return write(writer, queue).await;
    };
    let ended = tokio::select! {
        ended = read(reader, key, config) => ended,
        // The coordinator ends a session by dropping its sender.
        ended = write(writer, queue) => ended,
    };
    let down = event::Event::NodeDown(key);
    config.events.send(down).await.map_err(io::Error::other)?;
    ended
}

async fn read(reader: OwnedReadHalf, key: event::Session, config: &Config) -> io::Result<()> {
    let mut frames = codec::FramedRead::new(reader, Codec::new());
    loop {
        let frame = tokio::time::timeout(IDLE_TIMEOUT, frames.next()).await?;
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
