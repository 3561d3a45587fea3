//! Core types that every other crate shares.
//!
//! Nothing here knows a socket, a file, a task or a message encoding, so that
//! decisions can be tested on their own and another front end can use them.

pub mod clock;
pub mod id;
pub mod key;
pub mod outcome;

pub mod range;
pub mod replicated;
pub mod request;
pub mod table;
pub mod view;
