//! HTTP for the collector of metrics: `GET /metrics`.

use std::sync;

use poem::http::{Method, StatusCode};
use sequoiayoke_telemetry::metrics;

use super::Path;

/// Endpoint for the collector of metrics.
#[derive(Clone, Debug)]
pub struct Scrape {
    path: sync::Arc<Path>,
}

impl Scrape {
    /// Makes the endpoint.
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
                tracing::error!(?report, "the metrics could not be rendered");
                Ok(StatusCode::INTERNAL_SERVER_ERROR.into())
            }
            None => Ok(StatusCode::NOT_FOUND.into()),
        }
    }
}
