//! Connections of callers.
//!
//! Pipelined requests run concurrently, and their answers are written in the order of the requests.
//! The connection is read meanwhile, so that its end is noticed at once: its requests are dropped,
//! which cancels them at the backend servers.

use std::cell;
use std::io;
use std::rc;
use std::time::Duration;

use bytes::BytesMut;
use futures_util::StreamExt;
use futures_util::stream::FuturesOrdered;
use sequoiayoke_catalog::config;
use sequoiayoke_dispatch::shutdown;
use sequoiayoke_http1::request;
use sequoiayoke_model::clock;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time;

use super::{Context, path};
use crate::frontend;

/// Largest number of requests of one connection that run concurrently; further ones stay unread.
const MAX_PIPELINED: usize = 16;
/// Largest body that is accepted, in bytes. Bodies are held whole, so that a request that did not
/// run can be retried.
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;
/// Longest time for a caller to read an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Bytes of buffer that are reserved for each read.
const READ_BYTES: usize = 8 * 1024;

/// Accepts connections of callers.
pub(super) async fn accept<Frontend>(listener: TcpListener, context: rc::Rc<Context<Frontend>>)
where
    Frontend: frontend::Frontend,
{
    loop {
        match listener.accept().await {
            Ok((io, address)) => {
                let context = rc::Rc::clone(&context);
                tokio::task::spawn_local(async move {
                    if let Err(error) = serve(io, &context).await {
                        tracing::debug!(%address, %error, "the connection of a caller ended");
                    }
                });
            }
            Err(error) => {
                tracing::warn!(%error, "no connection could be accepted");
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Counts a connection as partly read while a part of a request has been read on it.
struct PartlyRead<'a> {
    count: &'a cell::Cell<usize>,
    is_counted: bool,
}

impl<'a> PartlyRead<'a> {
    const fn new(count: &'a cell::Cell<usize>) -> Self {
        Self {
            count,
            is_counted: false,
        }
    }

    fn set(&mut self, is_partly_read: bool) {
        match (self.is_counted, is_partly_read) {
            (false, true) => self.count.set(self.count.get() + 1),
            (true, false) => self.count.set(self.count.get() - 1),
            (false, false) | (true, true) => {}
        }
        self.is_counted = is_partly_read;
    }
}

impl Drop for PartlyRead<'_> {
    fn drop(&mut self) {
        self.set(false);
    }
}

/// Reason why the node closes the connection of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Close {
    /// The rest of a request, or the next one, did not arrive in time.
    Timeout,
    /// The caller sends no further request.
    LastRequest,
    /// The node is stopping.
    Stopping,
}

/// Logs a close after which a request that was read in part stays without an answer.
fn log_close<Frontend>(
    context: &Context<Frontend>,
    reason: Close,
    decoder: &request::Decoder,
    input: &BytesMut,
) where
    Frontend: frontend::Frontend,
{
    let open = decoder.open_head();
    if (open.is_none() && input.is_empty()) || !context.may_log() {
        return;
    }
    let id = open.and_then(|head| context.frontend.caller(head).id);
    tracing::info!(
        id,
        ?reason,
        has_head = open.is_some(),
        undecoded_bytes = input.len(),
        "closed a connection on which a part of a request was read"
    );
}

async fn serve<Frontend>(mut io: TcpStream, context: &rc::Rc<Context<Frontend>>) -> io::Result<()>
where
    Frontend: frontend::Frontend,
{
    io.set_nodelay(true)?;
    let mut input = BytesMut::new();
    let mut decoder = request::Decoder::new();
    let mut running = FuturesOrdered::new();
    let mut is_last = false;
    // A caller that connects to a stopping node gets one answer.
    let mut is_new = true;
    let mut last_activity = time::Instant::now();
    let mut partly_read = PartlyRead::new(&context.partly_read);
    loop {
        let limits = context
            .shared
            .view
            .load()
            .config
            .as_ref()
            .map_or_else(config::Limits::default, |config| config.limits);
        let bounds = request::Limits {
            head: limits.max_header_bytes as usize,
            body: limits.max_body_bytes.min(MAX_BODY_BYTES),
        };
        let phase = context.phase();
        let is_closed = phase >= shutdown::Phase::Closed;
        let is_stopping = phase >= shutdown::Phase::Leaving;
        while !is_last && !is_closed && running.len() < MAX_PIPELINED {
            match decoder.decode(&mut input, bounds) {
                Ok(request::Event::Request(request)) => {
                    is_last = !request.head.keeps_alive;
                    is_new = false;
                    let now = clock::Instant::now();
                    running.push_back(path::serve(rc::Rc::clone(context), request, now));
                    last_activity = time::Instant::now();
                }
                Ok(request::Event::Continue) => {
                    io.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
                }
                Ok(request::Event::More) => break,
                Err(fault) => {
                    while let Some(answer) = running.next().await {
                        write(&mut io, answer, false).await?;
                    }
                    write(&mut io, path::malformed(fault), true).await?;
                    return io.shutdown().await;
                }
            }
        }
        let is_idle = running.is_empty();
        let is_ending = is_closed || (is_stopping && input.is_empty() && !is_new);
        partly_read.set(decoder.is_open() || !input.is_empty());
        if is_idle && (is_last || is_ending) {
            let reason = match is_last {
                true => Close::LastRequest,
                false => Close::Stopping,
            };
            log_close(context, reason, &decoder, &input);
            return io.shutdown().await;
        }
        let timeout_ms = match input.is_empty() && !decoder.is_open() {
            true => limits.idle_timeout_ms,
            false => limits.header_timeout_ms,
        };
        let until = last_activity + Duration::from_millis(timeout_ms);
        input.reserve(READ_BYTES);
        tokio::select! {
            Some(answer) = running.next() => {
                let is_closing = (is_last || is_stopping) && running.is_empty();
                write(&mut io, answer, is_closing).await?;
                last_activity = time::Instant::now();
                if is_closing {
                    let reason = match is_last {
                        true => Close::LastRequest,
                        false => Close::Stopping,
                    };
                    log_close(context, reason, &decoder, &input);
                    return io.shutdown().await;
                }
            }
            read = io.read_buf(&mut input), if running.len() < MAX_PIPELINED => {
                if read? == 0 {
                    // The caller has disconnected; dropping `running` cancels its requests.
                    return Ok(());
                }
                if decoder.is_open() {
                    last_activity = time::Instant::now();
                }
            }
            () = time::sleep_until(until), if is_idle => {
                log_close(context, Close::Timeout, &decoder, &input);
                return io.shutdown().await;
            }
            () = context.reached(shutdown::Phase::Leaving), if is_idle && !is_stopping => {}
        }
    }
}

async fn write(io: &mut TcpStream, answer: path::Answer, is_closing: bool) -> io::Result<()> {
    let mut bytes = answer.head;
    if is_closing {
        bytes.extend_from_slice(b"connection: close\r\n");
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(&answer.body);
    time::timeout(WRITE_TIMEOUT, io.write_all(&bytes)).await?
}
