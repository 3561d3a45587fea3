//! A loopback proxy that delays, resets, cuts one way or silences connections.

use std::net;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, tcp};
use tokio::sync::watch;
use tokio::time;

/// What happens to the bytes of all connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Bytes arrive as they are sent.
    Pass,
    /// Bytes arrive later.
    Delay,
    /// Connections are reset.
    Reset,
    /// Bytes from the far end do not arrive.
    StallReplies,
    /// No bytes arrive; nothing is closed.
    Stall,
}

/// A proxy in front of one address.
#[derive(Debug)]
pub struct Proxy {
    mode: watch::Sender<Mode>,
}

impl Proxy {
    /// Starts to pass connections to `listener` on to `target`; call it in a runtime.
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
    /// let near = listener.local_addr()?;
    /// let proxy = proxy::Proxy::start(listener, target.local_addr()?);
    /// let _near = tokio::net::TcpStream::connect(near).await?;
    /// target.accept().await?;
    /// proxy.set_mode(proxy::Mode::Stall);
    /// # Ok(())
    /// # }
    /// ```
    pub fn start(listener: TcpListener, target: net::SocketAddr) -> Self {
        let (mode, modes) = watch::channel(Mode::Pass);
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let modes = modes.clone();
                tokio::spawn(async move {
                    if let Ok(far) = TcpStream::connect(target).await {
                        pass(near, far, modes).await;
                    }
                });
            }
        });
        Self { mode }
    }

    /// Changes what happens, also to connections that are open.
    pub fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn pass(near: TcpStream, far: TcpStream, modes: watch::Receiver<Mode>) {
    let mut reset = modes.clone();
    let (near_in, near_out) = near.into_split();
    let (far_in, far_out) = far.into_split();
    let there = copy(near_in, far_out, modes.clone(), false);
    let back = copy(far_in, near_out, modes, true);
    tokio::select! {
        () = there => {}
        () = back => {}
        // Dropping sockets with unread bytes resets them.
        _ = reset.wait_for(|mode| *mode == Mode::Reset) => {}
    }
}

async fn copy(
    mut from: tcp::OwnedReadHalf,
    mut to: tcp::OwnedWriteHalf,
    mut modes: watch::Receiver<Mode>,
    is_back: bool,
) {
    let mut buffer = [0; 8192];
    while let Ok(count @ 1..) = from.read(&mut buffer).await {
        if *modes.borrow() == Mode::Delay {
            time::sleep(Duration::from_millis(60)).await;
        }
        let flows = |mode: &Mode| match mode {
            Mode::StallReplies => !is_back,
            Mode::Stall => false,
            Mode::Pass | Mode::Delay | Mode::Reset => true,
        };
        if modes.wait_for(flows).await.is_err() || to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
