//! Decisions on single requests: which route, which backend server, whether to
//! admit, whether to send again.
//!
//! Everything here is pure: state changes by events and the present time, and
//! what to do comes back as values. Load patterns are tested here without a
//! network.

pub mod admission;
pub mod budget;
pub mod choice;
pub mod outcomes;
pub mod probe;
pub mod quota;
pub mod route;
pub mod transfer;
pub mod usage;
