//! Execution of the requests of callers.

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

use crate::standin::coordinator::fault;
use crate::standin::traffic;
use crate::standin::traffic::endpoint;
use crate::standin::traffic::injector;
use crate::standin::traffic::ledger;
use crate::standin::traffic::listener;
use crate::standin::traffic::store;
use crate::standin::view;

/// Deadline of a request without the header, in milliseconds.
const DEFAULT_DEADLINE_MS: u64 = 10_000;

/// Largest deadline that is accepted, in milliseconds; longer ones are reduced to it.
const MAX_DEADLINE_MS: u64 = 60_000;

/// Time after the deadline at which a late response is sent.
const LATE_MARGIN: Duration = Duration::from_millis(50);

/// Largest number of bytes that are read from the body of a refused request, which keeps the
/// connection usable.
const MAX_DRAINED_BYTES: usize = 1 << 20;

/// Parsed head of a request.
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

/// Response body of a request that ran.
#[derive(Debug, Serialize)]
struct Echo<'a> {
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
        let mut segments = path.splitn(3, '/');
        let (service, key) = (segments.next().unwrap_or(""), segments.next().unwrap_or(""));
        let key = percent_decode(key).ok_or("the key is not percent-encoded UTF-8")?;
        if service.is_empty() || key.is_empty() {
            return Err("the path names no service and key".into());
        }
        let scope = request.header("sequoiayoke-scope").unwrap_or("").to_owned();
        let hash = match request.header("sequoiayoke-key-hash") {
            Some(text) => key::Hash(u64::from_str_radix(text, 16).map_err(|_| "bad key hash")?),
            None => key::Hash::new(&scope, &key),
        };
        let deadline =
            parse_header(request, "sequoiayoke-deadline-ms")?.unwrap_or(DEFAULT_DEADLINE_MS);
        let deadline = Duration::from_millis(deadline.min(MAX_DEADLINE_MS));
        let lease_until = parse_header(request, "sequoiayoke-lease-until-us")?;
        Ok(Self {
            name: store::Name {
                service: service.to_owned(),
                scope,
                key,
            },
            method: request.method().clone(),
            hash,
            epoch: parse_header(request, "sequoiayoke-epoch")?.map(id::Epoch),
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

    /// Logs the start, from which tests read the executions of a process that was killed.
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

    /// Returns whether the request may start now.
    fn is_admitted(&self, view: &view::View, now: clock::Instant) -> bool {
        let (Some(epoch), Some(lease_until)) = (self.epoch, self.lease_until) else {
            return false;
        };
        now < lease_until && view.grants.admits(&self.name.service, self.hash, epoch)
    }
}

fn parse_header(request: &poem::Request, name: &str) -> Result<Option<u64>, String> {
    let Some(text) = request.header(name) else {
        return Ok(None);
    };
    let number = text.parse();
    number
        .map(Some)
        .map_err(|_| format!("{name} is not a number"))
}

/// Decodes a percent-encoded path segment.
fn percent_decode(text: &str) -> Option<String> {
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
    let mut remaining = MAX_DRAINED_BYTES;
    while let Some(Ok(chunk)) = body.next().await {
        remaining = remaining.saturating_sub(chunk.len());
        if remaining == 0 {
            break;
        }
    }
    let mut response = endpoint::error(StatusCode::CONFLICT, "refused", reason.as_str());
    let value = http::HeaderValue::from_static(reason.as_str());
    response.headers_mut().insert("sequoiayoke-refused", value);
    response
}

fn set_mangle(mut response: poem::Response, mangle: injector::Mangle) -> poem::Response {
    let value = http::HeaderValue::from_static(mangle.as_str());
    response.headers_mut().insert(listener::MANGLE, value);
    response
}

impl traffic::Traffic {
    /// Runs a request; dropping the future cancels the request.
    pub(super) async fn run_request(&self, path: &str, request: poem::Request) -> poem::Response {
        let head = match Head::parse(path, &request) {
            Ok(head) => head,
            Err(error) => return endpoint::error(StatusCode::BAD_REQUEST, "malformed", &error),
        };
        self.publisher.wait_while_frozen().await;
        if self.injector.take_reset_request() {
            let response = endpoint::error(StatusCode::INTERNAL_SERVER_ERROR, "reset", "");
            return set_mangle(response, injector::Mangle::Reset);
        }
        if let Some(reason) = self.refusal(&head) {
            return refuse(reason, request).await;
        }
        let Ok(_slot) = self.slots.acquire(head.deadline).await else {
            return refuse(fault::Refusal::Overload, request).await;
        };
        self.publisher.wait_while_frozen().await;
        let view = self.publisher.current();
        let is_fenced = self.settings.checks_fencing && !view.faults.ignore_fencing;
        let now = clock::Instant::now();
        if is_fenced && !head.is_admitted(&view, now) {
            return refuse(fault::Refusal::Fencing, request).await;
        }
        head.log_start(now);
        let execution = self.ledger.start(head.execution());
        let work = self.execute(&head, execution, request.into_body());
        match time::timeout_at(head.deadline, work).await {
            Ok(Ok(response)) => self.apply_response_faults(&head, response).await,
            Ok(Err(error)) => endpoint::error(StatusCode::BAD_REQUEST, "body", &error.to_string()),
            Err(_) => endpoint::error(StatusCode::GATEWAY_TIMEOUT, "deadline", "cancelled"),
        }
    }

    fn refusal(&self, head: &Head) -> Option<fault::Refusal> {
        let view = self.publisher.current();
        if view.faults.refusal.is_some() {
            return view.faults.refusal;
        }
        if view.draining {
            tracing::debug!(key = head.name.key, "refusing a request while draining");
            return Some(fault::Refusal::Draining);
        }
        None
    }

    /// Waits for the configured delay, reads the body and accesses the value of the key.
    async fn execute(
        &self,
        head: &Head,
        execution: u64,
        body: poem::Body,
    ) -> std::io::Result<poem::Response> {
        let view = self.publisher.current();
        let (service, hash) = (&head.name.service, head.hash);
        let revocation_epoch = view.grants.revocation_epoch(service, hash);
        let is_warm = view.grants.is_prepared(service, hash)
            || self.store.is_warm(&head.name, revocation_epoch);
        let cold_delay = match is_warm {
            true => Duration::ZERO,
            false => self.settings.cold_delay,
        };
        let delay = self.settings.delay + cold_delay;
        if !delay.is_zero() {
            time::sleep(delay).await;
        }
        let (body_bytes, digest) = read_digest(body).await?;
        // A process that was suspended after its checks continues without repeating them.
        self.publisher.wait_while_frozen().await;
        let id = head.request_id.as_deref();
        let value = match head.method {
            Method::POST | Method::PUT => self.store.write(&head.name, head.epoch, id, &digest),
            _ => self.store.read(&head.name, head.epoch),
        };
        self.ledger.complete(head.execution());
        let echo = Echo {
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
        Ok(endpoint::json(StatusCode::OK, &echo))
    }

    /// Applies the faults that affect the response.
    async fn apply_response_faults(&self, head: &Head, response: poem::Response) -> poem::Response {
        let delay = self.publisher.current().faults.delay;
        if !delay.is_zero() {
            time::sleep(delay).await;
        }
        if self.injector.take_late() {
            time::sleep_until(head.deadline + LATE_MARGIN).await;
        }
        self.publisher.wait_while_frozen().await;
        match self.injector.take_mangle() {
            Some(mangle) => set_mangle(response, mangle),
            None => response,
        }
    }
}

/// Reads a body and returns its length and the XXH3 digest of its bytes.
async fn read_digest(body: poem::Body) -> std::io::Result<(u64, String)> {
    let mut state = xxh3::Xxh3Default::new();
    let mut length = 0;
    let mut chunks = body.into_bytes_stream();
    while let Some(chunk) = chunks.next().await {
        let chunk = chunk?;
        length += chunk.len() as u64;
        state.update(&chunk);
    }
    Ok((length, format!("{:016x}", state.digest())))
}
