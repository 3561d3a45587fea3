//! Commands to the backend server: prepare, grant, revoke.
//!
//! A grant takes effect only when the server has acknowledged it; the coordinator
//! publishes the slice after that.

use std::sync;
use std::time::Duration;

use sequoiayoke_model::clock;
use sequoiayoke_model::id;
use sequoiayoke_model::range;
use sequoiayoke_traffic::health;

use super::Backend;

/// Timeout for the response to a command or a health probe.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum size of the answer of the health endpoint, in bytes.
const MAX_HEALTH_BYTES: usize = 4096;

/// Sends commands to one backend server.
#[derive(Clone, Debug)]
pub struct Commander {
    client: reqwest::Client,
    backend: sync::Arc<Backend>,
    token: sync::Arc<str>,
}

/// Answer of the health endpoint.
#[derive(Debug, serde::Deserialize)]
struct Health {
    healthy: bool,
}

/// Reads the answer of the health endpoint; `None` if it is malformed or too long.
async fn read_health(mut response: reqwest::Response) -> Option<Health> {
    let mut bytes = Vec::new();
    while let Some(part) = response.chunk().await.ok()? {
        if bytes.len() + part.len() > MAX_HEALTH_BYTES {
            return None;
        }
        bytes.extend_from_slice(&part);
    }
    serde_json::from_slice(&bytes).ok()
}

/// The backend server did not acknowledge a command.
#[derive(Clone, Debug, thiserror::Error)]
#[error("the backend server did not acknowledge {command}: {detail}")]
pub struct Error {
    command: &'static str,
    detail: String,
}

impl Commander {
    /// Creates a commander that authenticates its commands by `token`.
    pub const fn new(
        client: reqwest::Client,
        backend: sync::Arc<Backend>,
        token: sync::Arc<str>,
    ) -> Self {
        Self {
            client,
            backend,
            token,
        }
    }

    /// Asks the server to warm up for a range.
    ///
    /// # Errors
    ///
    /// Fails if the server does not acknowledge the command in time.
    pub async fn prepare(&self, service: &str, range: range::Range) -> Result<(), Error> {
        let body = serde_json::json!({
            "service": service,
            "first": range.first.to_string(),
            "last": range.last.to_string(),
        });
        self.send("prepare", &body).await
    }

    /// Grants a range.
    ///
    /// # Errors
    ///
    /// Fails if the server does not acknowledge the command in time.
    pub async fn grant(
        &self,
        service: &str,
        range: range::Range,
        epoch: id::Epoch,
        lease_until: clock::Instant,
    ) -> Result<(), Error> {
        let body = serde_json::json!({
            "service": service,
            "first": range.first.to_string(),
            "last": range.last.to_string(),
            "epoch": epoch.0,
            "lease_until_us": lease_until.as_micros(),
        });
        self.send("grant", &body).await
    }

    /// Revokes a range.
    ///
    /// # Errors
    ///
    /// Fails if the server does not acknowledge the command in time.
    pub async fn revoke(
        &self,
        service: &str,
        range: range::Range,
        epoch: id::Epoch,
    ) -> Result<(), Error> {
        let body = serde_json::json!({
            "service": service,
            "first": range.first.to_string(),
            "last": range.last.to_string(),
            "epoch": epoch.0,
        });
        self.send("revoke", &body).await
    }

    /// Queries the health endpoint.
    pub async fn health(&self) -> health::Probe {
        let url = format!("http://{}/v1/health", self.backend.address);
        let sent = self.client.get(url).timeout(COMMAND_TIMEOUT).send().await;
        let Ok(response) = sent else {
            return health::Probe::Unresponsive;
        };
        match read_health(response).await {
            Some(Health { healthy: true }) => health::Probe::Healthy,
            Some(Health { healthy: false }) => health::Probe::Unhealthy,
            None => health::Probe::Unresponsive,
        }
    }

    async fn send(&self, command: &'static str, body: &serde_json::Value) -> Result<(), Error> {
        let error = |detail: String| Error { command, detail };
        let url = format!("http://{}/v1/{command}", self.backend.address);
        let sent = self
            .client
            .post(url)
            .header("sequoiayoke-sender", self.token.as_ref())
            .json(body)
            .timeout(COMMAND_TIMEOUT)
            .send()
            .await;
        let response = sent.map_err(|cause| error(cause.to_string()))?;
        match response.status() {
            status if status.is_success() => Ok(()),
            status => Err(error(format!("status {status}"))),
        }
    }
}
