//! Logs and metrics of every process.
//!
//! Field names of log lines and names of labels are stable: `docs/logs.md`
//! lists them. No label can hold a key, so the number of series stays bounded.

pub mod decision;
pub mod label;
pub mod log;
pub mod metrics;
pub mod output;

mod process;
