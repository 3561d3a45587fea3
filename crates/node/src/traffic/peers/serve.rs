//! Inbound connections, over which other nodes forward requests to this one.
//!
//! A malformed frame closes only its connection. When a connection ends, its
//! requests are cancelled, since their answers can no longer be delivered.

use std::collections;
use std::io;
use std::sync;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_model::outcome;
use sequoiayoke_supervise::Stop;
use sequoiayoke_wire::auth;
use sequoiayoke_wire::convert;
use sequoiayoke_wire::stream;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task;
use tokio_util::codec;

use super::{WRITE_QUEUE_CAPACITY, dial, incoming, outgoing};
use crate::traffic::answer;
use crate::traffic::path;
use crate::traffic::request;
use crate::traffic::server;

/// Timeout for the authentication of a new connection.
const AUTH_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time after the listener closes in which open connections still accept streams, so that
/// nodes whose view shows this one as an owner get refusals instead of lost connections.
const REFUSAL_TIME: Duration = Duration::from_millis(200);
/// Maximum deadline that a peer may request.
const MAX_DEADLINE: Duration = Duration::from_secs(600);

/// Configuration of the connections from other nodes.
#[derive(Clone, Debug)]
pub struct Config {
    /// Shared secret of the region's processes.
    pub secret: sync::Arc<[u8]>,
    /// Maximum number of concurrent streams on one connection.
    pub streams: usize,
}

#[derive(Debug)]
struct Entry {
    feed: incoming::Feed,
    credit: outgoing::Credit,
    // Ends the request with the outcome that it has by then.
    cancel: Stop,
    // Ends the sending of its answer.
    reset: Stop,
    task: task::AbortHandle,
}

/// Streams of one connection; dropping the table cancels their requests.
#[derive(Debug, Default)]
struct Table(collections::HashMap<u64, Entry>);

impl Drop for Table {
    fn drop(&mut self) {
        for entry in self.0.values() {
            entry.task.abort();
        }
    }
}

/// Accepts connections until `stop` is cancelled, then waits until their requests have ended.
pub async fn run<C, S>(
    listener: TcpListener,
    config: Config,
    path: sync::Arc<path::Path<C, S>>,
    stop: Stop,
) where
    C: clock::Clock + Send + Sync + 'static,
    S: server::Dispatch,
{
    let mut connections = task::JoinSet::new();
    let closing = Stop::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
            () = stop.cancelled() => break,
        };
        match accepted {
            Ok((io, address)) => {
                let (config, path, closing) = (config.clone(), path.clone(), closing.clone());
                connections.spawn(async move {
                    let result = serve_connection(io, &config, path, &closing).await;
                    if let Err(error) = result {
                        tracing::warn!(%address, %error, "connection from a node failed");
                    }
                });
            }
            Err(error) => {
                tracing::warn!(%error, "failed to accept a connection from a node");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    tokio::time::sleep(REFUSAL_TIME).await;
    closing.cancel();
    while connections.join_next().await.is_some() {}
}

async fn serve_connection<C, S>(
    io: TcpStream,
    config: &Config,
    path: sync::Arc<path::Path<C, S>>,
    closing: &Stop,
) -> io::Result<()>
where
    C: clock::Clock + Send + Sync + 'static,
    S: server::Dispatch,
{
    io.set_nodelay(true)?;
    let proof = auth::accept(io, auth::Kind::Stream, &config.secret);
    let io = tokio::time::timeout(AUTH_TIMEOUT, proof).await??;
    let (reader, writer) = io.into_split();
    let mut frames = codec::FramedRead::new(reader, dial::Codec::new());
    let sink = codec::FramedWrite::new(writer, dial::Codec::new());
    let (sender, queue) = mpsc::channel(WRITE_QUEUE_CAPACITY);
    let (ended, mut ended_streams) = mpsc::channel::<u64>(WRITE_QUEUE_CAPACITY);
    let mut table = Table::default();
    let mut last = 0;
    let mut writing = task::JoinSet::new();
    writing.spawn(dial::write(sink, queue));
    loop {
        // All frames of an answer are queued before its entry is removed from the table.
        if closing.is_cancelled() && table.0.is_empty() {
            break;
        }
        let frame = tokio::select! {
            frame = frames.next() => match frame {
                Some(frame) => frame?,
                None => return Ok(()),
            },
            Some(number) = ended_streams.recv() => {
                table.0.remove(&number);
                continue;
            }
            _ = writing.join_next() => return Ok(()),
            () = closing.cancelled(), if !closing.is_cancelled() => continue,
        };
        match frame.body {
            Some(stream::Body::Open(open)) => {
                if frame.stream <= last {
                    return Err(violation("stream numbers do not ascend"));
                }
                last = frame.stream;
                if table.0.len() >= config.streams {
                    refuse(frame.stream, outcome::Reason::Overload, &sender).await;
                    continue;
                }
                let entry = start_stream(frame.stream, open, &path, &sender, &ended);
                table.0.insert(frame.stream, entry);
            }
            Some(stream::Body::Data(chunk)) => {
                if let Some(entry) = table.0.get(&frame.stream) {
                    let result = entry.feed.data(chunk);
                    result.map_err(|_| violation("credit exceeded, or data after the end"))?;
                }
            }
            Some(stream::Body::End(_)) => {
                if let Some(entry) = table.0.get(&frame.stream) {
                    let result = entry.feed.end();
                    result.map_err(|_| violation("a body was ended twice"))?;
                }
            }
            Some(stream::Body::Credit(size)) => {
                if let Some(entry) = table.0.get(&frame.stream) {
                    entry.credit.grant(size);
                }
            }
            Some(stream::Body::Reset(reset)) => {
                // The request reports its outcome, which the peer may still wait for.
                if let Some(entry) = table.0.get(&frame.stream)
                    && !entry.reset.is_cancelled()
                {
                    entry.cancel.cancel();
                    entry.reset.cancel();
                    entry.feed.truncate(convert::decode_reason(reset.reason));
                }
            }
            Some(stream::Body::Head(_)) | None => return Err(violation("unexpected frame type")),
        }
    }
    // Closing the queue ends the writer, which shuts down the sending half of the connection.
    drop(sender);
    let _ = writing.join_next().await;
    // Closing a socket with unread bytes resets the connection, and the peer could lose answers.
    while frames.next().await.is_some_and(|frame| frame.is_ok()) {}
    Ok(())
}

fn start_stream<C, S>(
    number: u64,
    open: stream::Open,
    path: &sync::Arc<path::Path<C, S>>,
    frames: &mpsc::Sender<stream::Frame>,
    ended: &mpsc::Sender<u64>,
) -> Entry
where
    C: clock::Clock + Send + Sync + 'static,
    S: server::Dispatch,
{
    let (feed, body) = incoming::channel(number, frames.clone());
    let credit = outgoing::Credit::new();
    let (path, frames, ended) = (path.clone(), frames.clone(), ended.clone());
    let response_credit = credit.clone();
    let cancel = path.cutoff().child_token();
    let reset = Stop::new();
    let (is_cancelled, is_reset) = (cancel.clone(), reset.clone());
    let task = tokio::spawn(async move {
        let answer = serve_request(&path, open, body, &is_cancelled).await;
        respond(number, answer, &response_credit, &frames, &is_reset).await;
        let _ = ended.send(number).await;
    });
    Entry {
        feed,
        credit,
        cancel,
        reset,
        task: task.abort_handle(),
    }
}

async fn serve_request<C, S>(
    path: &path::Path<C, S>,
    open: stream::Open,
    body: incoming::Incoming,
    cancel: &Stop,
) -> answer::Answer
where
    C: clock::Clock + Send + Sync + 'static,
    S: server::Dispatch,
{
    let id = match open.request_id.as_str() {
        "" => None,
        text => match text.parse() {
            Ok(id) => Some(id),
            Err(_) => return answer::Answer::not_run(outcome::Reason::BadRequest),
        },
    };
    let headers = open.headers.into_iter();
    let headers: Vec<(String, Bytes)> = headers.map(|header| (header.name, header.value)).collect();
    let left = Duration::from_millis(u64::from(open.deadline_ms)).min(MAX_DEADLINE);
    let mut view = request::View {
        service: id::Service(open.service),
        hash: key::Hash(open.hash),
        method: &open.method,
        path: &open.path,
        headers: &headers,
        deadline: path.clock().now() + left,
        id,
        is_undisclosed: false,
        caller: path.caller_named(&open.caller),
        scope: &open.scope,
        idempotent: open.idempotent,
        forwarded: Some(id::Epoch(open.epoch)),
        cancel,
    };
    path.serve(&mut view, body).await
}

async fn respond(
    number: u64,
    answer: answer::Answer,
    credit: &outgoing::Credit,
    frames: &mpsc::Sender<stream::Frame>,
    reset: &Stop,
) {
    let headers = answer.headers.into_iter();
    let mut head = stream::Head {
        headers: headers
            .map(|(name, value)| stream::Header { name, value })
            .collect(),
        epoch: answer.epoch.map_or(0, |epoch| epoch.0),
        server: answer.server,
        replayed: answer.replayed,
        ..stream::Head::default()
    };
    convert::set_outcome(&mut head, answer.outcome);
    let frame = stream::Frame::new(number, stream::Body::Head(head));
    if frames.send(frame).await.is_ok() {
        let sending = outgoing::send(number, answer.body, credit, frames);
        let _ = reset.run_until_cancelled(sending).await;
        drop(answer.in_flight);
    }
}

async fn refuse(number: u64, reason: outcome::Reason, frames: &mpsc::Sender<stream::Frame>) {
    let answer = answer::Answer::not_run(reason);
    let (credit, reset) = (outgoing::Credit::new(), Stop::new());
    respond(number, answer, &credit, frames, &reset).await;
}

fn violation(text: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}
