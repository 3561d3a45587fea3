//! Restarts of children.

use std::cell::Cell;
use std::time::Duration;

use sequoiayoke_supervise::{Stop, Supervisor, budget, policy, supervisor};

const WINDOW: Duration = Duration::from_secs(10);

fn root(restarts: usize) -> Supervisor {
    Supervisor::new("root", budget::Budget::new(restarts, WINDOW), Stop::new())
}

fn failure() -> supervisor::Outcome {
    Err(supervisor::Error::Child("child").into())
}

/// Guards against a child that fails for good being restarted for ever.
#[tokio::test(start_paused = true)]
async fn a_child_that_fails_again_and_again_ends_the_supervisor() {
    let starts = Cell::new(0);
    let root = root(3);
    let run = root.run("child", policy::Policy::Permanent, || {
        starts.set(starts.get() + 1);
        async { failure() }
    });
    let ended = run.await.expect_err("the budget is used up");
    assert!(matches!(
        ended.current_context(),
        supervisor::Error::Budget("child")
    ));
    assert_eq!(starts.get(), 4, "the first start and three restarts");
}

/// Guards against a transient child being restarted after it has done its work.
#[tokio::test(start_paused = true)]
async fn a_transient_child_is_restarted_only_after_an_error() {
    let starts = Cell::new(0);
    let root = root(3);
    let run = root.run("child", policy::Policy::Transient, || {
        starts.set(starts.get() + 1);
        let first = starts.get() == 1;
        async move { if first { failure() } else { Ok(()) } }
    });
    run.await.expect("the second run ends normally");
    assert_eq!(starts.get(), 2);
}

/// Guards against the failure of a child that may not be restarted being ignored.
#[tokio::test(start_paused = true)]
async fn the_failure_of_a_temporary_child_ends_the_supervisor() {
    let root = root(3);
    let run = root.run("child", policy::Policy::Temporary, || async { failure() });
    let ended = run.await.expect_err("the failure is passed on");
    assert!(matches!(
        ended.current_context(),
        supervisor::Error::Child("child")
    ));
}

/// Guards against a stop that a permanent child would undo.
#[tokio::test(start_paused = true)]
async fn a_stop_ends_a_permanent_child() {
    let stop = Stop::new();
    let supervisor = Supervisor::new("root", budget::Budget::new(3, WINDOW), stop.clone());
    let run = supervisor.run("child", policy::Policy::Permanent, || {
        let stop = stop.clone();
        async move {
            stop.cancel();
            Ok(())
        }
    });
    run.await.expect("a stop is no failure");
}

/// Guards against one child using up a budget of its own beside the others'.
#[tokio::test(start_paused = true)]
async fn children_share_the_budget() {
    let root = root(3);
    let starts = Cell::new(0);
    let child = || {
        starts.set(starts.get() + 1);
        async { failure() }
    };
    let ended = tokio::try_join!(
        root.run("one", policy::Policy::Permanent, child),
        root.run("other", policy::Policy::Permanent, child),
    );
    assert!(ended.is_err());
    assert!(
        starts.get() <= 5,
        "two starts and three restarts, not {}",
        starts.get()
    );
}
