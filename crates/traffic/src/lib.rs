//! Decisions of the request path.
//!
//! This crate performs no I/O, starts no task and depends on no message encoding:
//! callers pass in the time, and decisions are returned as values. Tests can run
//! them in any order of events, and another front end can use the same code.

pub mod admission;
pub mod health;
pub mod hot;
pub mod retry;
pub mod route;
pub mod window;
