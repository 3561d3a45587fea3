//! Admission of requests to the backend server.
//!
//! [`gate::Gate`] bounds what runs and what waits; the node owns one gate per
//! backend server and calls it from one place at a time. `limit` holds the
//! adaptive concurrency limit and `flow` the fair queue.

pub mod gate;

mod flow;
mod lane;
mod limit;
