//! Accepts connections, and breaks them on command.

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
use crate::standin::traffic::counts;

/// Header by which the endpoint tells the connection to mangle an answer.
pub(super) const MANGLE: &str = "sequoiayoke-standin-mangle";

/// Connections beyond the stated number, so that commands and faults get through.
const RESERVED: usize = 16;

/// Listener with a bounded number of connections.
#[derive(Debug)]
pub(super) struct Listener {
    inner: tokio::net::TcpListener,
    counts: sync::Arc<counts::Counts>,
    connections: sync::Arc<connections::Connections>,
    room: sync::Arc<tokio::sync::Semaphore>,
}

impl Listener {
    pub(super) fn new(inner: net::TcpListener, traffic: &traffic::Traffic) -> io::Result<Self> {
        Ok(Self {
            inner: tokio::net::TcpListener::from_std(inner)?,
            counts: traffic.counts.clone(),
            connections: traffic.connections.clone(),
            room: sync::Arc::new(tokio::sync::Semaphore::new(
                traffic.settings.connections + RESERVED,
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
            if self.counts.take_reset_accept() {
                socket.set_zero_linger()?;
                continue;
            }
            let Ok(permit) = self.room.clone().try_acquire_owned() else {
                continue;
            };
            socket.set_nodelay(true)?;
            let local = poem::web::LocalAddr(socket.local_addr()?.into());
            let stream = Stream {
                socket: Some(socket),
                connection: self.connections.open(remote),
                counts: self.counts.clone(),
                pending: Pending::default(),
                _permit: permit,
            };
            let remote = poem::web::RemoteAddr(remote.into());
            return Ok((stream, local, remote, http::uri::Scheme::HTTP));
        }
    }
}

/// Bytes that replace an answer.
#[derive(Debug, Default)]
struct Pending {
    bytes: Vec<u8>,
    written: usize,
    closes: bool,
}

/// A connection whose answers may be cut, doubled or replaced by a reset.
#[derive(Debug)]
pub(super) struct Stream {
    // Gone once the stream was broken on purpose. It then reads as ended and takes
    // writes without effect, since hyper must not be polled after an error, as poem does.
    socket: Option<tokio::net::TcpStream>,
    connection: connections::Connection,
    counts: sync::Arc<counts::Counts>,
    pending: Pending,
    _permit: tokio::sync::OwnedSemaphorePermit,
}

impl Stream {
    /// Writes the bytes that replace an answer.
    fn poll_pending(&mut self, context: &mut task::Context<'_>) -> task::Poll<io::Result<()>> {
        let Some(socket) = &mut self.socket else {
            return task::Poll::Ready(Ok(()));
        };
        while self.pending.written < self.pending.bytes.len() {
            let rest = &self.pending.bytes[self.pending.written..];
            let written = task::ready!(Pin::new(&mut *socket).poll_write(context, rest))?;
            self.pending.written += written;
        }
        if self.pending.closes {
            task::ready!(Pin::new(socket).poll_shutdown(context))?;
            self.socket = None;
        }
        self.pending = Pending::default();
        task::Poll::Ready(Ok(()))
    }

    /// Takes over an answer that is to be mangled; `false` if it is not.
    fn mangle(&mut self, answer: &[u8]) -> io::Result<bool> {
        let Some((kind, head)) = find_mark(answer) else {
            return Ok(false);
        };
        match kind {
            counts::Mangle::Reset => {
                if let Some(socket) = self.socket.take() {
                    socket.set_zero_linger()?;
                }
            }
            counts::Mangle::Truncate => {
                self.pending.bytes = answer[..head + (answer.len() - head) / 2].to_vec();
                self.pending.closes = true;
            }
            counts::Mangle::Twice => self.pending.bytes = [answer, answer].concat(),
        }
        Ok(true)
    }
}

/// Finds the mark of the endpoint in an answer, and the length of its head.
fn find_mark(answer: &[u8]) -> Option<(counts::Mangle, usize)> {
    if !answer.starts_with(b"HTTP/1") {
        return None;
    }
    let head = answer.windows(4).position(|bytes| bytes == b"\r\n\r\n")? + 4;
    let text = std::str::from_utf8(&answer[..head]).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix(MANGLE))?;
    let kinds = [
        counts::Mangle::Truncate,
        counts::Mangle::Twice,
        counts::Mangle::Reset,
    ];
    let kind = kinds.into_iter().find(|kind| line.contains(kind.word()))?;
    Some((kind, head))
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let (before, room) = (buffer.filled().len(), buffer.remaining());
        let Some(socket) = &mut self.socket else {
            return task::Poll::Ready(Ok(()));
        };
        let result = task::ready!(Pin::new(socket).poll_read(context, buffer));
        let ended = room > 0 && buffer.filled().len() == before;
        if result.is_err() || ended {
            self.connection.close();
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
        if self.counts.is_armed() && self.mangle(buffer)? {
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
