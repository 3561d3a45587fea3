//! The replicated state machine: tickets, membership and assignments.
//!
//! Every replica applies the same commands in the same order and must reach
//! the same state, so nothing here reads a clock, a random source or a setting,
//! and every table is ordered. The machine knows no encoding; drivers store
//! and send its types.

pub mod command;
pub mod history;
pub mod machine;
pub mod member;
pub mod ticket;
