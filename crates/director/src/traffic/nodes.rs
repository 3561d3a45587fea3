//! Sessions of nodes.

use std::io;
use std::rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use sequoiayoke_link::{codec, session};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, tcp};
use tokio::sync::{mpsc, oneshot};
use tokio::{task, time};
use tokio_util::codec::FramedRead;

use super::Config;
use super::replicas;
use crate::coordinator;

/// Maximum number of frames that are queued for one node.
const QUEUE_CAPACITY: usize = 256;
/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time without a message after which a session is closed. Nodes renew every second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time for which a session that this replica has ended waits for the node to close the connection.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// Size of the buffer for bytes that are discarded.
const DISCARD_BYTES: usize = 1_024;

type Codec = codec::Codec<session::FromControl, session::FromNode>;

/// Accepts the connections of nodes until the replica stops, and waits until they are closed.
pub(super) async fn accept(listener: TcpListener, config: rc::Rc<Config>) {
    let mut sessions = task::JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((io, address)) => {
                    let config = rc::Rc::clone(&config);
                    sessions.spawn_local(async move {
                        if let Err(error) = serve(io, &config).await {
                            tracing::debug!(%address, %error, "the session of a node ended");
                        }
                    });
                }
                Err(error) => {
                    tracing::warn!(%error, "no connection could be accepted");
                    time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            Some(_) = sessions.join_next() => {}
            () = config.stop.cancelled() => break,
        }
    }
    drop(listener);
    while sessions.join_next().await.is_some() {}
}

async fn serve(io: TcpStream, config: &Config) -> io::Result<()> {
    replicas::set_socket_options(&io)?;
    let (mut reader, mut writer) = io.into_split();
    let (queue, frames) = mpsc::channel(QUEUE_CAPACITY);
    let (reply, session) = oneshot::channel();
    let event = coordinator::Event::NodeUp(queue, reply);
    config.events.send(event).await.map_err(io::Error::other)?;
    let Ok(session) = session.await else {
        // This replica opened no session; the queued frames redirect the node to the leader.
        write(&mut writer, frames).await?;
        return discard(&mut reader).await;
    };
    let (result, is_queue_closed) = tokio::select! {
        result = write(&mut writer, frames) => (result, true),
        result = read(&mut reader, session, config) => (result, false),
    };
    // The leader keeps a session until it learns of the end, whichever side ended it.
    let down = coordinator::Event::NodeDown(session);
    config.events.send(down).await.map_err(io::Error::other)?;
    result?;
    if is_queue_closed {
        discard(&mut reader).await?;
    }
    Ok(())
}

/// Reads and discards what the node sends until it closes the connection, for a limited time.
///
/// A close with unread bytes resets the connection, and the node may lose the last frames.
async fn discard(reader: &mut tcp::OwnedReadHalf) -> io::Result<()> {
    let read = async {
        let mut discarded = [0; DISCARD_BYTES];
        while reader.read(&mut discarded).await? > 0 {}
        Ok(())
    };
    let closed = time::timeout(LINGER_TIMEOUT, read).await;
    closed.unwrap_or(Ok(()))
}

async fn write(
    writer: &mut tcp::OwnedWriteHalf,
    mut frames: mpsc::Receiver<Bytes>,
) -> io::Result<()> {
    while let Some(frame) = frames.recv().await {
        writer.write_all(&frame).await?;
    }
    writer.shutdown().await
}

async fn read(
    reader: &mut tcp::OwnedReadHalf,
    session: coordinator::leader::Session,
    config: &Config,
) -> io::Result<()> {
    let mut frames = FramedRead::new(reader, Codec::new());
    loop {
        let Some(frame) = time::timeout(IDLE_TIMEOUT, frames.next()).await? else {
            return Ok(());
        };
        let event = coordinator::Event::NodeFrame(session, frame?);
        config.events.send(event).await.map_err(io::Error::other)?;
    }
}
