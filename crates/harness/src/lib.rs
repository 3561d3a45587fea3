//! Starts deployments of real processes on loopback, for tests, the demo and measurements.
//!
//! Each deployment uses a random loopback address, so that several can run side by side with the
//! same ports. Its processes are killed when the deployment is dropped.

pub mod caller;
pub mod deployment;
pub mod execution_log;
pub mod fault;
pub mod operator;
pub mod port;
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
    /// A program could not be started.
    #[error("failed to start {}: {error}", program.display())]
    Program {
        /// Path of the program.
        program: std::path::PathBuf,
        /// Reason.
        error: std::io::Error,
    },
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

/// Returns the folder in which Cargo puts the programs of release builds, `target/release` unless
/// `CARGO_TARGET_DIR` names another one.
pub fn release_folder() -> std::path::PathBuf {
    let target = std::env::var_os("CARGO_TARGET_DIR");
    let target = target.filter(|folder| !folder.is_empty());
    let target = target.unwrap_or_else(|| "target".into());
    std::path::Path::new(&target).join("release")
}
