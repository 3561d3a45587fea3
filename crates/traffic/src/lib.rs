//! Decisions of the request path.
//!
//! Nothing here knows a socket, a task, a file or a message encoding: times are
//! passed in and decisions are returned as values, so that they can be tested
//! in any order of events and used behind another front end.

pub mod admission;
pub mod health;
pub mod hot;
pub mod retry;
pub mod route;
pub mod window;
