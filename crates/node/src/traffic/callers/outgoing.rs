//! Body of an answer that is sent to a caller.

use std::io;
use std::pin::Pin;
use std::sync;
use std::task;

use bytes::Bytes;
use futures_util::Stream;
use poem::http;
use tokio_util::sync::WaitForCancellationFutureOwned;

use super::connection;
use crate::traffic::answer;
use crate::traffic::in_flight;

/// One request on a caller's connection.
#[derive(Debug)]
pub(super) struct Exchange {
    state: sync::Arc<connection::State>,
    _running: connection::Running,
    // HTTP/2 resets only the stream of an aborted answer; other streams continue.
    is_http1: bool,
}

impl Exchange {
    /// Records that a request has started on the connection of `state`.
    pub(super) fn new(state: sync::Arc<connection::State>, version: http::Version) -> Self {
        let running = state.start();
        let is_http1 = version < http::Version::HTTP_2;
        if !is_http1 {
            state.set_multiplexed();
        }
        Self {
            state,
            _running: running,
            is_http1,
        }
    }

    /// Returns whether the request arrived over HTTP/1.
    pub(super) const fn is_http1(&self) -> bool {
        self.is_http1
    }

    /// Converts the body into one that resets the connection instead of ending truncated.
    pub(super) fn body(self, body: answer::Body, guard: Option<in_flight::Guard>) -> poem::Body {
        match body {
            answer::Body::Whole(bytes) => bytes.into(),
            body => poem::Body::from_bytes_stream(Outgoing {
                body: Some(body),
                disconnected: Box::pin(self.state.disconnected().clone().cancelled_owned()),
                exchange: self,
                _guard: guard,
            }),
        }
    }
}

/// A body that resets the caller's connection on an error, and ends when the caller
/// disconnects.
#[derive(Debug)]
struct Outgoing {
    body: Option<answer::Body>,
    disconnected: Pin<Box<WaitForCancellationFutureOwned>>,
    exchange: Exchange,
    _guard: Option<in_flight::Guard>,
}

impl Outgoing {
    /// Drops the body, which cancels the request, and resets the connection.
    fn abort(&mut self, error: io::Error) -> task::Poll<Option<io::Result<Bytes>>> {
        self.body = None;
        if self.exchange.is_http1 {
            self.exchange.state.abort();
        }
        task::Poll::Ready(Some(Err(error)))
    }
}

impl Stream for Outgoing {
    type Item = io::Result<Bytes>;

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Self::Item>> {
        if self.body.is_none() {
            return task::Poll::Ready(None);
        }
        if self.disconnected.as_mut().poll(context).is_ready() {
            return self.abort(io::ErrorKind::ConnectionAborted.into());
        }
        let Some(body) = &mut self.body else {
            return task::Poll::Ready(None);
        };
        match task::ready!(Pin::new(body).poll_next(context)) {
            Some(Err(error)) => self.abort(error),
            Some(Ok(bytes)) => task::Poll::Ready(Some(Ok(bytes))),
            None => {
                self.body = None;
                task::Poll::Ready(None)
            }
        }
    }
}
