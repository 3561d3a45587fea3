//! Replicated state machines: a log, a disk and the state that follows from them.
//!
//! The decisions of the log are in `sequoiayoke-consensus` and the files in
//! `sequoiayoke-storage`. This crate joins the two, so that each control
//! daemon supplies only its own commands and state.

pub mod codec;
pub mod driver;
