//! Metrics of a control replica against the page that lists them.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use sequoiayoke_control::measure;

const PAGE: &str = include_str!("../../../docs/metrics.md");

/// Returns the names and types of the metrics that the page lists for a kind of process.
fn listed(section: &str) -> BTreeMap<String, String> {
    let sections = PAGE.split("\n## ");
    let wanted = sections.filter(|text| text.starts_with(section) || text.starts_with("Every"));
    let rows = wanted.flat_map(str::lines).filter_map(|line| {
        let (name, rest) = line.strip_prefix("| `")?.split_once("` | ")?;
        Some((name.to_owned(), rest.split_once(" |")?.0.to_owned()))
    });
    rows.collect()
}

/// Returns the names and types of the metrics in a rendered text.
fn rendered(text: &str) -> BTreeMap<String, String> {
    let lines = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let pairs = lines.filter_map(|line| line.split_once(' '));
    pairs
        .map(|(name, kind)| (name.into(), kind.into()))
        .collect()
}

fn figures(leads: bool) -> measure::Figures {
    let service = measure::Service {
        name: "refunds".to_owned(),
        slices: 16,
        vacant: u64::from(leads) * 2,
        imbalance: if leads { 1.25 } else { 0.0 },
        unavailable_ms: u64::from(leads) * 40,
    };
    measure::Figures {
        leads,
        term: 3,
        commit: 90,
        version: 88,
        live: if leads { 5 } else { 0 },
        behind: usize::from(leads),
        sessions: if leads { 6 } else { 0 },
        services: vec![service],
    }
}

/// Guards against metrics that are missing on the page, and rows of metrics that no longer exist.
#[test]
fn the_page_lists_every_metric() {
    let measure = measure::Measure::new().unwrap();
    measure.placed("move", "draining");
    measure.assigned("refunds", 1);
    measure.ticket("accepted");
    let text = measure.render(&figures(true)).unwrap();
    assert_eq!(rendered(&text), listed("Control"), "{text}");
}

/// Guards against a former leader whose metrics still show its state as a leader.
#[test]
fn a_former_leader_shows_no_old_state() {
    let measure = measure::Measure::new().unwrap();
    measure.render(&figures(true)).unwrap();
    let text = measure.render(&figures(false)).unwrap();
    for line in [
        "sequoiayoke_leads 0",
        "sequoiayoke_live_nodes 0",
        "sequoiayoke_vacant_slices{service=\"refunds\"} 0",
        "sequoiayoke_unavailable_slice_ms_total{service=\"refunds\"} 40",
    ] {
        assert!(
            text.lines().any(|rendered| rendered == line),
            "no {line} in\n{text}"
        );
    }
}
