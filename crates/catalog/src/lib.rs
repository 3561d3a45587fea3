//! Replicated state of a deployment: its configuration, its backend servers and
//! the owners of its key ranges.
//!
//! The state machine is deterministic and uses no socket, clock or message encoding.
//! Control replicas that apply the same log therefore reach the same state, and any
//! front end can supply the configuration.

pub mod audit;
pub mod config;
pub mod departed;
pub mod difference;
pub mod machine;
pub mod server;
pub mod slice;
