//! Client of the operators' HTTP interface.
//!
//! Every request can be retried: reads change nothing, and a ticket is accepted at
//! most once. The client follows redirects to the leader, waits for the end of an
//! election and retries a request whose response was lost, all within a time limit.

use std::collections::VecDeque;
use std::error::Error as _;
use std::time;

use error_stack::Report;
use sequoiayoke_api::error;

use crate::{address, exit, failure};

/// Maximum number of redirects to a leader that one round over the replicas follows.
const MAX_REDIRECTS: u32 = 4;

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// First and longest delay between two rounds over the replicas; the delay doubles each time.
const RETRY_DELAY: (time::Duration, time::Duration) = (
    time::Duration::from_millis(100),
    time::Duration::from_millis(800),
);

/// Receiver of notices to the operator while a command runs.
pub trait Notice {
    /// Shows `text` to the operator.
    fn notice(&mut self, text: &str);
}

/// A request to the control plane.
#[derive(Clone, Debug)]
pub struct Request {
    path: String,
    body: Option<Vec<u8>>,
    is_change: bool,
}

/// Client of the operators' HTTP interface.
#[derive(Debug)]
pub struct Client<'a, N> {
    http: reqwest::Client,
    addresses: &'a [address::Address],
    timeout: time::Duration,
    max_wait: time::Duration,
    notices: &'a mut N,
}

/// Outcome of one attempt.
enum Attempt {
    Response(u16, Vec<u8>),
    /// The request was not sent.
    NotSent(String),
    /// The request may have been carried out.
    Unknown(String),
}

/// State of a request after some attempts.
#[derive(Default)]
struct Progress {
    outcome_unknown: bool,
    no_leader: bool,
    reasons: Vec<String>,
}

impl Request {
    /// Creates a request that reads `path`.
    pub fn get<P>(path: P) -> Self
    where
        P: Into<String>,
    {
        Self {
            path: path.into(),
            body: None,
            is_change: false,
        }
    }

    /// Creates a request that sends `body` to `path` and changes nothing.
    pub fn query<P>(path: P, body: Vec<u8>) -> Self
    where
        P: Into<String>,
    {
        Self {
            body: Some(body),
            ..Self::get(path)
        }
    }

    /// Creates a request that submits the ticket `body` to `path`.
    pub fn submit<P>(path: P, body: Vec<u8>) -> Self
    where
        P: Into<String>,
    {
        Self {
            is_change: true,
            ..Self::query(path, body)
        }
    }
}

impl<'a, N> Client<'a, N>
where
    N: Notice,
{
    /// Creates a client of the replicas at `addresses`.
    ///
    /// `timeout` limits one attempt, `max_wait` all attempts together.
    ///
    /// # Errors
    ///
    /// Fails if there is no address, or if the client cannot be set up.
    pub fn new(
        addresses: &'a [address::Address],
        timeout: time::Duration,
        max_wait: time::Duration,
        notices: &'a mut N,
    ) -> Result<Self, Report<failure::Failure>> {
        if addresses.is_empty() {
            let missing = failure::Failure::new(exit::Code::Usage, "no control replica is given");
            return Err(Report::new(missing.with_advice(
                "use `--control HOST:PORT,HOST:PORT` or set SEQUOIAYOKE_CONTROL to the operators' addresses",
            )));
        }
        // A proxy from the environment would read the tickets and may not reach a private network.
        let http = reqwest::Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .connect_timeout(CONNECT_TIMEOUT.min(timeout))
            .build()
            .map_err(|error| {
                let message = format!("failed to create the HTTP client: {}", cause(&error));
                Report::new(failure::Failure::new(exit::Code::Unreachable, message))
            })?;
        Ok(Self {
            http,
            addresses,
            timeout,
            max_wait,
            notices,
        })
    }

    /// Sends `request` and retries it until a replica responds or the time limit is reached.
    ///
    /// # Errors
    ///
    /// Fails if the control plane refuses, if no replica responds, or if the
    /// outcome is unknown; the exit code of the failure distinguishes them.
    pub async fn call<T>(&mut self, request: &Request) -> Result<T, Report<failure::Failure>>
    where
        T: serde::de::DeserializeOwned,
    {
        let end = tokio::time::Instant::now() + self.max_wait;
        let mut progress = Progress::default();
        let mut delay = RETRY_DELAY.0;
        loop {
            if let Some((status, body)) = self.try_replicas(request, end, &mut progress).await {
                return interpret_response(request, status, &body, &progress);
            }
            let now = tokio::time::Instant::now();
            let is_retryable = progress.outcome_unknown || progress.no_leader;
            if !is_retryable || now + delay >= end {
                return Err(Report::new(no_response_failure(request, &progress)));
            }
            tokio::time::sleep(delay).await;
            delay = (delay * 2).min(RETRY_DELAY.1);
        }
    }

    /// Tries each replica once, and the leaders that they redirect to.
    async fn try_replicas(
        &mut self,
        request: &Request,
        end: tokio::time::Instant,
        progress: &mut Progress,
    ) -> Option<(u16, Vec<u8>)> {
        progress.reasons.clear();
        let mut redirects = 0;
        let mut targets: VecDeque<_> = self.addresses.iter().cloned().collect();
        while let Some(target) = targets.pop_front() {
            let left = end.saturating_duration_since(tokio::time::Instant::now());
            if left.is_zero() {
                progress
                    .reasons
                    .push(format!("{target}: not tried, the time limit was reached"));
                continue;
            }
            match self
                .try_once(&target, request, left.min(self.timeout))
                .await
            {
                Attempt::Response(421, body) => {
                    progress.no_leader = true;
                    let leader = leader_address(&body).filter(|_| redirects < MAX_REDIRECTS);
                    redirects += 1;
                    match leader {
                        Some(leader) => targets.push_front(leader),
                        None => progress.reasons.push(format!("{target}: no known leader")),
                    }
                }
                Attempt::Response(_, body) if is_truncated(&body) => {
                    self.record_unknown(&target, request, "response truncated", progress);
                }
                Attempt::Response(status, body) if status < 500 => return Some((status, body)),
                Attempt::Response(status, body) => {
                    self.record_unknown(&target, request, &detail(status, &body), progress);
                }
                Attempt::Unknown(why) => self.record_unknown(&target, request, &why, progress),
                Attempt::NotSent(why) => progress.reasons.push(format!("{target}: {why}")),
            }
        }
        None
    }

    fn record_unknown(
        &mut self,
        target: &address::Address,
        request: &Request,
        why: &str,
        progress: &mut Progress,
    ) {
        progress.reasons.push(format!("{target}: {why}"));
        if request.is_change && !progress.outcome_unknown {
            self.notices.notice(&format!(
                "no valid response from {target} ({why}); retrying the same ticket, \
                 which is safe: it is accepted at most once"
            ));
        }
        progress.outcome_unknown = true;
    }

    async fn try_once(
        &self,
        target: &address::Address,
        request: &Request,
        timeout: time::Duration,
    ) -> Attempt {
        let url = format!("http://{target}{}", request.path);
        let builder = match &request.body {
            None => self.http.get(url),
            Some(body) => self
                .http
                .post(url)
                .header("content-type", "application/json")
                .body(body.clone()),
        };
        let mut response = match builder.timeout(timeout).send().await {
            Ok(response) => response,
            Err(error) if error.is_connect() || error.is_builder() => {
                return Attempt::NotSent(cause(&error));
            }
            Err(error) => return Attempt::Unknown(cause(&error)),
        };
        let mut body = Vec::new();
        loop {
            match response.chunk().await {
                Ok(Some(chunk)) if body.len() + chunk.len() <= MAX_RESPONSE_BYTES => {
                    body.extend_from_slice(&chunk);
                }
                Ok(Some(_)) => return Attempt::Unknown("response too large".to_owned()),
                Ok(None) => return Attempt::Response(response.status().as_u16(), body),
                Err(error) => return Attempt::Unknown(cause(&error)),
            }
        }
    }
}

/// Converts a response into a value or a failure.
fn interpret_response<T>(
    request: &Request,
    status: u16,
    body: &[u8],
    progress: &Progress,
) -> Result<T, Report<failure::Failure>>
where
    T: serde::de::DeserializeOwned,
{
    if status == 200 {
        return serde_json::from_slice(body).map_err(|error| {
            let code = match request.is_change {
                true => exit::Code::Unknown,
                false => exit::Code::Unreachable,
            };
            let message = format!("cannot parse the response: {error}");
            Report::new(failure::Failure::new(code, message).with_advice(
                "check that `--control` names the operators' addresses of this release's control replicas",
            ))
        });
    }
    let refusal = match serde_json::from_slice(body) {
        Ok(refusal) => refusal,
        Err(_) if status == 404 => error::Error::NotFound {
            detail: request.path.clone(),
        },
        Err(_) => {
            let message = format!("unexpected response: {}", detail(status, body));
            return Err(Report::new(
                failure::Failure::new(exit::Code::Unreachable, message)
                    .with_advice("check that `--control` names control replicas"),
            ));
        }
    };
    // An earlier attempt to submit the ticket whose response was lost can still be accepted once
    // the preceding numbers are used, unless the number of the ticket itself is already used.
    let is_unknown =
        matches!(refusal, error::Error::NumberOutOfOrder { .. }) && progress.outcome_unknown;
    let code = match is_unknown {
        true => exit::Code::Unknown,
        false => exit::Code::Refused,
    };
    Err(Report::new(
        failure::Failure::new(code, refusal.to_string()).with_refusal(refusal),
    ))
}

fn no_response_failure(request: &Request, progress: &Progress) -> failure::Failure {
    let reasons: String = progress
        .reasons
        .iter()
        .map(|reason| format!("\n  {reason}"))
        .collect();
    if request.is_change && progress.outcome_unknown {
        let message = format!("the ticket may or may not have been accepted{reasons}");
        return failure::Failure::new(exit::Code::Unknown, message).with_advice(
            "run the same command again: the ticket is accepted at most once, and the response shows whether it was accepted",
        );
    }
    let (message, advice) = match progress.no_leader {
        true => (
            "the control plane has no leader",
            "an election takes less than a second; if this lasts, a majority of the replicas is down or unreachable",
        ),
        false => (
            "no control replica responded",
            "check `--control` or SEQUOIAYOKE_CONTROL, and that the control replicas run",
        ),
    };
    let not_accepted = if request.is_change {
        "; the ticket was not accepted"
    } else {
        ""
    };
    failure::Failure::new(
        exit::Code::Unreachable,
        format!("{message}{not_accepted}{reasons}"),
    )
    .with_advice(advice)
}

/// Returns whether `body` is an incomplete JSON document.
///
/// If a server ends a chunked body early because of a fault, the body looks complete to HTTP.
fn is_truncated(body: &[u8]) -> bool {
    let parsed = serde_json::from_slice::<serde::de::IgnoredAny>(body);
    !body.is_empty() && parsed.is_err_and(|error| error.is_eof())
}

fn leader_address(body: &[u8]) -> Option<address::Address> {
    match serde_json::from_slice(body).ok()? {
        error::Error::NotLeader { leader } => leader?.parse().ok(),
        _ => None,
    }
}

fn detail(status: u16, body: &[u8]) -> String {
    match serde_json::from_slice::<error::Error>(body) {
        Ok(error) => error.to_string(),
        Err(_) => format!("status {status}"),
    }
}

/// Returns the text of the innermost cause, which is the one that an operator can act on.
fn cause(error: &reqwest::Error) -> String {
    if error.is_timeout() {
        return "timed out waiting for a response".to_owned();
    }
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(inner) = source {
        text = inner.to_string();
        source = inner.source();
    }
    text
}
