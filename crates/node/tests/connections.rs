//! Limits on the connections of callers.

#![allow(clippy::unwrap_used, missing_docs)]

use std::sync;
use std::time::Duration;

use poem::endpoint;
use poem::listener::Acceptor as _;
use sequoiayoke_model::clock;
use sequoiayoke_node::published;
use sequoiayoke_node::traffic;
use sequoiayoke_node::traffic::callers;
use sequoiayoke_node::traffic::callers::connection;
use sequoiayoke_node::traffic::path;
use sequoiayoke_node::traffic::peers::dial;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: desk\r\n\r\n";
/// Time after which an expected event counts as missing.
const MAX_WAIT: Duration = Duration::from_secs(10);
/// A timeout that no test reaches.
const NEVER: Duration = Duration::from_secs(600);

const fn limits() -> connection::Limits {
    connection::Limits {
        connections: 2,
        head: NEVER,
        idle: NEVER,
        stall: NEVER,
    }
}

const CALLER_LIMITS: callers::Limits = callers::Limits {
    max_header_bytes: 16384,
    default_deadline: NEVER,
    max_deadline: NEVER,
};

/// Creates the path of a node that has not joined.
fn path() -> sync::Arc<traffic::Path> {
    let pool = dial::Pool::new(dial::Config {
        secret: sync::Arc::from(b"secret".as_slice()),
        connect: NEVER,
        streams: 1,
    });
    let published = sync::Arc::new(published::Published::new());
    let limits = path::Limits {
        waiting: 1,
        answer_bytes: 0,
    };
    sync::Arc::new(path::Path::new(clock::Boot, published, pool, limits))
}

async fn serve<E>(limits: connection::Limits, endpoint: E) -> std::net::SocketAddr
where
    E: poem::Endpoint<Output = poem::Response> + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let connections = sync::Arc::new(connection::Connections::new(limits));
    let acceptor = connection::Acceptor::new(listener, connections);
    tokio::spawn(poem::Server::new_with_acceptor(acceptor).run(endpoint));
    address
}

async fn hello(_: poem::Request) -> poem::Result<poem::Response> {
    Ok(poem::Response::builder().body("hello"))
}

async fn read_answer(socket: &mut TcpStream) -> String {
    let mut text = Vec::new();
    while !text.ends_with(b"hello") && !text.ends_with(b"\r\n\r\n") {
        let read = socket.read_buf(&mut text);
        let read = tokio::time::timeout(MAX_WAIT, read).await;
        assert_ne!(read.unwrap().unwrap(), 0, "closed after {text:?}");
        if text.ends_with(b"\r\n\r\n") && text.windows(17).any(|part| part == b"content-length: 5")
        {
            text.reserve(5);
            socket.read_buf(&mut text).await.unwrap();
        }
    }
    String::from_utf8(text).unwrap()
}

async fn wait_closed(socket: &mut TcpStream) {
    let mut unread = Vec::new();
    let ended = tokio::time::timeout(MAX_WAIT, socket.read_to_end(&mut unread)).await;
    // A reset is also an end.
    assert!(ended.is_ok(), "the connection is still open");
}

/// Guards against callers that exhaust the node's sockets.
#[tokio::test]
async fn connection_beyond_the_limit_is_refused() {
    let address = serve(limits(), endpoint::make(hello)).await;
    let mut served = Vec::new();
    for _ in 0..2 {
        let mut socket = TcpStream::connect(address).await.unwrap();
        socket.write_all(REQUEST).await.unwrap();
        assert!(read_answer(&mut socket).await.ends_with("hello"));
        served.push(socket);
    }
    let mut refused = TcpStream::connect(address).await.unwrap();
    refused.write_all(REQUEST).await.unwrap();
    let text = read_answer(&mut refused).await;
    assert!(text.starts_with("HTTP/1.1 429 "), "{text}");
    assert!(text.contains("sequoiayoke-outcome: not-run\r\n"), "{text}");
    assert!(text.contains("sequoiayoke-reason: overload\r\n"), "{text}");
    // The other connections continue, and a closed one makes room for a new one.
    let mut kept = served.pop().unwrap();
    kept.write_all(REQUEST).await.unwrap();
    assert!(read_answer(&mut kept).await.ends_with("hello"));
    drop(served);
    let replacement = async {
        loop {
            let mut socket = TcpStream::connect(address).await.unwrap();
            socket.write_all(REQUEST).await.unwrap();
            if read_answer(&mut socket).await.ends_with("hello") {
                return;
            }
        }
    };
    tokio::time::timeout(MAX_WAIT, replacement).await.unwrap();
}

/// Guards against connections that are kept open by an incomplete head, even if bytes of it
/// keep arriving slowly.
#[tokio::test]
async fn connection_with_an_incomplete_head_is_closed() {
    let head = Duration::from_millis(200);
    let limits = connection::Limits { head, ..limits() };
    let address = serve(limits, endpoint::make(hello)).await;
    let mut idle = TcpStream::connect(address).await.unwrap();
    wait_closed(&mut idle).await;
    let (mut reader, mut writer) = TcpStream::connect(address).await.unwrap().into_split();
    let slow_write = async {
        let mut tick = tokio::time::interval(head / 10);
        while writer.write_all(b"G").await.is_ok() {
            tick.tick().await;
        }
    };
    let closed = async {
        let mut unread = Vec::new();
        let _ = reader.read_to_end(&mut unread).await;
    };
    let ended = async {
        tokio::select! {
            () = slow_write => {}
            () = closed => {}
        }
    };
    let ended = tokio::time::timeout(MAX_WAIT, ended).await;
    assert!(ended.is_ok(), "a slow head keeps its connection open");
}

/// Guards against connections that are kept open without requests.
#[tokio::test]
async fn idle_connection_is_closed() {
    let idle = Duration::from_millis(200);
    let limits = connection::Limits { idle, ..limits() };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let connections = sync::Arc::new(connection::Connections::new(limits));
    let acceptor = connection::Acceptor::new(listener, connections.clone());
    let signer = traffic::ids::Signer::new(b"a shared secret");
    let callers = callers::Callers::new(path(), CALLER_LIMITS, signer, connections);
    tokio::spawn(poem::Server::new_with_acceptor(acceptor).run(callers));
    let mut socket = TcpStream::connect(address).await.unwrap();
    let ready = b"GET /v1/ready HTTP/1.1\r\nhost: desk\r\n\r\n";
    socket.write_all(ready).await.unwrap();
    let mut byte = [0];
    let read = tokio::time::timeout(MAX_WAIT, socket.read_exact(&mut byte));
    read.await.unwrap().unwrap();
    wait_closed(&mut socket).await;
}

/// Guards against streamed answers that wait 40 ms for a delayed acknowledgement.
#[tokio::test]
async fn small_writes_are_sent_without_delay() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let connections = sync::Arc::new(connection::Connections::new(limits()));
    let mut acceptor = connection::Acceptor::new(listener, connections);
    let (_caller, accepted) = tokio::join!(TcpStream::connect(address), acceptor.accept());
    let (io, _, _, _) = accepted.unwrap();
    assert!(io.nodelay().unwrap());
}

/// Guards against an answer that its caller loses because the connection is reset while the rest of
/// an upload is still arriving.
#[tokio::test]
async fn an_answer_before_the_end_of_an_upload_is_delivered() {
    let address = serve(limits(), endpoint::make(hello)).await;
    let (mut reader, mut writer) = TcpStream::connect(address).await.unwrap().into_split();
    let head = b"POST / HTTP/1.1\r\nhost: desk\r\ncontent-length: 16777216\r\n\r\n";
    writer.write_all(head).await.unwrap();
    let upload = writer.write_all(&[b'x'; 16 << 20]);
    let uploaded = tokio::time::timeout(MAX_WAIT, upload).await;
    uploaded.unwrap().unwrap();
    let mut answer = Vec::new();
    let read = tokio::time::timeout(MAX_WAIT, reader.read_to_end(&mut answer)).await;
    read.unwrap().unwrap();
    let answer = String::from_utf8(answer).unwrap();
    assert!(answer.ends_with("\r\n\r\nhello"), "{answer}");
}

/// Reads an HTTP/2 frame; returns its type.
async fn read_frame(socket: &mut TcpStream) -> u8 {
    let mut head = [0; 9];
    let read = tokio::time::timeout(MAX_WAIT, socket.read_exact(&mut head)).await;
    read.expect("no further frame")
        .expect("the connection has ended");
    let length = u32::from_be_bytes([0, head[0], head[1], head[2]]);
    let mut payload = vec![0; length as usize];
    socket.read_exact(&mut payload).await.unwrap();
    head[3]
}

/// Guards against an HTTP/2 connection that is kept open at a shutdown, or closed without the frame
/// that tells its caller which requests were served.
#[tokio::test]
async fn an_http2_connection_is_closed_at_a_shutdown() {
    const DATA: u8 = 0;
    const GOAWAY: u8 = 7;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let closing = sequoiayoke_supervise::Stop::new();
    let connections = connection::Connections::with_closing(limits(), closing.clone());
    let connections = sync::Arc::new(connections);
    let acceptor = connection::Acceptor::new(listener, connections.clone());
    let signer = traffic::ids::Signer::new(b"a shared secret");
    let callers = callers::Callers::new(path(), CALLER_LIMITS, signer, connections.clone());
    let server = poem::Server::new_with_acceptor(acceptor);
    let closed = async move { connections.closed().await };
    let server = tokio::spawn(server.run_with_graceful_shutdown(callers, closed, None));
    let mut socket = TcpStream::connect(address).await.unwrap();
    let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";
    socket.write_all(preface).await.unwrap();
    // `GET http://desk/v1/ready` with entries of the static table.
    let request = b"\0\0\x13\x01\x05\0\0\0\x01\x82\x86\x04\x09/v1/ready\x41\x04desk";
    socket.write_all(request).await.unwrap();
    while read_frame(&mut socket).await != DATA {}
    // Acknowledges the settings of the server, so that bytes arrive without a request.
    socket.write_all(b"\0\0\0\x04\x01\0\0\0\0").await.unwrap();
    closing.cancel();
    while read_frame(&mut socket).await != GOAWAY {}
    drop(socket);
    let ended = tokio::time::timeout(MAX_WAIT, server).await;
    ended.unwrap().unwrap().unwrap();
}
