//! Derives the outcome of an attempt from its response, and checks that the response
//! belongs to the request.

use std::borrow::Cow;
use std::fmt;

use http::HeaderMap;
use serde::Deserialize;

use sequoiayoke_model::outcome;

use crate::load::plan;

/// Outcome of one attempt.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The backend server answered with this status.
    Answered(u16),
    /// The request did not run, for this reason.
    NotRun(Cow<'static, str>),
    /// The request may have run; the response states the reason.
    Unknown(Cow<'static, str>),
    /// No complete response arrived, for this reason.
    Lost(&'static str),
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answered(status) if (200..300).contains(status) => f.write_str("answered"),
            Self::Answered(status) => write!(f, "answered/{status}"),
            Self::NotRun(reason) => write!(f, "not-run/{reason}"),
            Self::Unknown(reason) => write!(f, "unknown/{reason}"),
            Self::Lost(reason) => write!(f, "lost/{reason}"),
        }
    }
}

impl Outcome {
    /// Returns whether the request succeeded.
    pub const fn is_success(&self) -> bool {
        matches!(self, Self::Answered(200..=299))
    }

    /// Returns whether a retry with the same id may determine the outcome.
    pub const fn is_retryable(&self) -> bool {
        matches!(self, Self::Unknown(_) | Self::Lost(_))
    }
}

/// Properties that the response to a request must have.
#[derive(Clone, Copy, Debug)]
pub struct Expected<'a> {
    /// Where the request was sent.
    pub mode: plan::Mode,
    /// Service.
    pub service: &'a str,
    /// Key.
    pub key: &'a str,
    /// Scope, if it is known.
    pub scope: Option<&'a str>,
    /// Request id, if the request carried one.
    pub id: Option<&'a str>,
    /// Length of the body in bytes.
    pub body_bytes: u64,
    /// Digest of the body.
    pub digest: &'a str,
    /// Whether the request writes a new version of the value.
    pub writes: bool,
    /// Whether a response carries a body.
    pub has_body: bool,
}

/// A complete response.
#[derive(Clone, Copy, Debug)]
pub struct Response<'a> {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: &'a HeaderMap,
    /// Body.
    pub body: &'a [u8],
}

/// Result of the evaluation of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evaluation {
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Why the response is wrong, if it is.
    pub violation: Option<String>,
    /// Whether it is the stored response of an earlier execution of the same id.
    pub replayed: bool,
}

#[derive(Debug, Deserialize)]
struct Echo<'a> {
    #[serde(borrow)]
    server: Cow<'a, str>,
    #[serde(borrow)]
    service: Cow<'a, str>,
    #[serde(borrow)]
    key: Cow<'a, str>,
    #[serde(borrow)]
    scope: Cow<'a, str>,
    request_id: Option<Cow<'a, str>>,
    body_bytes: u64,
    digest: Cow<'a, str>,
    value: Value<'a>,
}

#[derive(Debug, Deserialize)]
struct Value<'a> {
    version: u64,
    #[serde(borrow)]
    request_id: Option<Cow<'a, str>>,
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Evaluates a response.
pub fn evaluate(expected: &Expected<'_>, response: &Response<'_>) -> Evaluation {
    let (outcome, protocol_violation) = match expected.mode {
        plan::Mode::Nodes => node_outcome(response),
        plan::Mode::Straight => (standin_outcome(response), None),
    };
    let violation = protocol_violation
        .or_else(|| check_id(expected, response.headers))
        .or_else(|| match outcome.is_success() && expected.has_body {
            true => check_echo(expected, response),
            false => None,
        });
    Evaluation {
        outcome,
        violation,
        replayed: header(response.headers, "sequoiayoke-replayed") == Some("true"),
    }
}

fn node_outcome(response: &Response<'_>) -> (Outcome, Option<String>) {
    let status = response.status;
    let reason = header(response.headers, "sequoiayoke-reason").unwrap_or("");
    let is_known = outcome::Reason::ALL
        .iter()
        .any(|known_reason| known_reason.as_str() == reason);
    let unknown_reason =
        (!is_known).then(|| format!("the reason {reason:?} is not in the protocol"));
    match header(response.headers, "sequoiayoke-outcome") {
        Some("answered") => (Outcome::Answered(status), None),
        Some("not-run") => (
            Outcome::NotRun(Cow::Owned(reason.to_owned())),
            unknown_reason,
        ),
        Some("unknown") => (
            Outcome::Unknown(Cow::Owned(reason.to_owned())),
            unknown_reason,
        ),
        other => {
            let violation = format!("status {status} with the outcome {other:?}");
            (Outcome::Lost("no-outcome"), Some(violation))
        }
    }
}

fn standin_outcome(response: &Response<'_>) -> Outcome {
    match header(response.headers, "sequoiayoke-refused") {
        Some(reason) if response.status == 409 => Outcome::NotRun(Cow::Owned(reason.to_owned())),
        _ if response.status == 504 => Outcome::Unknown(Cow::Borrowed("deadline")),
        _ => Outcome::Answered(response.status),
    }
}

/// Checks that the response names the id of its own request.
fn check_id(expected: &Expected<'_>, headers: &HeaderMap) -> Option<String> {
    let sent = expected.id?;
    match header(headers, "sequoiayoke-request-id") {
        Some(named) if named != sent => {
            Some(format!("the header names the request {named}, not {sent}"))
        }
        _ => None,
    }
}

fn check_echo(expected: &Expected<'_>, response: &Response<'_>) -> Option<String> {
    let echo: Echo<'_> = match serde_json::from_slice(response.body) {
        Ok(echo) => echo,
        Err(error) => return Some(format!("invalid or incomplete body: {error}")),
    };
    let differs = |field: &str, actual: &str, wanted: &str| {
        (actual != wanted).then(|| format!("{field} is {actual:?}, not {wanted:?}"))
    };
    let named_server = header(response.headers, "sequoiayoke-server").unwrap_or(&echo.server);
    differs("service", &echo.service, expected.service)
        .or_else(|| differs("key", &echo.key, expected.key))
        .or_else(|| differs("scope", &echo.scope, expected.scope?))
        .or_else(|| {
            let id = echo.request_id.as_deref().unwrap_or("");
            differs("request id", id, expected.id?)
        })
        .or_else(|| differs("digest", &echo.digest, expected.digest))
        .or_else(|| {
            let (actual, wanted) = (echo.body_bytes, expected.body_bytes);
            differs("length", &actual.to_string(), &wanted.to_string())
        })
        .or_else(|| differs("server", &echo.server, named_server))
        .or_else(|| check_value(expected, &echo.value))
}

/// Checks that the response to a write returns the version that this write created.
fn check_value(expected: &Expected<'_>, value: &Value<'_>) -> Option<String> {
    if !expected.writes {
        return None;
    }
    if value.version == 0 {
        return Some("the value has no version after a write".into());
    }
    let (actual, wanted) = (value.request_id.as_deref(), expected.id);
    (wanted.is_some() && actual != wanted)
        .then(|| format!("the value was written by {actual:?}, not {wanted:?}"))
}
