//! Answers to requests, with streamed bodies.

use std::io;
use std::pin::Pin;
use std::task;

use bytes::Bytes;
use futures_util::Stream;
use http_body::Body as _;
use sequoiayoke_model::id;
use sequoiayoke_model::outcome;

use super::in_flight;
use super::owned;
use super::peers::dial;
use super::server::permit;

/// Names and values of the headers to pass on.
pub type Headers = Vec<(String, Bytes)>;

/// An answer: its outcome, and a body that may still be arriving.
#[derive(Debug)]
pub struct Answer {
    /// Outcome of the request.
    pub outcome: outcome::Outcome,
    /// Headers of the backend server's answer.
    pub headers: Headers,
    /// Epoch under which the request ran, if it did.
    pub epoch: Option<id::Epoch>,
    /// Name of the backend server that answered; empty otherwise.
    pub server: String,
    /// Whether this is the stored answer of an earlier run of the id.
    pub replayed: bool,
    /// The body.
    pub body: Body,
    /// Registration of the request, which is in flight until the body has ended.
    pub in_flight: Option<in_flight::Guard>,
}

impl Answer {
    /// Creates an answer without a body.
    pub const fn new(outcome: outcome::Outcome) -> Self {
        Self {
            outcome,
            headers: Vec::new(),
            epoch: None,
            server: String::new(),
            replayed: false,
            body: Body::Whole(Bytes::new()),
            in_flight: None,
        }
    }

    /// Creates the answer to a request that did not run.
    pub const fn not_run(reason: outcome::Reason) -> Self {
        Self::new(outcome::Outcome::NotRun(reason))
    }

    /// Creates the answer to a request that may have run.
    pub const fn unknown(reason: outcome::Reason) -> Self {
        Self::new(outcome::Outcome::Unknown(reason))
    }
}

/// Body of an answer; a truncated body ends with an error.
#[derive(Debug)]
pub enum Body {
    /// Buffered completely.
    Whole(Bytes),
    /// From the backend server of this VM; the guard is dropped with the body.
    Server(reqwest::Body, Guard),
    /// From the owner's node.
    Peer(dial::Body),
}

/// Resources that a request holds until its answer has ended.
#[derive(Debug)]
pub struct Guard {
    /// Permit for a slot of the backend server.
    pub permit: permit::Permit,
    /// Request in flight on the owned slice.
    pub entry: owned::Entry,
}

impl Stream for Body {
    type Item = io::Result<Bytes>;

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Self::Item>> {
        match &mut *self {
            Self::Whole(bytes) if bytes.is_empty() => task::Poll::Ready(None),
            Self::Whole(bytes) => task::Poll::Ready(Some(Ok(std::mem::take(bytes)))),
            Self::Server(body, guard) => poll_server(body, guard, context),
            Self::Peer(body) => Pin::new(body).poll_next(context),
        }
    }
}

fn poll_server(
    body: &mut reqwest::Body,
    guard: &mut Guard,
    context: &mut task::Context<'_>,
) -> task::Poll<Option<io::Result<Bytes>>> {
    loop {
        let next = task::ready!(Pin::new(&mut *body).poll_frame(context));
        match next {
            Some(Ok(frame)) => match frame.into_data() {
                Ok(bytes) => return task::Poll::Ready(Some(Ok(bytes))),
                // Trailers are not passed on.
                Err(_) => continue,
            },
            Some(Err(error)) => {
                guard.permit.failed();
                return task::Poll::Ready(Some(Err(io::Error::other(error))));
            }
            None => {
                guard.permit.completed();
                return task::Poll::Ready(None);
            }
        }
    }
}
