//! Connections from other nodes, which forward requests to this one.
//!
//! A malformed frame ends its connection and nothing more. When a connection
//! ends, its requests are cancelled, since nobody can get their answers.

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

use super::{WRITE_QUEUE, dial, incoming, outgoing};
use crate::traffic::answer;
use crate::traffic::path;
use crate::traffic::request;
use crate::traffic::server;

/// Time that a new connection has to authenticate itself.
const AUTH_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// Time in which nodes that have not seen yet that this one holds nothing get refusals.
const LINGER: Duration = Duration::from_millis(200);
/// Longest deadline that a peer may name.
const MAX_DEADLINE: Duration = Duration::from_secs(600);

/// Settings of the connections from other nodes.
#[derive(Clone, Debug)]
pub struct Config {
    /// Secret that the region's processes share.
    pub secret: sync::Arc<[u8]>,
    /// Streams at the same time on one connection.
    pub streams: usize,
}

#[derive(Debug)]
struct Entry {
    feed: incoming::Feed,
    credit: outgoing::Credit,
    task: task::AbortHandle,
}

/// Streams of one connection; dropping it cancels their requests.
#[derive(Debug, Default)]
struct Table(collections::HashMap<u64, Entry>);

impl Drop for Table {
    fn drop(&mut self) {
        for entry in self.0.values() {
            entry.task.abort();
        }
    }
}

/// Accepts connections until the node stops; then lets their requests end.
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
                    let ended = connection(io, &config, path, &closing).await;
                    if let Err(error) = ended {
                        tracing::warn!(%address, %error, "connection from a node failed");
                    }
                });
            }
            Err(error) => {
                tracing::warn!(%error, "no connection could be accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    tokio::time::sleep(LINGER).await;
    closing.cancel();
    while connections.join_next().await.is_some() {}
}

async fn connection<C, S>(
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
    let (sender, queue) = mpsc::channel(WRITE_QUEUE);
    let (ended, mut endings) = mpsc::channel::<u64>(WRITE_QUEUE);
    let mut table = Table::default();
    let mut last = 0;
    let mut writing = task::JoinSet::new();
    writing.spawn(dial::write(sink, queue));
    loop {
        // All frames of an answer are queued when its entry leaves the table.
        if closing.is_cancelled() && table.0.is_empty() {
            break;
        }
        let frame = tokio::select! {
            frame = frames.next() => match frame {
                Some(frame) => frame?,
                None => return Ok(()),
            },
            Some(number) = endings.recv() => {
                table.0.remove(&number);
                continue;
            }
            _ = writing.join_next() => return Ok(()),
            () = closing.cancelled(), if !closing.is_cancelled() => continue,
        };
        match frame.body {
            Some(stream::Body::Open(open)) => {
                if frame.stream <= last {
                    return Err(breach("a stream number was used twice"));
                }
                last = frame.stream;
                if table.0.len() >= config.streams {
                    refuse(frame.stream, outcome::Reason::Overload, &sender).await;
                    continue;
                }
                let entry = start(frame.stream, open, &path, &sender, &ended);
                table.0.insert(frame.stream, entry);
            }
            Some(stream::Body::Data(chunk)) => {
                if let Some(entry) = table.0.get(&frame.stream) {
                    let taken = entry.feed.data(chunk);
                    taken.map_err(|_| breach("credit exceeded, or data after the end"))?;
                }
            }
            Some(stream::Body::End(_)) => {
                if let Some(entry) = table.0.get(&frame.stream) {
                    let taken = entry.feed.end();
                    taken.map_err(|_| breach("a body was ended twice"))?;
                }
            }
            Some(stream::Body::Credit(size)) => {
                if let Some(entry) = table.0.get(&frame.stream) {
                    entry.credit.grant(size);
                }
            }
            Some(stream::Body::Reset(reset)) => {
                if let Some(entry) = table.0.remove(&frame.stream) {
                    entry.feed.cut(convert::to_reason(reset.reason));
                    entry.task.abort();
                }
            }
            Some(stream::Body::Head(_)) | None => return Err(breach("unexpected frame")),
        }
    }
    // The writer ends when the queue does, and ends the sending half of the connection.
    drop(sender);
    let _ = writing.join_next().await;
    // Closing with unread frames would reset the connection and could destroy answers.
    while frames.next().await.is_some_and(|frame| frame.is_ok()) {}
    Ok(())
}

fn start<C, S>(
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
    let sending = credit.clone();
    let task = tokio::spawn(async move {
        let answer = answer(&path, open, body).await;
        respond(number, answer, &sending, &frames).await;
        let _ = ended.send(number).await;
    });
    Entry {
        feed,
        credit,
        task: task.abort_handle(),
    }
}

async fn answer<C, S>(
    path: &path::Path<C, S>,
    open: stream::Open,
    body: incoming::Incoming,
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
    let headers: Vec<(String, Bytes)> = headers.map(|one| (one.name, one.value)).collect();
    let left = Duration::from_millis(u64::from(open.deadline_ms)).min(MAX_DEADLINE);
    let mut view = request::View {
        service: id::Service(open.service),
        hash: key::Hash(open.hash),
        method: &open.method,
        path: &open.path,
        headers: &headers,
        deadline: path.clock().now() + left,
        id,
        is_untold: false,
        caller: path.caller_named(&open.caller),
        scope: &open.scope,
        idempotent: open.idempotent,
        forwarded: Some(id::Epoch(open.epoch)),
    };
    path.serve(&mut view, body).await
}

async fn respond(
    number: u64,
    answer: answer::Answer,
    credit: &outgoing::Credit,
    frames: &mpsc::Sender<stream::Frame>,
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
    convert::put_outcome(&mut head, answer.outcome);
    let frame = stream::Frame::new(number, stream::Body::Head(head));
    if frames.send(frame).await.is_ok() {
        outgoing::send(number, answer.body, credit, frames).await;
        drop(answer.flight);
    }
}

async fn refuse(number: u64, reason: outcome::Reason, frames: &mpsc::Sender<stream::Frame>) {
    let answer = answer::Answer::not_run(reason);
    respond(number, answer, &outgoing::Credit::new(), frames).await;
}

fn breach(text: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}
