//! Refusal of connections beyond the limit.
//!
//! The answer is written before any request is read, so nothing has run. The
//! connection is then read for a bounded time, since closing a socket with unread
//! bytes resets the connection and the caller could lose the answer.

use std::sync;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

/// Maximum number of concurrent refusals; further connections are closed without an answer.
const MAX_REFUSALS: usize = 64;
/// Maximum duration of a refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of bytes to read from a refused connection.
const MAX_READ: u64 = 64 * 1024;

const ANSWER: &[u8] = b"HTTP/1.1 429 Too Many Requests\r\n\
    sequoiayoke-outcome: not-run\r\n\
    sequoiayoke-reason: overload\r\n\
    retry-after: 1\r\n\
    connection: close\r\n\
    content-length: 0\r\n\r\n";

/// Refuses connections, with a limit on concurrent refusals.
#[derive(Debug)]
pub(super) struct Refusals {
    permits: sync::Arc<Semaphore>,
}

impl Refusals {
    /// Creates an instance without running refusals.
    pub(super) fn new() -> Self {
        Self {
            permits: sync::Arc::new(Semaphore::new(MAX_REFUSALS)),
        }
    }

    /// Answers a connection without reading its request.
    pub(super) fn refuse(&self, mut socket: TcpStream) {
        let Ok(permit) = sync::Arc::clone(&self.permits).try_acquire_owned() else {
            return;
        };
        tokio::spawn(async move {
            let refusal = async {
                socket.write_all(ANSWER).await?;
                socket.shutdown().await?;
                let mut unread = socket.take(MAX_READ);
                tokio::io::copy(&mut unread, &mut tokio::io::sink()).await
            };
            // Errors are ignored: no request was read, whether or not the answer arrived.
            let _ = tokio::time::timeout(REFUSAL_TIMEOUT, refusal).await;
            drop(permit);
        });
    }
}

impl Drop for Refusals {
    fn drop(&mut self) {
        self.permits.close();
    }
}
