//! Sessions of nodes.

use std::io;
use std::rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use sequoiayoke_link::{codec, session};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream, tcp};
use tokio::sync::{mpsc, oneshot};
use tokio_util::codec::FramedRead;

use super::Config;
use super::replicas;
use crate::coordinator;

/// Frames that may wait for one node.
const QUEUE: usize = 256;
/// Pause after a connection could not be accepted.
const PAUSE: Duration = Duration::from_millis(50);
/// Time without a message after which a session ends; nodes renew every second.
const SILENCE: Duration = Duration::from_secs(4);

type Codec = codec::Codec<session::FromControl, session::FromNode>;

/// Accepts nodes.
pub(super) async fn accept(listener: TcpListener, config: rc::Rc<Config>) {
    loop {
        match listener.accept().await {
            Ok((io, address)) => {
                let config = rc::Rc::clone(&config);
                tokio::task::spawn_local(async move {
                    if let Err(error) = serve(io, &config).await {
                        tracing::debug!(%address, %error, "the session of a node ended");
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

async fn serve(io: TcpStream, config: &Config) -> io::Result<()> {
    replicas::prepare(&io)?;
    let (reader, writer) = io.into_split();
    let (queue, frames) = mpsc::channel(QUEUE);
    let (reply, key) = oneshot::channel();
    let event = coordinator::Event::NodeUp(queue, reply);
    config.events.send(event).await.map_err(io::Error::other)?;
    let sending = write(writer, frames);
    let receiving = async {
        let Ok(key) = key.await else {
            // There is no session here; the frames tell the node where to go.
            return std::future::pending().await;
        };
        let ended = read(reader, key, config).await;
        let down = coordinator::Event::NodeDown(key);
        config.events.send(down).await.map_err(io::Error::other)?;
        ended
    };
    tokio::select! {
        ended = sending => ended,
        ended = receiving => ended,
    }
}

async fn write(
    mut writer: tcp::OwnedWriteHalf,
    mut frames: mpsc::Receiver<Bytes>,
) -> io::Result<()> {
    while let Some(frame) = frames.recv().await {
        writer.write_all(&frame).await?;
    }
    writer.shutdown().await
}

async fn read(
    reader: tcp::OwnedReadHalf,
    key: coordinator::leader::Session,
    config: &Config,
) -> io::Result<()> {
    let mut frames = FramedRead::new(reader, Codec::new());
    loop {
        let Some(frame) = tokio::time::timeout(SILENCE, frames.next()).await? else {
            return Ok(());
        };
        let event = coordinator::Event::NodeFrame(key, frame?);
        config.events.send(event).await.map_err(io::Error::other)?;
    }
}
