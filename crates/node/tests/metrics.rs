//! Metrics of the node, compared with the documentation that lists them.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::time::Duration;

use sequoiayoke_model::{clock, id, key, outcome, view};
use sequoiayoke_node::{measure, published};

const PAGE: &str = include_str!("../../../docs/metrics.md");

/// Returns the names and types of the metrics that the page lists for a kind of process.
fn documented(section: &str) -> BTreeMap<String, String> {
    let sections = PAGE.split("\n## ");
    let matching = sections.filter(|text| text.starts_with(section) || text.starts_with("Every"));
    let rows = matching.flat_map(str::lines).filter_map(|line| {
        let (name, rest) = line.strip_prefix("| `")?.split_once("` | ")?;
        Some((name.to_owned(), rest.split_once(" |")?.0.to_owned()))
    });
    rows.collect()
}

/// Returns the names and types of the metrics in Prometheus text.
fn rendered(text: &str) -> BTreeMap<String, String> {
    let lines = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let pairs = lines.filter_map(|line| line.split_once(' '));
    pairs
        .map(|(name, kind)| (name.into(), kind.into()))
        .collect()
}

fn snapshot() -> published::Snapshot {
    let mut view = view::View::new();
    let service = view::Service {
        name: "refunds".to_owned(),
        idempotent: Vec::new(),
        scoped: false,
    };
    let slice = sequoiayoke_model::table::Slice {
        start: key::Hash::MIN,
        holder: None,
    };
    let changes = [
        view::Change::Service(id::Service(1), service),
        view::Change::Slice(id::Service(1), slice),
    ];
    view.apply(id::Version(7), changes);
    published::Snapshot {
        view: view.into(),
        lease_until: clock::Instant::from_micros(700_000),
        ..published::Snapshot::default()
    }
}

fn recorded() -> (measure::Measure, String) {
    let measure = measure::Measure::new().unwrap();
    let (service, name, time) = (id::Service(1), "refunds", Duration::from_millis(3));
    let vacant = outcome::Outcome::NotRun(outcome::Reason::Vacant);
    measure.record_request(service, name, outcome::Outcome::Answered(200), time, false);
    measure.record_request(service, name, vacant, time, true);
    measure.record_forward(service, name);
    measure.record_retry(service, name);
    measure.record_rejection(outcome::Reason::BadRequest);
    let load = measure::Load {
        running: 3,
        queued: 2,
        vacant: 1,
    };
    let now = clock::Instant::from_micros(200_000);
    let text = measure.render(now, &snapshot(), load).unwrap();
    (measure, text)
}

/// Guards against metrics that are not documented, and documented ones that no longer exist.
#[test]
fn documentation_lists_every_metric() {
    let (_measure, text) = recorded();
    assert_eq!(rendered(&text), documented("Node"), "{text}");
}

/// Guards against requests that are counted under another outcome or reason.
#[test]
fn values_and_labels_match_recorded_requests() {
    let (_measure, text) = recorded();
    for line in [
        "sequoiayoke_requests_total{outcome=\"answered\",service=\"refunds\"} 1",
        "sequoiayoke_peer_requests_total{outcome=\"not-run\",reason=\"vacant\",service=\"refunds\"} 1",
        "sequoiayoke_waiting_requests{cause=\"server\"} 2",
        "sequoiayoke_waiting_requests{cause=\"vacant\"} 1",
        "sequoiayoke_running_requests 3",
        "sequoiayoke_lease_left_ms 500",
        "sequoiayoke_view_version 7",
        "sequoiayoke_owned_slices{service=\"refunds\"} 0",
    ] {
        assert!(
            text.lines().any(|rendered| rendered == line),
            "no {line} in\n{text}"
        );
    }
}

/// Guards against a number of labels that grows without bound as services are added and
/// removed.
#[test]
fn number_of_service_labels_is_bounded() {
    let measure = measure::Measure::new().unwrap();
    for number in 0..2_000 {
        let name = format!("service-{number}");
        measure.record_forward(id::Service(number), &name);
    }
    let load = measure::Load::default();
    let text = measure.render(clock::Instant::from_micros(0), &snapshot(), load);
    let text = text.unwrap();
    let series = text
        .lines()
        .filter(|line| line.starts_with("sequoiayoke_forwarded"));
    assert!(series.count() <= 65, "{text}");
    let other = text.lines().find(|line| line.contains("\"other\""));
    let other = other.unwrap();
    assert!(other.ends_with(" 1936"), "{other}");
}
