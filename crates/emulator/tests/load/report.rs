//! Golden files of the report, and its percentiles.

use std::time::Duration;

use hdrhistogram::Histogram;
use http::Method;

use sequoiayoke_emulator::load::arrival;
use sequoiayoke_emulator::load::audit;
use sequoiayoke_emulator::load::judge::Verdict;
use sequoiayoke_emulator::load::outage;
use sequoiayoke_emulator::load::plan;
use sequoiayoke_emulator::load::process;
use sequoiayoke_emulator::load::report;
use sequoiayoke_emulator::load::tally;
use sequoiayoke_model::key;

fn sample(at_ms: u64, kind: arrival::Kind, verdicts: Vec<Verdict>) -> tally::Sample {
    let arrival = arrival::Arrival {
        at: Duration::from_millis(at_ms),
        kind,
        method: Method::GET,
        service: "s".into(),
        key: "k".into(),
        scope: None,
        body_bytes: 0,
        hot: at_ms.is_multiple_of(2),
        salt: 0,
    };
    let mut sample = tally::Sample::new(&arrival, Duration::from_micros(at_ms));
    sample.latency = Duration::from_micros(100 * at_ms);
    sample.verdicts = verdicts;
    sample
}

fn report(dirty: bool) -> report::Report {
    let mut tally = tally::Tally::new(Duration::from_millis(10));
    for at in 0..1_000 {
        let verdicts = vec![Verdict::Answered(200)];
        tally.add(sample(at, arrival::Kind::Read, verdicts));
    }
    let refused = vec![Verdict::NotRun("overload".into())];
    tally.add(sample(300, arrival::Kind::Write, refused));
    let lost = Verdict::Lost("timeout");
    let mut resent = sample(
        301,
        arrival::Kind::Write,
        vec![lost.clone(), Verdict::Answered(200)],
    );
    (resent.replayed, resent.id) = (true, Some("1-2-3".into()));
    tally.add(resent);
    let mut audit = audit::Result {
        ids: 1,
        ..audit::Result::default()
    };
    if dirty {
        tally.add(sample(400, arrival::Kind::Upload, vec![lost]));
        let mut mixed = sample(401, arrival::Kind::Upload, vec![Verdict::Answered(200)]);
        mixed.wrong.push("key is \"l\", not \"k\"".into());
        tally.add(mixed);
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

/// Guards against a report that hides a fault or counts what it should leave out.
#[test]
fn golden_reports() {
    for (name, dirty) in [("clean", false), ("dirty", true)] {
        let report = report(dirty);
        assert_eq!(report.is_clean(), !dirty);
        assert_eq!(report.is_saturated(), dirty);
        insta::assert_snapshot!(name, report.to_string());
        insta::assert_snapshot!(format!("{name}-json"), report.to_json());
    }
}

/// Guards against percentiles that are off by more than the histogram's precision.
#[test]
fn percentiles_are_exact_to_three_digits() {
    let mut histogram = Histogram::<u64>::new_with_bounds(1, 600_000_000, 3).unwrap();
    for value in 1..=100_000 {
        histogram.record(value).unwrap();
    }
    let latency = report::Latency::new(&histogram);
    for (found, exact) in [
        (latency.p50_us, 50_000.0),
        (latency.p99_us, 99_000.0),
        (latency.p999_us, 99_900.0),
        (latency.max_us, 100_000.0),
    ] {
        assert!((found as f64 / exact - 1.0).abs() < 1e-3, "{found} {exact}");
    }
    assert_eq!(latency.count, 100_000);
}

/// Guards against outages that are cut short by late answers to earlier requests, or
/// that vanish because they never ended.
#[test]
fn outages_last_until_a_later_request_is_answered() {
    let ms = Duration::from_millis;
    let (a, b) = (key::Hash(1), key::Hash(2));
    let mut outages = outage::Outages::default();
    for (place, at, latency, good) in [
        (a, 50, 5, true),
        (a, 100, 5, false),
        (b, 150, 500, false),
        (a, 90, 300, true),
        (a, 80, 5, false),
        (a, 400, 20, true),
    ] {
        outages.add(place, ms(at), ms(latency), good);
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

/// Guards against the fate of a request being read off its last attempt alone.
#[test]
fn fate_covers_all_attempts() {
    let not_run = || Verdict::NotRun("overload".into());
    let lost = || Verdict::Lost("timeout");
    let cases = [
        (vec![], tally::Fate::Unsent),
        (vec![not_run()], tally::Fate::NotRun),
        (vec![lost(), not_run()], tally::Fate::Open),
        (vec![lost(), Verdict::Answered(200)], tally::Fate::Answered),
        (vec![Verdict::Answered(504)], tally::Fate::Open),
    ];
    for (verdicts, fate) in cases {
        assert_eq!(sample(1, arrival::Kind::Write, verdicts).fate(), fate);
    }
}
