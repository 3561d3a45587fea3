//! Admission of requests to the backend server.
//!
//! [`gate::Gate`] bounds the requests that run and those that wait. The node owns
//! one gate per backend server and makes one call at a time. `limit` holds the
//! adaptive concurrency limit, `flow` the fair queue between callers and
//! `key_queue` the fair queue between the keys of a caller.

pub mod gate;

mod flow;
mod key_queue;
mod limit;
