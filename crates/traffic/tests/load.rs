//! Comparison of the load tracker with exact counts, and bounds of the retry budget.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs};
use sequoiayoke_model::{clock, id, key};
use sequoiayoke_traffic::{hot, retry};

const SERVICE: id::Service = id::Service(1);

/// Guards against missing a hot key, and against a rate outside the documented error.
#[test]
fn hot_keys_are_tracked_within_the_documented_error() {
    for seed in 0..4 {
        println!("seed {seed}");
        let mut random = rngs::SmallRng::seed_from_u64(seed);
        let start = clock::Instant::from_micros(0);
        let mut tracker = hot::Tracker::new(start, 64);
        let mut exact: BTreeMap<u64, f64> = BTreeMap::new();
        let mut now = start;
        // The hot keys change after half of the steps; the weights are rebased during the 400 s.
        for step in 0..200_000_u64 {
            now = now + Duration::from_millis(2);
            let phase = step / 100_000 * 1_000;
            let hash = match random.random_range(0..100) {
                0..40 => phase + random.random_range(0..5),
                40..80 => random.random_range(5_000..5_100),
                _ => random.random_range(10_000..100_000),
            };
            let weight = (0.1 * now.as_micros() as f64 / 1e6 - 40.0).exp2();
            *exact.entry(hash).or_default() += weight;
            tracker.record(now, SERVICE, key::Hash(hash % 2), key::Hash(hash));
        }
        let top = tracker.top(now, 64);
        let hottest: Vec<u64> = top.iter().take(5).map(|key| key.hash.0).collect();
        assert!(
            hottest.iter().all(|hash| (1_000..1_005).contains(hash)),
            "{hottest:?}"
        );
        for key in &top {
            assert!(key.excess <= 500.0 / 64.0 * 1.01, "{key:?}");
            let rate = exact[&key.hash.0] * std::f64::consts::LN_2 / 10.0;
            // The weight is updated every 3 ms, so a count may be 0.03 % too low.
            assert!(key.rate >= rate * 0.9997, "{key:?} against {rate}");
            assert!(
                key.rate - key.excess <= rate * 1.0003,
                "{key:?} against {rate}"
            );
        }
        let slices = tracker.slices(now);
        let total: f64 = slices.iter().map(|slice| slice.rate).sum();
        assert_eq!(slices.len(), 2);
        assert!(
            (495.0..505.0).contains(&total),
            "{total} requests/s, not 500"
        );
    }
}

/// Guards against a new key replacing a hot key instead of the coldest one.
#[test]
fn the_coldest_key_is_replaced() {
    let now = clock::Instant::from_micros(0);
    let mut tracker = hot::Tracker::new(now, 3);
    for hash in [1, 2, 3, 1, 1, 2, 4] {
        tracker.record(now, SERVICE, key::Hash(0), key::Hash(hash));
    }
    let top = tracker.top(now, 3);
    let hashes: Vec<u64> = top.iter().map(|key| key.hash.0).collect();
    assert_eq!(hashes, [1, 2, 4]);
}

/// Guards against retries that multiply the load on a failing owner.
#[test]
fn retries_stay_a_tenth_of_the_requests() {
    let now = clock::Instant::from_micros(0);
    let mut budget = retry::Budget::new(now);
    for caller in 0..1_000 {
        let mut retries = 0;
        for _ in 0..100 {
            budget.deposit(now, id::Caller(caller), SERVICE);
            retries += u32::from(budget.withdraw(now, id::Caller(caller), SERVICE));
        }
        assert!(retries <= 11, "caller {caller} retried {retries} of 100");
    }
    // 24 callers still get their own budget, and the others share one.
    let mut retries = 0;
    for caller in 1_000..3_000 {
        budget.deposit(now, id::Caller(caller), SERVICE);
        retries += u32::from(budget.withdraw(now, id::Caller(caller), SERVICE));
    }
    assert!(retries <= 24 + 1 + 1_976 / 10, "{retries} retries");
}

/// Guards against a backoff without jitter, which makes many nodes retry at the same time.
#[test]
fn backoff_covers_the_whole_span() {
    let mut random = rngs::SmallRng::seed_from_u64(1);
    let waits: Vec<u64> = (0..10_000)
        .map(|_| retry::backoff(2, &mut random).as_millis() as u64)
        .collect();
    assert!(waits.iter().all(|wait| *wait <= 80));
    let mean = waits.iter().sum::<u64>() / 10_000;
    assert!((38..=42).contains(&mean), "mean {mean} ms, not 40");
    assert!(retry::backoff(u32::MAX, &mut random) <= Duration::from_millis(500));
}
