//! Sessions of nodes.

use std::io;
use std::rc;
use std::time::Duration;

use bytes::Bytes;
use sequoiayoke_link::{account, codec, receive, session};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, tcp};
use tokio::sync::{mpsc, oneshot};
use tokio::{task, time};

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
/// Percentage of the memory of the process that the connections of nodes may hold.
const MEMORY_PERCENT: usize = 20;
/// Percentage of the descriptors of the process that they may take.
const DESCRIPTORS_PERCENT: usize = 60;
/// Size of the buffer for bytes that are discarded.
const DISCARD_BYTES: usize = 1_024;

type Codec = codec::Codec<session::FromControl, session::FromNode>;

/// Accepts the connections of nodes until the replica stops, and waits until they are closed.
pub(super) async fn accept(listener: TcpListener, config: rc::Rc<Config>) {
    let limits = config.limits.part(MEMORY_PERCENT, DESCRIPTORS_PERCENT);
    let account = rc::Rc::new(account::Account::new(limits));
    let mut sessions = task::JoinSet::new();
    loop {
        let accepted = async {
            account.wait_for_connection().await;
            listener.accept().await
        };
        tokio::select! {
            accepted = accepted => match accepted {
                Ok((io, address)) => {
                    let config = rc::Rc::clone(&config);
                    let holding = rc::Rc::new(account::Holding::new(&account));
                    sessions.spawn_local(async move {
                        if let Err(error) = serve(io, &holding, &config).await {
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

async fn serve(
    io: TcpStream,
    holding: &rc::Rc<account::Holding>,
    config: &Config,
) -> io::Result<()> {
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
        result = read(&mut reader, holding, session, config) => (result, false),
        () = holding.must_close() => {
            config.measure.record_closed("nodes");
            (Err(receive::no_room()), false)
        }
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
    holding: &rc::Rc<account::Holding>,
    session: coordinator::leader::Session,
    config: &Config,
) -> io::Result<()> {
    let mut messages = receive::Messages::new(reader, Codec::new(), rc::Rc::clone(holding));
    loop {
        let Some(message) = time::timeout(IDLE_TIMEOUT, messages.next()).await?? else {
            return Ok(());
        };
        let event = coordinator::Event::NodeFrame(session, message);
        config.events.send(event).await.map_err(io::Error::other)?;
    }
}
