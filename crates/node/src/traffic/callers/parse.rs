//! Parsing of the parts of an HTTP request that the path needs.

use std::time::Duration;

use bytes::Bytes;
use sequoiayoke_model::outcome;
use sequoiayoke_model::request;

use super::{Limits, Problem};

/// Maximum length of a decoded key, in bytes.
const MAX_KEY_BYTES: usize = 1024;

/// Headers that are hop-by-hop or meant for this node, and are not passed on.
const DROPPED: [&str; 9] = [
    "authorization",
    "connection",
    "expect",
    "host",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "upgrade",
];

/// Resource that a request addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Target<'a> {
    /// A request to the owner of a key.
    Key { service: &'a str, key: &'a str },
    /// A request for a new request id of a key.
    RequestId { service: &'a str, key: &'a str },
}

impl<'a> Target<'a> {
    /// Returns the service and the key as written in the path.
    pub(super) const fn subject(&self) -> (&'a str, &'a str) {
        match self {
            Self::Key { service, key } | Self::RequestId { service, key } => (service, key),
        }
    }
}

fn bad_request<T>(detail: T) -> Problem
where
    T: Into<String>,
{
    Problem::new(outcome::Reason::BadRequest, detail)
}

/// Parses the service and the key of a path.
pub(super) fn target(path: &str) -> Result<Target<'_>, Problem> {
    if path.contains('\\') || path.split('/').any(is_dot_segment) {
        return Err(bad_request(
            "the path holds a backslash, or a segment `.` or `..`",
        ));
    }
    let split = |prefix: &'static str| {
        let mut parts = path.strip_prefix(prefix)?.splitn(3, '/');
        Some((parts.next().unwrap_or(""), parts.next().unwrap_or("")))
    };
    let (subject, is_id) = match (split("/s/"), split("/v1/request-ids/")) {
        (Some(subject), _) => (subject, false),
        (_, Some(subject)) => (subject, true),
        _ => {
            let text = "the path must be /s/{service}/{key} or /v1/request-ids/{service}/{key}";
            return Err(bad_request(text));
        }
    };
    let (service, key) = subject;
    if service.is_empty() {
        return Err(bad_request("the path names no service"));
    }
    if key.is_empty() {
        return Err(bad_request("the path names no key"));
    }
    Ok(match is_id {
        true => Target::RequestId { service, key },
        false => Target::Key { service, key },
    })
}

/// Returns whether the segment is `.` or `..`, possibly percent-encoded.
///
/// URL libraries resolve such segments, and treat a backslash as a slash. If the path
/// were resolved on the way to the backend server, it would name a key other than the
/// one that was authorised.
fn is_dot_segment(segment: &str) -> bool {
    // `%2e%2e` is the longest form.
    if segment.len() > 6 {
        return false;
    }
    let plain = segment.to_ascii_lowercase().replace("%2e", ".");
    plain == "." || plain == ".."
}

/// Decodes a percent-encoded key.
pub(super) fn decode(key: &str) -> Result<String, Problem> {
    let mut decoded = Vec::with_capacity(key.len());
    let mut bytes = key.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            decoded.push(byte);
            continue;
        }
        let digits = [bytes.next(), bytes.next()];
        let value = digits.map(|digit| digit.and_then(|digit| (digit as char).to_digit(16)));
        match value {
            [Some(high), Some(low)] => decoded.push((high * 16 + low) as u8),
            _ => return Err(bad_request("the key holds a malformed percent-encoding")),
        }
    }
    if decoded.len() > MAX_KEY_BYTES {
        return Err(bad_request(format!(
            "the key is longer than {MAX_KEY_BYTES} bytes"
        )));
    }
    String::from_utf8(decoded).map_err(|_| bad_request("the key is not UTF-8"))
}

/// Checks the size of the head.
pub(super) fn check_head(http: &poem::Request, max: usize) -> Result<(), Problem> {
    let headers = http.headers().iter();
    let headers: usize = headers
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum();
    let path = http
        .uri()
        .path_and_query()
        .map_or(0, |text| text.as_str().len());
    if headers + path > max {
        return Err(bad_request(format!("the head is longer than {max} bytes")));
    }
    Ok(())
}

/// Parses the deadline.
pub(super) fn deadline(http: &poem::Request, limits: &Limits) -> Result<Duration, Problem> {
    let Some(value) = http.headers().get("sequoiayoke-deadline-ms") else {
        return Ok(limits.default_deadline);
    };
    let value = value.to_str().ok().and_then(|text| text.parse().ok());
    let max = limits.max_deadline;
    value
        .map(Duration::from_millis)
        .filter(|span| !span.is_zero() && *span <= max)
        .ok_or_else(|| {
            let max = max.as_millis();
            bad_request(format!("sequoiayoke-deadline-ms: must be 1 to {max}"))
        })
}

/// Parses the request id, which `verify` accepts only for the key of the request.
pub(super) fn request_id<F>(http: &poem::Request, verify: F) -> Result<Option<request::Id>, Problem>
where
    F: FnOnce(&str) -> Option<request::Id>,
{
    let Some(value) = http.headers().get("sequoiayoke-request-id") else {
        return Ok(None);
    };
    let id = value.to_str().ok().and_then(verify);
    let text = "sequoiayoke-request-id: not an id handed out for this key by POST /v1/request-ids";
    id.map(Some).ok_or_else(|| bad_request(text))
}

/// Copies the headers to pass on.
pub(super) fn headers(http: &poem::Request) -> Vec<(String, Bytes)> {
    let headers = http.headers().iter();
    let passed_on = headers.filter(|(name, _)| {
        let name = name.as_str();
        !DROPPED.contains(&name) && !name.starts_with("sequoiayoke-")
    });
    passed_on
        .map(|(name, value)| {
            let value = Bytes::copy_from_slice(value.as_bytes());
            (name.as_str().to_owned(), value)
        })
        .collect()
}
