//! Listening sockets, which stay open across restarts of their listeners.

use std::net;
use std::sync;

use sequoiayoke_supervise::supervisor;
use tokio::net::TcpListener;

use super::Listeners;

/// A listening socket.
#[derive(Debug)]
pub(super) struct Socket {
    // `None` once it is closed. Locked to copy or close it, never across an `await`.
    listener: sync::Mutex<Option<net::TcpListener>>,
}

impl Socket {
    const fn new(listener: net::TcpListener) -> Self {
        Self {
            listener: sync::Mutex::new(Some(listener)),
        }
    }

    /// Returns a listener on the socket.
    pub(super) fn open(&self) -> Result<TcpListener, error_stack::Report<supervisor::Error>> {
        let listener = self.lock();
        let closed = || super::listener_error(std::io::ErrorKind::NotConnected.into());
        let copied = listener.as_ref().ok_or_else(closed)?.try_clone();
        let opened = copied.and_then(|listener| {
            listener.set_nonblocking(true)?;
            TcpListener::from_std(listener)
        });
        opened.map_err(super::listener_error)
    }

    /// Closes this copy. The kernel accepts connections until the listeners are closed, too.
    fn close(&self) {
        *self.lock() = None;
    }

    fn lock(&self) -> sync::MutexGuard<'_, Option<net::TcpListener>> {
        self.listener
            .lock()
            .expect("no code panics while it holds the lock of a socket")
    }
}

/// The sockets of all listeners.
#[derive(Debug)]
pub(super) struct Sockets {
    /// For callers.
    pub(super) caller: Socket,
    /// For other nodes.
    pub(super) peer: Socket,
    /// For the backend server.
    pub(super) backend: Socket,
    /// For the metrics endpoint, if any.
    pub(super) metrics: Option<Socket>,
}

impl Sockets {
    /// Creates the sockets of bound listeners.
    pub(super) fn new(listeners: Listeners) -> Self {
        Self {
            caller: Socket::new(listeners.caller),
            peer: Socket::new(listeners.peer),
            backend: Socket::new(listeners.backend),
            metrics: listeners.metrics.map(Socket::new),
        }
    }

    /// Closes all sockets at a shutdown, so that no connection waits for an acceptor in vain.
    pub(super) fn close(&self) {
        let metrics = self.metrics.iter();
        for socket in [&self.caller, &self.peer, &self.backend]
            .into_iter()
            .chain(metrics)
        {
            socket.close();
        }
    }
}
