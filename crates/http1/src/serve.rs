//! Small HTTP server for infrequent calls: readiness, metrics, announcements and operators.
//!
//! Requests of callers have their own listener.

mod connection;
mod memory;

use std::future;
use std::io;
use std::net;
use std::rc;
use std::sync;
use std::time::Duration;

use bytes::Bytes;
use sequoiayoke_supervise::Stop;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task;
use tokio::time;

use crate::request;

/// Largest number of concurrent connections. The request of a further one is refused with 503.
pub const MAX_CONNECTIONS: usize = 256;
/// Largest number of concurrent connections whose request is refused; further ones are closed when
/// they are accepted.
const MAX_REFUSALS: usize = 64;
/// Largest size of a request's body, in bytes, unless the server has another bound. A configuration
/// with thousands of routes fits.
pub const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;
/// Largest body of a request to a server of questions, in bytes.
const SMALL_BODY_BYTES: u64 = 256 * 1024;
/// Number of requests of the largest size that are read or handled at the same time.
const LARGEST_AT_ONCE: usize = 3;
/// Delay after which accepting is retried when it fails.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Status code.
    pub status: u16,
    /// Header fields other than `content-type`, `content-length` and `connection`.
    pub fields: Vec<(&'static str, String)>,
    /// Media type of the body.
    pub media_type: &'static str,
    /// Body of the answer.
    pub body: Bytes,
}

impl Reply {
    /// Creates an answer without further header fields.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_http1::serve;
    ///
    /// let reply = serve::Reply::new(503, "text/plain", "not ready");
    /// assert_eq!(reply.status, 503);
    /// ```
    pub fn new<B>(status: u16, media_type: &'static str, body: B) -> Self
    where
        B: Into<Bytes>,
    {
        Self {
            status,
            fields: Vec::new(),
            media_type,
            body: body.into(),
        }
    }

    /// Adds a header field.
    pub fn with_field(mut self, name: &'static str, value: String) -> Self {
        self.fields.push((name, value));
        self
    }
}

/// Returns the reason phrase of a status code.
pub const fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        304 => "Not Modified",
        307 => "Temporary Redirect",
        400 => "Bad Request",
        404 => "Not Found",
        408 => "Request Timeout",
        409 => "Conflict",
        412 => "Precondition Failed",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}

/// Answers the requests of all connections with `handler`; must run in a `LocalSet`. The requests
/// are questions with a short body or none.
///
/// # Errors
///
/// Does not return: an error of one connection ends only that connection, and accepting is retried
/// when it fails.
pub async fn serve<Handler, Answer>(listener: TcpListener, handler: Handler) -> io::Result<()>
where
    Handler: Fn(request::Request) -> Answer + 'static,
    Answer: future::Future<Output = Reply> + 'static,
{
    let server = Server::new(handler).with_max_body(SMALL_BODY_BYTES);
    server.run(listener).await
}

/// A server of one listener.
#[derive(Debug)]
pub struct Server<Handler> {
    handler: rc::Rc<Handler>,
    permits: sync::Arc<Semaphore>,
    refusal_permits: sync::Arc<Semaphore>,
    connections: task::JoinSet<()>,
    stop: Stop,
    close_timeout: Duration,
    max_body: u64,
    memory: memory::Budget,
}

impl<Handler, Answer> Server<Handler>
where
    Handler: Fn(request::Request) -> Answer + 'static,
    Answer: future::Future<Output = Reply> + 'static,
{
    /// Creates a server that answers each request with `handler` and does not stop.
    pub fn new(handler: Handler) -> Self {
        Self {
            handler: rc::Rc::new(handler),
            permits: sync::Arc::new(Semaphore::new(MAX_CONNECTIONS)),
            refusal_permits: sync::Arc::new(Semaphore::new(MAX_REFUSALS)),
            connections: task::JoinSet::new(),
            stop: Stop::new(),
            close_timeout: Duration::ZERO,
            max_body: MAX_BODY_BYTES,
            memory: memory::Budget::new(LARGEST_AT_ONCE * MAX_BODY_BYTES as usize),
        }
    }

    /// Bounds the body of a request, in bytes. All requests that are read or handled at the same
    /// time take three times as much at most.
    pub fn with_max_body(mut self, max_body: u64) -> Self {
        self.max_body = max_body;
        self.memory = memory::Budget::new(LARGEST_AT_ONCE * max_body as usize);
        self
    }

    /// Makes the server stop when `stop` is cancelled.
    ///
    /// It then accepts no more connections, answers the requests that have reached it and closes
    /// their connections. Connections that are open after `close_timeout` are cut.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use sequoiayoke_http1::{request, serve};
    /// use sequoiayoke_supervise::Stop;
    /// use tokio::{net, runtime, task};
    ///
    /// let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    /// task::LocalSet::new().block_on(&runtime, async {
    ///     let stop = Stop::new();
    ///     stop.cancel();
    ///     let handler = |_: request::Request| async { serve::Reply::new(200, "text/plain", "ok") };
    ///     let server = serve::Server::new(handler).with_stop(stop, Duration::from_secs(1));
    ///     server.run(net::TcpListener::bind("127.0.0.1:0").await?).await
    /// })?;
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub fn with_stop(mut self, stop: Stop, close_timeout: Duration) -> Self {
        (self.stop, self.close_timeout) = (stop, close_timeout);
        self
    }

    /// Serves the connections of `listener` until the server has stopped; must run in a
    /// `LocalSet`.
    ///
    /// # Errors
    ///
    /// Fails if the listener cannot be used when the server stops. An error of one connection ends
    /// only that connection, and accepting is retried when it fails.
    pub async fn run(mut self, listener: TcpListener) -> io::Result<()> {
        loop {
            tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((io, address)) => self.spawn(io, address),
                    Err(error) => {
                        tracing::warn!(%error, "no connection could be accepted");
                        time::sleep(ACCEPT_RETRY_DELAY).await;
                    }
                },
                Some(_) = self.connections.join_next() => {}
                () = self.stop.cancelled() => break,
            }
        }
        // The close of a listener resets the connections that were not accepted.
        let listener = listener.into_std()?;
        while let Ok((io, address)) = listener.accept() {
            io.set_nonblocking(true)?;
            self.spawn(TcpStream::from_std(io)?, address);
        }
        drop(listener);
        let closed = async { while self.connections.join_next().await.is_some() {} };
        if time::timeout(self.close_timeout, closed).await.is_err() {
            let connections = self.connections.len();
            tracing::warn!(connections, "cutting connections that are still open");
        }
        Ok(())
    }

    fn spawn(&mut self, io: TcpStream, address: net::SocketAddr) {
        let handler = rc::Rc::clone(&self.handler);
        let stop = self.stop.clone();
        let max_body = self.max_body;
        let memory = self.memory.share();
        if let Ok(permit) = sync::Arc::clone(&self.permits).try_acquire_owned() {
            self.connections.spawn_local(async move {
                let _permit = permit;
                let served = match connection::Connection::new(io, stop, max_body, memory) {
                    Ok(connection) => connection.run(&*handler).await,
                    Err(error) => Err(error),
                };
                log_end(address, &served);
            });
            return;
        }
        let permit = sync::Arc::clone(&self.refusal_permits).try_acquire_owned();
        let is_refused = permit.is_ok();
        tracing::warn!(%address, is_refused, "too many connections");
        if let Ok(permit) = permit {
            self.connections.spawn_local(async move {
                let _permit = permit;
                log_end(address, &refuse(io, max_body, memory).await);
            });
        }
    }
}

/// Refuses the next request of a connection, and closes it.
async fn refuse(io: TcpStream, max_body: u64, memory: memory::Share) -> io::Result<()> {
    // A connection of a server that has stopped is closed after its next request.
    let stop = Stop::new();
    stop.cancel();
    let handler = |_| async { Reply::new(503, "text/plain", "too many connections") };
    let connection = connection::Connection::new(io, stop, max_body, memory)?;
    connection.run(&handler).await
}

fn log_end(address: net::SocketAddr, served: &io::Result<()>) {
    if let Err(error) = served {
        tracing::debug!(%address, %error, "a connection ended with an error");
    }
}
