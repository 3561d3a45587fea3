//! Node beside a backend server: accepts callers' requests, sends each to the node of a backend
//! server that may run it, and admits requests to its own backend server.
//!
//! How callers and backend servers encode their messages is a parameter, see
//! [`frontend::Frontend`].

pub mod coordinator;
pub mod frontend;
pub mod holdings;
mod measure;
pub mod root;
pub mod traffic;
pub mod view;

pub use root::Gateway;
