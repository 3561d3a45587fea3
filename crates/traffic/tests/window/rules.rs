//! Single rules of the window that the simulation does not check.

use sequoiayoke_model::outcome::{Outcome, Reason};
use sequoiayoke_model::{id, key, request};
use sequoiayoke_traffic::window::{Answer, End, Limits, Refusal, Verdict, Window};

const HASH: key::Hash = key::Hash(7);
const OTHER_HASH: key::Hash = key::Hash(8);

fn limits(entries: usize, answer_bytes: usize) -> Limits {
    Limits {
        entries,
        answer_bytes,
    }
}

fn issued(ms: u64) -> request::Id {
    request::Id::new(id::Epoch(5), ms, ms)
}

fn answer(len: usize) -> Answer {
    Answer {
        status: 200,
        headers: Vec::new(),
        body: vec![0; len],
    }
}

/// Guards against memory that grows with the number of requests.
#[test]
fn entries_and_answers_stay_within_their_bounds() {
    let mut window = Window::new(id::Epoch(5), limits(100, 10_000));
    for ms in 1..=1_000 {
        assert_eq!(window.begin(issued(ms), HASH), Verdict::Run);
        window.finish(issued(ms), End::Answered(Some(answer(4096))));
        assert!(window.len() <= 100);
        assert!(window.kept_bytes() <= 10_000);
    }
    assert_eq!(window.floor(), Some(900));
    assert_eq!(window.begin(issued(901), HASH), Verdict::AnswerNotKept);
    assert_eq!(
        window.begin(issued(1_000), HASH),
        Verdict::Replay(&answer(4096))
    );
}

/// Guards against an answer over 4 KiB displacing many others.
#[test]
fn long_answers_are_not_kept() {
    let mut window = Window::new(id::Epoch(5), Limits::default());
    assert_eq!(window.begin(issued(1), HASH), Verdict::Run);
    window.finish(issued(1), End::Answered(Some(answer(4097))));
    assert_eq!(window.begin(issued(1), HASH), Verdict::AnswerNotKept);
}

/// Guards against a refused request that can never be retried.
#[test]
fn an_id_that_did_not_run_can_run_later() {
    let mut window = Window::new(id::Epoch(5), Limits::default());
    assert_eq!(window.begin(issued(1), HASH), Verdict::Run);
    window.finish(issued(1), End::NotRun);
    assert_eq!(window.begin(issued(1), HASH), Verdict::Run);
}

/// Guards against a late report that changes an outcome already returned to a caller.
#[test]
fn a_known_answer_is_not_overwritten() {
    let mut window = Window::new(id::Epoch(5), Limits::default());
    assert_eq!(window.begin(issued(1), HASH), Verdict::Run);
    window.finish(issued(1), End::Unknown(Reason::Deadline));
    let unknown = Verdict::Unknown(Reason::Deadline);
    assert_eq!(window.begin(issued(1), HASH), unknown);
    window.finish(issued(1), End::NotRun);
    assert_eq!(window.begin(issued(1), HASH), unknown);
    window.finish(issued(1), End::Answered(Some(answer(1))));
    window.finish(issued(1), End::Answered(Some(answer(2))));
    assert_eq!(window.begin(issued(1), HASH), Verdict::Replay(&answer(1)));
    // The key may belong to another caller.
    assert_eq!(window.begin(issued(1), OTHER_HASH), Verdict::OtherKey);
}

/// Guards against importing an export under the same or an earlier grant, where requests
/// may have run after the export.
#[test]
fn an_export_continues_only_under_a_later_grant() {
    let export = Window::new(id::Epoch(5), Limits::default()).export();
    let again = Window::import(export.clone(), id::Epoch(5), Limits::default());
    assert_eq!(again.err(), Some(Refusal::NotEarlier));
    let moved = Window::import(export, id::Epoch(6), Limits::default()).expect("a later grant");
    assert_eq!((moved.epoch(), moved.since()), (id::Epoch(6), id::Epoch(5)));
}

/// Guards against newer requests evicting a slow one, whose answer would be lost.
#[test]
fn a_running_id_is_not_evicted() {
    let mut window = Window::new(id::Epoch(5), limits(2, 100));
    for ms in 1..=10 {
        assert_eq!(window.begin(issued(ms), HASH), Verdict::Run);
        if ms > 1 {
            window.finish(issued(ms), End::Answered(None));
        }
    }
    assert_eq!(window.begin(issued(1), HASH), Verdict::Running);
    window.finish(issued(1), End::Answered(Some(answer(1))));
    assert_eq!(window.begin(issued(1), HASH), Verdict::Replay(&answer(1)));
}

/// Guards against an owner with an outdated view running requests of a later grant.
#[test]
fn an_id_of_a_later_grant_is_refused() {
    let mut window = Window::new(id::Epoch(4), Limits::default());
    let verdict = window.begin(issued(1), HASH);
    assert_eq!(verdict, Verdict::FutureEpoch);
    let refused = Outcome::NotRun(Reason::NotOwner);
    assert_eq!(verdict.outcome(), Some(refused));
}
