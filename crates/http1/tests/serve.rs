//! Connections of the small server, on loopback.

use std::cell;
use std::net;
use std::rc;
use std::sync;
use std::time::Duration;

use bytes::Bytes;
use sequoiayoke_http1::{request, serve};
use sequoiayoke_supervise::Stop;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
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

/// Longest time for which a server that stops lets its connections finish.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(10);

/// Guards against calls that a server had read, or that had reached its socket, and that get no
/// answer when it stops.
#[tokio::test]
async fn a_stopping_server_answers_the_requests_that_have_reached_it() {
    let test = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let stop = Stop::new();
        let (called, answer) = (rc::Rc::new(Notify::new()), rc::Rc::new(Notify::new()));
        let calls = rc::Rc::new(cell::Cell::new(0));
        let handler = {
            let (called, answer) = (rc::Rc::clone(&called), rc::Rc::clone(&answer));
            move |_: request::Request| {
                let (called, answer) = (rc::Rc::clone(&called), rc::Rc::clone(&answer));
                let call = calls.replace(calls.get() + 1);
                async move {
                    called.notify_one();
                    if call == 0 {
                        answer.notified().await;
                    }
                    serve::Reply::new(200, "text/plain", "done")
                }
            }
        };
        let server = serve::Server::new(handler).with_stop(stop.clone(), CLOSE_TIMEOUT);
        let server = task::spawn_local(server.run(listener));
        let request = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";
        let mut running = TcpStream::connect(address).await.expect("a connection");
        running.write_all(request).await.expect("it is open");
        called.notified().await;
        let mut partial = TcpStream::connect(address).await.expect("a connection");
        partial.write_all(&request[..9]).await.expect("it is open");
        // The server accepts this connection after it was asked to stop.
        let mut late = TcpStream::connect(address).await.expect("a connection");
        late.write_all(request).await.expect("it is open");
        stop.cancel();
        called.notified().await;
        partial.write_all(&request[9..]).await.expect("it is open");
        called.notified().await;
        answer.notify_one();
        for mut io in [running, partial, late] {
            let mut text = String::new();
            let read = io.read_to_string(&mut text).await;
            read.expect("the connection is not reset");
            assert!(text.starts_with("HTTP/1.1 200"), "{text}");
            assert!(text.contains("connection: close") && text.ends_with("done"));
        }
        server.await.expect("it does not panic").expect("it ends");
        let refused = TcpStream::connect(address).await;
        refused.expect_err("the listener is closed");
    };
    task::LocalSet::new().run_until(test).await;
}

/// Guards against a server that does not stop because a call does not end.
#[tokio::test(start_paused = true)]
async fn a_stopping_server_ends_in_time_if_a_call_does_not_end() {
    let test = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let (stop, called) = (Stop::new(), rc::Rc::new(Notify::new()));
        let notify = rc::Rc::clone(&called);
        let handler = move |_: request::Request| {
            notify.notify_one();
            std::future::pending()
        };
        let server = serve::Server::new(handler).with_stop(stop.clone(), CLOSE_TIMEOUT);
        let server = task::spawn_local(server.run(listener));
        let mut io = TcpStream::connect(address).await.expect("a connection");
        let request = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";
        io.write_all(request).await.expect("the connection is open");
        called.notified().await;
        stop.cancel();
        let ended = tokio::time::timeout(2 * CLOSE_TIMEOUT, server).await;
        let ended = ended.expect("it ends in time");
        ended.expect("it does not panic").expect("it ends");
    };
    task::LocalSet::new().run_until(test).await;
}

/// Guards against a request of which only a part arrives in time, and that ends with neither an
/// answer nor a refusal.
#[tokio::test(start_paused = true)]
async fn a_request_that_does_not_arrive_in_time_is_refused() {
    let test = async {
        let address = start().await;
        let mut io = TcpStream::connect(address).await.expect("a connection");
        let request = b"POST / HTTP/1.1\r\ncontent-length: 9\r\n\r\npart";
        io.write_all(request).await.expect("the connection is open");
        let mut text = String::new();
        let read = io.read_to_string(&mut text).await;
        read.expect("the connection is not reset");
        assert!(text.starts_with("HTTP/1.1 408"), "{text:?}");
    };
    task::LocalSet::new().run_until(test).await;
}

/// Guards against a call that is neither answered nor refused because the server has as many
/// connections as it may have.
#[tokio::test]
async fn a_request_beyond_the_largest_number_of_connections_is_refused() {
    let test = async {
        let address = start().await;
        let request = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";
        let mut open = Vec::new();
        for _ in 0..serve::MAX_CONNECTIONS {
            let mut io = TcpStream::connect(address).await.expect("a connection");
            io.write_all(request).await.expect("it is open");
            io.read_u8().await.expect("an answer");
            open.push(io);
        }
        let mut io = TcpStream::connect(address).await.expect("a connection");
        io.write_all(request).await.expect("it is open");
        let mut text = String::new();
        let read = io.read_to_string(&mut text).await;
        read.expect("the connection is not reset");
        assert!(text.starts_with("HTTP/1.1 503"), "{text:?}");
        drop(open);
    };
    task::LocalSet::new().run_until(test).await;
}

/// Body of an answer that does not fit into the buffers of a connection.
struct LargeBody {
    bytes: Vec<u8>,
    /// Notified when the answer is dropped.
    dropped: sync::Arc<Notify>,
}

impl AsRef<[u8]> for LargeBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for LargeBody {
    fn drop(&mut self) {
        self.dropped.notify_one();
    }
}

/// Guards against connections whose peers do not read and that are held for ever, until no
/// connection is left for other callers.
#[tokio::test(start_paused = true)]
async fn a_connection_whose_peer_does_not_read_is_closed() {
    let test = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let dropped = sync::Arc::new(Notify::new());
        let notify = sync::Arc::clone(&dropped);
        task::spawn_local(serve::serve(listener, move |_: request::Request| {
            let body = LargeBody {
                bytes: vec![b'x'; 32 * 1024 * 1024],
                dropped: sync::Arc::clone(&notify),
            };
            async { serve::Reply::new(200, "text/plain", Bytes::from_owner(body)) }
        }));
        let mut io = TcpStream::connect(address).await.expect("a connection");
        let request = b"GET / HTTP/1.1\r\nhost: x\r\n\r\n";
        io.write_all(request).await.expect("the connection is open");
        let ended = tokio::time::timeout(Duration::from_secs(300), dropped.notified()).await;
        ended.expect("the answer is given up");
        drop(io);
    };
    task::LocalSet::new().run_until(test).await;
}

/// Guards against a server that runs out of memory by bodies whose end does not arrive, and against
/// an ordinary request that is refused beside them.
#[tokio::test]
async fn unfinished_bodies_share_their_memory() {
    const BODY_BYTES: usize = 100_000;
    let test = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("bound");
        let handler = |_: request::Request| async { serve::Reply::new(200, "text/plain", "ok") };
        let server = serve::Server::new(handler).with_max_body(BODY_BYTES as u64);
        task::spawn_local(server.run(listener));
        let mut refused = 0;
        let mut open = Vec::new();
        for _ in 0..10 {
            let mut io = TcpStream::connect(address).await.expect("a connection");
            let head = format!("POST / HTTP/1.1\r\ncontent-length: {BODY_BYTES}\r\n\r\n");
            let mut request = head.into_bytes();
            request.resize(request.len() + BODY_BYTES - 1, b'x');
            // A refused client may be cut before it has sent all.
            let sent = io.write_all(&request).await;
            let mut answer = [0; 12];
            let read = tokio::time::timeout(Duration::from_millis(200), io.read(&mut answer)).await;
            let is_refused = matches!(read, Ok(Ok(12))) && answer.ends_with(b" 503");
            refused += usize::from(is_refused || sent.is_err());
            open.push(io);
        }
        // Three of the largest size fit.
        assert!((6..=8).contains(&refused), "{refused} refused");
        assert!(call(address).await > 0);
    };
    task::LocalSet::new().run_until(test).await;
}
