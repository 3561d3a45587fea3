//! Restarts of supervised children.

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

/// Guards against endless restarts of a child that fails at every start.
#[tokio::test(start_paused = true)]
async fn a_child_that_exhausts_the_budget_ends_the_supervisor() {
    let starts = Cell::new(0);
    let root = root(3);
    let run = root.run("child", policy::Policy::Permanent, || {
        starts.set(starts.get() + 1);
        async { failure() }
    });
    let report = run.await.expect_err("the budget is exhausted");
    assert!(matches!(
        report.current_context(),
        supervisor::Error::Budget("child")
    ));
    assert_eq!(starts.get(), 4, "the first start and three restarts");
}

/// Guards against a restart of a transient child after it returned normally.
#[tokio::test(start_paused = true)]
async fn a_transient_child_is_restarted_only_after_an_error() {
    let starts = Cell::new(0);
    let root = root(3);
    let run = root.run("child", policy::Policy::Transient, || {
        starts.set(starts.get() + 1);
        let is_first = starts.get() == 1;
        async move { if is_first { failure() } else { Ok(()) } }
    });
    run.await.expect("the second run ends normally");
    assert_eq!(starts.get(), 2);
}

/// Guards against a supervisor that ignores the failure of a temporary child.
#[tokio::test(start_paused = true)]
async fn the_failure_of_a_temporary_child_ends_the_supervisor() {
    let root = root(3);
    let run = root.run("child", policy::Policy::Temporary, || async { failure() });
    let report = run.await.expect_err("the supervisor returns the failure");
    assert!(matches!(
        report.current_context(),
        supervisor::Error::Child("child")
    ));
}

/// Guards against a restart of a permanent child while the supervisor is stopping.
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
    run.await.expect("a stop is not a failure");
}

/// Guards against a budget for each child, which would multiply the number of restarts.
#[tokio::test(start_paused = true)]
async fn children_share_the_budget() {
    let root = root(3);
    let starts = Cell::new(0);
    let child = || {
        starts.set(starts.get() + 1);
        async { failure() }
    };
    let result = tokio::try_join!(
        root.run("one", policy::Policy::Permanent, child),
        root.run("other", policy::Policy::Permanent, child),
    );
    assert!(result.is_err());
    assert!(
        starts.get() <= 5,
        "two starts and three restarts, not {}",
        starts.get()
    );
}
