//! Metrics, exported in the text format of Prometheus.

use error_stack::{Report, ResultExt as _};
use opentelemetry::metrics as otel;
use opentelemetry::metrics::MeterProvider as _;
use opentelemetry_sdk::metrics::{SdkMeterProvider, Stream};
use prometheus::Encoder as _;

use crate::{label, process};

/// Maximum number of series of a metric. Measurements with further label values are counted in
/// one overflow series.
pub const MAX_SERIES: usize = 512;

/// Upper bounds of latency histograms, in seconds.
///
/// They are dense around 12 ms, the target for the 99th percentile of response times.
pub const LATENCY_S: &[f64] = &[
    0.000_25, 0.000_5, 0.001, 0.002, 0.003, 0.004, 0.006, 0.008, 0.010, 0.012, 0.016, 0.025, 0.05,
    0.1, 0.25, 0.5, 1.0, 2.0, 5.0, 10.0, 60.0,
];

/// Upper bounds of size histograms, in bytes.
pub const SIZE_BYTES: &[f64] = &[
    64.0,
    256.0,
    1_024.0,
    4_096.0,
    16_384.0,
    65_536.0,
    262_144.0,
    1_048_576.0,
    4_194_304.0,
    16_777_216.0,
    67_108_864.0,
];

/// Error that occurs while metrics are set up or rendered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The exporter could not be set up.
    #[error("failed to set up the metrics exporter")]
    Exporter,
    /// The metrics could not be encoded as text.
    #[error("failed to encode the metrics as text")]
    Text,
}

/// All metrics of a process.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: prometheus::Registry,
    // The meter stops recording when its provider is dropped.
    _provider: SdkMeterProvider,
    meter: otel::Meter,
}

impl Metrics {
    /// Content type of the text that [`Metrics::render`] returns.
    pub const CONTENT_TYPE: &str = "text/plain; version=0.0.4";

    /// Creates a set of metrics that contains only the processor time and memory of this process.
    ///
    /// # Errors
    ///
    /// Fails if the exporter cannot be set up.
    ///
    /// # Examples
    ///
    /// ```
    /// use sequoiayoke_telemetry::{label, metrics};
    ///
    /// let metrics = metrics::Metrics::new().expect("the exporter starts");
    /// let moves = metrics.counter("moves", "Planned moves of slices.");
    /// moves.add(2, &label::Set::new([label::Label::Cause("drain")]));
    /// let text = metrics.render().expect("the metrics are text");
    /// assert!(text.contains("sequoiayoke_moves_total{cause=\"drain\"} 2"));
    /// ```
    pub fn new() -> Result<Self, Report<Error>> {
        let registry = prometheus::Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .with_namespace("sequoiayoke")
            .without_target_info()
            .scope_info_enabled(false)
            .build()
            .change_context(Error::Exporter)?;
        let provider = SdkMeterProvider::builder()
            .with_reader(exporter)
            .with_view(|_: &opentelemetry_sdk::metrics::Instrument| {
                Stream::builder()
                    .with_cardinality_limit(MAX_SERIES)
                    .build()
                    .ok()
            })
            .build();
        let meter = provider.meter("sequoiayoke");
        process::register(&meter);
        Ok(Self {
            registry,
            _provider: provider,
            meter,
        })
    }

    /// Creates a counter. The suffix `_total` is added to its name.
    pub fn counter(&self, name: &'static str, description: &'static str) -> Counter {
        Counter(
            self.meter
                .u64_counter(name)
                .with_description(description)
                .build(),
        )
    }

    /// Creates a histogram with the unit `unit` and the upper bounds `bounds`.
    pub fn histogram(
        &self,
        name: &'static str,
        description: &'static str,
        unit: &'static str,
        bounds: &[f64],
    ) -> Histogram {
        let builder = self.meter.f64_histogram(name).with_description(description);
        Histogram(
            builder
                .with_unit(unit)
                .with_boundaries(bounds.to_vec())
                .build(),
        )
    }

    /// Creates a gauge, whose value can increase and decrease.
    pub fn gauge(&self, name: &'static str, description: &'static str) -> Gauge {
        Gauge(
            self.meter
                .f64_gauge(name)
                .with_description(description)
                .build(),
        )
    }

    /// Returns the current values in the text format of Prometheus.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be encoded as text.
    pub fn render(&self) -> Result<String, Report<Error>> {
        let mut text = Vec::new();
        prometheus::TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .change_context(Error::Text)?;
        String::from_utf8(text).change_context(Error::Text)
    }
}

/// Counter of events.
#[derive(Clone, Debug)]
pub struct Counter(otel::Counter<u64>);

impl Counter {
    /// Adds `events` to the count.
    pub fn add(&self, events: u64, labels: &label::Set) {
        self.0.add(events, labels.key_values());
    }
}

/// Distribution of values.
#[derive(Clone, Debug)]
pub struct Histogram(otel::Histogram<f64>);

impl Histogram {
    /// Records a value.
    pub fn record(&self, value: f64, labels: &label::Set) {
        self.0.record(value, labels.key_values());
    }
}

/// Value that can increase and decrease.
#[derive(Clone, Debug)]
pub struct Gauge(otel::Gauge<f64>);

impl Gauge {
    /// Sets the value.
    pub fn set(&self, value: f64, labels: &label::Set) {
        self.0.record(value, labels.key_values());
    }
}
