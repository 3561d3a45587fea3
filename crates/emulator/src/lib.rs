//! Emulator of backend servers, and a load tool.
//!
//! The router is tested against the protocol of `docs/protocol.md` only. This crate
//! implements the backend side of that protocol and can inject faults on command.
//! The router itself does not depend on this crate.

pub mod load;
pub mod standin;
