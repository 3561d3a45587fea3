//! Refusals of connections beyond the limit.
//!
//! The answer is written before any request is read, so nothing was run. The
//! connection is read to its end for a moment, since closing it with unread
//! bytes would reset it and could destroy the answer.

use std::sync;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

/// Refusals that are under way at the same time; beyond them, connections are just closed.
const MAX_REFUSALS: usize = 64;
/// Time that a refusal takes at most.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes that are read of a refused connection.
const MAX_READ: u64 = 64 * 1024;

const ANSWER: &[u8] = b"HTTP/1.1 429 Too Many Requests\r\n\
    sequoiayoke-outcome: not-run\r\n\
    sequoiayoke-reason: overload\r\n\
    retry-after: 1\r\n\
    connection: close\r\n\
    content-length: 0\r\n\r\n";

/// Refuses connections.
#[derive(Debug)]
pub(super) struct Refusals {
    room: sync::Arc<Semaphore>,
}

impl Refusals {
    /// Starts without refusals.
    pub(super) fn new() -> Self {
        Self {
            room: sync::Arc::new(Semaphore::new(MAX_REFUSALS)),
        }
    }

    /// Answers a connection without reading its request.
    pub(super) fn refuse(&self, mut socket: TcpStream) {
        let Ok(permit) = sync::Arc::clone(&self.room).try_acquire_owned() else {
            return;
        };
        tokio::spawn(async move {
            let refusal = async {
                socket.write_all(ANSWER).await?;
                socket.shutdown().await?;
                let mut rest = socket.take(MAX_READ);
                tokio::io::copy(&mut rest, &mut tokio::io::sink()).await
            };
            // Whatever became of the answer, the request was not read.
            let _ = tokio::time::timeout(TIMEOUT, refusal).await;
            drop(permit);
        });
    }
}

impl Drop for Refusals {
    fn drop(&mut self) {
        self.room.close();
    }
}
