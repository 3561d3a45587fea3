//! Tests of the stand-in: the protocol, its faults and its counts.
#![allow(clippy::unwrap_used)]

mod counts;
mod faults;
mod fencing;
mod grants;
mod protocol;
mod support;
