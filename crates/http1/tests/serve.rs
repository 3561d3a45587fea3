//! Connections of the small server, on loopback.

use std::net;

use bytes::Bytes;
use sequoiayoke_http1::{request, serve};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task;

/// Size of an answer that does not fit into the receive buffer of [`connect_with_small_buffer`].
const ANSWER_BYTES: usize = 8 * 1024;
/// Size of a request with bytes that follow it and are not read with it.
const UNREAD_BYTES: usize = 32 * 1024;
/// Size of the receive buffer that is requested; the kernel rounds it up.
const SMALL_BUFFER_BYTES: u32 = 1;

/// Starts a server on the current `LocalSet` that answers each request with `ANSWER_BYTES` bytes.
async fn start() -> net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    task::spawn_local(serve::serve(listener, |_: request::Request| async {
        serve::Reply::new(200, "text/plain", Bytes::from(vec![b'x'; ANSWER_BYTES]))
    }));
    address
}

/// Connects with a receive buffer that holds only a part of an answer.
async fn connect_with_small_buffer(address: net::SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    let limited = socket.set_recv_buffer_size(SMALL_BUFFER_BYTES);
    limited.expect("the size can be set");
    socket.connect(address).await.expect("a connection")
}

/// Sends a request that closes its connection, and returns the length of what comes back.
async fn call(address: net::SocketAddr) -> usize {
    let mut io = TcpStream::connect(address).await.expect("a connection");
    let request = b"GET / HTTP/1.1\r\nconnection: close\r\n\r\n";
    io.write_all(request).await.expect("the connection is open");
    let mut answer = Vec::new();
    io.read_to_end(&mut answer).await.expect("a whole answer")
}

/// Guards against an answer that is cut because the connection is closed while bytes of the peer
/// are unread, which resets it.
#[tokio::test]
async fn an_answer_is_complete_if_the_peer_has_sent_more_than_was_read() {
    let test = async {
        let address = start().await;
        let mut io = connect_with_small_buffer(address).await;
        let mut request = b"GET / HTTP/1.1\r\nconnection: close\r\n\r\n".to_vec();
        request.resize(UNREAD_BYTES, b'x');
        io.write_all(&request)
            .await
            .expect("the connection is open");
        // Connections are served in the order in which they were opened, so the first answer is
        // written before the second.
        assert!(call(address).await > ANSWER_BYTES);
        let mut answer = Vec::new();
        let read = io.read_to_end(&mut answer).await;
        read.expect("the connection is not reset");
        assert!(answer.len() > ANSWER_BYTES, "{} bytes", answer.len());
    };
    task::LocalSet::new().run_until(test).await;
}
