//! Conversion of answers into HTTP responses.

use std::net;

use bytes::Bytes;
use poem::http::StatusCode;
use sequoiayoke_model::outcome;

use super::outgoing;
use crate::traffic::answer;

/// Delay in seconds after which a caller may retry a request that did not run.
const RETRY_AFTER_S: u64 = 1;

/// Hop-by-hop headers, which are not passed on.
const DROPPED: [&str; 5] = [
    "connection",
    "keep-alive",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns the HTTP status for an outcome, as `docs/protocol.md` lists them.
fn status(outcome: outcome::Outcome) -> StatusCode {
    use outcome::Reason;
    match outcome {
        outcome::Outcome::Answered(status) => {
            StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY)
        }
        outcome::Outcome::NotRun(reason) => match reason {
            Reason::BadRequest => StatusCode::BAD_REQUEST,
            Reason::Unauthorized => StatusCode::UNAUTHORIZED,
            Reason::UnknownService => StatusCode::NOT_FOUND,
            Reason::DuplicateRunning => StatusCode::CONFLICT,
            Reason::Overload => StatusCode::TOO_MANY_REQUESTS,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        },
        outcome::Outcome::Unknown(Reason::IdTooOld | Reason::AnswerNotKept) => StatusCode::CONFLICT,
        outcome::Outcome::Unknown(_) => StatusCode::GATEWAY_TIMEOUT,
    }
}

/// Converts an answer into an HTTP response.
pub(super) fn response(
    answer: answer::Answer,
    id: Option<String>,
    owner: Option<net::SocketAddr>,
    exchange: outgoing::Exchange,
) -> poem::Response {
    let mut builder = poem::Response::builder()
        .status(status(answer.outcome))
        .header("sequoiayoke-outcome", answer.outcome.as_str());
    let headers = answer.headers.iter();
    let passed_on = headers
        .filter(|(name, _)| !DROPPED.contains(&name.as_str()) && !name.starts_with("sequoiayoke-"));
    for (name, value) in passed_on {
        builder = builder.header(name, value.as_ref());
    }
    if let Some(reason) = answer.outcome.reason() {
        builder = builder.header("sequoiayoke-reason", reason.as_str());
    }
    if matches!(answer.outcome, outcome::Outcome::NotRun(_)) {
        builder = builder.header("retry-after", RETRY_AFTER_S);
    }
    if let Some(owner) = owner {
        builder = builder.header("sequoiayoke-owner", owner.to_string());
    }
    if let Some(epoch) = answer.epoch {
        builder = builder.header("sequoiayoke-epoch", epoch.0);
    }
    if let Some(id) = id {
        builder = builder.header("sequoiayoke-request-id", id);
    }
    if !answer.server.is_empty() {
        builder = builder.header("sequoiayoke-server", &answer.server);
    }
    if answer.replayed {
        builder = builder.header("sequoiayoke-replayed", "true");
    }
    builder.body(exchange.body(answer.body, answer.in_flight))
}

/// Creates the response to a caller that has disconnected; it is not delivered.
pub(super) fn cancelled() -> poem::Response {
    let outcome = outcome::Outcome::Unknown(outcome::Reason::Cancelled);
    poem::Response::builder().status(status(outcome)).finish()
}

/// Converts a problem of the request into an HTTP response.
pub(super) fn problem(reason: outcome::Reason, detail: &str) -> poem::Response {
    let outcome = outcome::Outcome::NotRun(reason);
    let body = serde_json::json!({ "error": reason.as_str(), "detail": detail });
    poem::Response::builder()
        .status(status(outcome))
        .header("sequoiayoke-outcome", outcome.as_str())
        .header("sequoiayoke-reason", reason.as_str())
        .content_type("application/json")
        .body(Bytes::from(body.to_string()))
}
