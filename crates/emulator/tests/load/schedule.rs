//! Schedules must follow from the seed alone, with the stated shares.

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

/// Guards against a seed that does not reproduce its run, also in later versions.
#[test]
fn equal_seeds_give_equal_schedules() {
    let first = arrivals(&plan(7));
    assert_eq!(first, arrivals(&plan(7)));
    assert_ne!(first, arrivals(&plan(8)));
    let mut text = String::new();
    for arrival in &first[..8] {
        let at = arrival.at.as_micros();
        let (kind, service, key) = (arrival.kind, &arrival.service, &arrival.key);
        writeln!(text, "{at} us {kind} {service}/{key} hot={}", arrival.hot).unwrap();
    }
    insta::assert_snapshot!(text);
}

/// Guards against a rate, a mix or a storm that is not what the plan says.
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
    // Bounds of five standard deviations of the stated distribution.
    assert!((arrivals.len() as f64 - 5_000.0).abs() < 5.0 * 5_000_f64.sqrt());
    assert!((share(&arrivals, |a| a.service == "photos") - 0.25).abs() < 0.031);
    let uploads = share(&arrivals, |a| a.kind == arrival::Kind::Upload);
    assert!((uploads - 0.025).abs() < 0.011);
    let start = arrivals.partition_point(|a| a.at < Duration::from_secs(2));
    let (before, after) = arrivals.split_at(start);
    assert_eq!(share(before, |a| a.key == "storm-0"), 0.0);
    assert!((share(after, |a| a.key == "storm-0") - 0.5).abs() < 0.046);
}

/// Guards against a skew other than the stated one, also for very many keys.
#[test]
fn zipf_ranks_have_their_weights() {
    let draws = 100_000;
    for (size, exponent) in [(100, 0.0), (100, 1.0), (6_600_000_000, 0.99)] {
        let zipf = zipf::Zipf::new(size, exponent);
        let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(3);
        let ranks: Vec<u64> = (0..draws).map(|_| zipf.sample(&mut random)).collect();
        assert!(ranks.iter().all(|rank| (1..=size).contains(rank)));
        let weight = |rank: u64| (rank as f64).powf(-exponent);
        // The tail beyond 10^5 ranks is summed as an integral.
        let near = size.min(100_000);
        let mut total: f64 = (1..=near).map(weight).sum();
        if size > near {
            let power = |x: f64| x.powf(1.0 - exponent) / (1.0 - exponent);
            total += power(size as f64 + 0.5) - power(near as f64 + 0.5);
        }
        for rank in [1, 2, 10] {
            let expected = weight(rank) / total;
            let found = ranks.iter().filter(|found| **found == rank).count();
            let found = found as f64 / f64::from(draws);
            let bound = 5.0 * (expected / f64::from(draws)).sqrt();
            assert!((found - expected).abs() < bound, "{size} {exponent} {rank}");
        }
    }
}

/// Guards against damaged traces being replayed in part as if they were whole.
#[test]
fn traces_are_read_strictly() {
    let read = |text: &str| {
        let limit = Duration::from_secs(10);
        let mut trace = trace::Trace::new(text.as_bytes(), 1, limit, 62);
        let mut result = String::new();
        loop {
            match trace.next() {
                Ok(Some(a)) => {
                    let scope = a.scope.unwrap_or_default();
                    let (at, kind, method) = (a.at.as_micros(), a.kind, a.method);
                    let (service, key, bytes) = (a.service, a.key, a.body_bytes);
                    writeln!(
                        result,
                        "{at} us {kind} {method} {service}/{key} {scope:?} {bytes}"
                    )
                    .unwrap();
                }
                Ok(None) => return result + "end",
                Err(error) => return result + &error.to_string(),
            }
        }
    };
    let whole = r#"{"at_ms":0.5,"method":"GET","service":"s","key":"a"}

{"at_ms":1,"method":"POST","service":"s","key":"b","scope":"m","body_bytes":9}
{"at_ms":2,"method":"PUT","service":"s","key":"c","body_bytes":65536}
{"at_ms":10000,"method":"GET","service":"s","key":"beyond the duration"}
"#;
    let cases = [
        whole,
        "{\"at_ms\":1,",
        "{\"at_ms\":-1,\"method\":\"GET\",\"service\":\"s\",\"key\":\"a\"}",
        "{\"at_ms\":1,\"method\":\"GET\",\"service\":\"s\",\"key\":\"a\",\"typo\":1}",
        "{\"at_ms\":2,\"method\":\"GET\",\"service\":\"s\",\"key\":\"a\"}\n{\"at_ms\":1,\"method\":\"GET\",\"service\":\"s\",\"key\":\"a\"}",
    ];
    insta::assert_snapshot!(cases.map(read).join("\n---\n"));
}

/// Guards against plans without bounds.
#[test]
fn plans_are_bounded() {
    let good = plan(1);
    load::Load::new(good.clone()).unwrap();
    let mut bad = [good.clone(), good.clone(), good.clone(), good];
    bad[0].targets.clear();
    bad[1].rate = f64::INFINITY;
    bad[2].rate = 1e9;
    bad[3].mix = mix::Mix { shares: Vec::new() };
    for plan in bad {
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

/// Guards against bodies whose digest is not the one of the bytes that are sent.
#[tokio::test]
async fn payload_digest_is_that_of_its_bytes() {
    use futures_util::StreamExt as _;
    let payload = payload::Payload {
        salt: 5,
        length: 40_001,
    };
    let mut sent = Vec::new();
    let mut parts = Box::pin(payload.stream(Duration::ZERO));
    while let Some(Ok(part)) = parts.next().await {
        sent.write_all(&part).unwrap();
    }
    assert_eq!(sent, payload.bytes());
    assert_eq!(sent.len(), 40_001);
    let digest = xxhash_rust::xxh3::xxh3_64(&sent);
    assert_eq!(payload.digest(), format!("{digest:016x}"));
}
