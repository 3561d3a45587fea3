//! Answers to callers, from the backend server or from the router itself.

use std::time::Duration;

use bytes::Bytes;
use sequoiayoke_http1::{request, serve};
use sequoiayoke_model::clock;

use super::{Delivery, MIN_RETRY_AFTER};
use crate::traffic::requests;

/// An answer to a caller.
#[derive(Debug)]
pub(in crate::traffic) struct Answer {
    /// Status line and fields, without the empty line that ends the head.
    pub(in crate::traffic) head: Vec<u8>,
    /// Body.
    pub(in crate::traffic) body: Bytes,
    /// Registration of the request, which ends when the answer is written.
    _registration: Option<requests::Registration>,
}

impl Answer {
    const fn new(head: Vec<u8>, body: Bytes) -> Self {
        Self {
            head,
            body,
            _registration: None,
        }
    }

    /// Keeps the request registered until the answer is dropped.
    pub(super) fn with_registration(self, registration: requests::Registration) -> Self {
        Self {
            _registration: Some(registration),
            ..self
        }
    }
}

/// Reason why the router itself answers a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Failure {
    /// The request lacks an id.
    NoId,
    /// No route matches.
    NoRoute,
    /// The request did not run; it may be sent again after this time.
    NotRun(Duration),
    /// The request may have run.
    Unknown,
    /// The request may have run and its deadline has passed.
    Late,
}

impl Failure {
    /// Returns the value of the metrics label.
    pub(super) const fn as_str(&self) -> &'static str {
        match self {
            Self::NoId => "no-id",
            Self::NoRoute => "no-route",
            Self::NotRun(_) => "not-run",
            Self::Unknown => "unknown",
            Self::Late => "late",
        }
    }
}

pub(super) fn build_answer(
    delivery: &Delivery<'_>,
    status: u16,
    fields: &[u8],
    body: Bytes,
) -> Answer {
    let took_ms = clock::Instant::now()
        .saturating_since(delivery.start)
        .as_millis() as u64;
    tracing::debug!(id = delivery.id, status, took_ms, "answered");
    let mut head = format!("HTTP/1.1 {status} {}\r\n", serve::reason_phrase(status));
    // An answer that has no body by definition needs no length: for HEAD the fields have that of the
    // backend server, if it has stated one.
    let has_no_body = delivery.method == "HEAD" || matches!(status, 204 | 304);
    if !has_no_body {
        head.push_str(&format!("content-length: {}\r\n", body.len()));
    }
    let mut head = head.into_bytes();
    head.extend_from_slice(fields);
    let body = if has_no_body { Bytes::new() } else { body };
    Answer::new(head, body)
}

pub(super) fn build_refusal(
    id: &str,
    service: &str,
    head: &request::Head,
    failure: Failure,
    took: Duration,
    is_logged: bool,
) -> Answer {
    let took_ms = took.as_millis() as u64;
    let (status, retry_after) = match failure {
        Failure::NoId => (400, None),
        Failure::NoRoute => (404, None),
        Failure::NotRun(retry_after) => (503, Some(retry_after)),
        Failure::Unknown => (502, None),
        Failure::Late => (504, None),
    };
    let retry_after_ms = retry_after.map(|retry_after| retry_after.as_millis() as u64);
    let (method, path) = (&head.method, head.path());
    if is_logged {
        tracing::info!(
            id,
            service,
            method,
            path,
            status,
            ?failure,
            took_ms,
            retry_after_ms,
            "not served"
        );
    }
    let phrase = serve::reason_phrase(status);
    let mut text = format!(
        "HTTP/1.1 {status} {phrase}\r\ncontent-type: text/plain\r\ncontent-length: {}\r\n",
        phrase.len()
    );
    if let Some(retry_after) = retry_after {
        text.push_str(&format!(
            "retry-after: {:.3}\r\n",
            retry_after.as_secs_f64()
        ));
    }
    let body = Bytes::from_static(phrase.as_bytes());
    Answer::new(text.into_bytes(), body)
}

/// Reason why the node does not wait for the rest of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::traffic) enum Unread {
    /// It did not arrive in time.
    Timeout,
    /// The node is stopping.
    Stopping,
    /// Callers hold too much.
    NoRoom,
}

/// Returns the answer to a request that was not read completely, and so did not run.
pub(in crate::traffic) fn unread(reason: Unread) -> Answer {
    let status = match reason {
        Unread::Timeout => 408,
        Unread::Stopping | Unread::NoRoom => 503,
    };
    let phrase = serve::reason_phrase(status);
    let retry_after = MIN_RETRY_AFTER.as_secs_f64();
    let head = format!(
        "HTTP/1.1 {status} {phrase}\r\nretry-after: {retry_after:.3}\r\ncontent-length: 0\r\n"
    );
    Answer::new(head.into_bytes(), Bytes::new())
}

/// Returns the answer to malformed or oversized input.
pub(in crate::traffic) fn malformed(fault: sequoiayoke_http1::Error) -> Answer {
    let status: u16 = match fault {
        sequoiayoke_http1::Error::HeadTooLong => 431,
        sequoiayoke_http1::Error::BodyTooLong => 413,
        _ => 400,
    };
    tracing::info!(status, %fault, "received a malformed or oversized request");
    let phrase = serve::reason_phrase(status);
    let head = format!("HTTP/1.1 {status} {phrase}\r\ncontent-length: 0\r\n");
    Answer::new(head.into_bytes(), Bytes::new())
}
