//! Starts deployments of real processes on loopback, for tests, the demo and measurements.
//!
//! Each deployment has a loopback address of its own, so that several run side
//! by side without fixed ports colliding. Every process is ended by its id when
//! the deployment is dropped.

pub mod caller;
pub mod deployment;
pub mod execution_log;
pub mod fault;
pub mod operator;
pub mod process;
pub mod proxy;
pub mod settings;
pub mod usage;

pub use deployment::Deployment;

/// Errors of the harness.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file or process could not be used.
    #[error("{0}: {1}")]
    Io(&'static str, std::io::Error),
    /// A process did not become ready in time, or ended early.
    #[error("{0} did not become ready")]
    NotReady(String),
    /// A request failed.
    #[error("request failed: {0}")]
    Http(#[from] reqwest::Error),
    /// Something expected did not happen in time.
    #[error("not seen in time: {0}")]
    Timeout(String),
}
