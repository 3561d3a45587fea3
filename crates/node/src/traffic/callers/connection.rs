//! Connections of callers.
//!
//! poem polls a connection again after an error, and goes on running a handler
//! whose caller is gone. A body that breaks off would then be ended by a valid
//! last chunk, and a cancelled request would run on. So the stream of each
//! connection has a `Line` that its requests share: the stream tells it that
//! the caller is gone, and a request whose answer is cut tells it to reset the
//! connection. The stream also bounds how long a caller may keep it waiting.

use std::io;
use std::net;
use std::pin::Pin;
use std::sync;
use std::sync::atomic;
use std::task;
use std::time::Duration;

use poem::http::uri;
use poem::web;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time;
use tokio_util::sync::CancellationToken;

use super::refusal;

/// Name of the custom address that carries the key of a connection.
const ADDRESS: &str = "connection";
/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

slotmap::new_key_type! {
    /// Key of an open connection.
    struct Key;
}

/// Bounds of the connections.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections at the same time.
    pub connections: usize,
    /// Time for the head of a request to arrive.
    pub head: Duration,
    /// Time without a request after which a connection is closed.
    pub idle: Duration,
    /// Time without progress of an answer after which the connection is reset.
    pub stall: Duration,
}

/// Open connections by their keys.
#[derive(Debug)]
pub struct Connections {
    limits: Limits,
    // Locked to look up, add or remove one connection, never across an `await`.
    lines: sync::Mutex<slotmap::SlotMap<Key, sync::Arc<Line>>>,
    refusals: refusal::Refusals,
}

/// What a connection and its requests tell each other.
#[derive(Debug, Default)]
pub(super) struct Line {
    gone: CancellationToken,
    cut: atomic::AtomicBool,
    started: atomic::AtomicU64,
    running: atomic::AtomicUsize,
}

/// A request that runs on a connection.
#[derive(Debug)]
pub(super) struct Running(sync::Arc<Line>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, atomic::Ordering::AcqRel);
    }
}

impl Line {
    /// Notes that a request has started.
    pub(super) fn start(self: &sync::Arc<Self>) -> Running {
        self.running.fetch_add(1, atomic::Ordering::AcqRel);
        self.started.fetch_add(1, atomic::Ordering::AcqRel);
        Running(sync::Arc::clone(self))
    }

    /// Resets the connection instead of writing more of an answer.
    pub(super) fn cut(&self) {
        self.cut.store(true, atomic::Ordering::Release);
    }

    /// Returns the token that is cancelled when the caller is gone.
    pub(super) const fn gone(&self) -> &CancellationToken {
        &self.gone
    }

    fn is_cut(&self) -> bool {
        self.cut.load(atomic::Ordering::Acquire)
    }

    fn is_running(&self) -> bool {
        self.running.load(atomic::Ordering::Acquire) > 0
    }

    fn started(&self) -> u64 {
        self.started.load(atomic::Ordering::Acquire)
    }
}

impl Connections {
    /// Starts without connections.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            lines: sync::Mutex::default(),
            refusals: refusal::Refusals::new(),
        }
    }

    /// Finds the connection that a request came over.
    pub(super) fn line(&self, remote: &web::RemoteAddr) -> Option<sync::Arc<Line>> {
        let poem::Addr::Custom(ADDRESS, number) = &remote.0 else {
            return None;
        };
        let key = slotmap::KeyData::from_ffi(number.parse().ok()?);
        self.lock().get(key.into()).cloned()
    }

    fn open(self: &sync::Arc<Self>, socket: TcpStream) -> Option<Stream> {
        let line = sync::Arc::new(Line::default());
        let mut lines = self.lock();
        if lines.len() >= self.limits.connections {
            drop(lines);
            self.refusals.refuse(socket);
            return None;
        }
        let key = lines.insert(sync::Arc::clone(&line));
        drop(lines);
        Some(Stream {
            socket: Some(socket),
            connections: sync::Arc::clone(self),
            key,
            line,
            reading: Reading::Head,
            seen: 0,
            read_limit: Timer::default(),
            write_limit: Timer::default(),
        })
    }

    fn lock(&self) -> sync::MutexGuard<'_, slotmap::SlotMap<Key, sync::Arc<Line>>> {
        self.lines
            .lock()
            .expect("no code panics while it holds the lock of the connections")
    }
}

/// Accepts connections of callers.
#[derive(Debug)]
pub struct Acceptor {
    listener: TcpListener,
    connections: sync::Arc<Connections>,
}

impl Acceptor {
    /// Makes an acceptor whose connections are listed in `connections`.
    pub const fn new(listener: TcpListener, connections: sync::Arc<Connections>) -> Self {
        Self {
            listener,
            connections,
        }
    }

    fn admit(&self, socket: TcpStream) -> io::Result<Option<(Stream, net::SocketAddr)>> {
        socket.set_nodelay(true)?;
        let local = socket.local_addr()?;
        Ok(self.connections.open(socket).map(|stream| (stream, local)))
    }
}

impl poem::listener::Acceptor for Acceptor {
    type Io = Stream;

    fn local_addr(&self) -> Vec<web::LocalAddr> {
        let address = self.listener.local_addr().ok();
        address
            .map(|address| web::LocalAddr(address.into()))
            .into_iter()
            .collect()
    }

    async fn accept(
        &mut self,
    ) -> io::Result<(Stream, web::LocalAddr, web::RemoteAddr, uri::Scheme)> {
        loop {
            let socket = match self.listener.accept().await {
                Ok((socket, _)) => socket,
                Err(error) => {
                    tracing::warn!(%error, "no connection could be accepted");
                    time::sleep(ACCEPT_PAUSE).await;
                    continue;
                }
            };
            // A connection that ended before it was set up concerns nobody else.
            let Ok(Some((stream, local))) = self.admit(socket) else {
                continue;
            };
            let number = slotmap::Key::data(&stream.key).as_ffi().to_string();
            let remote = poem::Addr::Custom(ADDRESS, number.into());
            return Ok((
                stream,
                web::LocalAddr(local.into()),
                web::RemoteAddr(remote),
                uri::Scheme::HTTP,
            ));
        }
    }
}

/// What a connection without a running request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reading {
    /// The rest of a head.
    Head,
    /// The first byte of the next request.
    Nothing,
}

/// A limit of one wait; armed at the start of the wait.
#[derive(Debug, Default)]
struct Timer {
    sleep: Option<Pin<Box<time::Sleep>>>,
    armed: bool,
}

impl Timer {
    fn arm(&mut self, limit: Duration) {
        let end = time::Instant::now() + limit;
        match &mut self.sleep {
            Some(sleep) => sleep.as_mut().reset(end),
            None => self.sleep = Some(Box::pin(time::sleep_until(end))),
        }
        self.armed = true;
    }

    const fn disarm(&mut self) {
        self.armed = false;
    }

    fn has_ended(&mut self, context: &mut task::Context<'_>) -> bool {
        let sleep = self.sleep.as_mut().filter(|_| self.armed);
        sleep.is_some_and(|sleep| sleep.as_mut().poll(context).is_ready())
    }
}

/// The connection of one caller.
#[derive(Debug)]
pub struct Stream {
    // Gone once the connection was reset. The stream then reads as ended and takes
    // writes without effect, since hyper must not be polled after an error, as poem does.
    socket: Option<TcpStream>,
    connections: sync::Arc<Connections>,
    key: Key,
    line: sync::Arc<Line>,
    reading: Reading,
    // Requests that had started when the present wait for a request began.
    seen: u64,
    read_limit: Timer,
    write_limit: Timer,
}

impl Stream {
    /// Returns the socket, unless the connection was or is to be reset.
    /// Tells whether small writes are sent at once.
    ///
    /// # Errors
    ///
    /// Fails if the connection has ended.
    pub fn nodelay(&self) -> io::Result<bool> {
        let ended = || io::Error::from(io::ErrorKind::NotConnected);
        self.socket.as_ref().ok_or_else(ended)?.nodelay()
    }

    fn live(&mut self) -> Option<&mut TcpStream> {
        if self.line.is_cut() {
            self.reset();
        }
        self.socket.as_mut()
    }

    fn reset(&mut self) {
        self.line.gone.cancel();
        if let Some(socket) = self.socket.take() {
            // A reset, since an answer whose end is the end of the connection would look whole.
            let _ = socket.set_zero_linger();
        }
    }

    /// Bounds the wait for a request; a running request has its own deadline.
    fn check_wait(&mut self, context: &mut task::Context<'_>) -> bool {
        if self.line.is_running() {
            return false;
        }
        let limits = &self.connections.limits;
        let started = self.line.started();
        if started != self.seen {
            self.seen = started;
            self.reading = Reading::Nothing;
            self.read_limit.arm(limits.idle);
        } else if !self.read_limit.armed {
            self.read_limit.arm(limits.head);
        }
        self.read_limit.has_ended(context)
    }

    /// Notes bytes of a request; only the first ones start the wait for its head.
    fn note_bytes(&mut self) {
        if self.reading == Reading::Nothing && !self.line.is_running() {
            self.reading = Reading::Head;
            self.read_limit.arm(self.connections.limits.head);
        }
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        if self.line.is_cut() {
            self.reset();
        }
        self.line.gone.cancel();
        self.connections.lock().remove(self.key);
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let (before, room) = (buffer.filled().len(), buffer.remaining());
        let Some(socket) = self.live() else {
            return task::Poll::Ready(Ok(()));
        };
        let task::Poll::Ready(result) = Pin::new(socket).poll_read(context, buffer) else {
            if self.check_wait(context) {
                self.reset();
                return task::Poll::Ready(Ok(()));
            }
            return task::Poll::Pending;
        };
        if buffer.filled().len() > before {
            self.note_bytes();
        } else if result.is_err() || room > 0 {
            self.line.gone.cancel();
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
        let Some(socket) = self.live() else {
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
                    tracing::info!("a caller does not read its answer");
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
        let Some(socket) = self.live() else {
            return task::Poll::Ready(Ok(()));
        };
        let flushed = Pin::new(socket).poll_flush(context);
        // hyper flushes after each answer, but does not poll a read that is still pending.
        if flushed.is_ready() && self.check_wait(context) {
            self.reset();
            context.waker().wake_by_ref();
        }
        flushed
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        match self.live() {
            Some(socket) => Pin::new(socket).poll_shutdown(context),
            None => task::Poll::Ready(Ok(())),
        }
    }
}
