//! Decisions on single requests: routing, choice of a backend server, admission and retries.
//!
//! The code does no I/O and reads no clock: callers pass events and the current time, and get
//! decisions as return values. Load patterns are therefore tested without a network.

pub mod admission;
pub mod budget;
pub mod choice;
pub mod ledger;
pub mod memory;
pub mod outcomes;
pub mod pace;
pub mod probe;
pub mod quota;
pub mod refusals;
pub mod route;
pub mod shutdown;
pub mod speed;
pub mod transfer;
pub mod usage;
pub mod warmth;
