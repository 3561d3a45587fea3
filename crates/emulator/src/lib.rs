//! Emulator of backend servers, and a load tool.
//!
//! The router is only ever tested against the protocol of `docs/protocol.md`,
//! so this crate implements the other side of that protocol and can break it
//! on command. Nothing here is used by the router itself.

pub mod load;
pub mod standin;
