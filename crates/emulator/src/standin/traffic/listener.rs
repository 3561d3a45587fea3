//! Accepts connections, and injects faults into them on command.

use std::io;
use std::net;
use std::pin::Pin;
use std::sync;
use std::task;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use crate::standin::traffic;
use crate::standin::traffic::connections;
use crate::standin::traffic::injector;

/// Header that passes the change to a response from the endpoint to the connection.
pub(super) const MANGLE: &str = "sequoiayoke-standin-mangle";

/// Connections above the configured limit, reserved for commands and faults.
const RESERVED_CONNECTIONS: usize = 16;

/// Listener with a limited number of connections.
#[derive(Debug)]
pub(super) struct Listener {
    inner: tokio::net::TcpListener,
    injector: sync::Arc<injector::Injector>,
    connections: sync::Arc<connections::Connections>,
    permits: sync::Arc<tokio::sync::Semaphore>,
}

impl Listener {
    pub(super) fn new(inner: net::TcpListener, traffic: &traffic::Traffic) -> io::Result<Self> {
        Ok(Self {
            inner: tokio::net::TcpListener::from_std(inner)?,
            injector: traffic.injector.clone(),
            connections: traffic.connections.clone(),
            permits: sync::Arc::new(tokio::sync::Semaphore::new(
                traffic.settings.connections + RESERVED_CONNECTIONS,
            )),
        })
    }
}

impl poem::listener::Acceptor for Listener {
    type Io = Stream;

    fn local_addr(&self) -> Vec<poem::web::LocalAddr> {
        let address = self.inner.local_addr().ok();
        address
            .map(|address| poem::web::LocalAddr(address.into()))
            .into_iter()
            .collect()
    }

    async fn accept(
        &mut self,
    ) -> io::Result<(
        Stream,
        poem::web::LocalAddr,
        poem::web::RemoteAddr,
        http::uri::Scheme,
    )> {
        loop {
            let (socket, remote) = self.inner.accept().await?;
            if self.injector.take_reset_accept() {
                socket.set_zero_linger()?;
                continue;
            }
            let Ok(permit) = self.permits.clone().try_acquire_owned() else {
                continue;
            };
            socket.set_nodelay(true)?;
            let local = poem::web::LocalAddr(socket.local_addr()?.into());
            let stream = Stream {
                socket: Some(socket),
                connection: self.connections.register(remote),
                injector: self.injector.clone(),
                pending: Pending::default(),
                _permit: permit,
            };
            let remote = poem::web::RemoteAddr(remote.into());
            return Ok((stream, local, remote, http::uri::Scheme::HTTP));
        }
    }
}

/// Bytes that replace a response.
#[derive(Debug, Default)]
struct Pending {
    bytes: Vec<u8>,
    written: usize,
    close_when_written: bool,
}

/// A connection whose responses may be truncated, sent twice or replaced by a reset.
#[derive(Debug)]
pub(super) struct Stream {
    // `None` after a fault has closed the connection. Reads then return the end of the stream
    // and writes are discarded: after an error, poem would poll hyper again, which is not allowed.
    socket: Option<tokio::net::TcpStream>,
    connection: connections::Connection,
    injector: sync::Arc<injector::Injector>,
    pending: Pending,
    _permit: tokio::sync::OwnedSemaphorePermit,
}

impl Stream {
    /// Writes the bytes that replace a response.
    fn poll_pending(&mut self, context: &mut task::Context<'_>) -> task::Poll<io::Result<()>> {
        let Some(socket) = &mut self.socket else {
            return task::Poll::Ready(Ok(()));
        };
        while self.pending.written < self.pending.bytes.len() {
            let unwritten = &self.pending.bytes[self.pending.written..];
            let written = task::ready!(Pin::new(&mut *socket).poll_write(context, unwritten))?;
            self.pending.written += written;
        }
        if self.pending.close_when_written {
            task::ready!(Pin::new(socket).poll_shutdown(context))?;
            self.socket = None;
        }
        self.pending = Pending::default();
        task::Poll::Ready(Ok(()))
    }

    /// Replaces a response that is to be mangled; returns `false` if it is not.
    fn mangle(&mut self, response: &[u8]) -> io::Result<bool> {
        let Some((kind, head_length)) = find_mangle(response) else {
            return Ok(false);
        };
        match kind {
            injector::Mangle::Reset => {
                if let Some(socket) = self.socket.take() {
                    socket.set_zero_linger()?;
                }
            }
            injector::Mangle::Truncate => {
                self.pending.bytes =
                    response[..head_length + (response.len() - head_length) / 2].to_vec();
                self.pending.close_when_written = true;
            }
            injector::Mangle::Twice => self.pending.bytes = [response, response].concat(),
        }
        Ok(true)
    }
}

/// Returns the change that the endpoint requests for a response, and the length of its head.
fn find_mangle(response: &[u8]) -> Option<(injector::Mangle, usize)> {
    if !response.starts_with(b"HTTP/1") {
        return None;
    }
    let head_length = response.windows(4).position(|bytes| bytes == b"\r\n\r\n")? + 4;
    let text = std::str::from_utf8(&response[..head_length]).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix(MANGLE))?;
    let kinds = [
        injector::Mangle::Truncate,
        injector::Mangle::Twice,
        injector::Mangle::Reset,
    ];
    let kind = kinds
        .into_iter()
        .find(|kind| line.contains(kind.as_str()))?;
    Some((kind, head_length))
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let (filled_before, capacity) = (buffer.filled().len(), buffer.remaining());
        let Some(socket) = &mut self.socket else {
            return task::Poll::Ready(Ok(()));
        };
        let result = task::ready!(Pin::new(socket).poll_read(context, buffer));
        let is_end = capacity > 0 && buffer.filled().len() == filled_before;
        if result.is_err() || is_end {
            self.connection.mark_closed();
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
        task::ready!(self.poll_pending(context))?;
        if self.injector.is_armed() && self.mangle(buffer)? {
            return task::Poll::Ready(Ok(buffer.len()));
        }
        match &mut self.socket {
            Some(socket) => Pin::new(socket).poll_write(context, buffer),
            None => task::Poll::Ready(Ok(buffer.len())),
        }
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        task::ready!(self.poll_pending(context))?;
        match &mut self.socket {
            Some(socket) => Pin::new(socket).poll_flush(context),
            None => task::Poll::Ready(Ok(())),
        }
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        match &mut self.socket {
            Some(socket) => Pin::new(socket).poll_shutdown(context),
            None => task::Poll::Ready(Ok(())),
        }
    }
}
