//! A loopback proxy that delays, resets or stalls connections.

use std::net;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, tcp};
use tokio::sync::watch;
use tokio::time;

/// How the proxy treats the bytes of all connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Forwards bytes at once.
    Pass,
    /// Forwards bytes after a delay.
    Delay,
    /// Resets connections.
    Reset,
    /// Holds bytes from the target back until the mode changes; bytes to it are forwarded.
    StallReplies,
    /// Holds bytes of both directions back until the mode changes, with connections kept open.
    Stall,
}

/// A proxy in front of one address.
#[derive(Debug)]
pub struct Proxy {
    mode: watch::Sender<Mode>,
}

impl Proxy {
    /// Starts to forward connections of `listener` to `target`; must be called in a runtime.
    ///
    /// # Examples
    ///
    /// ```
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> std::io::Result<()> {
    /// use sequoiayoke_harness::proxy;
    ///
    /// let target = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
    /// let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
    /// let address = listener.local_addr()?;
    /// let proxy = proxy::Proxy::start(listener, target.local_addr()?);
    /// let _client = tokio::net::TcpStream::connect(address).await?;
    /// target.accept().await?;
    /// proxy.set_mode(proxy::Mode::Stall);
    /// # Ok(())
    /// # }
    /// ```
    pub fn start(listener: TcpListener, target: net::SocketAddr) -> Self {
        let (mode, modes) = watch::channel(Mode::Pass);
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                let modes = modes.clone();
                tokio::spawn(async move {
                    if let Ok(server) = TcpStream::connect(target).await {
                        forward(client, server, modes).await;
                    }
                });
            }
        });
        Self { mode }
    }

    /// Changes the mode, also for open connections.
    pub fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn forward(client: TcpStream, server: TcpStream, modes: watch::Receiver<Mode>) {
    let mut reset_modes = modes.clone();
    let (client_reader, client_writer) = client.into_split();
    let (server_reader, server_writer) = server.into_split();
    let requests = copy(client_reader, server_writer, modes.clone(), false);
    let replies = copy(server_reader, client_writer, modes, true);
    tokio::select! {
        () = requests => {}
        () = replies => {}
        // Dropping sockets that have unread bytes resets the connections.
        _ = reset_modes.wait_for(|mode| *mode == Mode::Reset) => {}
    }
}

async fn copy(
    mut reader: tcp::OwnedReadHalf,
    mut writer: tcp::OwnedWriteHalf,
    mut modes: watch::Receiver<Mode>,
    is_reply: bool,
) {
    let mut buffer = [0; 8192];
    while let Ok(count @ 1..) = reader.read(&mut buffer).await {
        if *modes.borrow() == Mode::Delay {
            time::sleep(Duration::from_millis(60)).await;
        }
        let is_forwarding = |mode: &Mode| match mode {
            Mode::StallReplies => !is_reply,
            Mode::Stall => false,
            Mode::Pass | Mode::Delay | Mode::Reset => true,
        };
        if modes.wait_for(is_forwarding).await.is_err()
            || writer.write_all(&buffer[..count]).await.is_err()
        {
            return;
        }
    }
}
