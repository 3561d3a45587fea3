//! Sends one request, with retries while its outcome is unknown.

use std::borrow::Cow;
use std::collections;
use std::net;
use std::sync;
use std::time::Duration;
use std::time::Instant;

use http::Method;
use serde::Deserialize;

use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_model::request;

use crate::load::arrival;
use crate::load::payload;
use crate::load::plan;
use crate::load::response;
use crate::load::tally;

/// Time after the deadline of a request at which its response counts as lost.
const RESPONSE_GRACE: Duration = Duration::from_millis(500);

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest response body that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Number of keys whose owner is cached.
const MAX_CACHED_OWNERS: usize = 1 << 16;

/// Shortest delay before a retry; the longest is twice as long.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Sender of requests.
#[derive(Debug)]
pub(super) struct Client {
    http: reqwest::Client,
    plan: sync::Arc<plan::Plan>,
    // Limits the requests in flight to each target, if the plan sets a limit.
    target_permits: collections::HashMap<net::SocketAddr, tokio::sync::Semaphore>,
    owners: sync::Mutex<collections::HashMap<key::Hash, net::SocketAddr>>,
}

/// A request with everything that its attempts have in common.
struct Call<'a> {
    arrival: &'a arrival::Arrival,
    caller: Option<&'a plan::Caller>,
    path: String,
    key_hash: key::Hash,
    payload: payload::Payload,
    digest: String,
    id: Option<String>,
}

/// Reason of a lost response if the connection could not be established.
const NOT_CONNECTED: &str = "connect";

#[derive(Debug, Deserialize)]
struct Issued {
    request_id: String,
}

/// Percent-encodes a key as one segment of a path.
fn percent_encode(key: &str) -> String {
    let mut encoded = String::with_capacity(key.len());
    for byte in key.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            encoded.push_str(&format!("%{byte:02X}"));
        }
    }
    encoded
}

impl Client {
    pub(super) fn new(plan: sync::Arc<plan::Plan>) -> reqwest::Result<Self> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            // Retries are counted and reported by the tool, so the HTTP client must not retry.
            .retry(reqwest::retry::never())
            .connect_timeout(CONNECT_TIMEOUT)
            .pool_max_idle_per_host(plan.connections.unwrap_or(plan.max_in_flight))
            .build()?;
        let target_permits = plan
            .connections
            .map_or_else(Default::default, |connections| {
                let permits = |target| (target, tokio::sync::Semaphore::new(connections));
                plan.targets.iter().copied().map(permits).collect()
            });
        Ok(Self {
            http,
            plan,
            target_permits,
            owners: sync::Mutex::default(),
        })
    }

    /// Sends the request that was due at `due` and returns its result.
    pub(super) async fn run(&self, arrival: &arrival::Arrival, due: Instant) -> tally::Sample {
        let lag = due.elapsed();
        let mut call = self.prepare_call(arrival);
        let mut sample = tally::Sample::new(arrival, lag);
        if arrival.kind != arrival::Kind::Read {
            let start = Instant::now();
            call.id = self.fetch_id(&call).await;
            sample.id_fetch = Some(start.elapsed());
            sample.id.clone_from(&call.id);
            if call.id.is_none() {
                sample.record(response::Outcome::NotRun(Cow::Borrowed("request-id")));
                sample.latency = due.elapsed();
                return sample;
            }
        }
        self.send(&call, &mut sample).await;
        sample.latency = due.elapsed();
        sample
    }

    /// Sends until the outcome is known or the retries are used up.
    ///
    /// Nothing was sent if the connection could not be established, so such an attempt
    /// does not count as a retry as long as there are untried targets.
    async fn send(&self, call: &Call<'_>, sample: &mut tally::Sample) {
        let (mut previous, mut attempt, mut retries) = (None, 0, 0);
        let mut untried = self.plan.targets.len();
        loop {
            if attempt > 0 {
                let jitter =
                    call.arrival.salt.rotate_left(attempt) % MIN_RETRY_DELAY.as_millis() as u64;
                tokio::time::sleep(MIN_RETRY_DELAY + Duration::from_millis(jitter)).await;
            }
            let target = self.select_target(call, attempt, previous);
            previous = Some(target);
            let evaluation = self.attempt(call, target).await;
            // An earlier attempt may still run; a later retry can fetch its response.
            let is_running =
                evaluation.outcome == response::Outcome::NotRun("duplicate-running".into());
            let should_retry = evaluation.outcome.is_retryable() || (attempt > 0 && is_running);
            if evaluation.outcome == response::Outcome::Lost(NOT_CONNECTED) && untried > 0 {
                untried -= 1;
            } else {
                retries += 1;
            }
            sample.replayed |= evaluation.replayed;
            sample.violations.extend(evaluation.violation);
            sample.record(evaluation.outcome);
            if !should_retry || retries > self.plan.max_retries {
                return;
            }
            attempt += 1;
        }
    }

    fn prepare_call<'a>(&'a self, arrival: &'a arrival::Arrival) -> Call<'a> {
        let callers = &self.plan.callers;
        let scoped = callers
            .iter()
            .find(|caller| arrival.scope.is_some() && caller.scope == arrival.scope);
        let fallback = match callers.len() {
            0 => None,
            count => callers.get((arrival.salt >> 32) as usize % count),
        };
        let payload = payload::Payload {
            salt: arrival.salt,
            length: arrival.body_bytes,
        };
        Call {
            arrival,
            caller: scoped.or(fallback),
            path: format!(
                "{}/{}",
                percent_encode(&arrival.service),
                percent_encode(&arrival.key)
            ),
            key_hash: key::Hash::new(&arrival.service, &arrival.key),
            payload,
            digest: payload.digest(),
            id: None,
        }
    }

    /// Chooses the target of an attempt; a retry uses another target than `previous`.
    fn select_target(
        &self,
        call: &Call<'_>,
        attempt: u32,
        previous: Option<net::SocketAddr>,
    ) -> net::SocketAddr {
        let targets = &self.plan.targets;
        if self.plan.mode == plan::Mode::Straight {
            return targets[(call.key_hash.0 % targets.len() as u64) as usize];
        }
        if self.plan.follow_owner && attempt == 0 {
            let owners = self.lock_owners();
            if let Some(owner) = owners.get(&call.key_hash) {
                return *owner;
            }
        }
        let count = targets.len() as u64;
        let number = call.arrival.salt % count + u64::from(attempt);
        let target = targets[(number % count) as usize];
        match previous == Some(target) {
            true => targets[((number + 1) % count) as usize],
            false => target,
        }
    }

    /// Fetches a request id from a node; the tool generates it if it sends to stand-ins directly.
    async fn fetch_id(&self, call: &Call<'_>) -> Option<String> {
        if self.plan.mode == plan::Mode::Straight {
            let now_ms = clock::Instant::now().as_micros() / 1_000;
            let id = request::Id::new(id::Epoch(0), now_ms, rand::random());
            return Some(id.to_string());
        }
        let mut previous = None;
        for attempt in 0..=self.plan.max_retries {
            let target = self.select_target(call, attempt, previous);
            previous = Some(target);
            let url = format!("http://{target}/v1/request-ids/{}", call.path);
            let request = self.add_headers(self.http.post(url), call);
            let Ok(response) = request.send().await else {
                continue;
            };
            if !response.status().is_success() {
                continue;
            }
            if let Ok(issued) = response.json::<Issued>().await {
                return Some(issued.request_id);
            }
        }
        None
    }

    fn add_headers(
        &self,
        request: reqwest::RequestBuilder,
        call: &Call<'_>,
    ) -> reqwest::RequestBuilder {
        let deadline = self.plan.deadline;
        let mut request = request
            .timeout(deadline + RESPONSE_GRACE)
            .header("sequoiayoke-deadline-ms", deadline.as_millis().to_string());
        if let Some(caller) = call.caller {
            request = request.bearer_auth(&caller.token);
        }
        if self.plan.mode == plan::Mode::Straight
            && let Some(scope) = &call.arrival.scope
        {
            request = request.header("sequoiayoke-scope", scope);
        }
        if let Some(id) = &call.id {
            request = request.header("sequoiayoke-request-id", id);
        }
        request
    }

    fn build_request(&self, call: &Call<'_>, target: net::SocketAddr) -> reqwest::RequestBuilder {
        let url = format!("http://{target}/s/{}", call.path);
        let request = self.http.request(call.arrival.method.clone(), url);
        let request = self.add_headers(request, call);
        if call.payload.is_streamed() {
            // Content-Length lets the server detect a truncated upload.
            request
                .header(http::header::CONTENT_LENGTH, call.payload.length)
                .body(reqwest::Body::wrap_stream(
                    call.payload.stream(self.plan.upload_pause),
                ))
        } else if call.payload.length > 0 {
            request.body(call.payload.bytes())
        } else {
            request
        }
    }

    async fn attempt(&self, call: &Call<'_>, target: net::SocketAddr) -> response::Evaluation {
        let fail = |outcome| response::Evaluation {
            outcome,
            violation: None,
            replayed: false,
        };
        let permit = async {
            match self.target_permits.get(&target) {
                Some(permits) => permits.acquire().await.ok(),
                None => None,
            }
        };
        let Ok(_permit) = tokio::time::timeout(self.plan.deadline, permit).await else {
            return fail(response::Outcome::NotRun(Cow::Borrowed("tool-connections")));
        };
        match self.exchange(call, target).await {
            Ok(evaluation) => evaluation,
            Err(error) => fail(response::Outcome::Lost(loss_reason(&error))),
        }
    }

    async fn exchange(
        &self,
        call: &Call<'_>,
        target: net::SocketAddr,
    ) -> reqwest::Result<response::Evaluation> {
        let mut response = self.build_request(call, target).send().await?;
        let mut body = Vec::new();
        while let Some(chunk) = response.chunk().await? {
            if body.len() + chunk.len() > MAX_RESPONSE_BYTES {
                break;
            }
            body.extend_from_slice(&chunk);
        }
        self.update_owner(call, response.headers());
        let scope = match self.plan.mode {
            plan::Mode::Nodes => call.caller.and_then(|caller| caller.scope.as_deref()),
            plan::Mode::Straight => call.arrival.scope.as_deref(),
        };
        let method = &call.arrival.method;
        let expected = response::Expected {
            mode: self.plan.mode,
            service: &call.arrival.service,
            key: &call.arrival.key,
            scope,
            id: call.id.as_deref(),
            body_bytes: call.payload.length,
            digest: &call.digest,
            writes: matches!(*method, Method::POST | Method::PUT),
            has_body: *method != Method::HEAD,
        };
        let response = response::Response {
            status: response.status().as_u16(),
            headers: response.headers(),
            body: &body,
        };
        Ok(response::evaluate(&expected, &response))
    }

    fn update_owner(&self, call: &Call<'_>, headers: &http::HeaderMap) {
        if !self.plan.follow_owner {
            return;
        }
        let owner = headers.get("sequoiayoke-owner");
        let owner = owner.and_then(|value| value.to_str().ok()?.parse().ok());
        let mut owners = self.lock_owners();
        match owner {
            Some(owner)
                if owners.len() < MAX_CACHED_OWNERS || owners.contains_key(&call.key_hash) =>
            {
                owners.insert(call.key_hash, owner);
            }
            Some(_) => {}
            None => {
                owners.remove(&call.key_hash);
            }
        }
    }

    fn lock_owners(
        &self,
    ) -> sync::MutexGuard<'_, collections::HashMap<key::Hash, net::SocketAddr>> {
        self.owners
            .lock()
            .expect("no thread panics while it holds the owners")
    }
}

/// Returns the reason that is reported for a lost response.
fn loss_reason(error: &reqwest::Error) -> &'static str {
    if error.is_timeout() {
        "timeout"
    } else if error.is_connect() {
        NOT_CONNECTED
    } else if error.is_body() || error.is_decode() {
        "body"
    } else {
        "connection"
    }
}
