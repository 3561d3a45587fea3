//! Owned slices: requests in flight, splits and merges.

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

/// Guards against a request that starts after a slice was closed, when the next owner may
/// already be serving it.
#[tokio::test]
async fn a_closed_slice_takes_no_request_and_waits_for_those_in_flight() {
    let slice = slice(0, 99, EPOCH);
    let entry = slice.enter().expect("the slice is open");
    slice.close();
    assert!(slice.enter().is_none());
    let idle = slice.wait_idle();
    tokio::pin!(idle);
    let early = futures_util::poll!(&mut idle);
    assert!(early.is_pending(), "a request is in flight");
    drop(entry);
    idle.await;
    assert_eq!(slice.in_flight(), 0);
}

/// Guards against a slice that is handed on while a request that started before a split
/// still runs.
#[tokio::test]
async fn requests_from_before_a_split_still_count() {
    let whole = slice(0, 99, EPOCH);
    let entry = whole.enter().expect("the slice is open");
    let half =
        owned::Slice::with_parts_of(range(50, 99), EPOCH, [&whole], window::Limits::default())
            .expect("a part");
    whole.close();
    half.close();
    assert_eq!(half.in_flight(), 1);
    drop(entry);
    half.wait_idle().await;
}

/// Guards against an id that runs a second time because its record was lost in a split or
/// merge.
#[test]
fn ids_are_known_after_a_split_and_a_merge() {
    let whole = slice(0, 99, EPOCH);
    let first = run(&whole, request(1), 10).expect("it runs");
    let second = run(&whole, request(2), 60).expect("it runs");
    let parts = [range(0, 49), range(50, 99)].map(|range| {
        owned::Slice::with_parts_of(range, EPOCH, [&whole], window::Limits::default())
            .expect("a part")
    });
    assert!(run(&parts[0], request(1), 10).is_err(), "still running");
    first.end(window::End::Answered(None));
    second.end(window::End::Answered(None));
    assert!(run(&parts[1], request(2), 60).is_err(), "it has run");
    let joined =
        owned::Slice::with_parts_of(range(0, 99), EPOCH, &parts, window::Limits::default())
            .expect("a whole");
    assert!(run(&joined, request(1), 10).is_err());
    assert!(run(&joined, request(2), 60).is_err());
}

/// Guards against ids issued under the later epoch of a merge being refused for good by
/// the part that was held under the earlier one.
#[test]
fn a_merge_of_two_epochs_takes_ids_of_the_later_one() {
    let (early, late) = (slice(0, 49, EPOCH), slice(50, 99, id::Epoch(8)));
    let joined = owned::Slice::with_parts_of(
        range(0, 99),
        id::Epoch(8),
        [&early, &late],
        window::Limits::default(),
    );
    let joined = joined.expect("a whole");
    let id = request::Id::new(id::Epoch(8), 1_000, 3);
    run(&joined, id, 10).expect("an id of the present epoch runs");
}

/// Guards against a record that reaches the next owner without the ids of its part, or
/// with those of another part.
#[test]
fn an_export_holds_the_ids_of_its_range_only() {
    let whole = slice(0, 99, EPOCH);
    for (id, hash) in [(1, 10), (2, 60)] {
        let run = run(&whole, request(id), hash).expect("it runs");
        run.end(window::End::Answered(None));
    }
    let half =
        owned::Slice::with_parts_of(range(50, 99), EPOCH, [&whole], window::Limits::default())
            .expect("a part");
    let export = half.export().expect("a record");
    let ids: Vec<_> = export.records.iter().map(|record| record.id).collect();
    assert_eq!(ids, [request(2)]);
}

/// Guards against a run whose request is dropped being taken for one that never ran.
#[test]
fn a_dropped_run_is_unknown() {
    let whole = slice(0, 99, EPOCH);
    drop(run(&whole, request(1), 10).expect("it runs"));
    let verdict = run(&whole, request(1), 10).expect_err("it may have run");
    assert_eq!(verdict, "Unknown(Cancelled)");
}
