//! Replicated state of a deployment: its configuration, its backend servers and
//! the owners of its key ranges.
//!
//! The catalog is pure. It knows no socket, clock or message encoding, so the
//! control replicas can apply the same log and reach the same state, and any
//! front end can supply the configuration.

pub mod config;
pub mod machine;
pub mod server;
pub mod slice;
