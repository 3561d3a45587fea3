//! Supervisor that all daemons use.
//!
//! A child is a future that is created again for each start. Children run on the runtime of
//! the thread that runs the supervisor. Traffic threads use `spawn`. A control thread uses
//! `spawn_local`, since its children may own state that must not leave the thread.

use std::future;
use std::sync;
use std::time;

use tokio::task;

use crate::budget;
use crate::policy;

/// Delay before a restart, so that a child that fails immediately does not keep the processor
/// busy until its budget is exhausted.
const RESTART_DELAY: time::Duration = time::Duration::from_millis(50);

/// Error of a supervisor or of one of its children.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A child failed, and its policy does not allow a restart.
    #[error("task {0} failed")]
    Child(&'static str),
    /// The restarts exceeded the budget.
    #[error("task {0} exceeded its restart budget")]
    Budget(&'static str),
}

/// Result of a child or a supervisor.
pub type Outcome = Result<(), error_stack::Report<Error>>;

/// Supervisor of one or more children.
#[derive(Debug)]
pub struct Supervisor {
    name: &'static str,
    // Locked only while a restart is counted, never across an `await`.
    budget: sync::Mutex<budget::Budget>,
    started: tokio::time::Instant,
    stop: crate::Stop,
}

impl Supervisor {
    /// Creates a supervisor. The token `stop` asks it and its children to end.
    pub fn new(name: &'static str, budget: budget::Budget, stop: crate::Stop) -> Self {
        Self {
            name,
            budget: sync::Mutex::new(budget),
            started: tokio::time::Instant::now(),
            stop,
        }
    }

    /// Runs a child on the current task, with restarts, until its policy or a stop ends it.
    ///
    /// To let several children share the budget, call `run` for each of them on the same
    /// supervisor and join the calls with `tokio::try_join!`.
    ///
    /// # Errors
    ///
    /// Fails if the child fails and its policy does not allow a restart, or if the budget is
    /// exhausted.
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
            let end = self.log_end(child, start().await);
            if self.stop.is_cancelled() {
                return Ok(());
            }
            match policy.after(end) {
                policy::Action::Forget => return Ok(()),
                policy::Action::Escalate => return Err(Error::Child(child).into()),
                policy::Action::Restart => self.prepare_restart(child).await?,
            }
        }
    }

    /// Returns the token that asks the children to end.
    pub const fn stop(&self) -> &crate::Stop {
        &self.stop
    }

    /// Logs the failure of a child, and returns how the child ended.
    fn log_end(&self, child: &'static str, outcome: Outcome) -> policy::End {
        match outcome {
            Ok(()) => policy::End::Done,
            Err(report) => {
                tracing::error!(supervisor = self.name, child, error = ?report, "task failed");
                policy::End::Failed
            }
        }
    }

    /// Consumes a restart of the budget and waits for the delay.
    async fn prepare_restart(&self, child: &'static str) -> Outcome {
        let now = self.started.elapsed();
        let is_allowed = self
            .budget
            .lock()
            .expect("no code panics while it holds the lock of the budget")
            .take(now);
        if !is_allowed {
            return Err(Error::Budget(child).into());
        }
        tracing::warn!(supervisor = self.name, child, "restarting the task");
        tokio::select! {
            () = tokio::time::sleep(RESTART_DELAY) => {}
            () = self.stop.cancelled() => {}
        }
        Ok(())
    }
}

/// Waits for a spawned child, and treats a panic as a failure of the child.
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
