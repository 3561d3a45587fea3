//! Body of an answer on its way to a caller.

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
use crate::traffic::flights;

/// One request on a caller's connection.
#[derive(Debug)]
pub(super) struct Exchange {
    line: sync::Arc<connection::Line>,
    _running: connection::Running,
    // HTTP/2 ends the stream of a cut answer by itself, and other streams go on.
    alone: bool,
}

impl Exchange {
    /// Notes that a request has started on `line`.
    pub(super) fn new(line: sync::Arc<connection::Line>, version: http::Version) -> Self {
        let running = line.start();
        Self {
            line,
            _running: running,
            alone: version < http::Version::HTTP_2,
        }
    }

    /// Turns the body of the answer into one that is never ended short.
    pub(super) fn body(self, body: answer::Body, flight: Option<flights::Flight>) -> poem::Body {
        match body {
            answer::Body::Whole(bytes) => bytes.into(),
            body => poem::Body::from_bytes_stream(Outgoing {
                body: Some(body),
                gone: Box::pin(self.line.gone().clone().cancelled_owned()),
                exchange: self,
                _flight: flight,
            }),
        }
    }
}

/// A body that resets the caller's connection if it breaks off, and ends with it.
#[derive(Debug)]
struct Outgoing {
    body: Option<answer::Body>,
    gone: Pin<Box<WaitForCancellationFutureOwned>>,
    exchange: Exchange,
    _flight: Option<flights::Flight>,
}

impl Outgoing {
    /// Drops the body, which cancels the request, and resets the connection.
    fn cut(&mut self, error: io::Error) -> task::Poll<Option<io::Result<Bytes>>> {
        self.body = None;
        if self.exchange.alone {
            self.exchange.line.cut();
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
        if self.gone.as_mut().poll(context).is_ready() {
            return self.cut(io::ErrorKind::ConnectionAborted.into());
        }
        let Some(body) = &mut self.body else {
            return task::Poll::Ready(None);
        };
        match task::ready!(Pin::new(body).poll_next(context)) {
            Some(Err(error)) => self.cut(error),
            Some(Ok(bytes)) => task::Poll::Ready(Some(Ok(bytes))),
            None => {
                self.body = None;
                task::Poll::Ready(None)
            }
        }
    }
}
