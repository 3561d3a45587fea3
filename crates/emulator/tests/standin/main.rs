//! Tests of the stand-in: protocol, fencing, grants, faults and counts of executions.
#![allow(clippy::unwrap_used)]

mod counts;
mod faults;
mod fencing;
mod grants;
mod protocol;
mod support;
