//! Accepts HTTP connections that send small writes at once.
//!
//! A streamed answer is several small writes. With Nagle's algorithm the second
//! one waits for the acknowledgement of the first, which the peer's kernel delays
//! by 40 ms.

use std::io;

use poem::http::uri;
use poem::listener;
use poem::web;
use tokio::net;

/// Acceptor of a listener whose connections have `TCP_NODELAY` set.
#[derive(Debug)]
pub struct Acceptor(net::TcpListener);

impl Acceptor {
    /// Makes the acceptor of a listener.
    pub const fn new(listener: net::TcpListener) -> Self {
        Self(listener)
    }
}

impl listener::Acceptor for Acceptor {
    type Io = net::TcpStream;

    fn local_addr(&self) -> Vec<web::LocalAddr> {
        let address = self.0.local_addr().ok();
        let address = address.map(|address| web::LocalAddr(address.into()));
        address.into_iter().collect()
    }

    async fn accept(
        &mut self,
    ) -> io::Result<(Self::Io, web::LocalAddr, web::RemoteAddr, uri::Scheme)> {
        let (io, remote) = self.0.accept().await?;
        // A connection that ended meanwhile is found out when it is read.
        let _ = io.set_nodelay(true);
        let local = io.local_addr().or_else(|_| self.0.local_addr())?;
        let (local, remote) = (local.into(), remote.into());
        let (local, remote) = (web::LocalAddr(local), web::RemoteAddr(remote));
        Ok((io, local, remote, uri::Scheme::HTTP))
    }
}
