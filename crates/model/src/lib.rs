//! Core types that the other crates share.
//!
//! This crate uses no sockets, files, tasks or message encodings, so that decisions can be tested
//! in isolation and another front end can use them.

pub mod clock;
pub mod id;
pub mod key;
pub mod outcome;
pub mod range;
pub mod replicated;
pub mod request;
pub mod table;
pub mod view;
