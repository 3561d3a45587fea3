//! Tests that a schedule depends on its seed only and has the planned shares, and tests of
//! traces, plans and payloads.

use std::fmt::Write as _;
use std::io::Write as _;
use std::time::Duration;

use rand_chacha::rand_core::SeedableRng as _;

use sequoiayoke_emulator::load;
use sequoiayoke_emulator::load::arrival;
use sequoiayoke_emulator::load::arrival::Source as _;
use sequoiayoke_emulator::load::mix;
use sequoiayoke_emulator::load::payload;
use sequoiayoke_emulator::load::plan;
use sequoiayoke_emulator::load::schedule;
use sequoiayoke_emulator::load::trace;
use sequoiayoke_emulator::load::zipf;

fn plan(seed: u64) -> plan::Plan {
    let target = ([127, 0, 0, 1], 9).into();
    plan::Plan::new(plan::Mode::Straight, vec![target])
        .with_load(1_000.0, Duration::from_secs(5))
        .with_seed(seed)
}

fn arrivals(plan: &plan::Plan) -> Vec<arrival::Arrival> {
    let mut schedule = schedule::Schedule::new(plan);
    std::iter::from_fn(|| schedule.next().unwrap()).collect()
}

fn share<F>(arrivals: &[arrival::Arrival], filter: F) -> f64
where
    F: Fn(&&arrival::Arrival) -> bool,
{
    arrivals.iter().filter(filter).count() as f64 / arrivals.len() as f64
}

/// Guards against schedules that differ for the same seed, also between versions of the
/// tool: the golden file holds the first arrivals.
#[test]
fn equal_seeds_give_equal_schedules() {
    let first = arrivals(&plan(7));
    assert_eq!(first, arrivals(&plan(7)));
    assert_ne!(first, arrivals(&plan(8)));
    let mut text = String::new();
    for arrival in &first[..8] {
        let due = arrival.due.as_micros();
        let (kind, service, key) = (arrival.kind, &arrival.service, &arrival.key);
        writeln!(text, "{due} us {kind} {service}/{key} hot={}", arrival.hot).unwrap();
    }
    insta::assert_snapshot!(text);
}

/// Guards against a rate, a mix or a storm that differs from the plan.
#[test]
fn rate_mix_and_storm_are_as_planned() {
    let mut plan = plan(11);
    plan.storm = Some(plan::Storm {
        start: Duration::from_secs(2),
        share: 0.5,
        keys: 1,
    });
    let arrivals = arrivals(&plan);
    println!("seed {}", plan.seed);
    // The bounds are five standard deviations of the planned distribution.
    assert!((arrivals.len() as f64 - 5_000.0).abs() < 5.0 * 5_000_f64.sqrt());
    assert!((share(&arrivals, |arrival| arrival.service == "photos") - 0.25).abs() < 0.031);
    let uploads = share(&arrivals, |arrival| arrival.kind == arrival::Kind::Upload);
    assert!((uploads - 0.025).abs() < 0.011);
    let start = arrivals.partition_point(|arrival| arrival.due < Duration::from_secs(2));
    let (before, after) = arrivals.split_at(start);
    assert_eq!(share(before, |arrival| arrival.key == "storm-0"), 0.0);
    assert!((share(after, |arrival| arrival.key == "storm-0") - 0.5).abs() < 0.046);
}

/// Guards against a skew that differs from the exponent, also for billions of keys.
#[test]
fn zipf_ranks_have_their_weights() {
    let draws = 100_000;
    for (size, exponent) in [(100, 0.0), (100, 1.0), (6_600_000_000, 0.99)] {
        let zipf = zipf::Zipf::new(size, exponent);
        let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(3);
        let ranks: Vec<u64> = (0..draws).map(|_| zipf.sample(&mut random)).collect();
        assert!(ranks.iter().all(|rank| (1..=size).contains(rank)));
        let weight = |rank: u64| (rank as f64).powf(-exponent);
        // The sum over ranks beyond 10^5 is approximated by an integral.
        let summed_ranks = size.min(100_000);
        let mut total: f64 = (1..=summed_ranks).map(weight).sum();
        if size > summed_ranks {
            let power = |x: f64| x.powf(1.0 - exponent) / (1.0 - exponent);
            total += power(size as f64 + 0.5) - power(summed_ranks as f64 + 0.5);
        }
        for rank in [1, 2, 10] {
            let expected = weight(rank) / total;
            let count = ranks.iter().filter(|drawn| **drawn == rank).count();
            let frequency = count as f64 / f64::from(draws);
            let bound = 5.0 * (expected / f64::from(draws)).sqrt();
            assert!(
                (frequency - expected).abs() < bound,
                "{size} {exponent} {rank}"
            );
        }
    }
}

/// Guards against replaying a part of an invalid trace as if it were complete.
#[test]
fn traces_are_read_strictly() {
    let read = |text: &str| {
        let limit = Duration::from_secs(10);
        let mut trace = trace::Trace::new(text.as_bytes(), 1, limit, 62);
        let mut output = String::new();
        loop {
            match trace.next() {
                Ok(Some(arrival)) => {
                    let scope = arrival.scope.unwrap_or_default();
                    let (due, kind, method) =
                        (arrival.due.as_micros(), arrival.kind, arrival.method);
                    let (service, key, bytes) = (arrival.service, arrival.key, arrival.body_bytes);
                    writeln!(
                        output,
                        "{due} us {kind} {method} {service}/{key} {scope:?} {bytes}"
                    )
                    .unwrap();
                }
                Ok(None) => return output + "end",
                Err(error) => return output + &error.to_string(),
            }
        }
    };
    let complete = r#"{"at_ms":0.5,"method":"GET","service":"s","key":"a"}

{"at_ms":1,"method":"POST","service":"s","key":"b","scope":"m","body_bytes":9}
{"at_ms":2,"method":"PUT","service":"s","key":"c","body_bytes":65536}
{"at_ms":10000,"method":"GET","service":"s","key":"beyond the duration"}
"#;
    let cases = [
        complete,
        "{\"at_ms\":1,",
        "{\"at_ms\":-1,\"method\":\"GET\",\"service\":\"s\",\"key\":\"a\"}",
        "{\"at_ms\":1,\"method\":\"GET\",\"service\":\"s\",\"key\":\"a\",\"typo\":1}",
        "{\"at_ms\":2,\"method\":\"GET\",\"service\":\"s\",\"key\":\"a\"}\n{\"at_ms\":1,\"method\":\"GET\",\"service\":\"s\",\"key\":\"a\"}",
    ];
    insta::assert_snapshot!(cases.map(read).join("\n---\n"));
}

/// Guards against plans that are accepted although they are empty or exceed a limit.
#[test]
fn plans_are_bounded() {
    let valid = plan(1);
    load::Load::new(valid.clone()).unwrap();
    let mut invalid = [valid.clone(), valid.clone(), valid.clone(), valid];
    invalid[0].targets.clear();
    invalid[1].rate = f64::INFINITY;
    invalid[2].rate = 1e9;
    invalid[3].mix = mix::Mix { shares: Vec::new() };
    for plan in invalid {
        assert!(load::Load::new(plan).is_err());
    }
    for text in [
        "",
        "s:1:1:1",
        "s:1:0:0:0",
        "s:1:1:1:1:1",
        "s:-1:1:1:1",
        "s:NaN:1:1:1",
    ] {
        text.parse::<mix::Share>().unwrap_err();
    }
}

/// Guards against a digest that differs from the digest of the bytes that are sent.
#[tokio::test]
async fn payload_digest_matches_the_sent_bytes() {
    use futures_util::StreamExt as _;
    let payload = payload::Payload {
        salt: 5,
        length: 40_001,
    };
    let mut sent = Vec::new();
    let mut chunks = Box::pin(payload.stream(Duration::ZERO));
    while let Some(Ok(chunk)) = chunks.next().await {
        sent.write_all(&chunk).unwrap();
    }
    assert_eq!(sent, payload.bytes());
    assert_eq!(sent.len(), 40_001);
    let digest = xxhash_rust::xxh3::xxh3_64(&sent);
    assert_eq!(payload.digest(), format!("{digest:016x}"));
}
