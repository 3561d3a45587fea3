//! Small HTTP server for infrequent calls: readiness, metrics, announcements and operators.
//!
//! Requests of callers have their own listener.

mod connection;

use std::future;
use std::io;
use std::rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

use crate::request;

/// Largest number of concurrent connections; further ones are closed when they are accepted.
const MAX_CONNECTIONS: usize = 256;
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

/// Answers the requests of all connections with `handler`; must run in a `LocalSet`.
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
    let handler = rc::Rc::new(handler);
    let connection_permits = rc::Rc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let permits = rc::Rc::clone(&connection_permits);
        match listener.accept().await {
            Ok((io, address)) => {
                let handler = rc::Rc::clone(&handler);
                tokio::task::spawn_local(async move {
                    let Ok(_permit) = permits.try_acquire() else {
                        tracing::warn!(%address, "too many connections, closing a new one");
                        return;
                    };
                    let served = match connection::Connection::new(io) {
                        Ok(connection) => connection.run(&*handler).await,
                        Err(error) => Err(error),
                    };
                    if let Err(error) = served {
                        tracing::debug!(%address, %error, "a connection ended with an error");
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
