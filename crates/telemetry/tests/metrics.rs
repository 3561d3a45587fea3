//! Metrics: text output, bounded numbers of series, measurements of the process.

#![allow(clippy::unwrap_used)]

use sequoiayoke_model::outcome;
use sequoiayoke_telemetry::{label, metrics};

fn value(text: &str, series: &str) -> f64 {
    let line = text.lines().find(|line| line.starts_with(series));
    let line = line.unwrap_or_else(|| panic!("no {series} in\n{text}"));
    line.rsplit_once(' ').unwrap().1.parse().unwrap()
}

/// Guards against an unbounded number of series when label values come from outside.
#[test]
fn the_number_of_series_is_bounded() {
    let metrics = metrics::Metrics::new().unwrap();
    let counter = metrics.counter("requests", "Requests.");
    let service_count = 2 * metrics::MAX_SERIES;
    for number in 0..service_count {
        let name = format!("service-{number}");
        counter.add(1, &label::Set::new([label::Label::Service(&name)]));
    }
    let text = metrics.render().unwrap();
    let series = text
        .lines()
        .filter(|line| line.starts_with("sequoiayoke_requests_total{"));
    assert!(series.count() <= metrics::MAX_SERIES + 1);
    let overflow = value(
        &text,
        "sequoiayoke_requests_total{otel_metric_overflow=\"true\"",
    );
    assert!(
        overflow >= (service_count - metrics::MAX_SERIES) as f64,
        "{overflow}"
    );
}

/// Guards against histograms with the default bounds of the library, whose first bound is 5 s.
#[test]
fn histograms_keep_their_bounds() {
    let metrics = metrics::Metrics::new().unwrap();
    let latency = metrics.histogram("latency", "Latency.", "s", metrics::LATENCY_S);
    let answered = outcome::Outcome::Answered(200);
    let labels = label::Set::new([label::Label::Outcome(answered)]);
    latency.record(0.0125, &labels);
    let text = metrics.render().unwrap();
    let bucket = |bound: &str| {
        let series =
            format!("sequoiayoke_latency_seconds_bucket{{outcome=\"answered\",le=\"{bound}\"}}");
        value(&text, &series)
    };
    assert_eq!((bucket("0.012"), bucket("0.016")), (0.0, 1.0));
}

/// Guards against gauges that cannot decrease.
#[test]
fn gauges_can_decrease() {
    let metrics = metrics::Metrics::new().unwrap();
    let gauge = metrics.gauge("in_flight", "Requests in flight.");
    gauge.set(7.0, &label::Set::empty());
    gauge.set(3.0, &label::Set::empty());
    let text = metrics.render().unwrap();
    assert_eq!(value(&text, "sequoiayoke_in_flight "), 3.0, "{text}");
}

/// Guards against measurements of the process that are missing or in the wrong unit.
#[test]
fn the_process_is_measured() {
    let metrics = metrics::Metrics::new().unwrap();
    let text = metrics.render().unwrap();
    let memory = value(&text, "sequoiayoke_process_resident_memory_bytes ");
    // A test process is larger than 256 KiB and smaller than 4 GiB.
    assert!((262_144.0..4_294_967_296.0).contains(&memory), "{memory}");
    assert!(value(&text, "sequoiayoke_process_cpu_seconds_total ") >= 0.0);
    assert!(
        text.contains("sequoiayoke_thread_cpu_seconds{thread="),
        "{text}"
    );
}
