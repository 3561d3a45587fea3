//! Connections to the backend server that start a request only while the lease is valid.
//!
//! The node can be suspended between the check of its lease and the write of a
//! request. A connection therefore checks the lease again in the call that writes the
//! first bytes: a node that resumes without a valid lease writes nothing, which also
//! protects a backend server that does not check fencing.

use std::io;
use std::net;
use std::pin::Pin;
use std::sync;
use std::sync::atomic;
use std::task;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use sequoiayoke_model::clock;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time;

use super::Failure;

/// Header with the number of an exchange, which the server may repeat in its response. A response
/// with another number belongs to another request.
const EXCHANGE: hyper::header::HeaderName =
    hyper::header::HeaderName::from_static("sequoiayoke-exchange");

/// The lease under which the current request of a connection may start.
#[derive(Debug, Default)]
struct Lease {
    until_us: atomic::AtomicU64,
    // Whether the next write starts the request. The server may send before it has the whole
    // request, so received bytes do not show that a request has ended.
    starts_request: atomic::AtomicBool,
    has_refused: atomic::AtomicBool,
}

impl Lease {
    /// Allows one request to start until `until`.
    fn arm(&self, until: clock::Instant) {
        let until_us = until.as_micros();
        self.until_us.store(until_us, atomic::Ordering::Release);
        self.starts_request.store(true, atomic::Ordering::Release);
    }

    /// Records that the request has started.
    fn start(&self) {
        self.starts_request.store(false, atomic::Ordering::Release);
    }
}

/// A socket that checks the lease before the first bytes of each request.
#[derive(Debug)]
struct Socket<C> {
    io: TcpStream,
    clock: C,
    lease: sync::Arc<Lease>,
}

impl<C> Socket<C>
where
    C: clock::Clock,
{
    fn check_lease(&self) -> io::Result<()> {
        let until = self.lease.until_us.load(atomic::Ordering::Acquire);
        let starts_request = self.lease.starts_request.load(atomic::Ordering::Acquire);
        if !starts_request || self.clock.now() < clock::Instant::from_micros(until) {
            return Ok(());
        }
        self.lease
            .has_refused
            .store(true, atomic::Ordering::Release);
        Err(io::Error::new(
            io::ErrorKind::PermissionDenied,
            "the lease has expired",
        ))
    }
}

impl<C> AsyncRead for Socket<C>
where
    C: Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(context, buffer)
    }
}

impl<C> AsyncWrite for Socket<C>
where
    C: clock::Clock + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        self.check_lease()?;
        let count = task::ready!(Pin::new(&mut self.io).poll_write(context, bytes))?;
        self.lease.start();
        task::Poll::Ready(Ok(count))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        self.check_lease()?;
        let count = task::ready!(Pin::new(&mut self.io).poll_write_vectored(context, parts))?;
        self.lease.start();
        task::Poll::Ready(Ok(count))
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(context)
    }
}

/// A connection that carries one request at a time.
#[derive(Debug)]
struct Connection {
    sender: http1::SendRequest<reqwest::Body>,
    lease: sync::Arc<Lease>,
}

/// Connections to one backend server.
#[derive(Clone, Debug)]
pub struct Pool<C> {
    clock: C,
    address: net::SocketAddr,
    connect: Duration,
    max_idle: usize,
    // Number of the next exchange.
    next: sync::Arc<atomic::AtomicU64>,
    // Locked to remove or add one connection, never across an `await`.
    idle: sync::Arc<sync::Mutex<Vec<Connection>>>,
}

impl<C> Pool<C>
where
    C: clock::Clock + Clone + Send + Unpin + 'static,
{
    /// Creates a pool without connections.
    pub fn new(clock: C, address: net::SocketAddr, connect: Duration, max_idle: usize) -> Self {
        Self {
            clock,
            address,
            connect,
            max_idle,
            next: sync::Arc::default(),
            idle: sync::Arc::default(),
        }
    }

    /// Sends a request that may start until `lease_until` and must end within `limit`.
    ///
    /// # Errors
    ///
    /// Fails if there is no response. [`Failure::NotSent`] and [`Failure::LeaseExpired`]
    /// mean that nothing was written.
    pub async fn send(
        &self,
        mut request: hyper::Request<reqwest::Body>,
        lease_until: clock::Instant,
        limit: Duration,
    ) -> Result<hyper::Response<reqwest::Body>, Failure> {
        let deadline = time::Instant::now() + limit;
        let exchange = self.next.fetch_add(1, atomic::Ordering::Relaxed).into();
        request.headers_mut().insert(EXCHANGE, exchange);
        let exchange = request.headers().get(EXCHANGE).cloned();
        let checkout = time::timeout_at(deadline, self.checkout());
        let mut connection = checkout.await.map_err(|_| Failure::NotSent)??;
        let lease = sync::Arc::clone(&connection.lease);
        lease.arm(lease_until);
        let sent = time::timeout_at(deadline, connection.sender.send_request(request)).await;
        let response = match sent {
            Ok(Ok(response)) => response,
            _ if lease.has_refused.load(atomic::Ordering::Acquire) => {
                return Err(Failure::LeaseExpired);
            }
            // The connection had ended before it dequeued the request.
            Ok(Err(error)) if error.is_canceled() => return Err(Failure::NotSent),
            Ok(Err(_)) => return Err(Failure::Lost),
            Err(_) => return Err(Failure::TimedOut),
        };
        // The connection is closed, since its further responses cannot be matched either.
        if response
            .headers()
            .get(EXCHANGE)
            .is_some_and(|repeated| Some(repeated) != exchange.as_ref())
        {
            return Err(Failure::Mismatched);
        }
        // A server could repeat a refusal on its connection, where it would be taken for the
        // response to a request that has run.
        if !is_refusal(&response) {
            self.check_in(connection);
        }
        let body = |incoming| Deadline {
            incoming,
            passed: Box::pin(time::sleep_until(deadline)),
        };
        Ok(response.map(|incoming| reqwest::Body::wrap(body(incoming))))
    }

    /// Returns the most recently used idle connection, or opens a new one.
    async fn checkout(&self) -> Result<Connection, Failure> {
        while let Some(connection) = self.lock().pop() {
            if connection.sender.is_ready() {
                return Ok(connection);
            }
        }
        let opened = time::timeout(self.connect, TcpStream::connect(self.address)).await;
        let io = opened
            .map_err(|_| Failure::NotSent)?
            .map_err(|_| Failure::NotSent)?;
        io.set_nodelay(true).map_err(|_| Failure::NotSent)?;
        let lease = sync::Arc::<Lease>::default();
        let socket = Socket {
            io,
            clock: self.clock.clone(),
            lease: sync::Arc::clone(&lease),
        };
        let (sender, driver) = http1::handshake(TokioIo::new(socket))
            .await
            .map_err(|_| Failure::NotSent)?;
        tokio::spawn(async move {
            if let Err(error) = driver.await {
                tracing::debug!(%error, "a connection to the backend server failed");
            }
        });
        Ok(Connection { sender, lease })
    }

    /// Returns the connection to the pool once its response has ended.
    fn check_in(&self, mut connection: Connection) {
        let pool = self.clone();
        tokio::spawn(async move {
            if connection.sender.ready().await.is_ok() {
                let mut idle = pool.lock();
                if idle.len() < pool.max_idle {
                    idle.push(connection);
                }
            }
        });
    }

    fn lock(&self) -> sync::MutexGuard<'_, Vec<Connection>> {
        self.idle
            .lock()
            .expect("no code panics while it holds the lock of the pool")
    }
}

/// Returns whether the server states that it has not run the request.
pub(super) fn is_refusal<B>(response: &hyper::Response<B>) -> bool {
    response.status() == hyper::StatusCode::CONFLICT
        && response.headers().contains_key("sequoiayoke-refused")
}

/// Why the body of a response failed.
#[derive(Debug, thiserror::Error)]
enum Broken {
    /// The deadline has passed.
    #[error("the deadline has passed")]
    Deadline,
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Connection(#[from] hyper::Error),
}

/// The body of a response, which fails once its deadline has passed.
struct Deadline {
    incoming: Incoming,
    passed: Pin<Box<time::Sleep>>,
}

impl http_body::Body for Deadline {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<http_body::Frame<Bytes>, Self::Error>>> {
        if self.passed.as_mut().poll(context).is_ready() {
            return task::Poll::Ready(Some(Err(Broken::Deadline)));
        }
        let frame = task::ready!(Pin::new(&mut self.incoming).poll_frame(context));
        task::Poll::Ready(frame.map(|frame| frame.map_err(Into::into)))
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> http_body::SizeHint {
        self.incoming.size_hint()
    }
}
