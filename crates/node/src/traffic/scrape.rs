//! HTTP endpoint for metrics: `GET /metrics`.

use std::sync;

use poem::http::{Method, StatusCode};
use sequoiayoke_telemetry::metrics;

use super::Path;

/// Endpoint that serves the metrics.
#[derive(Clone, Debug)]
pub struct Scrape {
    path: sync::Arc<Path>,
}

impl Scrape {
    /// Creates the endpoint for the metrics of `path`.
    pub const fn new(path: sync::Arc<Path>) -> Self {
        Self { path }
    }
}

impl poem::Endpoint for Scrape {
    type Output = poem::Response;

    async fn call(&self, http: poem::Request) -> poem::Result<poem::Response> {
        if http.method() != Method::GET || http.uri().path() != "/metrics" {
            return Ok(StatusCode::NOT_FOUND.into());
        }
        match self.path.render() {
            Some(Ok(text)) => Ok(poem::Response::builder()
                .content_type(metrics::Metrics::CONTENT_TYPE)
                .body(text)),
            Some(Err(report)) => {
                tracing::error!(?report, "failed to render the metrics");
                Ok(StatusCode::INTERNAL_SERVER_ERROR.into())
            }
            None => Ok(StatusCode::NOT_FOUND.into()),
        }
    }
}
