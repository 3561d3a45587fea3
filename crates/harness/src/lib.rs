//! Starts deployments of real processes on loopback, for tests, the demo and measurements.
//!
//! Each deployment uses a random loopback address, so that several can run side by side with the
//! same ports. Its processes are killed when the deployment is dropped.

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
    #[error("failed to {0}: {1}")]
    Io(&'static str, std::io::Error),
    /// A process exited or timed out before it became ready.
    #[error("process did not become ready: {0}")]
    NotReady(String),
    /// An HTTP request failed.
    #[error("HTTP request failed: {0}")]
    Http(#[from] reqwest::Error),
    /// An expected state was not reached in time, or a request did not get the expected answer.
    #[error("expected state was not reached: {0}")]
    Timeout(String),
}
