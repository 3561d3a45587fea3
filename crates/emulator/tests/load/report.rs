//! Tests of the report: golden files, percentiles, outages and the status of a request.

use std::time::Duration;

use hdrhistogram::Histogram;
use http::Method;

use sequoiayoke_emulator::load::arrival;
use sequoiayoke_emulator::load::audit;
use sequoiayoke_emulator::load::outage;
use sequoiayoke_emulator::load::plan;
use sequoiayoke_emulator::load::process;
use sequoiayoke_emulator::load::report;
use sequoiayoke_emulator::load::response::Outcome;
use sequoiayoke_emulator::load::tally;
use sequoiayoke_model::key;

fn sample(due_ms: u64, kind: arrival::Kind, outcomes: Vec<Outcome>) -> tally::Sample {
    let arrival = arrival::Arrival {
        due: Duration::from_millis(due_ms),
        kind,
        method: Method::GET,
        service: "s".into(),
        key: "k".into(),
        scope: None,
        body_bytes: 0,
        hot: due_ms.is_multiple_of(2),
        salt: 0,
    };
    let mut sample = tally::Sample::new(&arrival, Duration::from_micros(due_ms));
    sample.latency = Duration::from_micros(100 * due_ms);
    sample.outcomes = outcomes;
    sample
}

fn report(dirty: bool) -> report::Report {
    let mut tally = tally::Tally::new(Duration::from_millis(10));
    for due_ms in 0..1_000 {
        let outcomes = vec![Outcome::Answered(200)];
        tally.add(sample(due_ms, arrival::Kind::Read, outcomes));
    }
    let refused = vec![Outcome::NotRun("overload".into())];
    tally.add(sample(300, arrival::Kind::Write, refused));
    let lost = Outcome::Lost("timeout");
    let mut retried = sample(
        301,
        arrival::Kind::Write,
        vec![lost.clone(), Outcome::Answered(200)],
    );
    (retried.replayed, retried.id) = (true, Some("1-2-3".into()));
    tally.add(retried);
    let mut audit = audit::Result {
        ids: 1,
        ..audit::Result::default()
    };
    if dirty {
        tally.add(sample(400, arrival::Kind::Upload, vec![lost]));
        let mut mismatched = sample(401, arrival::Kind::Upload, vec![Outcome::Answered(200)]);
        mismatched.violations.push("key is \"l\", not \"k\"".into());
        tally.add(mismatched);
        audit.doubled.count = 1;
        audit.doubled.examples.push("1-2-3".into());
        audit.gaps.push("127.0.0.1:9 was restarted".into());
    }
    tally.into_report(report::Frame {
        mode: plan::Mode::Nodes,
        seed: 7,
        targets: 3,
        seconds: 2.0,
        offered: 1_003,
        dropped: u64::from(dirty),
        processes: vec![process::Cost {
            pid: 42,
            us_per_request: 31.25,
            cores: 0.5,
        }],
        audit: Some(audit),
    })
}

/// Guards against a report that hides a fault, or that includes latencies of the warm-up.
#[test]
fn clean_and_dirty_reports_match_golden_files() {
    for (name, dirty) in [("clean", false), ("dirty", true)] {
        let report = report(dirty);
        assert_eq!(report.is_clean(), !dirty);
        assert_eq!(report.is_saturated(), dirty);
        insta::assert_snapshot!(name, report.to_string());
        insta::assert_snapshot!(format!("{name}-json"), report.to_json());
    }
}

/// Guards against percentiles whose error exceeds the precision of the histogram.
#[test]
fn percentiles_are_exact_to_three_digits() {
    let mut histogram = Histogram::<u64>::new_with_bounds(1, 600_000_000, 3).unwrap();
    for value in 1..=100_000 {
        histogram.record(value).unwrap();
    }
    let latency = report::Latency::new(&histogram);
    for (measured, exact) in [
        (latency.p50_us, 50_000.0),
        (latency.p99_us, 99_000.0),
        (latency.p999_us, 99_900.0),
        (latency.max_us, 100_000.0),
    ] {
        assert!(
            (measured as f64 / exact - 1.0).abs() < 1e-3,
            "{measured} {exact}"
        );
    }
    assert_eq!(latency.count, 100_000);
}

/// Guards against outages that end too early because of a late response to a request that
/// was due before them, and against outages that are omitted because they never ended.
#[test]
fn outages_last_until_a_later_request_is_answered() {
    let ms = Duration::from_millis;
    let (first, second) = (key::Hash(1), key::Hash(2));
    let mut outages = outage::Outages::default();
    for (key_hash, due_ms, latency, answered) in [
        (first, 50, 5, true),
        (first, 100, 5, false),
        (second, 150, 500, false),
        (first, 90, 300, true),
        (first, 80, 5, false),
        (first, 400, 20, true),
    ] {
        outages.record(key_hash, ms(due_ms), ms(latency), answered);
    }
    let expected = outage::Summary {
        ended: 1,
        longest_ms: 340,
        open: 1,
        longest_open_ms: 500,
        missed: 0,
    };
    assert_eq!(outages.summary(), expected);
}

/// Guards against deriving the status of a request from its last attempt alone. A request
/// whose first response was lost may have run, even if the retry was refused.
#[test]
fn status_covers_all_attempts() {
    let not_run = || Outcome::NotRun("overload".into());
    let lost = || Outcome::Lost("timeout");
    let cases = [
        (vec![], tally::Status::Unsent),
        (vec![not_run()], tally::Status::NotRun),
        (vec![lost(), not_run()], tally::Status::Unknown),
        (
            vec![lost(), Outcome::Answered(200)],
            tally::Status::Answered,
        ),
        (vec![Outcome::Answered(504)], tally::Status::Unknown),
    ];
    for (outcomes, status) in cases {
        assert_eq!(sample(1, arrival::Kind::Write, outcomes).status(), status);
    }
}
