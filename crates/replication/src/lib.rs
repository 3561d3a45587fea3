//! Replicated state machines on top of a replicated log and durable storage.
//!
//! The consensus algorithm is in `sequoiayoke-consensus`, the file formats are in
//! `sequoiayoke-storage`. This crate connects the two with a state machine, so
//! that each control daemon defines only its own commands and state.

pub mod codec;
pub mod driver;
