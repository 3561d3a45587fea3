//! Client of the operators' HTTP interface.
//!
//! Every request may be sent more than once: reads change nothing, and a
//! ticket is accepted at most once. The client follows the leader, waits out an
//! election and sends a request again if its answer was lost, all within a bound.

use std::collections::VecDeque;
use std::error::Error as _;
use std::time;

use error_stack::Report;
use sequoiayoke_api::error;

use crate::{address, exit, failure};

/// Most times that one round over the replicas follows an answer to another leader.
const MAX_HOPS: u32 = 4;

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Time for opening a connection.
const CONNECT: time::Duration = time::Duration::from_secs(1);

/// First and longest pause between two rounds over the replicas; it doubles between them.
const PAUSE: (time::Duration, time::Duration) = (
    time::Duration::from_millis(100),
    time::Duration::from_millis(800),
);

/// Takes notices while a command runs.
pub trait Notice {
    /// Shows `text` to the operator.
    fn notice(&mut self, text: &str);
}

/// A request to the control plane.
#[derive(Clone, Debug)]
pub struct Request {
    path: String,
    body: Option<Vec<u8>>,
    changes: bool,
}

/// Client of the operators' HTTP interface.
#[derive(Debug)]
pub struct Client<'a, N> {
    http: reqwest::Client,
    addresses: &'a [address::Address],
    timeout: time::Duration,
    wait: time::Duration,
    notices: &'a mut N,
}

/// What became of one attempt.
enum Attempt {
    Answered(u16, Vec<u8>),
    /// The request was not sent.
    Unsent(String),
    /// The request may have been carried out.
    Lost(String),
}

/// What is known after some attempts.
#[derive(Default)]
struct Progress {
    lost: bool,
    leaderless: bool,
    reasons: Vec<String>,
}

impl Request {
    /// Makes a request that reads `path`.
    pub fn get<P>(path: P) -> Self
    where
        P: Into<String>,
    {
        Self {
            path: path.into(),
            body: None,
            changes: false,
        }
    }

    /// Makes a request that sends `body` to `path` and changes nothing.
    pub fn ask<P>(path: P, body: Vec<u8>) -> Self
    where
        P: Into<String>,
    {
        Self {
            body: Some(body),
            ..Self::get(path)
        }
    }

    /// Makes a request that sends the ticket `body` to `path`.
    pub fn submit<P>(path: P, body: Vec<u8>) -> Self
    where
        P: Into<String>,
    {
        Self {
            changes: true,
            ..Self::ask(path, body)
        }
    }
}

impl<'a, N> Client<'a, N>
where
    N: Notice,
{
    /// Makes a client of the replicas at `addresses`.
    ///
    /// `timeout` bounds the wait for one answer, `wait` that for all attempts.
    ///
    /// # Errors
    ///
    /// Fails if there is no address, or if the client cannot be set up.
    pub fn new(
        addresses: &'a [address::Address],
        timeout: time::Duration,
        wait: time::Duration,
        notices: &'a mut N,
    ) -> Result<Self, Report<failure::Failure>> {
        if addresses.is_empty() {
            let missing = failure::Failure::new(exit::Code::Usage, "no control replica is given");
            return Err(Report::new(missing.with_advice(
                "use `--control HOST:PORT,HOST:PORT` or set SEQUOIAYOKE_CONTROL to the operators' addresses",
            )));
        }
        // A proxy in the environment would see tickets, and could not reach a private network.
        let http = reqwest::Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .connect_timeout(CONNECT.min(timeout))
            .build()
            .map_err(|error| {
                let what = format!("cannot set up the client: {}", cause(&error));
                Report::new(failure::Failure::new(exit::Code::Unreachable, what))
            })?;
        Ok(Self {
            http,
            addresses,
            timeout,
            wait,
            notices,
        })
    }

    /// Sends `request` until it is answered, within the bounds.
    ///
    /// # Errors
    ///
    /// Fails if the control plane refuses, if no replica answers, or if the
    /// outcome is unknown; the exit code of the failure tells which.
    pub async fn call<T>(&mut self, request: &Request) -> Result<T, Report<failure::Failure>>
    where
        T: serde::de::DeserializeOwned,
    {
        let end = tokio::time::Instant::now() + self.wait;
        let mut progress = Progress::default();
        let mut pause = PAUSE.0;
        loop {
            if let Some((status, body)) = self.round(request, end, &mut progress).await {
                return conclude(request, status, &body, &progress);
            }
            let now = tokio::time::Instant::now();
            let hopeful = progress.lost || progress.leaderless;
            if !hopeful || now + pause >= end {
                return Err(Report::new(give_up(request, &progress)));
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(PAUSE.1);
        }
    }

    /// Tries each replica once, and those that they name as leader.
    async fn round(
        &mut self,
        request: &Request,
        end: tokio::time::Instant,
        progress: &mut Progress,
    ) -> Option<(u16, Vec<u8>)> {
        progress.reasons.clear();
        let mut hops = 0;
        let mut targets: VecDeque<_> = self.addresses.iter().cloned().collect();
        while let Some(target) = targets.pop_front() {
            let left = end.saturating_duration_since(tokio::time::Instant::now());
            if left.is_zero() {
                progress
                    .reasons
                    .push(format!("{target}: not tried, the time is over"));
                continue;
            }
            match self.attempt(&target, request, left.min(self.timeout)).await {
                Attempt::Answered(421, body) => {
                    progress.leaderless = true;
                    let leader = leader(&body).filter(|_| hops < MAX_HOPS);
                    hops += 1;
                    match leader {
                        Some(leader) => targets.push_front(leader),
                        None => progress.reasons.push(format!("{target}: knows no leader")),
                    }
                }
                Attempt::Answered(_, body) if truncated(&body) => {
                    self.lost(&target, request, "the answer breaks off", progress);
                }
                Attempt::Answered(status, body) if status < 500 => return Some((status, body)),
                Attempt::Answered(status, body) => {
                    self.lost(&target, request, &detail(status, &body), progress);
                }
                Attempt::Lost(why) => self.lost(&target, request, &why, progress),
                Attempt::Unsent(why) => progress.reasons.push(format!("{target}: {why}")),
            }
        }
        None
    }

    fn lost(
        &mut self,
        target: &address::Address,
        request: &Request,
        why: &str,
        progress: &mut Progress,
    ) {
        progress.reasons.push(format!("{target}: {why}"));
        if request.changes && !progress.lost {
            self.notices.notice(&format!(
                "the answer of {target} was lost ({why}); sending the same ticket again, \
                 which is safe: it is accepted at most once"
            ));
        }
        progress.lost = true;
    }

    async fn attempt(
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
                return Attempt::Unsent(cause(&error));
            }
            Err(error) => return Attempt::Lost(cause(&error)),
        };
        let mut body = Vec::new();
        loop {
            match response.chunk().await {
                Ok(Some(chunk)) if body.len() + chunk.len() <= MAX_ANSWER_BYTES => {
                    body.extend_from_slice(&chunk);
                }
                Ok(Some(_)) => return Attempt::Lost("the answer is too large".to_owned()),
                Ok(None) => return Attempt::Answered(response.status().as_u16(), body),
                Err(error) => return Attempt::Lost(cause(&error)),
            }
        }
    }
}

/// Turns an answer into a value or a failure.
fn conclude<T>(
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
            let code = match request.changes {
                true => exit::Code::Unknown,
                false => exit::Code::Unreachable,
            };
            let what = format!("the answer is not understood: {error}");
            Report::new(failure::Failure::new(code, what).with_advice(
                "check that `--control` names the operators' addresses of this release's control replicas",
            ))
        });
    }
    let answer = match serde_json::from_slice(body) {
        Ok(answer) => answer,
        Err(_) if status == 404 => error::Error::NotFound {
            detail: request.path.clone(),
        },
        Err(_) => {
            let what = format!("unexpected answer: {}", detail(status, body));
            return Err(Report::new(
                failure::Failure::new(exit::Code::Unreachable, what)
                    .with_advice("check that `--control` names control replicas"),
            ));
        }
    };
    // An earlier copy of a ticket whose answer was lost could still arrive after
    // the number before it was taken, unless its own number is taken for good.
    let open = matches!(answer, error::Error::NumberOutOfOrder { .. }) && progress.lost;
    let code = match open {
        true => exit::Code::Unknown,
        false => exit::Code::Refused,
    };
    Err(Report::new(
        failure::Failure::new(code, answer.to_string()).with_answer(answer),
    ))
}

fn give_up(request: &Request, progress: &Progress) -> failure::Failure {
    let reasons: String = progress
        .reasons
        .iter()
        .map(|reason| format!("\n  {reason}"))
        .collect();
    if request.changes && progress.lost {
        let what = format!("the ticket may or may not have been accepted{reasons}");
        return failure::Failure::new(exit::Code::Unknown, what).with_advice(
            "run the same command again: the ticket is accepted at most once, and the answer tells what became of it",
        );
    }
    let (what, advice) = match progress.leaderless {
        true => (
            "the control plane has no leader",
            "an election takes less than a second; if this lasts, most replicas are lost or cut off",
        ),
        false => (
            "no control replica gave an answer",
            "check `--control` or SEQUOIAYOKE_CONTROL, and that the control replicas run",
        ),
    };
    let unsent = if request.changes {
        "; the ticket was not accepted"
    } else {
        ""
    };
    failure::Failure::new(exit::Code::Unreachable, format!("{what}{unsent}{reasons}"))
        .with_advice(advice)
}

/// Tells whether `body` is the start of a document.
///
/// A server that ends a chunked body after a fault makes it look complete.
fn truncated(body: &[u8]) -> bool {
    let whole = serde_json::from_slice::<serde::de::IgnoredAny>(body);
    !body.is_empty() && whole.is_err_and(|error| error.is_eof())
}

fn leader(body: &[u8]) -> Option<address::Address> {
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

/// Returns the innermost cause, which is the one that an operator can act on.
fn cause(error: &reqwest::Error) -> String {
    if error.is_timeout() {
        return "no answer in time".to_owned();
    }
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(inner) = source {
        text = inner.to_string();
        source = inner.source();
    }
    text
}
