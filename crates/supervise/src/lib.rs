//! Supervisors, which start tasks and restart them according to a policy.
//!
//! Every long-running task of a daemon has exactly one supervisor, and the
//! module tree of the daemons follows the supervisor tree. A supervisor that
//! exceeds its restart budget ends with an error, and its parent decides how to
//! continue.

pub mod budget;
pub mod policy;
pub mod supervisor;

pub use supervisor::Supervisor;
pub use tokio_util::sync::CancellationToken as Stop;
