//! Supervisors: who starts a task, and what happens when it ends.
//!
//! Every long-running task of a daemon has exactly one supervisor, and the
//! module tree of the daemons follows the supervisor tree. A supervisor that
//! exceeds its restart budget ends with an error, and its parent decides.

pub mod budget;
pub mod policy;
pub mod supervisor;

pub use supervisor::Supervisor;
pub use tokio_util::sync::CancellationToken as Stop;
