//! The replicated state machine: tickets, membership and assignments.
//!
//! Every replica applies the same commands in the same order and must reach
//! the same state. The code here therefore reads no clock, random source or setting,
//! and iterates only over ordered tables. It is independent of the encoding; drivers
//! store and send its types.

pub mod command;
pub mod history;
pub mod machine;
pub mod member;
pub mod ticket;
