//! Messages between nodes and control replicas, and their framing.
//!
//! This crate only encodes and decodes. The crates that make decisions have types of their own,
//! which are converted here, so that another front end can use them with other messages. The prost
//! types are written by hand with derives, so that the build needs no code generator.

pub mod auth;
pub mod convert;
pub mod frame;
pub mod replica;
pub mod session;
pub mod stream;
