//! Messages between the project's own processes and their framing.
//!
//! This crate only encodes. Decisions live in the pure crates, whose types are
//! converted here, so that another front end can use them with other messages.
//! The prost types are written by hand with derives, so that the build needs
//! no generator.

pub mod auth;
pub mod convert;
pub mod frame;
pub mod replica;
pub mod session;
pub mod stream;
