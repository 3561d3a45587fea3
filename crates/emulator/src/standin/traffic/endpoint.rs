//! Dispatch of HTTP requests to the handlers of commands, faults and requests.

use std::sync;

use http::StatusCode;
use http::header;

use crate::standin::traffic;

/// Header with the number that a node gives to an exchange.
const EXCHANGE: &str = "sequoiayoke-exchange";

/// Entry point of every HTTP request.
#[derive(Clone, Debug)]
pub(super) struct Endpoint {
    traffic: sync::Arc<traffic::Traffic>,
}

impl Endpoint {
    pub(super) const fn new(traffic: sync::Arc<traffic::Traffic>) -> Self {
        Self { traffic }
    }
}

impl poem::Endpoint for Endpoint {
    type Output = poem::Response;

    async fn call(&self, request: poem::Request) -> poem::Result<poem::Response> {
        let path = request.uri().path().to_owned();
        let response = if let Some(path) = path.strip_prefix("/s/") {
            let closed = self.traffic.connections.closed(request.remote_addr());
            let exchange = request.headers().get(EXCHANGE).cloned();
            let mut response = tokio::select! {
                response = self.traffic.run_request(path, request) => response,
                // The client cannot receive this response; returning cancels the request.
                () = closed.cancelled() => error(StatusCode::REQUEST_TIMEOUT, "cancelled", path),
            };
            if let Some(exchange) = exchange {
                response.headers_mut().insert(EXCHANGE, exchange);
            }
            response
        } else if let Some(name) = path.strip_prefix("/fault/v1/") {
            self.traffic.run_fault(name, request).await
        } else if let Some(name) = path.strip_prefix("/v1/") {
            self.traffic.run_command(name, request).await
        } else {
            error(StatusCode::NOT_FOUND, "unknown-path", &path)
        };
        Ok(response)
    }
}

/// Returns a response with a JSON body.
pub(super) fn json<T>(status: StatusCode, body: &T) -> poem::Response
where
    T: serde::Serialize,
{
    let body = serde_json::to_vec(body).expect("response bodies have string keys and plain fields");
    poem::Response::builder()
        .status(status)
        .header(header::CONTENT_TYPE, "application/json")
        .body(body)
}

/// Returns a response with an error.
pub(super) fn error(status: StatusCode, error: &str, detail: &str) -> poem::Response {
    json(
        status,
        &serde_json::json!({ "error": error, "detail": detail }),
    )
}
