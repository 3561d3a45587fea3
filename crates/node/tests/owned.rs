//! Owned slices: requests in flight, records of ids, splits and merges.

use sequoiayoke_model::{id, key, range, request};
use sequoiayoke_node::traffic::owned;
use sequoiayoke_traffic::window;

const SERVICE: id::Service = id::Service(1);
const EPOCH: id::Epoch = id::Epoch(5);

fn range(first: u64, last: u64) -> range::Range {
    range::Range {
        first: key::Hash(first),
        last: key::Hash(last),
    }
}

fn slice(first: u64, last: u64, epoch: id::Epoch) -> owned::Slice {
    let window = window::Window::new(epoch, window::Limits::default());
    owned::Slice::new(SERVICE, range(first, last), epoch, window)
}

fn request(random: u64) -> request::Id {
    request::Id::new(EPOCH, 1_000, random)
}

fn run(slice: &owned::Slice, id: request::Id, hash: u64) -> Result<owned::Run, String> {
    slice.begin(id, key::Hash(hash), |verdict| format!("{verdict:?}"))
}

/// Guards against a request that starts after the slice was closed, when the new owner may
/// already serve it.
#[tokio::test]
async fn closed_slice_rejects_requests_and_waits_for_those_in_flight() {
    let slice = slice(0, 99, EPOCH);
    let entry = slice.enter().expect("the slice is open");
    slice.close();
    assert!(slice.enter().is_none());
    let idle = slice.wait_idle();
    tokio::pin!(idle);
    let poll = futures_util::poll!(&mut idle);
    assert!(poll.is_pending(), "a request is in flight");
    drop(entry);
    idle.await;
    assert_eq!(slice.in_flight(), 0);
}

/// Guards against a slice that is released while a request that started before a split
/// still runs.
#[tokio::test]
async fn requests_started_before_a_split_count_as_in_flight() {
    let whole = slice(0, 99, EPOCH);
    let entry = whole.enter().expect("the slice is open");
    let half =
        owned::Slice::with_parts_of(range(50, 99), EPOCH, [&whole], window::Limits::default())
            .expect("the range overlaps the slice");
    whole.close();
    half.close();
    assert_eq!(half.in_flight(), 1);
    drop(entry);
    half.wait_idle().await;
}

/// Guards against an id that runs twice because a split or merge lost its record.
#[test]
fn ids_are_recorded_across_a_split_and_a_merge() {
    let whole = slice(0, 99, EPOCH);
    let first = run(&whole, request(1), 10).expect("the id has not run");
    let second = run(&whole, request(2), 60).expect("the id has not run");
    let parts = [range(0, 49), range(50, 99)].map(|range| {
        owned::Slice::with_parts_of(range, EPOCH, [&whole], window::Limits::default())
            .expect("the range overlaps the slice")
    });
    assert!(run(&parts[0], request(1), 10).is_err(), "still running");
    first.end(window::End::Answered(None));
    second.end(window::End::Answered(None));
    assert!(run(&parts[1], request(2), 60).is_err(), "it has run");
    let merged =
        owned::Slice::with_parts_of(range(0, 99), EPOCH, &parts, window::Limits::default())
            .expect("the range overlaps the slices");
    assert!(run(&merged, request(1), 10).is_err());
    assert!(run(&merged, request(2), 60).is_err());
}

/// Guards against a merged part of an earlier epoch that refuses every id that is issued
/// under the epoch of the merged slice.
#[test]
fn merge_of_two_epochs_accepts_ids_of_the_later_one() {
    let (early, late) = (slice(0, 49, EPOCH), slice(50, 99, id::Epoch(8)));
    let merged = owned::Slice::with_parts_of(
        range(0, 99),
        id::Epoch(8),
        [&early, &late],
        window::Limits::default(),
    );
    let merged = merged.expect("the range overlaps the slices");
    let id = request::Id::new(id::Epoch(8), 1_000, 3);
    run(&merged, id, 10).expect("an id of the current epoch runs");
}

/// Guards against an exported record that lacks ids of its range, or contains ids of another
/// range.
#[test]
fn export_contains_only_the_ids_of_its_range() {
    let whole = slice(0, 99, EPOCH);
    for (id, hash) in [(1, 10), (2, 60)] {
        let run = run(&whole, request(id), hash).expect("the id has not run");
        run.end(window::End::Answered(None));
    }
    let half =
        owned::Slice::with_parts_of(range(50, 99), EPOCH, [&whole], window::Limits::default())
            .expect("the range overlaps the slice");
    let export = half.export().expect("the slice has a record");
    let ids: Vec<_> = export.records.iter().map(|record| record.id).collect();
    assert_eq!(ids, [request(2)]);
}

/// Guards against recording a request that was dropped while it ran as one that never ran.
#[test]
fn dropped_run_has_an_unknown_outcome() {
    let whole = slice(0, 99, EPOCH);
    drop(run(&whole, request(1), 10).expect("the id has not run"));
    let verdict = run(&whole, request(1), 10).expect_err("it may have run");
    assert_eq!(verdict, "Unknown(Cancelled)");
}
