//! Runs the requests of callers.

use std::time::Duration;

use futures_util::StreamExt as _;
use http::Method;
use http::StatusCode;
use serde::Serialize;
use tokio::time;
use xxhash_rust::xxh3;

use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_model::key;

use crate::standin::board;
use crate::standin::coordinator::fault;
use crate::standin::traffic;
use crate::standin::traffic::counts;
use crate::standin::traffic::endpoint;
use crate::standin::traffic::ledger;
use crate::standin::traffic::listener;
use crate::standin::traffic::store;

/// Deadline of a request that states none, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 10_000;

/// Largest deadline that is honoured, in milliseconds.
const MAX_DEADLINE_MS: u64 = 60_000;

/// Time after the deadline at which a late answer is sent.
const LATE_MARGIN: Duration = Duration::from_millis(50);

/// Part of a refused body that is read, so that the connection stays usable.
const DRAIN_LIMIT: usize = 1 << 20;

/// Head of a request.
#[derive(Debug)]
struct Head {
    name: store::Name,
    method: Method,
    hash: key::Hash,
    epoch: Option<id::Epoch>,
    lease_until: Option<clock::Instant>,
    request_id: Option<String>,
    deadline: time::Instant,
}

/// Answer to a request that ran.
#[derive(Debug, Serialize)]
struct Answer<'a> {
    server: &'a str,
    service: &'a str,
    key: &'a str,
    scope: &'a str,
    epoch: Option<id::Epoch>,
    request_id: Option<&'a str>,
    execution: u64,
    body_bytes: u64,
    digest: String,
    value: store::Value,
}

impl Head {
    fn parse(path: &str, request: &poem::Request) -> Result<Self, String> {
        let mut parts = path.splitn(3, '/');
        let (service, key) = (parts.next().unwrap_or(""), parts.next().unwrap_or(""));
        let key = decode(key).ok_or("the key is not percent-encoded UTF-8")?;
        if service.is_empty() || key.is_empty() {
            return Err("the path names no service and key".into());
        }
        let scope = request.header("sequoiayoke-scope").unwrap_or("").to_owned();
        let hash = match request.header("sequoiayoke-key-hash") {
            Some(text) => key::Hash(u64::from_str_radix(text, 16).map_err(|_| "bad key hash")?),
            None => key::Hash::new(&scope, &key),
        };
        let deadline = number(request, "sequoiayoke-deadline-ms")?.unwrap_or(DEFAULT_DEADLINE_MS);
        let deadline = Duration::from_millis(deadline.min(MAX_DEADLINE_MS));
        let lease_until = number(request, "sequoiayoke-lease-until-us")?;
        Ok(Self {
            name: store::Name {
                service: service.to_owned(),
                scope,
                key,
            },
            method: request.method().clone(),
            hash,
            epoch: number(request, "sequoiayoke-epoch")?.map(id::Epoch),
            lease_until: lease_until.map(clock::Instant::from_micros),
            request_id: request.header("sequoiayoke-request-id").map(str::to_owned),
            deadline: time::Instant::now() + deadline,
        })
    }

    fn execution(&self) -> ledger::Execution<'_> {
        ledger::Execution {
            id: self.request_id.as_deref(),
            method: self.method.as_str(),
            service: &self.name.service,
            key: &self.name.key,
        }
    }

    /// Logs the start, so that tests see the executions of a process that was killed.
    fn log_start(&self, now: clock::Instant) {
        tracing::info!(
            target: "sequoiayoke::execution",
            at_us = now.as_micros(),
            key = %self.name.key,
            epoch = self.epoch.map_or(0, |epoch| epoch.0),
            request = %self.request_id.as_deref().unwrap_or(""),
            "execution starts"
        );
    }

    /// Tells whether the request may start now.
    fn is_admitted(&self, view: &board::View, now: clock::Instant) -> bool {
        let (Some(epoch), Some(until)) = (self.epoch, self.lease_until) else {
            return false;
        };
        now < until && view.grants.admits(&self.name.service, self.hash, epoch)
    }
}

fn number(request: &poem::Request, name: &str) -> Result<Option<u64>, String> {
    let Some(text) = request.header(name) else {
        return Ok(None);
    };
    let number = text.parse();
    number
        .map(Some)
        .map_err(|_| format!("{name} is not a number"))
}

/// Decodes percent-encoding.
fn decode(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        rest = after;
        if *first != b'%' {
            bytes.push(*first);
            continue;
        }
        let digits = std::str::from_utf8(after.get(..2)?).ok()?;
        if !digits.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return None;
        }
        bytes.push(u8::from_str_radix(digits, 16).ok()?);
        rest = &after[2..];
    }
    String::from_utf8(bytes).ok()
}

async fn refuse(reason: fault::Refusal, request: poem::Request) -> poem::Response {
    let mut body = request.into_body().into_bytes_stream();
    let mut left = DRAIN_LIMIT;
    while let Some(Ok(part)) = body.next().await {
        left = left.saturating_sub(part.len());
        if left == 0 {
            break;
        }
    }
    let mut response = endpoint::fail(StatusCode::CONFLICT, "refused", reason.word());
    let word = http::HeaderValue::from_static(reason.word());
    response.headers_mut().insert("sequoiayoke-refused", word);
    response
}

fn mark(mut response: poem::Response, mangle: counts::Mangle) -> poem::Response {
    let word = http::HeaderValue::from_static(mangle.word());
    response.headers_mut().insert(listener::MANGLE, word);
    response
}

impl traffic::Traffic {
    /// Runs a request; dropping the future cancels it.
    pub(super) async fn run_request(&self, path: &str, request: poem::Request) -> poem::Response {
        let head = match Head::parse(path, &request) {
            Ok(head) => head,
            Err(detail) => return endpoint::fail(StatusCode::BAD_REQUEST, "malformed", &detail),
        };
        self.board.thawed().await;
        if self.counts.take_reset_request() {
            let response = endpoint::fail(StatusCode::INTERNAL_SERVER_ERROR, "reset", "");
            return mark(response, counts::Mangle::Reset);
        }
        if let Some(reason) = self.refusal(&head) {
            return refuse(reason, request).await;
        }
        let Ok(_slot) = self.slots.acquire(head.deadline).await else {
            return refuse(fault::Refusal::Overload, request).await;
        };
        self.board.thawed().await;
        let view = self.board.view();
        let fenced = self.settings.checks_fencing && !view.faults.ignore_fencing;
        let now = clock::Instant::now();
        if fenced && !head.is_admitted(&view, now) {
            return refuse(fault::Refusal::Fencing, request).await;
        }
        head.log_start(now);
        let execution = self.ledger.start(head.execution());
        let work = self.execute(&head, execution, request.into_body());
        match time::timeout_at(head.deadline, work).await {
            Ok(Ok(response)) => self.finish(&head, response).await,
            Ok(Err(error)) => endpoint::fail(StatusCode::BAD_REQUEST, "body", &error.to_string()),
            Err(_) => endpoint::fail(StatusCode::GATEWAY_TIMEOUT, "deadline", "cancelled"),
        }
    }

    fn refusal(&self, head: &Head) -> Option<fault::Refusal> {
        let view = self.board.view();
        if view.faults.refuse.is_some() {
            return view.faults.refuse;
        }
        if view.draining {
            tracing::debug!(key = head.name.key, "refused while draining");
            return Some(fault::Refusal::Draining);
        }
        None
    }

    /// Takes the time of the request, reads its body and uses its key.
    async fn execute(
        &self,
        head: &Head,
        execution: u64,
        body: poem::Body,
    ) -> std::io::Result<poem::Response> {
        let view = self.board.view();
        let (service, hash) = (&head.name.service, head.hash);
        let revoked = view.grants.revoked(service, hash);
        let warm =
            view.grants.is_prepared(service, hash) || self.store.is_warm(&head.name, revoked);
        let cold = match warm {
            true => Duration::ZERO,
            false => self.settings.cold,
        };
        let delay = self.settings.delay + cold;
        if !delay.is_zero() {
            time::sleep(delay).await;
        }
        let (body_bytes, digest) = digest(body).await?;
        // A paused process goes on after its checks as if nothing had happened.
        self.board.thawed().await;
        let id = head.request_id.as_deref();
        let value = match head.method {
            Method::POST | Method::PUT => self.store.write(&head.name, head.epoch, id, &digest),
            _ => self.store.read(&head.name, head.epoch),
        };
        self.ledger.complete(head.execution());
        let answer = Answer {
            server: &self.settings.name,
            service: &head.name.service,
            key: &head.name.key,
            scope: &head.name.scope,
            epoch: head.epoch,
            request_id: id,
            execution,
            body_bytes,
            digest,
            value,
        };
        Ok(endpoint::answer(StatusCode::OK, &answer))
    }

    /// Applies the faults that concern the answer.
    async fn finish(&self, head: &Head, response: poem::Response) -> poem::Response {
        let delay = self.board.view().faults.delay;
        if !delay.is_zero() {
            time::sleep(delay).await;
        }
        if self.counts.take_late() {
            time::sleep_until(head.deadline + LATE_MARGIN).await;
        }
        self.board.thawed().await;
        match self.counts.take_mangle() {
            Some(mangle) => mark(response, mangle),
            None => response,
        }
    }
}

/// Reads a body and returns its length and the XXH3 digest of its bytes.
async fn digest(body: poem::Body) -> std::io::Result<(u64, String)> {
    let mut state = xxh3::Xxh3Default::new();
    let mut length = 0;
    let mut parts = body.into_bytes_stream();
    while let Some(part) = parts.next().await {
        let part = part?;
        length += part.len() as u64;
        state.update(&part);
    }
    Ok((length, format!("{:016x}", state.digest())))
}
