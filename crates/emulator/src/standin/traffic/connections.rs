//! Table of open connections, through which a closed connection cancels its request.
//!
//! poem keeps running a handler after its connection was closed, because it polls the
//! connection again after the error. The stream therefore cancels a token when it reads
//! the end of the connection, and the endpoint then drops the request.

use std::collections;
use std::net;
use std::sync;

use tokio_util::sync::CancellationToken;

/// Cancellation tokens of the open connections by remote address.
#[derive(Debug, Default)]
pub(super) struct Connections {
    tokens: sync::Mutex<collections::HashMap<net::SocketAddr, CancellationToken>>,
}

/// An open connection, which is removed from the table on drop.
#[derive(Debug)]
pub(super) struct Connection {
    table: sync::Arc<Connections>,
    remote: net::SocketAddr,
    closed: CancellationToken,
}

impl Connections {
    /// Adds a connection to the table.
    pub(super) fn register(self: &sync::Arc<Self>, remote: net::SocketAddr) -> Connection {
        let closed = CancellationToken::new();
        self.lock().insert(remote, closed.clone());
        Connection {
            table: self.clone(),
            remote,
            closed,
        }
    }

    /// Returns the token that is cancelled when the connection is closed.
    pub(super) fn closed(&self, remote: &poem::web::RemoteAddr) -> CancellationToken {
        let remote = remote.as_socket_addr();
        let token = remote.and_then(|remote| self.lock().get(remote).cloned());
        token.unwrap_or_default()
    }

    fn lock(
        &self,
    ) -> sync::MutexGuard<'_, collections::HashMap<net::SocketAddr, CancellationToken>> {
        self.tokens
            .lock()
            .expect("no thread panics while it holds the connections")
    }
}

impl Connection {
    /// Cancels the request because the peer has closed the connection.
    pub(super) fn mark_closed(&self) {
        self.closed.cancel();
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.closed.cancel();
        self.table.lock().remove(&self.remote);
    }
}
