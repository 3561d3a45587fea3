//! Tests of the load tool: schedule, judgement, audit, report, and runs.
#![allow(clippy::unwrap_used)]

mod judge;
mod node;
mod report;
mod runs;
mod schedule;
