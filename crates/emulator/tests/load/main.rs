//! Tests of the load tool: schedule, evaluation of responses, audit, report, and runs.
#![allow(clippy::unwrap_used)]

mod node;
mod report;
mod response;
mod runs;
mod schedule;
