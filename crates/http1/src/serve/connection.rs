//! A connection of the server: requests in order, each answered before the next is decoded.

use std::future;
use std::io;
use std::time::Duration;

use bytes::BytesMut;
use sequoiayoke_supervise::Stop;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time;

use super::{Reply, memory};
use crate::request;

/// Largest size of a request's head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Longest time to wait for more bytes of a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time to wait for more bytes of a request after the server was asked to stop.
const STOPPING_IDLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time to wait for a request that was sent before its peer could see that the server stops.
const LAST_REQUEST_TIMEOUT: Duration = Duration::from_millis(200);
/// Longest time to write an answer to a peer that reads slowly or not at all.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest time for which a connection that is being closed waits for its peer to close it too.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Size of the buffer for bytes that are discarded.
const DISCARD_BYTES: usize = 4 * 1024;

/// A connection of the server.
#[derive(Debug)]
pub(super) struct Connection {
    io: TcpStream,
    input: BytesMut,
    decoder: request::Decoder,
    limits: request::Limits,
    stop: Stop,
    memory: memory::Share,
}

impl Connection {
    /// Creates a connection that has received nothing. Once `stop` is cancelled, it is closed after
    /// the next answer, or without one if no request arrives.
    /// Creates a connection whose requests have a body of at most `max_body` bytes.
    pub(super) fn new(
        io: TcpStream,
        stop: Stop,
        max_body: u64,
        memory: memory::Share,
    ) -> io::Result<Self> {
        io.set_nodelay(true)?;
        Ok(Self {
            io,
            input: BytesMut::new(),
            decoder: request::Decoder::new(),
            limits: request::Limits {
                head: MAX_HEAD_BYTES,
                body: max_body,
            },
            stop,
            memory,
        })
    }

    /// Answers requests until one of the two sides closes the connection.
    pub(super) async fn run<Handler, Answer>(mut self, handler: &Handler) -> io::Result<()>
    where
        Handler: Fn(request::Request) -> Answer,
        Answer: future::Future<Output = Reply>,
    {
        loop {
            match self.decoder.decode(&mut self.input, self.limits) {
                Ok(request::Event::Request(request)) => {
                    let is_last = !request.head.keeps_alive;
                    let reply = handler(request).await;
                    self.memory.resize(0);
                    let keeps_alive = !is_last && !self.stop.is_cancelled();
                    self.write(&encode(&reply, keeps_alive)).await?;
                    if !keeps_alive {
                        return self.close().await;
                    }
                }
                Ok(request::Event::Continue) => {
                    let interim = b"HTTP/1.1 100 Continue\r\n\r\n";
                    self.write(interim).await?;
                }
                Ok(request::Event::More) => match self.read().await {
                    Ok(0) => return Ok(()),
                    Ok(_) => {
                        let held = self.decoder.held() + self.input.len();
                        if !self.memory.resize(held) {
                            let reply = Reply::new(503, "text/plain", "too many requests at once");
                            return self.reject(&reply).await;
                        }
                    }
                    Err(error) if error.kind() == io::ErrorKind::TimedOut => {
                        if !self.has_partial_request() {
                            return Ok(());
                        }
                        let reply = Reply::new(408, "text/plain", "the request is incomplete");
                        return self.reject(&reply).await;
                    }
                    Err(error) => return Err(error),
                },
                Err(error) => {
                    let reply = Reply::new(400, "text/plain", error.to_string());
                    return self.reject(&reply).await;
                }
            }
        }
    }

    /// Returns whether a part of a request has been received.
    fn has_partial_request(&self) -> bool {
        self.decoder.is_open() || !self.input.is_empty()
    }

    /// Answers a request that is not handled, and closes the connection.
    async fn reject(mut self, reply: &Reply) -> io::Result<()> {
        self.write(&encode(reply, false)).await?;
        self.close().await
    }

    async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        time::timeout(WRITE_TIMEOUT, self.io.write_all(bytes)).await?
    }

    /// Reads more bytes; returns zero at the end of the connection.
    async fn read(&mut self) -> io::Result<usize> {
        let is_partial = self.has_partial_request();
        loop {
            let is_stopping = self.stop.is_cancelled();
            let limit = match (is_stopping, is_partial) {
                (false, _) => IDLE_TIMEOUT,
                (true, true) => STOPPING_IDLE_TIMEOUT,
                (true, false) => LAST_REQUEST_TIMEOUT,
            };
            tokio::select! {
                read = time::timeout(limit, self.io.read_buf(&mut self.input)) => return read?,
                () = self.stop.cancelled(), if !is_stopping => {}
            }
        }
    }

    /// Closes the connection after an answer.
    ///
    /// Bytes that are unread at the close reset the connection, and the peer may lose the answer.
    /// They are discarded until the peer closes the connection, for a limited time.
    async fn close(mut self) -> io::Result<()> {
        self.io.shutdown().await?;
        let discard = async {
            let mut discarded = [0; DISCARD_BYTES];
            while self.io.read(&mut discarded).await? > 0 {}
            Ok(())
        };
        let closed = time::timeout(LINGER_TIMEOUT, discard).await;
        closed.unwrap_or(Ok(()))
    }
}

fn encode(reply: &Reply, keeps_alive: bool) -> Vec<u8> {
    let mut text = format!(
        "HTTP/1.1 {} {}\r\ncontent-type: {}\r\ncontent-length: {}\r\n",
        reply.status,
        super::reason_phrase(reply.status),
        reply.media_type,
        reply.body.len()
    );
    for (name, value) in &reply.fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !keeps_alive {
        text.push_str("connection: close\r\n");
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(&reply.body);
    bytes
}
