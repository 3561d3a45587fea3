//! sequoiayoke: a router for backend servers that each own their keys exclusively.
//!
//! The crates below `crates/` implement it; this package holds the binaries and the
//! code that the daemons share.

pub mod daemon;
