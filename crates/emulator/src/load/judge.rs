//! Decides what an answer means, and whether it belongs to its request.

use std::borrow::Cow;
use std::fmt;

use http::HeaderMap;
use serde::Deserialize;

use sequoiayoke_model::outcome;

use crate::load::plan;

/// What became of one attempt.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// The backend server answered with this status.
    Answered(u16),
    /// It did not run, for this reason.
    NotRun(Cow<'static, str>),
    /// It may have run; the reason was stated.
    Unknown(Cow<'static, str>),
    /// No whole answer arrived.
    Lost(&'static str),
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answered(status) if (200..300).contains(status) => f.write_str("answered"),
            Self::Answered(status) => write!(f, "answered/{status}"),
            Self::NotRun(reason) => write!(f, "not-run/{reason}"),
            Self::Unknown(reason) => write!(f, "unknown/{reason}"),
            Self::Lost(how) => write!(f, "lost/{how}"),
        }
    }
}

impl Verdict {
    /// Tells whether the request got what it asked for.
    pub const fn is_good(&self) -> bool {
        matches!(self, Self::Answered(200..=299))
    }

    /// Tells whether the same id may be sent again to learn the outcome.
    pub const fn is_open(&self) -> bool {
        matches!(self, Self::Unknown(_) | Self::Lost(_))
    }
}

/// What an answer to a request must say.
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
    /// Whether the request appends a version to the value.
    pub writes: bool,
    /// Whether an answer carries a body.
    pub has_body: bool,
}

/// A whole answer.
#[derive(Clone, Copy, Debug)]
pub struct Answer<'a> {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: &'a HeaderMap,
    /// Body.
    pub body: &'a [u8],
}

/// What an answer means.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Judgement {
    /// What became of the attempt.
    pub verdict: Verdict,
    /// Why the answer is wrong, if it is.
    pub wrong: Option<String>,
    /// Whether it is the answer of an earlier run of the same id.
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

/// Judges an answer.
pub fn judge(expected: &Expected<'_>, answer: &Answer<'_>) -> Judgement {
    let (verdict, protocol) = match expected.mode {
        plan::Mode::Nodes => node_verdict(answer),
        plan::Mode::Straight => (straight_verdict(answer), None),
    };
    let wrong = protocol
        .or_else(|| check_id(expected, answer.headers))
        .or_else(|| match verdict.is_good() && expected.has_body {
            true => check_echo(expected, answer),
            false => None,
        });
    Judgement {
        verdict,
        wrong,
        replayed: header(answer.headers, "sequoiayoke-replayed") == Some("true"),
    }
}

fn node_verdict(answer: &Answer<'_>) -> (Verdict, Option<String>) {
    let status = answer.status;
    let reason = header(answer.headers, "sequoiayoke-reason").unwrap_or("");
    let known = outcome::Reason::ALL
        .iter()
        .any(|item| item.word() == reason);
    let missing = (!known).then(|| format!("the reason {reason:?} is not in the protocol"));
    match header(answer.headers, "sequoiayoke-outcome") {
        Some("answered") => (Verdict::Answered(status), None),
        Some("not-run") => (Verdict::NotRun(Cow::Owned(reason.to_owned())), missing),
        Some("unknown") => (Verdict::Unknown(Cow::Owned(reason.to_owned())), missing),
        other => {
            let wrong = format!("status {status} with the outcome {other:?}");
            (Verdict::Lost("no-outcome"), Some(wrong))
        }
    }
}

fn straight_verdict(answer: &Answer<'_>) -> Verdict {
    match header(answer.headers, "sequoiayoke-refused") {
        Some(reason) if answer.status == 409 => Verdict::NotRun(Cow::Owned(reason.to_owned())),
        _ if answer.status == 504 => Verdict::Unknown(Cow::Borrowed("deadline")),
        _ => Verdict::Answered(answer.status),
    }
}

/// An answer must name the id of its own request.
fn check_id(expected: &Expected<'_>, headers: &HeaderMap) -> Option<String> {
    let sent = expected.id?;
    match header(headers, "sequoiayoke-request-id") {
        Some(named) if named != sent => {
            Some(format!("the header names the request {named}, not {sent}"))
        }
        _ => None,
    }
}

fn check_echo(expected: &Expected<'_>, answer: &Answer<'_>) -> Option<String> {
    let echo: Echo<'_> = match serde_json::from_slice(answer.body) {
        Ok(echo) => echo,
        Err(error) => return Some(format!("the body is not whole: {error}")),
    };
    let differs = |what: &str, found: &str, wanted: &str| {
        (found != wanted).then(|| format!("{what} is {found:?}, not {wanted:?}"))
    };
    let named = header(answer.headers, "sequoiayoke-server").unwrap_or(&echo.server);
    differs("service", &echo.service, expected.service)
        .or_else(|| differs("key", &echo.key, expected.key))
        .or_else(|| differs("scope", &echo.scope, expected.scope?))
        .or_else(|| {
            let id = echo.request_id.as_deref().unwrap_or("");
            differs("request id", id, expected.id?)
        })
        .or_else(|| differs("digest", &echo.digest, expected.digest))
        .or_else(|| {
            let (found, wanted) = (echo.body_bytes, expected.body_bytes);
            differs("length", &found.to_string(), &wanted.to_string())
        })
        .or_else(|| differs("server", &echo.server, named))
        .or_else(|| check_value(expected, &echo.value))
}

/// The value right after a write is the one that the write appended.
fn check_value(expected: &Expected<'_>, value: &Value<'_>) -> Option<String> {
    if !expected.writes {
        return None;
    }
    if value.version == 0 {
        return Some("the value has no version after a write".into());
    }
    let (found, wanted) = (value.request_id.as_deref(), expected.id);
    (wanted.is_some() && found != wanted)
        .then(|| format!("the value was written by {found:?}, not {wanted:?}"))
}
