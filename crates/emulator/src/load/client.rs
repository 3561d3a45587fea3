//! Sends one request, and sends it again while its outcome is open.

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
use crate::load::judge;
use crate::load::payload;
use crate::load::plan;
use crate::load::tally;

/// Time beyond its deadline after which an answer counts as lost.
const GRACE: Duration = Duration::from_millis(500);

/// Time after which a connection attempt is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest answer that is read, in bytes.
const MAX_ANSWER: usize = 1 << 20;

/// Owners that are remembered.
const MAX_OWNERS: usize = 1 << 16;

/// Shortest pause before a resend; the longest is twice as long.
const RESEND_PAUSE: Duration = Duration::from_millis(50);

/// Sender of requests.
#[derive(Debug)]
pub(super) struct Client {
    http: reqwest::Client,
    plan: sync::Arc<plan::Plan>,
    // Bounds requests in flight by target, if the plan does.
    rooms: collections::HashMap<net::SocketAddr, tokio::sync::Semaphore>,
    owners: sync::Mutex<collections::HashMap<key::Hash, net::SocketAddr>>,
}

/// A request as it is sent, possibly more than once.
struct Call<'a> {
    arrival: &'a arrival::Arrival,
    caller: Option<&'a plan::Caller>,
    path: String,
    place: key::Hash,
    payload: payload::Payload,
    digest: String,
    id: Option<String>,
}

/// How an answer is lost if no connection was made.
const NOT_CONNECTED: &str = "connect";

#[derive(Debug, Deserialize)]
struct Issued {
    request_id: String,
}

/// Percent-encodes a key as one segment of a path.
fn encode(key: &str) -> String {
    let mut text = String::with_capacity(key.len());
    for byte in key.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            text.push(char::from(byte));
        } else {
            text.push_str(&format!("%{byte:02X}"));
        }
    }
    text
}

impl Client {
    pub(super) fn new(plan: sync::Arc<plan::Plan>) -> reqwest::Result<Self> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            // The tool alone decides what is sent again.
            .retry(reqwest::retry::never())
            .connect_timeout(CONNECT_TIMEOUT)
            .pool_max_idle_per_host(plan.connections.unwrap_or(plan.max_in_flight))
            .build()?;
        let rooms = plan
            .connections
            .map_or_else(Default::default, |connections| {
                let room = |target| (target, tokio::sync::Semaphore::new(connections));
                plan.targets.iter().copied().map(room).collect()
            });
        Ok(Self {
            http,
            plan,
            rooms,
            owners: sync::Mutex::default(),
        })
    }

    /// Sends the request that was due at `due` and returns what became of it.
    pub(super) async fn run(&self, arrival: &arrival::Arrival, due: Instant) -> tally::Sample {
        let lag = due.elapsed();
        let mut call = self.call(arrival);
        let mut sample = tally::Sample::new(arrival, lag);
        if arrival.kind != arrival::Kind::Read {
            let begin = Instant::now();
            call.id = self.issue_id(&call).await;
            sample.id_fetch = Some(begin.elapsed());
            sample.id.clone_from(&call.id);
            if call.id.is_none() {
                sample.record(judge::Verdict::NotRun(Cow::Borrowed("request-id")));
                sample.latency = due.elapsed();
                return sample;
            }
        }
        self.send(&call, &mut sample).await;
        sample.latency = due.elapsed();
        sample
    }

    /// Sends until the outcome is known or the resends are used up.
    ///
    /// Nothing was sent on a connection that could not be made, so such an attempt
    /// costs no resend as long as there are targets that were not tried for it.
    async fn send(&self, call: &Call<'_>, sample: &mut tally::Sample) {
        let (mut before, mut attempt, mut resends) = (None, 0, 0);
        let mut untried = self.plan.targets.len();
        loop {
            if attempt > 0 {
                let jitter =
                    call.arrival.salt.rotate_left(attempt) % RESEND_PAUSE.as_millis() as u64;
                tokio::time::sleep(RESEND_PAUSE + Duration::from_millis(jitter)).await;
            }
            let target = self.target(call, attempt, before);
            before = Some(target);
            let judgement = self.attempt(call, target).await;
            // An earlier attempt may still run; its answer can be fetched later.
            let runs = judgement.verdict == judge::Verdict::NotRun("duplicate-running".into());
            let again = judgement.verdict.is_open() || (attempt > 0 && runs);
            if judgement.verdict == judge::Verdict::Lost(NOT_CONNECTED) && untried > 0 {
                untried -= 1;
            } else {
                resends += 1;
            }
            sample.replayed |= judgement.replayed;
            sample.wrong.extend(judgement.wrong);
            sample.record(judgement.verdict);
            if !again || resends > self.plan.resends {
                return;
            }
            attempt += 1;
        }
    }

    fn call<'a>(&'a self, arrival: &'a arrival::Arrival) -> Call<'a> {
        let callers = &self.plan.callers;
        let scoped = callers
            .iter()
            .find(|caller| arrival.scope.is_some() && caller.scope == arrival.scope);
        let any = match callers.len() {
            0 => None,
            count => callers.get((arrival.salt >> 32) as usize % count),
        };
        let payload = payload::Payload {
            salt: arrival.salt,
            length: arrival.body_bytes,
        };
        Call {
            arrival,
            caller: scoped.or(any),
            path: format!("{}/{}", encode(&arrival.service), encode(&arrival.key)),
            place: key::Hash::new(&arrival.service, &arrival.key),
            payload,
            digest: payload.digest(),
            id: None,
        }
    }

    /// Chooses the target of an attempt; a resend goes to another one than `before`.
    fn target(
        &self,
        call: &Call<'_>,
        attempt: u32,
        before: Option<net::SocketAddr>,
    ) -> net::SocketAddr {
        let targets = &self.plan.targets;
        if self.plan.mode == plan::Mode::Straight {
            return targets[(call.place.0 % targets.len() as u64) as usize];
        }
        if self.plan.follow_owner && attempt == 0 {
            let owners = self.lock_owners();
            if let Some(owner) = owners.get(&call.place) {
                return *owner;
            }
        }
        let count = targets.len() as u64;
        let number = call.arrival.salt % count + u64::from(attempt);
        let target = targets[(number % count) as usize];
        match before == Some(target) {
            true => targets[((number + 1) % count) as usize],
            false => target,
        }
    }

    /// Gets a request id from a node; straight to a stand-in, the tool makes it.
    async fn issue_id(&self, call: &Call<'_>) -> Option<String> {
        if self.plan.mode == plan::Mode::Straight {
            let now_ms = clock::Instant::now().as_micros() / 1_000;
            let id = request::Id::new(id::Epoch(0), now_ms, rand::random());
            return Some(id.to_string());
        }
        let mut before = None;
        for attempt in 0..=self.plan.resends {
            let target = self.target(call, attempt, before);
            before = Some(target);
            let url = format!("http://{target}/v1/request-ids/{}", call.path);
            let request = self.headers(self.http.post(url), call);
            let Ok(answer) = request.send().await else {
                continue;
            };
            if !answer.status().is_success() {
                continue;
            }
            if let Ok(issued) = answer.json::<Issued>().await {
                return Some(issued.request_id);
            }
        }
        None
    }

    fn headers(
        &self,
        request: reqwest::RequestBuilder,
        call: &Call<'_>,
    ) -> reqwest::RequestBuilder {
        let deadline = self.plan.deadline;
        let mut request = request
            .timeout(deadline + GRACE)
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

    fn request(&self, call: &Call<'_>, target: net::SocketAddr) -> reqwest::RequestBuilder {
        let url = format!("http://{target}/s/{}", call.path);
        let request = self.http.request(call.arrival.method.clone(), url);
        let request = self.headers(request, call);
        if call.payload.is_large() {
            // With the length stated, the server sees an upload that was cut.
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

    async fn attempt(&self, call: &Call<'_>, target: net::SocketAddr) -> judge::Judgement {
        let fail = |verdict| judge::Judgement {
            verdict,
            wrong: None,
            replayed: false,
        };
        let turn = async {
            match self.rooms.get(&target) {
                Some(room) => room.acquire().await.ok(),
                None => None,
            }
        };
        let Ok(_turn) = tokio::time::timeout(self.plan.deadline, turn).await else {
            return fail(judge::Verdict::NotRun(Cow::Borrowed("tool-connections")));
        };
        match self.exchange(call, target).await {
            Ok(judgement) => judgement,
            Err(error) => fail(judge::Verdict::Lost(name_loss(&error))),
        }
    }

    async fn exchange(
        &self,
        call: &Call<'_>,
        target: net::SocketAddr,
    ) -> reqwest::Result<judge::Judgement> {
        let mut answer = self.request(call, target).send().await?;
        let mut body = Vec::new();
        while let Some(part) = answer.chunk().await? {
            if body.len() + part.len() > MAX_ANSWER {
                break;
            }
            body.extend_from_slice(&part);
        }
        self.learn_owner(call, answer.headers());
        let scope = match self.plan.mode {
            plan::Mode::Nodes => call.caller.and_then(|caller| caller.scope.as_deref()),
            plan::Mode::Straight => call.arrival.scope.as_deref(),
        };
        let method = &call.arrival.method;
        let expected = judge::Expected {
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
        let answer = judge::Answer {
            status: answer.status().as_u16(),
            headers: answer.headers(),
            body: &body,
        };
        Ok(judge::judge(&expected, &answer))
    }

    fn learn_owner(&self, call: &Call<'_>, headers: &http::HeaderMap) {
        if !self.plan.follow_owner {
            return;
        }
        let owner = headers.get("sequoiayoke-owner");
        let owner = owner.and_then(|value| value.to_str().ok()?.parse().ok());
        let mut owners = self.lock_owners();
        match owner {
            Some(owner) if owners.len() < MAX_OWNERS || owners.contains_key(&call.place) => {
                owners.insert(call.place, owner);
            }
            Some(_) => {}
            None => {
                owners.remove(&call.place);
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

/// Names how an answer was lost.
fn name_loss(error: &reqwest::Error) -> &'static str {
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
