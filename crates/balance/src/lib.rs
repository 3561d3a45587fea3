//! Assignment of key ranges to backend servers by observed load.
//!
//! The planner is pure: it takes the slices, the backend servers and their
//! reported load, and returns moves. It rests for a while after a move of a
//! range, since each move costs the new owner its warm state.

pub mod outlier;
pub mod planner;
