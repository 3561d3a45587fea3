//! Outbound connections, over which requests are forwarded to other nodes.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, Stream, StreamExt};
use sequoiayoke_model::outcome;
use sequoiayoke_supervise::Stop;
use sequoiayoke_wire::auth;
use sequoiayoke_wire::convert;
use sequoiayoke_wire::frame;
use sequoiayoke_wire::stream;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task;
use tokio_util::codec;

use super::{WRITE_QUEUE_CAPACITY, incoming, outgoing};

pub(super) type Codec = frame::Codec<stream::Frame, stream::Frame>;

/// Time after which a connection without streams is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Time that the peer has to report the outcome of a request that is cancelled.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(100);

/// Configuration of the connections to other nodes.
#[derive(Clone, Debug)]
pub struct Config {
    /// Shared secret of the region's processes.
    pub secret: sync::Arc<[u8]>,
    /// Timeout for opening and authenticating a connection.
    pub connect: Duration,
    /// Maximum number of concurrent streams on one connection.
    pub streams: usize,
}

/// Pool with one connection to each node to which requests are forwarded.
#[derive(Debug)]
pub struct Pool {
    config: Config,
    // Locked to look up or replace a connection, never across an `await`.
    connections: sync::Mutex<collections::HashMap<net::SocketAddr, sync::Arc<Connection>>>,
}

#[derive(Debug)]
struct Connection {
    frames: mpsc::Sender<stream::Frame>,
    next: atomic::AtomicU64,
    table: sync::Mutex<Table>,
}

#[derive(Debug, Default)]
struct Table {
    streams: collections::HashMap<u64, Entry>,
    closed: bool,
}

#[derive(Debug)]
struct Entry {
    head: Option<oneshot::Sender<Result<stream::Head, outcome::Outcome>>>,
    feed: incoming::Feed,
    credit: outgoing::Credit,
}

/// A stream that has just been opened.
struct Opened {
    number: u64,
    incoming: incoming::Incoming,
    head: oneshot::Receiver<Result<stream::Head, outcome::Outcome>>,
    credit: outgoing::Credit,
}

/// Answer of the owner's node: its head, and a body that is still arriving.
#[derive(Debug)]
pub struct Reply {
    /// Head of the answer.
    pub head: stream::Head,
    /// The body.
    pub body: Body,
}

/// Body of a [`Reply`]; dropping it early resets the stream.
#[derive(Debug)]
pub struct Body {
    incoming: incoming::Incoming,
    _guard: Guard,
    _upload: Upload,
}

impl Stream for Body {
    type Item = io::Result<Bytes>;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        self.incoming.poll(context)
    }
}

/// Removes the stream when dropped, and resets it if it has not ended.
#[derive(Debug)]
struct Guard {
    connection: sync::Arc<Connection>,
    number: u64,
}

impl Drop for Guard {
    fn drop(&mut self) {
        let entry = self.connection.lock().streams.remove(&self.number);
        if entry.is_some() {
            // If the queue is full, the peer ends the request at its deadline.
            let _ = self.connection.frames.try_send(reset(self.number));
        }
    }
}

/// Returns the frame that cancels the request of a stream.
fn reset(number: u64) -> stream::Frame {
    let reason = convert::encode_reason(outcome::Reason::Cancelled);
    stream::Frame::new(number, stream::Body::Reset(stream::Reset { reason }))
}

/// Task that sends the body of the request; aborted when dropped.
#[derive(Debug)]
struct Upload(task::JoinHandle<outgoing::End>);

impl Drop for Upload {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Pool {
    /// Creates a pool without connections.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            connections: sync::Mutex::default(),
        }
    }

    /// Forwards a request and waits for the head of its answer, or until `cancel` is cancelled.
    ///
    /// # Errors
    ///
    /// Returns `NotRun` only if the head of the request was never written, or if the peer
    /// reports that the cancelled request did not run.
    pub async fn forward<B>(
        &self,
        address: net::SocketAddr,
        open: stream::Open,
        body: B,
        cancel: &Stop,
    ) -> Result<Reply, outcome::Outcome>
    where
        B: Stream<Item = io::Result<Bytes>> + Send + 'static,
    {
        let connection = self.connection(address);
        let unreachable = outcome::Outcome::NotRun(outcome::Reason::Unreachable);
        let permit = cancel.run_until_cancelled(connection.frames.reserve());
        let not_opened = outcome::Outcome::NotRun(outcome::Reason::Cancelled);
        let permit = permit.await.ok_or(not_opened)?;
        let permit = permit.map_err(|_| unreachable)?;
        let opened = connection.open(permit, open, self.config.streams)?;
        let (number, incoming, credit) = (opened.number, opened.incoming, opened.credit);
        let guard = Guard {
            connection: sync::Arc::clone(&connection),
            number,
        };
        let frames = connection.frames.clone();
        let upload = async move { outgoing::send(number, body, &credit, &frames).await };
        let mut upload = Upload(tokio::spawn(upload));
        let lost = outcome::Outcome::Unknown(outcome::Reason::ConnectionLost);
        let mut head = opened.head;
        let head = tokio::select! {
            biased;
            head = &mut head => head.unwrap_or(Err(lost))?,
            // The peer abandons a request whose body was truncated, without an answer.
            Ok(outgoing::End::Truncated) = &mut upload.0 => {
                return Err(outcome::Outcome::Unknown(outcome::Reason::Cancelled));
            }
            () = cancel.cancelled() => return Err(connection.cancel(number, head).await),
        };
        Ok(Reply {
            head,
            body: Body {
                incoming,
                _guard: guard,
                _upload: upload,
            },
        })
    }

    fn connection(&self, address: net::SocketAddr) -> sync::Arc<Connection> {
        let mut connections = self
            .connections
            .lock()
            .expect("no code panics while it holds the pool's lock");
        if let Some(connection) = connections.get(&address)
            && !connection.lock().closed
        {
            return sync::Arc::clone(connection);
        }
        connections.retain(|_, connection| !connection.lock().closed);
        let (frames, queue) = mpsc::channel(WRITE_QUEUE_CAPACITY);
        let connection = sync::Arc::new(Connection {
            frames,
            next: atomic::AtomicU64::new(1),
            table: sync::Mutex::default(),
        });
        connections.insert(address, sync::Arc::clone(&connection));
        let config = self.config.clone();
        let running = sync::Arc::clone(&connection);
        tokio::spawn(async move { running.run(address, &config, queue).await });
        connection
    }
}

impl Connection {
    fn lock(&self) -> sync::MutexGuard<'_, Table> {
        self.table
            .lock()
            .expect("no code panics while it holds a connection's lock")
    }

    /// Registers a stream and queues its head.
    ///
    /// The number is assigned and the head queued under one lock: the peer treats numbers
    /// that do not ascend as a protocol violation and closes the connection.
    fn open(
        &self,
        permit: mpsc::Permit<'_, stream::Frame>,
        open: stream::Open,
        limit: usize,
    ) -> Result<Opened, outcome::Outcome> {
        let mut table = self.lock();
        if table.closed {
            let reason = outcome::Reason::Unreachable;
            return Err(outcome::Outcome::NotRun(reason));
        }
        if table.streams.len() >= limit {
            return Err(outcome::Outcome::NotRun(outcome::Reason::Overload));
        }
        let number = self.next.fetch_add(1, atomic::Ordering::Relaxed);
        let (feed, incoming) = incoming::channel(number, self.frames.clone());
        let (sender, head) = oneshot::channel();
        let credit = outgoing::Credit::new();
        let entry = Entry {
            head: Some(sender),
            feed,
            credit: credit.clone(),
        };
        table.streams.insert(number, entry);
        permit.send(stream::Frame::new(number, stream::Body::Open(open)));
        Ok(Opened {
            number,
            incoming,
            head,
            credit,
        })
    }

    /// Cancels the request of a stream, and returns the outcome that the peer reports for it.
    async fn cancel(
        &self,
        number: u64,
        head: oneshot::Receiver<Result<stream::Head, outcome::Outcome>>,
    ) -> outcome::Outcome {
        let reported = async {
            let _ = self.frames.send(reset(number)).await;
            head.await
        };
        let reported = tokio::time::timeout(CANCEL_TIMEOUT, reported).await;
        let unknown = outcome::Outcome::Unknown(outcome::Reason::Cancelled);
        match reported {
            Ok(Ok(Ok(head))) => match convert::outcome(&head) {
                // The peer stops sending the body of an answer to a cancelled request.
                outcome::Outcome::Answered(_) => unknown,
                outcome => outcome,
            },
            Ok(Ok(Err(outcome))) => outcome,
            Ok(Err(_)) | Err(_) => unknown,
        }
    }

    async fn run(
        &self,
        address: net::SocketAddr,
        config: &Config,
        queue: mpsc::Receiver<stream::Frame>,
    ) {
        let connecting = tokio::time::timeout(config.connect, connect(address, &config.secret));
        let io = match connecting.await {
            Ok(Ok(io)) => io,
            Ok(Err(error)) => {
                tracing::warn!(%address, %error, "failed to connect to the node");
                return self.close(outcome::Outcome::NotRun(outcome::Reason::Unreachable));
            }
            Err(_) => {
                tracing::warn!(%address, "connecting to the node timed out");
                return self.close(outcome::Outcome::NotRun(outcome::Reason::Unreachable));
            }
        };
        let (reader, writer) = io.into_split();
        let frames = codec::FramedRead::new(reader, Codec::new());
        let sink = codec::FramedWrite::new(writer, Codec::new());
        tokio::select! {
            result = self.read(frames) => {
                if let Err(error) = result {
                    tracing::warn!(%address, %error, "the connection to the node failed");
                }
            }
            () = write(sink, queue) => {}
            () = self.wait_idle() => {}
        }
        let lost = outcome::Outcome::Unknown(outcome::Reason::ConnectionLost);
        self.close(lost);
    }

    async fn read<R>(&self, mut frames: R) -> io::Result<()>
    where
        R: Stream<Item = io::Result<stream::Frame>> + Unpin,
    {
        while let Some(frame) = frames.next().await {
            self.handle_frame(frame?)?;
        }
        Ok(())
    }

    fn handle_frame(&self, frame: stream::Frame) -> io::Result<()> {
        let mut table = self.lock();
        // A late frame of a stream that has ended is ignored.
        let Some(entry) = table.streams.get_mut(&frame.stream) else {
            return Ok(());
        };
        match frame.body {
            Some(stream::Body::Head(head)) => {
                let sender = entry
                    .head
                    .take()
                    .ok_or_else(|| violation("a stream has a second head"))?;
                let _ = sender.send(Ok(head));
            }
            Some(stream::Body::Data(chunk)) => {
                let result = entry.feed.data(chunk);
                result.map_err(|_| violation("credit exceeded, or data after the end"))?;
            }
            Some(stream::Body::End(_)) => {
                let result = entry.feed.end();
                result.map_err(|_| violation("a body was ended twice"))?;
                table.streams.remove(&frame.stream);
            }
            Some(stream::Body::Credit(size)) => entry.credit.grant(size),
            Some(stream::Body::Reset(reset)) => {
                let reason = convert::decode_reason(reset.reason);
                if let Some(entry) = table.streams.remove(&frame.stream) {
                    entry.end(outcome::Outcome::Unknown(reason));
                }
            }
            Some(stream::Body::Open(_)) | None => return Err(violation("unexpected frame type")),
        }
        Ok(())
    }

    async fn wait_idle(&self) {
        loop {
            let before = self.next.load(atomic::Ordering::Relaxed);
            tokio::time::sleep(IDLE_TIMEOUT).await;
            let mut table = self.lock();
            let is_used = self.next.load(atomic::Ordering::Relaxed) != before;
            if !is_used && table.streams.is_empty() {
                // Closed while the lock is held, so that no stream can be registered first.
                table.closed = true;
                return;
            }
        }
    }

    fn close(&self, outcome: outcome::Outcome) {
        let streams = {
            let mut table = self.lock();
            table.closed = true;
            std::mem::take(&mut table.streams)
        };
        for entry in streams.into_values() {
            entry.end(outcome);
        }
    }
}

impl Entry {
    fn end(self, outcome: outcome::Outcome) {
        self.credit.close();
        match self.head {
            Some(head) => {
                let _ = head.send(Err(outcome));
            }
            None => self.feed.truncate(outcome::Reason::ConnectionLost),
        }
    }
}

async fn connect(address: net::SocketAddr, secret: &[u8]) -> io::Result<TcpStream> {
    let io = TcpStream::connect(address).await?;
    io.set_nodelay(true)?;
    auth::connect(io, auth::Kind::Stream, secret).await
}

fn violation(text: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

/// Writes frames until the queue or the connection ends.
pub(super) async fn write(
    mut sink: codec::FramedWrite<OwnedWriteHalf, Codec>,
    mut queue: mpsc::Receiver<stream::Frame>,
) {
    while let Some(frame) = queue.recv().await {
        let mut result = sink.feed(&frame).await;
        // All queued frames are written to the socket together.
        while result.is_ok()
            && let Ok(frame) = queue.try_recv()
        {
            result = sink.feed(&frame).await;
        }
        if result.is_err() || SinkExt::<&stream::Frame>::flush(&mut sink).await.is_err() {
            return;
        }
    }
}
