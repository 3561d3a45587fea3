//! A request as the path sees it, whichever front end took it.

use std::time::Duration;

use bytes::Bytes;
use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_model::key;
use sequoiayoke_model::request;

/// Borrowed view of a request's head.
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
    /// Headers that are passed on.
    pub headers: &'a [(String, Bytes)],
    /// Time after which nobody waits for the answer.
    pub deadline: clock::Instant,
    /// Request id.
    pub id: Option<request::Id>,
    /// Whether this node issued the id and has told nobody yet.
    pub is_untold: bool,
    /// The caller, if it is known.
    pub caller: id::Caller,
    /// Scope of the caller's keys.
    pub scope: &'a str,
    /// Whether the request may be sent again without harm.
    pub idempotent: bool,
    /// For a forwarded request, the epoch that the entry node's view showed.
    pub forwarded: Option<id::Epoch>,
}

impl View<'_> {
    /// Returns the time left until the deadline.
    pub const fn left(&self, now: clock::Instant) -> Duration {
        now.saturating_until(self.deadline)
    }

    /// Tells whether the body comes in chunks, so that its size is not known ahead.
    pub fn is_chunked(&self) -> bool {
        let mut headers = self.headers.iter();
        headers.any(|(name, _)| name.eq_ignore_ascii_case("transfer-encoding"))
    }

    /// Returns the size of the body, if the caller said it.
    pub fn body_bytes(&self) -> Option<u64> {
        let mut headers = self.headers.iter();
        let (_, value) = headers.find(|(name, _)| name.eq_ignore_ascii_case("content-length"))?;
        std::str::from_utf8(value).ok()?.parse().ok()
    }
}
