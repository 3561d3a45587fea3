//! Requests of callers to nodes.

use std::time::Duration;

use serde_json::Value;

use crate::Error;

/// Timeout of a request of the harness.
const TIMEOUT: Duration = Duration::from_secs(15);

/// Creates an HTTP client that never retries a request.
///
/// # Errors
///
/// Fails if the client cannot be built.
pub fn client() -> Result<reqwest::Client, Error> {
    let client = reqwest::Client::builder()
        .no_proxy()
        .retry(reqwest::retry::never())
        .timeout(TIMEOUT)
        .build()?;
    Ok(client)
}

/// An answer as the caller sees it.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// `answered`, `not-run` or `unknown`; empty if the connection failed.
    pub outcome: String,
    /// Reason of the outcome; empty if it is `answered`.
    pub reason: String,
    /// Name of the backend server that answered.
    pub server: String,
    /// Epoch under which the request ran.
    pub epoch: u64,
    /// Request id.
    pub request: String,
    /// Whether it is the stored answer of an earlier execution.
    pub replayed: bool,
    /// The body, if it is JSON.
    pub body: Value,
}

/// Sends a request to the node at `address`, with the request id `request` if there is one.
///
/// # Errors
///
/// Fails if there is no complete answer.
pub async fn send(
    http: &reqwest::Client,
    address: &str,
    method: reqwest::Method,
    path: &str,
    request: Option<&str>,
    deadline: Duration,
) -> Result<Answer, Error> {
    let mut builder = http
        .request(method, format!("http://{address}{path}"))
        .header("sequoiayoke-deadline-ms", deadline.as_millis() as u64);
    if let Some(request) = request {
        builder = builder.header("sequoiayoke-request-id", request);
    }
    let answer = builder.send().await?;
    let header = |name: &str| {
        let value = answer.headers().get(name);
        let text = value.and_then(|value| value.to_str().ok());
        text.unwrap_or("").to_owned()
    };
    let (outcome, reason) = (header("sequoiayoke-outcome"), header("sequoiayoke-reason"));
    let (server, epoch) = (header("sequoiayoke-server"), header("sequoiayoke-epoch"));
    let (request, replayed) = (
        header("sequoiayoke-request-id"),
        header("sequoiayoke-replayed"),
    );
    let status = answer.status().as_u16();
    let bytes = answer.bytes().await?;
    Ok(Answer {
        status,
        outcome,
        reason,
        server,
        epoch: epoch.parse().unwrap_or(0),
        request,
        replayed: replayed == "true",
        body: serde_json::from_slice(&bytes).unwrap_or(Value::Null),
    })
}

/// Obtains a new request id from the node at `address`.
///
/// # Errors
///
/// Fails if the node does not issue one.
pub async fn request_id(
    http: &reqwest::Client,
    address: &str,
    service: &str,
    key: &str,
) -> Result<String, Error> {
    let url = format!("http://{address}/v1/request-ids/{service}/{key}");
    let body: Value = http.post(url).send().await?.json().await?;
    let id = body["request_id"].as_str();
    id.map(str::to_owned)
        .ok_or_else(|| Error::Timeout(format!("a request id: {body}")))
}
