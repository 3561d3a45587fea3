//! Connections from callers.

#![allow(clippy::unwrap_used)]

use poem::listener::Acceptor as _;
use sequoiayoke_node::traffic::accept;
use tokio::net::{TcpListener, TcpStream};

/// Guards against streamed answers that wait 40 ms for a delayed acknowledgement.
#[tokio::test]
async fn small_writes_are_sent_at_once() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut acceptor = accept::Acceptor::new(listener);
    let (_caller, accepted) = tokio::join!(TcpStream::connect(address), acceptor.accept());
    let (io, local, _, _) = accepted.unwrap();
    assert!(io.nodelay().unwrap());
    assert_eq!(local.as_socket_addr(), Some(&address));
}
