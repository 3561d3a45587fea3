//! sequoiayoke: a router for backend servers that each own their keys exclusively.
//!
//! The work is done by the crates below `crates/`; this package holds the thin
//! binaries and what they share.

pub mod daemon;
