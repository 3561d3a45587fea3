//! Connections of callers.
//!
//! Pipelined requests run concurrently, and their answers are written in the order of the requests.
//! The connection is read meanwhile, so that its end is noticed at once: its requests are dropped,
//! which cancels them at the backend servers.

use std::io;
use std::net;
use std::rc;
use std::time::Duration;

use bytes::{Buf, BytesMut};
use futures_util::stream::FuturesOrdered;
use futures_util::{FutureExt, StreamExt};
use sequoiayoke_catalog::config;
use sequoiayoke_dispatch::{ledger, shutdown};
use sequoiayoke_http1::request;
use sequoiayoke_link::account;
use sequoiayoke_model::clock;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time;
use tokio_util::task;

use super::{Context, path};
use crate::{frontend, root};

/// Largest body that is accepted, in bytes. Bodies are held whole, so that a request that did not
/// run can be retried.
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;
/// Longest time for a caller to read an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time for which a connection that the node closes stays open until the caller closes it.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without input after which a stopping node closes an idle connection.
const QUIET_TIME: Duration = Duration::from_millis(100);
/// Delay after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Bytes of buffer that are reserved for each read.
const READ_BYTES: usize = 8 * 1024;
/// Longest time to write the refusal to a caller that gives way to others.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(20);

/// Percentage of the memory of the process that callers may hold.
const MEMORY_PERCENT: usize = 30;
/// Percentage of the descriptors of the process that connections of callers may take. The others are
/// for nodes, control replicas, readiness and the backend server.
const DESCRIPTORS_PERCENT: usize = 70;
/// Largest number of requests of one connection that run concurrently.
const MAX_PIPELINED: usize = 16;

/// Returns what all callers together may hold.
pub(super) const fn limits(process: &root::Limits) -> ledger::Limits {
    ledger::Limits {
        bytes: process.memory / 100 * MEMORY_PERCENT,
        connections: process.descriptors * DESCRIPTORS_PERCENT / 100,
    }
}

/// Returns the largest number of requests of one connection that run concurrently. While callers
/// hold much, each connection has one, so that a few cannot take all room with answers that they do
/// not read.
fn max_pipelined(account: &account::Account) -> usize {
    match account.is_half_used() {
        true => 1,
        false => MAX_PIPELINED,
    }
}

/// Accepts connections of callers until the node takes no more.
///
/// Connections that wait to be accepted then are accepted too: the end of the listener would reset
/// them, and a request may have been sent on them.
pub(super) async fn accept<Frontend>(listener: TcpListener, context: rc::Rc<Context<Frontend>>)
where
    Frontend: frontend::Frontend,
{
    let mut closed = std::pin::pin!(context.reached(shutdown::Phase::Closed));
    loop {
        let accepted = async {
            context.account.wait_for_connection().await;
            listener.accept().await
        };
        tokio::select! {
            accepted = accepted => match accepted {
                Ok((io, address)) => spawn(io, address, &context),
                Err(error) => {
                    tracing::warn!(%error, "no connection could be accepted");
                    time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            () = &mut closed => break,
        }
    }
    while let Some(Ok((io, address))) = listener.accept().now_or_never() {
        spawn(io, address, &context);
    }
}

fn spawn<Frontend>(io: TcpStream, address: net::SocketAddr, context: &rc::Rc<Context<Frontend>>)
where
    Frontend: frontend::Frontend,
{
    // A connection counts from its accept: a request may already have been sent on it.
    let open = context.caller_connections.enter();
    let holding = rc::Rc::new(account::Holding::new(&context.account));
    let context = rc::Rc::clone(context);
    tokio::task::spawn_local(async move {
        let _open = open;
        if let Err(error) = serve(io, &holding, &context).await {
            tracing::debug!(%address, %error, "the connection of a caller ended");
        }
    });
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
    /// The caller sent bytes that are no request within the limits.
    Malformed,
    /// Callers hold too much, and this one has held the most for the longest without progress.
    NoRoom,
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

/// Serves the requests of a connection, then closes it.
async fn serve<Frontend>(
    mut io: TcpStream,
    holding: &rc::Rc<account::Holding>,
    context: &rc::Rc<Context<Frontend>>,
) -> io::Result<()>
where
    Frontend: frontend::Frontend,
{
    io.set_nodelay(true)?;
    let mut input = BytesMut::new();
    let mut decoder = request::Decoder::new();
    let served = serve_requests(&mut io, &mut input, &mut decoder, holding, context);
    let served = tokio::select! {
        biased;
        () = holding.must_close() => Ok(Some(Close::NoRoom)),
        served = served => served,
    };
    let Some(reason) = served? else {
        return Ok(());
    };
    log_close(context, reason, &decoder, &input);
    if reason == Close::NoRoom {
        context.measure.record_closed_caller("no-room");
        return refuse(&mut io, &decoder).await;
    }
    io.shutdown().await?;
    let discarded = time::timeout(CLOSE_TIMEOUT, discard_input(&mut io, input));
    // A caller that keeps its end open has had the time to read the last answer.
    discarded.await.unwrap_or(Ok(()))
}

/// Closes a connection at once, so that what it holds is free; a request that was read in part is
/// refused if the caller can be told without a wait.
async fn refuse(io: &mut TcpStream, decoder: &request::Decoder) -> io::Result<()> {
    if !decoder.is_open() {
        return Ok(());
    }
    let refusal = path::unread(path::Unread::NoRoom);
    let mut bytes = refusal.head;
    bytes.extend_from_slice(b"connection: close\r\n\r\n");
    let written = time::timeout(REFUSAL_TIMEOUT, io.write_all(&bytes)).await;
    written.unwrap_or(Ok(()))
}

/// Reads until the caller has closed the connection.
///
/// Closing a connection with unread input resets it, which can destroy an answer on its way.
async fn discard_input(io: &mut TcpStream, mut buffer: BytesMut) -> io::Result<()> {
    loop {
        buffer.clear();
        buffer.reserve(READ_BYTES);
        if io.read_buf(&mut buffer).await? == 0 {
            return Ok(());
        }
    }
}

/// Serves requests until the node should close the connection; returns why, or `None` if the
/// caller has closed it.
async fn serve_requests<Frontend>(
    io: &mut TcpStream,
    input: &mut BytesMut,
    decoder: &mut request::Decoder,
    holding: &rc::Rc<account::Holding>,
    context: &rc::Rc<Context<Frontend>>,
) -> io::Result<Option<Close>>
where
    Frontend: frontend::Frontend,
{
    // Each request is a task, so that it goes on while an answer before it is written. Dropping the
    // handle cancels it.
    let mut running = FuturesOrdered::<task::AbortOnDropHandle<Served>>::new();
    let mut is_last = false;
    let mut is_continue_due = false;
    // A caller that connects to a stopping node gets one answer.
    let mut is_new = true;
    let mut last_activity = time::Instant::now();
    let mut quiet_since = None;
    let mut partly_read = None;
    let mut stop = context.stop.clone();
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
        let max_pipelined = max_pipelined(&context.account);
        while !is_last && running.len() < max_pipelined {
            match decoder.decode(input, bounds) {
                Ok(request::Event::Request(request)) => {
                    is_last = !request.head.keeps_alive;
                    is_new = false;
                    let now = clock::Instant::now();
                    // What was read of it is counted with the request from now on.
                    holding.reserve(input.len());
                    let mut share = account::Share::new(holding, request.body.len());
                    let serving = path::serve(rc::Rc::clone(context), request, now);
                    let serving = tokio::task::spawn_local(async move {
                        let answer = serving.await;
                        share.resize(answer.body.len());
                        Served { answer, share }
                    });
                    running.push_back(task::AbortOnDropHandle::new(serving));
                    last_activity = time::Instant::now();
                }
                Ok(request::Event::Continue) => is_continue_due = true,
                Ok(request::Event::More) => break,
                Err(fault) => {
                    while let Some(served) = running.next().await {
                        let served = served.map_err(io::Error::other)?;
                        write(io, served.answer, false, holding).await?;
                    }
                    write(io, path::malformed(fault), true, holding).await?;
                    return Ok(Some(Close::Malformed));
                }
            }
        }
        let is_idle = running.is_empty();
        // Before the answers to earlier requests, it would belong to the first of these.
        if is_continue_due && is_idle {
            is_continue_due = false;
            write_bytes(io, b"HTTP/1.1 100 Continue\r\n\r\n").await?;
        }
        let is_partly_read = decoder.is_open() || !input.is_empty();
        match is_partly_read {
            true => {
                partly_read.get_or_insert_with(|| context.partly_read.enter());
            }
            false => partly_read = None,
        }
        let phase = stop.borrow_and_update().phase;
        let mut until = match is_partly_read {
            true => last_activity + Duration::from_millis(limits.header_timeout_ms),
            false => last_activity + Duration::from_millis(limits.idle_timeout_ms),
        };
        if is_idle && is_last {
            return Ok(Some(Close::LastRequest));
        }
        if phase >= shutdown::Phase::Withdrawing {
            until = time::Instant::now();
        } else if phase >= shutdown::Phase::Closed && is_idle && !is_partly_read && !is_new {
            // A request may be on its way.
            let quiet_since = quiet_since.get_or_insert_with(time::Instant::now);
            until = until.min(*quiet_since + QUIET_TIME);
        }
        let room = match running.len() < max_pipelined {
            true => Some(holding.reserve(input.len() + decoder.held() + READ_BYTES)),
            false => None,
        };
        if room == Some(ledger::Room::Refused) {
            return Ok(Some(Close::NoRoom));
        }
        let may_read = room == Some(ledger::Room::Granted);
        if may_read {
            input.reserve(READ_BYTES);
        }
        holding.set_awaits_caller(is_idle);
        tokio::select! {
            // What has arrived is read before an idle connection is closed.
            biased;
            Some(served) = running.next() => {
                let is_ending = is_last || phase >= shutdown::Phase::Leaving;
                let is_closing = is_ending && running.is_empty();
                let served = served.map_err(io::Error::other)?;
                write(io, served.answer, is_closing, holding).await?;
                drop(served.share);
                last_activity = time::Instant::now();
                if is_closing {
                    let reason = match is_last {
                        true => Close::LastRequest,
                        false => Close::Stopping,
                    };
                    return Ok(Some(reason));
                }
            }
            read = io.read_buf(input), if may_read => {
                if read? == 0 {
                    // The caller has disconnected; dropping `running` cancels its requests.
                    return Ok(None);
                }
                holding.record_progress();
                // The time limit of a head counts from its first byte.
                if decoder.is_open() || !is_partly_read {
                    last_activity = time::Instant::now();
                }
                quiet_since = None;
            }
            () = time::sleep_until(until), if is_idle => {
                let (reason, unread) = match phase >= shutdown::Phase::Closed {
                    true => (Close::Stopping, path::Unread::Stopping),
                    false => (Close::Timeout, path::Unread::Timeout),
                };
                if is_partly_read {
                    write(io, path::unread(unread), true, holding).await?;
                }
                return Ok(Some(reason));
            }
            // The phase of the stop is looked at again.
            _ = stop.changed() => {}
            () = context.account.wait_until_returned(), if room.is_some() && !may_read => {}
        }
    }
}

/// The answer to a request, and the bytes that it holds.
struct Served {
    answer: path::Answer,
    share: account::Share,
}

/// Writes an answer. Meanwhile the node waits for the caller to read it.
async fn write(
    io: &mut TcpStream,
    answer: path::Answer,
    is_closing: bool,
    holding: &account::Holding,
) -> io::Result<()> {
    holding.set_awaits_caller(true);
    let mut head = answer.head;
    if is_closing {
        head.extend_from_slice(b"connection: close\r\n");
    }
    head.extend_from_slice(b"\r\n");
    let mut bytes = Buf::chain(&head[..], &answer.body[..]);
    let written = async {
        while bytes.has_remaining() {
            io.write_buf(&mut bytes).await?;
            holding.record_progress();
        }
        Ok(())
    };
    time::timeout(WRITE_TIMEOUT, written).await?
}

async fn write_bytes(io: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    time::timeout(WRITE_TIMEOUT, io.write_all(bytes)).await?
}
