//! Log lines and metrics of the requests on the path.

use std::sync;
use std::sync::atomic;
use std::time::Duration;

use sequoiayoke_model::clock;
use sequoiayoke_telemetry::{decision, metrics};

use super::Path;
use crate::measure;
use crate::traffic::answer;
use crate::traffic::request;
use crate::traffic::server;

impl<C, S> Path<C, S>
where
    C: clock::Clock + Send + Sync + 'static,
    S: server::Dispatch,
{
    /// Sets the metrics in which requests are counted.
    #[must_use]
    pub fn with_measure(mut self, measure: Option<sync::Arc<measure::Measure>>) -> Self {
        self.measure = measure;
        self
    }

    /// Returns the metrics, if this node collects them.
    pub fn measure(&self) -> Option<&measure::Measure> {
        self.measure.as_deref()
    }

    /// Returns the metrics as Prometheus text, if this node collects them.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be written as text.
    pub fn render(&self) -> Option<Result<String, error_stack::Report<metrics::Error>>> {
        let measure = self.measure.as_ref()?;
        let target = self.target.load();
        let target = target.as_ref().map(|target| target.admission.load());
        let (running, queued) = target.unwrap_or_default();
        let load = measure::Load {
            running,
            queued,
            vacant: self.waiting.load(atomic::Ordering::Relaxed),
        };
        Some(measure.render(self.clock.now(), &self.published.load(), load))
    }

    /// Logs and counts a request that has ended.
    pub(super) fn record_end(
        &self,
        view: &request::View<'_>,
        answer: &answer::Answer,
        elapsed: Duration,
    ) {
        let snapshot = self.published.load();
        let service = snapshot.view.service_by_id(view.service);
        let service = service.map_or("", |service| service.name.as_str());
        if let Some(measure) = &self.measure {
            let is_forwarded = view.forwarded.is_some();
            measure.record_request(view.service, service, answer.outcome, elapsed, is_forwarded);
        }
        decision::Route {
            service,
            hash: view.hash,
            owner: Some(answer.server.as_str()).filter(|name| !name.is_empty()),
            epoch: answer.epoch,
            outcome: answer.outcome,
            elapsed,
            request: view.id,
        }
        .log();
    }

    /// Counts an attempt that is forwarded to the owner's node.
    pub(super) fn count_forward(&self, view: &request::View<'_>) {
        if let Some(measure) = &self.measure {
            measure.record_forward(view.service, &self.service_name(view));
        }
    }

    /// Counts a retry.
    pub(super) fn count_retry(&self, view: &request::View<'_>) {
        if let Some(measure) = &self.measure {
            measure.record_retry(view.service, &self.service_name(view));
        }
    }

    fn service_name(&self, view: &request::View<'_>) -> String {
        let snapshot = self.published.load();
        let service = snapshot.view.service_by_id(view.service);
        service.map_or_else(String::new, |service| service.name.clone())
    }
}
