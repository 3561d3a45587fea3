//! Open connections, so that a closed one cancels its request.
//!
//! poem goes on running a handler after its connection was closed: it polls the
//! connection again after the error. The stream therefore tells by itself that it
//! has seen the end, and the endpoint drops the request.

use std::collections;
use std::net;
use std::sync;

use tokio_util::sync::CancellationToken;

/// Tokens of the open connections by their remote addresses.
#[derive(Debug, Default)]
pub(super) struct Connections {
    tokens: sync::Mutex<collections::HashMap<net::SocketAddr, CancellationToken>>,
}

/// An open connection; it leaves the table on drop.
#[derive(Debug)]
pub(super) struct Connection {
    table: sync::Arc<Connections>,
    remote: net::SocketAddr,
    closed: CancellationToken,
}

impl Connections {
    /// Adds a connection.
    pub(super) fn open(self: &sync::Arc<Self>, remote: net::SocketAddr) -> Connection {
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
    /// Notes that the other side has closed the connection.
    pub(super) fn close(&self) {
        self.closed.cancel();
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.closed.cancel();
        self.table.lock().remove(&self.remote);
    }
}
