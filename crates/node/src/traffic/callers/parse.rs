//! Reads the parts of an HTTP request that the path needs.

use std::time::Duration;

use bytes::Bytes;
use sequoiayoke_model::outcome;
use sequoiayoke_model::request;

use super::{Limits, Problem};

/// Longest key, in bytes after decoding.
const MAX_KEY_BYTES: usize = 1024;

/// Headers that belong to one connection or to this project, and are not passed on.
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

/// What a request is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Target<'a> {
    /// A request to the owner of a key.
    Key { service: &'a str, key: &'a str },
    /// A new request id for a key.
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

fn bad<T>(detail: T) -> Problem
where
    T: Into<String>,
{
    Problem::new(outcome::Reason::BadRequest, detail)
}

/// Reads service and key from a path.
pub(super) fn target(path: &str) -> Result<Target<'_>, Problem> {
    if path.contains('\\') || path.split('/').any(is_dots) {
        return Err(bad("the path holds a backslash, or a segment `.` or `..`"));
    }
    let split = |rest: &'static str| {
        let mut parts = path.strip_prefix(rest)?.splitn(3, '/');
        Some((parts.next().unwrap_or(""), parts.next().unwrap_or("")))
    };
    let (found, is_id) = match (split("/s/"), split("/v1/request-ids/")) {
        (Some(found), _) => (found, false),
        (_, Some(found)) => (found, true),
        _ => {
            let text = "the path must be /s/{service}/{key} or /v1/request-ids/{service}/{key}";
            return Err(bad(text));
        }
    };
    let (service, key) = found;
    if service.is_empty() {
        return Err(bad("the path names no service"));
    }
    if key.is_empty() {
        return Err(bad("the path names no key"));
    }
    Ok(match is_id {
        true => Target::RequestId { service, key },
        false => Target::Key { service, key },
    })
}

/// Tells whether URL libraries resolve the segment, also in its encoded form.
///
/// They take a backslash for a slash, too. What was resolved on the way to the
/// backend server would name another key than the one that was authorised.
fn is_dots(segment: &str) -> bool {
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
            _ => return Err(bad("the key holds a malformed percent-encoding")),
        }
    }
    if decoded.len() > MAX_KEY_BYTES {
        return Err(bad(format!("the key is longer than {MAX_KEY_BYTES} bytes")));
    }
    String::from_utf8(decoded).map_err(|_| bad("the key is not UTF-8"))
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
        return Err(bad(format!("the head is longer than {max} bytes")));
    }
    Ok(())
}

/// Reads the deadline.
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
            bad(format!("sequoiayoke-deadline-ms: must be 1 to {max}"))
        })
}

/// Reads the request id, which `verify` accepts only for the key of the request.
pub(super) fn request_id<F>(http: &poem::Request, verify: F) -> Result<Option<request::Id>, Problem>
where
    F: FnOnce(&str) -> Option<request::Id>,
{
    let Some(value) = http.headers().get("sequoiayoke-request-id") else {
        return Ok(None);
    };
    let id = value.to_str().ok().and_then(verify);
    let text = "sequoiayoke-request-id: not an id handed out for this key by POST /v1/request-ids";
    id.map(Some).ok_or_else(|| bad(text))
}

/// Copies the headers that are passed on.
pub(super) fn headers(http: &poem::Request) -> Vec<(String, Bytes)> {
    let headers = http.headers().iter();
    let kept = headers.filter(|(name, _)| {
        let name = name.as_str();
        !DROPPED.contains(&name) && !name.starts_with("sequoiayoke-")
    });
    kept.map(|(name, value)| {
        let value = Bytes::copy_from_slice(value.as_bytes());
        (name.as_str().to_owned(), value)
    })
    .collect()
}
