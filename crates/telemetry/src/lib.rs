//! Logs and metrics of all processes.
//!
//! The field names of log lines and the names of labels are stable, and `docs/logs.md`
//! lists them. No label can contain a key, so that the number of series stays bounded.

pub mod decision;
pub mod label;
pub mod log;
pub mod metrics;
pub mod output;

mod process;
