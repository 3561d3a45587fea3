//! Assignment of key ranges to backend servers by reported load.
//!
//! The planner does no I/O: it takes the slices, the backend servers and their reported load, and
//! returns moves. A range that has moved is in cooldown for a while, since its new owner starts
//! each time with cold state.

pub mod outlier;
pub mod planner;
