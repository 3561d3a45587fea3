//! The one implementation of a supervisor.
//!
//! Children are futures made anew for each start. They run on the runtime of
//! the thread that runs the supervisor: `spawn` for traffic threads,
//! `spawn_local` for a control thread, whose children may hold state that never
//! leaves it.

use std::future;
use std::sync;
use std::time;

use tokio::task;

use crate::budget;
use crate::policy;

/// Pause before a restart, so that a child that fails at once does not use up
/// the processor until its budget is spent.
const RESTART_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Error of a supervisor or of one of its children.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A child failed and may not be restarted.
    #[error("task {0} failed")]
    Child(&'static str),
    /// Too many restarts within the window of the budget.
    #[error("task {0} was restarted too often")]
    Budget(&'static str),
}

/// Result of a child.
pub type Outcome = Result<(), error_stack::Report<Error>>;

/// Supervisor of one or more children.
#[derive(Debug)]
pub struct Supervisor {
    name: &'static str,
    // Locked for the moment of a restart only, never across an `await`.
    budget: sync::Mutex<budget::Budget>,
    started: tokio::time::Instant,
    stop: crate::Stop,
}

impl Supervisor {
    /// Makes a supervisor; `stop` asks it and its children to end.
    pub fn new(name: &'static str, budget: budget::Budget, stop: crate::Stop) -> Self {
        Self {
            name,
            budget: sync::Mutex::new(budget),
            started: tokio::time::Instant::now(),
            stop,
        }
    }

    /// Runs one child on the present task until it need not run any more.
    ///
    /// Several children share the budget: `tokio::try_join!` their `run`s.
    ///
    /// # Errors
    ///
    /// Fails if the child may not be restarted, or not that often.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use sequoiayoke_supervise::{budget, policy, Stop, Supervisor};
    ///
    /// # tokio::runtime::Builder::new_current_thread().enable_time().build().expect("a runtime").block_on(async {
    /// let budget = budget::Budget::new(3, Duration::from_secs(10));
    /// let supervisor = Supervisor::new("root", budget, Stop::new());
    /// supervisor
    ///     .run("child", policy::Policy::Transient, || async { Ok(()) })
    ///     .await
    ///     .expect("the child ends normally");
    /// # });
    /// ```
    pub async fn run<Start, Child>(
        &self,
        child: &'static str,
        policy: policy::Policy,
        mut start: Start,
    ) -> Outcome
    where
        Start: FnMut() -> Child,
        Child: future::Future<Output = Outcome>,
    {
        loop {
            let end = self.observe(child, start().await);
            if self.stop.is_cancelled() {
                return Ok(());
            }
            match policy.after(end) {
                policy::Next::Forget => return Ok(()),
                policy::Next::Escalate => return Err(Error::Child(child).into()),
                policy::Next::Restart => self.pause_before_restart(child).await?,
            }
        }
    }

    /// Returns the token that asks the children to end.
    pub const fn stop(&self) -> &crate::Stop {
        &self.stop
    }

    fn observe(&self, child: &'static str, outcome: Outcome) -> policy::End {
        match outcome {
            Ok(()) => policy::End::Done,
            Err(report) => {
                tracing::error!(supervisor = self.name, child, error = ?report, "task failed");
                policy::End::Failed
            }
        }
    }

    async fn pause_before_restart(&self, child: &'static str) -> Outcome {
        let now = self.started.elapsed();
        let allowed = self
            .budget
            .lock()
            .expect("no holder of the budget's lock panics")
            .take(now);
        if !allowed {
            return Err(Error::Budget(child).into());
        }
        tracing::warn!(supervisor = self.name, child, "task is restarted");
        tokio::select! {
            () = tokio::time::sleep(RESTART_PAUSE) => {}
            () = self.stop.cancelled() => {}
        }
        Ok(())
    }
}

/// Waits for a spawned child; a panic counts as a failure of the child.
///
/// # Errors
///
/// Returns the child's error, or [`Error::Child`] if it panicked.
pub async fn join(child: &'static str, handle: task::JoinHandle<Outcome>) -> Outcome {
    match handle.await {
        Ok(outcome) => outcome,
        Err(error) => Err(error_stack::Report::new(Error::Child(child)).attach(error.to_string())),
    }
}
