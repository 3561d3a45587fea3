//! Connections of callers.
//!
//! poem polls a connection again after an error, and continues to run a handler
//! whose caller has disconnected. A truncated body would then be terminated by a
//! valid last chunk, and a cancelled request would continue to run. Therefore the
//! stream of each connection shares a `State` with its requests: the stream marks
//! it as disconnected, and a request whose answer is truncated marks it as aborted,
//! which resets the connection. The stream also limits how long it waits for a
//! caller.

mod state;
mod timer;

use std::future;
use std::io;
use std::net;
use std::pin::Pin;
use std::sync;
use std::task;
use std::time::Duration;

use poem::http::uri;
use poem::web;
use sequoiayoke_supervise::Stop;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time;
use tokio_util::sync::WaitForCancellationFutureOwned;

use super::refusal;
pub(super) use state::{Running, State};

/// Scheme of the custom address that carries the key of a connection.
const ADDRESS_SCHEME: &str = "connection";
/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time without a byte after which a connection without a request is closed at a shutdown.
const QUIET_TIME: Duration = Duration::from_millis(200);
/// Maximum time for which a connection is read after its last answer. Closing a socket with
/// unread bytes resets the connection, and the caller could lose the answer.
const LINGER_TIME: Duration = Duration::from_secs(1);

slotmap::new_key_type! {
    /// Key of an open connection.
    struct Key;
}

/// Limits on connections.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of concurrent connections.
    pub connections: usize,
    /// Timeout for the arrival of the head of a request.
    pub head: Duration,
    /// Time without a request after which a connection is closed.
    pub idle: Duration,
    /// Time without progress of an answer after which the connection is reset.
    pub stall: Duration,
}

/// Registry of the open connections.
#[derive(Debug)]
pub struct Connections {
    limits: Limits,
    // Locked to look up, add or remove one connection, never across an `await`.
    states: sync::Mutex<slotmap::SlotMap<Key, sync::Arc<State>>>,
    refusals: refusal::Refusals,
    closing: Stop,
    // Each acceptor with an open listener and each HTTP/1 connection holds a receiver.
    open: watch::Sender<()>,
}

impl Connections {
    /// Creates a registry without connections.
    pub fn new(limits: Limits) -> Self {
        Self::with_closing(limits, Stop::new())
    }

    /// Creates a registry whose acceptors and connections close once `closing` is cancelled.
    pub fn with_closing(limits: Limits, closing: Stop) -> Self {
        Self {
            limits,
            states: sync::Mutex::default(),
            refusals: refusal::Refusals::new(),
            closing,
            open: watch::Sender::new(()),
        }
    }

    /// Waits until the listeners and all HTTP/1 connections have been closed at a shutdown.
    pub async fn closed(&self) {
        self.closing.cancelled().await;
        self.open.closed().await;
    }

    /// Returns the state of the connection on which a request arrived.
    pub(super) fn state(&self, remote: &web::RemoteAddr) -> Option<sync::Arc<State>> {
        let poem::Addr::Custom(ADDRESS_SCHEME, number) = &remote.0 else {
            return None;
        };
        let key = slotmap::KeyData::from_ffi(number.parse().ok()?);
        self.lock().get(key.into()).cloned()
    }

    fn open(self: &sync::Arc<Self>, socket: TcpStream) -> Option<Stream> {
        let state = sync::Arc::new(State::default());
        let mut states = self.lock();
        if states.len() >= self.limits.connections {
            drop(states);
            self.refusals.refuse(socket);
            return None;
        }
        let key = states.insert(sync::Arc::clone(&state));
        drop(states);
        Some(Stream {
            socket: Some(socket),
            connections: sync::Arc::clone(self),
            key,
            state,
            reading: Reading::Start,
            seen_started: 0,
            closing: Box::pin(self.closing.clone().cancelled_owned()),
            quiet_limit: timer::Timer::default(),
            has_ended: false,
            linger_limit: timer::Timer::default(),
            open: Some(self.open.subscribe()),
            read_limit: timer::Timer::default(),
            write_limit: timer::Timer::default(),
        })
    }

    fn lock(&self) -> sync::MutexGuard<'_, slotmap::SlotMap<Key, sync::Arc<State>>> {
        self.states
            .lock()
            .expect("no code panics while it holds the lock of the connections")
    }
}

/// Accepts connections of callers.
#[derive(Debug)]
pub struct Acceptor {
    // `None` once it has been closed at a shutdown.
    listener: Option<(TcpListener, watch::Receiver<()>)>,
    connections: sync::Arc<Connections>,
}

impl Acceptor {
    /// Creates an acceptor whose connections are registered in `connections`.
    pub fn new(listener: TcpListener, connections: sync::Arc<Connections>) -> Self {
        let open = connections.open.subscribe();
        Self {
            listener: Some((listener, open)),
            connections,
        }
    }

    /// Accepts the next connection. At a shutdown it accepts those that are already established,
    /// then closes the listener and waits forever.
    async fn accept_socket(&mut self) -> io::Result<TcpStream> {
        if let Some((listener, _)) = &self.listener {
            tokio::select! {
                biased;
                accepted = listener.accept() => return accepted.map(|(socket, _)| socket),
                () = self.connections.closing.cancelled() => {}
            }
        }
        self.listener = None;
        future::pending().await
    }

    fn register(&self, socket: TcpStream) -> io::Result<Option<(Stream, net::SocketAddr)>> {
        socket.set_nodelay(true)?;
        let local = socket.local_addr()?;
        Ok(self.connections.open(socket).map(|stream| (stream, local)))
    }
}

impl poem::listener::Acceptor for Acceptor {
    type Io = Stream;

    fn local_addr(&self) -> Vec<web::LocalAddr> {
        let listener = self.listener.as_ref();
        let address = listener.and_then(|(listener, _)| listener.local_addr().ok());
        address
            .map(|address| web::LocalAddr(address.into()))
            .into_iter()
            .collect()
    }

    async fn accept(
        &mut self,
    ) -> io::Result<(Stream, web::LocalAddr, web::RemoteAddr, uri::Scheme)> {
        loop {
            let socket = match self.accept_socket().await {
                Ok(socket) => socket,
                Err(error) => {
                    tracing::warn!(%error, "failed to accept a connection from a caller");
                    time::sleep(ACCEPT_RETRY_DELAY).await;
                    continue;
                }
            };
            // A connection that was refused, or ended before it was set up, is skipped.
            let Ok(Some((stream, local))) = self.register(socket) else {
                continue;
            };
            let number = slotmap::Key::data(&stream.key).as_ffi().to_string();
            let remote = poem::Addr::Custom(ADDRESS_SCHEME, number.into());
            return Ok((
                stream,
                web::LocalAddr(local.into()),
                web::RemoteAddr(remote),
                uri::Scheme::HTTP,
            ));
        }
    }
}

/// What a connection without a running request is waiting for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reading {
    /// The first byte of the first request.
    Start,
    /// The rest of a head.
    Head,
    /// The first byte of the next request.
    Nothing,
}

/// The connection of one caller.
#[derive(Debug)]
pub struct Stream {
    // `None` after a reset. Reads then return the end of the stream and writes are discarded
    // without an error, since poem polls hyper after an error, which hyper does not allow.
    socket: Option<TcpStream>,
    connections: sync::Arc<Connections>,
    key: Key,
    state: sync::Arc<State>,
    reading: Reading,
    // Number of requests that had started when the current wait for a request began.
    seen_started: u64,
    read_limit: timer::Timer,
    write_limit: timer::Timer,
    // Completes when the listener closes at a shutdown.
    closing: Pin<Box<WaitForCancellationFutureOwned>>,
    quiet_limit: timer::Timer,
    // Whether the connection was closed at a shutdown, because no request arrived.
    has_ended: bool,
    linger_limit: timer::Timer,
    // `None` if the HTTP library announces the end of the connection to the caller itself.
    open: Option<watch::Receiver<()>>,
}

impl Stream {
    /// Returns whether small writes are sent without delay.
    ///
    /// # Errors
    ///
    /// Fails if the connection has ended.
    pub fn nodelay(&self) -> io::Result<bool> {
        let ended = || io::Error::from(io::ErrorKind::NotConnected);
        self.socket.as_ref().ok_or_else(ended)?.nodelay()
    }

    /// Returns the socket, unless the connection was reset or has to be.
    fn live_socket(&mut self) -> Option<&mut TcpStream> {
        if self.state.is_aborted() {
            self.reset();
        }
        self.socket.as_mut()
    }

    fn reset(&mut self) {
        self.state.disconnected().cancel();
        if let Some(socket) = self.socket.take() {
            // Without a reset, an answer that ends with the connection would appear complete.
            let _ = socket.set_zero_linger();
        }
    }

    /// Returns whether the wait for a request has timed out; a running request has its own
    /// deadline.
    fn has_wait_ended(&mut self, context: &mut task::Context<'_>) -> bool {
        if self.state.is_running() {
            return false;
        }
        let limits = &self.connections.limits;
        let started = self.state.started();
        if started != self.seen_started {
            self.seen_started = started;
            self.reading = Reading::Nothing;
            self.read_limit.arm(limits.idle);
        } else if !self.read_limit.armed {
            self.read_limit.arm(limits.head);
        }
        self.read_limit.has_ended(context)
    }

    /// Returns whether, in a shutdown, no request has begun to arrive for [`QUIET_TIME`] and no
    /// answer is being written.
    fn is_quiet(&mut self, context: &mut task::Context<'_>) -> bool {
        if self.state.is_multiplexed() {
            self.open = None;
            return false;
        }
        if self.closing.as_mut().poll(context).is_pending()
            || self.state.is_running()
            || self.reading == Reading::Head
            || self.write_limit.armed
        {
            self.quiet_limit.disarm();
            return false;
        }
        if !self.quiet_limit.armed {
            self.quiet_limit.arm(QUIET_TIME);
        }
        self.quiet_limit.has_ended(context)
    }

    /// Records received bytes; only the first ones of a request start the timeout of its head.
    fn record_bytes(&mut self) {
        self.quiet_limit.disarm();
        if self.state.is_running() {
            return;
        }
        if self.reading == Reading::Nothing {
            self.read_limit.arm(self.connections.limits.head);
        }
        self.reading = Reading::Head;
    }

    /// Discards received bytes until the caller closes the connection, or for [`LINGER_TIME`].
    fn poll_linger(&mut self, context: &mut task::Context<'_>) -> task::Poll<()> {
        if !self.linger_limit.armed {
            self.linger_limit.arm(LINGER_TIME);
        }
        let mut discarded = [0; 4096];
        while let Some(socket) = &mut self.socket {
            let mut buffer = ReadBuf::new(&mut discarded);
            match Pin::new(socket).poll_read(context, &mut buffer) {
                task::Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {}
                task::Poll::Ready(_) => break,
                task::Poll::Pending if self.linger_limit.has_ended(context) => break,
                task::Poll::Pending => return task::Poll::Pending,
            }
        }
        task::Poll::Ready(())
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        if self.state.is_aborted() {
            self.reset();
        }
        self.state.disconnected().cancel();
        self.connections.lock().remove(self.key);
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let (before, capacity) = (buffer.filled().len(), buffer.remaining());
        if self.has_ended {
            return task::Poll::Ready(Ok(()));
        }
        let Some(socket) = self.live_socket() else {
            return task::Poll::Ready(Ok(()));
        };
        let task::Poll::Ready(result) = Pin::new(socket).poll_read(context, buffer) else {
            if self.has_wait_ended(context) {
                self.reset();
                return task::Poll::Ready(Ok(()));
            }
            if self.is_quiet(context) {
                self.has_ended = true;
                return task::Poll::Ready(Ok(()));
            }
            return task::Poll::Pending;
        };
        if buffer.filled().len() > before {
            self.record_bytes();
        } else if result.is_err() || capacity > 0 {
            self.state.disconnected().cancel();
        }
        task::Poll::Ready(result)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let Some(socket) = self.live_socket() else {
            return task::Poll::Ready(Ok(buffer.len()));
        };
        match Pin::new(socket).poll_write(context, buffer) {
            task::Poll::Ready(Ok(written)) => {
                self.write_limit.disarm();
                task::Poll::Ready(Ok(written))
            }
            task::Poll::Ready(Err(_)) => {
                self.reset();
                task::Poll::Ready(Ok(buffer.len()))
            }
            task::Poll::Pending => {
                if !self.write_limit.armed {
                    let stall = self.connections.limits.stall;
                    self.write_limit.arm(stall);
                }
                if self.write_limit.has_ended(context) {
                    tracing::info!(
                        "resetting the connection of a caller that does not read its answer"
                    );
                    self.reset();
                    return task::Poll::Ready(Ok(buffer.len()));
                }
                task::Poll::Pending
            }
        }
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        let Some(socket) = self.live_socket() else {
            return task::Poll::Ready(Ok(()));
        };
        let flushed = Pin::new(socket).poll_flush(context);
        // hyper flushes after each answer, but does not poll a read that is still pending.
        if flushed.is_ready() && self.has_wait_ended(context) {
            self.reset();
            context.waker().wake_by_ref();
        }
        if flushed.is_ready() && !self.has_ended && self.is_quiet(context) {
            self.has_ended = true;
            context.waker().wake_by_ref();
        }
        flushed
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        let is_lingering = self.linger_limit.armed;
        let Some(socket) = self.live_socket() else {
            return task::Poll::Ready(Ok(()));
        };
        if !is_lingering {
            task::ready!(Pin::new(socket).poll_shutdown(context))?;
        }
        self.poll_linger(context).map(Ok)
    }
}
