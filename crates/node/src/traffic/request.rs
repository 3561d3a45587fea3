//! Requests as the path handles them, independent of the front end that received them.

use std::future;
use std::time::Duration;

use bytes::Bytes;
use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_model::request;
use sequoiayoke_supervise::Stop;

/// Borrowed view of the head of a request.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// Service of the key.
    pub service: id::Service,
    /// Hash of scope and key.
    pub hash: key::Hash,
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Headers to pass on.
    pub headers: &'a [(String, Bytes)],
    /// Time after which the answer is no longer awaited.
    pub deadline: clock::Instant,
    /// Request id.
    pub id: Option<request::Id>,
    /// Whether this node issued the id and has not disclosed it to the caller yet.
    pub is_undisclosed: bool,
    /// Id of the caller, or 0 if it is not known.
    pub caller: id::Caller,
    /// Scope of the caller's keys.
    pub scope: &'a str,
    /// Whether the method is declared idempotent, so that the request may be retried.
    pub idempotent: bool,
    /// For a forwarded request, the epoch of the grant in the entry node's view.
    pub forwarded: Option<id::Epoch>,
    /// Token whose cancellation ends the request with the outcome that it has by then.
    pub cancel: &'a Stop,
}

impl View<'_> {
    /// Returns the time left until the deadline.
    pub const fn left(&self, now: clock::Instant) -> Duration {
        now.saturating_until(self.deadline)
    }

    /// Waits for `wait`, or returns `None` when the request is cancelled first.
    pub async fn until_cancelled<F>(&self, wait: F) -> Option<F::Output>
    where
        F: future::Future,
    {
        self.cancel.run_until_cancelled(wait).await
    }

    /// Returns whether the body is sent in chunks, so that its size is not known in advance.
    pub fn is_chunked(&self) -> bool {
        let mut headers = self.headers.iter();
        headers.any(|(name, _)| name.eq_ignore_ascii_case("transfer-encoding"))
    }

    /// Returns the size of the body, if the caller specified it.
    pub fn body_bytes(&self) -> Option<u64> {
        let mut headers = self.headers.iter();
        let (_, value) = headers.find(|(name, _)| name.eq_ignore_ascii_case("content-length"))?;
        std::str::from_utf8(value).ok()?.parse().ok()
    }
}
